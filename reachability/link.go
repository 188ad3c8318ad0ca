// Package reachability judges whether a machine hears its controllers, apart from whether it is heard.
// Its reports may arrive while answers and commands do not reach it, and copies of its reports may
// arrive long after it has died. It knows tallies, tokens and ways of reports and the fate of
// commands, not what a machine is or runs; it has no clock and no lock.
//
// What each observation shows:
//
//	observation                                       it is heard   it hears   why
//	a report newer than any before, by session, tally yes           no         a copy is never newer than what it was copied from
//	a report that is not newer                        no            no         a copy, or overtaken: in both cases old
//	a report that carries this term's token           yes           yes        only an answer or a command of this term can have told it
//	the next report, one tally on, to the same
//	controller, in the same session                   yes           yes        unanswered, a worker turns to another controller
//	an answer to a command, executed or refused       no            yes        an answer answers what arrived
//	a report through a controller that relays         yes           unknown    these are not passed on one by one
//	an answer to a command, and no report for long    no            yes        mute: it reaches no controller, and its lease runs out
//	a command without an answer                       no            hint: no   command or answer was lost
//	newer reports that show nothing of the above      yes           hint: no   a controller may have failed as well
//
// Hints only suspect. Nothing is concluded from time alone: what a machine that hears nobody runs is
// lostCommands by its newer session, by ends that it reports, or by the cloud's answer to its return.
package reachability

import (
	"fmt"
	"slices"
	"time"

	"switchferry/tuning"
)

// State is what is known of the way to a machine.
type State int

// The states of the way to a machine.
const (
	// Unconfirmed: nothing shows yet that it hears this term's controllers. What was heard of it may
	// be a copy of what it said before it died.
	Unconfirmed State = iota
	// Reachable: it showed last that it hears.
	Reachable
	// Suspected: since then commands were lost, or reports came that do not show it.
	Suspected
	// OutboundLost: for a whole lease it was heard, through more than one controller or into a new
	// incarnation, and nothing reached it.
	OutboundLost
)

func (s State) String() string {
	return [...]string{"unproved", "reached", "half-deaf suspected", "half-deaf"}[s]
}

// Observe is what matters of a report.
type Heartbeat struct {
	Incarnation, Seq uint64
	// HighestTerm is the highest term that the worker has seen, Term that of the leader who judges it.
	HighestTerm, Term uint64
	// Via is the controller that it came through; empty: it came directly.
	Via string
	// Relayed: that controller answers in the leader's place, and passes on only some reports.
	Relayed bool
}

// Link is the way to one machine in one term. The zero value is that of a machine not heard yet.
type Link struct {
	// Incarnation and Seq are those of the newest report, from is the controller that it came through.
	// answerSeq is the tally of its last answer to a command, which counts on with the reports'.
	incarnation, seq uint64
	answerSeq        uint64
	via              string
	relayed          bool
	// confirmedAt is when it last showed that it hears, answered when it last answered a command; zero: never.
	confirmedAt, answeredAt time.Time
	// Since then: unproved newer reports, the first of which came at first, through so many
	// controllers as ways names; rose: its session rose; lost: commands went unanswered.
	unconfirmed        int
	firstUnconfirmedAt time.Time
	paths              []string
	newIncarnation     bool
	lostCommands       int
	// startedThisTerm: it was rented or seen booting in this term, so nothing older than the term is told of it.
	startedThisTerm bool
}

// MarkStarted notes that the machine began in this term: no report of it can be older.
func (l *Link) MarkStarted() { l.startedThisTerm = true }

// Observe takes in a report. News: it is newer than all before; anything else shows nothing. Proof: it
// shows that the machine hears.
func (l *Link) Observe(now time.Time, heartbeat Heartbeat) (newer, confirmed bool) {
	if heartbeat.Incarnation < l.incarnation || heartbeat.Incarnation == l.incarnation && heartbeat.Seq <= l.seq {
		return false, false
	}
	consecutive := heartbeat.Incarnation == l.incarnation && (heartbeat.Seq == l.seq+1 || heartbeat.Seq == l.answerSeq+1) && heartbeat.Via == l.via && !heartbeat.Relayed && !l.relayed
	// A token is told once; it shows for ever that the machine heard, but only the first report
	// with it that it does so now.
	firstWithTerm := heartbeat.HighestTerm == heartbeat.Term && l.confirmedAt.IsZero()
	newIncarnation := l.incarnation > 0 && heartbeat.Incarnation > l.incarnation
	l.incarnation, l.seq, l.via, l.relayed = heartbeat.Incarnation, heartbeat.Seq, heartbeat.Via, heartbeat.Relayed
	switch {
	case consecutive || firstWithTerm:
		l.confirm(now)
		return true, true
	case heartbeat.Relayed:
		return true, false
	}
	if l.unconfirmed++; l.unconfirmed == 1 {
		l.firstUnconfirmedAt = now
	}
	l.newIncarnation = l.newIncarnation || newIncarnation
	if !slices.Contains(l.paths, heartbeat.Via) {
		l.paths = append(l.paths, heartbeat.Via)
	}
	return true, false
}

// CommandAnswered takes in that the machine answered a command, with the tally of its answer.
func (l *Link) CommandAnswered(now time.Time, seq uint64) {
	l.answerSeq, l.answeredAt = seq, now
	l.confirm(now)
}

// CommandLost takes in that a command got no answer.
func (l *Link) CommandLost() { l.lostCommands++ }

func (l *Link) confirm(now time.Time) {
	l.confirmedAt, l.unconfirmed, l.paths, l.newIncarnation, l.lostCommands = now, 0, nil, false, 0
}

// InboundLost tells whether a machine that is not heard answers commands: it cannot reach any controller, and obeys.
// Unheard is how long it has not been heard, within is how long an answer counts.
func (l *Link) InboundLost(now time.Time, silentFor, validFor time.Duration) bool {
	return !l.answeredAt.IsZero() && now.Sub(l.answeredAt) < min(silentFor, validFor)
}

// ConfirmedAt is when the machine last showed that it hears; zero: never in this term.
func (l *Link) ConfirmedAt() time.Time { return l.confirmedAt }

// AliveThisTerm tells whether the machine certainly lived in this term.
func (l *Link) AliveThisTerm() bool { return l.startedThisTerm || !l.confirmedAt.IsZero() }

// State is the way's state. Lease is the workers' lease.
func (l *Link) State(now time.Time, lease time.Duration) State {
	switch {
	case l.relayed && l.AliveThisTerm():
		return Reachable
	case l.unconfirmed >= tuning.HopsHalfDeaf && now.Sub(l.firstUnconfirmedAt) >= lease && (len(l.paths) > 1 || l.newIncarnation):
		return OutboundLost
	case l.unconfirmed >= tuning.HopsSuspect || l.lostCommands > 0:
		return Suspected
	case !l.AliveThisTerm():
		return Unconfirmed
	}
	return Reachable
}

// Reason tells the state's reason in an operator's words.
func (l *Link) Reason(now time.Time) string {
	if !l.AliveThisTerm() && l.unconfirmed < tuning.HopsSuspect && l.lostCommands == 0 {
		return "it has not shown yet that it hears this term's leader"
	}
	return fmt.Sprintf("since it last showed that it hears, it reported %d times in %.0f s, to %d controllers, and %d commands got no answer",
		l.unconfirmed, max(0, now.Sub(l.firstUnconfirmedAt).Seconds()), len(l.paths), l.lostCommands)
}
