// Package upperbound computes an upper bound on the number of jobs of a recorded day that could have met their
// deadlines under any scheduling order. It considers the run time of each task and the number of free CPUs over time,
// but not machines: a task may run anywhere, and image and input fetches take no time.
//
// The bound is a Lagrangian relaxation. Each time slot of the day has a price for CPU time. At given prices each task
// is scheduled independently at its lowest cost, without preemption and ending by its deadline, and a job is accepted
// if the cost of all its tasks is less than 1. For any prices, the price of all free CPU time plus the sum of 1 minus
// the cost of each accepted job is at least the number of jobs that can meet their deadlines together. The bound is the
// lowest such value that a subgradient method finds.
package upperbound

import (
	"math"

	"gonum.org/v1/gonum/floats"
)

// Task is the number of CPUs of one task and its run time in seconds.
type Task struct{ CPUs, RunS float64 }

// Job is a job that can start at Arrive and whose tasks must all end by Due, in seconds from the start of the day.
type Job struct {
	Arrive, Due float64
	Tasks       []Task
}

// FreeCapacity holds the number of CPUs available to the jobs in each time slot. SlotS is the length of a slot in
// seconds; the first slot begins at the start of the day.
type FreeCapacity struct {
	SlotS float64
	CPUs  []float64
}

// Result is the bound and the prices at which it was found.
type Result struct {
	// Jobs is the number of jobs. InfeasibleAlone is the number of jobs that could not have met their deadlines even
	// with the whole fleet available to them alone.
	Jobs, InfeasibleAlone int
	// Bound is the bound on the number of jobs that could have met their deadlines together.
	Bound float64
	// Prices holds the price of each slot, in jobs per CPU second, at which the bound was found.
	Prices []float64
}

// The subgradient method uses Polyak step sizes with a target value below the best value so far.
const (
	// initialTargetDistance is the initial distance of the target from the best value, as a fraction of the best value.
	initialTargetDistance = 0.1
	// maxStaleRounds is the number of consecutive rounds without improvement beyond which the distance is halved.
	maxStaleRounds = 12
	// minImprovement is the amount by which a value must be below the best value to count as an improvement.
	minImprovement = 1e-9
)

// Compute returns the bound after the given number of rounds. More rounds give a tighter bound.
func Compute(jobs []Job, free FreeCapacity, rounds int) Result {
	feasible := feasibleJobs(jobs)
	result := Result{
		Jobs: len(jobs), InfeasibleAlone: len(jobs) - len(feasible),
		Bound: float64(len(feasible)), Prices: make([]float64, len(free.CPUs)),
	}
	prices := make([]float64, len(free.CPUs))
	usage := make([]float64, len(free.CPUs))
	subgradient := make([]float64, len(free.CPUs))
	targetDistance := initialTargetDistance
	staleRounds := 0
	for range rounds {
		value := evaluate(feasible, free, prices, usage)
		if value < result.Bound-minImprovement {
			staleRounds = 0
			result.Bound = value
			copy(result.Prices, prices)
		} else if staleRounds++; staleRounds > maxStaleRounds {
			staleRounds, targetDistance = 0, targetDistance/2
			copy(prices, result.Prices)
			value = evaluate(feasible, free, prices, usage)
		}
		setSubgradient(subgradient, free, prices, usage)
		norm := floats.Dot(subgradient, subgradient)
		if norm == 0 {
			break
		}
		floats.AddScaled(prices, -(value-result.Bound*(1-targetDistance))/norm, subgradient)
		for i := range prices {
			prices[i] = math.Max(0, prices[i])
		}
	}
	return result
}

// feasibleJobs returns the jobs that can meet their deadlines if the whole fleet is available to them alone.
func feasibleJobs(jobs []Job) (feasible []Job) {
	for _, job := range jobs {
		if feasibleAlone(job) {
			feasible = append(feasible, job)
		}
	}
	return feasible
}

func feasibleAlone(job Job) bool {
	for _, task := range job.Tasks {
		if job.Arrive+task.RunS > job.Due {
			return false
		}
	}
	return true
}

