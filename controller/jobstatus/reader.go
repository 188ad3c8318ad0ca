// Package jobstatus answers what became of a job, from its records and from what a controller remembers, and states
// cancellations to the peers before users learn of them.
package jobstatus

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/api"
	"switchferry/lookup"
	"switchferry/peer"
	"switchferry/scheduler"
	"switchferry/store"
	"switchferry/traffic"
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
	counts        *traffic.Counter
}

// NewReader returns a reader that remembers nothing yet. The limiter bounds its reads of the state service; cancellations are what
// is stated to the peers, and counts takes the answers.
func NewReader(clock clockwork.Clock, client *store.Client, limiter *rate.Limiter, cancellations *watermark.Tracker, counts *traffic.Counter) *Reader {
	j := &Reader{clock: clock, watermark: cancellations, counts: counts, TerminalStates: TerminalStates{lookup.NewTerminalStates(), clock, cancellations},
		notifications: lookup.NewNotifications()}
	j.Records = &lookup.Jobs{Client: client, Recall: j.TerminalStates.Get, Remember: j.TerminalStates.Remember, Queue: lookup.NewFairQueue(clock, limiter)}
	return j
}

// Recall returns the status of a job as this process may answer it without reading a record: the terminal state that it
// remembers, or what the scheduler of its term says. Sched is nil without one.
func (j *Reader) Recall(sched *scheduler.Scheduler, id string) (api.JobStatus, bool) {
	if final, ok := j.TerminalStates.Get(id); ok {
		return final.JobStatus(id), true
	}
	if sched == nil {
		return api.JobStatus{}, false
	}
	status, basis := sched.Answer(id)
	slog.Debug("answer of the term", "job", id, "state", status.State, "basis", string(basis), "term", sched.Term())
	return status, basis.Known()
}

// AnswerStatus answers a request for a job's status from the state service. Waits is as for LookUp.
func (j *Reader) AnswerStatus(ctx context.Context, sched *scheduler.Scheduler, id string, waits bool) peer.Response {
	job, found, err := j.LookUp(ctx, sched, id, waits)
	switch {
	case errors.Is(err, ErrNotAnswerable):
		return peer.RetryLater("the job's state is not known now")
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
		if job, ok := j.Recall(sched, id); ok {
			return job, true, nil
		}
		if record, err = j.readNewer(ctx, id, record, outcome); err != nil {
			return api.JobStatus{}, false, err
		}
	}
	job, err := j.Records.Status(ctx, id, record, waitingUser)
	j.noteRecordAnswer(job, record, sentAt, err)
	return job, err == nil, err
}

// noteRecordAnswer counts and logs an answer from a record that was asked for at a time, unless there is none for the error.
func (j *Reader) noteRecordAnswer(job api.JobStatus, record lookup.Job, sentAt time.Time, err error) {
	if err != nil {
		return
	}
	age := j.clock.Since(sentAt)
	j.counts.AnsweredFromRecord(age)
	revision := uint64(0)
	if record.Record != nil {
		revision = record.Record.Revision
	}
	slog.Debug("answer from a record", "job", job.ID, "state", job.State, "revision", revision, "read_ago", age)
}

// ErrNotAnswerable is returned where a record says that a job goes on and the leader knows or suspects otherwise.
var ErrNotAnswerable = errors.New("the record does not tell the job's present state")

// readNewer returns what is to be answered from in place of a record that the leader did not adopt: the job's final record
// if the record says that the job goes on and the leader knows that it is over, or cannot tell.
func (j *Reader) readNewer(ctx context.Context, id string, record lookup.Job, outcome scheduler.Adoption) (lookup.Job, error) {
	if record.Final.State != "" {
		return record, nil
	}
	switch outcome {
	case scheduler.JobEnded, scheduler.ReadOutdated:
		final, err := j.Records.ReadArchived(ctx, id)
		if err == nil && !final.Found {
			err = fmt.Errorf("%w: %s", ErrNotAnswerable, outcome)
		}
		return final, err
	case scheduler.RecordDamaged:
		return record, fmt.Errorf("%w: %s", ErrNotAnswerable, outcome)
	}
	return record, nil
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
	newest, notification := j.notifications.Newest(job)
	switch notification {
	case lookup.Older:
		j.counts.OlderAnswerDropped()
		slog.Debug("older answer dropped", "job", job.ID, "found", job.State, "told", newest.State)
		return peer.JSONResponse(http.StatusOK, newest)
	case lookup.Contradiction:
		return peer.RetryLater("what is known of the job contradicts itself")
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
