package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"

	"switchferry/dataset"
	"switchferry/internal/sleep"
	"switchferry/scheduler"
	"switchferry/store"
	"switchferry/tuning"
)

// followDatasets passes datasets that any controller registers or changes after a revision to the scheduler, until the
// context ends.
func (t *leaderTerm) followDatasets(ctx context.Context, after uint64) {
	for ctx.Err() == nil {
		events, revision, err := t.controller.client.Watch(ctx, store.DatasetPrefix, after, tuning.InboxWatchTimeout)
		if errors.Is(err, store.ErrCompacted) {
			revision, err = t.loadDatasets(ctx)
			events = nil
		}
		if err != nil {
			sleep.For(ctx, t.controller.clock, tuning.ErrorRetryDelay)
			continue
		}
		for _, event := range events {
			item := store.Item{Key: event.Set, Value: event.Value, Revision: event.Revision}
			if entry, err := scheduler.DecodeDataset(&item); event.Set != "" && err == nil {
				t.scheduler.AddDatasets(entry)
				t.controller.datasets.cache.add(entry)
			}
		}
		after = max(after, revision)
	}
}

// loadDatasets reads all datasets, passes them to the scheduler, and returns the revision at which they were read.
func (t *leaderTerm) loadDatasets(ctx context.Context) (uint64, error) {
	items, revision, err := t.controller.client.List(ctx, store.DatasetPrefix)
	if err != nil {
		return 0, fmt.Errorf("list datasets: %w", err)
	}
	var datasets []*dataset.Entry
	for index := range items {
		entry, err := scheduler.DecodeDataset(&items[index])
		if err != nil {
			slog.Error("corrupt dataset record", "key", items[index].Key, "err", err)
			continue
		}
		datasets = append(datasets, entry)
	}
	t.scheduler.AddDatasets(datasets...)
	return revision, nil
}
