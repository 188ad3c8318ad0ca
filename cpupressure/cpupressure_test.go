package cpupressure

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/peer"
	"switchferry/tuning"
)

// A leader whose CPU is three times slower than a peer's transfers its leadership after tuning.TransferDelay. It
// does not if the peer is slow as well or does not reach the state service.
func TestSlowLeaderTransfersLeadership(t *testing.T) {
	clock := clockwork.NewFakeClock()
	elected := clock.Now().Add(-time.Hour)
	fast := []peer.Hello{{Member: "b", StateOK: true, BenchmarkUS: 100}}
	var transfer LeadershipTransfer
	if transfer.Due(clock.Now(), elected, 300, fast) {
		t.Error("due at the first call")
	}
	clock.Advance(tuning.TransferDelay)
	if !transfer.Due(clock.Now(), elected, 300, fast) {
		t.Error("not due although slow for long enough")
	}
	if transfer.Due(clock.Now(), clock.Now().Add(-time.Second), 300, fast) {
		t.Error("due right after the election")
	}
	for _, peers := range [][]peer.Hello{nil, {{BenchmarkUS: 100}}, {{StateOK: true, BenchmarkUS: 290}}, {{StateOK: true}}} {
		transfer = LeadershipTransfer{slowSince: elected}
		if transfer.Due(clock.Now(), elected, 300, peers) {
			t.Errorf("due with peers %+v", peers)
		}
		if !transfer.slowSince.IsZero() {
			t.Errorf("slowness recorded with peers %+v", peers)
		}
	}
}

// A busy leader must not be taken for a slow one. A few disturbed samples must not change the time that a controller
// compares, and samples that a coarse clock reads as zero must not change the time that it publishes. When the
// minimum of several samples was used, leaders resigned five times on a quiet day; when the same value was both
// published and compared, they resigned twelve times on another day.
func TestBenchmarkIgnoresDisturbanceAndCoarseClock(t *testing.T) {
	var monitor Monitor
	for i := range tuning.BenchmarkSamples {
		if i < tuning.RecentBenchmarks && monitor.ComparisonUS() != 0 || i < tuning.BenchmarkSamples/2 && monitor.PublishedUS() != 0 {
			t.Fatalf("benchmark time returned after only %d samples", i)
		}
		used := time.Duration(i%2) * time.Microsecond
		if i == 100 {
			used = 83 * time.Microsecond
		}
		monitor.add(used)
	}
	if monitor.PublishedUS() != 83 || monitor.ComparisonUS() != 1 {
		t.Errorf("idle controller: %d us published, %d us for comparison; want 83 and 1", monitor.PublishedUS(), monitor.ComparisonUS())
	}
	monitor.add(9 * time.Millisecond)
	monitor.add(9 * time.Millisecond)
	if monitor.ComparisonUS() != 1 {
		t.Errorf("two disturbed samples changed the comparison time to %d us", monitor.ComparisonUS())
	}
	for range tuning.BenchmarkRank {
		monitor.add(240 * time.Microsecond)
	}
	if monitor.ComparisonUS() != 240 {
		t.Errorf("comparison time %d us, want the 240 us of the slow samples", monitor.ComparisonUS())
	}
	if used, err := cpuTime(func() { time.Sleep(0) }); err != nil || used < 0 || used > time.Second {
		t.Error(used, err)
	}
}
