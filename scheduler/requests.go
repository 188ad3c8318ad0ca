package scheduler

import (
	"context"
	"net/http"
	"time"

	"switchferry/api"
	"switchferry/peer"
	"switchferry/store"
	"switchferry/tuning"
)

// status is what a user is told of a job, with the lock held.
func (s *Scheduler) status(job *jobState) api.JobStatus {
	if job.terminalStored {
		return job.finalRecord(s.currentFormat).JobStatus(job.id)
	}
	st := api.JobStatus{ID: job.id, State: api.Pending, Done: job.completedCount}
	for _, alloc := range job.allocations {
		if alloc.state == api.TaskRunning {
			st.Running++
		}
	}
	if st.Running > 0 {
		st.State = api.Running
	}
	return st
}

// JobStatus answers for a job in memory; false: it is not here, or what is here may be
// old. That is looked at last: this process can stand still between any two steps,
// while another one leads and cancels the job.
func (s *Scheduler) JobStatus(id string) (api.JobStatus, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	job := s.jobs[id]
	if job == nil || !job.accepted || s.dependencies.hasUnknown(job) {
		return api.JobStatus{}, false
	}
	st := s.status(job)
	return st, job.terminalStored || s.hooks.Leading()
}

// HasJob tells whether an accepted job is in memory, whoever leads.
func (s *Scheduler) HasJob(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	job := s.jobs[id]
	return job != nil && job.accepted
}

// Submit stores a new job and waits until it is stored. False: look again.
func (s *Scheduler) Submit(ctx context.Context, submission *api.Submission, now time.Time) (peer.Response, bool) {
	s.mu.Lock()
	job := s.jobs[submission.ID]
	fresh := job == nil
	if delay := s.hooks.CommitDelay(); fresh && delay > tuning.AcceptWait {
		// Its user would have been told to come back by the time it is stored:
		// better now, and when the backlog is written.
		s.mu.Unlock()
		return peer.RetryLaterAfter("more jobs come in than can be stored", delay), true
	}
	if s.damagedJobs[submission.ID] {
		// What its user was told before is not known: to write it anew might go back on that.
		s.mu.Unlock()
		return peer.RetryLater("the job's record is damaged"), true
	}
	if fresh && s.liveConfiguration && !admits(s.configuration, submission) {
		// The configuration has changed since this was looked at.
		s.mu.Unlock()
		return peer.RetryLater("the configuration has just changed"), true
	}
	if fresh {
		job = s.addJob(store.JobRecord{Job: *submission, At: now.UnixMilli()}, false)
		s.hooks.MarkDirty(store.JobKey(submission.ID), store.Urgent, s.withLock(func() { s.markAccepted(submission.ID) }))
	}
	if job.accepted {
		s.mu.Unlock()
		st, ok := s.JobStatus(submission.ID)
		return peer.JSONResponse(http.StatusOK, st), ok
	}
	changed := job.changed
	s.mu.Unlock()
	if !s.waitForChange(ctx, changed, tuning.AcceptWait) {
		return peer.RetryLaterAfter("the record is not stored yet", s.hooks.CommitDelay()), true
	}
	st, ok := s.JobStatus(submission.ID)
	if !ok {
		return peer.Response{}, false
	}
	if fresh && st.State == api.Pending {
		return peer.JSONResponse(http.StatusCreated, st), true
	}
	return peer.JSONResponse(http.StatusOK, st), true
}

// Cancel stores that a job is cancelled and waits until that is stored.
func (s *Scheduler) Cancel(ctx context.Context, id string) (peer.Response, bool) {
	s.mu.Lock()
	job := s.jobs[id]
	if job == nil {
		s.mu.Unlock()
		return peer.Response{}, false
	}
	if !job.accepted {
		s.mu.Unlock()
		return peer.RetryLater("the job is not accepted yet"), true
	}
	if job.FinalState == "" {
		s.finish(job, api.Cancelled)
		for _, alloc := range job.allocations {
			s.stopTask(alloc, tuning.CancelKill, "cancelled")
		}
	}
	stored, changed := job.terminalStored, job.changed
	s.mu.Unlock()
	if !stored && !s.waitForChange(ctx, changed, tuning.AcceptWait) {
		return peer.RetryLater("the record is not stored yet"), true
	}
	s.mu.Lock()
	if changed = job.changed; job.FinalState == api.Cancelled && job.hasUnsettledStarts() {
		// Whoever is told now may see one of them begin: it is stopped then, but nothing should start after that
		// JSONResponse. Most are answered within milliseconds.
		s.mu.Unlock()
		s.waitForChange(ctx, changed, tuning.CancelStarts)
		s.mu.Lock()
	}
	s.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return peer.JSONResponse(http.StatusOK, api.JobStatus{ID: id, State: job.FinalState, Done: job.completedCount}), true
}

// hasUnsettledStarts tells whether a start that this leader sent may still be executed, of a task that is not seen yet.
func (j *jobState) hasUnsettledStarts() bool {
	for _, alloc := range j.allocations {
		if !alloc.reported && (alloc.unansweredRuns > 0 || alloc.answeredSeq > 0) {
			return true
		}
	}
	return false
}

// notifySettledStarts wakes whoever waits for the starts of a cancelled job, once none is under way.
func (j *jobState) notifySettledStarts() {
	if j.FinalState == api.Cancelled && j.terminalStored && !j.hasUnsettledStarts() {
		j.notify()
	}
}

// waitForChange waits until a job has changed, for so long at most.
func (s *Scheduler) waitForChange(ctx context.Context, changed chan struct{}, most time.Duration) bool {
	select {
	case <-changed:
		return true
	case <-ctx.Done():
	case <-s.clock.After(most):
	}
	return false
}
