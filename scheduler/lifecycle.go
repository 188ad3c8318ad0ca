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

// markCompleted notes a completed task; stored runs once that is on record.
func (s *Scheduler) markCompleted(job *jobState, task int, stored func()) {
	if job.FinalState == "" && !job.completed.Has(task) {
		job.completed.Set(task)
		job.completedCount++
		if alloc := job.allocations[task]; alloc != nil {
			s.stopTask(alloc, 0, "done elsewhere")
		}
		if job.completedCount == job.taskCount && job.Job.Shape != api.Service {
			s.finish(job, api.Done)
		}
	}
	switch {
	case job.terminalStored:
		stored()
	case job.FinalState != "":
		job.onTerminal = append(job.onTerminal, stored)
	default:
		// Until it is on record the worker goes on reporting the end, so nothing is lost with
		// this leader; each end written by itself took a third of the limit of writes.
		s.hooks.MarkDirtyWithin(s.shardKey(job, task), job.urgency(), tuning.EndsTogether, s.withLock(stored))
	}
}

// finish stores a job's final state; from then on users may be told.
func (s *Scheduler) finish(job *jobState, state string) {
	if job.FinalState != "" {
		return
	}
	job.setTerminal(s, state)
	slog.Info("job over", "job", job.id, "class", job.Job.Class, "state", state, "after", s.since(time.UnixMilli(job.At)).Round(time.Millisecond))
	urgency := store.Urgent
	if state == api.Done && job.rank == api.RankLow {
		urgency = job.urgency()
	}
	s.hooks.MarkDirty(store.JobKey(job.id), urgency, s.withLock(func() {
		s.terminalStored(job)
	}))
}

// setTerminal ends a job; nobody may be told before that is on record.
func (j *jobState) setTerminal(sched *Scheduler, state string) {
	j.FinalState, j.terminalAt = state, sched.now()
	if state == api.Cancelled {
		j.FinalAt = j.terminalAt.UnixMilli()
	}
	sched.removeFromQueues(j)
	sched.clearMachineFailures(j)
}

// terminalStored: the final state is on record, or follows from what is.
func (s *Scheduler) terminalStored(job *jobState) {
	job.terminalStored = true
	s.hooks.JobTerminal(job.id, job.finalRecord(s.currentFormat))
	job.notify()
	for _, f := range job.onTerminal {
		f()
	}
	job.onTerminal = nil
	s.dependencies.onTerminal(job.id, job.FinalState)
	s.archive(job)
}

// finalRecord is what is kept of a job that is over; own: as this version has it.
func (j *jobState) finalRecord(own bool) store.FinalRecord {
	return store.FinalRecord{State: j.FinalState, Tasks: j.completedCount, Service: own && j.Job.Shape == api.Service}
}

// archive files a job that is over and has nothing left on machines: its final
// state under a key of its own first, so that at every moment one of the two
// keys answers for it; then its own key and its shards go.
func (s *Scheduler) archive(job *jobState) {
	if !job.terminalStored || job.archived || len(job.allocations) > 0 {
		return
	}
	job.archived = true
	s.hooks.MarkDirty(store.FinalKey(job.id), store.Lazy, s.withLock(func() {
		s.removeJob(job)
		s.hooks.MarkDirty(store.JobKey(job.id), store.Lazy, func() {
			for shard := range job.shards {
				s.hooks.MarkDirty(shard.Key(), store.Lazy, nil)
			}
		})
	}))
}

// overdueCancellations are the machines that must be returned lest a cancelled job's task is on them
// past cancel_s: they were told to end it, and did not say that it is gone. The cloud's
// JSONResponse takes a while.
func (s *Scheduler) overdueCancellations(now time.Time) []*machineState {
	limit := settings.Seconds(s.settings.Facts.Workers.CancelS) - tuning.CancelReturn
	var out []*machineState
	for _, job := range s.jobOrder {
		if job.FinalState != api.Cancelled || len(job.allocations) == 0 || now.Sub(job.terminalAt) < limit {
			continue
		}
		for _, alloc := range job.allocations {
			// One that is heard, and was found late, ends it sooner by command.
			if now.Sub(alloc.machine.LastHeartbeat) > s.heartbeatTimeout(alloc.machine) || now.Sub(alloc.allocatedAt) >= limit || alloc.machine.link.State(now, s.lease()) != reachability.Reachable {
				out = append(out, alloc.machine)
			}
		}
	}
	return out
}
