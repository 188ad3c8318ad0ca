package controller

import (
	"testing"
	"time"

	"switchferry/scheduler"
)

// With both peers unresponsive, workers reach the remaining controller only after trying the unreachable ones. It must
// not resign before: it used to resign after 3.5 s without a heartbeat, and workers found no controller.
func TestIsolatedLeaderWaitsOneLeaseForWorkers(t *testing.T) {
	controller, clock := newIsolatedController()
	sched := scheduler.New(7, clock, controller.settings, controller.policy, testTypes, testCollaborators(func() bool { return true }))
	term := &leaderTerm{controller: controller, scheduler: sched}
	advance := func(wait time.Duration) (isolated bool) {
		for ; wait > 0 && !isolated; wait -= 500 * time.Millisecond {
			clock.Advance(500 * time.Millisecond)
			sched.Place()
			isolated = term.isolatedFromWorkers()
		}
		return isolated
	}
	if advance(9 * time.Second) {
		t.Fatal("resigns before workers can have reached it")
	}
	if !advance(3 * time.Second) {
		t.Error("does not resign although no worker has sent a heartbeat")
	}
}
