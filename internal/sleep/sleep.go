// Package sleep has the wait that every loop of this program makes between two rounds: on a clock that tests may replace,
// and ended by the loop's context.
package sleep

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// For waits for a duration on a clock, or until ctx ends. It reports false if ctx has ended.
func For(ctx context.Context, clock clockwork.Clock, duration time.Duration) bool {
	select {
	case <-ctx.Done():
	case <-clock.After(duration):
	}
	return ctx.Err() == nil
}

// Real is For on the real clock, for experiments and simulations, which no test's clock drives. It does not wait for a time that is over.
func Real(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	return For(ctx, clockwork.NewRealClock(), duration)
}
