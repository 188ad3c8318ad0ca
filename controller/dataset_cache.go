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

// datasetCache caches the records of up to tuning.MaxDatasets datasets.
type datasetCache struct {
	clock  clockwork.Clock
	client *store.Client
	// readLimiter limits reads for user requests to the controller's share.
	readLimiter *rate.Limiter

	// mu guards entries, which are keyed by the names of the datasets.
	mu      sync.Mutex
	entries map[string]*dataset.Entry
}

// newDatasetCache returns an empty cache.
func newDatasetCache(clock clockwork.Clock, client *store.Client, readLimiter *rate.Limiter) *datasetCache {
	return &datasetCache{clock: clock, client: client, readLimiter: readLimiter, entries: map[string]*dataset.Entry{}}
}

// LookUp returns a registered dataset from the cache or the state service. The error is store.ErrNotFound if there is
// none of that name, and store.ErrBusy if this controller's share of reads is used up.
func (c *datasetCache) LookUp(ctx context.Context, name string) (*dataset.Entry, error) {
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

// add caches a dataset unless a newer record of it is already cached.
func (c *datasetCache) add(entry *dataset.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached := c.entries[entry.Name]; cached != nil && cached.Revision > entry.Revision {
		return
	}
	if len(c.entries) >= tuning.MaxDatasets {
		// Any entry can be evicted: it is read again when needed.
		for name := range c.entries {
			delete(c.entries, name)
			break
		}
	}
	c.entries[entry.Name] = entry
}

// Evict removes the datasets of a job from the cache, so that the next look-up reads them again.
func (c *datasetCache) Evict(submission *api.Submission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, input := range submission.Inputs {
		delete(c.entries, input.Dataset)
	}
}
