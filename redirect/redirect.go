// Package redirect decides which controller a worker should send its heartbeats to. It has no clock and no
// lock: the caller passes the time and serializes the calls.
package redirect

import (
	"slices"
	"strings"
	"time"

	"switchferry/settings"
	"switchferry/tuning"
)

// Tracker remembers which workers were redirected to other controllers. A worker waits 4 s for the answer to
// a heartbeat and another second before it tries the next controller, so with a lease of 10 s it survives one
// controller that does not answer, but not two in a row.
type Tracker struct {
	// redirectedAt is when a worker was first redirected within the last tuning.BounceKeep. One that comes
	// back could not reach the controller that it was redirected to.
	redirectedAt map[string]time.Time
	// probedAt is when a worker was last redirected to a controller that receives no heartbeats.
	probedAt map[string]time.Time
}

// NewTracker returns a tracker without entries.
func NewTracker() Tracker {
	return Tracker{redirectedAt: map[string]time.Time{}, probedAt: map[string]time.Time{}}
}

// Allow reports whether a worker may be redirected to the target now, and records that it is. A worker that
// came back after an earlier redirect may not. A target that states that it receives no heartbeats may be
// unreachable for workers, or merely have none: it is probed with one worker every tuning.BounceProbe.
func (t *Tracker) Allow(now time.Time, worker, target string, receivesHeartbeats bool) bool {
	if redirectedAt, known := t.redirectedAt[worker]; known {
		if since := now.Sub(redirectedAt); since > tuning.RedirectTrip && since < tuning.RedirectBackoff {
			return false
		}
	}
	if !receivesHeartbeats {
		if probedAt, probed := t.probedAt[target]; probed && now.Sub(probedAt) < tuning.RedirectProbe {
			return false
		}
		t.probedAt[target] = now
	}
	t.removeExpired(now)
	if _, known := t.redirectedAt[worker]; !known {
		t.redirectedAt[worker] = now
	}
	return true
}

// removeExpired removes the redirects that are older than tuning.BounceKeep.
func (t *Tracker) removeExpired(now time.Time) {
	for worker, redirectedAt := range t.redirectedAt {
		if now.Sub(redirectedAt) >= tuning.RedirectBackoff {
			delete(t.redirectedAt, worker)
		}
	}
}

// Target returns the controller that workers of a zone should report to which belong to the target, given which
// controllers are silent. Workers try the controllers in the order of their names. If the target's successor
// in this order is silent and the target then fails, too, its workers meet two controllers in a row that do
// not answer, and lose their leases. So they are redirected to a responding controller whose successor
// responds, if possible of their own zone. If there is none, Target returns the target.
func Target(controllers []settings.Peer, target, zone string, silent func(member string) bool) string {
	controllers = slices.SortedFunc(slices.Values(controllers), func(a, b settings.Peer) int {
		return strings.Compare(a.Member, b.Member)
	})
	best := ""
	for i, controller := range controllers {
		successor := controllers[(i+1)%len(controllers)]
		if silent(controller.Member) || silent(successor.Member) {
			continue
		}
		if controller.Member == target {
			return target
		}
		if best == "" || controller.Zone == zone {
			best = controller.Member
		}
	}
	if best == "" {
		return target
	}
	return best
}
