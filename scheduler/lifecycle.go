package scheduler

import (
	"log/slog"
	"time"

	"switchferry/api"
	"switchferry/reachability"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
)

// markCompleted records that a task completed and calls onStored once the completion is stored, which may be before
// markCompleted returns. s.mu must be held, and is held when onStored is called.
func (s *Scheduler) markCompleted(job *jobState, task int, onStored func()) {
	if job.FinalState == "" && !job.completed.Has(task) {
		s.recordCompletion(job, task)
	}
	switch {
	case job.terminalStored:
		onStored()
	case job.FinalState != "":
		job.onTerminal = append(job.onTerminal, onStored)
	default:
		// The worker repeats its report of the exit until the exit is stored, so none is lost if this leader fails. Exits
		// are batched because writing each by itself took a third of the state service's write limit.
		s.records.MarkDirtyWithin(s.shardKey(job, task), job.urgency(), tuning.CompletionBatchDelay, s.withLock(onStored))
	}
}

// recordCompletion counts a task that completed for the first time, stops any other attempt of it, and finishes the
// job if this was its last task. s.mu must be held.
func (s *Scheduler) recordCompletion(job *jobState, task int) {
	job.completed.Set(task)
	job.completedCount++
	if alloc := job.allocations[task]; alloc != nil {
		s.stopTask(alloc, 0, "done elsewhere")
	}
	if job.allTasksCompleted() {
		s.finish(job, api.Done)
	}
}

// allTasksCompleted reports whether the job is done because all its tasks completed. It is never true for a service,
// which runs until it is cancelled.
func (j *jobState) allTasksCompleted() bool {
	return j.completedCount == j.taskCount && j.Job.Shape != api.Service
}

// finish decides a job's terminal state, if it has none, and marks it for writing. It must not be reported to users
// before it is stored. s.mu must be held.
func (s *Scheduler) finish(job *jobState, state string) {
	if job.FinalState != "" {
		return
	}
	job.setTerminal(s, state)
	slog.Info("job over", "job", job.id, "class", job.Job.Class, "state", state, "after", s.since(time.UnixMilli(job.AcceptedAt)).Round(time.Millisecond))
	urgency := store.Urgent
	if state == api.Done && job.rank == api.RankLow {
		urgency = job.urgency()
	}
	s.records.MarkDirty(store.JobKey(job.id), urgency, s.withLock(func() { s.onTerminalStored(job) }))
}

// setTerminal sets a job's terminal state in memory. The state must not be reported to users before it is stored.
// Scheduler.mu must be held.
func (j *jobState) setTerminal(sched *Scheduler, state string) {
	j.FinalState, j.terminalAt = state, sched.now()
	if state == api.Cancelled {
		j.FinalAt = j.terminalAt.UnixMilli()
	}
	sched.removeFromQueues(j)
	sched.clearMachineFailures(j)
}

// onTerminalStored handles a job's terminal state that is stored, or that follows from the stored terminal state of a
// dependency: it wakes waiting requests, calls the callbacks that wait, updates dependants and archives the job.
// s.mu must be held.
func (s *Scheduler) onTerminalStored(job *jobState) {
	job.terminalStored = true
	s.requireFences(job)
	s.terminalStates.Remember(job.id, job.terminalRecord(s.currentFormat))
	job.notify()
	for _, stored := range job.onTerminal {
		stored()
	}
	job.onTerminal = nil
	s.dependencies.onTerminal(job.id, job.FinalState)
	s.archive(job)
}

// terminalRecord returns the final record of a job in a terminal state. Unless currentFormat is set, it omits fields
// that older versions do not read.
func (j *jobState) terminalRecord(currentFormat bool) store.FinalRecord {
	return store.FinalRecord{State: j.FinalState, Tasks: j.completedCount, Service: currentFormat && j.Job.Shape == api.Service}
}

// archive replaces the records of a job in a terminal state by its final record, which has its own key. It does nothing
// while the job still has tasks on machines. The final record is written first, so that the job can be looked up under
// one of the two keys at any time; then the job record and its shard records are deleted. s.mu must be held.
func (s *Scheduler) archive(job *jobState) {
	if !job.terminalStored || job.archived || len(job.allocations) > 0 {
		return
	}
	job.archived = true
	s.records.MarkDirty(store.FinalKey(job.id), store.Lazy, s.withLock(func() {
		s.removeJob(job)
		s.archived.add(job.id, s.now())
		s.records.MarkDirty(store.JobKey(job.id), store.Lazy, func() {
			for shard := range job.shards {
				s.records.MarkDirty(shard.Key(), store.Lazy, nil)
			}
		})
	}))
}

// overdueCancellations returns the allocations of cancelled jobs whose machines must be released to the cloud so that no
// task of a cancelled job runs longer than cancel_s after the cancellation: the machines were sent the command to stop
// the task and have not confirmed that it has ended. A machine that responds to commands is not released for an allocation that
// this leader made or restored within that time. tuning.CancelReleaseMargin covers the cloud's response time. s.mu must
// be held.
func (s *Scheduler) overdueCancellations(now time.Time) []*allocation {
	limit := settings.Seconds(s.settings.Facts.Workers.CancelDeadlineS) - tuning.CancelReleaseMargin
	var overdue []*allocation
	for _, job := range s.jobOrder {
		if job.FinalState != api.Cancelled || len(job.allocations) == 0 || now.Sub(job.terminalAt) < limit {
			continue
		}
		for _, alloc := range job.allocations {
			if now.Sub(alloc.allocatedAt) >= limit || !s.respondsToCommands(alloc.machine, now) {
				overdue = append(overdue, alloc)
			}
		}
	}
	return overdue
}

// logKeptCancellations logs, once for each attempt, that a task of a cancelled job is not proved gone in time and that
// its machine cannot be released, because this controller is not certain to lead. s.mu must be held.
func (s *Scheduler) logKeptCancellations(now time.Time) {
	for _, alloc := range s.overdueCancellations(now) {
		if alloc.overdueLogged {
			continue
		}
		alloc.overdueLogged = true
		slog.Warn("cancelled task not proved gone, its machine cannot be released without the leader's key", "task", alloc.key, "attempt", alloc.attempt,
			"machine", alloc.machine.Name, "cancelled_ago", now.Sub(alloc.job.terminalAt).Round(time.Millisecond), "reported", alloc.reported,
			"unanswered_starts", alloc.starts.direct, "start_token", alloc.startToken, "machine_token", alloc.machine.Term)
	}
}

// respondsToCommands reports whether a machine sends heartbeats and receives responses, so that a command stops a task
// on it sooner than releasing the machine would. s.mu must be held.
func (s *Scheduler) respondsToCommands(machine *machineState, now time.Time) bool {
	return !s.heartbeatOverdue(machine, now) && machine.link.State(now, s.lease()) == reachability.Reachable
}
