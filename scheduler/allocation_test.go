package scheduler

import (
	"context"
	"strings"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/peer"
	"switchferry/store"
	"switchferry/tuning"
)

func TestStartIsStoredBeforeItIsSent(t *testing.T) {
	h := newHarness(t)
	start := h.submitAndStart("run-000001")
	if h.state.Get(store.ShardOf("run-000001", 0, tuning.TasksPerShard).Key()) == nil || start.machine != "a1" {
		t.Error("no shard record is stored, or the start went to the wrong machine")
	}
}

// An unanswered direct start may be executed at any later time, so the same attempt is sent again to the same machine
// and the task is started nowhere else.
func TestUnansweredStartStaysOnItsMachine(t *testing.T) {
	h := newHarness(t)
	start := h.submitAndStart("run-000001")
	h.HandleCommandOutcome("a1", start.response, nil, false)
	h.heartbeat("b1", 1)
	for range 5 {
		h.clock.Advance(time.Second)
		response := h.heartbeat("a1", 1)
		if !hasCommand(response, api.CommandRun, "run-000001/0") || response.Commands[0].Attempt != start.response.Commands[0].Attempt {
			t.Fatalf("want a start of the same attempt, got %+v", response.Commands)
		}
		h.heartbeat("b1", 1)
		h.Place()
		h.commit()
	}
	for _, repeated := range h.starts("run-000001/0") {
		if repeated.machine != "a1" {
			t.Errorf("started on %s as well", repeated.machine)
		}
	}
}

// A clear makes the worker forget the attempt, so a start that is still in transit would run it again.
func TestClearWaitsForPendingStart(t *testing.T) {
	h := newHarness(t)
	start := h.submitAndStart("run-000001")
	attempt := start.response.Commands[0].Attempt
	response := h.heartbeat("a1", 1, taskReport("run-000001/0", attempt, api.TaskExited, api.CauseStopped))
	if hasCommand(response, api.CommandClear, "run-000001/0") {
		t.Fatal("the attempt was cleared while its start was unanswered")
	}
	h.HandleCommandOutcome("a1", start.response, nil, true)
	if response = h.heartbeat("a1", 1, taskReport("run-000001/0", attempt, api.TaskExited, api.CauseStopped)); !hasCommand(response, api.CommandClear, "run-000001/0") {
		t.Error("the attempt was not cleared after the start was answered")
	}
}

// If a job is cancelled before its start is sent, the start is never sent. If the start was sent, the task is killed as
// soon as a heartbeat lists it, however late.
func TestCancelRacingStart(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 1, nil)
	h.Place()
	h.Cancel(cancelledContext(), "run-000001")
	h.commit()
	if startCount := len(h.starts("run-000001/0")); startCount != 0 {
		t.Errorf("%d starts after the cancel", startCount)
	}

	h = newHarness(t)
	start := h.submitAndStart("run-000002")
	h.HandleCommandOutcome("a1", start.response, nil, false)
	h.Cancel(cancelledContext(), "run-000002")
	h.commit()
	if response := h.heartbeat("a1", 1); hasCommand(response, api.CommandRun, "run-000002/0") {
		t.Error("a cancelled task was started again")
	}
	if response := h.heartbeat("a1", 1, taskReport("run-000002/0", start.response.Commands[0].Attempt, api.TaskFetching, "")); !hasCommand(response, api.CommandKill, "run-000002/0") {
		t.Error("the task of a late start was not killed")
	}
	if h.terminalStates["run-000002"].State != api.Cancelled {
		t.Error("the job is not stored as cancelled")
	}
}

// A task completes just before the leader crashes. The new leader learns of it from a heartbeat, stores the completion
// before it clears the attempt, and does not run the task again.
func TestCompletionBeforeLeaderCrashIsKept(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 2, nil)
	h.Place()
	h.commit()
	firstAttempt := h.starts("run-000001/0")[0].response.Commands[0].Attempt
	secondAttempt := h.starts("run-000001/1")[0].response.Commands[0].Attempt
	h.elect()
	done := taskReport("run-000001/0", firstAttempt, api.TaskExited, api.CauseDone)
	other := taskReport("run-000001/1", secondAttempt, api.TaskRunning, "")
	if response := h.heartbeat("a1", 1, done, other); hasCommand(response, api.CommandClear, "run-000001/0") || hasCommand(response, api.CommandKill, "run-000001/1") {
		t.Fatal("the attempt was cleared before its completion was stored, or a running task was killed")
	}
	h.commit()
	if response := h.heartbeat("a1", 1, done, other); !hasCommand(response, api.CommandClear, "run-000001/0") {
		t.Error("the attempt was not cleared after its completion was stored")
	}
	h.Place()
	h.commit()
	if len(h.starts("run-000001/0"))+len(h.starts("run-000001/1")) != 0 {
		t.Error("a task was started again")
	}
	if status, _ := h.JobStatus("run-000001"); status.State != api.Running || status.Done != 1 {
		t.Errorf("status %+v", status)
	}
	h.heartbeat("a1", 1, taskReport("run-000001/1", secondAttempt, api.TaskExited, api.CauseDone))
	if len(h.terminalStates) != 0 {
		t.Error("the job was reported as done before that was stored")
	}
	h.commit()
	if h.terminalStates["run-000001"].State != api.Done || h.state.Get(store.FinalKey("run-000001")) == nil || h.state.Get(store.JobKey("run-000001")) != nil || h.state.Get(store.ShardOf("run-000001", 0, tuning.TasksPerShard).Key()) != nil {
		t.Error("the job was not archived")
	}
	// A late repetition of the submission must not be accepted as a new job.
	h.Submit(cancelledContext(), &api.Submission{ID: "run-000001", Tasks: 1, Shape: api.JobArray, Team: "t"}, h.clock.Now())
	h.commit()
	if h.state.Get(store.JobKey("run-000001")) != nil {
		t.Error("a job in a terminal state was accepted again")
	}
}

// A cancellation is confirmed once no start is in transit that a worker may still execute, or after
// tuning.CancelStartTimeout: the task is stopped in that case too.
func TestCancellationWaitsForPendingStarts(t *testing.T) {
	for _, answered := range []bool{true, false} {
		h := newHarness(t)
		start := h.submitAndStart("run-000001")
		alloc := h.jobs["run-000001"].allocations[0]
		h.Cancel(cancelledContext(), "run-000001")
		h.commit()
		// Waits out the requests above, so that nothing else waits on the clock.
		h.clock.Advance(tuning.SubmitTimeout)
		responses := make(chan peer.Response, 1)
		waiting, confirmed := context.WithCancel(context.Background())
		go func() {
			response, _ := h.Cancel(context.Background(), "run-000001")
			responses <- response
			confirmed()
		}()
		if err := h.clock.BlockUntilContext(waiting, 1); err != nil {
			t.Fatal("the cancellation was confirmed while a start was in transit")
		}
		if answered {
			heartbeat := &api.Heartbeat{Machine: "a1", Address: "a1:1", Type: "m8", Zone: "a", Incarnation: 1, Seq: h.nextSeq("a1"), Term: h.term, Tasks: []api.TaskReport{taskReport(alloc.key, alloc.attempt, api.TaskRunning, "")}}
			h.HandleCommandOutcome("a1", start.response, heartbeat, true)
		} else {
			h.clock.Advance(tuning.CancelStartTimeout)
		}
		if response := <-responses; response.Status != 200 || !strings.Contains(string(response.Body), api.Cancelled) {
			t.Errorf("start answered %v: response %d %s", answered, response.Status, response.Body)
		}
	}
}
