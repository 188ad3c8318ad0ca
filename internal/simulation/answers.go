package simulation

import (
	"net/http"
	"slices"
	"time"

	"switchferry/api"
	"switchferry/controller"
)

// jobAccepted records that a controller accepted a job and answered with this status.
func (checker *invariantChecker) jobAccepted(job *trackedJob, status api.JobStatus) {
	checker.mu.Lock()
	job.acceptedAt = time.Now()
	job.answeredAt = job.acceptedAt
	if job.readyAt.IsZero() {
		job.readyAt = job.acceptedAt
	}
	checker.mu.Unlock()
	checker.recordResponse(job, http.StatusOK, status)
}

// terminalStateReported reports whether a terminal state of the job was reported to its user.
func (checker *invariantChecker) terminalStateReported(job *trackedJob) bool {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	return job.terminalState != ""
}

// recordUnexpectedResponse counts a response that the protocol does not allow, and adds an explanation to the result.
func (checker *invariantChecker) recordUnexpectedResponse(format string, a ...any) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.result.UnexpectedResponses++
	checker.explain("unexpected response: "+format, a...)
}

// checkResponse checks the response to a request that was sent at the given time. The same user may have concurrent
// requests: a response without a terminal state is ignored if another response reported one after this request was
// sent.
func (checker *invariantChecker) checkResponse(job *trackedJob, sent time.Time, code int, status api.JobStatus, verb string) {
	checker.mu.Lock()
	outdated := job.terminalAt.After(sent) && status.State != api.Done && status.State != api.Cancelled
	known := !job.acceptedAt.IsZero() && job.acceptedAt.Before(sent)
	checker.mu.Unlock()
	switch {
	case outdated:
	case verb == controller.VerbSubmit && known && (code == http.StatusBadRequest || code == http.StatusUnprocessableEntity):
		checker.recordRefusal(job, code)
	case verb == controller.VerbCancel && code == http.StatusOK && status.State != api.Done && status.State != api.Cancelled:
		checker.recordUnexpectedResponse("a cancellation of %s was answered with state %q", job.ID, status.State)
	default:
		checker.recordResponse(job, code, status)
	}
}

// recordRefusal records that a valid submission was refused, as a violation of the rule "forgotten" if the job had been
// accepted before, and of "refused" otherwise.
func (checker *invariantChecker) recordRefusal(job *trackedJob, code int) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if !job.acceptedAt.IsZero() {
		checker.recordViolation("forgotten", "%s accepted, then %d", job.ID, code)
	} else {
		checker.recordViolation("refused", "%s: %d", job.ID, code)
	}
}

// recordResponse checks a response about a job against the states that were reported to its user before and against the
// tasks that are done.
func (checker *invariantChecker) recordResponse(job *trackedJob, code int, status api.JobStatus) {
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
	if job.terminalState != "" && status.State != job.terminalState {
		checker.recordViolation("went_back", "%s was %s, now %s", job.ID, job.terminalState, status.State)
	}
	switch status.State {
	case api.Done:
		if len(job.doneTasks) < job.Tasks {
			checker.recordViolation("not_done", "%s with %d of %d tasks done", job.ID, len(job.doneTasks), job.Tasks)
		}
		checker.recordTerminalState(job, status.State)
	case api.Cancelled:
		checker.recordCancelled(job, now)
	default:
		if !job.orphanedAt.IsZero() && !job.acceptedAt.IsZero() && now.Sub(laterOf(job.orphanedAt, job.acceptedAt)) > seconds(checker.sim.Workers.CancelDeadlineS) {
			checker.recordViolation("orphaned", "%s is %s", job.ID, status.State)
		}
	}
}

// recordCancelled records that a job was reported as cancelled, checks that its cancellation was requested, and marks
// the jobs that await it as orphaned; checker.mu is held.
func (checker *invariantChecker) recordCancelled(job *trackedJob, now time.Time) {
	if job.cancelledAt.IsZero() {
		job.cancelledAt = now
	}
	if !job.cancelRequested && !checker.dependencyCancelled(job) {
		checker.recordViolation("went_back", "%s is reported as cancelled, but nobody cancelled it", job.ID)
	}
	checker.recordTerminalState(job, api.Cancelled)
	for _, other := range checker.jobsInOrder {
		if slices.Contains(other.Awaits, job.ID) && other.orphanedAt.IsZero() {
			other.orphanedAt = now
		}
	}
}

// recordTerminalState records the terminal state that was reported to the job's user; checker.mu is held.
func (checker *invariantChecker) recordTerminalState(job *trackedJob, state string) {
	if job.terminalState == "" {
		job.terminalAt = time.Now()
	}
	job.terminalState = state
}

// dependencyCancelled reports whether the cancellation of a direct or transitive dependency of the job was requested.
// The job may be reported as cancelled before that dependency is; checker.mu is held.
func (checker *invariantChecker) dependencyCancelled(job *trackedJob) bool {
	return slices.ContainsFunc(job.Awaits, func(id string) bool {
		other := checker.jobs[id]
		return other != nil && (other.cancelRequested || checker.dependencyCancelled(other))
	})
}

// awaitsDependency reports whether any direct dependency of the job is not done; checker.mu is held.
func (checker *invariantChecker) awaitsDependency(job *trackedJob) bool {
	for _, id := range job.Awaits {
		if other := checker.jobs[id]; other == nil || len(other.doneTasks) < other.Tasks {
			return true
		}
	}
	return false
}
