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

// Objects is an http.Handler that fakes the dataset store. It serves NAME/manifest.json and byte ranges of NAME/data,
// and can be made to fail. It is safe for concurrent use.
type Objects struct {
	mu        sync.Mutex // guards the fields below, except Hanging
	objects   map[string][]byte
	manifests map[string][]byte
	// bytesServed counts the bytes of data that were sent.
	bytesServed int64
	// rangeCounts counts the requests for each range, by the dataset's name and the range's first byte.
	rangeCounts map[string]int
	fault       Fault
	// Hanging receives a value for each request that hangs, unless its buffer of 64 is full.
	Hanging chan struct{}
}

// Fault is a way in which the store fails. The zero value is no fault.
type Fault struct {
	// Kind is one of: "" for none; "503" for that status on every request; "short" and "reset" to close the connection
	// in the middle of the data; "hang" to send no further data; "drip" to send one more byte and then none; "wrong" to
	// corrupt the data.
	Kind string
	// IntactBytes is the number of bytes of an answer's data that are sent intact before the fault.
	IntactBytes int
}

// NewObjects returns an empty store.
func NewObjects() *Objects {
	return &Objects{objects: map[string][]byte{}, manifests: map[string][]byte{}, rangeCounts: map[string]int{}, Hanging: make(chan struct{}, 64)}
}

// Add publishes a dataset with chunks of the given size in bytes and the given number of chunks in a part. It returns
// the dataset's manifest and the manifest's digest, and panics if the dataset cannot be built.
func (objects *Objects) Add(name string, data []byte, chunkBytes, partChunks int) (*dataset.Manifest, dataset.Digest) {
	manifest, err := dataset.Build(name, strings.NewReader(string(data)), chunkBytes, partChunks, nil)
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

// SetFault sets how the store fails from now on.
func (objects *Objects) SetFault(fault Fault) {
	objects.mu.Lock()
	defer objects.mu.Unlock()
	objects.fault = fault
}

// Served returns the number of data bytes that were sent, and the number of requests for the most requested range.
func (objects *Objects) Served() (bytes int64, maxRangeCount int) {
	objects.mu.Lock()
	defer objects.mu.Unlock()
	for _, n := range objects.rangeCounts {
		maxRangeCount = max(maxRangeCount, n)
	}
	return objects.bytesServed, maxRangeCount
}

// ServeHTTP serves a dataset's manifest or one byte range of its data.
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

// writeBody writes the body of an answer, subject to the fault.
func (objects *Objects) writeBody(w http.ResponseWriter, request *http.Request, body []byte, fault Fault) {
	intact := min(fault.IntactBytes, len(body))
	switch fault.Kind {
	case "":
		objects.write(w, body)
	case "wrong":
		wrong := slices.Clone(body)
		for i := intact; i < len(wrong); i++ {
			wrong[i] ^= 0x55
		}
		objects.write(w, wrong)
	case "short", "reset":
		objects.write(w, body[:intact])
		flush(w)
		// This panic has the server close the connection in the middle of the body.
		panic(http.ErrAbortHandler)
	case "hang", "drip":
		objects.write(w, body[:intact])
		if fault.Kind == "drip" && intact < len(body) {
			objects.write(w, body[intact:intact+1])
		}
		flush(w)
		objects.hang(request)
	}
}

// write writes data and counts its bytes as served.
func (objects *Objects) write(w http.ResponseWriter, data []byte) {
	count, _ := w.Write(data)
	objects.mu.Lock()
	objects.bytesServed += int64(count)
	objects.mu.Unlock()
}

// flush sends the buffered data to the client.
func flush(w http.ResponseWriter) {
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}

// hang sends to Hanging and waits until the client cancels the request, for at most one minute.
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
