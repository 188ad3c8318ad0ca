// Package cpupressure measures a controller's CPU speed with a benchmark, and decides when a leader should transfer its
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

// Monitor measures the CPU time of a fixed benchmark at regular intervals. It is safe for concurrent use.
//
// CPU time excludes the time in which other processes ran. Where the operating system counts CPU time in coarse
// steps, most short samples read zero, more often on an idle controller than on a busy one. The minimum of several
// samples is then useless: when it was used, leaders that were merely busy transferred their leadership several
// times a day (docs/incidents/fleet-busy-taken-for-slow.md). Therefore a controller publishes to its peers the
// longest sample of half a minute, and compares with theirs one of the longer ones among its own most recent
// samples. Both choices favour the current leader.
type Monitor struct {
	clock clockwork.Clock

	// mu guards samples.
	mu sync.Mutex
	// samples holds the last tuning.BenchmarkSamples samples at most, the newest last.
	samples []time.Duration
}

// NewMonitor returns a Monitor without samples.
func NewMonitor(clock clockwork.Clock) *Monitor { return &Monitor{clock: clock} }

// Run takes a sample every tuning.BenchmarkInterval until the context ends. If the operating system does not report
// CPU time, it logs an error and returns.
func (m *Monitor) Run(ctx context.Context) {
	data := make([]byte, tuning.BenchmarkBytes)
	benchmark := func() {
		for range tuning.BenchmarkRounds {
			sha256.Sum256(data)
		}
	}
	for ctx.Err() == nil {
		used, err := cpuTime(benchmark)
		if err != nil {
			slog.Error("CPU benchmark failed", "err", err)
			return
		}
		m.add(used)
		select {
		case <-ctx.Done():
		case <-m.clock.After(tuning.BenchmarkInterval):
		}
	}
}

// cpuTime runs work and returns the CPU time that it took on the calling goroutine's thread.
func cpuTime(work func()) (time.Duration, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var start, end unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &start)
	work()
	if err == nil {
		err = unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &end)
	}
	if err != nil {
		return 0, fmt.Errorf("read the thread's CPU time: %w", err)
	}
	return time.Duration(end.Nano() - start.Nano()), nil
}

// add appends a sample and drops the oldest if there are more than tuning.BenchmarkSamples.
func (m *Monitor) add(used time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.samples = append(m.samples, used); len(m.samples) > tuning.BenchmarkSamples {
		m.samples = m.samples[1:]
	}
}

// PublishedUS returns the benchmark time in microseconds, at least 1, with which peers compare their own. It returns
// 0 while there are too few samples.
func (m *Monitor) PublishedUS() uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.samples) < tuning.BenchmarkSamples/2 {
		return 0
	}
	return microseconds(slices.Max(m.samples))
}

// ComparisonUS returns the benchmark time in microseconds, at least 1, that this controller compares with those
// published by its peers. It returns 0 while there are too few samples.
func (m *Monitor) ComparisonUS() uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.samples) < tuning.RecentBenchmarks {
		return 0
	}
	recent := slices.Sorted(slices.Values(m.samples[len(m.samples)-tuning.RecentBenchmarks:]))
	return microseconds(recent[len(recent)-tuning.BenchmarkRank])
}

// microseconds converts a sample to microseconds, at least 1 because 0 means that there is no sample.
func microseconds(used time.Duration) uint32 { return uint32(max(1, used.Microseconds())) }
