package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"switchferry/invariant"
	"switchferry/tuning"
)

const (
	// conditionsPerOperation is the number of conditions that a transaction may have per allowed operation.
	conditionsPerOperation = 4
	// conditionOverheadBytes is the size in bytes of an encoded condition without its key.
	conditionOverheadBytes = 40
	// maxTransactionBytes is the maximum estimated size of a transaction in bytes. The state service accepts
	// requests of up to 64 KiB.
	maxTransactionBytes = 48 << 10
)

// Step attempts at most one transaction and returns the time to wait before the next call.
func (c *Committer) Step(ctx context.Context) time.Duration {
	// A batch has no more records than the write limit allows now, so that an urgent record does not wait until
	// the limit allows the less urgent records of its batch as well.
	available := c.writeLimiter.TokensAt(c.clock.Now())
	if available < 1 {
		return c.timeUntilAllowed(1 - available)
	}
	batch, pause := c.takeBatch(available)
	c.lastBatchEmpty = len(batch) == 0
	if c.lastBatchEmpty {
		return pause
	}
	leader, ok := c.source.Condition()
	if !ok {
		c.requeue(batch)
		return tuning.PlacementInterval
	}
	transaction := c.buildTransaction(leader, batch)
	if len(transaction.operations) > 0 {
		if pause, committed := c.commit(ctx, transaction); !committed {
			return pause
		}
	} else {
		c.observeSettled(transaction.records)
	}
	for _, record := range transaction.records {
		record.runCallbacks()
	}
	c.source.Committed()
	return 0
}

// pendingTransaction is one transaction that is being built from pending records.
type pendingTransaction struct {
	leaderCondition Condition
	conditions      []Condition
	operations      []Operation
	// records are the pending records that are stored once the transaction is executed. A record that is already
	// in the requested state has no operation.
	records []*pendingRecord
	// estimatedBytes is the estimated size of the request in bytes.
	estimatedBytes int
}

// add adds an operation and those of its conditions that the transaction does not have yet. If the transaction would
// become too large, add returns false and does not change it. An empty transaction accepts any operation.
func (t *pendingTransaction) add(operation Operation, conditions []Condition, maxConditions int) bool {
	estimatedBytes := t.estimatedBytes
	if value, ok := operation.Value.(json.RawMessage); ok {
		estimatedBytes += len(value)
	}
	merged := t.conditions
	for _, condition := range conditions {
		if !slices.Contains(merged, condition) {
			merged = append(merged, condition)
			estimatedBytes += len(condition.Key) + conditionOverheadBytes
		}
	}
	if (estimatedBytes > maxTransactionBytes || len(merged) > maxConditions) && len(t.operations) > 0 {
		return false
	}
	t.conditions, t.estimatedBytes = merged, estimatedBytes
	t.operations = append(t.operations, operation)
	return true
}

// expectsOtherThan reports whether a condition of the transaction does not hold if a key has the given revision.
func (t *pendingTransaction) expectsOtherThan(key string, revision uint64) bool {
	return slices.ContainsFunc(t.conditions, func(condition Condition) bool {
		return condition.Key == key && condition.Revision != revision
	})
}

// writes reports whether the transaction sets or deletes a key.
func (t *pendingTransaction) writes(key string) bool {
	return slices.ContainsFunc(t.operations, func(operation Operation) bool { return operation.key() == key })
}

// buildTransaction builds a transaction from the records of a batch, as many as fit, and requeues the rest. It
// quarantines records that cannot be encoded or are too large.
func (c *Committer) buildTransaction(leader Condition, batch []*pendingRecord) *pendingTransaction {
	transaction := &pendingTransaction{leaderCondition: leader, conditions: []Condition{leader}}
	for index, record := range batch {
		value, exists, extraConditions := c.source.Record(record.key)
		revision := c.revision(record.key)
		record.conditions = nil
		if !exists && revision == 0 {
			transaction.records = append(transaction.records, record)
			continue
		}
		if !exists && strings.HasPrefix(record.key, FinalPrefix) {
			// Without its final record, a job could be accepted again.
			invariant.Violated("a final record is never deleted", "key", record.key, "revision", revision)
			transaction.records = append(transaction.records, record)
			continue
		}
		operation := Operation{Delete: record.key}
		if exists {
			encoded, err := c.encode(value)
			if err != nil {
				c.quarantine(record, err)
				continue
			}
			operation = Operation{Set: record.key, Value: encoded}
		}
		record.conditions = append([]Condition{{Key: record.key, Revision: revision}}, extraConditions...)
		if !transaction.add(operation, record.conditions, c.maxConditions) {
			c.requeue(batch[index:])
			break
		}
		transaction.records = append(transaction.records, record)
	}
	return transaction
}

