package controller

import (
	"math"
	"slices"

	"switchferry/api"
	"switchferry/tuning"
)

// placeService starts replicas at once: they skip the water-filling, since
// they run until they are cancelled. A machine that holds the image is worth
// more than one that must fetch it, and worth stopping lower work for.
func (s *Scheduler) placeService(job *jobState) {
	var unstaged []int32
	defer func() { job.pending = append(job.pending, unstaged...) }()
	for len(job.pending) > 0 && s.withinQuota(job) && s.startableNow(job) {
		task := int(job.pending[0])
		var best *machineState
		var bestOut, bestVictims []*allocation
		bestScore := math.Inf(1)
		meant := s.intendedMachine(job, task)
		for _, machine := range s.sortedMachines() {
			if !s.eligible(job, machine) || !satisfiesSpread(job, machine) || !s.mayStage(job, machine) || meant != nil && meant != machine {
				continue
			}
			score := s.startCost(job, task, machine, false).Seconds()
			if job.site != nil {
				score += tuning.SitePrice * job.site.Cost(machine.Name)
			}
			// Replicas on one machine are lost together.
			for _, alloc := range machine.allocations {
				if alloc.job == job {
					score += 0.5
				} else if alloc.job.Job.Shape == api.Service {
					score += 0.2
				}
			}
			score += 0.1 * machine.used.CPUs / machine.Spec.CPUs
			var out, victims []*allocation
			if !machine.free().Fits(job.request) {
				ok := false
				if !s.failsEverywhere(job) {
					out, victims, ok = s.findVictims(job, machine)
				}
				if !ok {
					continue
				}
				score += 1 + 0.2*float64(len(victims))
			}
			if score < bestScore {
				best, bestOut, bestVictims, bestScore = machine, out, victims, score
			}
		}
		if best == nil {
			if meant == nil {
				return
			}
			// What it waited for has no room any more: another is looked for.
			delete(job.intendedMachines, task)
			job.pending, unstaged = job.pending[1:], append(unstaged, int32(task))
			continue
		}
		job.pending = job.pending[1:]
		if !s.inputsStaged(job, task, best) {
			// Nothing is stopped, and no room held, while its inputs are copied there.
			job.setIntendedMachine(task, best)
			unstaged = append(unstaged, int32(task))
			continue
		}
		s.preemptVictims(bestVictims, job)
		s.startTask(job, task, best, append(bestOut, bestVictims...), "service")
	}
}

// placeGang starts all waiting tasks of a gang, or none: a few of them would
// only hold room while they wait for the others.
func (s *Scheduler) placeGang(job *jobState) {
	if len(job.allocations) > 0 {
		// The rest of an earlier try ends by itself, for want of its mates.
		return
	}
	ms := slices.Clone(s.sortedMachines())
	holders := func(a, b *machineState) int {
		return int(s.startCost(job, 0, a, false).Seconds() - s.startCost(job, 0, b, false).Seconds())
	}
	// A gang whose inputs are being copied keeps to its machines while they will do.
	kept := len(job.intendedMachines) > 0
	for _, t := range job.pending {
		kept = kept && s.intendedMachine(job, int(t)) != nil
	}
	slices.SortStableFunc(ms, holders)
	var held []*allocation
	// Workers bring those together that have the same attempt.
	attempt := s.nextAttempt()
	zone := ""
	for _, first := range ms {
		if !s.eligible(job, first) || !satisfiesSpread(job, first) || job.Job.OneZone && first.Zone == zone {
			continue
		}
		zone = first.Zone
		for _, machine := range ms {
			for len(held) < len(job.pending) && s.canStart(job, machine) && s.mayStage(job, machine) && (!job.Job.OneZone || machine.Zone == zone) {
				held = append(held, s.allocate(job, int(job.pending[len(held)]), machine, attempt))
			}
		}
		if kept {
			for _, alloc := range held {
				s.removeAllocation(alloc)
			}
			if held = s.allocateIntended(job, attempt); held == nil {
				clear(job.intendedMachines)
				return
			}
		}
		if len(held) == len(job.pending) {
			break
		}
		for _, alloc := range held {
			s.removeAllocation(alloc)
		}
		held = nil
	}
	if held == nil {
		if job.site != nil && job.Job.Near != nil && job.Job.Near.Must && job.rank > lowestRank(s.jobOrder) && len(job.inputs) == 0 && !s.failsEverywhere(job) {
			s.placeGangByPreemption(job, ms)
		}
		return
	}
	for _, alloc := range held {
		if !s.inputsStaged(job, alloc.task, alloc.machine) {
			// All of it starts, or nothing: room is held by none meanwhile.
			for _, alloc := range held {
				job.setIntendedMachine(alloc.task, alloc.machine)
				s.removeAllocation(alloc)
			}
			return
		}
	}
	job.pending = nil
	for _, alloc := range held {
		s.commitStart(alloc, "gang")
	}
}

// allocateIntended makes a gang's tasks count on the machines that their inputs are copied to;
// nil: one of them has no room.
func (s *Scheduler) allocateIntended(job *jobState, attempt uint64) (held []*allocation) {
	for _, t := range job.pending {
		machine := job.intendedMachines[int(t)]
		if machine == nil || !s.canStart(job, machine) {
			for _, alloc := range held {
				s.removeAllocation(alloc)
			}
			return nil
		}
		held = append(held, s.allocate(job, int(t), machine, attempt))
	}
	return held
}

// placeGangByPreemption starts a gang that is to stand near where room for all of it can be made, or
// does nothing: whatever is to be stopped for it counts as stopped while the rest is looked
// for, so that no team loses more than it may.
func (s *Scheduler) placeGangByPreemption(job *jobState, ms []*machineState) bool {
	attempt := s.nextAttempt()
	var held []*allocation
	victims := map[*allocation][]*allocation{}
	meant := func(v *allocation, stop bool) {
		v.stopping = stop
		team := v.job.Job.Team
		if stop {
			s.stoppingUsage[team] = s.stoppingUsage[team].Add(v.job.request)
		} else {
			s.stoppingUsage[team] = s.stoppingUsage[team].Sub(v.job.request)
		}
	}
	undo := func() {
		for _, alloc := range held {
			for _, v := range victims[alloc] {
				meant(v, false)
			}
		}
	}
	for _, t := range job.pending {
		var best candidate
		for _, machine := range ms {
			if !s.eligible(job, machine) || !satisfiesSpread(job, machine) || !s.mayStage(job, machine) || !s.withinQuota(job) || len(machine.allocations)+len(machine.exited) >= tuning.ReportTasks {
				continue
			}
			out, victims, ok := s.findVictims(job, machine)
			if !ok {
				continue
			}
			x := candidate{machine: machine, leaving: out, victims: victims}
			for _, v := range victims {
				x.score += float64(s.preemptionLoss(v))
			}
			if best.machine == nil || x.score < best.score {
				best = x
			}
		}
		if best.machine == nil {
			undo()
			for _, alloc := range held {
				s.removeAllocation(alloc)
			}
			return false
		}
		alloc := s.allocate(job, int(t), best.machine, attempt)
		alloc.victims = append(best.leaving, best.victims...)
		victims[alloc] = best.victims
		for _, v := range best.victims {
			meant(v, true)
		}
		held = append(held, alloc)
	}
	undo()
	job.pending = nil
	for _, alloc := range held {
		s.preemptVictims(victims[alloc], job)
		s.commitStart(alloc, "gang")
	}
	return true
}
