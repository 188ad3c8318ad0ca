package scheduler

import (
	"cmp"
	"slices"
	"strings"

	"switchferry/api"
	"switchferry/fleet"
	"switchferry/settings"
	"switchferry/tuning"
)

// freeAfterStops returns the resources that will be free on a machine once all allocations being stopped have ended, and
// these allocations. s.mu must be held.
func (m *machineState) freeAfterStops() (fleet.Resources, []*allocation) {
	free := m.free()
	var stopping []*allocation
	for _, alloc := range m.allocations {
		if alloc.stopping {
			free = free.Add(alloc.job.request)
			stopping = append(stopping, alloc)
		}
	}
	return free, stopping
}

// mayPreempt reports whether an allocation may be preempted for a job: one of lower rank, or, for a job that waits
// within its team's guarantee, one of the same rank that another team runs beyond its own guarantee. The operators
// would accept this for higher ranks as well, but jobs of higher rank would then preempt the job's tasks in turn,
// without end. Production is never preempted. s.mu must be held.
func (s *Scheduler) mayPreempt(alloc *allocation, job *jobState) bool {
	victim := alloc.job
	if alloc.startedByAgeing && job.rank < api.RankProduction && s.since(alloc.allocatedAt) < tuning.StarvedStartProtection {
		// Preempting a task of a starved job soon after its start would undo the ageing.
		return false
	}
	if victim.rank < job.rank {
		return true
	}
	guaranteeApplies := job.guaranteed && s.since(job.learnedAt) >= tuning.GuaranteeDelay
	exceedsGuarantee := victim.overQuota != 0 && victim.Job.Team != job.Job.Team
	if victim.rank > job.rank || victim.rank == api.RankProduction || !guaranteeApplies || !exceedsGuarantee {
		return false
	}
	// Allocations being stopped do not count as usage. Otherwise the other team would lose far more than it had borrowed.
	team, _ := s.configuration.Team(victim.Job.Team)
	remaining := s.usage[team.Name].Sub(s.stoppingUsage[team.Name]).Sub(victim.request)
	return remaining.CPUs+tuning.ResourceSlack >= team.CPUs && remaining.Cards+tuning.ResourceSlack >= team.Cards
}

// preemptible returns the allocations on a machine that may be preempted for a job, unsorted. s.mu must be held.
func (s *Scheduler) preemptible(job *jobState, machine *machineState) (allocations []*allocation) {
	for _, alloc := range machine.allocations {
		if !alloc.stopping && alloc.reported && s.mayPreempt(alloc, job) {
			allocations = append(allocations, alloc)
		}
	}
	return allocations
}

// findVictims returns the allocations to preempt on a machine so that one task of a job fits there, chosen in the order
// of sortByLoss, and the allocations that are already being stopped. It returns false if the task cannot fit.
// s.mu must be held.
func (s *Scheduler) findVictims(job *jobState, machine *machineState) (stopping, victims []*allocation, ok bool) {
	s.victimSearches++
	free, stopping := machine.freeAfterStops()
	if free.Fits(job.request) {
		return stopping, nil, true
	}
	preemptible := s.preemptible(job, machine)
	freeAfterAll := free
	for _, alloc := range preemptible {
		freeAfterAll = freeAfterAll.Add(alloc.job.request)
	}
	if !freeAfterAll.Fits(job.request) {
		return nil, nil, false
	}
	s.sortByLoss(preemptible)
	for _, alloc := range preemptible {
		free = free.Add(alloc.job.request)
		victims = append(victims, alloc)
		if free.Fits(job.request) {
			return stopping, victims, true
		}
	}
	return nil, nil, false
}

// sortByLoss sorts allocations into the order in which they are preempted: by rank, then by the work that would be lost.
// s.mu must be held.
func (s *Scheduler) sortByLoss(allocations []*allocation) {
	slices.SortFunc(allocations, func(a, b *allocation) int {
		return cmp.Or(
			cmp.Compare(a.job.rank, b.job.rank),
			cmp.Compare(s.preemptionLoss(a), s.preemptionLoss(b)),
			strings.Compare(a.key, b.key))
	})
}

