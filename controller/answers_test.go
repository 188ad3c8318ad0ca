package controller

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/policy"
	"switchferry/store"
)

// A controller answers 404 only if the state service confirms that a job does not exist, and 503 during an outage.
func TestUnknownJobIsNotFoundOnlyIfStateServiceAnswers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state := fake.NewState(clock)
	controller := New(context.Background(), testSettings(), policy.Default(), clock, state)
	requestStatus := func() int {
		return controller.jobs.AnswerStatus(context.Background(), nil, "run-000404", true).Status
	}
	state.Down = true
	if got := requestStatus(); got != 503 {
		t.Errorf("in an outage: status %d, want 503", got)
	}
	state.Down = false
	if got := requestStatus(); got != 404 {
		t.Errorf("a job that was never submitted: status %d, want 404", got)
	}
	state.Put(store.JobKey("run-000404"), store.JobRecord{Job: api.Submission{ID: "run-000404", Tasks: 1}})
	if got := requestStatus(); got != 200 {
		t.Errorf("an accepted job: status %d, want 200", got)
	}
}
