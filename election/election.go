// Package election makes one controller the leader, by a key on a lease of the
// state service. A term's number is the revision of the write that won it, so
// it only grows; workers know it as their token.
package election

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/store"
	"switchferry/tuning"
)

// Callbacks are told what happens. They must not block for long.
type Callbacks interface {
	Elected(term uint64)
	Lost(term uint64, why string)
	// Isolated tells whether no sibling can be reached.
	Isolated() bool
}

// Elector stands for election and keeps the term.
type Elector struct {
	member    string
	client    *store.Client
	clock     clockwork.Clock
	callbacks Callbacks

	mu              sync.Mutex
	leader          string // as last read
	leaderTerm      uint64 // its term, or the last one's while there is no leader
	leaderlessSince time.Time
	// observedRevision is the revision of another's key, for the loop of Run alone.
	observedRevision uint64
	term             uint64 // ours; 0: none
	leaseID          uint64
	validUntil       time.Time
	// campaignAfter keeps a leader that resigned from standing at once.
	campaignAfter time.Time
	resignations  chan string
}

// New makes an elector.
func New(member string, client *store.Client, clock clockwork.Clock, callbacks Callbacks) *Elector {
	return &Elector{member: member, client: client, clock: clock, callbacks: callbacks, resignations: make(chan string, 1)}
}

// Leader is the member that leads and its term, as far as known.
func (e *Elector) Leader() (member string, term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader, e.leaderTerm
}

// LeaderlessFor is the last term and how long nobody has led since.
func (e *Elector) LeaderlessFor() (term uint64, since time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaderTerm, e.clock.Since(e.leaderlessSince)
}

// Term is our term and whether our key certainly still stands.
func (e *Elector) Term() (term uint64, valid bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term, e.term != 0 && e.clock.Now().Before(e.validUntil)
}

// ExpiredFor is how long ago our key's life ended; negative while it lasts.
func (e *Elector) ExpiredFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Since(e.validUntil)
}

// Resign gives the term up.
func (e *Elector) Resign(why string) {
	select {
	case e.resignations <- why:
	default:
	}
}

// Run stands and leads until the context ends.
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

func (e *Elector) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-e.clock.After(d):
	}
}

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
		slog.Info("leader known", "leader", member)
	}
}

// Campaign looks who leads and, if nobody does, tries to become the leader.
func (e *Elector) Campaign(ctx context.Context) bool {
	item, err := e.client.Get(ctx, store.LeaderKey)
	switch {
	case err == nil:
		var record store.LeaderRecord
		if json.Unmarshal(item.Value, &record) != nil {
			slog.Error("the leader's key holds something else", "value", string(item.Value))
		}
		if record.Member == e.member {
			// Left by our own process before it ended: no one else bears
			// this name, so the lease can go at once.
			slog.Info("ending the lease of our earlier process")
			_ = e.client.RevokeLease(ctx, item.Lease)
			e.sleep(ctx, tuning.ElectRetry/5)
			return false
		}
		e.observeLeader(record.Member, item.Revision)
		e.observedRevision = item.Revision
		return false
	case !errors.Is(err, store.ErrNotFound):
		e.sleep(ctx, tuning.ElectRetry)
		return false
	}
	e.observeLeader("", 0)
	e.mu.Lock()
	wait := e.campaignAfter.Sub(e.clock.Now())
	e.mu.Unlock()
	if wait > 0 {
		e.sleep(ctx, min(wait, tuning.ElectRetry))
		return false
	}
	if e.callbacks.Isolated() {
		// A node that reaches nobody leaves the first chance to the others.
		e.sleep(ctx, tuning.LoneDelay)
		if _, err := e.client.Get(ctx, store.LeaderKey); !errors.Is(err, store.ErrNotFound) {
			return false
		}
	}
	sent := e.clock.Now()
	leaseID, err := e.client.GrantLease(ctx, tuning.TermTTL)
	if err != nil {
		e.sleep(ctx, tuning.ElectRetry)
		return false
	}
	term, _, err := e.client.Transact(ctx,
		[]store.Condition{{Key: store.LeaderKey, Revision: 0}},
		[]store.Operation{{Set: store.LeaderKey, Value: store.LeaderRecord{Member: e.member}, Lease: leaseID}})
	if errors.Is(err, store.ErrOutcomeUnknown) {
		// It may have won: read before anything else.
		item, rerr := e.client.Get(ctx, store.LeaderKey)
		if rerr == nil && item.Lease == leaseID {
			term, err = item.Revision, nil
		}
	}
	if err != nil {
		_ = e.client.RevokeLease(ctx, leaseID)
		e.sleep(ctx, tuning.ElectRetry/5)
		return false
	}
	e.mu.Lock()
	e.term, e.leaseID, e.leader = term, leaseID, e.member
	e.validUntil = sent.Add(tuning.TermTTL - tuning.TermMargin)
	select {
	case <-e.resignations:
	default:
	}
	e.mu.Unlock()
	slog.Info("elected", "term", term)
	e.callbacks.Elected(term)
	return true
}

// awaitLeaderChange waits until the leader's key changes.
func (e *Elector) awaitLeaderChange(ctx context.Context, after uint64) {
	for ctx.Err() == nil {
		log, epoch, err := e.client.Watch(ctx, store.LeaderKey, after, tuning.WatchBlock)
		if err != nil {
			e.sleep(ctx, tuning.ElectRetry)
			return
		}
		if len(log) > 0 {
			return
		}
		after = max(after, epoch)
	}
}

// renew renews the lease once. True: it has ended. The lease is timed from the moment a
// renewal was sent, since its answer may be late, and may be overtaken by a later one's.
func (e *Elector) renew(ctx context.Context) (ended bool) {
	e.mu.Lock()
	leaseID := e.leaseID
	e.mu.Unlock()
	sent := e.clock.Now()
	err := e.client.RenewLease(ctx, leaseID)
	if err != nil {
		return errors.Is(err, store.ErrNoLease)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if validUntil := sent.Add(tuning.TermTTL - tuning.TermMargin); e.leaseID == leaseID && e.term != 0 && validUntil.After(e.validUntil) {
		e.validUntil = validUntil
	}
	return false
}

// holdTerm renews until the term is over; a renewal that is not answered does not hold up the
// next.
func (e *Elector) holdTerm(ctx context.Context) {
	why := ""
	ended := make(chan struct{}, tuning.RenewAtOnce)
	slots := make(chan struct{}, tuning.RenewAtOnce)
	renewalCtx, stop := context.WithCancel(ctx)
	defer stop()
	for why == "" {
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				if e.renew(renewalCtx) {
					ended <- struct{}{}
				}
			}()
		default:
		}
		if e.ExpiredFor() > tuning.Holdover {
			why = "the state service is out of reach"
			continue
		}
		select {
		case <-ctx.Done():
			return
		case why = <-e.resignations:
		case <-ended:
			why = "the lease ended"
		case <-e.clock.After(tuning.RenewEvery):
		}
	}
	e.mu.Lock()
	term, leaseID := e.term, e.leaseID
	e.term, e.leader, e.leaderTerm, e.leaderlessSince, e.validUntil = 0, "", term, e.clock.Now(), time.Time{}
	e.campaignAfter = e.clock.Now().Add(tuning.StandAgain)
	if why == "the lease ended" {
		e.campaignAfter = time.Time{}
	}
	e.mu.Unlock()
	slog.Info("term over", "term", term, "why", why)
	e.callbacks.Lost(term, why)
	_ = e.client.RevokeLease(ctx, leaseID)
}
