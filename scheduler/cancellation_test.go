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
func TestCancelledTaskBehindACutIsGoneInTime(t *testing.T) {
	for _, again := range []bool{false, true} {
		s := newStage(t)
		s.settings.Facts.Workers.CancelS = 47.5
		s.cutZone = "b"
		far := []string{"b1", "b2", "b3", "b4"}
		near := func() { s.report("a1", 1) }
		both := func() {
			near()
			for _, n := range far {
				var runs []api.TaskReport
				for _, alloc := range s.machineNamed(n).allocations {
					runs = append(runs, task(alloc.key, alloc.attempt, api.TaskRunning, ""))
				}
				s.report(n, 1, runs...)
			}
		}
		both()
		s.submit("run-000001", 6, func(x *api.Submission) { x.Zone = "b" })
		s.Place()
		s.commit()
		s.rounds(25*time.Second, both)
		on := map[string]bool{}
		for _, alloc := range s.jobs["run-000001"].allocations {
			on[alloc.machine.Name] = true
		}
		if len(on) < 2 || len(on) == len(far) {
			t.Fatalf("on %v", on)
		}
		s.rounds(6*time.Second, near)
		s.Cancel(gaveUp(), "run-000001")
		s.commit()
		told := s.clock.Now()
		if again {
			// The leader changes; the new one knows from the record since when.
			s.rounds(15*time.Second, near)
			s.elect()
			s.settings.Facts.Workers.CancelS = 47.5
			s.cutZone = "b"
			var list []api.Instance
			for _, n := range append([]string{"a1"}, far...) {
				list = append(list, api.Instance{Name: n, Address: n + ":1", Type: "m8", Zone: zoneOf(n), State: "running"})
			}
			s.ApplyInstanceList(list)
		}
		gone := map[string]time.Duration{}
		for s.clock.Since(told) < 50*time.Second {
			for _, n := range s.rounds(tuning.TendEvery, near) {
				gone[n] = s.clock.Since(told)
			}
		}
		for n := range on {
			if at, ok := gone[n]; !ok || at > 42*time.Second || at < 40*time.Second {
				t.Errorf("leader changed %v: %s, with a cancelled task, returned after %v, %v", again, n, at, ok)
			}
		}
		if !again && len(gone) != len(on) {
			t.Errorf("returned %v, want those with a cancelled task alone", gone)
		}
	}
}
