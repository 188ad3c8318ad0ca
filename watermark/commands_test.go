package watermark

import (
	"fmt"
	"testing"

	"switchferry/api"
	"switchferry/tuning"
)

// Every running task of a cancelled job is killed at once, no other task is, and none is killed twice.
func TestKillCommandsCoverOnlyCancelledJobs(t *testing.T) {
	tracker := New(start, nil, limits)
	tracker.RecordCancellation(start, "run-1")
	slowGrace, noGrace := 10.0, tuning.CancelKill
	tasks := []api.TaskReport{
		{Task: "run-1/0", Attempt: 3, State: api.TaskRunning},
		{Task: "run-1/1", Attempt: 4, State: api.TaskFetching},
		{Task: "run-1/2", Attempt: 5, State: api.TaskExited},
		{Task: "run-1/3", Attempt: 6, State: api.TaskSaving},
		{Task: "run-1/4", Attempt: 7, State: api.TaskRunning},
		{Task: "run-12/0", Attempt: 8, State: api.TaskRunning},
	}
	pending := []api.Command{
		{Verb: api.CommandKill, Task: "run-1/3", Attempt: 6, GraceS: &slowGrace},
		{Verb: api.CommandKill, Task: "run-1/4", Attempt: 7, GraceS: &noGrace},
	}
	got := tracker.KillCommands(tasks, pending)
	want := []string{"run-1/0 3", "run-1/1 4", "run-1/3 6"}
	if len(got) != len(want) {
		t.Fatalf("%+v", got)
	}
	for i, command := range got {
		if fmt.Sprint(command.Task, " ", command.Attempt) != want[i] || command.Verb != api.CommandKill || *command.GraceS != 0 {
			t.Errorf("%+v, want %s", command, want[i])
		}
	}
}

// Only starts of cancelled jobs' tasks are removed, and the caller's commands stay as they are.
func TestCancelledStartsAreRemoved(t *testing.T) {
	tracker := New(start, nil, limits)
	tracker.RecordCancellation(start, "run-1")
	commands := []api.Command{
		{Verb: api.CommandRun, Task: "run-1/5"},
		{Verb: api.CommandRun, Task: "run-12/1"},
		{Verb: api.CommandClear, Task: "run-1/2"},
	}
	if left := tracker.WithoutCancelledStarts(commands); len(left) != 2 || left[0].Task != "run-12/1" || left[1].Verb != api.CommandClear || len(commands) != 3 || commands[0].Task != "run-1/5" {
		t.Errorf("of %+v %+v is left", commands, left)
	}
}
