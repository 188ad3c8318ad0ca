// Package jobstatus determines the status of a job from its records and from the memory of a controller, and announces
// cancellations to the peers before they are acknowledged to users.
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

// Reader determines the status of jobs from the state service and from the memory of this controller. Its methods may
// be called concurrently.
type Reader struct {
	clock     clockwork.Clock
	watermark *watermark.Tracker
	// Records reads job records within this controller's share of reads.
	Records *lookup.Jobs
	// TerminalStates holds the jobs that this controller knows to be in a terminal state.
	TerminalStates TerminalStates
	// notifications holds the job states that this controller has sent to users.
	notifications *lookup.Notifications
	counts        *traffic.Counter
}

// NewReader returns a Reader with empty memory. The limiter bounds its reads from the state service, cancellations
// receives the cancellations to announce to the peers, and counts counts the answers.
func NewReader(clock clockwork.Clock, client *store.Client, limiter *rate.Limiter, cancellations *watermark.Tracker, counts *traffic.Counter) *Reader {
	j := &Reader{clock: clock, watermark: cancellations, counts: counts, TerminalStates: TerminalStates{lookup.NewTerminalStates(), clock, cancellations},
		notifications: lookup.NewNotifications()}
	j.Records = &lookup.Jobs{Client: client, CachedFinal: j.TerminalStates.Get, CacheFinal: j.TerminalStates.Remember, Queue: lookup.NewFairQueue(clock, limiter)}
	return j
}

// StatusFromMemory returns the status of a job if this process can determine it without reading a record, from the
// remembered terminal state or from the scheduler of the current term. Sched is nil without a term. The result is false
// if the status is not known.
func (j *Reader) StatusFromMemory(sched *scheduler.Scheduler, id string) (api.JobStatus, bool) {
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

// AnswerStatus answers a request for a job's status from the state service. Wait has the same meaning as for LookUp.
func (j *Reader) AnswerStatus(ctx context.Context, sched *scheduler.Scheduler, id string, wait bool) peer.Response {
	job, found, err := j.LookUp(ctx, sched, id, wait)
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

// LookUp returns the status of a job from its records. It reads the job's record before the record of its terminal
// state, since the latter is written before the former is deleted. If wait is set, the read is queued until this
// controller's share allows it, as for status requests; otherwise it fails at once with an error, as for submissions.
func (j *Reader) LookUp(ctx context.Context, sched *scheduler.Scheduler, id string, wait bool) (_ api.JobStatus, found bool, err error) {
	if !api.ValidID(id) {
		return api.JobStatus{}, false, nil
	}
	waitingUser := ""
	if wait {
		waitingUser = id
		defer func() {
			if err == nil {
				j.Records.Queue.Answered(id)
			}
		}()
	}
	// User requests must not use up the reads that the leader needs for its own work.
	sentAt := j.clock.Now()
	record, err := j.Records.ReadQueued(ctx, id, waitingUser)
	if err != nil || !record.Found {
		return api.JobStatus{}, false, err
	}
	if record.Record != nil && sched != nil {
		outcome := sched.AdoptJob(record.Record, sentAt)
		if job, ok := j.StatusFromMemory(sched, id); ok {
			return job, true, nil
		}
		if record, err = j.readNewer(ctx, id, record, outcome); err != nil {
			return api.JobStatus{}, false, err
		}
	}
	job, err := j.Records.Status(ctx, id, record, waitingUser)
	j.recordAnswer(job, record, sentAt, err)
	return job, err == nil, err
}

// recordAnswer counts and logs an answer from a record that was requested at sentAt. It does nothing if err is not nil,
// since there is no answer then.
func (j *Reader) recordAnswer(job api.JobStatus, record lookup.Job, sentAt time.Time, err error) {
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

// ErrNotAnswerable is returned if the record of a job shows no terminal state while the leader knows or suspects that
// the job is in one.
var ErrNotAnswerable = errors.New("the record does not show the job's present state")

// readNewer returns the record from which to answer when the leader did not adopt the given one. That is the record of
// the job's terminal state if the given record shows none while the leader knows that the job is in one, or cannot
// determine it.
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

// PublishAnswer announces a cancellation to the peers before it is acknowledged to the user, and returns the response
// that may be sent. It replaces a status that is older than one that was already sent: a status that was read before
// its job reached a terminal state may be ready to send only after that terminal state was reported to the user.
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
	newestStatus, notification := j.notifications.StatusToSend(job)
	switch notification {
	case lookup.Stale:
		j.counts.StaleAnswerDropped()
		slog.Debug("older answer dropped", "job", job.ID, "found", job.State, "told", newestStatus.State)
		return peer.JSONResponse(http.StatusOK, newestStatus)
	case lookup.Contradiction:
		return peer.RetryLater("what is known of the job contradicts itself")
	}
	return response
}

// TerminalStates remembers the jobs that are in a terminal state, and announces their cancellations to the peers.
type TerminalStates struct {
	*lookup.TerminalStates
	clock     clockwork.Clock
	watermark *watermark.Tracker
}

// Remember records that a job is in a terminal state. A cancellation is announced to the peers from then on.
func (s TerminalStates) Remember(id string, final store.FinalRecord) {
	if final.State == api.Cancelled {
		s.watermark.RecordCancellation(s.clock.Now(), id)
	}
	s.TerminalStates.Remember(id, final)
}
