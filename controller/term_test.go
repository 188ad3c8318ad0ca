package controller

import (
	"testing"
	"time"

	"switchferry/scheduler"
)

// With both peers unresponsive, workers reach the last controller after one unreachable controller after the other. It
// once resigned after 3.5 s without a heartbeat, and they found no controller.
func TestIsolatedLeaderWaitsOneLeaseForWorkers(t *testing.T) {
	controller, clock := newIsolatedController()
	sched := scheduler.New(7, clock, controller.settings, controller.policy, testTypes, testCollaborators(func() bool { return true }))
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
