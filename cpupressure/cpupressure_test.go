package cpupressure

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/peer"
	"switchferry/tuning"
)

// A leader that computes three times slower than a sibling hands over, not at
// once and not to one that is slow as well or without the state service.
func TestSlowLeaderTransfersLeadership(t *testing.T) {
	clock := clockwork.NewFakeClock()
	elected := clock.Now().Add(-time.Hour)
	fast := []peer.Hello{{Member: "b", StateOK: true, BenchmarkUS: 100}}
	var transfer LeadershipTransfer
	if transfer.Due(clock.Now(), elected, 300, fast) {
		t.Error("at the first sight")
	}
	clock.Advance(tuning.SlowFor)
	if !transfer.Due(clock.Now(), elected, 300, fast) {
		t.Error("kept the post though slow")
	}
	if transfer.Due(clock.Now(), clock.Now().Add(-time.Second), 300, fast) {
		t.Error("right after the election")
	}
	for _, peers := range [][]peer.Hello{nil, {{BenchmarkUS: 100}}, {{StateOK: true, BenchmarkUS: 290}}, {{StateOK: true}}} {
		transfer = LeadershipTransfer{slowSince: elected}
		if transfer.Due(clock.Now(), elected, 300, peers) {
			t.Errorf("handed over to %+v", peers)
		}
		if !transfer.slowSince.IsZero() {
			t.Errorf("%+v counted towards the time", peers)
		}
	}
}

// A busy leader is not slow: tries that were disturbed do not show in the pace that it
// compares, nor in what others compare with those for which a coarse clock shows nothing,
// however many. With the least of some tries leaders handed over five times on a calm day, with
// one measure for both twelve times on another.
func TestBenchmarkIgnoresDisturbanceAndCoarseClock(t *testing.T) {
	var monitor Monitor
	for i := range tuning.PaceTries {
		if i < tuning.PaceLast && monitor.ComparisonUS() != 0 || i < tuning.PaceTries/2 && monitor.PublishedUS() != 0 {
			t.Fatalf("told after %d tries", i)
		}
		used := time.Duration(i%2) * time.Microsecond
		if i == 100 {
			used = 83 * time.Microsecond
		}
		monitor.add(used)
	}
	if monitor.PublishedUS() != 83 || monitor.ComparisonUS() != 1 {
		t.Errorf("idle: %d for others, %d for itself", monitor.PublishedUS(), monitor.ComparisonUS())
	}
	monitor.add(9 * time.Millisecond)
	monitor.add(9 * time.Millisecond)
	if monitor.ComparisonUS() != 1 {
		t.Errorf("two disturbed tries count: %d", monitor.ComparisonUS())
	}
	for range tuning.PaceRank {
		monitor.add(240 * time.Microsecond)
	}
	if monitor.ComparisonUS() != 240 {
		t.Errorf("pace %d: slow tries do not show", monitor.ComparisonUS())
	}
	if used, err := processorTime(func() { time.Sleep(0) }); err != nil || used < 0 || used > time.Second {
		t.Error(used, err)
	}
}
