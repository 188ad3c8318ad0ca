package election

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/internal/standin"
	"switchferry/store"
	"switchferry/tuning"
)

type events struct {
	elected, lost []uint64
	alone         bool
}

func (e *events) Elected(t uint64)        { e.elected = append(e.elected, t) }
func (e *events) Lost(t uint64, _ string) { e.lost = append(e.lost, t) }
func (e *events) Alone() bool             { return e.alone }

func two() (*standin.State, *clockwork.FakeClock, *Elector, *Elector) {
	clock := clockwork.NewFakeClock()
	st := standin.NewState(clock)
	mk := func(m string) *Elector { return New(m, store.NewClient("x:1", st), clock, &events{}) }
	return st, clock, mk("n0"), mk("n1")
}

var bg = context.Background()

// One leads at a time, and terms only grow.
func TestOneLeaderAtATime(t *testing.T) {
	_, clock, a, b := two()
	if !a.Stand(bg) || b.Stand(bg) {
		t.Fatal("not exactly one leader")
	}
	first, valid := a.Term()
	if m, term := b.Leader(); m != "n0" || term != first || !valid {
		t.Errorf("n1 follows %s in term %d", m, term)
	}
	clock.Advance(tuning.TermTTL + time.Second)
	if _, valid := a.Term(); valid {
		t.Error("valid although its lease has run out")
	}
	if !b.Stand(bg) {
		t.Fatal("n1 not elected")
	}
	if second, _ := b.Term(); second <= first {
		t.Errorf("term %d after %d", second, first)
	}
}

// An election whose answer was lost is read again before anything else.
func TestElectionWithLostAnswer(t *testing.T) {
	st, _, a, b := two()
	st.LoseAnswer = true
	if !a.Stand(bg) {
		t.Fatal("the winner does not know that it won")
	}
	if b.Stand(bg) {
		t.Error("two leaders")
	}
}

// A node that the state service refuses, while others are served, is no leader
// once its key's life is over.
func TestOutageEndsValidity(t *testing.T) {
	st, clock, a, _ := two()
	if !a.Stand(bg) {
		t.Fatal("not elected")
	}
	st.Down = true
	clock.Advance(tuning.TermTTL)
	if _, valid := a.Term(); valid {
		t.Error("valid without a renewal")
	}
	if a.Overdue() <= 0 {
		t.Error("not overdue")
	}
}

// What our own earlier process left behind does not hold up the next.
func TestOwnLeftover(t *testing.T) {
	st, clock, a, _ := two()
	if !a.Stand(bg) {
		t.Fatal("not elected")
	}
	again := New("n0", store.NewClient("x:1", st), clock, &events{})
	done := make(chan bool)
	go func() { done <- again.Stand(bg) }()
	clock.BlockUntilContext(bg, 1)
	clock.Advance(time.Second)
	if <-done || !again.Stand(bg) {
		t.Error("still waits for its own old lease")
	}
}
