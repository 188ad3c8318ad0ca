package experiment

import "time"

// unwrittenRecords is a record writer that writes nothing: it passes on the callbacks of the records, which the owner
// calls when the records should count as stored.
type unwrittenRecords struct {
	// queue keeps a callback, which may be nil, until the record counts as stored.
	queue func(stored func())
}

// MarkDirty queues the callback.
func (r unwrittenRecords) MarkDirty(_ string, _ int, stored func()) { r.queue(stored) }

// MarkDirtyWithin is MarkDirty; the time limit is ignored.
func (r unwrittenRecords) MarkDirtyWithin(_ string, _ int, _ time.Duration, stored func()) {
	r.queue(stored)
}

// CommittedRevision returns 0.
func (unwrittenRecords) CommittedRevision() uint64 { return 0 }

// SetRevision does nothing.
func (unwrittenRecords) SetRevision(string, uint64) {}

// Delay returns zero: the write rate is not limited.
func (unwrittenRecords) Delay() time.Duration { return 0 }
