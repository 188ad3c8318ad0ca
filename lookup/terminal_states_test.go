package lookup

import (
	"testing"

	"switchferry/api"
	"switchferry/invariant"
	"switchferry/store"
)

// What users were told of a job's end holds, whatever is found later; what cannot be is reported.
func TestNotificationsDoNotGoBack(t *testing.T) {
	steps := []struct {
		name, found string
		send        string
		want        Notification
		violations  int64
	}{
		{"while it goes on", api.Running, api.Running, Send, 0},
		{"its end", api.Cancelled, api.Cancelled, Send, 0},
		{"its end again", api.Cancelled, api.Cancelled, Send, 0},
		{"an older state", api.Pending, api.Cancelled, Older, 0},
		{"another end", api.Done, api.Cancelled, Contradiction, 1},
		{"after the contradiction", api.Running, api.Cancelled, Older, 0},
	}
	notifications := NewNotifications()
	invariant.TakeViolations()
	for _, step := range steps {
		status, got := notifications.Newest(api.JobStatus{ID: "run-000001", State: step.found})
		if status.State != step.send || got != step.want {
			t.Errorf("%s: %s, %d; want %s, %d", step.name, status.State, got, step.send, step.want)
		}
		if violations := invariant.TakeViolations(); violations != step.violations {
			t.Errorf("%s: %d contradictions, want %d", step.name, violations, step.violations)
		}
	}
}

func TestTerminalStateIsNotReplaced(t *testing.T) {
	states := NewTerminalStates()
	invariant.TakeViolations()
	states.Remember("run-000001", store.FinalRecord{State: api.Done, Tasks: 3})
	states.Remember("run-000001", store.FinalRecord{State: api.Done, Tasks: 3, Service: true})
	if violations := invariant.TakeViolations(); violations != 0 {
		t.Errorf("%d contradictions for the same end", violations)
	}
	states.Remember("run-000001", store.FinalRecord{State: api.Cancelled})
	if final, _ := states.Get("run-000001"); final.State != api.Done || invariant.TakeViolations() != 1 {
		t.Errorf("remembered as %s, or not reported", final.State)
	}
}