// setSubgradient sets the subgradient of the bound at the given prices: for each slot, the free CPU time minus the used
// CPU time. It is projected to 0 where a step would lower a price that is already 0.
func setSubgradient(subgradient []float64, free FreeCapacity, prices, usage []float64) {
	for i, cpus := range free.CPUs {
		subgradient[i] = math.Max(0, cpus)*free.SlotS - usage[i]
		if prices[i] == 0 && subgradient[i] > 0 {
			subgradient[i] = 0
		}
	}
}

// evaluate returns the bound at the given prices and sets usage to the CPU seconds that the accepted jobs use in each
// slot.
func evaluate(jobs []Job, free FreeCapacity, prices, usage []float64) float64 {
	total := 0.0
	for i, price := range prices {
		total += price * math.Max(0, free.CPUs[i]) * free.SlotS
		usage[i] = 0
	}
	cumulative := newCumulativePrice(prices, free.SlotS)
	var starts []float64
	for _, job := range jobs {
		starts = starts[:0]
		cost := 0.0
		for _, task := range job.Tasks {
			start, costPerCPU := cumulative.cheapestStart(job, task)
			starts = append(starts, start)
			if cost += task.CPUs * costPerCPU; cost >= 1 {
				break
			}
		}
		if cost >= 1 {
			continue
		}
		total += 1 - cost
		for i, task := range job.Tasks {
			addUsage(usage, free.SlotS, starts[i], starts[i]+task.RunS, task.CPUs)
		}
	}
	return total
}

// cumulativePrice is the cost of one CPU from the start of the day to a given time.
type cumulativePrice struct {
	slotS  float64
	prices []float64
	// costAtSlotStart holds the cost up to the start of each slot, followed by the cost up to the end of the last slot.
	costAtSlotStart []float64
}

func newCumulativePrice(prices []float64, slot float64) *cumulativePrice {
	costAtSlotStart := make([]float64, len(prices)+1)
	for i, price := range prices {
		costAtSlotStart[i+1] = costAtSlotStart[i] + price*slot
	}
	return &cumulativePrice{slotS: slot, prices: prices, costAtSlotStart: costAtSlotStart}
}

// costUpTo returns the cost up to a time in seconds from the start of the day. CPU time after the last slot is free.
func (c *cumulativePrice) costUpTo(seconds float64) float64 {
	slots := math.Max(0, seconds/c.slotS)
	i := min(int(slots), len(c.prices))
	if i == len(c.prices) {
		return c.costAtSlotStart[i]
	}
	return c.costAtSlotStart[i] + (slots-float64(i))*c.slotS*c.prices[i]
}

// cheapestStart returns the start time with the lowest cost for a task of a job, and the cost per CPU. Prices change
// only at slot boundaries, so it suffices to try the earliest and the latest start and all starts at which the task
// starts or ends at a slot boundary.
func (c *cumulativePrice) cheapestStart(job Job, task Task) (start, cost float64) {
	latest := job.Due - task.RunS
	start, cost = job.Arrive, math.Inf(1)
	consider := func(at float64) {
		if at < job.Arrive || at > latest {
			return
		}
		if costAt := c.costUpTo(at+task.RunS) - c.costUpTo(at); costAt < cost {
			start, cost = at, costAt
		}
	}
	consider(job.Arrive)
	consider(latest)
	for boundary := math.Ceil(job.Arrive/c.slotS) * c.slotS; boundary <= job.Due && cost > 0; boundary += c.slotS {
		consider(boundary)
		consider(boundary - task.RunS)
	}
	return start, cost
}

// addUsage adds the CPU seconds that cpus CPUs use between two times to the usage of each slot.
func addUsage(usage []float64, slot, from, to, cpus float64) {
	for i := max(0, int(from/slot)); i < len(usage) && float64(i)*slot < to; i++ {
		usage[i] += cpus * (math.Min(to, float64(i+1)*slot) - math.Max(from, float64(i)*slot))
	}
}
