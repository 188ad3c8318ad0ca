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
	// conditionsPerOperation is the number of conditions that the protocol allows a
	// transaction for each of its operations.
	conditionsPerOperation = 4
	// conditionOverheadBytes is the size of an encoded condition without its key.
	conditionOverheadBytes = 40
	// maxTransactionBytes keeps a transaction below the 64 KiB of a request.
	maxTransactionBytes = 48 << 10
)

// Step tries one transaction and returns how long to wait before the next one.
func (c *Committer) Step(ctx context.Context) time.Duration {
	// No more records are taken than the limit allows now: an urgent record must not wait
	// until there is capacity for everything behind it.
	available := c.limiter.TokensAt(c.clock.Now())
	if available < 1 {
		return c.timeUntilAllowed(1 - available)
	}
	batch, pause := c.takeBatch(available)
	c.deferred = len(batch) == 0
	if c.deferred {
		return pause
	}
	leader, ok := c.source.Condition()
	if !ok {
		c.requeue(batch)
		return tuning.Tick
	}
	transaction := c.buildTransaction(leader, batch)
	if len(transaction.operations) > 0 {
		if pause, committed := c.commit(ctx, transaction); !committed {
			return pause
		}
	}
	for _, record := range transaction.records {
		record.runCallbacks()
	}
	c.source.Committed()
	return 0
}

// pendingTransaction is one transaction that is being built from pending records.
type pendingTransaction struct {
	leader     Condition
	conditions []Condition
	operations []Operation
	// records are the pending records that are stored once the transaction is executed. One
	// that needs no change has no operation.
	records []*pendingRecord
	// size estimates the bytes of the request.
	size int
}

// add adds an operation with its conditions, each once. It returns false, and leaves the
// transaction as it is, if the transaction would become too large; an empty one takes any operation.
func (t *pendingTransaction) add(operation Operation, conditions []Condition, maxConditions int) bool {
	size := t.size
	if value, ok := operation.Value.(json.RawMessage); ok {
		size += len(value)
	}
	merged := t.conditions
	for _, condition := range conditions {
		if !slices.Contains(merged, condition) {
			merged = append(merged, condition)
			size += len(condition.Key) + conditionOverheadBytes
		}
	}
	if (size > maxTransactionBytes || len(merged) > maxConditions) && len(t.operations) > 0 {
		return false
	}
	t.conditions, t.size = merged, size
	t.operations = append(t.operations, operation)
	return true
}

// buildTransaction puts the records of a batch into one transaction, as many as fit. The rest goes
// back into the queue; a record that cannot be encoded or is too large is quarantined.
func (c *Committer) buildTransaction(leader Condition, batch []*pendingRecord) *pendingTransaction {
	transaction := &pendingTransaction{leader: leader, conditions: []Condition{leader}}
	for position, record := range batch {
		value, exists, more := c.source.Record(record.key)
		revision := c.revision(record.key)
		if !exists && revision == 0 {
			transaction.records = append(transaction.records, record)
			continue
		}
		if !exists && strings.HasPrefix(record.key, FinalPrefix) {
			// Without it, the job could be accepted anew.
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
		conditions := append([]Condition{{Key: record.key, Revision: revision}}, more...)
		if !transaction.add(operation, conditions, c.maxConditions) {
			c.requeue(batch[position:])
			break
		}
		transaction.records = append(transaction.records, record)
	}
	return transaction
}

// encode encodes a value, and returns an error if it is larger than the state service takes.
func (c *Committer) encode(value any) (json.RawMessage, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	if limit := c.valueLimit(); len(encoded) > limit {
		return nil, fmt.Errorf("%d bytes, a value has at most %d", len(encoded), limit)
	}
	return encoded, nil
}

// commit sends a transaction. If it is not known to be executed, committed is false, its records are
// pending again, and pause is how long to wait before the next one.
func (c *Committer) commit(ctx context.Context, transaction *pendingTransaction) (pause time.Duration, committed bool) {
	c.limiter.AllowN(c.clock.Now(), len(transaction.operations))
	c.countWrites(transaction.operations)
	revision, failedKeys, err := c.hedged.Transact(ctx, transaction.conditions, transaction.operations)
	switch {
	case errors.Is(err, ErrInvalidRequest):
		c.isolateRecords(transaction.records, err)
		return 0, false
	case err != nil:
		c.requeue(transaction.records)
		return c.handleFailure(ctx, transaction, failedKeys, err), false
	}
	c.recordRevisions(transaction.operations, revision)
	return 0, true
}

// recordRevisions records the revision at which operations were executed.
func (c *Committer) recordRevisions(operations []Operation, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, operation := range operations {
		switch {
		case operation.Delete != "":
			delete(c.revisions, operation.Delete)
		case strings.HasPrefix(operation.Set, FinalPrefix):
			// Final states are written once; remembering all of them would take ever
			// more memory.
		default:
			c.revisions[operation.Set] = revision
		}
	}
}

// takeBatch takes the records of the next transaction out of the queue, with so many changes
// available under the write limit. Without any, pause is how long to wait until that may change.
func (c *Committer) takeBatch(available float64) (batch []*pendingRecord, pause time.Duration) {
	limit := batchLimit{
		records:    min(c.maxOperations, int(available)),
		unreserved: int(max(0, available-c.urgentReserve())),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	batch, nextReady, reserved := c.queue.take(c.clock.Now(), limit)
	if reserved {
		// What is left is reserved for records that are still to come and for which a user
		// waits: with the limit used up by others, each of a burst of accepted jobs waited
		// for the next change that the limit allows.
		return nil, c.timeUntilAllowed(1)
	}
	return batch, min(nextReady, tuning.Tick)
}

// requeue makes records pending again that were not written.
func (c *Committer) requeue(batch []*pendingRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range batch {
		c.queue.restore(record)
	}
}

// urgentReserve is the number of changes that are reserved for what users wait for. It leaves room
// for at least one other change.
func (c *Committer) urgentReserve() float64 {
	return min(tuning.UrgentReserve*float64(c.limiter.Limit()), float64(c.limiter.Burst()-1))
}

// timeUntilAllowed is how long it takes until the limiter allows so many more changes.
func (c *Committer) timeUntilAllowed(changes float64) time.Duration {
	wait := time.Duration(changes / float64(c.limiter.Limit()) * float64(time.Second))
	return max(time.Millisecond, wait)
}
