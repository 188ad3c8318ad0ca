package store

import (
	"log/slog"
	"strings"
	"time"

	"switchferry/tuning"
)

// writeStatistics counts written changes by the kind of record since a point in time.
type writeStatistics struct {
	countByKind map[string]int
	since       time.Time
}

func newWriteStatistics(now time.Time) writeStatistics {
	return writeStatistics{countByKind: map[string]int{}, since: now}
}

// add counts an operation. Its kind is the first component of its key after rootPrefix, with the suffix "_deleted" for
// deletions.
func (s *writeStatistics) add(operation Operation) {
	kind, _, _ := strings.Cut(strings.TrimPrefix(operation.key(), rootPrefix), "/")
	if operation.Delete != "" {
		kind += "_deleted"
	}
	s.countByKind[kind]++
}

// countWrites counts the operations of a transaction, and logs the counts and the write limit at most every
// tuning.FleetLogInterval.
func (c *Committer) countWrites(operations []Operation) {
	for _, operation := range operations {
		c.writes.add(operation)
	}
	now := c.clock.Now()
	elapsed := now.Sub(c.writes.since)
	if elapsed < tuning.FleetLogInterval {
		return
	}
	slog.Info("changes written", "by", c.writes.countByKind, "in_s", elapsed.Seconds(), "limit_per_s", float64(c.writeLimiter.Limit()), "waiting", c.Pending())
	c.writes = newWriteStatistics(now)
}
