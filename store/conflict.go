package store

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"switchferry/tuning"
)

// handleConflict prepares the next attempt after conditions of a transaction did not hold, and returns the delay before
// it. The other records of the transaction are retried first, without any that were not tried yet: in a stream of records
// with a fresh conflict each, they would otherwise fail again and again. The records whose conditions failed are retried at
// once for a few times, since what is read after the conflict usually resolves it, and are then deferred.
func (c *Committer) handleConflict(ctx context.Context, transaction *pendingTransaction, failedKeys []string) time.Duration {
	if slices.Contains(failedKeys, transaction.leaderCondition.Key) {
		c.requeue(transaction.records)
		c.source.Deposed()
		return tuning.PlacementInterval
	}
	for _, record := range transaction.records {
		record.retryFirst = true
	}
	for _, record := range transaction.recordsWithCondition(failedKeys) {
		record.retryFirst = false
		c.countConflict(record, failedKeys)
	}
	c.requeue(transaction.records)
	return c.resolveConflict(ctx, transaction, failedKeys)
}

// recordsWithCondition returns the records of a transaction that depend on a condition on any of the keys, or all records
// if none does: the state service may not say which condition failed.
func (t *pendingTransaction) recordsWithCondition(keys []string) []*pendingRecord {
	var records []*pendingRecord
	for _, record := range t.records {
		if slices.ContainsFunc(record.conditions, func(condition Condition) bool { return slices.Contains(keys, condition.Key) }) {
			records = append(records, record)
		}
	}
	if len(records) == 0 {
		return t.records
	}
	return records
}

// countConflict counts a conflict of a record. From the one after tuning.MaxConflictRetries on, it defers the record, each
// time for twice as long, and has it written in a transaction of its own. In docs/incidents/leader-stopped-storing.md, a
// record whose condition never held was retried without a pause and blocked all others.
func (c *Committer) countConflict(record *pendingRecord, failedKeys []string) {
	record.conflicts++
	deferrals := record.conflicts - tuning.MaxConflictRetries
	if deferrals <= 0 {
		return
	}
	delay := conflictBackoff(deferrals)
	record.isolated = true
	record.quarantinedUntil = c.clock.Now().Add(delay)
	slog.Error("record deferred after conflicts", "key", record.key, "conflicts", record.conflicts, "failed", failedKeys, "again_in", delay)
}

// conflictBackoff returns for how long a record is deferred for the nth time, from 1 on: retryDelay, doubled each time up to
// tuning.QuarantineTime.
func conflictBackoff(n int) time.Duration {
	delay := retryDelay
	for ; n > 1 && delay < tuning.QuarantineTime; n-- {
		delay *= 2
	}
	return min(delay, tuning.QuarantineTime)
}

// resolveConflict reads the keys whose conditions did not hold, and passes to the source each value that a condition did
// not expect. The conditions of the transaction decide, not the revisions that the committer knows: another goroutine, or
// an earlier conflict, may have made a revision known without the record that depends on it having changed. The delay
// before the next attempt is returned; it is not 0 if a key could not be read.
func (c *Committer) resolveConflict(ctx context.Context, transaction *pendingTransaction, failedKeys []string) time.Duration {
	delay := time.Duration(0)
	items, errs := c.readKeys(ctx, failedKeys)
	for i, key := range failedKeys {
		c.recordRead(transaction, key, items[i], errs[i])
		if errs[i] == nil && transaction.expectsOtherThan(key, items[i].Revision) {
			c.source.Conflict(key, &items[i])
		}
		if errs[i] != nil && !errors.Is(errs[i], ErrNotFound) {
			delay = retryDelay
		}
	}
	return delay
}
