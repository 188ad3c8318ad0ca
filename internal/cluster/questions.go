package cluster

import (
	"net/http"
	"slices"
	"time"

	"switchferry/api"
)

// RequestKind is a kind of user request.
type RequestKind string

const (
	// StatusRequest requests a job's status.
	StatusRequest RequestKind = "status"
	// SubmitRequest submits a job.
	SubmitRequest RequestKind = "submission"
	// CancelRequest requests a job's cancellation.
	CancelRequest RequestKind = "cancellation"
)

// JobRequest is a user's request about a job, with its answer.
type JobRequest struct {
	// JobID is the job's id.
	JobID string
	// Kind is the kind of the request.
	Kind RequestKind
	// Controller is the member that received the request.
	Controller string
	// SentAt is the time just before the request was sent, AnsweredAt the time just after the answer arrived.
	SentAt, AnsweredAt time.Time
	// Status is the HTTP status, 0 without an answer.
	Status int
	// State is the job's state in the answer, empty if there is none.
	State string
}

// answered reports whether there was an answer other than a server error.
func (request JobRequest) answered() bool {
	return request.Status < http.StatusInternalServerError && request.Status > 0
}

// CancelRequested records that a job's cancellation is about to be requested. The job must be known.
func (audit *Audit) CancelRequested(jobID string) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	audit.jobs[jobID].cancelRequested = true
}

// CheckAnswer records a request with its answer and checks the answer. It must be called in the order of the answers.
// An answer is compared with the state that had been reported to the user before the request was sent: answers to
// overlapping requests may arrive out of order and differ, unless they state two different terminal states. CheckAnswer
// reports whether the answer states a terminal state.
func (audit *Audit) CheckAnswer(request JobRequest) (terminal bool) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	audit.requests++
	if !request.answered() {
		return false
	}
	audit.answers++
	job := audit.jobs[request.JobID]
	if job == nil {
		if request.Status == http.StatusOK || request.Status == http.StatusCreated {
			audit.recordViolation(UnknownJob, "%s, which nobody submitted: %d %s by %s", request.JobID, request.Status, request.State, request.Controller)
		}
		return false
	}
	job.AnsweredAt = request.AnsweredAt
	if request.Status != http.StatusOK && request.Status != http.StatusCreated {
		audit.checkRefusal(job, request)
		return false
	}
	if request.Kind == SubmitRequest && job.Accepted.IsZero() {
		job.Accepted = request.AnsweredAt
	}
	audit.checkState(job, request)
	return isTerminal(request.State)
}

// isTerminal reports whether a state is terminal.
func isTerminal(state string) bool { return state == api.Done || state == api.Cancelled }

// checkRefusal checks an answer that a job is unknown or refused. The caller holds mu.
func (audit *Audit) checkRefusal(job *AuditedJob, request JobRequest) {
	accepted := !job.Accepted.IsZero() && job.Accepted.Before(request.SentAt)
	if accepted {
		audit.recordViolation(JobLost, "%s: %d to a %s by %s", job.ID, request.Status, request.Kind, request.Controller)
	}
}

// checkState checks a reported state against the state reported before and against the tasks' progress. The caller
// holds mu.
func (audit *Audit) checkState(job *AuditedJob, request JobRequest) {
	state := request.State
	changed := job.TerminalState != "" && state != job.TerminalState
	reportedBefore := job.TerminalStateAt.Before(request.SentAt)
	switch {
	case changed && !isTerminal(state) && !reportedBefore:
		audit.outOfOrderAnswers++
	case changed:
		audit.recordViolation(StateReverted, "%s was %s, now %s by %s, requested %v after the first report", job.ID, job.TerminalState, state, request.Controller,
			request.SentAt.Sub(job.TerminalStateAt).Round(time.Millisecond))
	case state == api.Done && job.TasksDone < job.Tasks:
		audit.recordViolation(DoneBeforeTasks, "%s with %d of %d tasks done", job.ID, job.TasksDone, job.Tasks)
	case state == api.Cancelled && !audit.mayBeCancelled(job):
		audit.recordViolation(StateReverted, "%s is cancelled, and nobody asked for it", job.ID)
	case !isTerminal(state) && audit.mustBeCancelled(job, request.SentAt):
		audit.recordViolation(NotCancelledWithDependency, "%s is %s although a job that it awaits was cancelled", job.ID, state)
	}
	if isTerminal(state) && job.TerminalState == "" {
		job.TerminalState, job.TerminalStateAt = state, request.AnsweredAt
		audit.terminalJobs++
	}
}

// mayBeCancelled reports whether the cancellation of a job, or of a job that it depends on directly or not, was
// requested. The caller holds mu.
func (audit *Audit) mayBeCancelled(job *AuditedJob) bool {
	return job.cancelRequested || slices.ContainsFunc(job.Awaits, func(id string) bool {
		return audit.jobs[id] != nil && audit.mayBeCancelled(audit.jobs[id])
	})
}

// mustBeCancelled reports whether a job must have been cancelled by the given time because a job that it depends on,
// directly or not, was. The caller holds mu.
func (audit *Audit) mustBeCancelled(job *AuditedJob, at time.Time) bool {
	return slices.ContainsFunc(job.Awaits, func(id string) bool {
		awaited := audit.jobs[id]
		if awaited == nil {
			return false
		}
		limit := awaited.TerminalStateAt
		if job.Accepted.After(limit) {
			limit = job.Accepted
		}
		return awaited.TerminalState == api.Cancelled && at.Sub(limit) > audit.cancelWithin || audit.mustBeCancelled(awaited, at)
	})
}

// AuditCounts are the numbers of events that an audit has recorded.
type AuditCounts struct {
	// Requests counts requests, Answers those that were answered, and OutOfOrderAnswers the answers that arrived after a
	// newer one.
	Requests, Answers, OutOfOrderAnswers int
	// TerminalJobs counts the jobs of which a terminal state was reported, LeaderTerms the terms under which tasks were
	// started.
	TerminalJobs, LeaderTerms int
}

// Counts returns the counts so far.
func (audit *Audit) Counts() AuditCounts {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	return AuditCounts{Requests: audit.requests, Answers: audit.answers, OutOfOrderAnswers: audit.outOfOrderAnswers, TerminalJobs: audit.terminalJobs, LeaderTerms: len(audit.firstStarts)}
}

// RecordUnanswered records that requests about an accepted job had no answer for so long that the job counts as lost.
func (audit *Audit) RecordUnanswered(jobID string, duration time.Duration) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	audit.recordViolation(JobLost, "%s: no answer for %v", jobID, duration.Round(time.Second))
}
