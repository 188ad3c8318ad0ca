// Package jobstatus answers what became of a job, from its records and from what a controller remembers, and states
// cancellations to the peers before users learn of them.
package jobstatus

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/api"
	"switchferry/lookup"
	"switchferry/peer"
	"switchferry/scheduler"
	"switchferry/store"
	"switchferry/watermark"
)

// Reader answers what became of a job, from the state service and from what this controller remembers.
type Reader struct {
	clock     clockwork.Clock
	watermark *watermark.Tracker
	// Records reads records of jobs, within this controller's share of reads.
	Records *lookup.Jobs
	// TerminalStates are the jobs that this controller knows to be in a terminal state.
	TerminalStates TerminalStates
	// notifications are the states that it has sent to users.
	notifications *lookup.Notifications
}

// NewReader returns a reader that remembers nothing yet. The limiter bounds its reads of the state service; cancellations are what
// is stated to the peers.
func NewReader(clock clockwork.Clock, client *store.Client, limiter *rate.Limiter, cancellations *watermark.Tracker) *Reader {
	j := &Reader{clock: clock, watermark: cancellations, TerminalStates: TerminalStates{lookup.NewTerminalStates(), clock, cancellations},
		notifications: lookup.NewNotifications()}
	j.Records = &lookup.Jobs{Client: client, Recall: j.TerminalStates.Get, Remember: j.TerminalStates.Remember, Queue: lookup.NewFairQueue(clock, limiter)}
	return j
}

// AnswerStatus answers a request for a job's status from the state service. Waits is as for LookUp.
func (j *Reader) AnswerStatus(ctx context.Context, sched *scheduler.Scheduler, id string, waits bool) peer.Response {
	job, found, err := j.LookUp(ctx, sched, id, waits)
	switch {
	case err != nil:
		return peer.RetryLater("the state service is out of reach")
	case !found:
		return peer.JSONResponse(http.StatusNotFound, api.Error{Error: "no such job"})
	}
	return peer.JSONResponse(http.StatusOK, job)
}

// LookUp returns the status of a job by its record, which is read before the record of its terminal state, since that is
// written before the first one is removed. With waits the reader waits for its turn, as users who ask for a status do;
// otherwise it is refused at once with an error, as submissions are.
func (j *Reader) LookUp(ctx context.Context, sched *scheduler.Scheduler, id string, waits bool) (_ api.JobStatus, found bool, err error) {
	if !api.ValidID(id) {
		return api.JobStatus{}, false, nil
	}
	waitingUser := ""
	if waits {
		waitingUser = id
		defer func() {
			if err == nil {
				j.Records.Queue.Answered(id)
			}
		}()
	}
	// Requests of users must not take the share of reads that leading needs.
	sentAt := j.clock.Now()
	record, err := j.Records.ReadInTurn(ctx, id, waitingUser)
	if err != nil || !record.Found {
		return api.JobStatus{}, false, err
	}
	if record.Record != nil && sched != nil {
		outcome := sched.AdoptJob(record.Record, sentAt)
		if job, ok := sched.JobStatus(id); ok {
			return job, true, nil
		}
		if err := j.checkAnswerable(id, record, outcome); err != nil {
			return api.JobStatus{}, false, err
		}
	}
	job, err := j.Records.Status(ctx, id, record, waitingUser)
	return job, err == nil, err
}

// ErrNotAnswerable is returned where a record says that a job goes on and the leader knows or suspects otherwise.
var ErrNotAnswerable = errors.New("the record does not tell the job's present state")

// checkAnswerable returns ErrNotAnswerable if a record must not be answered from although it says that the job goes on:
// the leader knows that it is over, or cannot tell.
func (j *Reader) checkAnswerable(id string, record lookup.Job, outcome scheduler.Adoption) error {
	if _, remembered := j.TerminalStates.Get(id); remembered || record.Final.State != "" {
		return nil
	}
	switch outcome {
	case scheduler.JobEnded, scheduler.ReadOutdated, scheduler.RecordDamaged:
		return fmt.Errorf("%w: %s", ErrNotAnswerable, outcome)
	}
	return nil
}

// PublishAnswer states a cancellation to the peers before its user is told, and returns the answer that may be sent: a
// status that was read before its job ended may be due only after the user was told of the end.
func (j *Reader) PublishAnswer(response peer.Response) peer.Response {
	if response.Status != http.StatusOK && response.Status != http.StatusCreated || !bytes.Contains(response.Body, []byte(`"status"`)) {
		return response
	}
	var job api.JobStatus
	if json.Unmarshal(response.Body, &job) != nil || !api.ValidID(job.ID) {
		return response
	}
	if job.State == api.Cancelled {
		j.watermark.RecordCancellation(j.clock.Now(), job.ID)
	}
	if newest, older := j.notifications.Newest(job); older {
		return peer.JSONResponse(http.StatusOK, newest)
	}
	return response
}

// TerminalStates remembers jobs that have ended, and states cancellations to the peers.
type TerminalStates struct {
	*lookup.TerminalStates
	clock     clockwork.Clock
	watermark *watermark.Tracker
}

// Remember notes that a job is in a terminal state; a cancellation is stated to the peers from then on.
func (s TerminalStates) Remember(id string, final store.FinalRecord) {
	if final.State == api.Cancelled {
		s.watermark.RecordCancellation(s.clock.Now(), id)
	}
	s.TerminalStates.Remember(id, final)
}
