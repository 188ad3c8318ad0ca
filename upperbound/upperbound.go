// Package upperbound computes an upper bound of how many jobs of a recorded day could have met their due times, whatever
// the order in which they were served. It knows how long each task ran and how many CPUs were free when, not machines: a
// task may run anywhere, and nothing has to be fetched.
//
// The bound is a Lagrangian relaxation. Each slot of the day has a price for CPU time. At given prices each task by itself
// is placed where it costs least, without a break and ending by its due time, and a job is served if all of it costs less
// than one. The price of all free CPU time, plus one less its cost for each job that is served, is no less than the
// number of jobs that can meet their due times together, for any prices. The bound is the least such value over many
// prices, which a subgradient method finds.
package upperbound

import (
	"math"

	"gonum.org/v1/gonum/floats"
)

// Task is the CPUs that one task took, and for how many seconds it ran.
type Task struct{ CPUs, Run float64 }

// Job is a job that could start at Arrive and of which all tasks are due at Due, in seconds of the day.
type Job struct {
	Arrive, Due float64
	Tasks       []Task
}

// Free is how many CPUs were free for these jobs, by slots of so many seconds from the start of the day.
type Free struct {
	Slot float64
	CPUs []float64
}

// Result is the bound, with the prices at which it was found.
type Result struct {
	// Jobs is how many jobs there are, and Alone how many of them could not have met their due times with the whole fleet
	// for themselves.
	Jobs, Alone int
	// Most is the bound: at most so many could have met their due times together.
	Most float64
	// Prices are those of the bound, in jobs a CPU second, by slot.
	Prices []float64
}

// The subgradient method takes Polyak's steps towards a value below the best so far, by initialTarget of it at first, and
// by half as much each time that nothing better was found for more than maxStaleRounds rounds.
const (
	initialTarget  = 0.1
	maxStaleRounds = 12
	// minImprovement is by how much a value must be below the best so far to count as better.
	minImprovement = 1e-9
)

// InTime returns the bound after so many rounds; more rounds make it tighter.
func InTime(jobs []Job, free Free, rounds int) Result {
	feasible := feasibleJobs(jobs)
	result := Result{
		Jobs: len(jobs), Alone: len(jobs) - len(feasible),
		Most: float64(len(feasible)), Prices: make([]float64, len(free.CPUs)),
	}
	prices := make([]float64, len(free.CPUs))
	usage := make([]float64, len(free.CPUs))
	subgradient := make([]float64, len(free.CPUs))
	target := initialTarget
	stale := 0
	for range rounds {
		value := evaluate(feasible, free, prices, usage)
		if value < result.Most-minImprovement {
			stale = 0
			result.Most = value
			copy(result.Prices, prices)
		} else if stale++; stale > maxStaleRounds {
			stale, target = 0, target/2
			copy(prices, result.Prices)
			value = evaluate(feasible, free, prices, usage)
		}
		setSubgradient(subgradient, free, prices, usage)
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

// feasibleJobs returns the jobs that can meet their due times with the whole fleet for themselves.
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
		if job.Arrive+task.Run > job.Due {
			return false
		}
	}
	return true
}

// setSubgradient sets the subgradient of the bound at some prices, by slot: the CPU time that is free and not used. Where it
// would only lower a price that is zero already, it is zero.
func setSubgradient(subgradient []float64, free Free, prices, usage []float64) {
	for i, cpus := range free.CPUs {
		subgradient[i] = math.Max(0, cpus)*free.Slot - usage[i]
		if prices[i] == 0 && subgradient[i] > 0 {
			subgradient[i] = 0
		}
	}
}

// evaluate returns the bound at some prices, and sets usage to the CPU seconds that the jobs which are served use of each
// slot.
func evaluate(jobs []Job, free Free, prices, usage []float64) float64 {
	total := 0.0
	for i, price := range prices {
		total += price * math.Max(0, free.CPUs[i]) * free.Slot
		usage[i] = 0
	}
	cumulative := newCumulativePrice(prices, free.Slot)
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
			addUsage(usage, free.Slot, starts[i], starts[i]+task.Run, task.CPUs)
		}
	}
	return total
}

// cumulativePrice is what one CPU costs from the start of the day up to a time.
type cumulativePrice struct {
	slotS  float64
	prices []float64
	// costAtSlotStart is the cost up to the start of each slot, and up to the end of the last one.
	costAtSlotStart []float64
}

func newCumulativePrice(prices []float64, slot float64) *cumulativePrice {
	costAtSlotStart := make([]float64, len(prices)+1)
	for i, price := range prices {
		costAtSlotStart[i+1] = costAtSlotStart[i] + price*slot
	}
	return &cumulativePrice{slotS: slot, prices: prices, costAtSlotStart: costAtSlotStart}
}

// costUpTo returns the cost up to a time in seconds. After the last slot CPU time costs nothing.
func (c *cumulativePrice) costUpTo(seconds float64) float64 {
	slots := math.Max(0, seconds/c.slotS)
	i := min(int(slots), len(c.prices))
	if i == len(c.prices) {
		return c.costAtSlotStart[i]
	}
	return c.costAtSlotStart[i] + (slots-float64(i))*c.slotS*c.prices[i]
}

// cheapestStart returns when a task of a job costs least to start, and what each of its CPUs costs then. Prices change
// only between slots, so it starts or ends at such a time, or at the first or the last moment that is possible.
func (c *cumulativePrice) cheapestStart(job Job, task Task) (start, cost float64) {
	last := job.Due - task.Run
	start, cost = job.Arrive, math.Inf(1)
	try := func(at float64) {
		if at < job.Arrive || at > last {
			return
		}
		if costAt := c.costUpTo(at+task.Run) - c.costUpTo(at); costAt < cost {
			start, cost = at, costAt
		}
	}
	try(job.Arrive)
	try(last)
	for boundary := math.Ceil(job.Arrive/c.slotS) * c.slotS; boundary <= job.Due && cost > 0; boundary += c.slotS {
		try(boundary)
		try(boundary - task.Run)
	}
	return start, cost
}

// addUsage adds what some CPUs use from one time to another, in CPU seconds, to the usage of each slot.
func addUsage(usage []float64, slot, from, to, cpus float64) {
	for i := max(0, int(from/slot)); i < len(usage) && float64(i)*slot < to; i++ {
		usage[i] += cpus * (math.Min(to, float64(i+1)*slot) - math.Max(from, float64(i)*slot))
	}
}
