// Package redirect decides to which controller a worker should send its heartbeats. It has no clock and no lock: the
// caller passes the time and serializes the calls.
package redirect

import (
	"slices"
	"strings"
	"time"

	"switchferry/settings"
	"switchferry/tuning"
)

// Tracker records which workers were redirected to other controllers, and decides whether a worker may be redirected. A
// worker waits 4 s for the response to a heartbeat and another second before it tries the next controller. With a lease
// of 10 s it can therefore afford one controller that does not respond, but not two in a row.
type Tracker struct {
	// redirectedAt maps a worker to the time when it was first redirected within the last tuning.RedirectBackoff. A
	// worker that comes back could not reach the controller to which it was redirected.
	redirectedAt map[string]time.Time
	// probedAt maps a controller that receives no heartbeats to the time when a worker was last redirected to it.
	probedAt map[string]time.Time
}

// NewTracker returns a Tracker without entries.
func NewTracker() Tracker {
	return Tracker{redirectedAt: map[string]time.Time{}, probedAt: map[string]time.Time{}}
}

// Allow reports whether a worker may be redirected to the target now and, if so, records the redirect. A worker that
// came back after an earlier redirect may not be redirected until tuning.RedirectBackoff has passed. A target that
// reports that it receives no heartbeats may be unreachable for workers, or merely have no workers: it is probed with
// one worker every tuning.RedirectProbeInterval.
func (t *Tracker) Allow(now time.Time, worker, target string, receivesHeartbeats bool) bool {
	if redirectedAt, known := t.redirectedAt[worker]; known {
		if since := now.Sub(redirectedAt); since > tuning.RedirectHeartbeatTimeout && since < tuning.RedirectBackoff {
			return false
		}
	}
	if !receivesHeartbeats {
		if probedAt, probed := t.probedAt[target]; probed && now.Sub(probedAt) < tuning.RedirectProbeInterval {
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

// removeExpired removes the redirects that are at least tuning.RedirectBackoff old.
func (t *Tracker) removeExpired(now time.Time) {
	for worker, redirectedAt := range t.redirectedAt {
		if now.Sub(redirectedAt) >= tuning.RedirectBackoff {
			delete(t.redirectedAt, worker)
		}
	}
}

// Target returns the controller to which the workers of a zone that are assigned to target should send their
// heartbeats. unresponsive reports whether a controller does not respond. Workers try the controllers in the order of
// their names. If the successor of the target in this order is unresponsive and the target then fails too, its workers
// try two controllers in a row that do not respond, and lose their leases. So workers keep to the target only if it and
// its successor respond. Otherwise they are redirected to a responding controller whose successor responds, preferably
// of their own zone. If there is none, Target returns the target.
func Target(controllers []settings.Peer, target, zone string, unresponsive func(member string) bool) string {
	controllers = slices.SortedFunc(slices.Values(controllers), func(a, b settings.Peer) int {
		return strings.Compare(a.Member, b.Member)
	})
	best := ""
	for i, controller := range controllers {
		successor := controllers[(i+1)%len(controllers)]
		if unresponsive(controller.Member) || unresponsive(successor.Member) {
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
