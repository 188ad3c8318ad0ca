// Package inbox takes in what controllers have stored for the leader while they did not reach it: jobs that they accepted
// and requests to cancel jobs.
package inbox

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"

	"github.com/jonboulle/clockwork"

	"switchferry/scheduler"
	"switchferry/store"
	"switchferry/tuning"
)

// Follower takes in the inbox during one term. It is used by one goroutine.
type Follower struct {
	clock     clockwork.Clock
	client    *store.Client
	scheduler *scheduler.Scheduler
	committer *store.Committer
	// after is the revision up to which the inbox was read.
	after uint64
	// listAll is set while the whole inbox is to be read, instead of what is new in it.
	listAll bool
	// pending are the keys that were read and are still to be taken in.
	pending []string
}

// NewFollower returns a follower for the scheduler of a term, whose records were read up to a revision.
func NewFollower(clock clockwork.Clock, client *store.Client, sched *scheduler.Scheduler, committer *store.Committer, after uint64) *Follower {
	return &Follower{clock: clock, client: client, scheduler: sched, committer: committer, after: after, listAll: true}
}

// Run takes in the inbox until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.read(ctx); err != nil {
			f.listAll = f.listAll || errors.Is(err, store.ErrCompacted)
			select {
			case <-ctx.Done():
			case <-f.clock.After(tuning.ElectRetry):
			}
			continue
		}
		f.takePending(ctx)
	}
}

// read adds to the pending keys all of the inbox, or, after the first time, what is new in it; it waits for that, but not for
// long while keys are pending. The error is store.ErrCompacted if what is new can no longer be told.
func (f *Follower) read(ctx context.Context) error {
	if f.listAll {
		items, revision, err := f.client.List(ctx, store.InboxPrefix)
		for _, item := range items {
			f.pending = append(f.pending, item.Key)
		}
		if err != nil {
			return err
		}
		f.listAll, f.after = false, max(f.after, revision)
		return nil
	}
	wait := tuning.InboxBlock
	if len(f.pending) > 0 {
		wait = tuning.ElectRetry
	}
	events, revision, err := f.client.Watch(ctx, store.InboxPrefix, f.after, wait)
	if err != nil {
		return err
	}
	f.after = max(f.after, revision)
	for _, event := range events {
		if event.Set != "" {
			f.pending = append(f.pending, event.Set)
		}
	}
	return nil
}

// takePending takes in the pending keys; those that could not be read stay pending.
func (f *Follower) takePending(ctx context.Context) {
	f.pending = slices.DeleteFunc(f.pending, func(key string) bool { return f.take(ctx, key) })
	if len(f.pending) == 0 {
		f.scheduler.InboxSeen(f.after)
	}
}

// take takes in one key of the inbox and has it removed. It reports whether the key is done with, or has to be looked at
// again: a job that was passed over here once was accepted, and ran only after its user had asked for it.
func (f *Follower) take(ctx context.Context, key string) (done bool) {
	id := strings.TrimPrefix(key, store.InboxPrefix)
	sentAt := f.clock.Now()
	job, err := f.client.Get(ctx, store.JobKey(id))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	if err == nil && f.scheduler.AdoptJob(&job, sentAt) == scheduler.ReadOutdated {
		return false
	}
	entry, err := f.client.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return true
	}
	if err != nil {
		return false
	}
	var record store.InboxRecord
	if json.Unmarshal(entry.Value, &record) == nil && record.Cancel {
		f.scheduler.Cancel(ctx, id)
	}
	f.committer.SetRevision(key, entry.Revision)
	f.committer.MarkDirty(key, store.Lazy, nil)
	return true
}
