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

// Checks that a production job preempts allocations of lower rank, that the kill is sent before the start, and that
// allocations of the same rank are not preempted.
func TestHigherRankPreemptsLowerRank(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 2, nil)
	h.Place()
	h.commit()
	h.HandleCommandOutcome("a1", h.sent[0].response, nil, true)
	var runningTasks []api.TaskReport
	for i := range 2 {
		runningTasks = append(runningTasks, taskReport(taskKey("run-000001", i), h.starts(taskKey("run-000001", i))[0].response.Commands[0].Attempt, api.TaskRunning, ""))
	}
	h.heartbeat("a1", 1, runningTasks...)
	h.sent = nil
	h.submit("run-000002", 1, func(x *api.Submission) { x.Shape, x.Rank = api.Service, "prod" })
	h.Place()
	h.commit()
	var cmds []api.Command
	for _, response := range h.sent {
		cmds = append(cmds, response.response.Commands...)
	}
	response := h.heartbeat("a1", 1, runningTasks...)
	cmds = append(cmds, response.Commands...)
	kill, start := -1, -1
	for i, c := range cmds {
		if c.Verb == api.CommandKill && kill < 0 {
			kill = i
		}
		if c.Verb == api.CommandRun && c.Task == "run-000002/0" {
			start = i
		}
	}
	if kill < 0 || start < kill {
		t.Errorf("want a kill and then the start: %+v", cmds)
	}
	h.submit("run-000003", 2, func(x *api.Submission) { x.Shape, x.Rank, x.CPUs = api.Service, "prod", 8 })
	h.Place()
	if h.jobs["run-000002"].allocations[0].stopping {
		t.Error("an allocation of the same rank was preempted")
	}
}

// Checks that a task that was preempted before is not preempted again while another task can be preempted instead,
// although it has run for the shortest time.
func TestTaskIsNotPreemptedAgain(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 2, nil)
	h.Place()
	h.commit()
	h.answerCommands()
	var runningTasks []api.TaskReport
	for i := range 2 {
		k := taskKey("run-000001", i)
		runningTasks = append(runningTasks, taskReport(k, h.starts(k)[0].response.Commands[0].Attempt, api.TaskRunning, ""))
	}
	h.heartbeat("a1", 1, runningTasks[0])
	h.clock.Advance(5 * time.Second)
	h.heartbeat("a1", 1, runningTasks...)
	job := h.jobs["run-000001"]
	older, younger := job.allocations[0], job.allocations[1]
	if h.preemptionLoss(older) <= h.preemptionLoss(younger) {
		t.Fatal("preempting the older task must lose more work")
	}
	job.preemptions[1] = 1
	h.submit("run-000002", 1, func(x *api.Submission) { x.Shape, x.Rank = api.Service, "prod" })
	h.Place()
	if !older.stopping || younger.stopping {
		t.Errorf("stopping: older task %v, younger task %v, want only the older one", older.stopping, younger.stopping)
	}
}

// The tests of scalability count operations and do not measure time. The function fullFleet is declared in
// placement_bench_test.go.

// Checks that on a full fleet an array that may preempt searches each machine once, and afterwards only the machines
// that it uses. A search of all machines for each task used most of the leader's CPU and delayed submissions and
// heartbeats.
func TestPreemptionSearchesTheFleetOnceForAJob(t *testing.T) {
	h := fullFleet(t, 280)
	h.victimSearches = 0
	h.Place()
	started := 0
	for _, job := range h.jobOrder {
		if job.rank == 2 {
			started += len(job.allocations)
		}
	}
	if started < 150 {
		t.Fatalf("%d tasks of rank high started, want at least 150 of 200", started)
	}
	if most := 4*280 + 3*started; h.victimSearches > most {
		t.Errorf("%d searches of machines for 4 jobs, want at most %d", h.victimSearches, most)
	}
}

// Checks that the candidate heap returns candidates with the same scores as an exhaustive search of the fleet for each
// task.
func TestCandidateHeapAgreesWithExhaustiveSearch(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 7))
		h := newHarness(t)
		for i := range 25 {
			h.heartbeat(fmt.Sprintf("a%03d", i), 1)
		}
		for i := range 12 {
			h.submit(fmt.Sprintf("run-%06d", i), 1+rnd.IntN(12), func(x *api.Submission) {
				x.Team, x.Rank = "left", []string{"low", "normal"}[rnd.IntN(2)]
				x.CPUs = float64(1 + rnd.IntN(4))
				x.MemoryGB = float64(1 + rnd.IntN(8))
			})
			h.settleStarts()
			h.clock.Advance(time.Duration(rnd.IntN(1900)) * time.Millisecond)
			for k := range 25 {
				h.repeatHeartbeat(fmt.Sprintf("a%03d", k))
			}
		}
		h.submit("run-900000", 30, func(x *api.Submission) { x.Team, x.Rank, x.CPUs, x.MemoryGB = "left", "high", 2, 3 })
		job := h.jobs["run-900000"]
		candidates := h.candidates(job, h.sortedMachines())
		for {
			exhaustiveScore := math.Inf(1)
			for _, machine := range h.sortedMachines() {
				if x, ok := h.candidateOn(job, machine); ok {
					exhaustiveScore = math.Min(exhaustiveScore, x.score)
				}
			}
			x, ok := h.bestCandidate(job, candidates)
			if !ok || len(job.pending) == 0 {
				if !math.IsInf(exhaustiveScore, 1) && len(job.pending) > 0 {
					t.Fatalf("seed %d: no candidate found, an exhaustive search finds score %v", seed, exhaustiveScore)
				}
				break
			}
			if x.score != exhaustiveScore {
				t.Fatalf("seed %d: found score %v, an exhaustive search finds %v", seed, x.score, exhaustiveScore)
			}
			task := int(job.pending[0])
			job.pending = job.pending[1:]
			h.preemptVictims(x.victims, job)
			h.startTask(job, task, x.machine, append(x.stopping, x.victims...), "preempting")
			h.pushCandidate(job, x.machine, candidates)
		}
		if len(job.allocations) == 0 {
			t.Fatalf("seed %d: no task was started", seed)
		}
		for _, machine := range h.machines {
			if free, _ := machine.freeAfterStops(); !free.Fits(fleet.Resources{}) {
				t.Fatalf("seed %d: the allocations on %s exceed its resources", seed, machine.Name)
			}
		}
	}
}
