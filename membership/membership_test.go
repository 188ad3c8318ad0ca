package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"switchferry/tuning"
)

// three are controllers that greet each other on one clock; the test cuts ways, and stops and
// restarts processes.
type three struct {
	*testing.T
	now    time.Time
	rng    *rand.Rand
	tables map[string]*MemberList
	born   map[string]uint64
	// up: its process runs; still: it stands still until then; cut: nothing goes that way.
	up    map[string]bool
	still map[string]time.Time
	cut   map[string]bool
	// loss is the share of greetings that are sent again, up to a second later.
	loss    float64
	leaving map[string]bool
	due     map[string]time.Time
	mail    []mail
	log     []string
	failed  map[string]time.Time
}

type mail struct {
	at time.Time
	to string
	o  Observation
}

var names = []string{"a", "b", "c"}

func newThree(t *testing.T) *three {
	w := &three{T: t, now: time.Unix(1_790_000_000, 0), rng: rand.New(rand.NewPCG(1, 2)), tables: map[string]*MemberList{}, born: map[string]uint64{}, up: map[string]bool{},
		still: map[string]time.Time{}, cut: map[string]bool{}, leaving: map[string]bool{}, due: map[string]time.Time{}, failed: map[string]time.Time{}}
	for _, n := range names {
		w.begin(n)
	}
	w.run(10 * time.Second)
	w.log, w.failed = nil, map[string]time.Time{}
	return w
}

func (w *three) begin(n string) {
	w.up[n], w.born[n] = true, uint64(w.now.UnixMilli())
	w.tables[n] = New(n, slices.DeleteFunc(slices.Clone(names), func(o string) bool { return o == n }), w.now)
	for _, o := range names {
		if o != n {
			w.send(o, n, Connection{n, Established})
			w.send(n, o, Connection{o, Established})
		}
	}
}

func (w *three) send(to, from string, o Observation) {
	delay := time.Duration(w.rng.IntN(4)) * time.Millisecond
	if w.rng.Float64() < w.loss {
		delay += 200*time.Millisecond + time.Duration(w.rng.IntN(800))*time.Millisecond
	}
	if !w.cut[from+to] {
		w.mail = append(w.mail, mail{w.now.Add(delay), to, o})
	}
}

// crash ends a process: the others' connections are reset, and new ones refused.
func (w *three) crash(n string) {
	w.up[n] = false
	for _, o := range names {
		if o != n {
			w.send(o, n, Connection{n, Reset})
		}
	}
}

func (w *three) stands(n string) bool { return w.still[n].After(w.now) }

func (w *three) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(50 * time.Millisecond) {
		for _, n := range names {
			if w.stands(n) || w.now.Before(w.due[n]) {
				continue
			}
			w.due[n] = w.now.Add(tuning.PeerHello)
			for _, o := range names {
				switch {
				case o == n:
				case w.up[n]:
					w.send(o, n, Hello{From: n, StartedMS: w.born[n], HeardPeers: w.tables[n].HeardPeers(), StateOK: true, ReceivesHeartbeats: true, BenchmarkUS: 100, Leaving: w.leaving[n]})
				default:
					w.send(o, n, Connection{n, Refused})
				}
			}
		}
		for _, n := range names {
			if !w.up[n] || w.stands(n) {
				continue
			}
			seen := []Observation{LocalState{StateOK: true, ReceivesHeartbeats: true}}
			w.mail = slices.DeleteFunc(w.mail, func(m mail) bool {
				if m.to == n && !m.at.After(w.now) {
					seen = append(seen, m.o)
					return true
				}
				return false
			})
			for _, c := range w.tables[n].Step(w.now, seen...) {
				w.log = append(w.log, fmt.Sprintf("%s: %s %s %v", n, c.Member, c.To, c.Parts))
				if c.To == Failed {
					w.failed[n+c.Member] = w.now
				}
			}
		}
	}
}

// level is how one controller sees another.
func (w *three) level(n, of string) Level {
	for _, v := range w.tables[n].Views(w.now) {
		if v.Member == of {
			return v.Level
		}
	}
	return ""
}

func (w *three) want(n, of string, l Level) {
	w.Helper()
	if got := w.level(n, of); got != l {
		w.Errorf("%s sees %s as %s, want %s; %v", n, of, got, l, w.log)
	}
}

