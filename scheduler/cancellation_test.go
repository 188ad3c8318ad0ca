package scheduler

import (
	"testing"
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// A machine that holds a cancelled task and cannot be reached is released in time, whatever a partitioned controller
// does: the cloud's response to the release proves that the task has ended. Other machines of the same silent zone are
// kept. The same holds if the leader changes after the cancellation.
func TestPartitionedMachineWithCancelledTaskIsReleasedInTime(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		h := newHarness(t)
		h.settings.Facts.Workers.CancelDeadlineS = 47.5
		h.unreachableZone = "b"
		partitioned := []string{"b1", "b2", "b3", "b4"}
		sendReachableHeartbeats := func() { h.heartbeat("a1", 1) }
		sendAllHeartbeats := func() {
			sendReachableHeartbeats()
			for _, n := range partitioned {
				var runs []api.TaskReport
				for _, alloc := range h.getOrAddMachine(n).allocations {
					runs = append(runs, taskReport(alloc.key, alloc.attempt, api.TaskRunning, ""))
				}
				h.heartbeat(n, 1, runs...)
			}
		}
		sendAllHeartbeats()
		h.submit("run-000001", 6, func(submission *api.Submission) { submission.Zone = "b" })
		h.Place()
		h.commit()
		h.maintainFor(25*time.Second, sendAllHeartbeats)
		runningOn := map[string]bool{}
		for _, alloc := range h.jobs["run-000001"].allocations {
			runningOn[alloc.machine.Name] = true
		}
		if len(runningOn) < 2 || len(runningOn) == len(partitioned) {
			t.Fatalf("tasks run on %v, want some but not all machines of the zone", runningOn)
		}
		h.maintainFor(6*time.Second, sendReachableHeartbeats)
		h.Cancel(cancelledContext(), "run-000001")
		h.commit()
		cancelledAt := h.clock.Now()
		if leaderChanges {
			// The leader changes; the new one reads the time of the cancellation from the record.
			h.maintainFor(15*time.Second, sendReachableHeartbeats)
			h.elect()
			h.settings.Facts.Workers.CancelDeadlineS = 47.5
			h.unreachableZone = "b"
			var list []api.Instance
			for _, n := range append([]string{"a1"}, partitioned...) {
				list = append(list, api.Instance{Name: n, Address: n + ":1", Type: "m8", Zone: zoneOf(n), State: "running"})
			}
			h.ApplyInstanceList(list)
		}
		releasedAfter := map[string]time.Duration{}
		for h.clock.Since(cancelledAt) < 50*time.Second {
			for _, n := range h.maintainFor(tuning.MaintenanceInterval, sendReachableHeartbeats) {
				releasedAfter[n] = h.clock.Since(cancelledAt)
			}
		}
		for n := range runningOn {
			if at, ok := releasedAfter[n]; !ok || at > 42*time.Second || at < 40*time.Second {
				t.Errorf("leader changed %v: %s, which holds a cancelled task, was released after %v (released: %v), want 40 s to 42 s", leaderChanges, n, at, ok)
			}
		}
		if !leaderChanges && len(releasedAfter) != len(runningOn) {
			t.Errorf("released %v, want only the machines with a cancelled task, %v", releasedAfter, runningOn)
		}
	}
}
