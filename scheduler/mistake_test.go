package scheduler

import (
	"slices"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// play lets all machines report; what was started runs, or fails if bad says so.
func (s *stage) play(bad func(machine, job string) bool) {
	for _, m := range s.sortedMachines() {
		var tasks []api.TaskReport
		for key, alloc := range m.allocations {
			if !alloc.runSent {
				continue
			}
			state, cause := api.TaskRunning, ""
			if bad(m.Name, alloc.job.id) {
				state, cause = api.TaskExited, api.CauseError
			}
			tasks = append(tasks, task(key, alloc.attempt, state, cause))
		}
		s.report(m.Name, 1, tasks...)
	}
	s.commit()
}

// work plays a while of the leader's rounds.
func (s *stage) work(d time.Duration, bad func(machine, job string) bool) (returned []string) {
	for ; d > 0; d -= tuning.TendEvery {
		s.clock.Advance(tuning.TendEvery)
		s.play(bad)
		s.Place()
		s.commit()
		returned = append(returned, s.MaintainFleet()...)
	}
	return returned
}

// Two jobs with a mistake failed on the same machines, which were returned for it with
// all that worked on them.
func TestMistakenJobsDoNotCondemnMachines(t *testing.T) {
	s := newStage(t)
	for _, n := range []string{"a1", "a2", "a3", "a4"} {
		s.report(n, 1)
	}
	bad := func(_, job string) bool { return job != "run-000009" }
	s.submit("run-000001", 6, nil)
	s.submit("run-000002", 6, func(x *api.Submission) { x.Rank = "high" })
	if gone := s.work(20*time.Second, bad); len(gone) > 0 {
		t.Fatalf("healthy machines %v returned", gone)
	}
	one, two := s.jobs["run-000001"], s.jobs["run-000002"]
	if !s.failsEverywhere(one) || !s.failsEverywhere(two) {
		t.Fatal("jobs that fail everywhere are not told from others")
	}
	if all, _ := s.demand(); all != 8 {
		t.Errorf("12 tasks that fail everywhere ask for %v processors, want those of one task each", all)
	}
	// Others have the fleet, and a retry is one task.
	s.submit("run-000009", 8, nil)
	started := map[string]int{}
	for range 200 {
		s.work(tuning.TendEvery, bad)
		for _, j := range []*jobState{one, two} {
			started[j.id] = max(started[j.id], len(j.allocations)+j.queued)
		}
	}
	if n := len(s.jobs["run-000009"].allocations); n != 8 {
		t.Errorf("%d of 8 tasks of another job run", n)
	}
	if started[one.id] > 1 || started[two.id] > 1 {
		t.Errorf("retries of %v tasks at once, want one", started)
	}
	// Once they are cancelled, what they did on machines is forgotten too.
	s.Cancel(gaveUp(), one.id)
	s.Cancel(gaveUp(), two.id)
	if gone := s.work(5*time.Second, bad); len(gone) > 0 {
		t.Errorf("%v returned after the mistaken jobs were cancelled", gone)
	}
}

// A faulty machine is still found: what fails there works elsewhere. And a job that met
// it is not held back for that.
func TestFaultyMachineIsFoundAmongMistakenJobs(t *testing.T) {
	s := newStage(t)
	for _, n := range []string{"a1", "a2", "a3", "a4", "a5"} {
		s.report(n, 1)
	}
	bad := func(machine, job string) bool { return machine == "a2" || job == "run-000005" }
	small := func(x *api.Submission) { x.CPUs, x.MemoryGB = 1, 1 }
	s.submit("run-000005", 5, nil)
	gone := s.work(5*time.Second, bad)
	// The first fills the fleet; only the faulty machine is left for the second.
	s.submit("run-000001", 40, small)
	gone = append(gone, s.work(5*time.Second, bad)...)
	s.submit("run-000002", 8, small)
	gone = append(gone, s.work(10*time.Second, bad)...)
	if !slices.Equal(gone, []string{"a2"}) {
		t.Errorf("returned %v, want the faulty a2", gone)
	}
	if n := len(s.jobs["run-000001"].allocations); n != 32 {
		t.Errorf("%d tasks of a good job run, want 32 on four good machines", n)
	}
}
