package controller

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"

	"switchferry/scheduler"
	"switchferry/store"
	"switchferry/tuning"
)

// inboxFollower takes in the jobs and cancellations that other controllers have stored while they did not reach the
// leader. It is used by one goroutine.
type inboxFollower struct {
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

// followInbox takes in the inbox during a term, from a revision on, until the context ends.
func (t *leaderTerm) followInbox(ctx context.Context, after uint64) {
	follower := &inboxFollower{client: t.controller.client, scheduler: t.scheduler, committer: t.committer, after: after, listAll: true}
	for ctx.Err() == nil {
		if err := follower.read(ctx); err != nil {
			follower.listAll = follower.listAll || errors.Is(err, store.ErrCompacted)
			sleep(ctx, t.controller.clock, tuning.ElectRetry)
			continue
		}
		follower.takePending(ctx)
	}
}

// read adds to the pending keys all of the inbox, or, after the first time, what is new in it; it waits for that, but not for
// long while keys are pending. The error is store.ErrCompacted if what is new can no longer be told.
func (f *inboxFollower) read(ctx context.Context) error {
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
func (f *inboxFollower) takePending(ctx context.Context) {
	f.pending = slices.DeleteFunc(f.pending, func(key string) bool { return f.take(ctx, key) })
	if len(f.pending) == 0 {
		f.scheduler.InboxSeen(f.after)
	}
}

// take takes in one key of the inbox and has it removed. It reports whether the key is done with, or has to be looked at
// again: a job that was passed over here once was accepted, and ran only after its user had asked for it.
func (f *inboxFollower) take(ctx context.Context, key string) (done bool) {
	id := strings.TrimPrefix(key, store.InboxPrefix)
	job, err := f.client.Get(ctx, store.JobKey(id))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	if err == nil && !f.scheduler.HasJob(id) {
		f.committer.SetRevision(job.Key, job.Revision)
		f.scheduler.Conflict(store.JobKey(id), &job)
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
