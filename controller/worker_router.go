package controller

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/peer"
	"switchferry/redirect"
	"switchferry/settings"
	"switchferry/tuning"
)

// workerRouter decides to which controller a worker should send its heartbeats, and whether it may be redirected there.
type workerRouter struct {
	settings  *settings.Settings
	clock     clockwork.Clock
	peers     *peer.Network
	startedAt time.Time

	// mu guards redirects, which remembers the controllers to which workers were redirected.
	mu        sync.Mutex
	redirects redirect.Tracker
}

// newWorkerRouter returns a router that has redirected no workers yet.
func newWorkerRouter(set *settings.Settings, clock clockwork.Clock, peers *peer.Network) *workerRouter {
	return &workerRouter{settings: set, clock: clock, peers: peers, startedAt: clock.Now(), redirects: redirect.NewTracker()}
}

// previousController returns the peer before this controller in the order in which workers try controllers. A worker
// that gets no response there tries this controller next.
func (w *workerRouter) previousController() string {
	previous, last := "", ""
	for _, other := range w.settings.Peers {
		last = max(last, other.Member)
		if other.Member < w.settings.Member {
			previous = max(previous, other.Member)
		}
	}
	if previous == "" {
		return last
	}
	return previous
}

// mayRedirect reports whether a worker may be redirected to another controller.
func (w *workerRouter) mayRedirect(worker, target string) bool {
	// A controller that sends no hello is assumed to receive heartbeats; only workers that return from it are evidence
	// against that.
	receives := true
	for _, hello := range w.peers.LivePeers() {
		if hello.Member == target {
			receives = hello.ReceivesHeartbeats
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.redirects.Allow(w.clock.Now(), worker, target, receives)
}

// controllerFor returns the controller to which a zone's workers should send their heartbeats: the leader if it is in
// their zone, and otherwise the zone's home controller. If the successor of that controller in the order in which
// workers try controllers is unresponsive, redirect.Target chooses another one.
func (w *workerRouter) controllerFor(zone, leader string) string {
	target := leader
	if w.zoneOf(leader) != zone {
		if home := w.homeController(zone); home != "" {
			target = home
		}
	}
	ring := append([]settings.Peer{{Member: w.settings.Member, Zone: w.settings.Zone}}, w.settings.Peers...)
	return redirect.Target(ring, target, zone, func(member string) bool {
		return member != w.settings.Member && w.clock.Since(w.startedAt) > tuning.PeerSilenceTimeout+tuning.PeerHelloInterval && w.peers.Unresponsive(member)
	})
}

// homeController returns the controller to which a zone's workers send their heartbeats: this controller in its own
// zone, and otherwise the first reachable controller of the zone, or an empty string if there is none.
func (w *workerRouter) homeController(zone string) string {
	if zone == w.settings.Zone {
		return w.settings.Member
	}
	for _, other := range w.settings.Peers {
		if other.Zone == zone && w.peers.Reachable(other.Member) {
			return other.Member
		}
	}
	return ""
}

// zoneOf returns the zone of a member.
func (w *workerRouter) zoneOf(member string) string {
	for _, other := range w.settings.Peers {
		if other.Member == member {
			return other.Zone
		}
	}
	return w.settings.Zone
}

// ZoneUnreachable reports whether a zone other than that of this controller has controllers, none of which is
// reachable.
func (w *workerRouter) ZoneUnreachable(zone string) bool {
	hasControllers := false
	for _, other := range w.settings.Peers {
		if other.Zone == zone {
			hasControllers = true
			if w.peers.Reachable(other.Member) {
				return false
			}
		}
	}
	return hasControllers && zone != w.settings.Zone
}
