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

// workerRouter decides to which controller a worker should report, and whether it may be redirected there.
type workerRouter struct {
	settings  *settings.Settings
	clock     clockwork.Clock
	peers     *peer.Network
	startedAt time.Time

	// mu guards redirects, which remembers who was redirected where.
	mu        sync.Mutex
	redirects redirect.Tracker
}

// newWorkerRouter returns a router that has redirected nobody yet.
func newWorkerRouter(set *settings.Settings, clock clockwork.Clock, peers *peer.Network) *workerRouter {
	return &workerRouter{settings: set, clock: clock, peers: peers, startedAt: clock.Now(), redirects: redirect.NewTracker()}
}

// previousController returns the peer before this controller in the order in which workers try them: a worker that gets
// no answer there comes straight back.
func (w *workerRouter) previousController() string {
	prev, last := "", ""
	for _, other := range w.settings.Peers {
		last = max(last, other.Member)
		if other.Member < w.settings.Member {
			prev = max(prev, other.Member)
		}
	}
	if prev == "" {
		return last
	}
	return prev
}

// mayRedirect reports whether a worker may be redirected to another controller.
func (w *workerRouter) mayRedirect(worker, to string) bool {
	// For a controller that sends no hello, only the redirects that came back count.
	receives := true
	for _, hello := range w.peers.LivePeers() {
		if hello.Member == to {
			receives = hello.ReceivesHeartbeats
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.redirects.Allow(w.clock.Now(), worker, to, receives)
}

// controllerFor returns the controller that a zone's workers should report to: the leader if it is in their zone, else
// their home controller, or, next to an unresponsive controller, the one after it.
func (w *workerRouter) controllerFor(zone, leader string) string {
	to := leader
	if w.zoneOf(leader) != zone {
		if home := w.homeController(zone); home != "" {
			to = home
		}
	}
	ring := append([]settings.Peer{{Member: w.settings.Member, Zone: w.settings.Zone}}, w.settings.Peers...)
	return redirect.Target(ring, to, zone, func(m string) bool {
		return m != w.settings.Member && w.clock.Since(w.startedAt) > tuning.PeerDead+tuning.PeerHello && w.peers.Unresponsive(m)
	})
}

// homeController returns the controller that a zone's workers report to: this one in its own zone, else the first one of
// the zone within reach, or empty.
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

// zoneUnreachable reports whether no controller of another zone can be reached.
func (w *workerRouter) zoneUnreachable(zone string) bool {
	reachable := false
	for _, other := range w.settings.Peers {
		if other.Zone == zone {
			reachable = true
			if w.peers.Reachable(other.Member) {
				return false
			}
		}
	}
	return reachable && zone != w.settings.Zone
}
