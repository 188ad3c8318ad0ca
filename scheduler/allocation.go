package scheduler

import (
	"log/slog"
	"time"

	"switchferry/fleet"
	"switchferry/tuning"
)

// allocation is one attempt of a task on one machine. It lasts until that machine is proved to be done with the attempt,
// and until then counts for the team's limit, for zones and domains and for the machine's resources. All of it is
// guarded by Scheduler.mu.
type allocation struct {
	job     *jobState
	task    int
	key     string
	machine *machineState
	attempt uint64

	// committed is set once the record that holds the allocation is stored, so that the run command may be sent.
	committed bool
	// runSent is set once a run command was sent, by this leader or perhaps by an earlier one.
	runSent bool
	// incarnation is the worker's incarnation that the run was sent to or that reported the attempt; 0: not known.
	incarnation uint64
	// unansweredRuns counts run commands sent directly whose outcome is unknown. Each may be executed at any later
	// time of this term.
	unansweredRuns int
	// answeredSeq is the sequence number of the heartbeat whose response carried a run last, or 0. The worker has
	// executed that response, or dropped it, when it sends its next heartbeat.
	answeredSeq uint64
	// runRelayed is set once a run was handed to a relay. A relayed heartbeat does not show whether the run is still
	// to come. A heartbeat that reaches this leader directly does, since the relay then starts afresh with that worker.
	runRelayed bool

	// reported is set once a heartbeat showed the attempt; state is the task state of the newest such heartbeat.
	reported     bool
	state        string
	allocatedAt  time.Time
	runningSince time.Time

	// stopping is set once the task is to be stopped, within stopGraceS seconds, for stopReason.
	stopping   bool
	stopGraceS float64
	stopReason string
	// startedByAgeing is set if the task was started because its job was starved.
	startedByAgeing bool
	// victims are stopped for this task. They are killed in the command that starts it.
	victims []*allocation
}

// nextAttempt returns an attempt number that was never used before: the term followed by a counter.
// s.mu must be held.
func (s *Scheduler) nextAttempt() uint64 {
	s.lastAttempt++
	return s.term<<tuning.AttemptBits | s.lastAttempt
}

// allocate adds an allocation and counts its resources. s.mu must be held.
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

// releaseAllocation ends an allocation whose machine is proved to be done with it. The proof is logged. s.mu must be held.
func (s *Scheduler) releaseAllocation(alloc *allocation, proof string) {
	if alloc.job.allocations[alloc.task] != alloc {
		return
	}
	slog.Debug("allocation released", "task", alloc.key, "attempt", alloc.attempt, "machine", alloc.machine.Name,
		"incarnation", alloc.machine.Incarnation, "seq", alloc.machine.Seq, "term", s.term, "proof", proof)
	s.removeAllocation(alloc)
	alloc.job.notifySettledStarts()
	s.archive(alloc.job)
	s.wakePlacer()
}

// removeAllocation undoes allocate. s.mu must be held.
func (s *Scheduler) removeAllocation(alloc *allocation) {
	job, machine := alloc.job, alloc.machine
	delete(job.allocations, alloc.task)
	delete(machine.allocations, alloc.key)
	if job.site != nil {
		job.site.Remove(machine.Name)
	}
	machine.used = machine.used.Sub(job.request)
	if machine.imagesInUse[job.Job.Image]--; machine.imagesInUse[job.Job.Image] == 0 {
		delete(machine.imagesInUse, job.Job.Image)
	}
	s.usage[job.Job.Team] = s.usage[job.Job.Team].Sub(job.request)
	if alloc.stopping {
		s.stoppingUsage[job.Job.Team] = s.stoppingUsage[job.Job.Team].Sub(job.request)
	}
	if len(machine.allocations) == 0 {
		machine.idleSince = s.now()
		// Rounding errors of the sums must not outlive the tasks.
		machine.used = fleet.Resources{}
	}
	s.updateFreeResources(machine)
}

// loseTask releases an allocation whose task has to run again. Why is logged. s.mu must be held.
func (s *Scheduler) loseTask(alloc *allocation, why string) {
	slog.Info("task lost", "task", alloc.key, "machine", alloc.machine.Name, "attempt", alloc.attempt, "why", why)
	s.releaseAllocation(alloc, why)
	s.requeue(alloc.job, alloc.task)
}

// requeue makes a task pending again, unless it needs no further run. s.mu must be held.
func (s *Scheduler) requeue(job *jobState, task int) {
	if job.FinalState != "" || job.waitsForDependencies || job.completed.Has(task) {
		return
	}
	job.pending = append(job.pending, int32(task))
	s.wakePlacer()
}
