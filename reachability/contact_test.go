package reachability

import (
	"testing"
	"time"
)

const lease = 10 * time.Second

// script plays reports and commands against one way.
type script struct {
	t   *testing.T
	w   Link
	now time.Time
}

func (s *script) report(after time.Duration, via string, session, seq, seen uint64) (news, proof bool) {
	s.now = s.now.Add(after)
	return s.w.Observe(s.now, Heartbeat{Incarnation: session, Seq: seq, HighestTerm: seen, Term: 7, Via: via})
}

func (s *script) want(state State) {
	s.t.Helper()
	if got := s.w.State(s.now, lease); got != state {
		s.t.Errorf("%v, want %v: %s", got, state, s.w.Reason(s.now))
	}
}

func begin(t *testing.T) *script {
	return &script{t: t, now: time.Unix(1_800_000_000, 0)}
}

// reached is a machine that has shown that it hears.
func reached(t *testing.T) *script {
	s := begin(t)
	s.report(0, "", 1, 5, 6)
	s.want(Unconfirmed)
	if _, proof := s.report(500*time.Millisecond, "", 1, 6, 7); !proof {
		t.Error("this term's token in a report is no proof")
	}
	s.want(Reachable)
	return s
}

// Answers do not reach it: it turns from controller to controller, 5 s each, is suspected with its
// second such report, and called half-deaf after a lease. One answer that arrives ends that.
func TestHalfDeaf(t *testing.T) {
	s := reached(t)
	s.report(time.Second, "", 1, 7, 7)
	s.want(Reachable)
	s.report(5*time.Second, "n1", 1, 8, 7)
	s.want(Reachable) // a controller that failed would leave as much behind
	s.report(5*time.Second, "n2", 1, 9, 7)
	s.want(Suspected)
	s.report(5*time.Second, "", 1, 10, 7)
	s.want(OutboundLost)
	s.report(5*time.Second, "n1", 2, 11, 7)
	s.want(OutboundLost)
	s.report(time.Second, "n1", 2, 12, 7)
	s.want(Reachable)
	s.w.CommandLost()
	s.want(Suspected)
	s.w.CommandAnswered(s.now, 13)
	s.want(Reachable)
	if _, proof := s.report(time.Second, "n1", 2, 14, 7); !proof {
		t.Error("an answer to a command counts in between as a report that was not answered")
	}
}

// The controller cannot send, not the machine hear: the next one reaches it, and it is never called
// half-deaf.
func TestOwnFaultIsNotTheMachines(t *testing.T) {
	s := reached(t)
	for seq := uint64(7); seq < 40; seq += 3 {
		s.report(5*time.Second, "", 1, seq, 7)
		s.w.CommandLost()
		s.report(5*time.Second, "n1", 1, seq+1, 7)
		s.report(time.Second, "n1", 1, seq+2, 7)
		s.want(Reachable)
	}
}

// With a single controller its sessions tell: they rise though it is heard.
func TestHalfDeafToALoneController(t *testing.T) {
	s := reached(t)
	for i := range uint64(4) {
		s.report(5*time.Second, "", 2+i, 10+2*i, 7)
	}
	s.want(OutboundLost)
}

// Copies show nothing, however late, of whatever session; what a command's answer has overtaken is news.
func TestCopiesShowNothing(t *testing.T) {
	s := reached(t)
	s.report(time.Second, "", 2, 9, 7)
	for _, old := range [][2]uint64{{2, 9}, {2, 8}, {1, 6}, {1, 99}, {0, 0}} {
		if news, proof := s.report(time.Second, "n1", old[0], old[1], 7); news || proof {
			t.Errorf("a copy of report %v is taken for news", old)
		}
	}
	s.w.CommandAnswered(s.now, 12)
	if news, _ := s.report(time.Second, "", 2, 11, 7); !news {
		t.Error("a report that an answer overtook is taken for a copy")
	}
}

// All that a new leader has is an old report: it believes nothing of it until the machine has heard it.
// A machine that began in its term can have sent none before.
func TestOneReportMayBeACopy(t *testing.T) {
	s := begin(t)
	s.report(0, "", 3, 500, 6)
	s.want(Unconfirmed)
	s = begin(t)
	s.w.MarkStarted()
	s.report(0, "", 1, 1, 0)
	s.want(Reachable)
}

// A relay passes on only some reports, so gaps between them show nothing.
func TestRelayedReportsSuspectNobody(t *testing.T) {
	s := reached(t)
	for seq := uint64(10); seq < 100; seq += 9 {
		s.now = s.now.Add(3 * time.Second)
		s.w.Observe(s.now, Heartbeat{Incarnation: 1, Seq: seq, HighestTerm: 7, Term: 7, Via: "n1", Relayed: true})
		s.want(Reachable)
	}
}
