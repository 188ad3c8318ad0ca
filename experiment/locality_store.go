package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"switchferry/connlimit"
	"switchferry/dataset"
	"switchferry/httpapi"
)

func datasetName(i int) string { return fmt.Sprintf("set-%03d", i) }

// storeServer serves datasets over HTTP at a limited total rate.
type storeServer struct {
	url           string
	summaries     []*dataset.Summary
	limiter       *rate.Limiter
	data          map[string][]byte
	manifests     map[string][]byte
	manifestBytes atomic.Int64
}

func (l *Locality) startStore(ctx context.Context) (*storeServer, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &storeServer{url: "http://" + ln.Addr().String(), limiter: rate.NewLimiter(rate.Limit(l.StoreRate), 64<<10),
		data: map[string][]byte{}, manifests: map[string][]byte{}}
	rng := rand.New(rand.NewPCG(l.Seed, 99))
	for i := range l.Datasets {
		raw := make([]byte, l.Parts*l.PartBytes)
		for k := 0; k+8 <= len(raw); k += 8 {
			v := rng.Uint64()
			for b := range 8 {
				raw[k+b] = byte(v >> (8 * b))
			}
		}
		m, err := dataset.Build(datasetName(i), strings.NewReader(string(raw)), l.PartBytes, 1, nil)
		if err != nil {
			return nil, err
		}
		mr, _, err := m.Encode()
		if err != nil {
			return nil, err
		}
		sum, err := dataset.Summarize(m, mr)
		if err != nil {
			return nil, err
		}
		s.summaries = append(s.summaries, &sum)
		s.data[datasetName(i)], s.manifests[datasetName(i)] = raw, mr
	}
	go httpapi.Serve(ctx, ln, s, connlimit.NewLimiter(0))
	return s, nil
}

func (s *storeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, what, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if what == "manifest.json" {
		n, _ := w.Write(s.manifests[name])
		s.manifestBytes.Add(int64(n))
		return
	}
	if s.data[name] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	http.ServeContent(&throttledWriter{w, s, r}, r, "", time.Time{}, strings.NewReader(string(s.data[name])))
}

// throttledWriter writes a response at the rate that the store's limiter allows.
type throttledWriter struct {
	http.ResponseWriter
	store   *storeServer
	request *http.Request
}

func (w *throttledWriter) Write(p []byte) (n int, err error) {
	for chunk := range slices.Chunk(p, 32<<10) {
		if err := w.store.limiter.WaitN(w.request.Context(), len(chunk)); err != nil {
			return n, err
		}
		k, err := w.ResponseWriter.Write(chunk)
		n += k
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
