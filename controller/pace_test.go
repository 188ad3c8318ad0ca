package controller

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
	fast := []peer.Hello{{Member: "b", StateOK: true, PaceUS: 100}}
	var h handover
	if h.due(clock.Now(), elected, 300, fast) {
		t.Error("at the first sight")
	}
	clock.Advance(tuning.SlowFor)
	if !h.due(clock.Now(), elected, 300, fast) {
		t.Error("kept the post though slow")
	}
	if h.due(clock.Now(), clock.Now().Add(-time.Second), 300, fast) {
		t.Error("right after the election")
	}
	for _, s := range [][]peer.Hello{nil, {{PaceUS: 100}}, {{StateOK: true, PaceUS: 290}}, {{StateOK: true}}} {
		h = handover{since: elected}
		if h.due(clock.Now(), elected, 300, s) {
			t.Errorf("handed over to %+v", s)
		}
		if !h.since.IsZero() {
			t.Errorf("%+v counted towards the time", s)
		}
	}
}

// One quiet moment among busy ones shows the pace: load alone is not slowness.
func TestPaceIsTheLeastOfSomeTries(t *testing.T) {
	var p pace
	for i := range tuning.PaceTries {
		if p.us() != 0 {
			t.Fatal("told after too few tries")
		}
		p.add(time.Duration(5+i) * time.Millisecond)
	}
	p.add(80 * time.Microsecond)
	if p.us() != 80 {
		t.Errorf("pace %d", p.us())
	}
	for range tuning.PaceTries {
		p.add(time.Millisecond)
	}
	if p.us() != 1000 {
		t.Errorf("an old try still counts: %d", p.us())
	}
}
