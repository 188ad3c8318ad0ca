package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/api"
	"switchferry/lookup"
	"switchferry/peer"
	"switchferry/scheduler"
	"switchferry/store"
)

// jobReader answers what became of a job, from the state service and from what this controller remembers.
type jobReader struct {
	clock  clockwork.Clock
	leases *leaseRenewal
	// records reads records of jobs, within this controller's share of reads.
	records *lookup.Jobs
	// terminalStates are the jobs that this controller knows to be in a terminal state.
	terminalStates *lookup.TerminalStates
	// notifications are the states that it has sent to users.
	notifications *lookup.Notifications
}

// newJobReader returns a reader that remembers nothing yet. The limiter bounds its reads of the state service.
func newJobReader(clock clockwork.Clock, client *store.Client, limiter *rate.Limiter, leases *leaseRenewal) *jobReader {
	j := &jobReader{clock: clock, leases: leases, terminalStates: lookup.NewTerminalStates(), notifications: lookup.NewNotifications()}
	j.records = &lookup.Jobs{Client: client, Recall: j.terminalState, Remember: j.rememberTerminal, Queue: lookup.NewFairQueue(clock, limiter)}
	return j
}

// rememberTerminal notes that a job is in a terminal state; a cancellation is stated to the peers from then on.
func (j *jobReader) rememberTerminal(id string, final store.FinalRecord) {
	if final.State == api.Cancelled {
		j.leases.watermark.RecordCancellation(j.clock.Now(), id)
	}
	j.terminalStates.Remember(id, final)
}

// terminalState returns the terminal state of a job, if this controller knows that it is in one.
func (j *jobReader) terminalState(id string) (store.FinalRecord, bool) {
	return j.terminalStates.Get(id)
}

// answerStatus answers a request for a job's status from the state service. Waits is as for lookUp.
func (j *jobReader) answerStatus(ctx context.Context, sched *scheduler.Scheduler, id string, waits bool) peer.Response {
	job, found, err := j.lookUp(ctx, sched, id, waits)
	switch {
	case err != nil:
		return peer.RetryLater("the state service is out of reach")
	case !found:
		return peer.JSONResponse(http.StatusNotFound, api.Error{Error: "no such job"})
	}
	return peer.JSONResponse(http.StatusOK, job)
}

// lookUp returns the status of a job by its record, which is read before the record of its terminal state, since that is
// written before the first one is removed. With waits the reader waits for its turn, as users who ask for a status do;
// otherwise it is refused at once with an error, as submissions are.
func (j *jobReader) lookUp(ctx context.Context, sched *scheduler.Scheduler, id string, waits bool) (_ api.JobStatus, found bool, err error) {
	if !api.ValidID(id) {
		return api.JobStatus{}, false, nil
	}
	asked := ""
	if waits {
		asked = id
		defer func() {
			if err == nil {
				j.records.Queue.Answered(id)
			}
		}()
	}
	// Requests of users must not take the share of reads that leading needs.
	x, err := j.records.ReadInTurn(ctx, id, asked)
	if err != nil || !x.Found {
		return api.JobStatus{}, false, err
	}
	if _, over := j.terminalState(id); x.Record != nil && !over && sched != nil {
		sched.Conflict(x.Record.Key, x.Record)
		if job, ok := sched.JobStatus(id); ok {
			return job, true, nil
		}
	}
	job, err := j.records.Status(ctx, id, x, asked)
	return job, err == nil, err
}

// publishAnswer states a cancellation to the peers before its user is told, and returns the answer that may be sent: a
// status that was read before its job ended may be due only after the user was told of the end.
func (j *jobReader) publishAnswer(response peer.Response) peer.Response {
	if response.Status != http.StatusOK && response.Status != http.StatusCreated || !bytes.Contains(response.Body, []byte(`"status"`)) {
		return response
	}
	var job api.JobStatus
	if json.Unmarshal(response.Body, &job) != nil || !api.ValidID(job.ID) {
		return response
	}
	if job.State == api.Cancelled {
		j.leases.watermark.RecordCancellation(j.clock.Now(), job.ID)
	}
	if newest, older := j.notifications.Newest(job); older {
		return peer.JSONResponse(http.StatusOK, newest)
	}
	return response
}
