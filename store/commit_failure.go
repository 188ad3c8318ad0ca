package store

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
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

// handleFailure prepares the next attempt after a transaction failed with an err other than ErrConflict and
// ErrInvalidRequest, and returns the delay before it.
func (c *Committer) handleFailure(ctx context.Context, transaction *pendingTransaction, err error) time.Duration {
	switch {
	case errors.Is(err, ErrRateLimited):
		c.lowerRate()
		return retryDelay
	case errors.Is(err, ErrBusy):
		return retryDelay
	case errors.Is(err, ErrOutcomeUnknown):
		slog.Info("commit outcome unknown, reading keys back", "err", err)
		c.resolveUnknownOutcome(ctx, transaction)
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

// resolveUnknownOutcome reads the keys that a transaction writes, since it may have been executed. If it is executed
// later, the next attempt fails with a conflict. A key that was expected not to exist, and exists, was written by another
// process or by this transaction; it is passed to the source, which distinguishes the two cases.
func (c *Committer) resolveUnknownOutcome(ctx context.Context, transaction *pendingTransaction) {
	keys := make([]string, len(transaction.operations))
	for i, operation := range transaction.operations {
		keys[i] = operation.key()
	}
	items, errs := c.readKeys(ctx, keys)
	for i, key := range keys {
		c.recordRead(transaction, key, items[i], errs[i])
		if errs[i] == nil && slices.Contains(transaction.conditions, Condition{Key: key, Revision: 0}) {
			c.source.Conflict(key, &items[i])
		}
	}
}

// readKeys reads keys. The reads are concurrent because urgent records wait for them.
func (c *Committer) readKeys(ctx context.Context, keys []string) ([]Item, []error) {
	items := make([]Item, len(keys))
	errs := make([]error, len(keys))
	var reads sync.WaitGroup
	for i, key := range keys {
		reads.Go(func() { items[i], errs[i] = c.hedged.Get(ctx, key) })
	}
	reads.Wait()
	return items, errs
}

// recordRead records the revision of a key that was read after a transaction failed. The revision of a final record is
// recorded only if the transaction writes it: the number of jobs that are over is not bounded.
func (c *Committer) recordRead(transaction *pendingTransaction, key string, item Item, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case errors.Is(err, ErrNotFound):
		delete(c.revisions, key)
	case err != nil:
	case strings.HasPrefix(key, FinalPrefix) && !transaction.writes(key):
	default:
		c.revisions[key] = item.Revision
	}
}
