package cpupressure

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/peer"
	"switchferry/tuning"
)

// A leader that computes three times slower than a peer transfers its leadership, but not at once, and not if
// the peer is slow as well or does not reach the state service.
func TestSlowLeaderTransfersLeadership(t *testing.T) {
	clock := clockwork.NewFakeClock()
	elected := clock.Now().Add(-time.Hour)
	fast := []peer.Hello{{Member: "b", StateOK: true, BenchmarkUS: 100}}
	var transfer LeadershipTransfer
	if transfer.Due(clock.Now(), elected, 300, fast) {
		t.Error("due at the first call")
	}
	clock.Advance(tuning.TransferAfter)
	if !transfer.Due(clock.Now(), elected, 300, fast) {
		t.Error("not due though slow for long enough")
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
			t.Errorf("slow counted with peers %+v", peers)
		}
	}
}

// A busy leader is not slow. Samples that were disturbed do not show in the time that it compares, nor do those
// for which a coarse clock shows nothing in the time that it publishes, however many they are. With the least
// of some samples leaders resigned five times on a calm day, with one measure for both twelve times on
// another.
func TestBenchmarkIgnoresDisturbanceAndCoarseClock(t *testing.T) {
	var monitor Monitor
	for i := range tuning.BenchmarkSamples {
		if i < tuning.BenchmarkRecent && monitor.ComparisonUS() != 0 || i < tuning.BenchmarkSamples/2 && monitor.PublishedUS() != 0 {
			t.Fatalf("stated after %d samples", i)
		}
		used := time.Duration(i%2) * time.Microsecond
		if i == 100 {
			used = 83 * time.Microsecond
		}
		monitor.add(used)
	}
	if monitor.PublishedUS() != 83 || monitor.ComparisonUS() != 1 {
		t.Errorf("idle: %d published, %d for comparison", monitor.PublishedUS(), monitor.ComparisonUS())
	}
	monitor.add(9 * time.Millisecond)
	monitor.add(9 * time.Millisecond)
	if monitor.ComparisonUS() != 1 {
		t.Errorf("two disturbed samples count: %d", monitor.ComparisonUS())
	}
	for range tuning.BenchmarkRank {
		monitor.add(240 * time.Microsecond)
	}
	if monitor.ComparisonUS() != 240 {
		t.Errorf("%d for comparison: slow samples do not show", monitor.ComparisonUS())
	}
	if used, err := processorTime(func() { time.Sleep(0) }); err != nil || used < 0 || used > time.Second {
		t.Error(used, err)
	}
}
