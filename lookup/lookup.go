// Package lookup reads what the records tell of jobs, for whoever does not have them in memory: a
// controller that answers without the leader, and a new leader that has yet to learn what was over
// before its term.
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

// ErrTooDeep means: more jobs stand before one than are looked at to answer a question.
var ErrTooDeep = errors.New("too many jobs before this one to look at without the leader")

// Jobs reads jobs' records. Its functions are safe for use from several goroutines at once if what it
// is made of is.
type Jobs struct {
	Client *store.Client
	// Recall is what is remembered of a job that is over, Remember remembers it.
	Recall   func(id string) (store.FinalRecord, bool)
	Remember func(id string, f store.FinalRecord)
	// Queue shares the reads among questions.
	Queue *FairQueue
}

// Job is what the records tell of a job.
type Job struct {
	Found, Service bool
	// Final has no state while the job is not over by its own records; Awaits are then what it
	// waits for itself.
	Final  store.FinalRecord
	Awaits []string
	// Record is its own record, while it has one.
	Record *store.Item
}

// Read reads a job: its own key first, since the final one is written before that goes. The error
// is that of the state service, or names a damaged record.
func (j *Jobs) Read(ctx context.Context, id string) (job Job, err error) {
	if final, ok := j.Recall(id); ok {
		return Job{Found: true, Final: final, Service: final.Service}, nil
	}
	item, err := j.Client.Get(ctx, store.JobKey(id))
	if err == nil {
		var record store.JobRecord
		if err := json.Unmarshal(item.Value, &record); err != nil {
			return job, fmt.Errorf("record %s is damaged: %w", item.Key, err)
		}
		return Job{true, record.Job.Shape == api.Service, store.FinalRecord{State: record.FinalState}, record.Job.Awaits, &item}, nil
	}
	if !errors.Is(err, store.ErrNotFound) {
		return job, err
	}
	item, err = j.Client.Get(ctx, store.FinalKey(id))
	if errors.Is(err, store.ErrNotFound) {
		return job, nil
	}
	var final store.FinalRecord
	if err == nil {
		err = json.Unmarshal(item.Value, &final)
	}
	if err != nil {
		return job, err
	}
	j.Remember(id, final)
	return Job{Found: true, Final: final, Service: final.Service}, nil
}

// ReadInTurn is Read for a question about the job asked, which waits for its turn; without one it does not
// wait. It is store.ErrBusy where nothing more may be read for it in time.
func (j *Jobs) ReadInTurn(ctx context.Context, id, asked string) (Job, error) {
	if _, ok := j.Recall(id); !ok && !(asked == "" && j.Queue.TryAcquire() || asked != "" && j.Queue.Acquire(ctx, asked)) {
		return Job{}, store.ErrBusy
	}
	return j.Read(ctx, id)
}

// DependsOnCancelled tells, from the records alone, whether one of the jobs that a job awaits is cancelled,
// itself or through others: whoever answers without the leader must not call the job anything
// else. Asked is as for Ask. It is store.ErrBusy where no more may be read, ErrTooDeep after tuning.AwaitsReads.
func (j *Jobs) DependsOnCancelled(ctx context.Context, awaits []string, asked string) (bool, error) {
	seen := map[string]bool{}
	for pending := slices.Clone(awaits); len(pending) > 0; {
		id := pending[0]
		pending = pending[1:]
		if seen[id] {
			continue
		}
		seen[id] = true
		if _, ok := j.Recall(id); !ok && len(seen) > tuning.AwaitsReads {
			return false, ErrTooDeep
		}
		job, err := j.ReadInTurn(ctx, id, asked)
		switch {
		case err != nil:
			return false, err
		case job.Final.State == api.Cancelled:
			return true, nil
		case job.Final.State == "":
			pending = append(pending, job.Awaits...)
		}
	}
	return false, nil
}

// ForEach calls f for all ids, tuning.AwaitsAtOnce at once, and waits for all.
func ForEach(ids []string, f func(i int, id string)) {
	slots := make(chan struct{}, tuning.AwaitsAtOnce)
	var all sync.WaitGroup
	for i, id := range ids {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			f(i, id)
		})
	}
	all.Wait()
}
