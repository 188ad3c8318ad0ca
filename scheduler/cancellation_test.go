package scheduler

import (
	"testing"
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// Whatever a cut-off controller does, a cancelled task's machine is returned in time: the
// cloud's answer proves that it is gone. Machines of the same silent zone without such a
// task are left alone, and so is one that says itself that it is gone.
func TestCancelledTaskBehindPartitionIsGoneInTime(t *testing.T) {
	for _, again := range []bool{false, true} {
		h := newHarness(t)
		h.settings.Facts.Workers.CancelS = 47.5
		h.unreachableZone = "b"
		far := []string{"b1", "b2", "b3", "b4"}
		near := func() { h.heartbeat("a1", 1) }
		both := func() {
			near()
			for _, n := range far {
				var runs []api.TaskReport
				for _, alloc := range h.machineNamed(n).allocations {
					runs = append(runs, taskReport(alloc.key, alloc.attempt, api.TaskRunning, ""))
				}
				h.heartbeat(n, 1, runs...)
			}
		}
		both()
		h.submit("run-000001", 6, func(x *api.Submission) { x.Zone = "b" })
		h.Place()
		h.commit()
		h.maintainFor(25*time.Second, both)
		runningOn := map[string]bool{}
		for _, alloc := range h.jobs["run-000001"].allocations {
			runningOn[alloc.machine.Name] = true
		}
		if len(runningOn) < 2 || len(runningOn) == len(far) {
			t.Fatalf("on %v", runningOn)
		}
		h.maintainFor(6*time.Second, near)
		h.Cancel(cancelledContext(), "run-000001")
		h.commit()
		told := h.clock.Now()
		if again {
			// The leader changes; the new one knows from the record since when.
			h.maintainFor(15*time.Second, near)
			h.elect()
			h.settings.Facts.Workers.CancelS = 47.5
			h.unreachableZone = "b"
			var list []api.Instance
			for _, n := range append([]string{"a1"}, far...) {
				list = append(list, api.Instance{Name: n, Address: n + ":1", Type: "m8", Zone: zoneOf(n), State: "running"})
			}
			h.ApplyInstanceList(list)
		}
		gone := map[string]time.Duration{}
		for h.clock.Since(told) < 50*time.Second {
			for _, n := range h.maintainFor(tuning.MaintainEvery, near) {
				gone[n] = h.clock.Since(told)
			}
		}
		for n := range runningOn {
			if at, ok := gone[n]; !ok || at > 42*time.Second || at < 40*time.Second {
				t.Errorf("leader changed %v: %s, with a cancelled task, returned after %v, %v", again, n, at, ok)
			}
		}
		if !again && len(gone) != len(runningOn) {
			t.Errorf("returned %v, want those with a cancelled task alone", gone)
		}
	}
}
