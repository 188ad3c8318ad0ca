// Package reachability determines whether a machine receives the answers and commands of its controllers,
// independent of whether its heartbeats arrive. In a one-way partition heartbeats arrive while answers and
// commands do not, or commands arrive while heartbeats do not; and delayed copies of heartbeats may arrive long
// after the machine has failed. The package uses incarnations, sequence numbers, terms and paths of heartbeats
// and the outcome of commands, not what a machine runs. It has no clock and no lock.
//
// What each observation shows about whether the two directions work, to the controllers (inbound) and to the
// machine (outbound):
//
//	observation                                     inbound outbound  because
//	heartbeat newer than any before, by incarnation
//	and sequence number                             yes     no        a copy is never newer than its original
//	heartbeat that is not newer                     no      no        it is a copy, or was overtaken
//	heartbeat with this term's token                yes     yes       only an answer or a command of this term has it
//	the next heartbeat in sequence, to the same
//	controller, in the same incarnation             yes     yes       without an answer, a worker switches controllers
//	answer to a command, executed or refused        no      yes       the command arrived
//	heartbeat through a controller that relays      yes     unknown   it does not pass on every heartbeat
//	answer to a command, but no heartbeat for long  no      yes       it reaches no controller, and its lease expires
//	command without an answer                       no      hint: no  the command or its answer was lost
//	newer heartbeats that show none of the above    yes     hint: no  a controller may have failed instead
//
// A hint only leads to suspicion. Nothing is concluded from time alone: that the tasks of an unreachable machine
// have stopped is known from a newer incarnation, from exits that the machine reports, or from the cloud's answer
// to its release. docs/dayend.md has the reasons in full.
package reachability

import (
	"fmt"
	"slices"
	"time"

	"switchferry/tuning"
)

// State says whether answers and commands reach a machine, as far as is known.
type State int

const (
	// Unconfirmed means that there is no evidence yet that the machine receives anything from this term's
	// controllers. Its heartbeats may be copies of heartbeats that it sent before it failed.
	Unconfirmed State = iota
	// Reachable means that the latest evidence confirms that answers or commands reach the machine.
	Reachable
	// Suspected means that since the last confirmation commands were lost, or heartbeats arrived that do not
	// confirm it.
	Suspected
	// OutboundLost means that for a whole lease nothing reached the machine, while its heartbeats came through
	// more than one controller or with a new incarnation.
	OutboundLost
)

// String returns the state's name for logs and tests.
func (s State) String() string {
	return [...]string{"unconfirmed", "reachable", "suspected", "outbound lost"}[s]
}

// Heartbeat holds the fields of a heartbeat that show which direction works.
type Heartbeat struct {
	Incarnation, Seq uint64
	// HighestTerm is the highest fencing token that the worker has seen, Term the term of the leader that observes it,
	// which has issued the token if it is not lower.
	HighestTerm, Term uint64
	// Via is the controller that the heartbeat came through, empty if it came directly.
	Via string
	// Relayed means that Via answers in the leader's place and passes on only some heartbeats.
	Relayed bool
}

// Link is the state of the connection to one machine in one term. The zero value is the state for a machine that
// has sent nothing yet.
type Link struct {
	// newest is the position of the newest heartbeat, via the controller that it came through, and relayed
	// whether that controller answers in the leader's place.
	newest  position
	via     string
	relayed bool
	// answerSeq is the sequence number of the last answer to a command; answers and heartbeats share one
	// sequence.
	answerSeq uint64
	// confirmedAt is when the machine last confirmed that answers or commands reach it, answeredAt when it last
	// answered a command; zero if it has not in this term.
	confirmedAt, answeredAt time.Time
	// startedThisTerm means that the machine was rented or seen booting in this term, so that none of its
	// heartbeats can be older than the term.
	startedThisTerm bool

	// The fields below describe the time since confirmedAt.

	// unconfirmed is the number of newer heartbeats that confirmed nothing. The first of them arrived at
	// firstUnconfirmedAt; paths lists the controllers that they came through.
	unconfirmed        int
	firstUnconfirmedAt time.Time
	paths              []string
	// newIncarnation means that one of these heartbeats began a new incarnation.
	newIncarnation bool
	// lostCommands is the number of commands without an answer.
	lostCommands int
}

// position is the place of a heartbeat in the order in which a worker sends them.
type position struct{ incarnation, seq uint64 }

// MarkStarted records that the machine started in this term, so that no heartbeat of it can be older.
func (l *Link) MarkStarted() { l.startedThisTerm = true }

