package controller

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// sleep waits until a time has passed on a clock, or the context ends.
func sleep(ctx context.Context, clock clockwork.Clock, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(wait):
	}
}
