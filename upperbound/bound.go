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
	res := Result{Jobs: len(jobs), Most: float64(len(jobs)), Prices: make([]float64, len(free.CPUs))}
	var possible []Job
	for _, j := range jobs {
		if alone(j) {
			possible = append(possible, j)
		}
	}
	res.Alone = len(jobs) - len(possible)
	res.Most = float64(len(possible))
	price := make([]float64, len(free.CPUs))
	use := make([]float64, len(free.CPUs))
	slope := make([]float64, len(free.CPUs))
	// Polyak's steps, towards a little less than the best so far; less the longer nothing better
	// is found.
	aim := 0.1
	for since := 0; rounds > 0; rounds-- {
		value := evaluate(possible, free, price, use)
		if value < res.Most-1e-9 {
			since = 0
			res.Most = value
			copy(res.Prices, price)
		} else if since++; since > 12 {
			since, aim = 0, aim/2
			copy(price, res.Prices)
			value = evaluate(possible, free, price, use)
		}
		for i, c := range free.CPUs {
			slope[i] = math.Max(0, c)*free.Slot - use[i]
			if price[i] == 0 && slope[i] > 0 {
				slope[i] = 0
			}
		}
		norm := floats.Dot(slope, slope)
		if norm == 0 {
			break
		}
		floats.AddScaled(price, -(value-res.Most*(1-aim))/norm, slope)
		for i := range price {
			price[i] = math.Max(0, price[i])
		}
	}
	return res
}

func alone(j Job) bool {
	for _, t := range j.Tasks {
		if j.Arrive+t.Run > j.Due {
			return false
		}
	}
	return true
}

// evaluate is the bound at some prices; use gets what the jobs worth taking use of each stretch.
func evaluate(jobs []Job, free Free, price, use []float64) float64 {
	sum := make([]float64, len(price)+1) // price of all up to a stretch
	total := 0.0
	for i, p := range price {
		sum[i+1] = sum[i] + p*free.Slot
		total += p * math.Max(0, free.CPUs[i]) * free.Slot
		use[i] = 0
	}
	upTo := func(t float64) float64 {
		x := math.Max(0, t/free.Slot)
		i := min(int(x), len(price))
		if i == len(price) {
			return sum[i]
		}
		return sum[i] + (x-float64(i))*free.Slot*price[i]
	}
	var starts []float64
	for _, j := range jobs {
		starts = starts[:0]
		cost := 0.0
		for _, t := range j.Tasks {
			at, c := cheapest(j, t, free.Slot, upTo)
			starts = append(starts, at)
			if cost += t.CPUs * c; cost >= 1 {
				break
			}
		}
		if cost >= 1 {
			continue
		}
		total += 1 - cost
		for i, t := range j.Tasks {
			spread(use, free.Slot, starts[i], starts[i]+t.Run, t.CPUs)
		}
	}
	return total
}

// cheapest is when a task costs least to begin, and what it costs a processor then: prices
// change only between stretches, so it begins or ends at such a time, or at the first or the last
// moment.
func cheapest(j Job, t Task, slot float64, upTo func(float64) float64) (at, cost float64) {
	last := j.Due - t.Run
	at, cost = j.Arrive, math.Inf(1)
	try := func(s float64) {
		if s < j.Arrive || s > last {
			return
		}
		if c := upTo(s+t.Run) - upTo(s); c < cost {
			at, cost = s, c
		}
	}
	try(j.Arrive)
	try(last)
	for s := math.Ceil(j.Arrive/slot) * slot; s <= j.Due && cost > 0; s += slot {
		try(s)
		try(s - t.Run)
	}
	return at, cost
}

// spread adds a run to what is used of each stretch.
func spread(use []float64, slot, from, to, cpus float64) {
	for i := max(0, int(from/slot)); i < len(use) && float64(i)*slot < to; i++ {
		use[i] += cpus * (math.Min(to, float64(i+1)*slot) - math.Max(from, float64(i)*slot))
	}
}
