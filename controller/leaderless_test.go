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
