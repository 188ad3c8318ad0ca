package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/settings"
)

// A new leader does not start a task that may run on a machine from which it has received no heartbeat.
func TestNewLeaderWaitsForSilentMachine(t *testing.T) {
	h := newHarness(t)
	start := h.submitAndStart("run-000001")
	h.elect()
	h.heartbeat("b1", 1)
	h.Place()
	h.commit()
	if len(h.starts("run-000001/0")) != 0 {
		t.Fatal("the task was started again")
	}
	// A heartbeat with an older term proves nothing, because the worker may still execute a command of the earlier
	// leader.
	h.heartbeatAt("a1", 1, 500, start.response.Term)
	h.Place()
	h.commit()
	if len(h.starts("run-000001/0")) != 0 {
		t.Fatal("a heartbeat with an older term was taken as proof that the task is gone")
	}
	h.heartbeatAt("a1", 1, 501, h.term)
	h.Place()
	h.commit()
	got := h.starts("run-000001/0")
	if len(got) != 1 || got[0].response.Commands[0].Attempt == start.response.Commands[0].Attempt {
		t.Errorf("want one start of a new attempt, got %+v", got)
	}
}

// After a takeover, urgent work does not wait until all machines have sent a heartbeat. It is placed on the machines
// that have, if necessary by preemption. Tasks that the records place on the other machines are not started elsewhere.
func TestUrgentWorkIsPlacedBeforeAllHeartbeatsArrive(t *testing.T) {
	h := newHarness(t)
	names := []string{"a1", "a2", "a3", "b1", "b2", "b3"}
	for _, name := range names {
		h.heartbeat(name, 1)
	}
	h.submit("run-000001", 12, nil)
	h.Place()
	h.commit()
	first := h.sent
	h.elect()
	h.submit("run-000002", 1, func(submission *api.Submission) {
		submission.Rank, submission.Shape, submission.EstimateS = "prod", api.Service, 0
	})
	// One machine of six sends a heartbeat, with both its tasks.
	var tasks []api.TaskReport
	for _, message := range first {
		for _, command := range message.response.Commands {
			if message.machine == "b2" {
				tasks = append(tasks, taskReport(command.Task, command.Attempt, api.TaskRunning, ""))
			}
		}
	}
	if len(tasks) != 2 {
		t.Fatalf("b2 has %d tasks", len(tasks))
	}
	h.heartbeat("b2", 1, tasks...)
	h.Place()
	h.commit()
	stopped := h.heartbeat("b2", 1, tasks...)
	preempted := slices.IndexFunc(tasks, func(report api.TaskReport) bool { return hasCommand(stopped, api.CommandKill, report.Task) })
	if preempted < 0 {
		t.Fatalf("no task is preempted for the urgent job: %+v", stopped)
	}
	tasks[preempted].State, tasks[preempted].Cause = api.TaskExited, api.CauseStopped
	h.heartbeat("b2", 1, tasks...)
	h.Place()
	h.commit()
	if response := h.heartbeat("b2", 1, tasks[1-preempted]); len(h.starts("run-000002/0")) != 1 && !hasCommand(response, api.CommandRun, "run-000002/0") {
		t.Errorf("the urgent job was not started on the machine that sent a heartbeat: %+v, %+v", response, h.sent)
	}
	for _, message := range h.sent {
		for _, command := range message.response.Commands {
			if command.Verb == api.CommandRun && command.Task != "run-000002/0" {
				t.Errorf("%s was started on %s, but may run on a machine that has sent no heartbeat", command.Task, message.machine)
			}
		}
	}
}

// After a takeover, a job that depends on a job that ended earlier waits until the state of that job has been looked
// up. All other jobs are placed at once.
func TestTakeoverPlacesIndependentJobsBeforeLookup(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 1, smallJob)
	h.submit("run-000002", 1, dependingOn("run-000001"))
	h.complete("run-000001", "a1")
	h.submit("run-000003", 1, func(submission *api.Submission) { smallJob(submission); submission.Rank = "high" })
	h.elect()
	h.heartbeat("a1", 1)
	h.Place()
	if len(h.jobs["run-000003"].allocations) != 1 || len(h.jobs["run-000002"].allocations) != 0 || !slices.Equal(h.UnresolvedDependencies(), []string{"run-000001"}) {
		t.Fatalf("before the look-up: %d allocations of the independent job, want 1; %d of the dependent job, want 0; unresolved %v",
			len(h.jobs["run-000003"].allocations), len(h.jobs["run-000002"].allocations), h.UnresolvedDependencies())
	}
	h.lookUpDependencies()
	h.Place()
	if len(h.jobs["run-000002"].allocations) != 1 || len(h.UnresolvedDependencies()) > 0 {
		t.Error("the dependent job was not placed after the look-up")
	}
	if final := h.terminalStates["run-000001"]; final.Tasks != 1 {
		t.Errorf("the terminal state of the looked-up job is %+v, want one task", final)
	}
}

// The limits of the state service are lowered during a takeover. All writes of the new leader must be within the new
// limits.
func TestLowerStateLimitsDuringTakeover(t *testing.T) {
	h := newHarness(t)
	for i := range 20 {
		h.heartbeat(fmt.Sprintf("a%02d", i), 1)
	}
	h.submit("run-000001", 120, func(submission *api.Submission) { submission.CPUs, submission.MemoryGB = 1, 1 })
	h.submit("run-000002", 1, dependingOn("run-000001"))
	h.Place()
	h.commit()
	h.state.SetLimits(fake.Limits{ValueKB: 2, TxnOps: 4})
	h.limits.Announced = settings.AnnouncedStateLimits{ValueKB: 2, TxnOps: 4}
	h.elect()
	h.UseCurrentFormat()
	for i := range 20 {
		h.heartbeat(fmt.Sprintf("a%02d", i), 1)
	}
	h.imagesChanged = true
	h.storeImageHints(h.clock.Now().Add(time.Hour))
	h.Place()
	h.Cancel(cancelledContext(), "run-000001")
	h.commit()
	if refusals := h.state.Refusals(); len(refusals) > 0 || h.state.LargestTransaction.Ops > 12 {
		t.Errorf("refused writes %v, or a transaction has too many operations", refusals)
	}
	if status := h.status("run-000002"); status != api.Cancelled {
		t.Errorf("the dependent job is %q, want it cancelled", status)
	}
}
