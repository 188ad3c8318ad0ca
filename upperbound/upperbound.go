// Package upperbound says how many jobs of a day could have been in time at most, whatever the order
// they were taken in. It knows what each task took and how much was free when, not machines: a
// task may run anywhere, and nothing is fetched.
//
// It is a Lagrangian relaxation. A price is set on processor time for each stretch of the day.
// Given prices, each task by itself is put where it costs least, without a break and ending by
// the time it is due, and a job is worth taking if all of it costs less than one. What all that is
// free costs, and what the jobs that are worth taking have left, is no less than the number of jobs
// that can be in time together, for any prices; the least over many prices is the bound.
package upperbound

import (
	"math"

	"gonum.org/v1/gonum/floats"
)

// Task is what one task took, in processors and seconds.
type Task struct{ CPUs, Run float64 }

// Job is due, all of it, at Due; both are seconds of the day.
type Job struct {
	Arrive, Due float64
	Tasks       []Task
}

// Free is how many processors were free for these jobs, in stretches of Slot seconds from the
// day's begin.
type Free struct {
	Slot float64
	CPUs []float64
}

// Result is the bound and what goes with it.
type Result struct {
	// Jobs is their number, Alone how many could not be in time with the whole fleet for
	// themselves, Most the most that could be in time together.
	Jobs, Alone int
	Most        float64
	// Prices are those of the bound, in jobs a processor second, by stretch.
	Prices []float64
}

// InTime finds the bound in so many rounds; more make it tighter.
func InTime(jobs []Job, free Free, rounds int) Result {
	result := Result{Jobs: len(jobs), Most: float64(len(jobs)), Prices: make([]float64, len(free.CPUs))}
	var possible []Job
	for _, job := range jobs {
		if feasibleAlone(job) {
			possible = append(possible, job)
		}
	}
	result.Alone = len(jobs) - len(possible)
	result.Most = float64(len(possible))
	prices := make([]float64, len(free.CPUs))
	usage := make([]float64, len(free.CPUs))
	subgradient := make([]float64, len(free.CPUs))
	// Polyak's steps, towards a little less than the best so far; less the longer nothing better
	// is found.
	target := 0.1
	for stale := 0; rounds > 0; rounds-- {
		value := evaluate(possible, free, prices, usage)
		if value < result.Most-1e-9 {
			stale = 0
			result.Most = value
			copy(result.Prices, prices)
		} else if stale++; stale > 12 {
			stale, target = 0, target/2
			copy(prices, result.Prices)
			value = evaluate(possible, free, prices, usage)
		}
		for i, c := range free.CPUs {
			subgradient[i] = math.Max(0, c)*free.Slot - usage[i]
			if prices[i] == 0 && subgradient[i] > 0 {
				subgradient[i] = 0
			}
		}
		norm := floats.Dot(subgradient, subgradient)
		if norm == 0 {
			break
		}
		floats.AddScaled(prices, -(value-result.Most*(1-target))/norm, subgradient)
		for i := range prices {
			prices[i] = math.Max(0, prices[i])
		}
	}
	return result
}

func feasibleAlone(job Job) bool {
	for _, task := range job.Tasks {
		if job.Arrive+task.Run > job.Due {
			return false
		}
	}
	return true
}

// evaluate is the bound at some prices; use gets what the jobs worth taking use of each stretch.
func evaluate(jobs []Job, free Free, prices, usage []float64) float64 {
	sum := make([]float64, len(prices)+1) // price of all up to a stretch
	total := 0.0
	for i, p := range prices {
		sum[i+1] = sum[i] + p*free.Slot
		total += p * math.Max(0, free.CPUs[i]) * free.Slot
		usage[i] = 0
	}
	priceUpTo := func(t float64) float64 {
		x := math.Max(0, t/free.Slot)
		i := min(int(x), len(prices))
		if i == len(prices) {
			return sum[i]
		}
		return sum[i] + (x-float64(i))*free.Slot*prices[i]
	}
	var starts []float64
	for _, job := range jobs {
		starts = starts[:0]
		cost := 0.0
		for _, task := range job.Tasks {
			at, c := cheapestStart(job, task, free.Slot, priceUpTo)
			starts = append(starts, at)
			if cost += task.CPUs * c; cost >= 1 {
				break
			}
		}
		if cost >= 1 {
			continue
		}
		total += 1 - cost
		for i, task := range job.Tasks {
			addUsage(usage, free.Slot, starts[i], starts[i]+task.Run, task.CPUs)
		}
	}
	return total
}

// cheapestStart is when a task costs least to begin, and what it costs a processor then: prices
// change only between stretches, so it begins or ends at such a time, or at the first or the last
// moment.
func cheapestStart(job Job, task Task, slot float64, priceUpTo func(float64) float64) (at, cost float64) {
	last := job.Due - task.Run
	at, cost = job.Arrive, math.Inf(1)
	try := func(s float64) {
		if s < job.Arrive || s > last {
			return
		}
		if c := priceUpTo(s+task.Run) - priceUpTo(s); c < cost {
			at, cost = s, c
		}
	}
	try(job.Arrive)
	try(last)
	for s := math.Ceil(job.Arrive/slot) * slot; s <= job.Due && cost > 0; s += slot {
		try(s)
		try(s - task.Run)
	}
	return at, cost
}

// addUsage adds a run to what is used of each stretch.
func addUsage(usage []float64, slot, from, to, cpus float64) {
	for i := max(0, int(from/slot)); i < len(usage) && float64(i)*slot < to; i++ {
		usage[i] += cpus * (math.Min(to, float64(i+1)*slot) - math.Max(from, float64(i)*slot))
	}
}
