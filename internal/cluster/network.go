package cluster

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// RegionalServices is the place of the state service and the cloud, which belong to no zone.
const RegionalServices = ""

// zoneNetwork knows which zones do not reach each other.
type zoneNetwork struct {
	mu sync.Mutex
	// isolatedZones is empty, or the zones that are cut off from all others together.
	isolatedZones []string
	// changed is closed at each change, and made anew.
	changed chan struct{}
}

func newNetwork() *zoneNetwork { return &zoneNetwork{changed: make(chan struct{})} }

// Isolate cuts some zones, which go on reaching each other, off from everything else; without any it ends that.
func (cluster *Cluster) Isolate(zones ...string) {
	cluster.network.mu.Lock()
	defer cluster.network.mu.Unlock()
	cluster.network.isolatedZones = zones
	close(cluster.network.changed)
	cluster.network.changed = make(chan struct{})
}

// blocked tells whether two places do not reach each other, and gives a channel that is closed when that changes.
func (network *zoneNetwork) blocked(a, b string) (bool, <-chan struct{}) {
	network.mu.Lock()
	defer network.mu.Unlock()
	return slices.Contains(network.isolatedZones, a) != slices.Contains(network.isolatedZones, b), network.changed
}

// wait waits until two places reach each other; false: the context ended before.
func (network *zoneNetwork) wait(ctx context.Context, a, b string) bool {
	for {
		blocked, changed := network.blocked(a, b)
		if !blocked {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// newLink opens a port through which a controller in zone from reaches one in zone to; what a cut holds up is
// delivered after it.
func (cluster *Cluster) newLink(target, kind, from, to string) (address string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	cluster.cleanup = append(cluster.cleanup, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go cluster.forward(conn, target, kind, from, to)
		}
	}()
	return listener.Addr().String(), nil
}

func (cluster *Cluster) forward(inbound net.Conn, target, kind, from, to string) {
	defer inbound.Close()
	if !cluster.network.wait(cluster.ctx, from, to) {
		return
	}
	outbound, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil {
		return
	}
	defer outbound.Close()
	defer context.AfterFunc(cluster.ctx, func() { inbound.Close(); outbound.Close() })()
	pump := func(into, out net.Conn, direction string) {
		defer into.Close()
		defer out.Close()
		buffer := make([]byte, 32<<10)
		for {
			n, err := out.Read(buffer)
			if n > 0 {
				cluster.Traffic.Add(kind+direction, n)
				if !cluster.network.wait(cluster.ctx, from, to) {
					return
				}
				if _, err := into.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pump(inbound, outbound, " in")
	pump(outbound, inbound, " out")
}

// serveRegional opens a port at which one controller reaches a stand-in.
func (cluster *Cluster) serveRegional(service http.RoundTripper, kind, member, zone string) (address string, err error) {
	return cluster.serve(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if !cluster.network.wait(request.Context(), zone, RegionalServices) {
			panic(http.ErrAbortHandler)
		}
		requested := int(max(0, request.ContentLength)) + len(request.URL.RequestURI())
		response, err := service.RoundTrip(request)
		if err != nil || !cluster.network.wait(request.Context(), zone, RegionalServices) {
			panic(http.ErrAbortHandler)
		}
		defer response.Body.Close()
		w.WriteHeader(response.StatusCode)
		n, _ := io.Copy(w, response.Body)
		cluster.Traffic.Add(kind+" "+request.Method+" "+firstSegment(request.URL.Path)+" of "+member, requested+int(n))
	}))
}

// firstSegment is the first part of a path, which tells what is asked.
func firstSegment(path string) string {
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			return path[:i]
		}
	}
	return path
}

// serve answers on a loopback port of its own.
func (cluster *Cluster) serve(h http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	cluster.mu.Lock()
	cluster.cleanup = append(cluster.cleanup, func() { _ = server.Close() })
	cluster.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}
