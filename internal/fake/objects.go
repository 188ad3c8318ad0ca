package fake

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"switchferry/dataset"
)

// Objects is the store of datasets: NAME/manifest.json and NAME/data, with ranges. Fault
// makes it fail in one of the ways that stores do.
type Objects struct {
	mu        sync.Mutex
	objects   map[string][]byte
	manifests map[string][]byte
	// Served counts the bytes of data given out, Ranges how often each first byte was
	// asked for.
	served      int64
	rangeCounts map[string]int
	fault       Fault
	// Hanging gets a message whenever a request hangs, or drips.
	Hanging chan struct{}
}

// Fault is how the store fails; After bytes of an answer come as they should.
type Fault struct {
	Kind  string // "", reset, hang, 503, short, wrong, drip
	After int
}

// NewObjects makes an empty store.
func NewObjects() *Objects {
	return &Objects{objects: map[string][]byte{}, manifests: map[string][]byte{}, rangeCounts: map[string]int{}, Hanging: make(chan struct{}, 64)}
}

// Add publishes a dataset and gives its manifest.
func (objects *Objects) Add(name string, data []byte, chunk, part int) (*dataset.Manifest, dataset.Digest) {
	m, err := dataset.Build(name, strings.NewReader(string(data)), chunk, part, nil)
	if err != nil {
		panic(err)
	}
	raw, d, err := m.Encode()
	if err != nil {
		panic(err)
	}
	objects.mu.Lock()
	defer objects.mu.Unlock()
	objects.objects[name], objects.manifests[name] = data, raw
	return m, d
}

// Break sets how the store fails from now on; Kind "": it works.
func (objects *Objects) Break(fault Fault) {
	objects.mu.Lock()
	defer objects.mu.Unlock()
	objects.fault = fault
}

// Served is the number of bytes of data given out, and how often the range that begins
// most often asked for began.
func (objects *Objects) Served() (bytes int64, most int) {
	objects.mu.Lock()
	defer objects.mu.Unlock()
	for _, n := range objects.rangeCounts {
		most = max(most, n)
	}
	return objects.served, most
}

// ServeHTTP answers.
func (objects *Objects) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	name, what, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/"), "/")
	objects.mu.Lock()
	data, man, fault := objects.objects[name], objects.manifests[name], objects.fault
	objects.mu.Unlock()
	if fault.Kind == "503" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if what == "manifest.json" && man != nil {
		_, _ = w.Write(man)
		return
	}
	var lo, hi int
	if _, err := fmt.Sscanf(request.Header.Get("Range"), "bytes=%d-%d", &lo, &hi); err != nil || what != "data" || lo > hi || hi >= len(data) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body := data[lo : hi+1]
	w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", lo, hi, len(data)))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(http.StatusPartialContent)
	give := func(b []byte) {
		n, _ := w.Write(b)
		objects.mu.Lock()
		objects.served += int64(n)
		objects.mu.Unlock()
	}
	objects.mu.Lock()
	objects.rangeCounts[fmt.Sprint(name, lo)]++
	objects.mu.Unlock()
	good := min(fault.After, len(body))
	switch fault.Kind {
	case "":
		give(body)
	case "wrong":
		wrong := append([]byte{}, body...)
		for i := good; i < len(wrong); i++ {
			wrong[i] ^= 0x55
		}
		give(wrong)
	case "short", "reset":
		give(body[:good])
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		// The server cuts the connection under a body that is not complete.
		panic(http.ErrAbortHandler)
	case "hang", "drip":
		give(body[:good])
		if fault.Kind == "drip" && good < len(body) {
			give(body[good : good+1])
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		select {
		case objects.Hanging <- struct{}{}:
		default:
		}
		select {
		case <-request.Context().Done():
		case <-time.After(time.Minute):
		}
	}
}
