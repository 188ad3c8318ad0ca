package watermark

import (
	"fmt"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// cluster is three controllers, a, b and c, on one simulated clock. The tests observe a, which is certain to
// have led until start.
type cluster struct {
	t        *testing.T
	now      time.Time
	trackers map[string]*Tracker
	// disconnected has the pairs that do not reach each other, "ab" for a and b.
	disconnected map[string]bool
}

var (
	start  = time.Unix(1_000_000, 0)
	limits = NewLimits(47*time.Second, 17*time.Second) // leases are renewed for 29 s without confirmation
)

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, now: start.Add(-20 * time.Second), trackers: map[string]*Tracker{}, disconnected: map[string]bool{}}
	for _, member := range []string{"a", "b", "c"} {
		c.restart(member)
	}
	for c.now.Before(start) {
		c.trackers["a"].MarkCurrent(c.now)
		c.exchangeAndAdvance()
	}
	c.trackers["a"].MarkCurrent(c.now)
	return c
}

// restart replaces a controller by a new process that knows nothing.
func (c *cluster) restart(member string) {
	var others []string
	for _, other := range []string{"a", "b", "c"} {
		if other != member {
			others = append(others, other)
		}
	}
	c.trackers[member] = New(c.now, others, limits)
}

// exchangeAndAdvance lets every controller apply a statement of each peer, and advances the clock by a second.
func (c *cluster) exchangeAndAdvance() {
	for member, tracker := range c.trackers {
		for other, peer := range c.trackers {
			if other == member || c.disconnected[member+other] || c.disconnected[other+member] {
				continue
			}
			incarnation, receivedSeq := tracker.Position(other)
			if err := tracker.ApplyStatement(c.now, other, c.now, peer.Statement(c.now, incarnation, receivedSeq)); err != nil {
				c.t.Errorf("%s of %s: %v", member, other, err)
			}
		}
	}
	c.now = c.now.Add(time.Second)
}

// Without confirmation by its peers a controller renews leases, each of which lasts another 17 s, for 29 s
// and no longer. Each case also says whether a learns of a cancellation that b acknowledged. Except where a
// case says so, no controller reaches the state service after start.
func TestLeaseRenewalEndsWithoutConfirmation(t *testing.T) {
	const ever = 120
	for _, test := range []struct {
		name string
		// apply makes happen what happens at a second.
		apply func(c *cluster, second int)
		// last is the last second in which a renews leases.
		last int
		// knows is whether a learns that run-1 is cancelled.
		knows bool
	}{
		{"no fault", func(*cluster, int) {}, ever, false},
		{"cancelled by a peer", func(c *cluster, second int) {
			if second == 5 {
				c.trackers["b"].RecordCancellation(c.now, "run-1")
			}
		}, ever, true},
		{"cancelled by a peer that reaches only the other", func(c *cluster, second int) {
			c.disconnected["ab"] = true
			if second == 5 {
				c.trackers["b"].RecordCancellation(c.now, "run-1")
			}
			// c passes on what b has stated.
		}, ever, true},
		{"cancelled by a peer that is cut off then", func(c *cluster, second int) {
			if c.disconnected["ab"], c.disconnected["bc"] = second >= 5, second >= 5; second == 5 {
				c.trackers["b"].RecordCancellation(c.now, "run-1")
			}
		}, 4 + 29, false},
		{"cut off briefly", func(c *cluster, second int) {
			c.disconnected["ab"], c.disconnected["ac"] = second > 5 && second < 20, second > 5 && second < 20
		}, ever, false},
		{"peers cut off one after the other", func(c *cluster, second int) {
			c.disconnected["ab"], c.disconnected["ac"] = second > 5 && second < 20, second > 30 && second < 50
		}, ever, false},
		{"cut off for good", func(c *cluster, second int) { c.disconnected["ab"], c.disconnected["ac"] = second > 5, second > 5 }, 5 + 29, false},
		{"cut off for long", func(c *cluster, second int) {
			c.disconnected["ab"], c.disconnected["ac"] = second > 5 && second < 60, second > 5 && second < 60
		}, ever, false},
		{"peer cancels and restarts at once", func(c *cluster, second int) {
			if second == 5 {
				c.trackers["b"].RecordCancellation(c.now, "run-1")
				c.restart("b")
			}
		}, 4 + 29, false},
		{"peer cancels, states it and restarts", func(c *cluster, second int) {
			switch second {
			case 5:
				c.trackers["b"].RecordCancellation(c.now, "run-1")
			case 7:
				c.restart("b")
			}
		}, 6 + 29, true},
		{"peer cancels, states it, restarts and cancels", func(c *cluster, second int) {
			switch second {
			case 3:
				c.trackers["b"].RecordCancellation(c.now, "run-9")
			case 5:
				c.restart("b")
				c.trackers["b"].RecordCancellation(c.now, "run-1")
			}
		}, 4 + 29, true},
		{"both peers restart one after the other", func(c *cluster, second int) {
			switch second {
			case 5:
				c.restart("b")
			case 20:
				c.restart("c")
			}
		}, 4 + 29, false},
		{"restart", func(c *cluster, second int) {
			if second == 10 {
				c.restart("a")
			}
			// It learns what b and c know, which includes what its previous process acknowledged until second 9.
		}, 9 + 28, false},
		{"all restart at once", func(c *cluster, second int) {
			if second == 0 {
				c.restart("a")
				c.restart("b")
				c.restart("c")
			}
		}, -1, false},
		{"peer restarts and then leads", func(c *cluster, second int) {
			switch {
			case second == 5:
				c.restart("b")
			case second >= 30:
				c.trackers["b"].RecordCancellation(c.now, "run-1")
				c.trackers["b"].MarkCurrent(c.now)
			}
		}, ever, true},
		{"more than a statement holds", func(c *cluster, second int) {
			if second == 5 {
				for i := range 2*tuning.CancellationsAtOnce + 1 {
					c.trackers["b"].RecordCancellation(c.now, fmt.Sprintf("run-%d", i+1))
				}
			}
		}, ever, true},
		{"more than is kept", func(c *cluster, second int) {
			if second == 5 {
				for i := range tuning.CancellationsKept + 1 {
					c.trackers["b"].RecordCancellation(c.now, fmt.Sprintf("run-%d", i+1))
				}
			}
		}, 4 + 29, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := newCluster(t)
			last, knows := -1, false
			for second := range ever + 1 {
				test.apply(cluster, second)
				if allowed, _ := cluster.trackers["a"].MayRenew(cluster.now.Add(-time.Millisecond)); allowed {
					last = second
				} else if len(cluster.trackers["a"].UnconfirmedPeers()) == 0 {
					t.Errorf("second %d: no reason why leases are not renewed", second)
				}
				knows = knows || len(cluster.trackers["a"].KillCommands([]api.TaskReport{{Task: "run-1/0", State: api.TaskRunning}}, nil)) > 0
				cluster.exchangeAndAdvance()
			}
			if last != test.last || knows != test.knows {
				t.Errorf("renewed until second %d, knows %v; want %d, %v", last, knows, test.last, test.knows)
			}
		})
	}
}

