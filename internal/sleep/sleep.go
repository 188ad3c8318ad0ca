// Package sleep provides the wait between two iterations of a loop. The wait uses a replaceable clock and ends early
// when the loop's context ends.
package sleep

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// For waits until a duration has passed on the clock or ctx ends. It returns false if ctx has ended.
func For(ctx context.Context, clock clockwork.Clock, duration time.Duration) bool {
	select {
	case <-ctx.Done():
	case <-clock.After(duration):
	}
	return ctx.Err() == nil
}

// OnRealClock does the same as For on the real clock, for experiments and simulations, which do not use a test clock.
// It does not wait if duration is 0 or negative.
func OnRealClock(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	return For(ctx, clockwork.NewRealClock(), duration)
}
