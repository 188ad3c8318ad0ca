package scheduler

import (
	"math"
	"slices"

	"switchferry/api"
	"switchferry/tuning"
)

// Penalties in the score of a machine for a replica, in seconds of waiting for the image.
const (
	// sameServicePenalty is added for each other replica of the same service on the machine, since all of them would be
	// lost together.
	sameServicePenalty = 0.5
	// otherServicePenalty is added for each replica of another service on the machine.
	otherServicePenalty = 0.2
	// usedSharePenalty is multiplied by the share of the machine's CPUs in use.
	usedSharePenalty = 0.1
	// preemptionPenalty is added for a machine without enough free resources.
	preemptionPenalty = 1
	// victimPenalty is added for each allocation that would be preempted.
	victimPenalty = 0.2
)

// placeService starts the pending replicas of a service at once. They are not placed by water-filling, because they run
// until they are cancelled. A machine that holds the image is preferred to one that must fetch it, even if allocations
// of lower rank have to be preempted there. s.mu must be held.
func (s *Scheduler) placeService(job *jobState) {
	// unstaged are the tasks that remain pending while their inputs are copied.
	var unstaged []int32
	defer func() { job.pending = append(job.pending, unstaged...) }()
	for len(job.pending) > 0 && s.withinQuota(job) && s.startableNow(job) {
		task := int(job.pending[0])
		intended := s.intendedMachine(job, task)
		best, ok := s.bestReplicaCandidate(job, task, intended)
		if !ok {
			if intended == nil {
				return
			}
			// The intended machine has no free resources any more. The next round chooses another one.
			delete(job.intendedMachines, task)
			job.pending, unstaged = job.pending[1:], append(unstaged, int32(task))
			continue
		}
		job.pending = job.pending[1:]
		if !s.inputsStaged(job, task, best.machine) {
			// Nothing is preempted and no resources are allocated while the task's inputs are being copied there.
			job.setIntendedMachine(task, best.machine)
			unstaged = append(unstaged, int32(task))
			continue
		}
		s.preemptVictims(best.victims, job)
		s.startTask(job, task, best.machine, append(best.stopping, best.victims...), "service")
	}
}

// bestReplicaCandidate returns the machine with the lowest score in seconds for a replica of a service, or false if
// there is none. If intended is not nil, only that machine is considered. s.mu must be held.
func (s *Scheduler) bestReplicaCandidate(job *jobState, task int, intended *machineState) (candidate, bool) {
	best := candidate{score: math.Inf(1)}
	for _, machine := range s.sortedMachines() {
		if !s.mayPlace(job, machine) || intended != nil && intended != machine {
			continue
		}
		current := candidate{machine: machine, score: s.replicaScore(job, task, machine)}
		if !machine.free().Fits(job.request) {
			ok := false
			if !s.failsEverywhere(job) {
				current.stopping, current.victims, ok = s.findVictims(job, machine)
			}
			if !ok {
				continue
			}
			current.score += preemptionPenalty + victimPenalty*float64(len(current.victims))
		}
		if current.score < best.score {
			best = current
		}
	}
	return best, best.machine != nil
}

// replicaScore returns the score in seconds of a machine for a replica of a service, without the penalties for
// preemption. Lower is better. s.mu must be held.
func (s *Scheduler) replicaScore(job *jobState, task int, machine *machineState) float64 {
	score := s.startCost(job, task, machine).Seconds()
	if job.site != nil {
		score += tuning.PreferenceViolationCostS * job.site.Cost(machine.Name)
	}
	for _, alloc := range machine.allocations {
		if alloc.job == job {
			score += sameServicePenalty
		} else if alloc.job.Job.Shape == api.Service {
			score += otherServicePenalty
		}
	}
	return score + usedSharePenalty*machine.used.CPUs/machine.Spec.CPUs
}

// mayPlace reports whether a task of a job may be placed on a machine. It does not consider free resources or quota.
// s.mu must be held.
func (s *Scheduler) mayPlace(job *jobState, machine *machineState) bool {
	return s.eligible(job, machine) && satisfiesSpread(job, machine) && s.mayStage(job, machine)
}

