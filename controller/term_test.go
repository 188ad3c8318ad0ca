package controller

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/internal/fake"
	"switchferry/policy"
	"switchferry/scheduler"
	"switchferry/settings"
)

// newIsolatedController is n1 of n0, n1 and n2, whose siblings are silent.
func newIsolatedController(t *testing.T) (*Controller, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	set := &settings.Settings{Member: "n1", Zone: "b", Peers: []settings.Peer{{Member: "n0", Zone: "a", Address: "127.0.0.1:1"}, {Member: "n2", Zone: "a", Address: "127.0.0.1:1"}}}
	set.Facts.Workers = settings.Workers{ReportS: 1, LeaseS: 10}
	return New(context.Background(), set, policy.Default(), clock, fake.NewState(clock)), clock
}

// With both siblings silent, workers come to the last controller one dead end after
// the other. It resigned after 3.5 s without a report, and they found nobody.
func TestIsolatedLeaderWaitsOneLeaseForWorkers(t *testing.T) {
	controller, clock := newIsolatedController(t)
	sched := scheduler.New(7, clock, controller.settings, controller.policy, testTypes, scheduler.Hooks{Leading: func() bool { return true }})
	term := &leaderTerm{controller: controller, scheduler: sched}
	step := func(wait time.Duration) (deaf bool) {
		for ; wait > 0 && !deaf; wait -= 500 * time.Millisecond {
			clock.Advance(500 * time.Millisecond)
			sched.Place()
			deaf = term.isolatedFromWorkers()
		}
		return deaf
	}
	if step(9 * time.Second) {
		t.Fatal("resigns while workers are on their way")
	}
	if !step(3 * time.Second) {
		t.Error("leads on though nobody came")
	}
}