// A crash shows by its connections before any silence: suspected at once, a verdict as soon as a
// second one does not hear it.
func TestCrashIsAVerdictOfTwo(t *testing.T) {
	w := newThree(t)
	at := w.now
	w.crash("c")
	w.run(3 * time.Second)
	w.want("a", "c", Failed)
	w.want("b", "c", Failed)
	w.want("a", "b", Alive)
	for _, n := range []string{"ac", "bc"} {
		if took := w.failed[n].Sub(at); took > 1500*time.Millisecond {
			t.Errorf("%s after %v", n, took)
		}
	}
	w.begin("c")
	w.run(2 * time.Second)
	w.want("a", "c", Alive)
	if !slices.Contains(w.log, "a: c alive []") {
		t.Error("its return is not told:", w.log)
	}
}

// A pause is a suspicion, which the next greeting takes back. Whoever paused does not suspect the
// others for what it could not hear.
func TestPauseIsNoVerdictAndOnesOwnNoSuspicion(t *testing.T) {
	for _, pause := range []time.Duration{600 * time.Millisecond, 1300 * time.Millisecond, 2 * time.Second} {
		w := newThree(t)
		w.still["c"] = w.now.Add(pause)
		w.run(pause + 5*time.Second)
		w.want("a", "c", Alive)
		for _, l := range w.log {
			if l[:2] == "c:" && l[3] != 'c' {
				t.Errorf("pause of %v: %v", pause, w.log)
				break
			}
		}
		if len(w.failed) > 0 {
			t.Errorf("pause of %v: a verdict, %v", pause, w.log)
		}
	}
}

// A controller that one does not hear and the other does is behind a broken link, not gone; so is
// each that hears only one way.
func TestLinkIsToldFromProcess(t *testing.T) {
	for _, cut := range [][]string{{"ca"}, {"ca", "ac"}} {
		w := newThree(t)
		for _, c := range cut {
			w.cut[c] = true
		}
		w.run(20 * time.Second)
		w.want("a", "c", Suspected)
		w.want("b", "c", Alive)
		w.want("b", "a", Alive)
		if len(w.failed) > 0 {
			t.Errorf("a verdict: %v", w.log)
		}
		for _, v := range w.tables["a"].Views(w.now) {
			if v.Member == "c" && !slices.Equal(v.Parts, []string{Link}) {
				t.Errorf("suspected of %v", v.Parts)
			}
		}
		clear(w.cut)
		w.run(5 * time.Second)
		w.want("a", "c", Alive)
	}
}

// Who hears nobody, and is refused by nobody, suspects itself and gives no verdict.
func TestCutOffSuspectsItself(t *testing.T) {
	w := newThree(t)
	for _, o := range []string{"ba", "ca", "ab", "ac"} {
		w.cut[o] = true
	}
	w.run(20 * time.Second)
	w.want("a", "a", Suspected)
	w.want("a", "b", Suspected)
	w.want("b", "a", Failed)
	if _, ok := w.failed["ab"]; ok {
		t.Error("the one that is cut off gives a verdict")
	}
}

// Of contradicting news that of the later process counts, and a planned end is none in trouble.
func TestIncarnationsAndPlannedEnds(t *testing.T) {
	w := newThree(t)
	w.leaving["c"] = true
	w.run(time.Second)
	w.want("a", "c", Left)
	w.crash("c")
	w.run(5 * time.Second)
	w.want("a", "c", Left)
	old := Hello{From: "c", StartedMS: w.born["c"], StateOK: true, ReceivesHeartbeats: true, Leaving: true}
	w.leaving["c"] = false
	w.begin("c")
	w.run(2 * time.Second)
	w.tables["a"].Step(w.now, old)
	w.want("a", "c", Alive)
}

// A leader that no worker reaches while others are reached is in trouble, a follower is not: in one
// zone workers report to the leader alone.
func TestWorkersMustReachTheLeaderAlone(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	for _, leads := range []bool{false, true} {
		table := New("a", []string{"b"}, now)
		table.Step(now, LocalState{StateOK: true, ReceivesHeartbeats: true}, Hello{From: "b", StartedMS: 1, StateOK: true, Leads: leads})
		v := table.Views(now)[1]
		if v.Level != Alive || slices.Contains(v.Parts, Workers) != leads {
			t.Errorf("leads %v: %s, in trouble %v", leads, v.Level, v.Parts)
		}
	}
}

// In two hours with one greeting in a hundred sent again nobody is given up, and few are suspected.
func TestLossIsNoVerdict(t *testing.T) {
	w := newThree(t)
	w.loss = 0.01
	w.run(2 * time.Hour)
	if len(w.failed) > 0 {
		t.Error("a verdict without cause")
	}
	if n := len(w.log); n > 40 {
		t.Errorf("%d changes of level in two hours", n)
	} else {
		t.Logf("%d changes of level in two hours among three", n)
	}
}
