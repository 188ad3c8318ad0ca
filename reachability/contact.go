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
// lost by its newer session, by ends that it reports, or by the cloud's answer to its return.
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
	// session, and nothing reached it.
	OutboundLost
)

func (s State) String() string {
	return [...]string{"unproved", "reached", "half-deaf suspected", "half-deaf"}[s]
}

// Heartbeat is what matters of a report.
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
	// replied is the tally of its last answer to a command, which counts on with the reports'.
	session, seq uint64
	replied      uint64
	from         string
	relayed      bool
	// proved is when it last showed that it hears, answered when it last answered a command; zero: never.
	proved, answered time.Time
	// Since then: unproved newer reports, the first of which came at first, through so many
	// controllers as ways names; rose: its session rose; lost: commands went unanswered.
	unproved int
	first    time.Time
	ways     []string
	rose     bool
	lost     int
	// began: it was rented or seen booting in this term, so nothing older than the term is told of it.
	began bool
}

// MarkStarted notes that the machine began in this term: no report of it can be older.
func (w *Link) MarkStarted() { w.began = true }

// Observe takes in a report. News: it is newer than all before; anything else shows nothing. Proof: it
// shows that the machine hears.
func (w *Link) Observe(now time.Time, r Heartbeat) (news, proof bool) {
	if r.Incarnation < w.session || r.Incarnation == w.session && r.Seq <= w.seq {
		return false, false
	}
	inLine := r.Incarnation == w.session && (r.Seq == w.seq+1 || r.Seq == w.replied+1) && r.Via == w.from && !r.Relayed && !w.relayed
	// A token is told once; it shows for ever that the machine heard, but only the first report
	// with it that it does so now.
	token := r.HighestTerm == r.Term && w.proved.IsZero()
	rose := w.session > 0 && r.Incarnation > w.session
	w.session, w.seq, w.from, w.relayed = r.Incarnation, r.Seq, r.Via, r.Relayed
	switch {
	case inLine || token:
		w.prove(now)
		return true, true
	case r.Relayed:
		return true, false
	}
	if w.unproved++; w.unproved == 1 {
		w.first = now
	}
	w.rose = w.rose || rose
	if !slices.Contains(w.ways, r.Via) {
		w.ways = append(w.ways, r.Via)
	}
	return true, false
}

// CommandAnswered takes in that the machine answered a command, with the tally of its answer.
func (w *Link) CommandAnswered(now time.Time, seq uint64) {
	w.replied, w.answered = seq, now
	w.prove(now)
}

// CommandLost takes in that a command got no answer.
func (w *Link) CommandLost() { w.lost++ }

func (w *Link) prove(now time.Time) {
	w.proved, w.unproved, w.ways, w.rose, w.lost = now, 0, nil, false, 0
}

// InboundLost tells whether a machine that is not heard answers commands: it cannot reach any controller, and obeys.
// Unheard is how long it has not been heard, within is how long an answer counts.
func (w *Link) InboundLost(now time.Time, unheard, within time.Duration) bool {
	return !w.answered.IsZero() && now.Sub(w.answered) < min(unheard, within)
}

// ConfirmedAt is when the machine last showed that it hears; zero: never in this term.
func (w *Link) ConfirmedAt() time.Time { return w.proved }

// AliveThisTerm tells whether the machine certainly lived in this term.
func (w *Link) AliveThisTerm() bool { return w.began || !w.proved.IsZero() }

// State is the way's state. Lease is the workers' lease.
func (w *Link) State(now time.Time, lease time.Duration) State {
	switch {
	case w.relayed && w.AliveThisTerm():
		return Reachable
	case w.unproved >= tuning.HopsHalfDeaf && now.Sub(w.first) >= lease && (len(w.ways) > 1 || w.rose):
		return OutboundLost
	case w.unproved >= tuning.HopsSuspect || w.lost > 0:
		return Suspected
	case !w.AliveThisTerm():
		return Unconfirmed
	}
	return Reachable
}

// Reason tells the state's reason in an operator's words.
func (w *Link) Reason(now time.Time) string {
	if !w.AliveThisTerm() && w.unproved < tuning.HopsSuspect && w.lost == 0 {
		return "it has not shown yet that it hears this term's leader"
	}
	return fmt.Sprintf("since it last showed that it hears, it reported %d times in %.0f s, to %d controllers, and %d commands got no answer",
		w.unproved, max(0, now.Sub(w.first).Seconds()), len(w.ways), w.lost)
}
