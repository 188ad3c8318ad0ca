package watermark

import (
	"fmt"
	"testing"

	"switchferry/api"
	"switchferry/tuning"
)

// Every task of a cancelled job that has not exited is killed without grace, unless a command that does so is already
// pending. Tasks of other jobs are not killed.
func TestKillCommandsCoverOnlyCancelledJobs(t *testing.T) {
	tracker := New(start, nil, limits)
	tracker.RecordCancellation(start, "run-1")
	longGrace, noGrace := 10.0, tuning.CancelGraceS
	tasks := []api.TaskReport{
		{Task: "run-1/0", Attempt: 3, State: api.TaskRunning},
		{Task: "run-1/1", Attempt: 4, State: api.TaskFetching},
		{Task: "run-1/2", Attempt: 5, State: api.TaskExited},
		{Task: "run-1/3", Attempt: 6, State: api.TaskSaving},
		{Task: "run-1/4", Attempt: 7, State: api.TaskRunning},
		{Task: "run-12/0", Attempt: 8, State: api.TaskRunning},
	}
	pending := []api.Command{
		{Verb: api.CommandKill, Task: "run-1/3", Attempt: 6, GraceS: &longGrace},
		{Verb: api.CommandKill, Task: "run-1/4", Attempt: 7, GraceS: &noGrace},
	}
	got := tracker.KillCommands(tasks, pending)
	want := []string{"run-1/0 3", "run-1/1 4", "run-1/3 6"}
	if len(got) != len(want) {
		t.Fatalf("commands %+v, want kills of %v", got, want)
	}
	for i, command := range got {
		if fmt.Sprint(command.Task, " ", command.Attempt) != want[i] || command.Verb != api.CommandKill || *command.GraceS != 0 {
			t.Errorf("command %+v, want a kill of %s without grace", command, want[i])
		}
	}
}

// Only commands that start tasks of cancelled jobs are removed, and the caller's slice is not changed.
func TestCancelledStartsAreRemoved(t *testing.T) {
	tracker := New(start, nil, limits)
	tracker.RecordCancellation(start, "run-1")
	commands := []api.Command{
		{Verb: api.CommandRun, Task: "run-1/5"},
		{Verb: api.CommandRun, Task: "run-12/1"},
		{Verb: api.CommandClear, Task: "run-1/2"},
	}
	if remaining := tracker.WithoutCancelledStarts(commands); len(remaining) != 2 || remaining[0].Task != "run-12/1" || remaining[1].Verb != api.CommandClear || len(commands) != 3 || commands[0].Task != "run-1/5" {
		t.Errorf("commands %+v, remaining %+v; want all but the start of run-1/5, and the argument unchanged", commands, remaining)
	}
}
