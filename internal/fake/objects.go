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
	mu   sync.Mutex
	data map[string][]byte
	man  map[string][]byte
	// Served counts the bytes of data given out, Ranges how often each first byte was
	// asked for.
	served  int64
	ranges  map[string]int
	trouble Fault
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
	return &Objects{data: map[string][]byte{}, man: map[string][]byte{}, ranges: map[string]int{}, Hanging: make(chan struct{}, 64)}
}

// Add publishes a dataset and gives its manifest.
func (o *Objects) Add(name string, data []byte, chunk, part int) (*dataset.Manifest, dataset.Digest) {
	m, err := dataset.Build(name, strings.NewReader(string(data)), chunk, part, nil)
	if err != nil {
		panic(err)
	}
	raw, d, err := m.Encode()
	if err != nil {
		panic(err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[name], o.man[name] = data, raw
	return m, d
}

// Break sets how the store fails from now on; Kind "": it works.
func (o *Objects) Break(t Fault) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.trouble = t
}

// Served is the number of bytes of data given out, and how often the range that begins
// most often asked for began.
func (o *Objects) Served() (bytes int64, most int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, n := range o.ranges {
		most = max(most, n)
	}
	return o.served, most
}

// ServeHTTP answers.
func (o *Objects) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, what, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	o.mu.Lock()
	data, man, t := o.data[name], o.man[name], o.trouble
	o.mu.Unlock()
	if t.Kind == "503" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if what == "manifest.json" && man != nil {
		_, _ = w.Write(man)
		return
	}
	var lo, hi int
	if _, err := fmt.Sscanf(r.Header.Get("Range"), "bytes=%d-%d", &lo, &hi); err != nil || what != "data" || lo > hi || hi >= len(data) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body := data[lo : hi+1]
	w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", lo, hi, len(data)))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(http.StatusPartialContent)
	give := func(b []byte) {
		n, _ := w.Write(b)
		o.mu.Lock()
		o.served += int64(n)
		o.mu.Unlock()
	}
	o.mu.Lock()
	o.ranges[fmt.Sprint(name, lo)]++
	o.mu.Unlock()
	good := min(t.After, len(body))
	switch t.Kind {
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
		if t.Kind == "drip" && good < len(body) {
			give(body[good : good+1])
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		select {
		case o.Hanging <- struct{}{}:
		default:
		}
		select {
		case <-r.Context().Done():
		case <-time.After(time.Minute):
		}
	}
}
