package store

import (
	"log/slog"
	"strings"
	"time"

	"switchferry/tuning"
)

// writeStatistics counts changes by the kind of their records.
type writeStatistics struct {
	byKind map[string]int
	since  time.Time
}

func newWriteStatistics(now time.Time) writeStatistics {
	return writeStatistics{byKind: map[string]int{}, since: now}
}

// add counts an operation by the first part of its key below the root.
func (s *writeStatistics) add(operation Operation) {
	kind, _, _ := strings.Cut(strings.TrimPrefix(operation.key(), rootPrefix), "/")
	if operation.Delete != "" {
		kind += "_deleted"
	}
	s.byKind[kind]++
}

// countWrites counts the operations of a transaction, and logs every tuning.FleetLogEvery how the
// write limit is used.
func (c *Committer) countWrites(operations []Operation) {
	for _, operation := range operations {
		c.writes.add(operation)
	}
	now := c.clock.Now()
	elapsed := now.Sub(c.writes.since)
	if elapsed < tuning.FleetLogEvery {
		return
	}
	slog.Info("changes written", "by", c.writes.byKind, "in_s", elapsed.Seconds(), "limit_per_s", float64(c.limiter.Limit()), "waiting", c.Pending())
	c.writes = newWriteStatistics(now)
}
