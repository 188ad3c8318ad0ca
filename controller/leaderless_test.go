package controller

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/upgrade"
)

// A job that a controller accepts without the leader is stored once, however often it is submitted.
func TestSubmissionWithoutLeaderIsIdempotent(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state := fake.NewState(clock)
	controller := New(context.Background(), &settings.Settings{Member: "y"}, policy.Default(), clock, state)
	submission := &api.Submission{ID: "run-000001", Tasks: 1}
	if got := controller.submissions.SubmitWithoutLeader(context.Background(), submission, nil).Status; got != 201 {
		t.Fatalf("first submission: status %d, want 201", got)
	}
	if got := controller.submissions.SubmitWithoutLeader(context.Background(), submission, nil).Status; got != 200 || state.Get(store.InboxKey("run-000001")) == nil {
		t.Errorf("second submission: status %d, want 200 and an inbox entry", got)
	}
	// While a leader's key exists, only the leader may cancel; the request is passed to it through the inbox.
	state.Put(store.LeaderKey, store.LeaderRecord{Member: "x"})
	if got := controller.submissions.CancelWithoutLeader(context.Background(), "run-000001").Status; got != 503 {
		t.Errorf("cancellation while a leader's key exists: %d", got)
	}
	if string(state.Get(store.InboxKey("run-000001"))) != `{"cancel":true}` {
		t.Errorf("inbox %s", state.Get(store.InboxKey("run-000001")))
	}
}

// Guards against ran_cancelled of incident held-start-after-cancellation where a job is cancelled between two leaders: a
// start of the former leader may be under way, and followers answer workers with its token until the next leader is
// known, also through an outage.
func TestCancellationWithoutLeaderRequiresATokenAboveTheFormerLeaders(t *testing.T) {
	controller, _ := newIsolatedController()
	ctx, id := context.Background(), "run-000001"
	transact := func(operation store.Operation) uint64 {
		revision, _, err := controller.client.Transact(ctx, nil, []store.Operation{operation})
		if err != nil {
			t.Fatal(err)
		}
		return revision
	}
	formerTerm := transact(store.Operation{Set: store.LeaderKey, Value: store.LeaderRecord{Member: "n0"}})
	transact(store.Operation{Set: store.JobKey(id), Value: store.JobRecord{Job: api.Submission{ID: id, Tasks: 1}}})
	lastRevision := transact(store.Operation{Delete: store.LeaderKey})
	cancel := func() uint64 {
		if got := controller.submissions.CancelWithoutLeader(ctx, id).Status; got != 200 {
			t.Fatalf("cancellation without a leader: status %d, want 200", got)
		}
		return controller.leases.watermark.RequiredToken()
	}
	if token := cancel(); token != 0 {
		t.Errorf("token %d is required although a member may not accept it", token)
	}
	for _, member := range []string{"n0", "n2"} {
		lastRevision = transact(store.Operation{Set: upgrade.TokenRecordPrefix + member, Value: upgrade.TokenRecord{Raised: true}})
	}
	controller.tokens.Run(ctx)
	transact(store.Operation{Set: store.JobKey(id), Value: store.JobRecord{Job: api.Submission{ID: id, Tasks: 1}}})
	token := cancel()
	if token <= lastRevision || token <= formerTerm {
		t.Errorf("required token %d, want one above all revisions of the former leader, %d", token, lastRevision)
	}
	if nextTerm := transact(store.Operation{Set: store.LeaderKey, Value: store.LeaderRecord{Member: "n2"}}); token >= nextTerm {
		t.Errorf("required token %d is not below the next term %d", token, nextTerm)
	}
}
