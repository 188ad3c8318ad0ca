package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// A machine on which tasks of several jobs fail is released; a job that fails on every machine is retried with a
// backoff and does not make machines faulty.
func TestFaultyMachineAndBrokenJobAreDistinguished(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	for i := 1; i <= 3; i++ {
		id := fmt.Sprintf("run-%06d", i)
		h.submit(id, 1, nil)
		h.Place()
		h.commit()
		h.answerCommands()
		if starts := h.starts(id + "/0"); len(starts) > 0 {
			h.heartbeat("a1", 1, taskReport(id+"/0", starts[0].response.Commands[0].Attempt, api.TaskExited, api.CauseError))
			h.answerCommands()
		}
	}
	if names := h.MaintainFleet(); len(names) != 1 {
		t.Errorf("released %v, want the one faulty machine", names)
	}

	h = newHarness(t)
	h.submit("run-000009", 1, nil)
	for i := range 10 {
		h.heartbeat(fmt.Sprintf("a%d", i), 1)
		before := len(h.starts("run-000009/0"))
		h.Place()
		h.commit()
		h.answerCommands()
		if starts := h.starts("run-000009/0"); len(starts) > before {
			last := starts[len(starts)-1]
			h.heartbeat(last.machine, 1, taskReport("run-000009/0", last.response.Commands[0].Attempt, api.TaskExited, api.CauseError))
			h.answerCommands()
		}
	}
	if n := len(h.starts("run-000009/0")); n > 4 || len(h.MaintainFleet()) != 0 {
		t.Errorf("a job that always fails was started %d times without a backoff, or machines were released for it", n)
	}
}

// runTasks sends a heartbeat of every machine, in which each started task runs, or exits with an error if fails returns
// true for its machine and job.
func (h *harness) runTasks(fails func(machine, job string) bool) {
	for _, m := range h.sortedMachines() {
		var tasks []api.TaskReport
		for key, alloc := range m.allocations {
			if !alloc.runSent {
				continue
			}
			state, cause := api.TaskRunning, ""
			if fails(m.Name, alloc.job.id) {
				state, cause = api.TaskExited, api.CauseError
			}
			tasks = append(tasks, taskReport(key, alloc.attempt, state, cause))
		}
		h.heartbeat(m.Name, 1, tasks...)
	}
	h.commit()
}

// runTasksFor runs the leader's rounds for the duration d and returns the machines that were released.
func (h *harness) runTasksFor(duration time.Duration, fails func(machine, job string) bool) (released []string) {
	for ; duration > 0; duration -= tuning.MaintenanceInterval {
		h.clock.Advance(tuning.MaintenanceInterval)
		h.runTasks(fails)
		h.Place()
		h.commit()
		h.answerCommands()
		released = append(released, h.MaintainFleet()...)
	}
	return released
}

// Two jobs that fail on every machine do not make machines faulty. Before, the machines on which both had failed were
// released together with the working tasks on them.
func TestBrokenJobsDoNotMarkMachinesFaulty(t *testing.T) {
	h := newHarness(t)
	for _, n := range []string{"a1", "a2", "a3", "a4"} {
		h.heartbeat(n, 1)
	}
	fails := func(_, job string) bool { return job != "run-000009" }
	h.submit("run-000001", 6, nil)
	h.submit("run-000002", 6, func(submission *api.Submission) { submission.Rank = "high" })
	if released := h.runTasksFor(20*time.Second, fails); len(released) > 0 {
		t.Fatalf("healthy machines %v released", released)
	}
	one, two := h.jobs["run-000001"], h.jobs["run-000002"]
	if !h.failsEverywhere(one) || !h.failsEverywhere(two) {
		t.Fatal("jobs that fail on every machine are not recognized")
	}
	if all, _ := h.demand(); all != 8 {
		t.Errorf("the demand of two jobs that fail everywhere is %v CPUs, want 8, one task of each", all)
	}
	// Other jobs can use the fleet, and each retry is a single task.
	h.submit("run-000009", 8, nil)
	maxStarted := map[string]int{}
	for range 200 {
		h.runTasksFor(tuning.MaintenanceInterval, fails)
		for _, j := range []*jobState{one, two} {
			maxStarted[j.id] = max(maxStarted[j.id], len(j.allocations)+j.queued)
		}
	}
	if n := len(h.jobs["run-000009"].allocations); n != 8 {
		t.Errorf("%d of 8 tasks of another job run", n)
	}
	if maxStarted[one.id] > 1 || maxStarted[two.id] > 1 {
		t.Errorf("at most %v tasks at once in retries, want one of each job", maxStarted)
	}
	// Their failures do not count against machines after they are cancelled either.
	h.Cancel(cancelledContext(), one.id)
	h.Cancel(cancelledContext(), two.id)
	if released := h.runTasksFor(5*time.Second, fails); len(released) > 0 {
		t.Errorf("%v released after the failing jobs were cancelled", released)
	}
}

// A faulty machine is detected even if another job fails on every machine, because tasks that fail on it work
// elsewhere. A job whose tasks failed on the faulty machine still runs on all others.
func TestFaultyMachineIsDetectedAmongBrokenJobs(t *testing.T) {
	h := newHarness(t)
	for _, n := range []string{"a1", "a2", "a3", "a4", "a5"} {
		h.heartbeat(n, 1)
	}
	fails := func(machine, job string) bool { return machine == "a2" || job == "run-000005" }
	small := func(submission *api.Submission) { submission.CPUs, submission.MemoryGB = 1, 1 }
	h.submit("run-000005", 5, nil)
	released := h.runTasksFor(5*time.Second, fails)
	// The first working job fills the healthy machines; only the faulty one is left for the second.
	h.submit("run-000001", 40, small)
	released = append(released, h.runTasksFor(5*time.Second, fails)...)
	h.submit("run-000002", 8, small)
	released = append(released, h.runTasksFor(10*time.Second, fails)...)
	if !slices.Equal(released, []string{"a2"}) {
		t.Errorf("released %v, want only the faulty a2", released)
	}
	if n := len(h.jobs["run-000001"].allocations); n != 32 {
		t.Errorf("%d tasks of a working job run, want 32 on four healthy machines", n)
	}
}
