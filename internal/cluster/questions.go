package cluster

import (
	"net/http"
	"slices"
	"time"

	"switchferry/api"
)

// QuestionKind is what a user asked of a controller.
type QuestionKind string

// Kinds of questions.
const (
	AskStatus QuestionKind = "status"
	AskSubmit QuestionKind = "submission"
	AskCancel QuestionKind = "cancellation"
)

// Question is a question about a job and its answer, as its user saw them.
type Question struct {
	Job        string
	Kind       QuestionKind
	Controller string
	// AskedAt is just before the question was sent, AnsweredAt just after the answer was there.
	AskedAt, AnsweredAt time.Time
	// Status is the HTTP status, and State the job's state if the answer has one.
	Status int
	State  string
}

// answered reports whether the question was answered with a state or with the job's being unknown.
func (q Question) answered() bool { return q.Status < http.StatusInternalServerError && q.Status > 0 }

// CancelRequested records that a job's user is about to ask for its cancellation.
func (audit *Audit) CancelRequested(jobID string) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	audit.jobs[jobID].cancelRequested = true
}

// Judge records a question with its answer, in the order of the answers, and checks it. An answer is compared with what the
// user had been told before asking: two that cross on their ways may differ, unless they name two terminal states.
// It reports whether the job is over.
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

// judgeRefusal checks an answer that a job is unknown or cannot run; mu is held.
func (audit *Audit) judgeRefusal(job *AuditedJob, question Question) {
	known := !job.Accepted.IsZero() && job.Accepted.Before(question.AskedAt)
	if known {
		audit.recordViolation(Forgotten, "%s: %d to a %s by %s", job.ID, question.Status, question.Kind, question.Controller)
	}
}

// judgeState checks a state against what the user had been told and what the workers did; mu is held.
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

// mayBeCancelled reports whether the user of a job, or of one that it awaits, has asked for its cancellation; mu is held.
func (audit *Audit) mayBeCancelled(job *AuditedJob) bool {
	return job.cancelRequested || slices.ContainsFunc(job.Awaits, func(id string) bool {
		return audit.jobs[id] != nil && audit.mayBeCancelled(audit.jobs[id])
	})
}

// isOrphaned reports whether a job that a job awaits, directly or not, was told to be cancelled so long before a moment that
// this one must be too; mu is held.
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

// AuditCounts are what an audit has seen of questions.
type AuditCounts struct {
	// Questions were asked and Answers came; Crossed are answers that a newer one overtook on its way.
	Questions, Answers, Crossed int
	// Told are jobs of which a user was told a terminal state, Leaders the terms under which tasks were started.
	Told, Leaders int
}

// Counts returns what was seen so far.
func (audit *Audit) Counts() AuditCounts {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	return AuditCounts{Questions: audit.questions, Answers: audit.answers, Crossed: audit.crossed, Told: audit.told, Leaders: len(audit.firstStarts)}
}

// Unanswered records that nothing was to be learnt of an accepted job for so long that it counts as forgotten.
func (audit *Audit) Unanswered(jobID string, since time.Duration) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	audit.recordViolation(Forgotten, "%s: no answer for %v", jobID, since.Round(time.Second))
}
