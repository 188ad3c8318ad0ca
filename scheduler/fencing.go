package scheduler

import (
	"log/slog"

	"switchferry/fleet"
	"switchferry/tuning"
)

// Fencing says whether the fencing token of a machine is raised before the machine forgets an attempt (rule 4 of
// docs/design.md).
type Fencing int

const (
	// FencingUndecided means that it is not known yet whether all controllers accept tokens above the term. No attempt
	// that this leader has started is cleared.
	FencingUndecided Fencing = iota
	// FencingOff means that a controller of an older version may run, which would take a raised token for that of a later
	// leader. Attempts are cleared under the term's own token, so that a start that was answered and is delivered once
	// more after the clear is executed again.
	FencingOff
	// FencingOn means that tokens are raised.
	FencingOn
)

// SetFencing sets whether tokens are raised. Fencing may be switched on in a term, but not off again.
func (s *Scheduler) SetFencing(fencing Fencing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fencing = max(s.fencing, fencing)
}

// Fencing returns whether tokens are raised.
func (s *Scheduler) Fencing() Fencing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fencing
}

// String returns the state's name for logs.
func (f Fencing) String() string {
	return [...]string{"undecided", "off", "on"}[f]
}

// FromLaterTerm reports whether a fencing token was issued by a later leader. Every transaction of this leader is
// conditional on its key, so the revisions of the committed ones lie below the term of any later leader, and this leader
// issues no higher tokens.
func (s *Scheduler) FromLaterTerm(token uint64) bool {
	return token > max(s.term, s.records.CommittedRevision())
}

// token returns the fencing token of the commands and responses that are sent to a machine: the term or, once that was
// not enough to clear an attempt, a higher revision that this leader has committed. Scheduler.mu must be held.
func (s *Scheduler) token(machine *machineState) uint64 {
	return max(s.term, machine.raisedToken, machine.Term)
}

// executionToken returns a lower bound of the token under which a machine executes commands that are sent on path now: a
// peer relays them under the token that the worker has. s.mu must be held.
func (s *Scheduler) executionToken(machine *machineState, path deliveryPath) uint64 {
	if path == byRelay {
		return max(s.term, machine.Term)
	}
	return s.token(machine)
}

// raiseToken raises a machine's token to the newest revision that this leader has committed, if an attempt can be
// proved gone or cleared only then. From the moment at which the machine gets the token, it refuses every command that
// was sent to it before. The committed revision is known from earlier answers, so the state service need not be
// reachable. s.mu must be held.
func (s *Scheduler) raiseToken(machine *machineState) {
	if s.fencing != FencingOn || !s.awaitsRaisedToken(machine) {
		return
	}
	if committed := s.records.CommittedRevision(); committed > s.token(machine) {
		machine.raisedToken = committed
		s.releaseStats.tokensRaised++
		slog.Debug("fencing token raised", "machine", machine.Name, "incarnation", machine.Incarnation, "seq", machine.Seq, "term", s.term, "token", committed)
	}
}

// awaitsRaisedToken reports whether a higher token would end a start without an answer that must not be executed any
// more, or allow an exited attempt to be cleared. s.mu must be held.
func (s *Scheduler) awaitsRaisedToken(machine *machineState) bool {
	token := s.token(machine)
	for _, alloc := range machine.allocations {
		if alloc.awaitsFencing() && !alloc.fencedBy(token) {
			return true
		}
	}
	for _, exit := range machine.exited {
		if exit.stored && exit.starts.emptyExceptDirect() && !exit.fencedBy(token) {
			return true
		}
	}
	return false
}

// clearable reports whether an exited attempt may be cleared by a command that the machine executes under the given
// token. s.mu must be held.
func (s *Scheduler) clearable(exit *exitedAttempt, token uint64) bool {
	return exit.mayClear() && (s.fencing == FencingOff || exit.fencedBy(token))
}

// fencedBy reports whether every direct start of the attempt is refused by a worker that has seen the given token.
func (a *attemptState) fencedBy(token uint64) bool { return token > a.startToken }

// fencedBy reports whether every start of the attempt is refused by a worker that has seen the given token.
func (e *exitedAttempt) fencedBy(token uint64) bool { return token > e.startToken }

// unknownStartToken returns an upper bound of the tokens under which an attempt that this leader does not know was
// started: the token that its machine reports or, if an earlier leader started it, any token below this term. s.mu must
// be held.
func (s *Scheduler) unknownStartToken(machine *machineState, attempt fleet.Attempt) uint64 {
	if attempt.Number>>tuning.AttemptBits < s.term {
		return s.term - 1
	}
	return machine.Term
}
