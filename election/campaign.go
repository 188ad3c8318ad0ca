package election

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"switchferry/internal/sleep"
	"switchferry/store"
	"switchferry/tuning"
)

// shortRetry is the delay before the next attempt after another process has won the election, or after a lease was
// revoked, to let the state service remove the key that is attached to it.
const shortRetry = tuning.ErrorRetryDelay / 5

// Campaign reads the leader's key and, if there is no leader, tries to become it. It returns whether this member was
// elected. If not, Campaign has already waited until the next attempt makes sense, unless another member leads.
func (e *Elector) Campaign(ctx context.Context) bool {
	if !e.leadershipVacant(ctx) || !e.mayCampaign(ctx) {
		return false
	}
	requested := e.clock.Now()
	leaseID, err := e.client.GrantLease(ctx, tuning.TermTTL)
	if err != nil {
		sleep.For(ctx, e.clock, tuning.ErrorRetryDelay)
		return false
	}
	term, err := e.claimLeadership(ctx, leaseID)
	if err != nil {
		_ = e.client.RevokeLease(ctx, leaseID) // it expires by itself if this fails
		sleep.For(ctx, e.clock, shortRetry)
		return false
	}
	e.beginTerm(term, leaseID, requested)
	slog.Info("elected", "term", term)
	e.callbacks.Elected(term)
	return true
}

// leadershipVacant reads the leader's key, records the leader, and returns whether there is none. It returns false
// after a delay if the key cannot be read.
func (e *Elector) leadershipVacant(ctx context.Context) bool {
	item, err := e.client.Get(ctx, store.LeaderKey)
	switch {
	case errors.Is(err, store.ErrNotFound):
		e.observeLeader("", 0)
		return true
	case err != nil:
		sleep.For(ctx, e.clock, tuning.ErrorRetryDelay)
		return false
	}
	var record store.LeaderRecord
	if json.Unmarshal(item.Value, &record) != nil {
		slog.Error("corrupt leader record", "value", string(item.Value))
	}
	if record.Member == e.member {
		// The key was written by a previous incarnation of this member. Member names are unique, so the lease can be
		// revoked at once.
		slog.Info("revoking lease of previous incarnation")
		_ = e.client.RevokeLease(ctx, item.Lease) // it expires by itself if this fails
		sleep.For(ctx, e.clock, shortRetry)
		return false
	}
	e.observeLeader(record.Member, item.Revision)
	e.otherLeaderRevision = item.Revision
	return false
}

// mayCampaign returns whether this member may campaign now. It gives other members precedence by a delay after this
// member's own term, and while this member cannot reach any peer.
func (e *Elector) mayCampaign(ctx context.Context) bool {
	e.mu.Lock()
	wait := e.campaignAfter.Sub(e.clock.Now())
	e.mu.Unlock()
	if wait > 0 {
		sleep.For(ctx, e.clock, min(wait, tuning.ErrorRetryDelay))
		return false
	}
	if e.callbacks.Isolated() {
		sleep.For(ctx, e.clock, tuning.IsolatedCampaignDelay)
		if _, err := e.client.Get(ctx, store.LeaderKey); !errors.Is(err, store.ErrNotFound) {
			return false
		}
	}
	return true
}

// claimLeadership writes the leader's key, attached to the lease, if the key does not exist. It returns the term.
func (e *Elector) claimLeadership(ctx context.Context, leaseID uint64) (term uint64, err error) {
	term, _, err = e.client.Transact(ctx,
		[]store.Condition{{Key: store.LeaderKey, Revision: 0}},
		[]store.Operation{{Set: store.LeaderKey, Value: store.LeaderRecord{Member: e.member}, Lease: leaseID}})
	if errors.Is(err, store.ErrOutcomeUnknown) {
		// The transaction may have been executed: the key shows whether it was.
		item, getErr := e.client.Get(ctx, store.LeaderKey)
		if getErr == nil && item.Lease == leaseID {
			return item.Revision, nil
		}
	}
	return term, err
}

// beginTerm records that this member leads in the term, with a lease that was requested at the given time. It drops
// a resignation that was meant for an earlier term.
func (e *Elector) beginTerm(term, leaseID uint64, requested time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.term, e.leaseID, e.leader = term, leaseID, e.member
	e.validUntil = leaseValidUntil(requested)
	select {
	case <-e.resignations:
	default:
	}
}

// awaitLeaderChange waits until the leader's key has a revision above after. If the key cannot be watched, it returns
// after a delay.
func (e *Elector) awaitLeaderChange(ctx context.Context, after uint64) {
	for ctx.Err() == nil {
		changes, revision, err := e.client.Watch(ctx, store.LeaderKey, after, tuning.WatchTimeout)
		if err != nil {
			sleep.For(ctx, e.clock, tuning.ErrorRetryDelay)
			return
		}
		if len(changes) > 0 {
			return
		}
		after = max(after, revision)
	}
}
