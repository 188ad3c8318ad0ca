package sleep

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// startSleep calls For with one minute in a goroutine. It returns once the wait has begun; the channel is closed when
// the wait ends.
func startSleep(ctx context.Context, t *testing.T, clock *clockwork.FakeClock) <-chan struct{} {
	t.Helper()
	woken := make(chan struct{})
	go func() {
		For(ctx, clock, time.Minute)
		close(woken)
	}()
	if err := clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
	return woken
}

func TestForEndsAfterDuration(t *testing.T) {
	clock := clockwork.NewFakeClock()
	woken := startSleep(t.Context(), t, clock)
	clock.Advance(time.Minute - time.Millisecond)
	select {
	case <-woken:
		t.Fatal("the wait ended before the duration had passed")
	default:
	}
	clock.Advance(time.Millisecond)
	<-woken
}

func TestForEndsWhenContextIsCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	woken := startSleep(ctx, t, clockwork.NewFakeClock())
	cancel()
	<-woken
}

func TestOnRealClockReportsContextState(t *testing.T) {
	active, ended := t.Context(), func() context.Context {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		return ctx
	}()
	for _, duration := range []time.Duration{-time.Second, 0, time.Millisecond} {
		if !OnRealClock(active, duration) {
			t.Errorf("%v: reports that the context has ended", duration)
		}
		if OnRealClock(ended, duration) {
			t.Errorf("%v: reports that the context has not ended", duration)
		}
	}
}
