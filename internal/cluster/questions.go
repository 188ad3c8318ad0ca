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
func (q Question) answered() bool { return q.Status < http.StatusInternalServerError && q.Status > 0 }

// CancelRequested records that a job's cancellation is about to be requested. The job must be known.
func (audit *Audit) CancelRequested(jobID string) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	audit.jobs[jobID].cancelRequested = true
}

// Judge records a request with its answer and checks the answer. It must be called in the order of the answers. An answer
// is compared with the state that the user had been given before sending the request: answers to overlapping requests may
// arrive out of order and differ, unless they state two different terminal states. It reports whether the job is in a
// terminal state.
func (audit *Audit) Judge(question Question) (over bool) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	audit.questions++
	if !question.answered() {
		return false
	}
	audit.answers++
	job := audit.jobs[question.Job]
	if job == nil {
		if question.Status == http.StatusOK || question.Status == http.StatusCreated {
			audit.recordViolation(Invented, "%s of nobody: %d %s by %s", question.Job, question.Status, question.State, question.Controller)
		}
		return false
	}
	job.AnsweredAt = question.AnsweredAt
	if question.Status != http.StatusOK && question.Status != http.StatusCreated {
		audit.judgeRefusal(job, question)
		return false
	}
	if question.Kind == AskSubmit && job.Accepted.IsZero() {
		job.Accepted = question.AnsweredAt
	}
	audit.judgeState(job, question)
	return isOver(question.State)
}

// isOver reports whether a state is terminal.
func isOver(state string) bool { return state == api.Done || state == api.Cancelled }

// judgeRefusal checks an answer that a job is unknown or refused. The caller holds mu.
func (audit *Audit) judgeRefusal(job *AuditedJob, question Question) {
	known := !job.Accepted.IsZero() && job.Accepted.Before(question.AskedAt)
	if known {
		audit.recordViolation(Forgotten, "%s: %d to a %s by %s", job.ID, question.Status, question.Kind, question.Controller)
	}
}

// judgeState checks a reported state against the state reported before and against the tasks' progress. The caller
// holds mu.
func (audit *Audit) judgeState(job *AuditedJob, question Question) {
	state := question.State
	changed := job.Told != "" && state != job.Told
	toldBefore := job.ToldAt.Before(question.AskedAt)
	switch {
	case changed && !isOver(state) && !toldBefore:
		audit.crossed++
	case changed:
		audit.recordViolation(WentBack, "%s was %s, now %s by %s, asked %v after it was told", job.ID, job.Told, state, question.Controller,
			question.AskedAt.Sub(job.ToldAt).Round(time.Millisecond))
	case state == api.Done && job.Done < job.Tasks:
		audit.recordViolation(NotDone, "%s with %d of %d tasks done", job.ID, job.Done, job.Tasks)
	case state == api.Cancelled && !audit.mayBeCancelled(job):
		audit.recordViolation(WentBack, "%s is cancelled, and nobody asked for it", job.ID)
	case !isOver(state) && audit.isOrphaned(job, question.AskedAt):
		audit.recordViolation(Orphaned, "%s is %s although a job that it awaits was cancelled", job.ID, state)
	}
	if isOver(state) && job.Told == "" {
		job.Told, job.ToldAt = state, question.AnsweredAt
		audit.told++
	}
}

// mayBeCancelled reports whether the cancellation of a job, or of a job that it depends on directly or not, was requested.
// The caller holds mu.
func (audit *Audit) mayBeCancelled(job *AuditedJob) bool {
	return job.cancelRequested || slices.ContainsFunc(job.Awaits, func(id string) bool {
		return audit.jobs[id] != nil && audit.mayBeCancelled(audit.jobs[id])
	})
}

// isOrphaned reports whether a job must have been cancelled by the given time because a job that it depends on, directly or
// not, was. The caller holds mu.
func (audit *Audit) isOrphaned(job *AuditedJob, at time.Time) bool {
	return slices.ContainsFunc(job.Awaits, func(id string) bool {
		awaited := audit.jobs[id]
		if awaited == nil {
			return false
		}
		limit := awaited.ToldAt
		if job.Accepted.After(limit) {
			limit = job.Accepted
		}
		return awaited.Told == api.Cancelled && at.Sub(limit) > audit.cancelWithin || audit.isOrphaned(awaited, at)
	})
}

// AuditCounts are the numbers of events that an audit has recorded.
type AuditCounts struct {
	// Questions counts requests, Answers those that were answered, and Crossed the answers that arrived after a newer one.
	Questions, Answers, Crossed int
	// Told counts jobs whose user was given a terminal state, Leaders the terms under which tasks were started.
	Told, Leaders int
}

// Counts returns the counts so far.
func (audit *Audit) Counts() AuditCounts {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	return AuditCounts{Questions: audit.questions, Answers: audit.answers, Crossed: audit.crossed, Told: audit.told, Leaders: len(audit.firstStarts)}
}

// Unanswered records that requests about an accepted job had no answer for so long that the job counts as lost.
func (audit *Audit) Unanswered(jobID string, since time.Duration) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	audit.recordViolation(Forgotten, "%s: no answer for %v", jobID, since.Round(time.Second))
}
