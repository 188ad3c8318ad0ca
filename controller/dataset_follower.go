package controller

import (
	"context"
	"errors"
	"log/slog"

	"switchferry/dataset"
	"switchferry/scheduler"
	"switchferry/store"
	"switchferry/tuning"
)

// followDatasets has the scheduler know of datasets that any controller registers after a revision, until the context
// ends.
func (t *leaderTerm) followDatasets(ctx context.Context, after uint64) {
	for ctx.Err() == nil {
		log, epoch, err := t.controller.client.Watch(ctx, store.DatasetPrefix, after, tuning.InboxBlock)
		if errors.Is(err, store.ErrCompacted) {
			epoch, err = t.loadDatasets(ctx)
			log = nil
		}
		if err != nil {
			sleep(ctx, t.controller.clock, tuning.ElectRetry)
			continue
		}
		for _, event := range log {
			item := store.Item{Key: event.Set, Value: event.Value, Revision: event.Revision}
			if entry, err := scheduler.DecodeDataset(&item); event.Set != "" && err == nil {
				t.scheduler.AddDatasets(entry)
				t.controller.datasets.cache.add(entry)
			}
		}
		after = max(after, epoch)
	}
}

// loadDatasets has the scheduler know of all datasets, and returns the revision up to which they were read.
func (t *leaderTerm) loadDatasets(ctx context.Context) (uint64, error) {
	items, epoch, err := t.controller.client.List(ctx, store.DatasetPrefix)
	if err != nil {
		return 0, err
	}
	var sets []*dataset.Entry
	for i := range items {
		entry, err := scheduler.DecodeDataset(&items[i])
		if err != nil {
			slog.Error("corrupt dataset record", "key", items[i].Key, "err", err)
			continue
		}
		sets = append(sets, entry)
	}
	t.scheduler.AddDatasets(sets...)
	return epoch, nil
}