// preemptVictims stops allocations at once to free resources for a job. s.mu must be held.
func (s *Scheduler) preemptVictims(victims []*allocation, job *jobState) {
	for _, victim := range victims {
		victim.job.preemptions[victim.task]++
		s.stopTask(victim, 0, "preempted for "+job.id)
	}
}

// preemptionLoss returns the work in ms that is lost if a task is stopped at once. Each earlier preemption of the task
// adds to the loss. Otherwise a restarted task would always have lost the least work, and would be preempted each time.
// s.mu must be held.
func (s *Scheduler) preemptionLoss(alloc *allocation) int64 {
	earlierLoss := int64(alloc.job.preemptions[alloc.task]) * tuning.RepeatedPreemptionCost.Milliseconds()
	if alloc.runningSince.IsZero() {
		return earlierLoss
	}
	unsavedWork := s.since(alloc.runningSince)
	if interval := settings.Seconds(alloc.job.Job.CheckpointS); interval > 0 {
		unsavedWork %= interval
	}
	return earlierLoss + unsavedWork.Milliseconds()
}

// preempt preempts allocations for an array that found no free resources, and starts as many of its tasks as possible.
// s.mu must be held.
func (s *Scheduler) preempt(job *jobState, machines []*machineState) {
	if !s.startableNow(job) || s.failsEverywhere(job) || !s.withinQuota(job) || !s.mayPreemptAny(job) {
		return
	}
	candidates := s.candidates(job, machines)
	queues := queuesOf(job, machines)
	for job.unplaced() > 0 && s.withinQuota(job) {
		best, ok := s.bestCandidate(job, candidates)
		if !ok {
			break
		}
		task, ok := s.takeTask(job, best.machine, &queues)
		if !ok {
			break
		}
		s.preemptVictims(best.victims, job)
		s.startTask(job, task, best.machine, append(best.stopping, best.victims...), "preempting")
		s.pushCandidate(job, best.machine, candidates)
	}
	for _, machine := range machines {
		machine.dropEmptyQueues()
	}
}

// takeTask removes and returns the task of an array to start on a machine. For a job with inputs, that is a queued task
// whose inputs are staged there. For any other job it is the first pending task or, without one, the first task in the
// queues; leading empty queues are dropped from the slice. It returns false if there is no such task.
// s.mu must be held.
func (s *Scheduler) takeTask(job *jobState, machine *machineState, queues *[]*runQueue) (task int, ok bool) {
	if len(job.inputs) > 0 {
		task = s.takeStaged(job, machine)
		return task, task >= 0
	}
	if len(job.pending) > 0 {
		task = int(job.pending[0])
		job.pending = job.pending[1:]
		return task, true
	}
	for len(*queues) > 0 && len((*queues)[0].tasks) == 0 {
		*queues = (*queues)[1:]
	}
	if len(*queues) == 0 {
		return 0, false
	}
	return (*queues)[0].pop(), true
}

// queuesOf returns the queues of a job, in the order of the given machines.
func queuesOf(job *jobState, machines []*machineState) (queues []*runQueue) {
	for _, machine := range machines {
		for _, queue := range machine.queues {
			if queue.job == job {
				queues = append(queues, queue)
			}
		}
	}
	return queues
}

// mayPreemptAny reports whether any allocation may be preempted for a job. It avoids a search of the fleet for most
// waiting jobs, which have the lowest rank. s.mu must be held.
func (s *Scheduler) mayPreemptAny(job *jobState) bool {
	for _, other := range s.jobOrder {
		for _, alloc := range other.allocations {
			if s.mayPreempt(alloc, job) {
				return true
			}
			if !alloc.startedByAgeing {
				break // The result is the same for all allocations of a job that are not started by ageing.
			}
		}
	}
	return false
}
