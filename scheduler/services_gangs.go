package scheduler

import (
	"math"
	"slices"

	"switchferry/api"
	"switchferry/tuning"
)

// Weights of a replica's placement, in seconds of waiting for its image.
const (
	// sameServicePenalty is for each other replica of the service on the machine: they would be lost together.
	sameServicePenalty = 0.5
	// otherServicePenalty is for each replica of another service there.
	otherServicePenalty = 0.2
	// usedSharePenalty is for a machine that is fully in use, less for one that is partly.
	usedSharePenalty = 0.1
	// preemptionPenalty is for a machine on which resources are not free yet, victimPenalty for each allocation
	// that would be preempted there.
	preemptionPenalty = 1
	victimPenalty     = 0.2
)

// placeService starts the pending replicas of a service at once. They skip the water-filling, since they run
// until they are cancelled. A machine that holds the image is worth more than one that must fetch it, and worth
// preempting work of lower rank for. s.mu must be held.
func (s *Scheduler) placeService(job *jobState) {
	// unstaged are the tasks that stay pending while their inputs are copied.
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
			// The machine that it waited for has no free resources any more: another one is looked for.
			delete(job.intendedMachines, task)
			job.pending, unstaged = job.pending[1:], append(unstaged, int32(task))
			continue
		}
		job.pending = job.pending[1:]
		if !s.inputsStaged(job, task, best.machine) {
			// Nothing is preempted, and no resources are held, while its inputs are copied there.
			job.setIntendedMachine(task, best.machine)
			unstaged = append(unstaged, int32(task))
			continue
		}
		s.preemptVictims(best.victims, job)
		s.startTask(job, task, best.machine, append(best.leaving, best.victims...), "service")
	}
}

// bestReplicaCandidate returns the machine on which a replica of a service costs least, in seconds; false if there is none.
// If intended is set, only that machine is considered. s.mu must be held.
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
				current.leaving, current.victims, ok = s.findVictims(job, machine)
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

// replicaScore returns what a replica of a service costs on a machine with free resources, in seconds.
// s.mu must be held.
func (s *Scheduler) replicaScore(job *jobState, task int, machine *machineState) float64 {
	score := s.startCost(job, task, machine).Seconds()
	if job.site != nil {
		score += tuning.SiteCost * job.site.Cost(machine.Name)
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

// mayPlace reports whether a task of a job may be placed on a machine, free resources and quota apart.
// s.mu must be held.
func (s *Scheduler) mayPlace(job *jobState, machine *machineState) bool {
	return s.eligible(job, machine) && satisfiesSpread(job, machine) && s.mayStage(job, machine)
}

// placeGang starts all pending tasks of a gang, or none: a few of them would only hold resources while they wait
// for the others. s.mu must be held.
func (s *Scheduler) placeGang(job *jobState) {
	if len(job.allocations) > 0 {
		// Those of an earlier attempt end by themselves, as the rest of the gang is missing.
		return
	}
	machines := slices.Clone(s.sortedMachines())
	// A gang whose inputs are being copied keeps to its machines as long as they can take it.
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

// allocateGang allocates all pending tasks of a gang, trying each machine as the first one; nil if they do not fit.
// With keepsMachines the tasks are then moved to the machines that their inputs are copied to; abandoned tells that
// these cannot take them, and that the gang forgets them. s.mu must be held.
func (s *Scheduler) allocateGang(job *jobState, machines []*machineState, keepsMachines bool) (allocations []*allocation, abandoned bool) {
	// Workers bring those tasks of a gang together that have the same attempt.
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

// allocateInZone allocates as many pending tasks of a gang as fit on the machines, in their order; of a gang that
// must be in one zone, only on those of that zone. s.mu must be held.
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

// allocateIntended allocates a gang's tasks on the machines that their inputs are copied to; nil if one of them
// cannot take its task. s.mu must be held.
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

// removeAllocations takes back allocations of which no start was committed. s.mu must be held.
func (s *Scheduler) removeAllocations(allocations []*allocation) {
	for _, alloc := range allocations {
		s.removeAllocation(alloc)
	}
}

// awaitGangInputs reports whether inputs of a gang have yet to be copied to the machines that it was allocated. If
// so it takes all allocations back, since all of a gang starts or nothing, and notes the machines as intended.
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

// mayPreemptForGang reports whether allocations may be preempted for a whole gang: it must be placed near its
// tasks, has no inputs, and work of a lower rank runs. s.mu must be held.
func (s *Scheduler) mayPreemptForGang(job *jobState) bool {
	return job.site != nil && job.Job.Near != nil && job.Job.Near.Must &&
		job.rank > lowestRank(s.jobOrder) && len(job.inputs) == 0 && !s.failsEverywhere(job)
}

// placeGangByPreemption starts a gang that must be placed near where resources for all of it can be freed, or does
// nothing. The victims of its first tasks count as stopping while those of the others are looked for, so that no
// team loses more than it may. s.mu must be held.
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
		alloc.victims = slices.Concat(best.leaving, best.victims)
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

// cheapestPreemption returns the machine on which freeing the resources for one task of a job loses the least work, in
// ms; false if there is none. s.mu must be held.
func (s *Scheduler) cheapestPreemption(job *jobState, machines []*machineState) (best candidate, ok bool) {
	for _, machine := range machines {
		if !s.mayPlace(job, machine) || !s.withinQuota(job) || machine.heartbeatFull() {
			continue
		}
		leaving, victims, ok := s.findVictims(job, machine)
		if !ok {
			continue
		}
		current := candidate{machine: machine, leaving: leaving, victims: victims}
		for _, victim := range victims {
			current.score += float64(s.preemptionLoss(victim))
		}
		if best.machine == nil || current.score < best.score {
			best = current
		}
	}
	return best, best.machine != nil
}

// setCountedAsStopping makes an allocation count as stopping, or no longer, without stopping its task.
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
