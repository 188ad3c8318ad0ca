package lookup

import (
	"testing"

	"switchferry/api"
	"switchferry/invariant"
	"switchferry/store"
)

// After a terminal state was sent to a user, no other state is sent, and a different terminal state is reported as an
// invariant violation.
func TestSentTerminalStateIsNotReplaced(t *testing.T) {
	steps := []struct {
		name, found string
		send        string
		want        SendDecision
		violations  int64
	}{
		{"running", api.Running, api.Running, Send, 0},
		{"terminal", api.Cancelled, api.Cancelled, Send, 0},
		{"same terminal state again", api.Cancelled, api.Cancelled, Send, 0},
		{"older state", api.Pending, api.Cancelled, Stale, 0},
		{"different terminal state", api.Done, api.Cancelled, Contradiction, 1},
		{"running after the contradiction", api.Running, api.Cancelled, Stale, 0},
	}
	notifications := NewNotifications()
	invariant.ResetViolations()
	for _, step := range steps {
		status, got := notifications.StatusToSend(api.JobStatus{ID: "run-000001", State: step.found})
		if status.State != step.send || got != step.want {
			t.Errorf("%s: status %s, decision %d; want %s, %d", step.name, status.State, got, step.send, step.want)
		}
		if violations := invariant.ResetViolations(); violations != step.violations {
			t.Errorf("%s: %d invariant violations, want %d", step.name, violations, step.violations)
		}
	}
}

func TestCachedTerminalStateIsNotReplaced(t *testing.T) {
	states := NewTerminalStates()
	invariant.ResetViolations()
	states.Remember("run-000001", store.FinalRecord{State: api.Done, Tasks: 3})
	states.Remember("run-000001", store.FinalRecord{State: api.Done, Tasks: 3, Service: true})
	if violations := invariant.ResetViolations(); violations != 0 {
		t.Errorf("%d invariant violations for the same terminal state", violations)
	}
	states.Remember("run-000001", store.FinalRecord{State: api.Cancelled})
	if final, _ := states.Get("run-000001"); final.State != api.Done || invariant.ResetViolations() != 1 {
		t.Errorf("cached state %s, want the first state kept and one invariant violation", final.State)
	}
}
