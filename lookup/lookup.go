// Package lookup answers status requests for jobs from their records in the state service, on a controller that does
// not have the jobs in memory: one that cannot reach the leader, or a new leader that does not know yet which jobs
// reached a terminal state before its term.
//
// FairQueue limits the rate of reads and shares them among the requests. TerminalStates caches the final records of
// archived jobs, and Notifications the terminal states that were sent to users.
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

// ErrTooManyDependencies is returned if a job depends, directly or indirectly, on so many jobs that looking for a
// cancelled one among them would exceed tuning.MaxDependencyReads.
var ErrTooManyDependencies = errors.New("too many dependencies of the job to examine without the leader")

// Jobs reads the records of jobs from the state service. Its methods are safe for concurrent use if CachedFinal and
// CacheFinal are.
type Jobs struct {
	Client *store.Client
	// CachedFinal returns the cached final record of an archived job, and whether there is one.
	CachedFinal func(id string) (store.FinalRecord, bool)
	// CacheFinal is called with every final record that is read, so that it can be cached.
	CacheFinal func(id string, f store.FinalRecord)
	// Queue limits the reads of ReadQueued and shares them among the status requests.
	Queue *FairQueue
}

// Job is the state of a job according to its records.
type Job struct {
	// Found is false if the job was never accepted.
	Found   bool
	Service bool
	// Final is the final record of the job. Its State is empty if the job's own records show no terminal state; the job
	// may still be cancelled through a dependency.
	Final store.FinalRecord
	// DependsOn holds the IDs of the jobs on which the job depends directly. It is empty once the job is archived.
	DependsOn []string
	// Record is the item that holds the job's JobRecord, nil once the job is archived.
	Record *store.Item
}

// Read reads a job. It reads the JobRecord before the final record, because the final record is written before the
// JobRecord is deleted. It returns an error if the state service returns one or if a record cannot be decoded.
func (j *Jobs) Read(ctx context.Context, jobID string) (Job, error) {
	if final, ok := j.CachedFinal(jobID); ok {
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

// ReadArchived reads the final record of a job and passes it to CacheFinal. Its errors are those of Read.
func (j *Jobs) ReadArchived(ctx context.Context, jobID string) (Job, error) {
	item, err := j.Client.Get(ctx, store.FinalKey(jobID))
	switch {
	case errors.Is(err, store.ErrNotFound):
		return Job{}, nil
	case err != nil:
		return Job{}, fmt.Errorf("reading the final record of job %s: %w", jobID, err)
	}
	var final store.FinalRecord
	if err := json.Unmarshal(item.Value, &final); err != nil {
		return Job{}, damagedRecordError(item, err)
	}
	j.CacheFinal(jobID, final)
	return archivedJob(final), nil
}

// archivedJob returns the Job for a final record.
func archivedJob(final store.FinalRecord) Job {
	return Job{Found: true, Service: final.Service, Final: final}
}

// decodeJob returns the Job for an item that holds a JobRecord.
func decodeJob(item store.Item) (Job, error) {
	var record store.JobRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return Job{}, damagedRecordError(item, err)
	}
	return Job{
		Found:     true,
		Service:   record.Job.Shape == api.Service,
		Final:     store.FinalRecord{State: record.FinalState},
		DependsOn: record.Job.Awaits,
		Record:    &item,
	}, nil
}

// damagedRecordError returns the error for a record that cannot be decoded.
func damagedRecordError(item store.Item, err error) error {
	return fmt.Errorf("record %s is damaged: %w", item.Key, err)
}

// ReadQueued is Read within the rate limit of Queue, on behalf of a status request for the job queriedID. It waits
// until the queue grants a read; if queriedID is empty, it does not wait. It returns store.ErrBusy if no read is
// granted in time. A cached final record needs no read.
func (j *Jobs) ReadQueued(ctx context.Context, jobID, queriedID string) (Job, error) {
	if _, cached := j.CachedFinal(jobID); !cached && !j.acquire(ctx, queriedID) {
		return Job{}, store.ErrBusy
	}
	return j.Read(ctx, jobID)
}

// acquire takes one read from the queue for a status request for the job queriedID. If queriedID is empty, it does not
// wait.
func (j *Jobs) acquire(ctx context.Context, queriedID string) bool {
	if queriedID == "" {
		return j.Queue.TryAcquire()
	}
	return j.Queue.Acquire(ctx, queriedID)
}

// DependsOnCancelled returns whether any of the dependencies of a job, or of the jobs on which these depend directly or
// indirectly, is cancelled. The job is then cancelled too, and a controller that answers without the leader must report
// that state. The jobs are read with ReadQueued on behalf of a status request for the job queriedID. The error is
// ErrTooManyDependencies if a job has to be read after tuning.MaxDependencyReads jobs were examined.
func (j *Jobs) DependsOnCancelled(ctx context.Context, dependencies []string, queriedID string) (bool, error) {
	visited := map[string]bool{}
	for pending := slices.Clone(dependencies); len(pending) > 0; {
		id := pending[0]
		pending = pending[1:]
		if visited[id] {
			continue
		}
		visited[id] = true
		if _, cached := j.CachedFinal(id); !cached && len(visited) > tuning.MaxDependencyReads {
			return false, ErrTooManyDependencies
		}
		job, err := j.ReadQueued(ctx, id, queriedID)
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

// ForEach calls visit for each of ids with its index, in up to tuning.MaxConcurrentLookups concurrent calls, and
// returns when all calls have returned.
func ForEach(ids []string, visit func(i int, id string)) {
	slots := make(chan struct{}, tuning.MaxConcurrentLookups)
	var running sync.WaitGroup
	for i, id := range ids {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			visit(i, id)
		})
	}
	running.Wait()
}
