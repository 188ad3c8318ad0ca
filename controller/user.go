package controller

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"net/http"
	"strings"
	"time"

	"switchferry/api"
	"switchferry/peer"
	"switchferry/store"
	"switchferry/tuning"
)

// Verbs of requests between controllers.
const (
	VerbSubmit = "submit"
	VerbStatus = "status"
	VerbCancel = "cancel"
	// verbReport is a worker's report that a sibling passes on.
	verbReport = "report"
)

func jsonResponse(status int, body any) peer.Response {
	raw, err := json.Marshal(body)
	if err != nil {
		return retryLater("internal error")
	}
	return peer.Response{Status: status, Body: raw}
}

// retryLater refuses at once and tells when to come back.
func retryLater(why string) peer.Response {
	a := jsonResponse(http.StatusServiceUnavailable, api.Error{Error: why})
	a.RetryAfterS = tuning.RetryAfterS
	return a
}

// retryLaterBy is the same with the time that it will take.
func retryLaterBy(why string, after time.Duration) peer.Response {
	a := retryLater(why)
	a.RetryAfterS = min(tuning.RetryAfterMost, max(a.RetryAfterS, int(math.Ceil(after.Seconds()))))
	return a
}

func refusal(status int, err error) peer.Response {
	e := api.Error{Error: err.Error()}
	if fe, ok := err.(*api.FieldError); ok {
		e.Field = fe.Field
	}
	return jsonResponse(status, e)
}

func finalStatus(id string, f store.FinalRecord) api.JobStatus {
	return api.JobStatus{ID: id, State: f.State, Done: f.Tasks}
}

// status is what a user is told of a job, with the lock held.
func (s *Scheduler) status(job *jobState) api.JobStatus {
	if job.terminalStored {
		return finalStatus(job.id, job.finalRecord(s.currentFormat))
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
		return retryLaterBy("more jobs come in than can be stored", delay), true
	}
	if s.damagedJobs[submission.ID] {
		// What its user was told before is not known: to write it anew might go back on that.
		s.mu.Unlock()
		return retryLater("the job's record is damaged"), true
	}
	if fresh && s.liveConfiguration && !admits(s.configuration, submission) {
		// The configuration has changed since this was looked at.
		s.mu.Unlock()
		return retryLater("the configuration has just changed"), true
	}
	if fresh {
		job = s.addJob(store.JobRecord{Job: *submission, At: now.UnixMilli()}, false)
		s.hooks.MarkDirty(store.JobKey(submission.ID), store.Urgent, s.withLock(func() { s.markAccepted(submission.ID) }))
	}
	if job.accepted {
		s.mu.Unlock()
		st, ok := s.JobStatus(submission.ID)
		return jsonResponse(http.StatusOK, st), ok
	}
	changed := job.changed
	s.mu.Unlock()
	if !s.waitForChange(ctx, changed, tuning.AcceptWait) {
		return retryLaterBy("the record is not stored yet", s.hooks.CommitDelay()), true
	}
	st, ok := s.JobStatus(submission.ID)
	if !ok {
		return peer.Response{}, false
	}
	if fresh && st.State == api.Pending {
		return jsonResponse(http.StatusCreated, st), true
	}
	return jsonResponse(http.StatusOK, st), true
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

// markAccepted: the job's record is stored.
func (s *Scheduler) markAccepted(id string) {
	job := s.jobs[id]
	if job == nil || job.accepted {
		return
	}
	job.accepted = true
	if job.FinalState == "" && !s.dependencies.add(job) {
		job.makeEligible()
	}
	slog.Info("job accepted", "job", id, "class", job.Job.Class, "team", job.Job.Team, "tasks", job.taskCount, "cpus", job.request.CPUs, "rank", job.Job.Rank, "expect_s", job.Job.EstimateS, "due_s", job.Job.DeadlineS, "awaits", strings.Join(job.Job.Awaits, ","))
	job.notify()
	s.wakePlacer()
}

// adoptRecord takes in a job's record as the state service holds it.
func (s *Scheduler) adoptRecord(key string, found *store.Item) {
	switch {
	case strings.HasPrefix(key, store.DatasetPrefix):
		s.datasetFound(found)
	case strings.HasPrefix(key, store.FinalPrefix):
		id := strings.TrimPrefix(key, store.FinalPrefix)
		var f store.FinalRecord
		job := s.jobs[id]
		if json.Unmarshal(found.Value, &f) != nil || job == nil || job.accepted {
			return
		}
		s.removeJob(job)
		s.hooks.JobTerminal(id, f)
		job.notify()
		s.dependencies.onTerminal(id, f.State)
	case strings.HasPrefix(key, store.JobPrefix):
		id := strings.TrimPrefix(key, store.JobPrefix)
		var rec store.JobRecord
		if json.Unmarshal(found.Value, &rec) != nil || rec.Job.ID != id {
			slog.Error("a job's record is damaged", "key", key)
			return
		}
		job := s.jobs[id]
		if job != nil && job.accepted {
			return
		}
		var changed chan struct{}
		if job != nil {
			changed = job.changed
			s.removeJob(job)
		}
		job = s.addJob(rec, false)
		if changed != nil {
			job.changed = changed
		}
		if rec.FinalState != "" {
			job.terminalStored = true
			s.hooks.JobTerminal(id, job.finalRecord(s.currentFormat))
		}
		s.markAccepted(id)
		if job.terminalStored {
			s.dependencies.onTerminal(id, job.FinalState)
		}
		s.archive(job)
	}
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
		return retryLater("the job is not accepted yet"), true
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
		return retryLater("the record is not stored yet"), true
	}
	s.mu.Lock()
	if changed = job.changed; job.FinalState == api.Cancelled && job.hasUnsettledStarts() {
		// Whoever is told now may see one of them begin: it is stopped then, but nothing should start after that
		// jsonResponse. Most are answered within milliseconds.
		s.mu.Unlock()
		s.waitForChange(ctx, changed, tuning.CancelStarts)
		s.mu.Lock()
	}
	s.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return jsonResponse(http.StatusOK, api.JobStatus{ID: id, State: job.FinalState, Done: job.completedCount}), true
}
