package controller

import (
	"fmt"
	"testing"
	"time"

	"switchferry/internal/fake"
	"switchferry/scheduler"
	"switchferry/tuning"
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

// Guards against a leader that keeps its lease while it stores nothing (docs/incidents/leader-stopped-storing.md). It
// resigns in time for users, who retry for a minute, to be served by the next leader.
func TestLeaderThatStoresNothingResigns(t *testing.T) {
	const stalled = "stores nothing although the state service answers"
	leader, process := newLeaderProcess(t)
	term := &leaderTerm{controller: process, scheduler: leader.Scheduler, committer: leader.committer}
	number := 0
	runSecond := func() {
		number++
		leader.heartbeat()
		leader.Submit(cancelledContext(), smallJob(fmt.Sprintf("run-%06d", number)), leader.clock.Now())
		for end := leader.clock.Now().Add(time.Second); leader.clock.Now().Before(end); {
			leader.clock.Advance(max(time.Millisecond, leader.committer.Step(t.Context())))
		}
	}
	for range 60 {
		runSecond()
		if reason := term.resignReason(); reason == stalled {
			t.Fatal("resigns although it stores records")
		}
	}
	leader.state.SetLimits(fake.Limits{TxnOps: 0, ValueKB: 16}) // every transaction is answered with status 400
	refusedAt := leader.clock.Now()
	for term.resignReason() != stalled {
		runSecond()
		if refused := leader.clock.Since(refusedAt); refused > tuning.RetryPeriod/2 {
			t.Fatalf("does not resign although it has stored nothing for %v", refused)
		}
	}
}