// A statement counts from when it was asked for. Counted from its arrival, what was acknowledged in between
// would be taken for known.
func TestStatementsCountFromTheirRequest(t *testing.T) {
	cluster := newCluster(t)
	tracker, peerB, peerC := cluster.trackers["a"], cluster.trackers["b"], cluster.trackers["c"]
	incarnationB, receivedB := tracker.Position("b")
	incarnationC, receivedC := tracker.Position("c")
	statementB, statementC := peerB.Statement(cluster.now, incarnationB, receivedB), peerC.Statement(cluster.now, incarnationC, receivedC)
	peerB.RecordCancellation(cluster.now.Add(time.Second), "run-1")
	later := cluster.now.Add(10 * time.Second)
	if err := tracker.ApplyStatement(later, "b", cluster.now, statementB); err != nil {
		t.Fatal(err)
	}
	if err := tracker.ApplyStatement(later, "c", cluster.now, statementC); err != nil {
		t.Fatal(err)
	}
	if allowed, age := tracker.MayRenew(later); !allowed || age < 10*time.Second {
		t.Errorf("renews %v, confirmed %v ago, by statements asked for 10 s ago", allowed, age)
	}
	// A statement that arrives after a newer one changes nothing.
	cluster.now = later
	cluster.exchangeAndAdvance()
	_, before := tracker.MayRenew(later)
	_ = tracker.ApplyStatement(later, "b", start, statementB)
	if _, age := tracker.MayRenew(later); age != before {
		t.Errorf("confirmed %v ago, was %v", age, before)
	}
}

