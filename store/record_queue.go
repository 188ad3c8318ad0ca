package store

import (
	"cmp"
	"slices"
	"time"

	"switchferry/tuning"
)

// sequenceBits is the number of low bits of a record's priority that contain the sequence number of its request. The
// bits above them contain the urgency.
const sequenceBits = 56

// pendingRecord is a request to write the record of a key.
type pendingRecord struct {
	key string
	// priority orders records by urgency, then by the order of the requests. Records with lower values go first.
	priority uint64
	// onStored are the callbacks to call, in this order, once the record is stored.
	onStored []func()
	// requestedAt is the time of the first request.
	requestedAt time.Time
	// notBefore is the earliest time of the write. Until then the record waits for more changes of its key.
	notBefore time.Time
	// quarantinedUntil is the time until which the record is deferred because the state service rejected it, or because
	// its conditions failed repeatedly.
	quarantinedUntil time.Time
	// isolated is true if the record must be written in a transaction of its own.
	isolated bool
	// conditions are those that the record needs in the transaction that it was last taken for.
	conditions []Condition
	// conflicts counts the transactions that failed because one of conditions did not hold.
	conflicts int
	// retryFirst is true if the record's last transaction failed because of other records alone. It is then written before
	// records that were not tried yet, any of which may fail the next transaction as well.
	retryFirst bool
}

// urgency returns the lowest urgency value, that is the most urgent one, that was requested.
func (r *pendingRecord) urgency() int { return int(r.priority >> sequenceBits) }

// runCallbacks calls the callbacks of a record that was stored.
func (r *pendingRecord) runCallbacks() {
	for _, onStored := range r.onStored {
		onStored()
	}
}

// recordQueue contains the pending records of a Committer. Committer.mu guards it.
type recordQueue struct {
	records  map[string]*pendingRecord // by key
	sequence uint64
	// overdueCredit is the number of changes that are reserved for overdue records and not used yet.
	overdueCredit float64
}

// batchLimit limits the size of one batch.
type batchLimit struct {
	// records is the maximum number of records.
	records int
	// unreserved is the number of records that may be taken regardless of their urgency. A larger batch consists of
	// Urgent and Ordinary records only.
	unreserved int
}

func newRecordQueue() *recordQueue {
	return &recordQueue{records: map[string]*pendingRecord{}}
}

func (q *recordQueue) length() int { return len(q.records) }

// urgentCount returns the number of Urgent records that are not deferred.
func (q *recordQueue) urgentCount(now time.Time) int {
	count := 0
	for _, record := range q.records {
		if record.urgency() == Urgent && !record.quarantinedUntil.After(now) {
			count++
		}
	}
	return count
}

// add requests that a key is written, and allows a delay of up to maxDelay. A request for a key that is already pending
// can only make its record more urgent, not less.
func (q *recordQueue) add(key string, urgency int, now time.Time, maxDelay time.Duration, onStored func()) {
	q.sequence++
	priority := uint64(urgency)<<sequenceBits | q.sequence
	record := q.records[key]
	if record == nil {
		record = &pendingRecord{key: key, priority: priority, requestedAt: now}
		if maxDelay > 0 {
			record.notBefore = now.Add(maxDelay)
		}
		q.records[key] = record
	}
	if maxDelay == 0 {
		record.notBefore = time.Time{}
	}
	record.priority = min(record.priority, priority)
	if onStored != nil {
		record.onStored = append(record.onStored, onStored)
	}
}

// restore puts a record that was taken and not written back into the queue, and merges it with a newer request for the
// same key, if there is one.
func (q *recordQueue) restore(record *pendingRecord) {
	newer := q.records[record.key]
	if newer == nil {
		q.records[record.key] = record
		return
	}
	newer.onStored = append(record.onStored, newer.onStored...)
	newer.priority = min(newer.priority, record.priority)
	if record.requestedAt.Before(newer.requestedAt) {
		newer.requestedAt = record.requestedAt
	}
	newer.quarantinedUntil, newer.isolated = record.quarantinedUntil, record.isolated
	newer.conflicts, newer.retryFirst = record.conflicts, record.retryFirst
	newer.notBefore = time.Time{}
}

