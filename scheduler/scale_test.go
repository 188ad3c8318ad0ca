package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/fleet"
)

// Tests of scale count work, never time. fullFleet is in bench_test.go.

// On a full fleet, an array that may stop other work looks at each machine once
// and then at those that it uses. Looking at all of them for each task took most
// of the leader's processor, and submissions and reports waited.
func TestPreemptionSearchesTheFleetOnceForAJob(t *testing.T) {
	s := fullFleet(t, 280)
	s.victimSearches = 0
	s.Place()
	started := 0
	for _, job := range s.jobOrder {
		if job.rank == 2 {
			started += len(job.allocations)
		}
	}
	if started < 150 {
		t.Fatalf("%d urgent tasks started, want nearly all of 200", started)
	}
	if most := 4*280 + 3*started; s.victimSearches > most {
		t.Errorf("%d machines searched for 4 jobs, want %d at most", s.victimSearches, most)
	}
}

// The options kept in order give what a plain search of the whole fleet for
// each task gives.
func TestOptionsAgreeWithPlainSearch(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 7))
		s := newStage(t)
		for i := range 25 {
			s.report(fmt.Sprintf("a%03d", i), 1)
		}
		for i := range 12 {
			s.submit(fmt.Sprintf("run-%06d", i), 1+rnd.IntN(12), func(x *api.Submission) {
				x.Team, x.Rank = "left", []string{"low", "normal"}[rnd.IntN(2)]
				x.CPUs = float64(1 + rnd.IntN(4))
				x.MemoryGB = float64(1 + rnd.IntN(8))
			})
			s.settleStarts()
			s.clock.Advance(time.Duration(rnd.IntN(1900)) * time.Millisecond)
			for k := range 25 {
				s.again(fmt.Sprintf("a%03d", k))
			}
		}
		s.submit("run-900000", 30, func(x *api.Submission) { x.Team, x.Rank, x.CPUs, x.MemoryGB = "left", "high", 2, 3 })
		job := s.jobs["run-900000"]
		opts := s.candidates(job, s.sortedMachines())
		for {
			plain := math.Inf(1)
			for _, machine := range s.sortedMachines() {
				if x, ok := s.candidateOn(job, machine); ok {
					plain = math.Min(plain, x.score)
				}
			}
			x, ok := s.bestCandidate(job, opts)
			if !ok || len(job.pending) == 0 {
				if !math.IsInf(plain, 1) && len(job.pending) > 0 {
					t.Fatalf("seed %d: nothing found, a plain search finds %v", seed, plain)
				}
				break
			}
			if x.score != plain {
				t.Fatalf("seed %d: found %v, a plain search %v", seed, x.score, plain)
			}
			task := int(job.pending[0])
			job.pending = job.pending[1:]
			s.preemptVictims(x.victims, job)
			s.startTask(job, task, x.machine, append(x.leaving, x.victims...), "preempting")
			s.pushCandidate(job, x.machine, opts)
		}
		if len(job.allocations) == 0 {
			t.Fatalf("seed %d: nothing was started", seed)
		}
		for _, machine := range s.machines {
			if free, _ := machine.freeAfterStops(); !free.Fits(fleet.Resources{}) {
				t.Fatalf("seed %d: %s holds more than its room", seed, machine.Name)
			}
		}
	}
}

// again repeats a worker's last report.
func (s *stage) again(name string) {
	var tasks []api.TaskReport
	for _, t := range s.machines[name].Tasks {
		tasks = append(tasks, t)
	}
	s.report(name, 1, tasks...)
}
