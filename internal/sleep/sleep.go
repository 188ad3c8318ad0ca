// Package sleep has the wait that every loop of this program makes between two rounds: on a clock that tests may replace,
// and ended by the loop's context.
package sleep

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// For waits for a duration on a clock, or until ctx ends. A loop looks at ctx itself to tell which it was.
func For(ctx context.Context, clock clockwork.Clock, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(duration):
	}
}
