// Package election elects one of the controllers as leader. The leader is the member whose record is stored under
// store.LeaderKey, which is attached to a lease of the state service.
//
// The term number is the revision of the write that won the election. Terms are therefore strictly increasing, and
// workers use them as fencing tokens.
package election

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/store"
)

// Callbacks are called by an Elector from the goroutine that calls Run or Campaign. They must not block for long.
type Callbacks interface {
	// Elected is called when this member has won an election, with the new term.
	Elected(term uint64)
	// Lost is called when this member no longer leads in the term, with the reason, which is meant for logs.
	Lost(term uint64, reason string)
	// Isolated returns whether this member cannot reach any peer.
	Isolated() bool
}

// Elector campaigns for one member and renews its lease while it leads. All methods except Run and Campaign are safe
// for concurrent use.
type Elector struct {
	member    string
	client    *store.Client
	clock     clockwork.Clock
	callbacks Callbacks

	// resignations holds the reason of a requested resignation. Its capacity is one.
	resignations chan string

	// otherLeaderRevision is the revision of the leader's key if Campaign found that another member leads, otherwise 0. It
	// is accessed only by the goroutine of Run.
	otherLeaderRevision uint64

	// mu guards all fields below.
	mu sync.Mutex
	// leader is the member that was last known to lead, empty if there is no leader.
	leader string
	// leaderTerm is the term of leader, or the last known term while there is no leader.
	leaderTerm uint64
	// leaderlessSince is the time when the last leader was found to be gone: its key was missing, or this member's own
	// term ended.
	leaderlessSince time.Time
	// term is the term in which this member leads, 0 if it does not lead.
	term    uint64
	leaseID uint64
	// validUntil is the time before which the lease is certain not to have expired.
	validUntil time.Time
	// campaignAfter is the time before which this member does not campaign after its own last term.
	campaignAfter time.Time
}

// New returns an Elector for a member. It does nothing until Run or Campaign is called.
func New(member string, client *store.Client, clock clockwork.Clock, callbacks Callbacks) *Elector {
	return &Elector{member: member, client: client, clock: clock, callbacks: callbacks, resignations: make(chan string, 1)}
}

// Leader returns the last known leader and its term. If there is no leader, member is empty and term is the last
// known term.
func (e *Elector) Leader() (member string, term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader, e.leaderTerm
}

// LeaderlessFor returns the last known term and the time since the last leader was found to be gone. It is meaningful
// only while Leader returns no member.
func (e *Elector) LeaderlessFor() (term uint64, duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaderTerm, e.clock.Since(e.leaderlessSince)
}

// Term returns the term in which this member leads, 0 if it does not lead, and whether its lease is certain not to
// have expired.
func (e *Elector) Term() (term uint64, valid bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term, e.term != 0 && e.clock.Now().Before(e.validUntil)
}

// ExpiredFor returns the longest time for which the lease of this member may have been expired. It is negative while
// the lease is valid.
func (e *Elector) ExpiredFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Since(e.validUntil)
}

// Resign requests that the term of this member ends, for a reason that is logged. It does not block or wait for the
// end of the term. Further calls before the term has ended have no effect.
func (e *Elector) Resign(reason string) {
	select {
	case e.resignations <- reason:
	default:
	}
}

// Run campaigns and, while this member leads, renews its lease, until the context ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		e.otherLeaderRevision = 0
		if e.Campaign(ctx) {
			e.holdTerm(ctx)
		} else if e.otherLeaderRevision > 0 {
			e.awaitLeaderChange(ctx, e.otherLeaderRevision)
		}
	}
}

// observeLeader records the leader, empty if there is none, and its term. If term is 0, the recorded term is kept.
func (e *Elector) observeLeader(member string, term uint64) {
	e.mu.Lock()
	changed := e.leader != member
	if e.leader != "" && member == "" {
		e.leaderlessSince = e.clock.Now()
	}
	e.leader = member
	if term != 0 {
		e.leaderTerm = term
	}
	e.mu.Unlock()
	if changed && member != "" {
		slog.Info("leader changed", "leader", member, "term", term)
	}
}
