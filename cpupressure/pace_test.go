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
func TestSlowLeaderHandsOver(t *testing.T) {
	clock := clockwork.NewFakeClock()
	elected := clock.Now().Add(-time.Hour)
	fast := []peer.Hello{{Member: "b", StateOK: true, BenchmarkUS: 100}}
	var h LeadershipTransfer
	if h.Due(clock.Now(), elected, 300, fast) {
		t.Error("at the first sight")
	}
	clock.Advance(tuning.SlowFor)
	if !h.Due(clock.Now(), elected, 300, fast) {
		t.Error("kept the post though slow")
	}
	if h.Due(clock.Now(), clock.Now().Add(-time.Second), 300, fast) {
		t.Error("right after the election")
	}
	for _, s := range [][]peer.Hello{nil, {{BenchmarkUS: 100}}, {{StateOK: true, BenchmarkUS: 290}}, {{StateOK: true}}} {
		h = LeadershipTransfer{since: elected}
		if h.Due(clock.Now(), elected, 300, s) {
			t.Errorf("handed over to %+v", s)
		}
		if !h.since.IsZero() {
			t.Errorf("%+v counted towards the time", s)
		}
	}
}

// A busy leader is not slow: tries that were disturbed do not show in the pace that it
// compares, nor in what others compare with those for which a coarse clock shows nothing,
// however many. With the least of some tries leaders handed over five times on a calm day, with
// one measure for both twelve times on another.
func TestPaceIsNeitherDisturbedNorCoarse(t *testing.T) {
	var p Monitor
	for i := range tuning.PaceTries {
		if i < tuning.PaceLast && p.ComparisonUS() != 0 || i < tuning.PaceTries/2 && p.PublishedUS() != 0 {
			t.Fatalf("told after %d tries", i)
		}
		took := time.Duration(i%2) * time.Microsecond
		if i == 100 {
			took = 83 * time.Microsecond
		}
		p.add(took)
	}
	if p.PublishedUS() != 83 || p.ComparisonUS() != 1 {
		t.Errorf("idle: %d for others, %d for itself", p.PublishedUS(), p.ComparisonUS())
	}
	p.add(9 * time.Millisecond)
	p.add(9 * time.Millisecond)
	if p.ComparisonUS() != 1 {
		t.Errorf("two disturbed tries count: %d", p.ComparisonUS())
	}
	for range tuning.PaceRank {
		p.add(240 * time.Microsecond)
	}
	if p.ComparisonUS() != 240 {
		t.Errorf("pace %d: slow tries do not show", p.ComparisonUS())
	}
	if took, err := processorTime(func() { time.Sleep(0) }); err != nil || took < 0 || took > time.Second {
		t.Error(took, err)
	}
}
