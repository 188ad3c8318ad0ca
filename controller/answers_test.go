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
	ask := func() int {
		return controller.jobs.AnswerStatus(context.Background(), nil, "run-000404", true).Status
	}
	state.Down = true
	if got := ask(); got != 503 {
		t.Errorf("in an outage: %d", got)
	}
	state.Down = false
	if got := ask(); got != 404 {
		t.Errorf("never submitted: %d", got)
	}
	state.Put(store.JobKey("run-000404"), store.JobRecord{Job: api.Submission{ID: "run-000404", Tasks: 1}})
	if got := ask(); got != 200 {
		t.Errorf("accepted: %d", got)
	}
}
