// Package election elects the leader among the controllers: the one whose record is in the key
// store.LeaderKey, which is attached to a lease of the state service.
//
// The revision of the write that won an election is the number of the term. Terms therefore only grow,
// and workers use them as fencing tokens.
package election

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/store"
)

// Callbacks are called by an Elector, from the goroutine of Run. They must not block for long.
type Callbacks interface {
	// Elected is called when this member has won the term.
	Elected(term uint64)
	// Lost is called when this member no longer leads in the term, with the reason for the log.
	Lost(term uint64, why string)
	// Isolated returns whether no peer can be reached.
	Isolated() bool
}

// Elector campaigns for one member and renews its lease while it leads. All methods but Run and
// Campaign are safe for concurrent use.
type Elector struct {
	member    string
	client    *store.Client
	clock     clockwork.Clock
	callbacks Callbacks

	// resignations, of capacity one, holds the reason for which the term is to end.
	resignations chan string

	// observedRevision is the revision of the key of another leader that Campaign found, 0 without one. It
	// belongs to the goroutine of Run.
	observedRevision uint64

	mu sync.Mutex
	// leader is the member that leads, as last read; empty: none.
	leader string
	// leaderTerm is the term of leader, or the last known term while there is none.
	leaderTerm uint64
	// leaderlessSince is when the last leader was found to be gone.
	leaderlessSince time.Time
	// term is the term of this member; 0: it does not lead.
	term    uint64
	leaseID uint64
	// validUntil is until when the lease certainly has not expired.
	validUntil time.Time
	// campaignAfter is until when a member that resigned leaves the leadership to others.
	campaignAfter time.Time
}

// New returns an elector for a member. It does nothing until Run is called.
func New(member string, client *store.Client, clock clockwork.Clock, callbacks Callbacks) *Elector {
	return &Elector{member: member, client: client, clock: clock, callbacks: callbacks, resignations: make(chan string, 1)}
}

// Leader returns the member that leads and its term, as far as known. Without a leader, member is empty
// and term is the last known one.
func (e *Elector) Leader() (member string, term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader, e.leaderTerm
}

// LeaderlessFor returns the last known term and for how long there has been no leader since.
func (e *Elector) LeaderlessFor() (term uint64, since time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaderTerm, e.clock.Since(e.leaderlessSince)
}

// Term returns the term of this member, 0 if it does not lead, and whether its lease certainly has not
// expired.
func (e *Elector) Term() (term uint64, valid bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term, e.term != 0 && e.clock.Now().Before(e.validUntil)
}

// ExpiredFor returns for how long the lease of this member may have expired. It is negative while the
// lease is valid.
func (e *Elector) ExpiredFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Since(e.validUntil)
}

// Resign ends the term of this member soon, for a reason that is logged. It does not block. Of several
// calls, the first counts.
func (e *Elector) Resign(why string) {
	select {
	case e.resignations <- why:
	default:
	}
}

// Run campaigns and leads until the context ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		e.observedRevision = 0
		if e.Campaign(ctx) {
			e.holdTerm(ctx)
		} else if e.observedRevision > 0 {
			e.awaitLeaderChange(ctx, e.observedRevision)
		}
	}
}

// observeLeader records who leads in which term (0: as before); an empty member means that nobody leads.
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
