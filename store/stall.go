package store

import (
	"log/slog"
	"slices"
	"time"

	"switchferry/tuning"
)

// stallDetector detects that a committer settles nothing although the state service answers its transactions. Whether the
// leader's lease is renewed does not show this: a leader whose transactions were all refused for their contents kept its
// lease for as long as its process lived (docs/incidents/leader-stopped-storing.md). The zero value is ready to use. The
// committer's lock guards it.
type stallDetector struct {
	// refusedKeys has the keys of the records that were refused since the last committed transaction, at most
	// tuning.MinStalledRecords of them.
	refusedKeys []string
	// refusedAt is when a transaction was last refused. It is zero if the state service has not served one since.
	refusedAt time.Time
	// answeredFor is the time since the last committed transaction for which the state service answered: the sum of the
	// times between successive refusals with no unserved or unanswered transaction between them, each up to
	// tuning.MaxRefusalInterval.
	answeredFor time.Duration
}

// observe records the result of a transaction with the given records. The retry of an isolated record is ignored if it is
// refused again, because it shows nothing about other records.
func (d *stallDetector) observe(now time.Time, result commitResult, records []*pendingRecord) {
	switch result {
	case committed:
		*d = stallDetector{}
	case conflicted, rejected:
		if len(records) != 1 || !records[0].isolated {
			d.observeRefusal(now, records)
		}
	case notServed, outcomeUnknown:
		d.refusedAt = time.Time{}
	case rateLimited:
		// The state service answers, and says nothing about the records.
	}
}

// observeRefusal records that a transaction with the given records was refused for its contents.
func (d *stallDetector) observeRefusal(now time.Time, records []*pendingRecord) {
	if !d.refusedAt.IsZero() {
		d.answeredFor += min(now.Sub(d.refusedAt), tuning.MaxRefusalInterval)
	}
	d.refusedAt = now
	for _, record := range records {
		if len(d.refusedKeys) < tuning.MinStalledRecords && !slices.Contains(d.refusedKeys, record.key) {
			d.refusedKeys = append(d.refusedKeys, record.key)
		}
	}
}

// stalled reports whether nothing was stored for tuning.CommitStallTimeout of answers, with several records refused.
func (d *stallDetector) stalled() bool {
	return d.answeredFor >= tuning.CommitStallTimeout && len(d.refusedKeys) >= tuning.MinStalledRecords
}

// Stalled reports whether the state service has answered for tuning.CommitStallTimeout and has refused every transaction
// for its contents. The leader should then resign: a new leader starts from what is stored.
func (c *Committer) Stalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stall.stalled()
}

// observeSettled clears the stall if any of the given records, which need no write, was refused before: the conflict was
// resolved without one.
func (c *Committer) observeSettled(records []*pendingRecord) {
	if !slices.ContainsFunc(records, func(record *pendingRecord) bool { return record.conflicts > 0 || record.isolated }) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stall = stallDetector{}
}

// observeResult passes the result of a transaction to the stall detector, and logs when a stall begins.
func (c *Committer) observeResult(result commitResult, records []*pendingRecord) {
	c.mu.Lock()
	before := c.stall.stalled()
	c.stall.observe(c.clock.Now(), result, records)
	stall := c.stall
	c.mu.Unlock()
	if stall.stalled() && !before {
		slog.Error("every transaction is refused", "for", stall.answeredFor, "keys", stall.refusedKeys)
	}
}
