// Package lookup answers questions about jobs from their records in the state service, for a controller
// that does not have the jobs in memory: one that cannot reach the leader, or a new leader that does not
// know yet which jobs ended before its term.
//
// Questions share a limited number of reads (FairQueue). What was read of ended jobs is remembered
// (TerminalStates), and so are the final states that were sent to users (Notifications).
package lookup

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"

	"switchferry/api"
	"switchferry/store"
	"switchferry/tuning"
)

// ErrTooDeep is returned if a job depends, directly or through others, on more than tuning.AwaitsReads jobs.
var ErrTooDeep = errors.New("too many jobs before this one to look at without the leader")

// Jobs reads the records of jobs. Its methods are safe for concurrent use if Recall and Remember are.
type Jobs struct {
	Client *store.Client
	// Recall returns the final record of an archived job if it is remembered.
	Recall func(id string) (store.FinalRecord, bool)
	// Remember is called with every final record that is read.
	Remember func(id string, f store.FinalRecord)
	// Queue limits the reads and shares them among the questions.
	Queue *FairQueue
}

// Job is what the records say of a job.
type Job struct {
	// Found is false if the job was never accepted.
	Found   bool
	Service bool
	// Final is the final state of the job. Its State is empty while the job has not ended by its own
	// records.
	Final store.FinalRecord
	// DependsOn are the jobs that the job depends on, while it is not archived.
	DependsOn []string
	// Record is the job's JobRecord, nil once the job is archived.
	Record *store.Item
}

// Read reads a job. Its JobRecord is read first, since the final record is written before the JobRecord is
// deleted. The error is that of the state service, or names a damaged record.
func (j *Jobs) Read(ctx context.Context, jobID string) (Job, error) {
	if final, ok := j.Recall(jobID); ok {
		return archivedJob(final), nil
	}
	item, err := j.Client.Get(ctx, store.JobKey(jobID))
	switch {
	case err == nil:
		return decodeJob(item)
	case !errors.Is(err, store.ErrNotFound):
		return Job{}, fmt.Errorf("reading job %s: %w", jobID, err)
	}
	return j.ReadArchived(ctx, jobID)
}

// ReadArchived reads the final record of a job, and remembers it. The errors are those of Read.
func (j *Jobs) ReadArchived(ctx context.Context, jobID string) (Job, error) {
	item, err := j.Client.Get(ctx, store.FinalKey(jobID))
	switch {
	case errors.Is(err, store.ErrNotFound):
		return Job{}, nil
	case err != nil:
		return Job{}, fmt.Errorf("reading the final state of job %s: %w", jobID, err)
	}
	var final store.FinalRecord
	if err := json.Unmarshal(item.Value, &final); err != nil {
		return Job{}, damaged(item, err)
	}
	j.Remember(jobID, final)
	return archivedJob(final), nil
}

// archivedJob is the job of a final record.
func archivedJob(final store.FinalRecord) Job {
	return Job{Found: true, Service: final.Service, Final: final}
}

// decodeJob decodes a JobRecord.
func decodeJob(item store.Item) (Job, error) {
	var record store.JobRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return Job{}, damaged(item, err)
	}
	return Job{
		Found:     true,
		Service:   record.Job.Shape == api.Service,
		Final:     store.FinalRecord{State: record.FinalState},
		DependsOn: record.Job.Awaits,
		Record:    &item,
	}, nil
}

// damaged is the error of a record that cannot be decoded.
func damaged(item store.Item, err error) error {
	return fmt.Errorf("record %s is damaged: %w", item.Key, err)
}

// ReadInTurn is Read within the limit of reads, on behalf of a question about the job asked. The question
// waits for its turn; if asked is empty, it does not wait. It returns store.ErrBusy if no read is allowed in
// time.
func (j *Jobs) ReadInTurn(ctx context.Context, jobID, asked string) (Job, error) {
	if _, known := j.Recall(jobID); !known && !j.acquire(ctx, asked) {
		return Job{}, store.ErrBusy
	}
	return j.Read(ctx, jobID)
}

// acquire takes one read from the queue for a question about the job asked (empty: without waiting).
func (j *Jobs) acquire(ctx context.Context, asked string) bool {
	if asked == "" {
		return j.Queue.TryAcquire()
	}
	return j.Queue.Acquire(ctx, asked)
}

// DependsOnCancelled returns whether any of the jobs awaits, or a job that they depend on, directly or through
// others, is cancelled: a job that depends on them is then cancelled too, and a controller that answers
// without the leader must not say anything else. It reads on behalf of a question about the job asked, as
// ReadInTurn does, and returns ErrTooDeep after tuning.AwaitsReads jobs.
func (j *Jobs) DependsOnCancelled(ctx context.Context, awaits []string, asked string) (bool, error) {
	visited := map[string]bool{}
	for pending := slices.Clone(awaits); len(pending) > 0; {
		id := pending[0]
		pending = pending[1:]
		if visited[id] {
			continue
		}
		visited[id] = true
		if _, known := j.Recall(id); !known && len(visited) > tuning.MaxDependencyReads {
			return false, ErrTooDeep
		}
		job, err := j.ReadInTurn(ctx, id, asked)
		switch {
		case err != nil:
			return false, err
		case job.Final.State == api.Cancelled:
			return true, nil
		case job.Final.State == "":
			pending = append(pending, job.DependsOn...)
		}
	}
	return false, nil
}

// ForEach calls visit for each of ids with its index, up to tuning.AwaitsAtOnce calls at the same time, and
// returns when all calls have returned.
func ForEach(ids []string, visit func(i int, id string)) {
	slots := make(chan struct{}, tuning.DependencyLookups)
	var calls sync.WaitGroup
	for i, id := range ids {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			visit(i, id)
		})
	}
	calls.Wait()
}
