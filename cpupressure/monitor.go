// Package cpupressure measures how fast a controller computes, and decides when a leader should transfer its
// leadership to a peer that is several times faster.
package cpupressure

import (
	"context"
	"crypto/sha256"
	"fmt"
	"log/slog"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"switchferry/tuning"
)

// Monitor measures the processor time of a fixed benchmark at regular intervals. It may be used from several
// goroutines at once.
//
// Processor time excludes the moments in which other processes ran. Where the operating system counts it in
// coarse steps, most short samples show no time at all, on an idle controller more often than on a busy one.
// The least of some samples is then useless: with it, leaders that were merely busy transferred their
// leadership several times a day (docs/incidents/fleet-busy-taken-for-slow.md). So a controller publishes, for
// others to compare with, the longest sample of half a minute, and compares one of the longer of its recent
// ones. Both err in favour of the current leader.
type Monitor struct {
	clock clockwork.Clock

	// mu guards samples.
	mu sync.Mutex
	// samples are the last tuning.PaceTries at most, the newest last.
	samples []time.Duration
}

// NewMonitor returns a monitor without samples.
func NewMonitor(clock clockwork.Clock) *Monitor { return &Monitor{clock: clock} }

// Run takes a sample every tuning.PaceEvery until the context ends. It gives up, with a log line, if the
// operating system does not report processor time.
func (m *Monitor) Run(ctx context.Context) {
	data := make([]byte, tuning.BenchmarkBytes)
	benchmark := func() {
		for range tuning.BenchmarkRounds {
			sha256.Sum256(data)
		}
	}
	for ctx.Err() == nil {
		used, err := processorTime(benchmark)
		if err != nil {
			slog.Error("CPU benchmark failed", "err", err)
			return
		}
		m.add(used)
		select {
		case <-ctx.Done():
		case <-m.clock.After(tuning.BenchmarkEvery):
		}
	}
}

// processorTime returns how much processor time work takes on the calling goroutine's thread.
func processorTime(work func()) (time.Duration, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var start, end unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &start)
	work()
	if err == nil {
		err = unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &end)
	}
	if err != nil {
		return 0, fmt.Errorf("read the thread's processor time: %w", err)
	}
	return time.Duration(end.Nano() - start.Nano()), nil
}

// add records a sample.
func (m *Monitor) add(used time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.samples = append(m.samples, used); len(m.samples) > tuning.BenchmarkSamples {
		m.samples = m.samples[1:]
	}
}

// PublishedUS returns the benchmark time in microseconds that other controllers compare with, 1 or more; 0
// while there are too few samples.
func (m *Monitor) PublishedUS() uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.samples) < tuning.BenchmarkSamples/2 {
		return 0
	}
	return microseconds(slices.Max(m.samples))
}

// ComparisonUS returns the benchmark time in microseconds that this controller compares with those of others,
// 1 or more; 0 while there are too few samples.
func (m *Monitor) ComparisonUS() uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.samples) < tuning.BenchmarkRecent {
		return 0
	}
	recent := slices.Sorted(slices.Values(m.samples[len(m.samples)-tuning.BenchmarkRecent:]))
	return microseconds(recent[len(recent)-tuning.BenchmarkRank])
}

// microseconds returns a sample in microseconds, at least 1, since 0 means that there is none.
func microseconds(used time.Duration) uint32 { return uint32(max(1, used.Microseconds())) }
