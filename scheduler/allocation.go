package scheduler

import (
	"log/slog"
	"time"

	"switchferry/fleet"
	"switchferry/invariant"
	"switchferry/tuning"
)

// allocation is one attempt of a task on one machine. It exists until there is proof that the attempt is not on the
// machine and cannot start there any more. Until then it counts towards the team's limit, the zone and domain
// constraints and the machine's used resources. Scheduler.mu guards all of it.
type allocation struct {
	job     *jobState
	task    int
	key     string
	machine *machineState
	attempt uint64

	attemptState

	// committed is set once the record that holds the allocation is stored, so that the run command may be sent.
	committed bool
	// state is the task state in the newest heartbeat that listed the attempt.
	state        string
	allocatedAt  time.Time
	runningSince time.Time

	// stopGraceS is the grace period of a task that is being stopped, in seconds; stopReason is why it is stopped.
	stopGraceS float64
	stopReason string
	// overdueLogged is set once it was logged that the task of a cancelled job was not proved gone in time.
	overdueLogged bool
	// startedByAgeing is set if the task was started because its job was starved.
	startedByAgeing bool
	// victims are the allocations preempted for this task. Their kill commands go out with the command that starts it.
	victims []*allocation
}

// attemptID returns the identity of an allocation's attempt.
func (a *allocation) attemptID() fleet.Attempt { return fleet.Attempt{Task: a.key, Number: a.attempt} }

// nextAttempt returns an attempt number that was never used before: the term in the high bits and a counter in the low
// tuning.AttemptBits. s.mu must be held.
func (s *Scheduler) nextAttempt() uint64 {
	s.lastAttempt++
	return s.term<<tuning.AttemptBits | s.lastAttempt
}

// mayAllocate reports whether a pending or queued task may get an allocation. It reports an invariant violation if the
// task already has an allocation or has completed. s.mu must be held.
func (s *Scheduler) mayAllocate(job *jobState, task int) bool {
	existing := job.allocations[task]
	switch {
	case existing != nil:
		invariant.Violated("a task has one allocation", "task", existing.key, "attempt", existing.attempt, "machine", existing.machine.Name)
	case job.completed.Has(task):
		invariant.Violated("a completed task does not wait", "task", taskKey(job.id, task))
	default:
		return true
	}
	return false
}

// allocate adds an allocation for a task that has none, and adds its request to the used resources. s.mu must be held.
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

// releaseAllocation removes an allocation whose attempt is proved not to be on its machine and unable to start there.
// It archives the job if that was the last allocation of a job whose terminal state is stored. The proof is logged and
// counted. s.mu must be held.
func (s *Scheduler) releaseAllocation(alloc *allocation, proof releaseProof) {
	if alloc.job.allocations[alloc.task] != alloc {
		return
	}
	s.releaseStats.proofs[proof]++
	slog.Debug("allocation released", "task", alloc.key, "attempt", alloc.attempt, "machine", alloc.machine.Name,
		"incarnation", alloc.machine.Incarnation, "seq", alloc.machine.Seq, "term", s.term, "proof", proof)
	s.removeAllocation(alloc)
	alloc.job.notifySettledStarts()
	s.archive(alloc.job)
	s.wakePlacer()
}

// removeAllocation reverses allocate. s.mu must be held.
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
		// Resets the sum, so that rounding errors do not accumulate.
		machine.used = fleet.Resources{}
	}
	s.updateFreeResources(machine)
}

// releaseAndRequeue releases an allocation and requeues its task. The proof is logged. s.mu must be held.
func (s *Scheduler) releaseAndRequeue(alloc *allocation, proof releaseProof) {
	slog.Info("task lost", "task", alloc.key, "machine", alloc.machine.Name, "attempt", alloc.attempt, "why", proof)
	s.releaseAllocation(alloc, proof)
	s.requeue(alloc.job, alloc.task)
}

// requeue makes a task pending again, unless it has completed or its job has a terminal state or waits for
// dependencies. s.mu must be held.
func (s *Scheduler) requeue(job *jobState, task int) {
	if existing := job.allocations[task]; existing != nil {
		invariant.Violated("a task is pending only without an allocation", "task", existing.key, "attempt", existing.attempt, "machine", existing.machine.Name)
		return
	}
	if job.FinalState != "" || job.waitsForDependencies || job.completed.Has(task) {
		return
	}
	job.pending = append(job.pending, int32(task))
	s.wakePlacer()
}
