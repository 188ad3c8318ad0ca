package watermark

import (
	"testing"
	"time"
)

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
		t.Run(name, func(t *testing.T) {
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
				t.Error("accepted")
			}
			if _, age := tracker.MayRenew(later); age != before {
				t.Errorf("confirmed %v ago, was %v", age, before)
			}
			if cluster.kills("a") {
				t.Error("kills a job that nobody cancelled")
			}
		})
	}
}

func TestStatementsOfUnknownPeersAreRejected(t *testing.T) {
	cluster := newCluster(t)
	statement := cluster.trackers["b"].Statement(cluster.now, 0, 0)
	if cluster.trackers["a"].ApplyStatement(cluster.now, "d", cluster.now, statement) == nil {
		t.Error("accepted")
	}
}

// A statement that begins after what was received leaves a gap, and confirms nothing.
func TestStatementsWithAGapConfirmNothing(t *testing.T) {
	cluster := newCluster(t)
	cluster.trackers["b"].RecordCancellation(cluster.now, "run-1")
	cluster.trackers["b"].RecordCancellation(cluster.now, "run-2")
	tracker, later := cluster.trackers["a"], cluster.now.Add(20*time.Second)
	_, before := tracker.MayRenew(later)
	incarnation, receivedSeq := tracker.Position("b")
	statement := cluster.trackers["b"].Statement(later, incarnation, receivedSeq+1)
	statement.Current, statement.Age = true, 0
	_ = tracker.ApplyStatement(later, "b", later, statement)
	if _, age := tracker.MayRenew(later); age != before {
		t.Errorf("confirmed %v ago, was %v", age, before)
	}
}

// A peer that was heard and has confirmed nothing yet, since its first statement is only a part, holds the watermark
// where it is, whatever the other peers confirm. The order in which a map is walked decides at present, so several
// trackers are tried.
func TestPeerWithoutConfirmationHoldsTheWatermark(t *testing.T) {
	for range 64 {
		tracker := New(start, []string{"b", "c"}, NewLimits(47*time.Second, 17*time.Second))
		apply := func(after time.Duration, member string, statement Statement) {
			t.Helper()
			if err := tracker.ApplyStatement(start.Add(after), member, start.Add(after), statement); err != nil {
				t.Fatal(err)
			}
		}
		apply(time.Second, "b", Statement{Incarnation: 1, To: 1, Latest: 2, Cancellations: []Cancellation{{Job: "run-1"}}})
		apply(time.Second, "c", Statement{Incarnation: 2})
		tracker.MarkCurrent(start.Add(2 * time.Second))
		apply(20*time.Second, "c", Statement{Incarnation: 2})
		if _, age := tracker.MayRenew(start.Add(20 * time.Second)); age != 18*time.Second {
			t.Fatalf("confirmed %v ago, want 18s: the watermark has passed a peer that confirmed nothing", age)
		}
	}
}
