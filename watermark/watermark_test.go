package watermark

import (
	"fmt"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// trio is three controllers on a clock of its own. a is the one that is watched: it led for certain until
// second 0.
type trio struct {
	t  *testing.T
	at time.Time
	of map[string]*Tracker
	// off are those who do not reach each other, "ab".
	off map[string]bool
}

var (
	start  = time.Unix(1_000_000, 0)
	limits = NewLimits(47*time.Second, 17*time.Second) // leases are renewed for 29 s without word
)

func newTrio(t *testing.T) *trio {
	x := &trio{t: t, at: start.Add(-20 * time.Second), of: map[string]*Tracker{}, off: map[string]bool{}}
	for _, m := range []string{"a", "b", "c"} {
		x.begin(m)
	}
	for x.at.Before(start) {
		x.of["a"].MarkCurrent(x.at)
		x.second()
	}
	x.of["a"].MarkCurrent(x.at)
	return x
}

// begin starts a process anew.
func (x *trio) begin(m string) {
	var others []string
	for _, o := range []string{"a", "b", "c"} {
		if o != m {
			others = append(others, o)
		}
	}
	x.of[m] = New(x.at, others, limits)
}

// second lets each ask the others, and a second pass.
func (x *trio) second() {
	for m, b := range x.of {
		for o, s := range x.of {
			if o == m || x.off[m+o] || x.off[o+m] {
				continue
			}
			life, have := b.Position(o)
			if err := b.ApplyStatement(x.at, o, x.at, s.Statement(x.at, life, have)); err != nil {
				x.t.Errorf("%s of %s: %v", m, o, err)
			}
		}
	}
	x.at = x.at.Add(time.Second)
}

// Until when a renews leases that a worker then keeps for another 17 s, and what of a cancellation told by b
// or c it knows by then. Nobody reaches the state service from second 0 on, but where it is said.
func TestUntilWhenLeasesAreRenewed(t *testing.T) {
	const ever = 120
	for _, c := range []struct {
		name string
		// does is what happens at each second.
		does func(x *trio, s int)
		// last is the last second in which a renews; knows: it knows of run-1, if that was told.
		last  int
		knows bool
	}{
		{"all well", func(*trio, int) {}, ever, false},
		{"told by another", func(x *trio, s int) {
			if s == 5 {
				x.of["b"].RecordCancellation(x.at, "run-1")
			}
		}, ever, true},
		{"told by one that reaches only a third", func(x *trio, s int) {
			x.off["ab"] = true
			if s == 5 {
				x.of["b"].RecordCancellation(x.at, "run-1")
			}
			// c confirms what b has told it.
		}, ever, true},
		{"told by one that is cut off then", func(x *trio, s int) {
			if x.off["ab"], x.off["bc"] = s >= 5, s >= 5; s == 5 {
				x.of["b"].RecordCancellation(x.at, "run-1")
			}
		}, 4 + 29, false},
		{"out of reach for a while", func(x *trio, s int) { x.off["ab"], x.off["ac"] = s > 5 && s < 20, s > 5 && s < 20 }, ever, false},
		{"out of reach one after the other", func(x *trio, s int) { x.off["ab"], x.off["ac"] = s > 5 && s < 20, s > 30 && s < 50 }, ever, false},
		{"out of reach of both for good", func(x *trio, s int) { x.off["ab"], x.off["ac"] = s > 5, s > 5 }, 5 + 29, false},
		{"out of reach of both for long", func(x *trio, s int) { x.off["ab"], x.off["ac"] = s > 5 && s < 60, s > 5 && s < 60 }, ever, false},
		{"told, and back at once", func(x *trio, s int) {
			if s == 5 {
				x.of["b"].RecordCancellation(x.at, "run-1")
				x.begin("b")
			}
		}, 4 + 29, false},
		{"told, heard, and back", func(x *trio, s int) {
			switch s {
			case 5:
				x.of["b"].RecordCancellation(x.at, "run-1")
			case 7:
				x.begin("b")
			}
		}, 6 + 29, true},
		{"told, heard, back, and told", func(x *trio, s int) {
			switch s {
			case 3:
				x.of["b"].RecordCancellation(x.at, "run-9")
			case 5:
				x.begin("b")
				x.of["b"].RecordCancellation(x.at, "run-1")
			}
		}, 4 + 29, true},
		{"both back one after the other", func(x *trio, s int) {
			switch s {
			case 5:
				x.begin("b")
			case 20:
				x.begin("c")
			}
		}, 4 + 29, false},
		{"back itself", func(x *trio, s int) {
			if s == 10 {
				x.begin("a")
			}
			// It has what b and c know, and they know what it told before it ended at second 9.
		}, 9 + 28, false},
		{"all back at once", func(x *trio, s int) {
			if s == 0 {
				x.begin("a")
				x.begin("b")
				x.begin("c")
			}
		}, -1, false},
		{"one back, then a leader who is certain", func(x *trio, s int) {
			switch {
			case s == 5:
				x.begin("b")
			case s >= 30:
				x.of["b"].RecordCancellation(x.at, "run-1")
				x.of["b"].MarkCurrent(x.at)
			}
		}, ever, true},
		{"more at once than an answer holds", func(x *trio, s int) {
			if s == 5 {
				for i := range 2*tuning.CancellationsAtOnce + 1 {
					x.of["b"].RecordCancellation(x.at, fmt.Sprintf("run-%d", i+1))
				}
			}
		}, ever, true},
		{"more than can be remembered", func(x *trio, s int) {
			if s == 5 {
				for i := range tuning.CancellationsKept + 1 {
					x.of["b"].RecordCancellation(x.at, fmt.Sprintf("run-%d", i+1))
				}
			}
		}, 4 + 29, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newTrio(t)
			last, knows := -1, false
			for s := range ever + 1 {
				c.does(x, s)
				if ok, _ := x.of["a"].MayRenew(x.at.Add(-time.Millisecond)); ok {
					last = s
				} else if len(x.of["a"].UnconfirmedPeers()) == 0 {
					t.Errorf("second %d: no reason why leases are not renewed", s)
				}
				knows = knows || len(x.of["a"].KillCommands([]api.TaskReport{{Task: "run-1/0", State: api.TaskRunning}}, nil)) > 0
				x.second()
			}
			if last != c.last || knows != c.knows {
				t.Errorf("renewed until second %d, knows %v; want %d, %v", last, knows, c.last, c.knows)
			}
		})
	}
}

