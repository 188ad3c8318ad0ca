package controller

import (
	"cmp"
	"slices"
	"strings"

	"switchferry/api"
	"switchferry/fleet"
	"switchferry/settings"
	"switchferry/tuning"
)

// freeAfterStops is what a machine has free once the tasks being stopped are gone.
func (m *machineState) freeAfterStops() (fleet.Resources, []*allocation) {
	free := m.free()
	var leaving []*allocation
	for _, alloc := range m.allocations {
		if alloc.stopping {
			free = free.Add(alloc.job.request)
			leaving = append(leaving, alloc)
		}
	}
	return free, leaving
}

// mayPreempt tells whether a task may be stopped for a job: work of lower rank, or,
// for a job that waits within its team's guarantee, work of the same rank that
// another team runs beyond its own. Were higher ranks stopped as well, which is
// allowed, they would stop the job's tasks in turn, and so on without end.
// Production is left alone.
func (s *Scheduler) mayPreempt(alloc *allocation, job *jobState) bool {
	o := alloc.job
	if alloc.startedByAgeing && job.rank < api.RankProduction && s.since(alloc.allocatedAt) < tuning.TurnKept {
		// Stopped at once, its turn would have come in vain.
		return false
	}
	if o.rank < job.rank {
		return true
	}
	if o.rank > job.rank || !job.guaranteed || o.overQuota == 0 || o.Job.Team == job.Job.Team || o.rank == api.RankProduction ||
		s.since(job.learnedAt) < tuning.GuaranteePatience {
		return false
	}
	// What is being stopped already is not there to be stopped again: counted as
	// use, it made the other team lose far more than it had borrowed, and that
	// one then took as much back, all over again.
	t, _ := s.configuration.Team(o.Job.Team)
	stays := s.usage[t.Name].Sub(s.stoppingUsage[t.Name]).Sub(o.request)
	return stays.CPUs+tuning.RoomSlack >= t.CPUs && stays.Cards+tuning.RoomSlack >= t.Cards
}

// preemptible is what may be stopped on a machine for a job, in no order.
func (s *Scheduler) preemptible(job *jobState, machine *machineState) (can []*allocation) {
	for _, alloc := range machine.allocations {
		if !alloc.stopping && alloc.reported && s.mayPreempt(alloc, job) {
			can = append(can, alloc)
		}
	}
	return can
}

// findVictims finds what to stop so that one task fits, and of that what loses the
// least. False: it cannot be done.
func (s *Scheduler) findVictims(job *jobState, machine *machineState) (leaving, victims []*allocation, ok bool) {
	s.victimSearches++
	free, leaving := machine.freeAfterStops()
	if free.Fits(job.request) {
		return leaving, nil, true
	}
	can := s.preemptible(job, machine)
	most := free
	for _, alloc := range can {
		most = most.Add(alloc.job.request)
	}
	if !most.Fits(job.request) {
		return nil, nil, false
	}
	s.sortByLoss(can)
	for _, alloc := range can {
		free = free.Add(alloc.job.request)
		victims = append(victims, alloc)
		if free.Fits(job.request) {
			return leaving, victims, true
		}
	}
	return nil, nil, false
}

// sortByLoss puts tasks in the order in which they are stopped.
func (s *Scheduler) sortByLoss(can []*allocation) {
	slices.SortFunc(can, func(alloc, b *allocation) int {
		return cmp.Or(cmp.Compare(alloc.job.rank, b.job.rank), cmp.Compare(s.preemptionLoss(alloc), s.preemptionLoss(b)), strings.Compare(alloc.key, b.key))
	})
}

// preemptVictims stops tasks to make room for a job.
func (s *Scheduler) preemptVictims(victims []*allocation, job *jobState) {
	for _, v := range victims {
		v.job.preemptions[v.task]++
		s.stopTask(v, 0, "room for "+job.id)
	}
}

// preemptionLoss is the work, in ms, that stopping a task at once throws away. A task that
// made room before counts for more: it is the youngest again each time.
func (s *Scheduler) preemptionLoss(alloc *allocation) int64 {
	before := int64(alloc.job.preemptions[alloc.task]) * tuning.MovedLoss.Milliseconds()
	if alloc.runningSince.IsZero() {
		return before
	}
	run := s.since(alloc.runningSince)
	if cp := settings.Seconds(alloc.job.Job.Checkpoint); cp > 0 {
		run = run % cp
	}
	return before + run.Milliseconds()
}

// preempt makes room for an array of higher rank that found none.
func (s *Scheduler) preempt(job *jobState, all []*machineState) {
	if !s.startableNow(job) || s.failsEverywhere(job) || !s.withinQuota(job) || !s.mayPreemptAny(job) {
		return
	}
	opts := s.candidates(job, all)
	var queues []*runQueue
	for _, machine := range all {
		for _, queue := range machine.queues {
			if queue.job == job {
				queues = append(queues, queue)
			}
		}
	}
	for len(job.pending)+job.queued > 0 && s.withinQuota(job) {
		x, ok := s.bestCandidate(job, opts)
		if !ok {
			break
		}
		task := -1
		if len(job.inputs) > 0 {
			if task = s.takeStaged(job, x.machine); task < 0 {
				break
			}
		} else if len(job.pending) > 0 {
			task = int(job.pending[0])
			job.pending = job.pending[1:]
		} else {
			for len(queues) > 0 && len(queues[0].tasks) == 0 {
				queues = queues[1:]
			}
			if len(queues) == 0 {
				break
			}
			task = queues[0].pop()
		}
		s.preemptVictims(x.victims, job)
		s.startTask(job, task, x.machine, append(x.leaving, x.victims...), "preempting")
		s.pushCandidate(job, x.machine, opts)
	}
	for _, machine := range all {
		machine.dropEmptyQueues()
	}
}

// mayPreemptAny tells whether anything may be stopped for a job at all. Most jobs
// that wait are of the lowest rank, and need not search the fleet.
func (s *Scheduler) mayPreemptAny(job *jobState) bool {
	for _, o := range s.jobOrder {
		for _, alloc := range o.allocations {
			if s.mayPreempt(alloc, job) {
				return true
			}
			if !alloc.startedByAgeing {
				break // what a job's tasks may be stopped for is the same for all others
			}
		}
	}
	return false
}