// Observe records a heartbeat. It returns whether the heartbeat is newer than all earlier ones (an older one is
// ignored), and whether it confirms that answers or commands reach the machine.
func (l *Link) Observe(now time.Time, heartbeat Heartbeat) (newer, confirmed bool) {
	sent := position{heartbeat.Incarnation, heartbeat.Seq}
	if sent.incarnation < l.newest.incarnation || sent.incarnation == l.newest.incarnation && sent.seq <= l.newest.seq {
		return false, false
	}
	// A worker adopts a term's token once and sends it with every later heartbeat. So only the first heartbeat
	// with the token shows that the worker receives anything now.
	firstWithTerm := heartbeat.HighestTerm >= heartbeat.Term && l.confirmedAt.IsZero()
	confirmed = firstWithTerm || l.followsAnswered(heartbeat)
	newIncarnation := l.newest.incarnation > 0 && sent.incarnation > l.newest.incarnation
	l.newest, l.via, l.relayed = sent, heartbeat.Via, heartbeat.Relayed
	switch {
	case confirmed:
		l.confirm(now)
	case !heartbeat.Relayed:
		l.recordUnconfirmed(now, newIncarnation)
	}
	return true, confirmed
}

// followsAnswered reports whether a heartbeat shows that the one before it was answered: it is the next in sequence
// after the newest heartbeat or the last answer to a command, in the same incarnation and to the same controller.
func (l *Link) followsAnswered(heartbeat Heartbeat) bool {
	return heartbeat.Incarnation == l.newest.incarnation &&
		(heartbeat.Seq == l.newest.seq+1 || heartbeat.Seq == l.answerSeq+1) &&
		heartbeat.Via == l.via && !heartbeat.Relayed && !l.relayed
}

// recordUnconfirmed counts the newest heartbeat as one that does not confirm the link.
func (l *Link) recordUnconfirmed(now time.Time, newIncarnation bool) {
	l.unconfirmed++
	if l.unconfirmed == 1 {
		l.firstUnconfirmedAt = now
	}
	l.newIncarnation = l.newIncarnation || newIncarnation
	if !slices.Contains(l.paths, l.via) {
		l.paths = append(l.paths, l.via)
	}
}

// CommandAnswered records the machine's answer to a command, with the sequence number of that answer.
func (l *Link) CommandAnswered(now time.Time, seq uint64) {
	l.answerSeq, l.answeredAt = seq, now
	l.confirm(now)
}

// CommandLost records that a command was not answered.
func (l *Link) CommandLost() { l.lostCommands++ }

// confirm records that answers or commands reach the machine.
func (l *Link) confirm(now time.Time) {
	l.confirmedAt, l.unconfirmed, l.paths, l.newIncarnation, l.lostCommands = now, 0, nil, false, 0
}

// InboundLost reports whether a machine that has been silent for silentFor has answered a command since its last
// heartbeat, so that it receives commands but reaches no controller. An answer is valid as evidence for validFor.
func (l *Link) InboundLost(now time.Time, silentFor, validFor time.Duration) bool {
	return !l.answeredAt.IsZero() && now.Sub(l.answeredAt) < min(silentFor, validFor)
}

// ConfirmedAt returns when the machine last confirmed that answers or commands reach it; zero if it has not in
// this term.
func (l *Link) ConfirmedAt() time.Time { return l.confirmedAt }

// AliveThisTerm reports whether the machine is certain to have been alive in this term.
func (l *Link) AliveThisTerm() bool { return l.startedThisTerm || !l.confirmedAt.IsZero() }

// State returns the link's state, given the length of the workers' lease.
func (l *Link) State(now time.Time, lease time.Duration) State {
	switch {
	case l.relayed && l.AliveThisTerm():
		return Reachable
	case l.unconfirmed >= tuning.OutboundLostUnconfirmedHeartbeats && now.Sub(l.firstUnconfirmedAt) >= lease && (len(l.paths) > 1 || l.newIncarnation):
		return OutboundLost
	case l.unconfirmed >= tuning.SuspectUnconfirmedHeartbeats || l.lostCommands > 0:
		return Suspected
	case !l.AliveThisTerm():
		return Unconfirmed
	}
	return Reachable
}

// Reason returns, for operators, the evidence from which the link's state follows.
func (l *Link) Reason(now time.Time) string {
	if !l.AliveThisTerm() && l.unconfirmed < tuning.SuspectUnconfirmedHeartbeats && l.lostCommands == 0 {
		return "no evidence yet that anything from this term's leader reached the machine"
	}
	return fmt.Sprintf("since the last confirmation: %d unconfirmed heartbeats in %.0f s through %d controllers, %d unanswered commands",
		l.unconfirmed, max(0, now.Sub(l.firstUnconfirmedAt).Seconds()), len(l.paths), l.lostCommands)
}
