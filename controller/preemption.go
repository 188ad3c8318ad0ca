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
		run %= cp
	}
	return before + run.Milliseconds()
}

// preempt frees resources for an array of higher rank that found none, and starts as many of its tasks as it can.
// s.mu must be held.
func (s *Scheduler) preempt(job *jobState, machines []*machineState) {
	if !s.startableNow(job) || s.failsEverywhere(job) || !s.withinQuota(job) || !s.mayPreemptAny(job) {
		return
	}
	candidates := s.candidates(job, machines)
	queues := queuesOf(job, machines)
	for len(job.pending)+job.queued > 0 && s.withinQuota(job) {
		best, ok := s.bestCandidate(job, candidates)
		if !ok {
			break
		}
		task, ok := s.takeTask(job, best.machine, &queues)
		if !ok {
			break
		}
		s.preemptVictims(best.victims, job)
		s.startTask(job, task, best.machine, append(best.leaving, best.victims...), "preempting")
		s.pushCandidate(job, best.machine, candidates)
	}
	for _, machine := range machines {
		machine.dropEmptyQueues()
	}
}

// takeTask takes a task of an array that is to start on a machine: of a job with inputs one that is staged there,
// else a pending one, else the first in the queues, of which it drops empty ones. False: there is none.
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

// queuesOf returns the queues of a job, in the order of the machines.
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