// An answer counts from its question: with the time of its arrival, what was told in between was held for known.
func TestAnswersCountFromTheQuestion(t *testing.T) {
	x := newTrio(t)
	a, b, c := x.of["a"], x.of["b"], x.of["c"]
	lb, hb := a.Position("b")
	lc, hc := a.Position("c")
	sb, sc := b.Statement(x.at, lb, hb), c.Statement(x.at, lc, hc)
	b.RecordCancellation(x.at.Add(time.Second), "run-1")
	later := x.at.Add(10 * time.Second)
	if err := a.ApplyStatement(later, "b", x.at, sb); err != nil {
		t.Fatal(err)
	}
	if err := a.ApplyStatement(later, "c", x.at, sc); err != nil {
		t.Fatal(err)
	}
	if ok, without := a.MayRenew(later); !ok || without < 10*time.Second {
		t.Errorf("renews %v, word of %v ago, from answers to what was asked 10 s ago", ok, without)
	}
	// One that comes after newer ones takes nothing back.
	x.at = later
	x.second()
	_, before := a.MayRenew(later)
	_ = a.ApplyStatement(later, "b", start, sb)
	if _, without := a.MayRenew(later); without != before {
		t.Errorf("word of %v ago, was %v", without, before)
	}
}

// Whatever a sibling says that cannot be true is not believed, and makes nobody renew for longer, nor names a
// job to be stopped.
func TestBadWordIsNotBelieved(t *testing.T) {
	for name, spoil := range map[string]func(s *Statement){
		"no life":              func(s *Statement) { s.Incarnation = 0 },
		"to before from":       func(s *Statement) { s.From, s.To = 5, 4 },
		"more than the latest": func(s *Statement) { s.To = s.Latest + 1 },
		"knows ahead":          func(s *Statement) { s.Age = -time.Minute },
		"told ahead":           func(s *Statement) { s.Cancellations = []Cancellation{{"run-1", -time.Hour}} },
		"no job's name":        func(s *Statement) { s.Cancellations = []Cancellation{{"run-1/0", 0}} },
		"less than before":     func(s *Statement) { s.From, s.To, s.Latest = 0, 0, 0 },
	} {
		x := newTrio(t)
		x.of["b"].RecordCancellation(x.at, "run-7")
		x.second()
		a, at := x.of["a"], x.at.Add(20*time.Second)
		_, before := a.MayRenew(at)
		life, have := a.Position("b")
		s := x.of["b"].Statement(at, life, have)
		s.Current, s.Age = true, 0
		spoil(&s)
		if err := a.ApplyStatement(at, "b", at, s); err == nil {
			t.Errorf("%s: believed", name)
		}
		if _, without := a.MayRenew(at); without != before {
			t.Errorf("%s: word of %v ago, was %v", name, without, before)
		}
		if len(a.KillCommands([]api.TaskReport{{Task: "run-1/0", State: api.TaskRunning}}, nil)) > 0 {
			t.Errorf("%s: stops a job that nobody cancelled", name)
		}
	}
	x := newTrio(t)
	if x.of["a"].ApplyStatement(x.at, "d", x.at, x.of["b"].Statement(x.at, 0, 0)) == nil {
		t.Error("a stranger is believed")
	}
	// What is only said from further on than we have leaves a gap, and confirms nothing.
	x.of["b"].RecordCancellation(x.at, "run-1")
	x.of["b"].RecordCancellation(x.at, "run-2")
	at := x.at.Add(20 * time.Second)
	_, before := x.of["a"].MayRenew(at)
	life, have := x.of["a"].Position("b")
	s := x.of["b"].Statement(at, life, have+1)
	s.Current = true
	_ = x.of["a"].ApplyStatement(at, "b", at, s)
	if _, without := x.of["a"].MayRenew(at); without != before {
		t.Errorf("word of %v ago from an answer with a gap, was %v", without, before)
	}
}

