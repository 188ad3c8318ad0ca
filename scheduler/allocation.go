package scheduler

import (
	"log/slog"
	"time"

	"switchferry/fleet"
	"switchferry/tuning"
)

// allocation puts one task on one machine. It stays until that machine is proved
// to be done with it, and until then counts for limits, zones and room.
type allocation struct {
	job     *jobState
	task    int
	key     string
	machine *machineState
	attempt uint64
	// committed: the record is stored, so the command may be sent.
	committed bool
	// runSent: a run was sent, by this leader or perhaps by an earlier one.
	runSent     bool
	incarnation uint64
	// unansweredRuns counts direct runs whose outcome is unknown: they may be executed
	// at any later time of this term.
	unansweredRuns int
	// encodeResponse is the report whose answer carried a run last; the worker is
	// done with that answer when it sends the next report.
	answeredSeq uint64
	// runRelayed: a run went into a relay's mail. A relayed report cannot tell
	// whether it is still to come; one that reaches us directly can, since
	// the relay then starts afresh with that worker.
	runRelayed   bool
	reported     bool
	state        string
	allocatedAt  time.Time
	runningSince time.Time
	stopping     bool
	stopGraceS   float64
	// startedByAgeing: it was started because its job had waited long.
	startedByAgeing bool
	// victims make room for this task and are killed in the same command.
	victims []*allocation
}

func (s *Scheduler) nextAttempt() uint64 {
	s.lastAttempt++
	return s.term<<tuning.AttemptBits | s.lastAttempt
}

// allocate makes an assignment count.
func (s *Scheduler) allocate(job *jobState, task int, machine *machineState, attempt uint64) *allocation {
	alloc := &allocation{job: job, task: task, key: taskKey(job.id, task), machine: machine, attempt: attempt, allocatedAt: s.now()}
	job.allocations[task] = alloc
	machine.allocations[alloc.key] = alloc
	machine.used = machine.used.Add(job.request)
	if job.site != nil {
		job.site.Add(machine.Name)
	}
	s.updateFreeResources(machine)
	machine.imagesInUse[job.Job.Image]++
	s.usage[job.Job.Team] = s.usage[job.Job.Team].Add(job.request)
	return alloc
}

// releaseAllocation ends an assignment that is proved to be over.
func (s *Scheduler) releaseAllocation(alloc *allocation) {
	if alloc.job.allocations[alloc.task] != alloc {
		return
	}
	s.removeAllocation(alloc)
	alloc.job.notifySettledStarts()
	s.archive(alloc.job)
	s.wakePlacer()
}

// removeAllocation makes an assignment count no more.
func (s *Scheduler) removeAllocation(alloc *allocation) {
	delete(alloc.job.allocations, alloc.task)
	delete(alloc.machine.allocations, alloc.key)
	defer s.updateFreeResources(alloc.machine)
	if alloc.job.site != nil {
		alloc.job.site.Remove(alloc.machine.Name)
	}
	alloc.machine.used = alloc.machine.used.Sub(alloc.job.request)
	if alloc.machine.imagesInUse[alloc.job.Job.Image]--; alloc.machine.imagesInUse[alloc.job.Job.Image] == 0 {
		delete(alloc.machine.imagesInUse, alloc.job.Job.Image)
	}
	s.usage[alloc.job.Job.Team] = s.usage[alloc.job.Job.Team].Sub(alloc.job.request)
	if alloc.stopping {
		s.stoppingUsage[alloc.job.Job.Team] = s.stoppingUsage[alloc.job.Job.Team].Sub(alloc.job.request)
	}
	if len(alloc.machine.allocations) == 0 {
		alloc.machine.idleSince = s.now()
		alloc.machine.used = fleet.Resources{}
	}
}

// loseTask ends an assignment whose task must run again elsewhere.
func (s *Scheduler) loseTask(alloc *allocation, why string) {
	slog.Info("task lost", "task", alloc.key, "machine", alloc.machine.Name, "attempt", alloc.attempt, "why", why)
	s.releaseAllocation(alloc)
	s.requeue(alloc.job, alloc.task)
}

func (s *Scheduler) requeue(job *jobState, task int) {
	if job.FinalState != "" || job.waitsForDependencies || job.completed.Has(task) {
		return
	}
	job.pending = append(job.pending, int32(task))
	s.wakePlacer()
}
