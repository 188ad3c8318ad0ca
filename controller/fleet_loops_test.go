package controller

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/policy"
	"switchferry/scheduler"
	"switchferry/store"
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

// A token that this leader has raised above its term ends no term, also while it is uncertain whether it still leads; that
// of a later leader does.
func TestRaisedTokenDoesNotEndTerm(t *testing.T) {
	leader := newLeader(t)
	leader.submit(smallJob("run-000001"))
	leader.commit()
	controller := New(context.Background(), testSettings(), policy.Default(), leader.clock, leader.state)
	term := &leaderTerm{controller: controller, scheduler: leader.Scheduler}
	leader.leading = false
	raised := leader.committer.CommittedRevision()
	if raised <= leader.Term() {
		t.Fatalf("committed revision %d in term %d", raised, leader.Term())
	}
	if term.resignIfDeposedBy(&api.Heartbeat{Term: raised}) {
		t.Error("the leader resigned for its own token")
	}
	if !term.resignIfDeposedBy(&api.Heartbeat{Term: raised + 1}) {
		t.Error("the leader did not resign for the token of a later leader")
	}
}

// A leader raises tokens from its election on if all members are known to accept them, and otherwise from the moment on at
// which they are.
func TestElectedLeaderRaisesTokensIfAllMembersAcceptThem(t *testing.T) {
	for _, known := range []bool{true, false} {
		ctx, stop := context.WithCancel(t.Context())
		state := fake.NewState(clockwork.NewRealClock())
		controller := New(ctx, testSettings(), policy.Default(), clockwork.NewRealClock(), state)
		if known {
			controller.tokens.Run(ctx)
		}
		controller.Elected(state.Put(store.LeaderKey, store.LeaderRecord{Member: "y"}))
		if fencing := controller.term.scheduler().Fencing(); known != (fencing == scheduler.FencingOn) {
			t.Errorf("known %v: fencing %v at the election", known, fencing)
		}
		controller.tokens.Run(ctx)
		if fencing := controller.term.scheduler().Fencing(); fencing != scheduler.FencingOn {
			t.Errorf("known %v: fencing %v once all members accept raised tokens", known, fencing)
		}
		stop()
	}
}

// Controllers that answer workers without the leader learn of a new term with the statements about cancellations, as a
// start of an earlier leader may be under way to a worker that knows no later token.
func TestElectedLeaderRequiresItsTerm(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	state := fake.NewState(clockwork.NewRealClock())
	controller := New(ctx, testSettings(), policy.Default(), clockwork.NewRealClock(), state)
	term := state.Put(store.LeaderKey, store.LeaderRecord{Member: "y"})
	controller.Elected(term)
	if token := controller.leases.watermark.Statement(time.Now(), 0, 0).RequiredToken; token != term {
		t.Errorf("the statement requires token %d, want the term %d", token, term)
	}
}
