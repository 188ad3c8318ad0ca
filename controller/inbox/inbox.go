// Package inbox processes the entries that controllers store for the leader while they cannot reach it: jobs that they
// accepted and requests to cancel jobs.
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

// Follower processes the inbox during one term. It must be used by one goroutine only.
type Follower struct {
	clock     clockwork.Clock
	client    *store.Client
	scheduler *scheduler.Scheduler
	committer *store.Committer
	// after is the revision up to which the inbox has been read.
	after uint64
	// listAll is set if the next read must list the whole inbox instead of watching for new entries.
	listAll bool
	// pending holds the keys that were read and are not processed yet.
	pending []string
}

// NewFollower returns a Follower for the scheduler of a term. After is the revision up to which the scheduler's records
// were read.
func NewFollower(clock clockwork.Clock, client *store.Client, sched *scheduler.Scheduler, committer *store.Committer, after uint64) *Follower {
	return &Follower{clock: clock, client: client, scheduler: sched, committer: committer, after: after, listAll: true}
}

// Run processes the inbox until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.read(ctx); err != nil {
			f.listAll = f.listAll || errors.Is(err, store.ErrCompacted)
			select {
			case <-ctx.Done():
			case <-f.clock.After(tuning.ErrorRetryDelay):
			}
			continue
		}
		f.processPending(ctx)
	}
}

// read adds entries to the pending keys: the whole inbox if listAll is set, and otherwise new entries, for which it
// waits. The wait is short while keys are pending. The error is store.ErrCompacted if the state service no longer has
// the events since the last read.
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
	wait := tuning.InboxWatchTimeout
	if len(f.pending) > 0 {
		wait = tuning.ErrorRetryDelay
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

// processPending processes the pending keys. Keys that could not be read remain pending.
func (f *Follower) processPending(ctx context.Context) {
	f.pending = slices.DeleteFunc(f.pending, func(key string) bool { return f.processKey(ctx, key) })
	if len(f.pending) == 0 {
		f.scheduler.InboxSeen(f.after)
	}
}

// processKey processes one key of the inbox and marks the entry for deletion. It returns false if the key must be
// processed again. A key must not be skipped: an accepted job whose key was skipped used to start only after its user
// had requested its status.
func (f *Follower) processKey(ctx context.Context, key string) (done bool) {
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