// placeGang starts all pending tasks of a gang or none, because a part of them would only occupy resources while waiting
// for the others. s.mu must be held.
func (s *Scheduler) placeGang(job *jobState) {
	if len(job.allocations) > 0 {
		// Tasks of an earlier attempt are still allocated. They end by themselves, because the rest of the gang is missing.
		return
	}
	machines := slices.Clone(s.sortedMachines())
	// A gang whose inputs are being copied keeps its intended machines as long as its tasks may be placed there.
	keepsMachines := len(job.intendedMachines) > 0
	for _, task := range job.pending {
		keepsMachines = keepsMachines && s.intendedMachine(job, int(task)) != nil
	}
	slices.SortStableFunc(machines, func(a, b *machineState) int {
		return int(s.startCost(job, 0, a).Seconds() - s.startCost(job, 0, b).Seconds())
	})
	allocations, abandoned := s.allocateGang(job, machines, keepsMachines)
	if abandoned {
		return
	}
	if allocations == nil {
		if s.mayPreemptForGang(job) {
			s.placeGangByPreemption(job, machines)
		}
		return
	}
	if s.awaitGangInputs(job, allocations) {
		return
	}
	job.pending = nil
	for _, alloc := range allocations {
		s.commitStart(alloc, "gang")
	}
}

// allocateGang allocates all pending tasks of a gang and returns nil if they do not fit. It tries the zone of each
// machine in turn if the gang must be in one zone. If keepsMachines is set, it allocates the tasks on their intended
// machines instead. If they do not fit there, it clears the intended machines and returns true for abandoned.
// s.mu must be held.
func (s *Scheduler) allocateGang(job *jobState, machines []*machineState, keepsMachines bool) (allocations []*allocation, abandoned bool) {
	// Workers group the tasks of a gang by attempt, so all tasks get the same one.
	attempt := s.nextAttempt()
	zone := ""
	for _, first := range machines {
		if !s.eligible(job, first) || !satisfiesSpread(job, first) || job.Job.OneZone && first.Zone == zone {
			continue
		}
		zone = first.Zone
		allocations = s.allocateInZone(job, machines, zone, attempt)
		if keepsMachines {
			s.removeAllocations(allocations)
			if allocations = s.allocateIntended(job, attempt); allocations == nil {
				clear(job.intendedMachines)
				return nil, true
			}
		}
		if len(allocations) == len(job.pending) {
			return allocations, false
		}
		s.removeAllocations(allocations)
	}
	return nil, false
}

// allocateInZone allocates as many pending tasks of a gang as fit on the machines, in the order of the machines. For a
// gang that must be in one zone it uses only machines in the given zone. s.mu must be held.
func (s *Scheduler) allocateInZone(job *jobState, machines []*machineState, zone string, attempt uint64) (allocations []*allocation) {
	for _, machine := range machines {
		if job.Job.OneZone && machine.Zone != zone {
			continue
		}
		for len(allocations) < len(job.pending) && s.canStart(job, machine) && s.mayStage(job, machine) {
			task := int(job.pending[len(allocations)])
			if !s.mayAllocate(job, task) {
				return allocations
			}
			allocations = append(allocations, s.allocate(job, task, machine, attempt))
		}
	}
	return allocations
}

// allocateIntended allocates the pending tasks of a gang on their intended machines. It allocates nothing and returns
// nil if a task cannot start on its machine. s.mu must be held.
func (s *Scheduler) allocateIntended(job *jobState, attempt uint64) (allocations []*allocation) {
	for _, task := range job.pending {
		machine := job.intendedMachines[int(task)]
		if machine == nil || !s.canStart(job, machine) {
			s.removeAllocations(allocations)
			return nil
		}
		allocations = append(allocations, s.allocate(job, int(task), machine, attempt))
	}
	return allocations
}

