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
func (j *Jobs) Read(ctx context.Context, id string) (x Job, err error) {
	if f, ok := j.Recall(id); ok {
		return Job{Found: true, Final: f, Service: f.Service}, nil
	}
	it, err := j.Client.Get(ctx, store.JobKey(id))
	if err == nil {
		var rec store.JobRecord
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			return x, fmt.Errorf("record %s is damaged: %w", it.Key, err)
		}
		return Job{true, rec.Job.Shape == api.Service, store.FinalRecord{State: rec.FinalState}, rec.Job.Awaits, &it}, nil
	}
	if !errors.Is(err, store.ErrNotFound) {
		return x, err
	}
	it, err = j.Client.Get(ctx, store.FinalKey(id))
	if errors.Is(err, store.ErrNotFound) {
		return x, nil
	}
	var f store.FinalRecord
	if err == nil {
		err = json.Unmarshal(it.Value, &f)
	}
	if err != nil {
		return x, err
	}
	j.Remember(id, f)
	return Job{Found: true, Final: f, Service: f.Service}, nil
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
	for todo := slices.Clone(awaits); len(todo) > 0; {
		id := todo[0]
		todo = todo[1:]
		if seen[id] {
			continue
		}
		seen[id] = true
		if _, ok := j.Recall(id); !ok && len(seen) > tuning.AwaitsReads {
			return false, ErrTooDeep
		}
		x, err := j.ReadInTurn(ctx, id, asked)
		switch {
		case err != nil:
			return false, err
		case x.Final.State == api.Cancelled:
			return true, nil
		case x.Final.State == "":
			todo = append(todo, x.Awaits...)
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
