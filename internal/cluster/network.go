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

// network knows which zones do not reach each other.
type network struct {
	mu sync.Mutex
	// island is empty, or the zones that are cut off from all others together.
	island []string
	// changed is closed at each change, and made anew.
	changed chan struct{}
}

func newNetwork() *network { return &network{changed: make(chan struct{})} }

// Isolate cuts some zones, which go on reaching each other, off from everything else; without any it ends that.
func (c *Cluster) Isolate(zones ...string) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.island = zones
	close(c.network.changed)
	c.network.changed = make(chan struct{})
}

// blocked tells whether two places do not reach each other, and gives a channel that is closed when that changes.
func (n *network) blocked(a, b string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Contains(n.island, a) != slices.Contains(n.island, b), n.changed
}

// wait waits until two places reach each other; false: the context ended before.
func (n *network) wait(ctx context.Context, a, b string) bool {
	for {
		blocked, changed := n.blocked(a, b)
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
func (c *Cluster) newLink(target, kind, from, to string) (address string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	c.cleanup = append(c.cleanup, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.carry(conn, target, kind, from, to)
		}
	}()
	return listener.Addr().String(), nil
}

func (c *Cluster) carry(near net.Conn, target, kind, from, to string) {
	defer near.Close()
	if !c.network.wait(c.ctx, from, to) {
		return
	}
	far, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil {
		return
	}
	defer far.Close()
	defer context.AfterFunc(c.ctx, func() { near.Close(); far.Close() })()
	pump := func(into, out net.Conn, direction string) {
		defer into.Close()
		defer out.Close()
		buffer := make([]byte, 32<<10)
		for {
			n, err := out.Read(buffer)
			if n > 0 {
				c.Traffic.Add(kind+direction, n)
				if !c.network.wait(c.ctx, from, to) {
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
	go pump(near, far, " in")
	pump(far, near, " out")
}

// serveService opens a port at which one controller reaches a stand-in.
func (c *Cluster) serveService(service http.RoundTripper, kind, member, zone string) (address string, err error) {
	return c.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !c.network.wait(r.Context(), zone, RegionalServices) {
			panic(http.ErrAbortHandler)
		}
		requested := int(max(0, r.ContentLength)) + len(r.URL.RequestURI())
		response, err := service.RoundTrip(r)
		if err != nil || !c.network.wait(r.Context(), zone, RegionalServices) {
			panic(http.ErrAbortHandler)
		}
		defer response.Body.Close()
		w.WriteHeader(response.StatusCode)
		n, _ := io.Copy(w, response.Body)
		c.Traffic.Add(kind+" "+r.Method+" "+firstSegment(r.URL.Path)+" of "+member, requested+int(n))
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
func (c *Cluster) serve(h http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	c.mu.Lock()
	c.cleanup = append(c.cleanup, func() { _ = server.Close() })
	c.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}