// removeAllocations removes allocations whose starts were not committed. s.mu must be held.
func (s *Scheduler) removeAllocations(allocations []*allocation) {
	for _, alloc := range allocations {
		s.removeAllocation(alloc)
	}
}

// awaitGangInputs reports whether inputs of a gang still have to be copied to the machines that it was allocated. If so,
// it removes all allocations, since a gang starts only as a whole, and records the machines as intended machines.
// s.mu must be held.
func (s *Scheduler) awaitGangInputs(job *jobState, allocations []*allocation) bool {
	unstaged := func(alloc *allocation) bool { return !s.inputsStaged(job, alloc.task, alloc.machine) }
	if !slices.ContainsFunc(allocations, unstaged) {
		return false
	}
	for _, alloc := range allocations {
		job.setIntendedMachine(alloc.task, alloc.machine)
		s.removeAllocation(alloc)
	}
	return true
}

// mayPreemptForGang reports whether allocations may be preempted for a whole gang: it has a mandatory near constraint
// and no inputs, and jobs of lower rank have allocations. s.mu must be held.
func (s *Scheduler) mayPreemptForGang(job *jobState) bool {
	return job.site != nil && job.Job.Near != nil && job.Job.Near.Required &&
		job.rank > lowestRank(s.jobOrder) && len(job.inputs) == 0 && !s.failsEverywhere(job)
}

// placeGangByPreemption starts all pending tasks of a gang with a mandatory near constraint by preemption. It does
// nothing if resources for all of them cannot be freed. The victims of one task count as stopping during the search for
// the victims of the next, so that no team loses more than mayPreempt permits. s.mu must be held.
func (s *Scheduler) placeGangByPreemption(job *jobState, machines []*machineState) {
	attempt := s.nextAttempt()
	var allocations []*allocation
	victims := map[*allocation][]*allocation{}
	unmarkVictims := func() {
		for _, alloc := range allocations {
			for _, victim := range victims[alloc] {
				s.setCountedAsStopping(victim, false)
			}
		}
	}
	for _, task := range job.pending {
		best, ok := s.cheapestPreemption(job, machines)
		if !ok {
			unmarkVictims()
			s.removeAllocations(allocations)
			return
		}
		alloc := s.allocate(job, int(task), best.machine, attempt)
		alloc.victims = slices.Concat(best.stopping, best.victims)
		victims[alloc] = best.victims
		for _, victim := range best.victims {
			s.setCountedAsStopping(victim, true)
		}
		allocations = append(allocations, alloc)
	}
	unmarkVictims()
	job.pending = nil
	for _, alloc := range allocations {
		s.preemptVictims(victims[alloc], job)
		s.commitStart(alloc, "gang")
	}
}

// cheapestPreemption returns the machine on which freeing resources for one task of a job loses the least work, or false
// if there is none. The score of the candidate is the lost work in ms. s.mu must be held.
func (s *Scheduler) cheapestPreemption(job *jobState, machines []*machineState) (best candidate, ok bool) {
	for _, machine := range machines {
		if !s.mayPlace(job, machine) || !s.withinQuota(job) || machine.heartbeatFull() {
			continue
		}
		stopping, victims, ok := s.findVictims(job, machine)
		if !ok {
			continue
		}
		current := candidate{machine: machine, stopping: stopping, victims: victims}
		for _, victim := range victims {
			current.score += float64(s.preemptionLoss(victim))
		}
		if best.machine == nil || current.score < best.score {
			best = current
		}
	}
	return best, best.machine != nil
}

// setCountedAsStopping sets whether an allocation and its usage count as stopping, without stopping its task.
// s.mu must be held.
func (s *Scheduler) setCountedAsStopping(alloc *allocation, stopping bool) {
	alloc.stopping = stopping
	team := alloc.job.Job.Team
	if stopping {
		s.stoppingUsage[team] = s.stoppingUsage[team].Add(alloc.job.request)
	} else {
		s.stoppingUsage[team] = s.stoppingUsage[team].Sub(alloc.job.request)
	}
}
