package controller

import (
	"context"
	"slices"
	"testing"
	"time"

	"switchferry/policy"
)

// A leader that is paused between the decision to return a machine and the call to the cloud may no longer lead, and
// the machine may be in use by another leader. It must not return the machine.
func TestNoMachineIsReleasedAfterTheTerm(t *testing.T) {
	leader := newLeader(t)
	leader.heartbeat()
	controller := New(context.Background(), testSettings(), policy.Default(), leader.clock, leader.state)
	// The leader decides to return the machine within an hour of idleness.
	var release []string
	for index := 0; index < 3600 && len(release) == 0; index++ {
		leader.clock.Advance(time.Second)
		leader.heartbeat()
		release = leader.MaintainFleet()
	}
	if !slices.Equal(release, []string{"a1"}) {
		t.Fatalf("machines to return: %v", release)
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
		t.Error("the machine was returned to the cloud")
	}
	leader.leading = true
	leader.heartbeat()
	leader.Place()
	leader.commit()
	if leader.starts("run-000001/0") != 1 {
		t.Error("the scheduler treats the machine as returned")
	}
}
