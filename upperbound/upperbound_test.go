package upperbound

import (
	"math"
	"math/rand/v2"
	"testing"
)

// bruteForce is the largest number of jobs that can be in time together, by trying all sets of jobs
// and all starts at whole seconds.
func bruteForce(jobs []Job, free Free) int {
	left := append([]float64{}, free.CPUs...)
	var tasks func(job Job, k int, then func() bool) bool
	tasks = func(job Job, k int, then func() bool) bool {
		if k == len(job.Tasks) {
			return then()
		}
		task := job.Tasks[k]
		for s := int(job.Arrive); float64(s)+task.Run <= job.Due; s++ {
			ok := s+int(task.Run) <= len(left)
			for i := s; ok && i < s+int(task.Run); i++ {
				ok = left[i] >= task.CPUs
			}
			if !ok {
				continue
			}
			for i := s; i < s+int(task.Run); i++ {
				left[i] -= task.CPUs
			}
			if tasks(job, k+1, then) {
				return true
			}
			for i := s; i < s+int(task.Run); i++ {
				left[i] += task.CPUs
			}
		}
		return false
	}
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
		copy(left, free.CPUs)
		var all func(i int) bool
		all = func(i int) bool {
			return i == len(chosen) || tasks(chosen[i], 0, func() bool { return all(i + 1) })
		}
		if all(0) {
			best = len(chosen)
		}
	}
	return best
}

// The bound is never below what can be done, over 300 small days tried out, and close to it.
func TestBoundAgainstBruteForce(t *testing.T) {
	gap, sum := 0.0, 0
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 9))
		free := Free{Slot: 1}
		for range 10 {
			free.CPUs = append(free.CPUs, float64(r.IntN(4)))
		}
		var jobs []Job
		for range 5 {
			job := Job{Arrive: float64(r.IntN(5))}
			job.Due = job.Arrive + float64(2+r.IntN(5))
			for range 1 + r.IntN(2) {
				job.Tasks = append(job.Tasks, Task{CPUs: float64(1 + r.IntN(2)), Run: float64(1 + r.IntN(3))})
			}
			jobs = append(jobs, job)
		}
		got := InTime(jobs, free, 400)
		want := bruteForce(jobs, free)
		if got.Most < float64(want)-1e-6 {
			t.Fatalf("seed %d: bound %.3f, but %d can be in time", seed, got.Most, want)
		}
		gap += math.Floor(got.Most+1e-6) - float64(want)
		sum += want
	}
	t.Logf("%d jobs in time at most over all days; the bounds, rounded down, allow %.0f more", sum, gap)
	if gap > 0.15*float64(sum) {
		t.Errorf("%.0f above %d", gap, sum)
	}
}

// With room for all, all that can be in time alone can be in time.
func TestBoundCountsJobsThatFitAlone(t *testing.T) {
	jobs := []Job{{0, 10, []Task{{2, 5}}}, {3, 9, []Task{{4, 6}, {1, 2}}}, {0, 4, []Task{{1, 5}}}}
	if got := InTime(jobs, Free{Slot: 5, CPUs: []float64{100, 100}}, 50); got.Most != 2 || got.Alone != 1 {
		t.Errorf("%+v", got)
	}
}
