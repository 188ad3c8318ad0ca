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

// executeCommands has a worker execute commands and returns the attempts that it reports afterwards, by number.
func executeCommands(t *testing.T, worker *Worker, commands ...api.Command) map[uint64]api.TaskReport {
	t.Helper()
	heartbeat, executed := worker.ExecuteCommands(api.HeartbeatResponse{Term: 3, Incarnation: 1, Commands: commands})
	if !executed {
		t.Fatal("the worker rejected the commands")
	}
	attempts := map[uint64]api.TaskReport{}
	for _, report := range heartbeat.Tasks {
		attempts[report.Attempt] = report
	}
	return attempts
}

// A worker refuses an attempt while another attempt of the task has not exited, runs it once all others have exited,
// and runs a cleared attempt again.
func TestWorkerRunsOneAttemptOfTaskAtATime(t *testing.T) {
	cause := ""
	worker := NewWorker(WorkerOptions{Host: Host{Name: "a1"}, Clock: clockwork.NewFakeClock(), HeartbeatInterval: time.Second, Lease: 10 * time.Second,
		TaskDuration: func(string) time.Duration { return time.Hour }, StartFailure: func(string) string { return cause }})
	if got := executeCommands(t, worker, command(api.CommandRun, 1), command(api.CommandRun, 2)); got[1].State != api.TaskRunning || got[2].Cause != api.CauseConflictingAttempt {
		t.Fatalf("second attempt while the first runs: %+v", got)
	}
	if got := executeCommands(t, worker, command(api.CommandKill, 1), command(api.CommandRun, 2), command(api.CommandRun, 3)); got[1].Cause != api.CauseStopped || got[2].Cause != api.CauseConflictingAttempt || got[3].State != api.TaskRunning {
		t.Fatalf("third attempt after the others exited: %+v", got)
	}
	if got := executeCommands(t, worker, command(api.CommandClear, 1), command(api.CommandClear, 2), command(api.CommandClear, 3)); len(got) != 1 || got[3].State != api.TaskRunning {
		t.Fatalf("clear must remove exited attempts and keep the running one: %+v", got)
	}
	cause = api.CauseInsufficientResources
	if got := executeCommands(t, worker, command(api.CommandKill, 3), command(api.CommandRun, 4)); got[4].Cause != api.CauseInsufficientResources {
		t.Fatalf("refused start: %+v", got)
	}
	cause = ""
	if got := executeCommands(t, worker, command(api.CommandClear, 4), command(api.CommandRun, 4)); got[4].State != api.TaskRunning {
		t.Fatalf("start of a cleared attempt: %+v", got)
	}
}

// The protocol does not order the attempts of a task, so the worker's heartbeats alternate between both orders.
func TestHeartbeatsAlternateOrderOfAttempts(t *testing.T) {
	worker := NewWorker(WorkerOptions{Host: Host{Name: "a1"}, Clock: clockwork.NewFakeClock(), HeartbeatInterval: time.Second, Lease: 10 * time.Second,
		TaskDuration: func(string) time.Duration { return time.Hour }})
	executeCommands(t, worker, command(api.CommandRun, 1), command(api.CommandKill, 1), command(api.CommandRun, 2))
	newestFirst := 0
	for range 2 {
		if heartbeat := worker.NextHeartbeat(); heartbeat.Tasks[0].Attempt == 2 {
			newestFirst++
		}
	}
	if newestFirst != 1 {
		t.Errorf("newest attempt first in %d of 2 heartbeats, want 1", newestFirst)
	}
}