// A cancellation is remembered until its tasks are gone for certain, counted from when it was told last, and
// then by nobody, however often siblings hand it to each other.
func TestCancellationsAreForgotten(t *testing.T) {
	x := newTrio(t)
	stops := func(m string) bool {
		return len(x.of[m].KillCommands([]api.TaskReport{{Task: "run-1/0", State: api.TaskRunning}}, nil)) > 0
	}
	x.of["b"].RecordCancellation(x.at, "run-1")
	for range 30 {
		x.second()
	}
	x.of["b"].RecordCancellation(x.at, "run-1") // its record was stored only now
	for s := range 140 {
		x.second()
		for m := range x.of {
			if s < 47 && !stops(m) {
				t.Fatalf("%s has forgotten after %d s", m, s)
			}
			if s > 70 && stops(m) {
				t.Fatalf("%s still remembers after %d s", m, s)
			}
		}
	}
}

// What is on the machine of a cancelled job is ended, and nothing else, and nothing twice.
func TestStops(t *testing.T) {
	b := New(start, nil, limits)
	b.RecordCancellation(start, "run-1")
	slow, now := 10.0, tuning.CancelKill
	tasks := []api.TaskReport{{Task: "run-1/0", Attempt: 3, State: api.TaskRunning}, {Task: "run-1/1", Attempt: 4, State: api.TaskFetching},
		{Task: "run-1/2", Attempt: 5, State: api.TaskExited}, {Task: "run-1/3", Attempt: 6, State: api.TaskSaving}, {Task: "run-1/4", Attempt: 7, State: api.TaskRunning}, {Task: "run-12/0", Attempt: 8, State: api.TaskRunning}}
	got := b.KillCommands(tasks, []api.Command{{Verb: api.CommandKill, Task: "run-1/3", Attempt: 6, GraceS: &slow}, {Verb: api.CommandKill, Task: "run-1/4", Attempt: 7, GraceS: &now}})
	want := []string{"run-1/0 3", "run-1/1 4", "run-1/3 6"}
	if len(got) != len(want) {
		t.Fatalf("%+v", got)
	}
	for i, c := range got {
		if fmt.Sprint(c.Task, " ", c.Attempt) != want[i] || c.Verb != api.CommandKill || *c.GraceS != 0 {
			t.Errorf("%+v, want %s", c, want[i])
		}
	}
	mail := []api.Command{{Verb: api.CommandRun, Task: "run-1/5"}, {Verb: api.CommandRun, Task: "run-12/1"}, {Verb: api.CommandClear, Task: "run-1/2"}}
	if left := b.WithoutCancelledStarts(mail); len(left) != 2 || left[0].Task != "run-12/1" || left[1].Verb != api.CommandClear || len(mail) != 3 || mail[0].Task != "run-1/5" {
		t.Errorf("of %+v %+v is left", mail, left)
	}
}