// encode encodes a value as JSON. It returns an error if the result exceeds the maximum size of a value.
func (c *Committer) encode(value any) (json.RawMessage, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	if limit := c.valueLimit(); len(encoded) > limit {
		return nil, fmt.Errorf("value of %d bytes exceeds the limit of %d", len(encoded), limit)
	}
	return encoded, nil
}

// commit sends a transaction. If the transaction is not known to be executed, commit requeues its records and returns
// committed false and the time to wait before the next transaction.
func (c *Committer) commit(ctx context.Context, transaction *pendingTransaction) (pause time.Duration, committed bool) {
	c.writeLimiter.AllowN(c.clock.Now(), len(transaction.operations))
	revision, failedKeys, err := c.hedged.Transact(ctx, transaction.conditions, transaction.operations)
	c.countTransaction(transaction.operations, failedKeys, err)
	c.observeResult(resultOf(err), transaction.records)
	switch {
	case errors.Is(err, ErrInvalidRequest):
		c.isolateRecords(transaction.records, err)
		return 0, false
	case errors.Is(err, ErrConflict):
		return c.handleConflict(ctx, transaction, failedKeys), false
	case err != nil:
		c.requeue(transaction.records)
		return c.handleFailure(ctx, transaction, err), false
	}
	c.recordRevisions(transaction.operations, revision)
	return 0, true
}

// recordRevisions records the revision at which operations were executed as that of their keys.
func (c *Committer) recordRevisions(operations []Operation, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, operation := range operations {
		switch {
		case operation.Delete != "":
			delete(c.revisions, operation.Delete)
		case strings.HasPrefix(operation.Set, FinalPrefix):
			// A final record is not written again. If its revision were kept, the memory for them would grow
			// without bound.
			delete(c.revisions, operation.Set)
		default:
			c.revisions[operation.Set] = revision
		}
	}
}

// takeBatch removes the records of the next transaction from the queue; available is the number of changes that the
// write limit allows now. If the batch is empty, pause is the time to wait before the next attempt.
func (c *Committer) takeBatch(available float64) (batch []*pendingRecord, pause time.Duration) {
	limit := batchLimit{
		records:    min(c.maxOperations, int(available)),
		unreserved: int(max(0, available-c.urgentReserve())),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	batch, nextReady, reserved := c.queue.take(c.clock.Now(), limit)
	if reserved {
		// The rest of the write limit is reserved for later records that users wait for. Without the reserve, other
		// records would use up the limit, and each job of a burst of accepted jobs would wait until the limit allowed
		// another change.
		return nil, c.timeUntilAllowed(1)
	}
	return batch, min(nextReady, tuning.PlacementInterval)
}

// requeue puts records that were not written back into the queue.
func (c *Committer) requeue(batch []*pendingRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range batch {
		c.queue.restore(record)
	}
}

// urgentReserve returns the number of changes that are reserved for records that users wait for. At least one change of
// the burst remains for other records.
func (c *Committer) urgentReserve() float64 {
	return min(tuning.UrgentReserve*float64(c.writeLimiter.Limit()), float64(c.writeLimiter.Burst()-1))
}

// timeUntilAllowed returns the time until the write limit allows the given number of further changes, at least 1 ms.
func (c *Committer) timeUntilAllowed(changes float64) time.Duration {
	wait := time.Duration(changes / float64(c.writeLimiter.Limit()) * float64(time.Second))
	return max(time.Millisecond, wait)
}
