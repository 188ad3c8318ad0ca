// Package invariant reports violated invariants: states that cannot occur if the rules of the design hold, such as a
// job that is terminal and becomes pending again. Each violation is logged with its evidence and counted, so that it
// shows in logs, statistics and tests. A caller that reports a violation must not act on the contradictory state.
package invariant

import (
	"log/slog"
	"sync/atomic"
)

// violations counts the violations reported by this process.
var violations atomic.Int64

// Violated reports that an invariant does not hold. The attributes are the evidence, as for slog.
func Violated(invariant string, evidence ...any) {
	violations.Add(1)
	slog.Error("invariant violated", append([]any{"invariant", invariant}, evidence...)...)
}

// Violations returns the number of violations that this process has reported.
func Violations() int64 { return violations.Load() }

// ResetViolations returns the count and resets it, for tests that cause a violation.
func ResetViolations() int64 { return violations.Swap(0) }
