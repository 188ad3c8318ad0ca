package cluster

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"switchferry/internal/sleep"
)

// RegionalServices stands for the zone of the state service and the cloud, which belong to no zone.
const RegionalServices = ""

// zoneNetwork holds the network faults between zones and between controllers. It is safe for concurrent use.
type zoneNetwork struct {
	// mu guards the fields below.
	mu sync.Mutex
	// isolatedZones reach each other, but no other zone and no regional service. It is empty without a partition.
	isolatedZones []string
	// blockedMembers are the pairs of controllers, sender and receiver, whose link is blocked in that direction.
	blockedMembers map[[2]string]bool
	// peerDelay is the maximum delay of data between controllers.
	peerDelay time.Duration
	// changed is closed and replaced at each change of isolatedZones or blockedMembers.
	changed chan struct{}
}

func newNetwork() *zoneNetwork {
	return &zoneNetwork{blockedMembers: map[[2]string]bool{}, changed: make(chan struct{})}
}

// Isolate partitions the given zones, which still reach each other, from all other zones and the regional services.
// Without zones it ends the partition.
func (cluster *Cluster) Isolate(zones ...string) {
	cluster.network.mu.Lock()
	defer cluster.network.mu.Unlock()
	cluster.network.isolatedZones = zones
	cluster.network.notifyChange()
}

// BlockPeer blocks the data that one controller sends to another one, or unblocks it. Blocked data is delivered
// afterwards. The opposite direction is not affected.
func (cluster *Cluster) BlockPeer(from, to string, block bool) {
	cluster.network.mu.Lock()
	defer cluster.network.mu.Unlock()
	cluster.network.blockedMembers[[2]string{from, to}] = block
	cluster.network.notifyChange()
}

// DelayPeers delays each chunk of data between controllers by a random time up to the given one; 0 ends the delays.
func (cluster *Cluster) DelayPeers(upTo time.Duration) {
	cluster.network.mu.Lock()
	defer cluster.network.mu.Unlock()
	cluster.network.peerDelay = upTo
}

// delayPeer waits for the random delay of one chunk of data between controllers.
func (network *zoneNetwork) delayPeer(ctx context.Context) {
	network.mu.Lock()
	upTo := network.peerDelay
	network.mu.Unlock()
	if upTo > 0 {
		sleep.OnRealClock(ctx, randomDuration(upTo))
	}
}

// notifyChange wakes the goroutines that wait for a path to be unblocked. The caller holds mu.
func (network *zoneNetwork) notifyChange() {
	close(network.changed)
	network.changed = make(chan struct{})
}

// blocked reports whether two zones are partitioned from each other, and returns a channel that is closed when that may
// have changed. Each zone may be RegionalServices.
func (network *zoneNetwork) blocked(a, b string) (bool, <-chan struct{}) {
	network.mu.Lock()
	defer network.mu.Unlock()
	return network.zonesPartitioned(a, b), network.changed
}

// zonesPartitioned reports whether two zones are partitioned from each other. The caller holds mu.
func (network *zoneNetwork) zonesPartitioned(a, b string) bool {
	return slices.Contains(network.isolatedZones, a) != slices.Contains(network.isolatedZones, b)
}

// waitForZones waits until two zones reach each other. It reports false if ctx ended before.
func (network *zoneNetwork) waitForZones(ctx context.Context, a, b string) bool {
	return waitUntilUnblocked(ctx, func() (bool, <-chan struct{}) { return network.blocked(a, b) })
}

