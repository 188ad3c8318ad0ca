package cluster

import (
	"net/http"
	"slices"
	"time"

	"switchferry/api"
)

// QuestionKind is a kind of user request.
type QuestionKind string

const (
	// AskStatus requests a job's status.
	AskStatus QuestionKind = "status"
	// AskSubmit submits a job.
	AskSubmit QuestionKind = "submission"
	// AskCancel requests a job's cancellation.
	AskCancel QuestionKind = "cancellation"
)

// Question is a user's request about a job, with its answer.
type Question struct {
	// Job is the job's id.
	Job  string
	Kind QuestionKind
	// Controller is the member that was asked.
	Controller string
	// AskedAt is the time just before the request was sent, AnsweredAt the time just after the answer arrived.
	AskedAt, AnsweredAt time.Time
	// Status is the HTTP status, 0 without an answer.
	Status int
	// State is the job's state in the answer, empty if there is none.
	State string
}

// answered reports whether there was an answer other than a server error.
func (request Question) answered() bool {
	return request.Status < http.StatusInternalServerError && request.Status > 0
}

// CancelRequested records that a job's cancellation is about to be requested. The job must be known.
func (audit *Audit) CancelRequested(jobID string) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	audit.jobs[jobID].cancelRequested = true
}

// Judge records a request with its answer and checks the answer. It must be called in the order of the answers. An
// answer is compared with the state that the user had been given before sending the request: answers to overlapping
// requests may arrive out of order and differ, unless they state two different terminal states. It reports whether the
// job is in a terminal state.
func (audit *Audit) Judge(request Question) (terminal bool) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	audit.requests++
	if !request.answered() {
		return false
	}
	audit.answers++
	job := audit.jobs[request.Job]
	if job == nil {
		if request.Status == http.StatusOK || request.Status == http.StatusCreated {
			audit.recordViolation(UnknownJob, "%s of nobody: %d %s by %s", request.Job, request.Status, request.State, request.Controller)
		}
		return false
	}
	job.AnsweredAt = request.AnsweredAt
	if request.Status != http.StatusOK && request.Status != http.StatusCreated {
		audit.checkRefusal(job, request)
		return false
	}
	if request.Kind == AskSubmit && job.Accepted.IsZero() {
		job.Accepted = request.AnsweredAt
	}
	audit.checkState(job, request)
	return isTerminal(request.State)
}

// isTerminal reports whether a state is terminal.
func isTerminal(state string) bool { return state == api.Done || state == api.Cancelled }

// checkRefusal checks an answer that a job is unknown or refused. The caller holds mu.
func (audit *Audit) checkRefusal(job *AuditedJob, request Question) {
	accepted := !job.Accepted.IsZero() && job.Accepted.Before(request.AskedAt)
	if accepted {
		audit.recordViolation(JobLost, "%s: %d to a %s by %s", job.ID, request.Status, request.Kind, request.Controller)
	}
}

// checkState checks a reported state against the state reported before and against the tasks' progress. The caller
// holds mu.
func (audit *Audit) checkState(job *AuditedJob, request Question) {
	state := request.State
	changed := job.Told != "" && state != job.Told
	reportedBefore := job.TerminalStateAt.Before(request.AskedAt)
	switch {
	case changed && !isTerminal(state) && !reportedBefore:
		audit.outOfOrderAnswers++
	case changed:
		audit.recordViolation(StateReverted, "%s was %s, now %s by %s, asked %v after it was told", job.ID, job.Told, state, request.Controller,
			request.AskedAt.Sub(job.TerminalStateAt).Round(time.Millisecond))
	case state == api.Done && job.TasksDone < job.Tasks:
		audit.recordViolation(DoneBeforeTasks, "%s with %d of %d tasks done", job.ID, job.TasksDone, job.Tasks)
	case state == api.Cancelled && !audit.mayBeCancelled(job):
		audit.recordViolation(StateReverted, "%s is cancelled, and nobody asked for it", job.ID)
	case !isTerminal(state) && audit.mustBeCancelled(job, request.AskedAt):
		audit.recordViolation(DependencyCancelled, "%s is %s although a job that it awaits was cancelled", job.ID, state)
	}
	if isTerminal(state) && job.Told == "" {
		job.Told, job.TerminalStateAt = state, request.AnsweredAt
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
		return awaited.Told == api.Cancelled && at.Sub(limit) > audit.cancelWithin || audit.mustBeCancelled(awaited, at)
	})
}

// AuditCounts are the numbers of events that an audit has recorded.
type AuditCounts struct {
	// Questions counts requests, Answers those that were answered, and Crossed the answers that arrived after a newer one.
	Questions, Answers, Crossed int
	// Told counts jobs whose user was given a terminal state, LeaderTerms the terms under which tasks were started.
	Told, LeaderTerms int
}

// Counts returns the counts so far.
func (audit *Audit) Counts() AuditCounts {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	return AuditCounts{Questions: audit.requests, Answers: audit.answers, Crossed: audit.outOfOrderAnswers, Told: audit.terminalJobs, LeaderTerms: len(audit.firstStarts)}
}

// Unanswered records that requests about an accepted job had no answer for so long that the job counts as lost.
func (audit *Audit) Unanswered(jobID string, duration time.Duration) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	audit.recordViolation(JobLost, "%s: no answer for %v", jobID, duration.Round(time.Second))
}