// take removes the records of the next transaction from the queue and returns them. If it returns none, either
// reserved is true, which means that records are ready but the remaining limit is reserved for more urgent ones, or
// nextReady is the time until the next record is ready, 0 if none is pending.
func (q *recordQueue) take(now time.Time, limit batchLimit) (batch []*pendingRecord, nextReady time.Duration, reserved bool) {
	ready, nextReady := q.ready(now)
	allowed := allowedCount(ready, limit)
	if allowed == 0 && len(ready) > 0 {
		return nil, 0, true
	}
	batch = retriedFirst(ready)
	batch = batch[:allowedCount(batch, limit)]
	if len(batch) == 0 {
		batch = q.admitOverdue(ready, allowed, now)
	}
	// An isolated record is taken alone. If other records come before it, the batch ends with them.
	if i := slices.IndexFunc(batch, func(r *pendingRecord) bool { return r.isolated }); i >= 0 {
		batch = batch[:max(i, 1)]
	}
	for _, record := range batch {
		delete(q.records, record.key)
	}
	return batch, nextReady, false
}

// retriedFirst returns the records that are to be written before all others, in their order.
func retriedFirst(ready []*pendingRecord) []*pendingRecord {
	var first []*pendingRecord
	for _, record := range ready {
		if record.retryFirst {
			first = append(first, record)
		}
	}
	return first
}

// allowedCount returns how many of the first of the given records, which are sorted by priority, the limit allows.
func allowedCount(records []*pendingRecord, limit batchLimit) int {
	highPriority := 0
	for highPriority < len(records) && records[highPriority].urgency() <= Ordinary {
		highPriority++
	}
	return min(len(records), max(highPriority, limit.unreserved), limit.records)
}

// ready returns the records that may be written now, sorted by priority, and the time until the next of the other
// records may be written, 0 if there are no others.
func (q *recordQueue) ready(now time.Time) (ready []*pendingRecord, nextReady time.Duration) {
	ready = make([]*pendingRecord, 0, len(q.records))
	for _, record := range q.records {
		wait := max(record.quarantinedUntil.Sub(now), record.notBefore.Sub(now))
		switch {
		case wait <= 0:
			ready = append(ready, record)
		case nextReady == 0 || wait < nextReady:
			nextReady = wait
		}
	}
	slices.SortFunc(ready, func(a, b *pendingRecord) int { return cmp.Compare(a.priority, b.priority) })
	return ready, nextReady
}

// admitOverdue returns the first count of the ready records, which are sorted by priority. It replaces a share of
// them, the last ones that are not Urgent, by overdue records, oldest first. Without this, records of lower ranks
// waited 95 s while those of higher ranks arrived faster than the write limit allows, and the resources of their
// tasks stayed occupied for that time.
func (q *recordQueue) admitOverdue(ready []*pendingRecord, count int, now time.Time) []*pendingRecord {
	overdue := slices.DeleteFunc(slices.Clone(ready[count:]), func(record *pendingRecord) bool {
		return record.urgency() >= Lazy || now.Sub(record.requestedAt) < tuning.RecordOverdueAfter
	})
	admitted := ready[:count]
	if len(overdue) == 0 {
		q.overdueCredit = 0
		return admitted
	}
	slices.SortFunc(overdue, func(a, b *pendingRecord) int {
		return cmp.Or(a.requestedAt.Compare(b.requestedAt), cmp.Compare(a.priority, b.priority))
	})
	q.overdueCredit += tuning.OverdueShare * float64(count)
	for i := count - 1; i >= 0 && q.overdueCredit >= 1 && len(overdue) > 0; i-- {
		if admitted[i].urgency() == Urgent {
			break
		}
		admitted[i], overdue = overdue[0], overdue[1:]
		q.overdueCredit--
	}
	return admitted
}
