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
	// retryDelay is the wait after a commit that was refused for the load or whose outcome is unknown.
	retryDelay = 100 * time.Millisecond
	// unexpectedRetryDelay is the wait after a commit that failed in a way the protocol does not define.
	unexpectedRetryDelay = time.Second
)

// handleFailure prepares the next attempt after a transaction failed with err, and returns how long
// to wait before it. failedKeys are the keys whose conditions did not hold.
func (c *Committer) handleFailure(ctx context.Context, transaction *pendingTransaction, failedKeys []string, err error) time.Duration {
	switch {
	case errors.Is(err, ErrRateLimited):
		c.lowerRate()
		return retryDelay
	case errors.Is(err, ErrBusy):
		return retryDelay
	case errors.Is(err, ErrConflict):
		if slices.Contains(failedKeys, transaction.leader.Key) {
			c.source.Deposed()
			return tuning.Tick
		}
		c.refreshRevisions(ctx, failedKeys, true)
		return 0
	case errors.Is(err, ErrOutcomeUnknown):
		// The transaction may have been executed, or may be later: read the revisions of its
		// keys. Should it be executed after that, the next attempt fails.
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

// lowerRate applies the announced rate after changes were refused for their rate. The announcement
// is of one lasting reduction, so the former rate is not tried again in this term.
func (c *Committer) lowerRate() {
	if c.announcedRate == 0 || c.limiter.Limit() <= c.announcedRate {
		return
	}
	slog.Info("write rate lowered to the announced limit", "from", float64(c.limiter.Limit()), "to", float64(c.announcedRate))
	now := c.clock.Now()
	c.limiter.SetLimitAt(now, c.announcedRate)
	c.limiter.SetBurstAt(now, max(1, int(c.announcedRate)))
}

// quarantine defers a record that the state service does not take, so that it does not block all
// others: one that was too large did, again every second (docs/incidents/fleet-relay-too-long.md).
// Its callbacks keep waiting.
func (c *Committer) quarantine(record *pendingRecord, err error) {
	slog.Error("record quarantined", "key", record.key, "again_in", tuning.QuarantineTime, "err", err)
	record.quarantinedUntil = c.clock.Now().Add(tuning.QuarantineTime)
	record.isolated = true
	c.requeue([]*pendingRecord{record})
}

// isolateRecords finds out for which record a transaction was refused: each is tried alone, and the
// one that is refused alone is quarantined.
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

// refreshRevisions reads the revisions of keys, all at once since urgent records wait meanwhile.
// conflict is true if the keys are known to have other revisions than expected.
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

// applyRead records the revision of a key that was read, and reports a value to the source that this
// committer did not knowingly write.
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
	// A key that was unknown and exists was written by another process, or by an attempt of
	// ours whose response was lost; the source decides which.
	changed := !known || knownRevision != item.Revision
	if found != nil && changed && (conflict || !known) {
		c.source.Conflict(key, found)
	}
}
