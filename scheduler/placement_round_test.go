package scheduler

import (
	"fmt"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// Checks that at most half of the replicas of a spread service, rounded up, are in one zone, even while another zone has
// no machine.
func TestSpreadServiceHasAtMostHalfItsReplicasPerZone(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		h.heartbeat(fmt.Sprintf("a%d", i), 1)
	}
	h.submit("run-000001", 3, func(x *api.Submission) { x.Shape, x.Spread, x.Rank = api.Service, true, "prod" })
	h.Place()
	h.commit()
	if len(h.jobs["run-000001"].allocations) != 2 {
		t.Fatalf("%d replicas in one zone, want 2", len(h.jobs["run-000001"].allocations))
	}
	h.heartbeat("b1", 1)
	h.Place()
	if len(h.jobs["run-000001"].allocations) != 3 {
		t.Error("the third replica did not start in the other zone")
	}
}

// Checks that a replica that a new leader knows only from its record counts in every zone until the zone of its machine
// is known.
func TestSpreadCountsMachinesOfUnknownZone(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.heartbeat("b1", 1)
	h.submit("run-000001", 2, func(x *api.Submission) { x.Shape, x.Spread, x.Rank = api.Service, true, "prod" })
	h.Place()
	h.commit()
	h.answerCommands()
	firstStart := h.starts("run-000001/0")[0]
	otherZone := map[string]string{"a1": "b", "b1": "a"}[firstStart.machine]
	h.elect()
	// The heartbeat of the second replica's machine does not contain that replica. The first replica's machine sends none.
	if otherZone == "b" {
		h.heartbeat("b1", 1)
	} else {
		h.heartbeat("a1", 1)
	}
	h.heartbeat(otherZone+"2", 1)
	firstZone := map[string]string{"a": "b", "b": "a"}[otherZone]
	h.heartbeat(firstZone+"2", 1)
	h.Place()
	for _, alloc := range h.jobs["run-000001"].allocations {
		if alloc.task == 1 {
			t.Errorf("a replica was placed on %s while the other's zone was unknown", alloc.machine.Name)
		}
	}
	h.ApplyInstanceList([]api.Instance{{Name: firstStart.machine, Type: "m8", Zone: firstZone, State: "running"}})
	h.Place()
	if alloc := h.jobs["run-000001"].allocations[1]; alloc == nil || alloc.machine.Zone != otherZone {
		t.Errorf("the second replica was not placed in the other zone: %+v", alloc)
	}
}

// Checks that an image that a machine is already fetching for one task counts as held for the next task, so that the
// machine starts the next task from another machine's queue at once.
func TestImageBeingFetchedCountsAsHeld(t *testing.T) {
	h := newHarness(t)
	for _, m := range []string{"a1", "a2"} {
		h.heartbeat(m, 1)
	}
	h.submit("run-000001", 2, func(x *api.Submission) { x.CPUs, x.ImageGB = 4, 5 })
	job := h.jobs["run-000001"]
	h.machines["a1"].enqueue(job, job.pending)
	job.pending, job.queued = nil, 2
	h.submit("run-000002", 1, func(x *api.Submission) { x.CPUs, x.Image = 4, "other" })
	otherJob := h.jobs["run-000002"]
	otherJob.pending = nil
	h.allocate(otherJob, 0, h.machines["a1"], 1)
	h.allocate(job, 1, h.machines["a2"], 2)
	job.queued, h.machines["a1"].queues[0].tasks = 1, []int32{0}
	if !h.worthPulling(job, h.machines["a2"]) {
		t.Fatal("a machine that is already fetching the image must not delay the start of another task with that image")
	}
	h.machines["a1"].used.CPUs = 8
	h.Place()
	if alloc := job.allocations[0]; alloc == nil || alloc.machine.Name != "a2" {
		t.Errorf("the task did not start on the machine that is fetching the image: %+v", alloc)
	}
	h.removeAllocation(job.allocations[0])
	h.removeAllocation(job.allocations[1])
	if len(h.machines["a2"].imagesInUse) != 0 || h.machines["a2"].fetchSeconds(job) == 0 {
		t.Error("the image counts as held after its tasks were removed")
	}
}

// Checks that the tasks in a machine's heartbeat stay within tuning.MaxReportedTasks, however small the tasks are and
// however long exited tasks wait to be stored and cleared.
func TestSmallTasksDoNotOverfillAHeartbeat(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 5000, func(x *api.Submission) { x.Rank, x.CPUs, x.MemoryGB, x.EstimateS = "low", 0.1, 0.1, 1 })
	mostTasks := 0
	for range 12 {
		h.Place()
		for h.committer.Pending() > 0 {
			h.commit()
		}
		var tasks []api.TaskReport
		machine := h.machines["a1"]
		for key, alloc := range machine.allocations {
			if alloc.runSent {
				tasks = append(tasks, taskReport(key, alloc.attempt, api.TaskExited, api.CauseDone))
			}
		}
		for attempt := range machine.exited {
			tasks = append(tasks, taskReport(attempt.Task, attempt.Number, api.TaskExited, api.CauseDone))
		}
		mostTasks = max(mostTasks, len(tasks))
		// The worker does not receive what to clear, so the exited tasks stay in its heartbeats.
		h.clock.Advance(time.Second)
		h.heartbeat("a1", 1, tasks...)
	}
	if mostTasks == 0 || mostTasks > tuning.MaxReportedTasks {
		t.Errorf("the largest heartbeat has %d tasks, want at least 1 and at most %d", mostTasks, tuning.MaxReportedTasks)
	}
}

// Checks that jobs of rank low leave free a tenth of the CPUs that other jobs use, and nothing if there are no other
// jobs. Without the reserve they filled all free resources, and dozens of their tasks were preempted for each task of
// other jobs.
func TestLowRankLeavesAReserve(t *testing.T) {
	freeAfterFill := func(otherTasks int) (free float64) {
		h := newHarness(t)
		for i := range 10 {
			h.heartbeat("a1"+string(rune('a'+i)), 1)
		}
		if otherTasks > 0 {
			h.submit("run-000002", otherTasks, nil)
			h.settleStarts()
		}
		h.submit("run-000001", 1000, func(x *api.Submission) { x.Rank, x.CPUs, x.MemoryGB = "low", 0.25, 0.1 })
		h.settleStarts()
		for _, machine := range h.machines {
			free += machine.free().CPUs
		}
		return free
	}
	if free := freeAfterFill(10); free < 4 || free > 8 {
		t.Errorf("%v of 80 CPUs left free while other jobs use 40, want a tenth of these", free)
	}
	if free := freeAfterFill(0); free > 0 {
		t.Errorf("%v CPUs left free although there are no other jobs", free)
	}
}
