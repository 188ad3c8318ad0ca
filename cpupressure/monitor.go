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

	mu      sync.Mutex
	samples []time.Duration
}

// NewMonitor makes a measure that has no tries yet.
func NewMonitor(clock clockwork.Clock) *Monitor { return &Monitor{clock: clock} }

// Run measures until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	work := make([]byte, tuning.PaceBytes)
	for ctx.Err() == nil {
		if used, err := processorTime(func() {
			for range tuning.PaceRounds {
				sha256.Sum256(work)
			}
		}); err != nil {
			slog.Error("pace not measured", "err", err)
			return
		} else {
			m.add(used)
		}
		select {
		case <-ctx.Done():
		case <-m.clock.After(tuning.PaceEvery):
		}
	}
}

// processorTime is what a piece of work takes of the processor.
func processorTime(work func()) (time.Duration, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var start, end unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &start)
	work()
	if err == nil {
		err = unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &end)
	}
	return time.Duration(end.Nano() - start.Nano()), err
}

func (m *Monitor) add(used time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.samples = append(m.samples, used); len(m.samples) > tuning.PaceTries {
		m.samples = m.samples[1:]
	}
}

// PublishedUS is the pace that others compare with, in microseconds; 0: not known yet.
func (m *Monitor) PublishedUS() uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.samples) < tuning.PaceTries/2 {
		return 0
	}
	return uint32(max(1, slices.Max(m.samples).Microseconds()))
}

// ComparisonUS is the pace that this controller compares, in microseconds; 0: not known yet.
func (m *Monitor) ComparisonUS() uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.samples) < tuning.PaceLast {
		return 0
	}
	recent := slices.Sorted(slices.Values(m.samples[len(m.samples)-tuning.PaceLast:]))
	return uint32(max(1, recent[len(recent)-tuning.PaceRank].Microseconds()))
}

// LeadershipTransfer tells when a leader should leave the post to a sibling because it
// computes several times slower: with hundreds of machines its answers would be
// late for as long as that lasts. A load that is merely high slows every leader
// alike and is no reason.
type LeadershipTransfer struct {
	slowSince time.Time
}

// Due tells whether a leader elected then, of this pace, should leave the post now.
func (t *LeadershipTransfer) Due(now, elected time.Time, ownUS uint32, peers []peer.Hello) bool {
	fastestUS := uint32(0)
	for _, hello := range peers {
		if hello.StateOK && hello.BenchmarkUS > 0 && (fastestUS == 0 || hello.BenchmarkUS < fastestUS) {
			fastestUS = hello.BenchmarkUS
		}
	}
	if ownUS == 0 || fastestUS == 0 || float64(ownUS) < tuning.SlowPace*float64(fastestUS) {
		t.slowSince = time.Time{}
		return false
	}
	if t.slowSince.IsZero() {
		t.slowSince = now
		slog.Info("computing slower than a sibling", "pace_us", ownUS, "sibling_us", fastestUS)
	}
	return now.Sub(t.slowSince) >= tuning.SlowFor && now.Sub(elected) >= tuning.SlowTerm
}
