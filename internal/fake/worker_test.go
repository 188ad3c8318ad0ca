package fake

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
)

// command returns a command for an attempt of the task run-000001/0.
func command(verb string, attempt uint64) api.Command {
	return api.Command{Verb: verb, Task: "run-000001/0", Attempt: attempt}
}

// direct has a worker execute commands and returns the attempts that it reports then, by number.
func direct(t *testing.T, worker *Worker, commands ...api.Command) map[uint64]api.TaskReport {
	t.Helper()
	heartbeat, executed := worker.Direct(api.HeartbeatResponse{Term: 3, Incarnation: 1, Commands: commands})
	if !executed {
		t.Fatal("not executed")
	}
	attempts := map[uint64]api.TaskReport{}
	for _, report := range heartbeat.Tasks {
		attempts[report.Attempt] = report
	}
	return attempts
}

// A worker refuses an attempt beside one that has not exited, runs one beside exited ones, and starts an attempt again
// once it has cleared it.
func TestWorkerKeepsAttemptsApart(t *testing.T) {
	cause := ""
	worker := NewWorker(WorkerOptions{Host: Host{Name: "a1"}, Clock: clockwork.NewFakeClock(), Every: time.Second, Lease: 10 * time.Second,
		Runs: func(string) time.Duration { return time.Hour }, Fails: func(string) string { return cause }})
	if got := direct(t, worker, command(api.CommandRun, 1), command(api.CommandRun, 2)); got[1].State != api.TaskRunning || got[2].Cause != api.CauseBusy {
		t.Fatalf("a second attempt beside a running one: %+v", got)
	}
	if got := direct(t, worker, command(api.CommandKill, 1), command(api.CommandRun, 2), command(api.CommandRun, 3)); got[1].Cause != api.CauseStopped || got[2].Cause != api.CauseBusy || got[3].State != api.TaskRunning {
		t.Fatalf("a third attempt beside exited ones: %+v", got)
	}
	if got := direct(t, worker, command(api.CommandClear, 1), command(api.CommandClear, 2), command(api.CommandClear, 3)); len(got) != 1 || got[3].State != api.TaskRunning {
		t.Fatalf("exited ones are cleared, the running one stays: %+v", got)
	}
	cause = api.CauseNoRoom
	if got := direct(t, worker, command(api.CommandKill, 3), command(api.CommandRun, 4)); got[4].Cause != api.CauseNoRoom {
		t.Fatalf("a refused start: %+v", got)
	}
	cause = ""
	if got := direct(t, worker, command(api.CommandClear, 4), command(api.CommandRun, 4)); got[4].State != api.TaskRunning {
		t.Fatalf("a cleared attempt starts again: %+v", got)
	}
}

// The protocol gives the attempts of one task no order, and the worker's heartbeats have both.
func TestWorkerReportsAttemptsInBothOrders(t *testing.T) {
	worker := NewWorker(WorkerOptions{Host: Host{Name: "a1"}, Clock: clockwork.NewFakeClock(), Every: time.Second, Lease: 10 * time.Second,
		Runs: func(string) time.Duration { return time.Hour }})
	direct(t, worker, command(api.CommandRun, 1), command(api.CommandKill, 1), command(api.CommandRun, 2))
	newestFirst := 0
	for range 2 {
		if report := worker.Report(); report.Tasks[0].Attempt == 2 {
			newestFirst++
		}
	}
	if newestFirst != 1 {
		t.Errorf("newest first in %d of two heartbeats, want 1", newestFirst)
	}
}
