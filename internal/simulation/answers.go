package simulation

import (
	"net/http"
	"slices"
	"time"

	"switchferry/api"
	"switchferry/controller"
)

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

// jobOver tells whether a job is over for its user.
func (checker *invariantChecker) jobOver(job *trackedJob) bool {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	return job.finalState != ""
}

// recordWrongAnswer notes an answer that the protocol does not have.
func (checker *invariantChecker) recordWrongAnswer(format string, a ...any) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.result.WrongAnswers++
	checker.explain("wrong answer: "+format, a...)
}

// answeredAt takes in the answer to a request that was sent then, beside others: what the user was told meanwhile
// may be newer, since the two crossed.
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

func (checker *invariantChecker) recordRefusal(job *trackedJob, code int) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if !job.acceptedAt.IsZero() {
		checker.recordViolation("forgotten", "%s accepted, then %d", job.ID, code)
	} else {
		checker.recordViolation("refused", "%s: %d", job.ID, code)
	}
}

// recordAnswer takes in an answer, and tells whether the job is over for its user.
func (checker *invariantChecker) recordAnswer(job *trackedJob, code int, status api.JobStatus) bool {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	now := time.Now()
	if code == http.StatusNotFound {
		checker.recordViolation("forgotten", "%s: 404", job.ID)
		return false
	}
	if code != http.StatusOK && code != http.StatusCreated {
		return false
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
		if job.cancelledAt.IsZero() {
			job.cancelledAt = now
		}
		if !job.cancelRequested && !checker.dependencyCancelled(job) {
			checker.recordViolation("went_back", "%s is called cancelled, and was not", job.ID)
		}
		checker.recordFinalState(job, status.State)
		for _, other := range checker.jobsInOrder {
			if slices.Contains(other.Awaits, job.ID) && other.orphanedAt.IsZero() {
				other.orphanedAt = now
			}
		}
	default:
		if !job.orphanedAt.IsZero() && !job.acceptedAt.IsZero() && now.Sub(laterOf(job.orphanedAt, job.acceptedAt)) > seconds(checker.sim.Workers.CancelS) {
			checker.recordViolation("orphaned", "%s is %s", job.ID, status.State)
		}
	}
	return job.finalState != ""
}

// recordFinalState notes the state that a user was told for good; the lock is held.
func (checker *invariantChecker) recordFinalState(job *trackedJob, state string) {
	if job.finalState == "" {
		job.finalAt = time.Now()
	}
	job.finalState = state
}

// dependencyCancelled tells whether the user of a job before one has asked to cancel it: the one's may hear first that
// it counts.
func (checker *invariantChecker) dependencyCancelled(job *trackedJob) bool {
	return slices.ContainsFunc(job.Awaits, func(id string) bool {
		other := checker.jobs[id]
		return other != nil && (other.cancelRequested || checker.dependencyCancelled(other))
	})
}

// awaitsDependency tells whether a job that one awaits is not done.
func (checker *invariantChecker) awaitsDependency(job *trackedJob) bool {
	for _, id := range job.Awaits {
		if other := checker.jobs[id]; other == nil || len(other.doneTasks) < other.Tasks {
			return true
		}
	}
	return false
}
