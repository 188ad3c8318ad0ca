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

// status returns what users are told of a job. s.mu must be held.
func (s *Scheduler) status(job *jobState) api.JobStatus {
	if job.terminalStored {
		return job.terminalRecord(s.currentFormat).JobStatus(job.id)
	}
	status := api.JobStatus{ID: job.id, State: api.Pending, Done: job.completedCount}
	for _, alloc := range job.allocations {
		if alloc.state == api.TaskRunning {
			status.Running++
		}
	}
	if status.Running > 0 {
		status.State = api.Running
	}
	return status
}

// Presence is what a term knows of a job, whether or not this controller still leads. Its zero value is that of a job that
// is not in memory.
type Presence struct {
	// InMemory is set for a job that is being accepted, or Accepted.
	InMemory, Accepted bool
	// Service is set for a service, which is never done.
	Service bool
}

// Presence returns what this term knows of a job.
func (s *Scheduler) Presence(id string) Presence {
	s.mu.Lock()
	defer s.mu.Unlock()
	job := s.jobs[id]
	if job == nil {
		return Presence{}
	}
	return Presence{InMemory: true, Accepted: job.accepted, Service: job.Job.Shape == api.Service}
}

// Submit has a job stored, unless it is already, and waits until it is. The submission has been checked; now is the
// time of day of its arrival. Submit returns false if it cannot tell the job's state, so that the caller must look
// again.
func (s *Scheduler) Submit(ctx context.Context, submission *api.Submission, now time.Time) (peer.Response, bool) {
	s.mu.Lock()
	job := s.jobs[submission.ID]
	isNew := job == nil
	if isNew && s.knowsEnd(submission.ID) {
		s.mu.Unlock()
		return peer.Response{}, false
	}
	if refusal, refused := s.refuseSubmission(submission, isNew); refused {
		s.mu.Unlock()
		return refusal, true
	}
	if isNew {
		job = s.addJob(store.JobRecord{Job: *submission, AcceptedAt: now.UnixMilli()}, false)
		s.records.MarkDirty(store.JobKey(submission.ID), store.Urgent, s.withLock(func() { s.markAccepted(job) }))
	}
	accepted, changed := job.accepted, job.changed
	s.mu.Unlock()

	if !accepted && !s.waitForChange(ctx, changed, tuning.AcceptWait) {
		return peer.RetryLaterAfter("the record is not stored yet", s.records.Delay()), true
	}
	status, ok := s.JobStatus(submission.ID)
	if !ok {
		return peer.Response{}, false
	}
	if isNew && status.State == api.Pending {
		return peer.JSONResponse(http.StatusCreated, status), true
	}
	return peer.JSONResponse(http.StatusOK, status), true
}

// refuseSubmission returns the response to a submission that cannot be taken now, or false if it can. IsNew says that
// the job is not in memory. s.mu must be held.
func (s *Scheduler) refuseSubmission(submission *api.Submission, isNew bool) (peer.Response, bool) {
	delay := s.records.Delay()
	switch {
	case isNew && delay > tuning.AcceptWait:
		// Its user would be asked to retry before it is stored: better at once, and for when the backlog is written.
		return peer.RetryLaterAfter("more jobs come in than can be stored", delay), true
	case s.damagedJobs[submission.ID]:
		// What its user was told before is not known. Written anew, the job might go back on that.
		return peer.RetryLater("the job's record is damaged"), true
	case isNew && s.liveConfiguration && !admits(s.configuration, submission):
		// The configuration has changed since the submission was checked.
		return peer.RetryLater("the configuration has just changed"), true
	}
	return peer.Response{}, false
}

// Cancel cancels a job that is not over yet and waits until its terminal state is stored, which is the response. It
// returns false if the job is not in memory.
func (s *Scheduler) Cancel(ctx context.Context, jobID string) (peer.Response, bool) {
	s.mu.Lock()
	job := s.jobs[jobID]
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
	s.waitForSettledStarts(ctx, job)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !job.terminalStored {
		return peer.RetryLater("the record is not stored yet"), true
	}
	return peer.JSONResponse(http.StatusOK, api.JobStatus{ID: jobID, State: job.FinalState, Done: job.completedCount}), true
}

// waitForSettledStarts waits, for a moment at most, until no start of a cancelled job is under way. Such a task would be
// stopped at once, but none should start after the user was told that the job is cancelled. Most starts settle within
// milliseconds. s.mu must not be held.
func (s *Scheduler) waitForSettledStarts(ctx context.Context, job *jobState) {
	s.mu.Lock()
	unsettled, changed := job.FinalState == api.Cancelled && job.hasUnsettledStarts(), job.changed
	s.mu.Unlock()
	if unsettled {
		s.waitForChange(ctx, changed, tuning.CancelStartWait)
	}
}

// hasUnsettledStarts reports whether a start that this leader sent may still be executed, of a task that no heartbeat
// has shown yet. Scheduler.mu must be held.
func (j *jobState) hasUnsettledStarts() bool {
	for _, alloc := range j.allocations {
		if !alloc.reported && !alloc.starts.noneButRelayed() {
			return true
		}
	}
	return false
}

// notifySettledStarts wakes the requests that wait for the starts of a cancelled job, if none is under way any more.
// Scheduler.mu must be held.
func (j *jobState) notifySettledStarts() {
	if j.FinalState == api.Cancelled && j.terminalStored && !j.hasUnsettledStarts() {
		j.notify()
	}
}

// waitForChange waits until a job's channel of changes is closed, and returns false if ctx ends or the timeout expires
// before. s.mu must not be held.
func (s *Scheduler) waitForChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) bool {
	select {
	case <-changed:
		return true
	case <-ctx.Done():
	case <-s.clock.After(timeout):
	}
	return false
}
