package store

import (
	"errors"
	"log/slog"
	"strings"
	"time"

	"switchferry/tuning"
)

// commitResult says what a transaction of a committer came to.
type commitResult string

// The results of a transaction that the statistics tell apart.
const (
	committed commitResult = "committed"
	// conflicted means that a condition did not hold.
	conflicted commitResult = "conflict"
	// rateLimited means that the rate of requests or changes was exceeded.
	rateLimited commitResult = "rate_limited"
	// notServed means that the state service refused the transaction for another reason.
	notServed commitResult = "not_served"
	// outcomeUnknown means that no usable response arrived.
	outcomeUnknown commitResult = "unknown"
	// rejected means that the request was invalid or failed with an error that the protocol does not define.
	rejected commitResult = "rejected"
)

// resultOf returns the result of a transaction that returned err.
func resultOf(err error) commitResult {
	switch {
	case err == nil:
		return committed
	case errors.Is(err, ErrConflict):
		return conflicted
	case errors.Is(err, ErrRateLimited):
		return rateLimited
	case errors.Is(err, ErrBusy):
		return notServed
	case errors.Is(err, ErrOutcomeUnknown):
		return outcomeUnknown
	}
	return rejected
}

// writeStatistics counts stored changes by the kind of record, and transactions by their result, since a point in time.
type writeStatistics struct {
	countByKind   map[string]int
	countByResult map[commitResult]int
	// lastConflict has the keys whose conditions did not hold in the last conflict.
	lastConflict []string
	since        time.Time
}

func newWriteStatistics(now time.Time) writeStatistics {
	return writeStatistics{countByKind: map[string]int{}, countByResult: map[commitResult]int{}, since: now}
}

// add counts a stored operation. Its kind is the first component of its key after rootPrefix, with the suffix "_deleted"
// for deletions.
func (s *writeStatistics) add(operation Operation) {
	kind, _, _ := strings.Cut(strings.TrimPrefix(operation.key(), rootPrefix), "/")
	if operation.Delete != "" {
		kind += "_deleted"
	}
	s.countByKind[kind]++
}

// countTransaction counts a transaction by its result and, if it was committed, its operations. It logs the counts and
// the write limit at most every tuning.FleetLogInterval.
func (c *Committer) countTransaction(operations []Operation, failedKeys []string, err error) {
	result := resultOf(err)
	c.writes.countByResult[result]++
	switch result {
	case committed:
		for _, operation := range operations {
			c.writes.add(operation)
		}
	case conflicted:
		c.writes.lastConflict = failedKeys
	}
	now := c.clock.Now()
	elapsed := now.Sub(c.writes.since)
	if elapsed < tuning.FleetLogInterval {
		return
	}
	slog.Info("changes written", "by", c.writes.countByKind, "transactions", c.writes.countByResult, "last_conflict", c.writes.lastConflict,
		"in_s", elapsed.Seconds(), "limit_per_s", float64(c.writeLimiter.Limit()), "waiting", c.Pending())
	c.writes = newWriteStatistics(now)
}
