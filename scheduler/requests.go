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

// status returns the status of a job as reported to users. s.mu must be held.
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

// Presence is what the scheduler of a term holds in memory about a job, whether or not this controller still leads. The
// zero value describes a job that is not in memory.
type Presence struct {
	// InMemory is set while a job is being accepted and afterwards; Accepted is set once the job's record is stored.
	InMemory, Accepted bool
	// Service is set for a service. A service is never done, it can only be cancelled.
	Service bool
}

// Presence returns what this scheduler holds in memory about a job.
func (s *Scheduler) Presence(id string) Presence {
	s.mu.Lock()
	defer s.mu.Unlock()
	job := s.jobs[id]
	if job == nil {
		return Presence{}
	}
	return Presence{InMemory: true, Accepted: job.accepted, Service: job.Job.Shape == api.Service}
}

// Submit accepts a job, unless it is accepted already, and waits until its record is stored. The submission must have
// been validated; now is the wall-clock time of its arrival. Submit returns false if the job's status cannot be
// determined from memory, so that the caller must look the job up again.
func (s *Scheduler) Submit(ctx context.Context, submission *api.Submission, now time.Time) (peer.Response, bool) {
	s.mu.Lock()
	job := s.jobs[submission.ID]
	isNew := job == nil
	if isNew && s.remembersTerminalState(submission.ID) {
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

	if !accepted && !s.waitForChange(ctx, changed, tuning.SubmitTimeout) {
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

// refuseSubmission returns the response to a submission that cannot be accepted now, or false if it can be. The flag
// isNew is set if the job is not in memory. s.mu must be held.
func (s *Scheduler) refuseSubmission(submission *api.Submission, isNew bool) (peer.Response, bool) {
	delay := s.records.Delay()
	switch {
	case isNew && delay > tuning.SubmitTimeout:
		// The record would not be stored before the request times out. Refusing at once tells the user when to retry: after
		// the backlog of writes.
		return peer.RetryLaterAfter("more jobs come in than can be stored", delay), true
	case s.damagedJobs[submission.ID]:
		// The status that its user was given before is not known. Accepting the job anew could contradict it.
		return peer.RetryLater("the job's record is damaged"), true
	case isNew && s.liveConfiguration && !admits(s.configuration, submission):
		// The configuration has changed since the submission was validated.
		return peer.RetryLater("the configuration has just changed"), true
	}
	return peer.Response{}, false
}

// Cancel cancels a job that has no terminal state yet, waits until the terminal state is stored and returns it as the
// response. It returns false if the job is not in memory.
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
			s.stopTask(alloc, tuning.CancelGraceS, "cancelled")
		}
		s.requireFences(job)
	}
	stored, changed := job.terminalStored, job.changed
	s.mu.Unlock()

	if !stored && !s.waitForChange(ctx, changed, tuning.SubmitTimeout) {
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

// waitForSettledStarts waits, for tuning.CancelStartTimeout at most, until no run command for a task of a cancelled job
// is in flight. A task that starts late would be stopped at once, but none should start after the cancellation was
// acknowledged to the user. Most starts settle within milliseconds. s.mu must not be held.
func (s *Scheduler) waitForSettledStarts(ctx context.Context, job *jobState) {
	s.mu.Lock()
	unsettled, changed := job.FinalState == api.Cancelled && job.hasUnsettledStarts(), job.changed
	s.mu.Unlock()
	if unsettled {
		s.waitForChange(ctx, changed, tuning.CancelStartTimeout)
	}
}

// hasUnsettledStarts reports whether a run command that this leader sent may still be executed, for a task that no
// heartbeat has reported yet. Commands relayed through a peer do not count. Scheduler.mu must be held.
func (j *jobState) hasUnsettledStarts() bool {
	for _, alloc := range j.allocations {
		if !alloc.reported && !alloc.starts.emptyExceptRelayed() {
			return true
		}
	}
	return false
}

// notifySettledStarts wakes the requests that wait for the starts of a cancelled job to settle, once none is in flight.
// Scheduler.mu must be held.
func (j *jobState) notifySettledStarts() {
	if j.FinalState == api.Cancelled && j.terminalStored && !j.hasUnsettledStarts() {
		j.notify()
	}
}

// waitForChange waits until a job's change channel is closed. It returns false if ctx ends or the timeout expires
// first. s.mu must not be held.
func (s *Scheduler) waitForChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) bool {
	select {
	case <-changed:
		return true
	case <-ctx.Done():
	case <-s.clock.After(timeout):
	}
	return false
}
