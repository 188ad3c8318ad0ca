package upperbound

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// schedule holds the number of free CPUs in each second while the search places tasks.
type schedule struct{ freeCPUs []float64 }

// fits reports whether a task can run from the given second on.
func (s *schedule) fits(task Task, from int) bool {
	to := from + int(task.RunS)
	return to <= len(s.freeCPUs) && !slices.ContainsFunc(s.freeCPUs[from:to], func(cpus float64) bool { return cpus < task.CPUs })
}

// reserve reserves CPUs for a number of seconds from the given second on, or releases them if cpus is negative.
func (s *schedule) reserve(cpus float64, from, seconds int) {
	for i := from; i < from+seconds; i++ {
		s.freeCPUs[i] -= cpus
	}
}

// place tries all combinations of start times of the tasks of a job, beginning with the task of the given index, until
// placeRest returns true. It reports whether placeRest has returned true.
func (s *schedule) place(job Job, task int, placeRest func() bool) bool {
	if task == len(job.Tasks) {
		return placeRest()
	}
	placed := job.Tasks[task]
	for start := int(job.Arrive); float64(start)+placed.RunS <= job.Due; start++ {
		if !s.fits(placed, start) {
			continue
		}
		s.reserve(placed.CPUs, start, int(placed.RunS))
		if s.place(job, task+1, placeRest) {
			return true
		}
		s.reserve(-placed.CPUs, start, int(placed.RunS))
	}
	return false
}

// placeAll reports whether all jobs can meet their deadlines together.
func (s *schedule) placeAll(jobs []Job) bool {
	if len(jobs) == 0 {
		return true
	}
	return s.place(jobs[0], 0, func() bool { return s.placeAll(jobs[1:]) })
}

// bruteForce returns the largest number of jobs that can meet their deadlines together. It tries all sets of jobs and
// all start times at whole seconds.
func bruteForce(jobs []Job, free FreeCapacity) int {
	best := 0
	for set := range 1 << len(jobs) {
		var chosen []Job
		for i, job := range jobs {
			if set>>i&1 == 1 {
				chosen = append(chosen, job)
			}
		}
		if len(chosen) <= best {
			continue
		}
		s := schedule{freeCPUs: slices.Clone(free.CPUs)}
		if s.placeAll(chosen) {
			best = len(chosen)
		}
	}
	return best
}

// On 300 random small days the bound is never below the optimum found by brute force, and is close to it.
func TestBoundIsNotBelowBruteForceAndIsTight(t *testing.T) {
	gap, sum := 0.0, 0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 9))
		free := FreeCapacity{SlotS: 1}
		for range 10 {
			free.CPUs = append(free.CPUs, float64(rng.IntN(4)))
		}
		var jobs []Job
		for range 5 {
			job := Job{Arrive: float64(rng.IntN(5))}
			job.Due = job.Arrive + float64(2+rng.IntN(5))
			for range 1 + rng.IntN(2) {
				job.Tasks = append(job.Tasks, Task{CPUs: float64(1 + rng.IntN(2)), RunS: float64(1 + rng.IntN(3))})
			}
			jobs = append(jobs, job)
		}
		got := Compute(jobs, free, 400)
		want := bruteForce(jobs, free)
		if got.Bound < float64(want)-1e-6 {
			t.Fatalf("seed %d: bound %.3f, but %d jobs can meet their deadlines", seed, got.Bound, want)
		}
		gap += math.Floor(got.Bound+1e-6) - float64(want)
		sum += want
	}
	t.Logf("%d jobs can meet their deadlines over all days; the bounds, rounded down, allow %.0f more", sum, gap)
	if gap > 0.15*float64(sum) {
		t.Errorf("the bounds allow %.0f jobs more than the %d that can meet their deadlines", gap, sum)
	}
}

// With enough free CPUs for all jobs, the bound counts every job that can meet its deadline alone.
func TestBoundWithAmpleCapacityCountsFeasibleJobs(t *testing.T) {
	jobs := []Job{{0, 10, []Task{{2, 5}}}, {3, 9, []Task{{4, 6}, {1, 2}}}, {0, 4, []Task{{1, 5}}}}
	if got := Compute(jobs, FreeCapacity{SlotS: 5, CPUs: []float64{100, 100}}, 50); got.Bound != 2 || got.InfeasibleAlone != 1 {
		t.Errorf("%+v, want a bound of 2 and 1 infeasible job", got)
	}
}
