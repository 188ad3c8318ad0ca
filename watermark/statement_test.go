package watermark

import (
	"testing"
	"time"
)

// A statement is valid as of the time of its request. If its arrival counted instead, cancellations that were
// acknowledged in between would be assumed to be known.
func TestStatementIsValidAsOfItsRequest(t *testing.T) {
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
		t.Errorf("renewal allowed %v, watermark %v ago; want renewal with a watermark at least 10 s ago, when the statements were requested", allowed, age)
	}
	// A statement that arrives after one with a later request does not change the watermark.
	cluster.now = later
	cluster.exchangeAndAdvance()
	_, before := tracker.MayRenew(later)
	_ = tracker.ApplyStatement(later, "b", start, statementB)
	if _, age := tracker.MayRenew(later); age != before {
		t.Errorf("watermark %v ago, want it unchanged at %v", age, before)
	}
}

// An invalid statement is rejected: it neither advances the watermark nor cancels a job.
func TestInvalidStatementsAreRejected(t *testing.T) {
	for name, corrupt := range map[string]func(s *Statement){
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
			corrupt(&statement)
			if err := tracker.ApplyStatement(later, "b", later, statement); err == nil {
				t.Error("the invalid statement was accepted")
			}
			if _, age := tracker.MayRenew(later); age != before {
				t.Errorf("watermark %v ago, want it unchanged at %v", age, before)
			}
			if cluster.kills("a") {
				t.Error("kills a task of a job that was not cancelled")
			}
		})
	}
}

func TestStatementsOfUnknownPeersAreRejected(t *testing.T) {
	cluster := newCluster(t)
	statement := cluster.trackers["b"].Statement(cluster.now, 0, 0)
	if cluster.trackers["a"].ApplyStatement(cluster.now, "d", cluster.now, statement) == nil {
		t.Error("a statement of an unknown peer was accepted")
	}
}

// A statement that begins after the last received sequence number leaves a gap and does not advance the watermark.
func TestStatementsWithAGapDoNotAdvanceWatermark(t *testing.T) {
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
		t.Errorf("watermark %v ago, want it unchanged at %v", age, before)
	}
}

// A peer whose first statement was incomplete has confirmed nothing yet. The watermark must then not advance, whatever
// the other peers confirm. Whether the fault shows depends on the iteration order of a map, so the test tries several
// trackers.
func TestPeerWithoutConfirmationBlocksWatermark(t *testing.T) {
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
			t.Fatalf("watermark %v ago, want 18s: it advanced past a peer that confirmed nothing", age)
		}
	}
}

// A controller whose watermark passes the moment at which a token was required knows the token, also if it learned of
// both through another peer. The required token never falls.
func TestRequiredTokenSpreadsWithStatements(t *testing.T) {
	cluster := newCluster(t)
	observed := cluster.trackers["a"]
	cluster.disconnected["ab"] = true
	requiredAt := cluster.now
	cluster.trackers["b"].RequireToken(12)
	cluster.trackers["b"].RequireToken(9)
	for range 10 {
		cluster.exchangeAndAdvance()
		if observed.completeUntil.After(requiredAt) && observed.RequiredToken() != 12 {
			t.Errorf("the watermark is %v after the requirement, and the known token is %d, want 12", observed.completeUntil.Sub(requiredAt), observed.RequiredToken())
		}
	}
	if !observed.completeUntil.After(requiredAt) || observed.RequiredToken() != 12 {
		t.Errorf("after 10 s the watermark is %v after the requirement, the token is %d, want 12", observed.completeUntil.Sub(requiredAt), observed.RequiredToken())
	}
	cluster.restart("b")
	cluster.exchangeAndAdvance()
	if token := cluster.trackers["b"].RequiredToken(); token != 12 {
		t.Errorf("after a restart b knows the required token %d, want 12", token)
	}
}
