package reachability

import (
	"testing"
	"time"
)

const lease = 10 * time.Second

// script applies heartbeats and commands to one link.
type script struct {
	t    *testing.T
	link Link
	now  time.Time
}

// heartbeat advances the time by after and observes a heartbeat to the leader of term 7.
func (s *script) heartbeat(after time.Duration, via string, incarnation, seq, highestTerm uint64) (newer, confirmed bool) {
	s.now = s.now.Add(after)
	return s.link.Observe(s.now, Heartbeat{Incarnation: incarnation, Seq: seq, HighestTerm: highestTerm, Term: 7, Via: via})
}

func (s *script) wantState(state State) {
	s.t.Helper()
	if got := s.link.State(s.now, lease); got != state {
		s.t.Errorf("%v, want %v: %s", got, state, s.link.Reason(s.now))
	}
}

func newScript(t *testing.T) *script {
	return &script{t: t, now: time.Unix(1_800_000_000, 0)}
}

// newReachable returns the script of a machine that has confirmed that the leader's answers reach it.
func newReachable(t *testing.T) *script {
	script := newScript(t)
	script.heartbeat(0, "", 1, 5, 6)
	script.wantState(Unconfirmed)
	if _, confirmed := script.heartbeat(500*time.Millisecond, "", 1, 6, 7); !confirmed {
		t.Error("a heartbeat with this term's token does not confirm the link")
	}
	script.wantState(Reachable)
	return script
}

// Answers do not reach the machine: its worker switches to another controller every 5 s. The machine is suspected
// from its second unconfirmed heartbeat on, and its link counts as lost after a lease. A single answer that
// arrives makes it reachable again.
func TestOutboundLossNeedsSeveralPaths(t *testing.T) {
	script := newReachable(t)
	script.heartbeat(time.Second, "", 1, 7, 7)
	script.wantState(Reachable)
	script.heartbeat(5*time.Second, "n1", 1, 8, 7)
	script.wantState(Reachable) // the failure of a controller would look the same
	script.heartbeat(5*time.Second, "n2", 1, 9, 7)
	script.wantState(Suspected)
	script.heartbeat(5*time.Second, "", 1, 10, 7)
	script.wantState(OutboundLost)
	script.heartbeat(5*time.Second, "n1", 2, 11, 7)
	script.wantState(OutboundLost)
	script.heartbeat(time.Second, "n1", 2, 12, 7)
	script.wantState(Reachable)
	script.link.CommandLost()
	script.wantState(Suspected)
	script.link.CommandAnswered(script.now, 13)
	script.wantState(Reachable)
	if _, confirmed := script.heartbeat(time.Second, "n1", 2, 14, 7); !confirmed {
		t.Error("the answer to a command between two heartbeats counts as an unanswered heartbeat")
	}
}

// One controller cannot send, but the next one that the worker switches to can. The machine's link never counts as
// lost.
func TestControllerThatCannotSendDoesNotMarkLinkLost(t *testing.T) {
	script := newReachable(t)
	for seq := uint64(7); seq < 40; seq += 3 {
		script.heartbeat(5*time.Second, "", 1, seq, 7)
		script.link.CommandLost()
		script.heartbeat(5*time.Second, "n1", 1, seq+1, 7)
		script.heartbeat(time.Second, "n1", 1, seq+2, 7)
		script.wantState(Reachable)
	}
}

// With a single controller, an outbound loss shows in the machine's incarnations: they increase although its
// heartbeats arrive.
func TestNewIncarnationsShowOutboundLoss(t *testing.T) {
	script := newReachable(t)
	for i := range uint64(4) {
		script.heartbeat(5*time.Second, "", 2+i, 10+2*i, 7)
	}
	script.wantState(OutboundLost)
}

// Copies of heartbeats are ignored, regardless of their delay and incarnation. A heartbeat that was overtaken by
// the answer to a command is not a copy.
func TestDelayedCopiesAreIgnored(t *testing.T) {
	script := newReachable(t)
	script.heartbeat(time.Second, "", 2, 9, 7)
	for _, copied := range [][2]uint64{{2, 9}, {2, 8}, {1, 6}, {1, 99}, {0, 0}} {
		if newer, confirmed := script.heartbeat(time.Second, "n1", copied[0], copied[1], 7); newer || confirmed {
			t.Errorf("a copy of heartbeat %v is accepted as newer", copied)
		}
	}
	script.link.CommandAnswered(script.now, 12)
	if newer, _ := script.heartbeat(time.Second, "", 2, 11, 7); !newer {
		t.Error("a heartbeat that was overtaken by an answer is rejected as a copy")
	}
}

// The first heartbeat that a new leader receives may be old, so the link is unconfirmed until the machine has
// received an answer. A machine that started in this term cannot have sent a heartbeat before the term.
func TestFirstHeartbeatOfTermIsUnconfirmed(t *testing.T) {
	script := newScript(t)
	script.heartbeat(0, "", 3, 500, 6)
	script.wantState(Unconfirmed)
	script = newScript(t)
	script.link.MarkStarted()
	script.heartbeat(0, "", 1, 1, 0)
	script.wantState(Reachable)
}

// A controller that relays heartbeats forwards only some of them, so gaps in their sequence are no evidence.
func TestRelayedHeartbeatsDoNotCauseSuspicion(t *testing.T) {
	script := newReachable(t)
	for seq := uint64(10); seq < 100; seq += 9 {
		script.now = script.now.Add(3 * time.Second)
		script.link.Observe(script.now, Heartbeat{Incarnation: 1, Seq: seq, HighestTerm: 7, Term: 7, Via: "n1", Relayed: true})
		script.wantState(Reachable)
	}
	script.heartbeat(time.Second, "", 1, 200, 7)
	script.wantState(Reachable) // the first unconfirmed heartbeat after the relayed ones
}

// The first heartbeat with a token that the leader has raised above its term confirms the link as one with the term's own
// token does.
func TestRaisedTokenConfirmsLink(t *testing.T) {
	script := newScript(t)
	script.heartbeat(0, "", 1, 5, 6)
	script.wantState(Unconfirmed)
	if _, confirmed := script.heartbeat(time.Second, "n1", 1, 8, 9); !confirmed {
		t.Error("a heartbeat with a raised token does not confirm the link")
	}
	script.wantState(Reachable)
}