// waitUntilUnblocked waits until blocked returns false. blocked also returns a channel that is closed when its result
// may have changed. waitUntilUnblocked reports false if ctx ended before.
func waitUntilUnblocked(ctx context.Context, blocked func() (bool, <-chan struct{})) bool {
	for {
		isBlocked, changed := blocked()
		if !isBlocked {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// peerLink is a network path to the controller that listens at target. kind names its traffic in Traffic. The zones and
// the members are empty unless the sender is a controller.
type peerLink struct {
	target, kind         string
	fromZone, toZone     string
	fromMember, toMember string
}

// reversed returns the link in the opposite direction.
func (link peerLink) reversed() peerLink {
	link.fromZone, link.toZone = link.toZone, link.fromZone
	link.fromMember, link.toMember = link.toMember, link.fromMember
	return link
}

// linkBlocked reports whether a link is blocked in its direction, and returns a channel that is closed when that may
// have changed.
func (network *zoneNetwork) linkBlocked(link peerLink) (bool, <-chan struct{}) {
	network.mu.Lock()
	defer network.mu.Unlock()
	memberBlocked := network.blockedMembers[[2]string{link.fromMember, link.toMember}]
	return memberBlocked || network.zonesPartitioned(link.fromZone, link.toZone), network.changed
}

// waitForLink waits until a link is not blocked in its direction. It reports false if ctx ended before.
func (network *zoneNetwork) waitForLink(ctx context.Context, link peerLink) bool {
	return waitUntilUnblocked(ctx, func() (bool, <-chan struct{}) { return network.linkBlocked(link) })
}

// newLink opens a loopback port that forwards connections to the link's target. Data that is sent while the link is
// blocked is delivered afterwards.
func (cluster *Cluster) newLink(link peerLink) (address string, err error) {
	listener, err := listenLoopback(cluster.ctx)
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
			go cluster.forward(conn, link)
		}
	}()
	return listener.Addr().String(), nil
}

// forward relays a connection to the link's target. It holds data back while the link is blocked, and counts the bytes
// of each direction.
func (cluster *Cluster) forward(inbound net.Conn, link peerLink) {
	defer closeQuietly(inbound)
	if !cluster.network.waitForLink(cluster.ctx, link) {
		return
	}
	dialer := net.Dialer{Timeout: time.Second}
	outbound, err := dialer.DialContext(cluster.ctx, "tcp4", link.target)
	if err != nil {
		return
	}
	defer closeQuietly(outbound)
	defer context.AfterFunc(cluster.ctx, func() { closeQuietly(inbound); closeQuietly(outbound) })()
	pump := func(destination, source net.Conn, link peerLink, direction string) {
		defer closeQuietly(destination)
		defer closeQuietly(source)
		buffer := make([]byte, 32<<10)
		for {
			n, err := source.Read(buffer)
			if n > 0 {
				cluster.Traffic.Add(link.kind+direction, n)
				cluster.network.delayPeer(cluster.ctx)
				if !cluster.network.waitForLink(cluster.ctx, link) {
					return
				}
				if _, err := destination.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pump(inbound, outbound, link.reversed(), " in")
	pump(outbound, inbound, link, " out")
}

// serveRegional opens a loopback port at which one controller reaches the fake of a regional service.
func (cluster *Cluster) serveRegional(service http.RoundTripper, kind, member, zone string) (address string, err error) {
	return cluster.serve(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if !cluster.network.waitForZones(request.Context(), zone, RegionalServices) {
			panic(http.ErrAbortHandler)
		}
		requested := int(max(0, request.ContentLength)) + len(request.URL.RequestURI())
		response, err := service.RoundTrip(request)
		if err != nil || !cluster.network.waitForZones(request.Context(), zone, RegionalServices) {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = response.Body.Close() }()
		w.WriteHeader(response.StatusCode)
		n, _ := io.Copy(w, response.Body)
		cluster.Traffic.Add(kind+" "+request.Method+" "+firstSegment(request.URL.Path)+" of "+member, requested+int(n))
	}))
}

// listenLoopback listens on a free port of the loopback address.
func listenLoopback(ctx context.Context) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening on a loopback port: %w", err)
	}
	return listener, nil
}

// closeQuietly closes a resource and ignores the error. Use it only where a failed close loses no data.
func closeQuietly(closer io.Closer) { _ = closer.Close() }

// firstSegment returns the first segment of a path, with its leading slash.
func firstSegment(path string) string {
	for index := 1; index < len(path); index++ {
		if path[index] == '/' {
			return path[:index]
		}
	}
	return path
}

// serve runs an HTTP server on a free loopback port until the cluster is closed.
func (cluster *Cluster) serve(h http.Handler) (address string, err error) {
	listener, err := listenLoopback(cluster.ctx)
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
