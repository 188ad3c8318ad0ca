// Package invariant reports contradictions: states that cannot be if the rules of the design hold, such as a job that is
// over and is pending again. Each is logged with its evidence and counted, so that it shows in logs, statistics and tests.
// Whoever reports one must not act on what contradicts.
package invariant

import (
	"log/slog"
	"sync/atomic"
)

// violations counts the contradictions of this process.
var violations atomic.Int64

// Violated reports that an invariant does not hold. The attributes are the evidence, as for slog.
func Violated(invariant string, evidence ...any) {
	violations.Add(1)
	slog.Error("invariant violated", append([]any{"invariant", invariant}, evidence...)...)
}

// Violations returns how many contradictions this process has reported.
func Violations() int64 { return violations.Load() }

// TakeViolations returns the count and resets it, for a test that brings a contradiction about.
func TakeViolations() int64 { return violations.Swap(0) }
