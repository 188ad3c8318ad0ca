package controller

import (
	"context"
	"fmt"
	"sync"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/scheduler"
	"switchferry/store"
	"switchferry/tuning"
)

// datasetCache keeps the records of datasets that were read lately. At most tuning.DatasetsLimit are kept.
type datasetCache struct {
	clock  clockwork.Clock
	client *store.Client
	// readLimiter is the controller's share of reads for requests of users.
	readLimiter *rate.Limiter

	// mu guards entries, by name.
	mu      sync.Mutex
	entries map[string]*dataset.Entry
}

// newDatasetCache returns an empty cache.
func newDatasetCache(clock clockwork.Clock, client *store.Client, readLimiter *rate.Limiter) *datasetCache {
	return &datasetCache{clock: clock, client: client, readLimiter: readLimiter, entries: map[string]*dataset.Entry{}}
}

// lookUp returns a registered dataset, from memory or the state service. The error is store.ErrNotFound if there is
// none, and store.ErrBusy if this controller's share of reads is used up.
func (c *datasetCache) lookUp(ctx context.Context, name string) (*dataset.Entry, error) {
	c.mu.Lock()
	entry := c.entries[name]
	c.mu.Unlock()
	if entry != nil {
		return entry, nil
	}
	if !dataset.ValidName(name) {
		return nil, store.ErrNotFound
	}
	if !c.readLimiter.AllowN(c.clock.Now(), 1) {
		return nil, store.ErrBusy
	}
	item, err := c.client.Get(ctx, store.DatasetKey(name))
	if err != nil {
		return nil, err
	}
	if entry, err = scheduler.DecodeDataset(&item); err != nil {
		return nil, fmt.Errorf("record %s is damaged: %w", item.Key, err)
	}
	c.add(entry)
	return entry, nil
}

// add keeps a dataset, unless a newer record of it is there already.
func (c *datasetCache) add(entry *dataset.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.entries[entry.Name]; old != nil && old.Stamp > entry.Stamp {
		return
	}
	if len(c.entries) >= tuning.DatasetsLimit {
		// Any entry can be dropped: it is read again when it is needed.
		for name := range c.entries {
			delete(c.entries, name)
			break
		}
	}
	c.entries[entry.Name] = entry
}

// evict has the datasets of a job read again when they are next looked up.
func (c *datasetCache) evict(submission *api.Submission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, input := range submission.Inputs {
		delete(c.entries, input.Dataset)
	}
}
