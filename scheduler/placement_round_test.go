package scheduler

import (
	"fmt"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// TestSpreadServiceKeepsToHalfOfItsReplicasInAZone: at most half of the replicas, rounded up, in one zone, also while
// one zone has no machine.
func TestSpreadServiceKeepsToHalfOfItsReplicasInAZone(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		h.heartbeat(fmt.Sprintf("a%d", i), 1)
	}
	h.submit("run-000001", 3, func(x *api.Submission) { x.Shape, x.Spread, x.Rank = api.Service, true, "prod" })
	h.Place()
	h.commit()
	if len(h.jobs["run-000001"].allocations) != 2 {
		t.Fatalf("%d replicas in one zone", len(h.jobs["run-000001"].allocations))
	}
	h.heartbeat("b1", 1)
	h.Place()
	if len(h.jobs["run-000001"].allocations) != 3 {
		t.Error("the third replica did not start in the other zone")
	}
}

// After a change of leaders a replica may be known from its record alone. Until
// its machine's zone is known, it counts in every zone.
func TestSpreadCountsMachinesOfUnknownZone(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.heartbeat("b1", 1)
	h.submit("run-000001", 2, func(x *api.Submission) { x.Shape, x.Spread, x.Rank = api.Service, true, "prod" })
	h.Place()
	h.commit()
	h.answerCommands()
	at := h.starts("run-000001/0")[0]
	other := map[string]string{"a1": "b", "b1": "a"}[at.machine]
	h.elect()
	// One machine reports without its replica, the other is not heard.
	if other == "b" {
		h.heartbeat("b1", 1)
	} else {
		h.heartbeat("a1", 1)
	}
	h.heartbeat(other+"2", 1)
	same := map[string]string{"a": "b", "b": "a"}[other]
	h.heartbeat(same+"2", 1)
	h.Place()
	for _, alloc := range h.jobs["run-000001"].allocations {
		if alloc.task == 1 {
			t.Errorf("a replica was placed on %s while the other's zone was unknown", alloc.machine.Name)
		}
	}
	h.ApplyInstanceList([]api.Instance{{Name: at.machine, Type: "m8", Zone: same, State: "running"}})
	h.Place()
	if alloc := h.jobs["run-000001"].allocations[1]; alloc == nil || alloc.machine.Zone != other {
		t.Errorf("not placed in the other zone: %+v", alloc)
	}
}

// Where a task waits for an image already, the next task of that image does not
// fetch it again: the machine takes it from another's queue at once.
func TestImageOnItsWayCountsAsHeld(t *testing.T) {
	h := newHarness(t)
	for _, m := range []string{"a1", "a2"} {
		h.heartbeat(m, 1)
	}
	h.submit("run-000001", 2, func(x *api.Submission) { x.CPUs, x.ImageGB = 4, 5 })
	job := h.jobs["run-000001"]
	h.machines["a1"].enqueue(job, job.pending)
	job.pending, job.queued = nil, 2
	h.submit("run-000002", 1, func(x *api.Submission) { x.CPUs, x.Image = 4, "other" })
	k := h.jobs["run-000002"]
	k.pending = nil
	h.allocate(k, 0, h.machines["a1"], 1)
	h.allocate(job, 1, h.machines["a2"], 2)
	job.queued, h.machines["a1"].queues[0].tasks = 1, []int32{0}
	if !h.worthPulling(job, h.machines["a2"]) {
		t.Fatal("a machine that gets the image anyway must not wait")
	}
	h.machines["a1"].used.CPUs = 8
	h.Place()
	if alloc := job.allocations[0]; alloc == nil || alloc.machine.Name != "a2" {
		t.Errorf("not taken by the machine that fetches the image: %+v", alloc)
	}
	h.removeAllocation(job.allocations[0])
	h.removeAllocation(job.allocations[1])
	if len(h.machines["a2"].imagesInUse) != 0 || h.machines["a2"].fetchSeconds(job) == 0 {
		t.Error("counted as held after its tasks are gone")
	}
}

// What a machine reports must fit a record, however small the tasks are and however
// long their ends wait to be stored and cleared.
func TestSmallTasksDoNotOverfillAHeartbeat(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 5000, func(x *api.Submission) { x.Rank, x.CPUs, x.MemoryGB, x.EstimateS = "low", 0.1, 0.1, 1 })
	most := 0
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
		most = max(most, len(tasks))
		// The worker does not hear what to clear; the ends stay in its reports.
		h.clock.Advance(time.Second)
		h.heartbeat("a1", 1, tasks...)
	}
	if most == 0 || most > tuning.ReportTasks {
		t.Errorf("a report of %d tasks, want some and %d at most", most, tuning.ReportTasks)
	}
}

// Jobs of rank low filled every gap, and each task of the owners had dozens of theirs
// stopped first: they leave a tenth of what the others use, and nothing when alone.
func TestLowRankLeavesAReserve(t *testing.T) {
	fill := func(owned int) (free float64) {
		h := newHarness(t)
		for i := range 10 {
			h.heartbeat("a1"+string(rune('a'+i)), 1)
		}
		if owned > 0 {
			h.submit("run-000002", owned, nil)
			h.settleStarts()
		}
		h.submit("run-000001", 1000, func(x *api.Submission) { x.Rank, x.CPUs, x.MemoryGB = "low", 0.25, 0.1 })
		h.settleStarts()
		for _, machine := range h.machines {
			free += machine.free().CPUs
		}
		return free
	}
	if free := fill(10); free < 4 || free > 8 {
		t.Errorf("%v of 80 processors left free beside 40 that others use, want a tenth of these", free)
	}
	if free := fill(0); free > 0 {
		t.Errorf("%v processors left free though nobody else has work", free)
	}
}
