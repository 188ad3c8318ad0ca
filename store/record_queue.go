package store

import (
	"cmp"
	"slices"
	"time"

	"switchferry/tuning"
)

// sequenceBits of a record's priority number the requests in their order; the bits above them hold
// the urgency.
const sequenceBits = 56

// pendingRecord is a key that is to be written.
type pendingRecord struct {
	key string
	// priority orders records, the lowest first: by urgency, then by the order of the requests.
	priority uint64
	// onStored are called in this order once the record is stored.
	onStored []func()
	// requestedAt is the time of the first request.
	requestedAt time.Time
	// notBefore is until when the record waits for more changes to be written with it.
	notBefore time.Time
	// quarantinedUntil is until when the record is deferred because the state service refused it.
	quarantinedUntil time.Time
	// isolated records are written in a transaction of their own.
	isolated bool
}

// urgency is the highest urgency that was requested.
func (r *pendingRecord) urgency() int { return int(r.priority >> sequenceBits) }

// runCallbacks calls what waits for the record to be stored.
func (r *pendingRecord) runCallbacks() {
	for _, onStored := range r.onStored {
		onStored()
	}
}

// recordQueue orders the pending records of a Committer, whose lock guards it.
type recordQueue struct {
	records  map[string]*pendingRecord // by key
	sequence uint64
	// overdueCredit is the number of changes that overdue records are entitled to.
	overdueCredit float64
}

// batchLimit bounds one batch.
type batchLimit struct {
	// records is the maximum number of records.
	records int
	// unreserved is the number of records that may be taken whatever their urgency; a larger
	// batch consists of Urgent and Ordinary records only.
	unreserved int
}

func newRecordQueue() *recordQueue {
	return &recordQueue{records: map[string]*pendingRecord{}}
}

func (q *recordQueue) len() int { return len(q.records) }

// urgentCount is the number of Urgent records.
func (q *recordQueue) urgentCount() int {
	count := 0
	for _, record := range q.records {
		if record.urgency() == Urgent {
			count++
		}
	}
	return count
}

// add requests that a key is written, at the latest after wait. A request for a key that is already
// pending can only make it more urgent.
func (q *recordQueue) add(key string, urgency int, now time.Time, wait time.Duration, onStored func()) {
	q.sequence++
	priority := uint64(urgency)<<sequenceBits | q.sequence
	record := q.records[key]
	if record == nil {
		record = &pendingRecord{key: key, priority: priority, requestedAt: now}
		if wait > 0 {
			record.notBefore = now.Add(wait)
		}
		q.records[key] = record
	}
	if wait == 0 {
		record.notBefore = time.Time{}
	}
	record.priority = min(record.priority, priority)
	if onStored != nil {
		record.onStored = append(record.onStored, onStored)
	}
}

// restore puts a record back that was taken and not written, and merges it with a newer request for
// the same key.
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
	newer.notBefore = time.Time{}
}

// take removes the records of the next transaction from the queue. Without any, either reserved is
// true (records are ready, but the limit is reserved for more urgent ones), or nextReady is the time
// until the next record is ready, 0 if none is pending.
func (q *recordQueue) take(now time.Time, limit batchLimit) (batch []*pendingRecord, nextReady time.Duration, reserved bool) {
	ready, nextReady := q.ready(now)
	pressing := 0
	for pressing < len(ready) && ready[pressing].urgency() <= Ordinary {
		pressing++
	}
	allowed := min(len(ready), max(pressing, limit.unreserved))
	if allowed == 0 && len(ready) > 0 {
		return nil, 0, true
	}
	batch = q.admitOverdue(ready, min(allowed, limit.records), now)
	// An isolated record is taken alone; with others before it, it waits for the next transaction.
	if i := slices.IndexFunc(batch, func(r *pendingRecord) bool { return r.isolated }); i >= 0 {
		batch = batch[:max(i, 1)]
	}
	for _, record := range batch {
		delete(q.records, record.key)
	}
	return batch, nextReady, false
}

// ready lists the records that may be written now, by priority, and the time until the next of the
// others may be, 0 without others.
func (q *recordQueue) ready(now time.Time) (ready []*pendingRecord, next time.Duration) {
	ready = make([]*pendingRecord, 0, len(q.records))
	for _, record := range q.records {
		wait := max(record.quarantinedUntil.Sub(now), record.notBefore.Sub(now))
		switch {
		case wait <= 0:
			ready = append(ready, record)
		case next == 0 || wait < next:
			next = wait
		}
	}
	slices.SortFunc(ready, func(a, b *pendingRecord) int { return cmp.Compare(a.priority, b.priority) })
	return ready, next
}

// admitOverdue cuts the ready records, which are sorted by priority, to the first count. A share of
// them, the last ones that are not Urgent, is replaced by overdue records, oldest first: while
// records of higher ranks arrived faster than the limit allows, others waited 95 s and kept their
// tasks' resources occupied all the while.
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
