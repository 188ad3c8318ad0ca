// Package redirect decides which controller a worker should report to. It has no clock and no lock.
package redirect

import (
	"slices"
	"strings"
	"time"

	"switchferry/settings"
	"switchferry/tuning"
)

// Tracker remembers which workers were sent to other controllers. A worker gives an
// unanswered report up after 4 s and takes another second to turn to the next node,
// so of a lease of 10 s it can afford one dead end, not two in a row.
type Tracker struct {
	// sent is when a worker was last sent away. One that comes back soon could
	// not reach the node that it was sent to.
	sent map[string]time.Time
	// probed is when a worker was last sent to a controller that hears none.
	probed map[string]time.Time
}

// NewTracker remembers none.
func NewTracker() Tracker {
	return Tracker{sent: map[string]time.Time{}, probed: map[string]time.Time{}}
}

// Allow tells whether a worker may be sent to a controller, and notes that it is.
// hears: that one says that workers reach it. To one that says so no more, whatever
// else it answers, a single worker is sent now and then: it may just have none.
func (b *Tracker) Allow(now time.Time, worker, to string, hears bool) bool {
	at, known := b.sent[worker]
	if known && now.Sub(at) < tuning.BounceKeep && now.Sub(at) > tuning.BounceTrip {
		return false
	}
	if !hears {
		if at, ok := b.probed[to]; ok && now.Sub(at) < tuning.BounceProbe {
			return false
		}
		b.probed[to] = now
	}
	for k, at := range b.sent {
		if now.Sub(at) >= tuning.BounceKeep {
			delete(b.sent, k)
		}
	}
	if _, ok := b.sent[worker]; !ok {
		b.sent[worker] = now
	}
	return true
}

// Target is where workers should report that belong to a controller, given those that
// are silent. Workers try the nodes in the order of their names. Those of the node
// before a silent one would, should theirs fall silent too, run into two dead ends in a
// row and lose their leases: they go to a node with a living one behind it, of their
// own zone if there is one.
func Target(ring []settings.Peer, to, zone string, silent func(string) bool) string {
	ring = slices.Clone(ring)
	slices.SortFunc(ring, func(a, b settings.Peer) int { return strings.Compare(a.Member, b.Member) })
	best := ""
	for i, s := range ring {
		if silent(s.Member) || silent(ring[(i+1)%len(ring)].Member) {
			continue
		}
		if s.Member == to {
			return to
		}
		if best == "" || s.Zone == zone {
			best = s.Member
		}
	}
	if best == "" {
		return to
	}
	return best
}
