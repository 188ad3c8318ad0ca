package redirect

import (
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/settings"
	"switchferry/tuning"
)

// A controller that lost its workers but greets its siblings as ever: workers that
// turned away from it were all sent back, and a second dead end ends a lease.
func TestWorkersAreNotRedirectedToControllerWithoutHeartbeats(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tracker := NewTracker()
	sent := 0
	for _, worker := range []string{"n-1", "n-2", "n-3", "n-4"} {
		if tracker.Allow(clock.Now(), worker, "deaf", false) {
			sent++
		}
	}
	if sent != 1 {
		t.Errorf("%d of 4 workers were sent to a controller that hears none, want one to try", sent)
	}
	if !tracker.Allow(clock.Now(), "n-2", "other", true) {
		t.Error("not sent to a controller that hears workers")
	}
	clock.Advance(tuning.BounceProbe)
	if tracker.Allow(clock.Now(), "n-1", "deaf", false) {
		t.Error("the worker that had tried was sent again")
	}
	if !tracker.Allow(clock.Now(), "n-3", "deaf", false) {
		t.Error("nobody tries whether it hears again")
	}
	clock.Advance(tuning.BounceTrip / 2)
	if !tracker.Allow(clock.Now(), "n-4", "deaf", true) {
		t.Error("not sent although it hears workers again")
	}
	clock.Advance(5 * time.Second)
	if tracker.Allow(clock.Now(), "n-4", "deaf", true) {
		t.Error("a worker that came back was sent again")
	}
}

// Two controllers out of three fell silent, one after the other: workers of the second
// tried the first next, and their leases ended in the second dead end.
func TestTargetHasRespondingSuccessor(t *testing.T) {
	controllers := []settings.Peer{{Member: "n1", Zone: "b"}, {Member: "n0", Zone: "a"}, {Member: "n2", Zone: "a"}}
	for _, test := range []struct{ silent, to, zone, want string }{
		{"", "n0", "a", "n0"},
		{"n1", "n0", "a", "n2"}, // n0's workers would try n1 next
		{"n1", "n2", "a", "n2"},
		{"n2", "n1", "b", "n0"}, // n1's would try n2
		{"n0", "n2", "a", "n1"}, // n2's would try n0
		{"n0 n2", "n1", "b", "n1"},
	} {
		silent := func(m string) bool { return strings.Contains(test.silent, m) }
		if got := Target(controllers, test.to, test.zone, silent); got != test.want {
			t.Errorf("%q silent, workers of %s: %s, want %s", test.silent, test.to, got, test.want)
		}
	}
}
