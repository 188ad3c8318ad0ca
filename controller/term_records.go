package controller

import (
	"context"
	"fmt"
	"log/slog"

	"switchferry/internal/sleep"
	"switchferry/store"
	"switchferry/tuning"
)

// loadedRevisions holds the revisions of the state service up to which a new leader has read records.
type loadedRevisions struct {
	// jobs is the revision from which to continue reading the inbox and relayed heartbeats.
	jobs uint64
	// datasets is the revision from which to continue reading datasets.
	datasets uint64
}

// loadWithRetry reads all records that a new leader needs, and retries until it succeeds or the context ends.
func (t *leaderTerm) loadWithRetry(ctx context.Context) loadedRevisions {
	for ctx.Err() == nil {
		if loaded, ok := t.load(ctx); ok {
			return loaded
		}
		sleep.For(ctx, t.controller.clock, tuning.ErrorRetryDelay)
	}
	return loadedRevisions{}
}

// load reads the configuration, the datasets and the job records, in this order. It logs the first error and returns
// false.
func (t *leaderTerm) load(ctx context.Context) (loaded loadedRevisions, ok bool) {
	if t.applier != nil {
		// A configuration that was read before this term may be older than the last one that the previous leader applied.
		if err := t.applier.Load(ctx); err != nil {
			slog.Error("configuration not read", "err", err)
			return loaded, false
		}
	}
	var err error
	if t.controller.features.data.On {
		if loaded.datasets, err = t.loadDatasets(ctx); err != nil {
			slog.Error("datasets not read", "err", err)
			return loaded, false
		}
	}
	if loaded.jobs, err = t.loadJobs(ctx); err != nil {
		slog.Error("records not read", "err", err)
		return loaded, false
	}
	return loaded, true
}

// loadJobs passes the job records to the scheduler, together with hints of the previous leader about the locations of
// images and replicas, which may be missing. It returns the revision at which the jobs were listed.
func (t *leaderTerm) loadJobs(ctx context.Context) (revision uint64, err error) {
	client, requestedAt := t.controller.client, t.controller.clock.Now()
	jobs, revision, err := client.List(ctx, store.JobPrefix)
	if err != nil {
		return 0, fmt.Errorf("list jobs: %w", err)
	}
	shards, _, err := client.List(ctx, store.ShardPrefix)
	if err != nil {
		return 0, fmt.Errorf("list shards: %w", err)
	}
	if images, ok := t.listHints(ctx, store.ImagesPrefix); ok {
		t.scheduler.LoadImageHints(images)
	}
	if t.controller.features.data.On {
		if replicas, ok := t.listHints(ctx, store.ReplicasPrefix); ok {
			t.scheduler.LoadReplicaHints(replicas)
		}
	}
	slog.Info("records read", "term", t.scheduler.Term(), "revision", revision, "jobs", len(jobs), "shards", len(shards), "in", t.controller.clock.Since(requestedAt))
	t.setRevisions(jobs)
	t.setRevisions(shards)
	t.scheduler.Load(jobs, shards)
	t.controller.leases.loadedTerm.Store(t.scheduler.Term())
	return revision, nil
}

// listHints reads optional records; ok is false if they could not be read.
func (t *leaderTerm) listHints(ctx context.Context, prefix string) (items []store.Item, ok bool) {
	items, _, err := t.controller.client.List(ctx, prefix)
	if err != nil {
		return nil, false
	}
	t.setRevisions(items)
	return items, true
}

// setRevisions passes the revisions at which records were read to the committer.
func (t *leaderTerm) setRevisions(items []store.Item) {
	for _, item := range items {
		t.committer.SetRevision(item.Key, item.Revision)
	}
}
