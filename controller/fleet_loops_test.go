package controller

import (
	"context"
	"slices"
	"testing"
	"time"

	"switchferry/policy"
)

// A leader that was paused between deciding to return a machine and doing so may no longer lead, and the machine may
// work for another: it is not returned.
func TestNoMachineIsReleasedAfterTheTerm(t *testing.T) {
	leader := newLeader(t)
	leader.heartbeat()
	controller := New(context.Background(), testSettings(), policy.Default(), leader.clock, leader.state)
	// The leader decides to return the machine, which has had nothing to do for an hour.
	var release []string
	for index := 0; index < 3600 && len(release) == 0; index++ {
		leader.clock.Advance(time.Second)
		leader.heartbeat()
		release = leader.MaintainFleet()
	}
	if !slices.Equal(release, []string{"a1"}) {
		t.Fatalf("to be returned: %v", release)
	}
	leader.submit(smallJob("run-000001"))
	leader.heartbeat()
	leader.Place()
	leader.commit()
	if leader.starts("run-000001/0") != 0 {
		t.Fatal("a task starts on a machine that is being returned")
	}
	leader.leading = false
	before := leader.state.Requests
	(&leaderTerm{controller: controller, scheduler: leader.Scheduler}).releaseMachines(context.Background(), release)
	if leader.state.Requests != before {
		t.Error("the cloud was asked to take the machine back")
	}
	leader.leading = true
	leader.heartbeat()
	leader.Place()
	leader.commit()
	if leader.starts("run-000001/0") != 1 {
		t.Error("the machine counts as returned")
	}
}
