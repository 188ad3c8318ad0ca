package sleep

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// For lasts until the clock has passed the duration, or until the context ends.
func TestForEndsWithTheDurationOrTheContext(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ctx, cancel := context.WithCancel(t.Context())
	woken := make(chan struct{})
	start := func(ctx context.Context) {
		go func() {
			For(ctx, clock, time.Minute)
			woken <- struct{}{}
		}()
		if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
	}
	start(ctx)
	clock.Advance(time.Minute - time.Millisecond)
	select {
	case <-woken:
		t.Fatal("woken before the duration has passed")
	default:
	}
	clock.Advance(time.Millisecond)
	<-woken
	start(ctx)
	cancel()
	<-woken
}
