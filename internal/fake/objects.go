package fake

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"switchferry/dataset"
)

// Objects is a fake of the store of datasets, an http.Handler that serves NAME/manifest.json and ranges of NAME/data. It
// can be made to fail by Break.
type Objects struct {
	mu        sync.Mutex
	objects   map[string][]byte
	manifests map[string][]byte
	// served counts the bytes of data that were sent, rangeCounts how often each range was requested, by the
	// dataset's name and its first byte.
	served      int64
	rangeCounts map[string]int
	fault       Fault
	// Hanging gets a message whenever a request hangs or drips, unless 64 wait to be read.
	Hanging chan struct{}
}

// Fault is how the store fails. The first After bytes of an answer are as they should be.
type Fault struct {
	Kind  string // "", reset, hang, 503, short, wrong, drip
	After int
}

// NewObjects makes an empty store.
func NewObjects() *Objects {
	return &Objects{objects: map[string][]byte{}, manifests: map[string][]byte{}, rangeCounts: map[string]int{}, Hanging: make(chan struct{}, 64)}
}

// Add publishes a dataset and returns its manifest with its digest; it panics if the dataset cannot be built.
func (objects *Objects) Add(name string, data []byte, chunk, part int) (*dataset.Manifest, dataset.Digest) {
	manifest, err := dataset.Build(name, strings.NewReader(string(data)), chunk, part, nil)
	if err != nil {
		panic(err)
	}
	raw, digest, err := manifest.Encode()
	if err != nil {
		panic(err)
	}
	objects.mu.Lock()
	defer objects.mu.Unlock()
	objects.objects[name], objects.manifests[name] = data, raw
	return manifest, digest
}

// Break sets how the store fails from now on. The zero Fault ends that.
func (objects *Objects) Break(fault Fault) {
	objects.mu.Lock()
	defer objects.mu.Unlock()
	objects.fault = fault
}

// Served is the number of bytes of data that were sent, and how often the most requested range was requested.
func (objects *Objects) Served() (bytes int64, most int) {
	objects.mu.Lock()
	defer objects.mu.Unlock()
	for _, n := range objects.rangeCounts {
		most = max(most, n)
	}
	return objects.served, most
}

// ServeHTTP serves a dataset's manifest, or one range of its data.
func (objects *Objects) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	name, file, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/"), "/")
	objects.mu.Lock()
	data, manifest, fault := objects.objects[name], objects.manifests[name], objects.fault
	objects.mu.Unlock()
	if fault.Kind == "503" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if file == "manifest.json" && manifest != nil {
		_, _ = w.Write(manifest)
		return
	}
	var first, last int
	if _, err := fmt.Sscanf(request.Header.Get("Range"), "bytes=%d-%d", &first, &last); err != nil || file != "data" || first > last || last >= len(data) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body := data[first : last+1]
	w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", first, last, len(data)))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(http.StatusPartialContent)
	objects.mu.Lock()
	objects.rangeCounts[fmt.Sprint(name, first)]++
	objects.mu.Unlock()
	objects.writeBody(w, request, body, fault)
}

// writeBody writes the body of an answer as the fault says.
func (objects *Objects) writeBody(w http.ResponseWriter, request *http.Request, body []byte, fault Fault) {
	good := min(fault.After, len(body))
	switch fault.Kind {
	case "":
		objects.write(w, body)
	case "wrong":
		wrong := slices.Clone(body)
		for i := good; i < len(wrong); i++ {
			wrong[i] ^= 0x55
		}
		objects.write(w, wrong)
	case "short", "reset":
		objects.write(w, body[:good])
		flush(w)
		// The server closes the connection in the middle of the body.
		panic(http.ErrAbortHandler)
	case "hang", "drip":
		objects.write(w, body[:good])
		if fault.Kind == "drip" && good < len(body) {
			objects.write(w, body[good:good+1])
		}
		flush(w)
		objects.hang(request)
	}
}

// write writes data and counts the bytes.
func (objects *Objects) write(w http.ResponseWriter, data []byte) {
	count, _ := w.Write(data)
	objects.mu.Lock()
	objects.served += int64(count)
	objects.mu.Unlock()
}

// flush sends what was written so far.
func flush(w http.ResponseWriter) {
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}

// hang announces that a request hangs, and waits for its end, for a minute at most.
func (objects *Objects) hang(request *http.Request) {
	select {
	case objects.Hanging <- struct{}{}:
	default:
	}
	select {
	case <-request.Context().Done():
	case <-time.After(time.Minute):
	}
}
