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
	// redirectedAt is when a worker was last sent away. One that comes back soon could
	// not reach the node that it was sent to.
	redirectedAt map[string]time.Time
	// probedAt is when a worker was last sent to a controller that hears none.
	probedAt map[string]time.Time
}

// NewTracker remembers none.
func NewTracker() Tracker {
	return Tracker{redirectedAt: map[string]time.Time{}, probedAt: map[string]time.Time{}}
}

// Allow tells whether a worker may be sent to a controller, and notes that it is.
// hears: that one says that workers reach it. To one that says so no more, whatever
// else it answers, a single worker is sent now and then: it may just have none.
func (t *Tracker) Allow(now time.Time, worker, target string, receivesHeartbeats bool) bool {
	redirectedAt, known := t.redirectedAt[worker]
	if known && now.Sub(redirectedAt) < tuning.BounceKeep && now.Sub(redirectedAt) > tuning.BounceTrip {
		return false
	}
	if !receivesHeartbeats {
		if probedAt, ok := t.probedAt[target]; ok && now.Sub(probedAt) < tuning.BounceProbe {
			return false
		}
		t.probedAt[target] = now
	}
	for name, redirectedAt := range t.redirectedAt {
		if now.Sub(redirectedAt) >= tuning.BounceKeep {
			delete(t.redirectedAt, name)
		}
	}
	if _, ok := t.redirectedAt[worker]; !ok {
		t.redirectedAt[worker] = now
	}
	return true
}

// Target is where workers should report that belong to a controller, given those that
// are silent. Workers try the nodes in the order of their names. Those of the node
// before a silent one would, should theirs fall silent too, run into two dead ends in a
// row and lose their leases: they go to a node with a living one behind it, of their
// own zone if there is one.
func Target(controllers []settings.Peer, target, zone string, silent func(string) bool) string {
	controllers = slices.Clone(controllers)
	slices.SortFunc(controllers, func(a, b settings.Peer) int { return strings.Compare(a.Member, b.Member) })
	candidate := ""
	for i, controller := range controllers {
		if silent(controller.Member) || silent(controllers[(i+1)%len(controllers)].Member) {
			continue
		}
		if controller.Member == target {
			return target
		}
		if candidate == "" || controller.Zone == zone {
			candidate = controller.Member
		}
	}
	if candidate == "" {
		return target
	}
	return candidate
}