// A statement that cannot be true is rejected: it neither extends the time for which leases are renewed nor
// cancels a job.
func TestInvalidStatementsAreRejected(t *testing.T) {
	for name, spoil := range map[string]func(s *Statement){
		"no incarnation":             func(s *Statement) { s.Incarnation = 0 },
		"to before from":             func(s *Statement) { s.From, s.To = 5, 4 },
		"more than the latest":       func(s *Statement) { s.To = s.Latest + 1 },
		"age below zero":             func(s *Statement) { s.Age = -time.Minute },
		"cancellation in the future": func(s *Statement) { s.Cancellations = []Cancellation{{"run-1", -time.Hour}} },
		"invalid job ID":             func(s *Statement) { s.Cancellations = []Cancellation{{"run-1/0", 0}} },
		"latest below received":      func(s *Statement) { s.From, s.To, s.Latest = 0, 0, 0 },
	} {
		cluster := newCluster(t)
		cluster.trackers["b"].RecordCancellation(cluster.now, "run-7")
		cluster.exchangeAndAdvance()
		tracker, later := cluster.trackers["a"], cluster.now.Add(20*time.Second)
		_, before := tracker.MayRenew(later)
		incarnation, receivedSeq := tracker.Position("b")
		statement := cluster.trackers["b"].Statement(later, incarnation, receivedSeq)
		statement.Current, statement.Age = true, 0
		spoil(&statement)
		if err := tracker.ApplyStatement(later, "b", later, statement); err == nil {
			t.Errorf("%s: accepted", name)
		}
		if _, age := tracker.MayRenew(later); age != before {
			t.Errorf("%s: confirmed %v ago, was %v", name, age, before)
		}
		if len(tracker.KillCommands([]api.TaskReport{{Task: "run-1/0", State: api.TaskRunning}}, nil)) > 0 {
			t.Errorf("%s: kills a job that nobody cancelled", name)
		}
	}
	cluster := newCluster(t)
	if cluster.trackers["a"].ApplyStatement(cluster.now, "d", cluster.now, cluster.trackers["b"].Statement(cluster.now, 0, 0)) == nil {
		t.Error("an unknown peer is accepted")
	}
	// A statement that begins after what was received leaves a gap, and confirms nothing.
	cluster.trackers["b"].RecordCancellation(cluster.now, "run-1")
	cluster.trackers["b"].RecordCancellation(cluster.now, "run-2")
	later := cluster.now.Add(20 * time.Second)
	_, before := cluster.trackers["a"].MayRenew(later)
	incarnation, receivedSeq := cluster.trackers["a"].Position("b")
	statement := cluster.trackers["b"].Statement(later, incarnation, receivedSeq+1)
	statement.Current = true
	_ = cluster.trackers["a"].ApplyStatement(later, "b", later, statement)
	if _, age := cluster.trackers["a"].MayRenew(later); age != before {
		t.Errorf("confirmed %v ago by a statement with a gap, was %v", age, before)
	}
}

// A cancellation is remembered until its tasks are certain to be gone, counted from its last acknowledgement.
// After that every controller forgets it, however often peers have passed it on to each other.
func TestCancellationsExpire(t *testing.T) {
	cluster := newCluster(t)
	stops := func(member string) bool {
		return len(cluster.trackers[member].KillCommands([]api.TaskReport{{Task: "run-1/0", State: api.TaskRunning}}, nil)) > 0
	}
	cluster.trackers["b"].RecordCancellation(cluster.now, "run-1")
	for range 30 {
		cluster.exchangeAndAdvance()
	}
	cluster.trackers["b"].RecordCancellation(cluster.now, "run-1") // its record was stored only now
	for s := range 140 {
		cluster.exchangeAndAdvance()
		for member := range cluster.trackers {
			if s < 47 && !stops(member) {
				t.Fatalf("%s has forgotten after %d s", member, s)
			}
			if s > 70 && stops(member) {
				t.Fatalf("%s still remembers after %d s", member, s)
			}
		}
	}
}

// Every running task of a cancelled job is killed at once, no other task is, and none is killed twice.
func TestKillCommandsCoverOnlyCancelledJobs(t *testing.T) {
	tracker := New(start, nil, limits)
	tracker.RecordCancellation(start, "run-1")
	slowGrace, noGrace := 10.0, tuning.CancelKill
	tasks := []api.TaskReport{{Task: "run-1/0", Attempt: 3, State: api.TaskRunning}, {Task: "run-1/1", Attempt: 4, State: api.TaskFetching},
		{Task: "run-1/2", Attempt: 5, State: api.TaskExited}, {Task: "run-1/3", Attempt: 6, State: api.TaskSaving}, {Task: "run-1/4", Attempt: 7, State: api.TaskRunning}, {Task: "run-12/0", Attempt: 8, State: api.TaskRunning}}
	got := tracker.KillCommands(tasks, []api.Command{{Verb: api.CommandKill, Task: "run-1/3", Attempt: 6, GraceS: &slowGrace}, {Verb: api.CommandKill, Task: "run-1/4", Attempt: 7, GraceS: &noGrace}})
	want := []string{"run-1/0 3", "run-1/1 4", "run-1/3 6"}
	if len(got) != len(want) {
		t.Fatalf("%+v", got)
	}
	for i, command := range got {
		if fmt.Sprint(command.Task, " ", command.Attempt) != want[i] || command.Verb != api.CommandKill || *command.GraceS != 0 {
			t.Errorf("%+v, want %s", command, want[i])
		}
	}
	commands := []api.Command{{Verb: api.CommandRun, Task: "run-1/5"}, {Verb: api.CommandRun, Task: "run-12/1"}, {Verb: api.CommandClear, Task: "run-1/2"}}
	if left := tracker.WithoutCancelledStarts(commands); len(left) != 2 || left[0].Task != "run-12/1" || left[1].Verb != api.CommandClear || len(commands) != 3 || commands[0].Task != "run-1/5" {
		t.Errorf("of %+v %+v is left", commands, left)
	}
}
