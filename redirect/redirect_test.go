package redirect

import (
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/settings"
	"switchferry/tuning"
)

// A controller that workers cannot reach may still send hellos to its peers. Workers that had left it for another
// controller were then all redirected back to it, and a worker that meets a second controller without a response loses
// its lease.
func TestControllerWithoutHeartbeatsIsProbedByOneWorker(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tracker := NewTracker()
	redirected := 0
	for _, worker := range []string{"n-1", "n-2", "n-3", "n-4"} {
		if tracker.Allow(clock.Now(), worker, "unreachable", false) {
			redirected++
		}
	}
	if redirected != 1 {
		t.Errorf("%d of 4 workers were redirected to a controller without heartbeats, want one to probe it", redirected)
	}
	if !tracker.Allow(clock.Now(), "n-2", "other", true) {
		t.Error("not redirected to a controller that receives heartbeats")
	}
	if !tracker.Allow(clock.Now(), "n-2", "other", true) {
		t.Error("not redirected again in the response to a heartbeat that was sent before the redirect arrived")
	}
	clock.Advance(tuning.RedirectProbeInterval)
	if tracker.Allow(clock.Now(), "n-1", "unreachable", false) {
		t.Error("the worker that had probed the controller was redirected to it again")
	}
	if !tracker.Allow(clock.Now(), "n-3", "unreachable", false) {
		t.Error("no other worker was redirected to probe the controller")
	}
	clock.Advance(tuning.RedirectHeartbeatTimeout / 2)
	if !tracker.Allow(clock.Now(), "n-4", "unreachable", true) {
		t.Error("not redirected although the controller receives heartbeats again")
	}
	clock.Advance(5 * time.Second)
	if tracker.Allow(clock.Now(), "n-4", "unreachable", true) {
		t.Error("a worker that came back was redirected again")
	}
}

// Two of three controllers stopped responding, one after the other. The workers of the second one tried the first one
// next, and their leases expired before they reached the third.
func TestTargetHasRespondingSuccessor(t *testing.T) {
	controllers := []settings.Peer{{Member: "n1", Zone: "b"}, {Member: "n0", Zone: "a"}, {Member: "n2", Zone: "a"}}
	for _, test := range []struct{ unresponsiveMembers, target, zone, want string }{
		{"", "n0", "a", "n0"},
		{"n1", "n0", "a", "n2"}, // after n0, workers would try n1
		{"n1", "n2", "a", "n2"},
		{"n2", "n1", "b", "n0"}, // after n1, workers would try n2
		{"n0", "n2", "a", "n1"}, // after n2, workers would try n0
		{"n0 n2", "n1", "b", "n1"},
	} {
		unresponsive := func(m string) bool { return strings.Contains(test.unresponsiveMembers, m) }
		if got := Target(controllers, test.target, test.zone, unresponsive); got != test.want {
			t.Errorf("%q unresponsive, workers of %s: redirected to %s, want %s", test.unresponsiveMembers, test.target, got, test.want)
		}
	}
}
