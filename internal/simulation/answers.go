package simulation

import (
	"net/http"
	"slices"
	"time"

	"switchferry/api"
	"switchferry/controller"
)

// jobAccepted records that a controller accepted a job, with the status that it answered.
func (checker *invariantChecker) jobAccepted(job *trackedJob, status api.JobStatus) {
	checker.mu.Lock()
	job.acceptedAt = time.Now()
	job.answeredAt = job.acceptedAt
	if job.readyAt.IsZero() {
		job.readyAt = job.acceptedAt
	}
	checker.mu.Unlock()
	checker.recordAnswer(job, http.StatusOK, status)
}

// jobOver reports whether the user of a job was told of a terminal state.
func (checker *invariantChecker) jobOver(job *trackedJob) bool {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	return job.finalState != ""
}

// recordWrongAnswer counts an answer that the protocol does not have, and explains it.
func (checker *invariantChecker) recordWrongAnswer(format string, a ...any) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.result.WrongAnswers++
	checker.explain("wrong answer: "+format, a...)
}

// checkAnswer checks the answer to a request that was sent at a time. The same user may have other requests under way:
// an answer that crossed with a newer one, which reported a terminal state, is passed over.
func (checker *invariantChecker) checkAnswer(job *trackedJob, sent time.Time, code int, status api.JobStatus, verb string) {
	checker.mu.Lock()
	crossed := job.finalAt.After(sent) && status.State != api.Done && status.State != api.Cancelled
	known := !job.acceptedAt.IsZero() && job.acceptedAt.Before(sent)
	checker.mu.Unlock()
	switch {
	case crossed:
	case verb == controller.VerbSubmit && known && (code == http.StatusBadRequest || code == http.StatusUnprocessableEntity):
		checker.recordRefusal(job, code)
	case verb == controller.VerbCancel && code == http.StatusOK && status.State != api.Done && status.State != api.Cancelled:
		checker.recordWrongAnswer("a cancellation of %s: %q", job.ID, status.State)
	default:
		checker.recordAnswer(job, code, status)
	}
}

// recordRefusal records that a valid submission was refused: if the job had been accepted, it is forgotten.
func (checker *invariantChecker) recordRefusal(job *trackedJob, code int) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if !job.acceptedAt.IsZero() {
		checker.recordViolation("forgotten", "%s accepted, then %d", job.ID, code)
	} else {
		checker.recordViolation("refused", "%s: %d", job.ID, code)
	}
}

// recordAnswer compares an answer about a job with what its user was told before and with what runs.
func (checker *invariantChecker) recordAnswer(job *trackedJob, code int, status api.JobStatus) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	now := time.Now()
	if code == http.StatusNotFound {
		checker.recordViolation("forgotten", "%s: 404", job.ID)
		return
	}
	if code != http.StatusOK && code != http.StatusCreated {
		return
	}
	if !checker.faultsOverAt.IsZero() {
		checker.result.LongestUnansweredS = max(checker.result.LongestUnansweredS, now.Sub(job.answeredAt).Seconds())
	}
	job.answeredAt = now
	if job.finalState != "" && status.State != job.finalState {
		checker.recordViolation("went_back", "%s was %s, now %s", job.ID, job.finalState, status.State)
	}
	switch status.State {
	case api.Done:
		if len(job.doneTasks) < job.Tasks {
			checker.recordViolation("not_done", "%s with %d of %d tasks done", job.ID, len(job.doneTasks), job.Tasks)
		}
		checker.recordFinalState(job, status.State)
	case api.Cancelled:
		checker.recordCancelled(job, now)
	default:
		if !job.orphanedAt.IsZero() && !job.acceptedAt.IsZero() && now.Sub(laterOf(job.orphanedAt, job.acceptedAt)) > seconds(checker.sim.Workers.CancelS) {
			checker.recordViolation("orphaned", "%s is %s", job.ID, status.State)
		}
	}
}

// recordCancelled records that a job was reported as cancelled, which somebody must have asked for, and that the jobs
// that await it are orphaned; checker.mu is held.
func (checker *invariantChecker) recordCancelled(job *trackedJob, now time.Time) {
	if job.cancelledAt.IsZero() {
		job.cancelledAt = now
	}
	if !job.cancelRequested && !checker.dependencyCancelled(job) {
		checker.recordViolation("went_back", "%s is called cancelled, and was not", job.ID)
	}
	checker.recordFinalState(job, api.Cancelled)
	for _, other := range checker.jobsInOrder {
		if slices.Contains(other.Awaits, job.ID) && other.orphanedAt.IsZero() {
			other.orphanedAt = now
		}
	}
}

// recordFinalState records the terminal state that a user was told; checker.mu is held.
func (checker *invariantChecker) recordFinalState(job *trackedJob, state string) {
	if job.finalState == "" {
		job.finalAt = time.Now()
	}
	job.finalState = state
}

// dependencyCancelled reports whether the user of a job that a job awaits, directly or not, has asked to cancel it. Its
// dependant may be reported as cancelled before it is itself.
func (checker *invariantChecker) dependencyCancelled(job *trackedJob) bool {
	return slices.ContainsFunc(job.Awaits, func(id string) bool {
		other := checker.jobs[id]
		return other != nil && (other.cancelRequested || checker.dependencyCancelled(other))
	})
}

// awaitsDependency reports whether a job that a job awaits is not done; checker.mu is held.
func (checker *invariantChecker) awaitsDependency(job *trackedJob) bool {
	for _, id := range job.Awaits {
		if other := checker.jobs[id]; other == nil || len(other.doneTasks) < other.Tasks {
			return true
		}
	}
	return false
}
