package store

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"switchferry/tuning"
)

const (
	// retryDelay is the delay before the next attempt after a commit that was refused because of the load or
	// whose outcome is unknown.
	retryDelay = 100 * time.Millisecond
	// unexpectedRetryDelay is the delay before the next attempt after an error that the protocol does not define.
	unexpectedRetryDelay = time.Second
)

// handleFailure prepares the next attempt after a transaction failed with err, and returns the delay before it.
// failedKeys has the keys whose conditions did not hold.
func (c *Committer) handleFailure(ctx context.Context, transaction *pendingTransaction, failedKeys []string, err error) time.Duration {
	switch {
	case errors.Is(err, ErrRateLimited):
		c.lowerRate()
		return retryDelay
	case errors.Is(err, ErrBusy):
		return retryDelay
	case errors.Is(err, ErrConflict):
		if slices.Contains(failedKeys, transaction.leaderCondition.Key) {
			c.source.Deposed()
			return tuning.PlacementInterval
		}
		c.refreshRevisions(ctx, failedKeys, true)
		return 0
	case errors.Is(err, ErrOutcomeUnknown):
		// The transaction may have been executed, or may still be executed later, so the revisions of its keys
		// are read. If it is executed after that, the next attempt fails with a conflict.
		slog.Info("commit outcome unknown, reading keys back", "err", err)
		keys := make([]string, len(transaction.operations))
		for i, operation := range transaction.operations {
			keys[i] = operation.key()
		}
		c.refreshRevisions(ctx, keys, false)
		return retryDelay
	}
	slog.Error("commit failed", "err", err)
	return unexpectedRetryDelay
}

// lowerRate sets the write limit to the announced rate after changes were refused because of their rate. The
// announced reduction is permanent, so the previous rate is not tried again in this term.
func (c *Committer) lowerRate() {
	if c.announcedRate == 0 || c.writeLimiter.Limit() <= c.announcedRate {
		return
	}
	slog.Info("write rate lowered to the announced limit", "from", float64(c.writeLimiter.Limit()), "to", float64(c.announcedRate))
	now := c.clock.Now()
	c.writeLimiter.SetLimitAt(now, c.announcedRate)
	c.writeLimiter.SetBurstAt(now, max(1, int(c.announcedRate)))
}

// quarantine defers a record that the state service does not accept, so that it does not block all others. In
// docs/incidents/fleet-relay-too-long.md, a record that was too large was retried every second and blocked all
// others. The callbacks of the record stay pending.
func (c *Committer) quarantine(record *pendingRecord, err error) {
	slog.Error("record quarantined", "key", record.key, "again_in", tuning.QuarantineTime, "err", err)
	record.quarantinedUntil = c.clock.Now().Add(tuning.QuarantineTime)
	record.isolated = true
	c.requeue([]*pendingRecord{record})
}

// isolateRecords is called after a transaction was rejected, to identify the record that caused it. It requeues
// each record for a transaction of its own; a record that is rejected alone is quarantined.
func (c *Committer) isolateRecords(batch []*pendingRecord, err error) {
	if len(batch) == 1 {
		c.quarantine(batch[0], err)
		return
	}
	slog.Error("transaction rejected, retrying its records one by one", "records", len(batch), "err", err)
	for _, record := range batch {
		record.isolated = true
	}
	c.requeue(batch)
}

// refreshRevisions reads the revisions of keys. The reads are concurrent because urgent records wait for them.
// conflict is true if the revisions of the keys are known to differ from the expected ones.
func (c *Committer) refreshRevisions(ctx context.Context, keys []string, conflict bool) {
	items := make([]Item, len(keys))
	errs := make([]error, len(keys))
	var reads sync.WaitGroup
	for i, key := range keys {
		reads.Go(func() { items[i], errs[i] = c.hedged.Get(ctx, key) })
	}
	reads.Wait()
	for i, key := range keys {
		c.applyRead(key, items[i], errs[i], conflict)
	}
}

// applyRead records the revision of a key that was read. It reports the value to the source if this committer is
// not known to have written it.
func (c *Committer) applyRead(key string, item Item, err error, conflict bool) {
	var found *Item
	c.mu.Lock()
	knownRevision, known := c.revisions[key]
	switch {
	case err == nil:
		found = &item
		c.revisions[key] = item.Revision
	case errors.Is(err, ErrNotFound):
		delete(c.revisions, key)
	}
	c.mu.Unlock()
	// A key that was unknown and exists was written by another process, or by a transaction of this committer
	// whose response was lost. The source distinguishes the two cases.
	changed := !known || knownRevision != item.Revision
	if found != nil && changed && (conflict || !known) {
		c.source.Conflict(key, found)
	}
}
