// Package cpupressure measures how fast a controller computes, and tells when a leader should hand over to a sibling
// that is several times faster.
package cpupressure

import (
	"context"
	"crypto/sha256"
	"log/slog"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"switchferry/peer"
	"switchferry/tuning"
)

// Monitor is how fast this controller computes: the processor time of a fixed piece of work.
// Processor time does not count moments in which others ran. Where it is counted in steps, most
// short tries take none at all, on an idle controller more than on a busy one, so that the least
// of some tells nothing: with it leaders that were only busy handed over several times a day
// (docs/incidents/fleet-busy-taken-for-slow.md). So a controller says of itself, for others to
// compare with, the most that a try took in half a minute, and compares one of the larger of its
// last ones: each errs to the side on which a leader keeps its post.
type Monitor struct {
	clock clockwork.Clock

	mu    sync.Mutex
	tries []time.Duration
}

// NewMonitor makes a measure that has no tries yet.
func NewMonitor(clock clockwork.Clock) *Monitor { return &Monitor{clock: clock} }

// Run measures until the context ends.
func (p *Monitor) Run(ctx context.Context) {
	work := make([]byte, tuning.PaceBytes)
	for ctx.Err() == nil {
		if took, err := processorTime(func() {
			for range tuning.PaceRounds {
				sha256.Sum256(work)
			}
		}); err != nil {
			slog.Error("pace not measured", "err", err)
			return
		} else {
			p.add(took)
		}
		select {
		case <-ctx.Done():
		case <-p.clock.After(tuning.PaceEvery):
		}
	}
}

// processorTime is what a piece of work takes of the processor.
func processorTime(work func()) (time.Duration, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var from, to unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &from)
	work()
	if err == nil {
		err = unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &to)
	}
	return time.Duration(to.Nano() - from.Nano()), err
}

func (p *Monitor) add(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tries = append(p.tries, took); len(p.tries) > tuning.PaceTries {
		p.tries = p.tries[1:]
	}
}

// PublishedUS is the pace that others compare with, in microseconds; 0: not known yet.
func (p *Monitor) PublishedUS() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.tries) < tuning.PaceTries/2 {
		return 0
	}
	return uint32(max(1, slices.Max(p.tries).Microseconds()))
}

// ComparisonUS is the pace that this controller compares, in microseconds; 0: not known yet.
func (p *Monitor) ComparisonUS() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.tries) < tuning.PaceLast {
		return 0
	}
	last := slices.Sorted(slices.Values(p.tries[len(p.tries)-tuning.PaceLast:]))
	return uint32(max(1, last[len(last)-tuning.PaceRank].Microseconds()))
}

// LeadershipTransfer tells when a leader should leave the post to a sibling because it
// computes several times slower: with hundreds of machines its answers would be
// late for as long as that lasts. A load that is merely high slows every leader
// alike and is no reason.
type LeadershipTransfer struct {
	since time.Time
}

// Due tells whether a leader elected then, of this pace, should leave the post now.
func (h *LeadershipTransfer) Due(now, elected time.Time, mine uint32, siblings []peer.Hello) bool {
	best := uint32(0)
	for _, s := range siblings {
		if s.StateOK && s.BenchmarkUS > 0 && (best == 0 || s.BenchmarkUS < best) {
			best = s.BenchmarkUS
		}
	}
	if mine == 0 || best == 0 || float64(mine) < tuning.SlowPace*float64(best) {
		h.since = time.Time{}
		return false
	}
	if h.since.IsZero() {
		h.since = now
		slog.Info("computing slower than a sibling", "pace_us", mine, "sibling_us", best)
	}
	return now.Sub(h.since) >= tuning.SlowFor && now.Sub(elected) >= tuning.SlowTerm
}
