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
	member string
	client *store.Client
	clock  clockwork.Clock
	events Callbacks

	mu     sync.Mutex
	leader string // as last read
	reign  uint64 // its term, or the last one's while there is no leader
	vacant time.Time
	// following is the revision of another's key, for the loop of Run alone.
	following uint64
	term      uint64 // ours; 0: none
	lease     uint64
	valid     time.Time
	// standAfter keeps a leader that resigned from standing at once.
	standAfter time.Time
	quit       chan string
}

// New makes an elector.
func New(member string, client *store.Client, clock clockwork.Clock, events Callbacks) *Elector {
	return &Elector{member: member, client: client, clock: clock, events: events, quit: make(chan string, 1)}
}

// Leader is the member that leads and its term, as far as known.
func (e *Elector) Leader() (member string, term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader, e.reign
}

// LeaderlessFor is the last term and how long nobody has led since.
func (e *Elector) LeaderlessFor() (term uint64, since time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reign, e.clock.Since(e.vacant)
}

// Term is our term and whether our key certainly still stands.
func (e *Elector) Term() (term uint64, valid bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term, e.term != 0 && e.clock.Now().Before(e.valid)
}

// ExpiredFor is how long ago our key's life ended; negative while it lasts.
func (e *Elector) ExpiredFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Since(e.valid)
}

// Resign gives the term up.
func (e *Elector) Resign(why string) {
	select {
	case e.quit <- why:
	default:
	}
}

// Run stands and leads until the context ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		e.following = 0
		if e.Campaign(ctx) {
			e.lead(ctx)
		} else if e.following > 0 {
			e.follow(ctx, e.following)
		}
	}
}

func (e *Elector) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-e.clock.After(d):
	}
}

func (e *Elector) setLeader(m string, term uint64) {
	e.mu.Lock()
	changed := e.leader != m
	if e.leader != "" && m == "" {
		e.vacant = e.clock.Now()
	}
	e.leader = m
	if term != 0 {
		e.reign = term
	}
	e.mu.Unlock()
	if changed && m != "" {
		slog.Info("leader known", "leader", m)
	}
}

// Campaign looks who leads and, if nobody does, tries to become the leader.
func (e *Elector) Campaign(ctx context.Context) bool {
	it, err := e.client.Get(ctx, store.LeaderKey)
	switch {
	case err == nil:
		var l store.LeaderRecord
		if json.Unmarshal(it.Value, &l) != nil {
			slog.Error("the leader's key holds something else", "value", string(it.Value))
		}
		if l.Member == e.member {
			// Left by our own process before it ended: no one else bears
			// this name, so the lease can go at once.
			slog.Info("ending the lease of our earlier process")
			_ = e.client.RevokeLease(ctx, it.Lease)
			e.sleep(ctx, tuning.ElectRetry/5)
			return false
		}
		e.setLeader(l.Member, it.Revision)
		e.following = it.Revision
		return false
	case !errors.Is(err, store.ErrNotFound):
		e.sleep(ctx, tuning.ElectRetry)
		return false
	}
	e.setLeader("", 0)
	e.mu.Lock()
	wait := e.standAfter.Sub(e.clock.Now())
	e.mu.Unlock()
	if wait > 0 {
		e.sleep(ctx, min(wait, tuning.ElectRetry))
		return false
	}
	if e.events.Isolated() {
		// A node that reaches nobody leaves the first chance to the others.
		e.sleep(ctx, tuning.LoneDelay)
		if _, err := e.client.Get(ctx, store.LeaderKey); !errors.Is(err, store.ErrNotFound) {
			return false
		}
	}
	sent := e.clock.Now()
	lease, err := e.client.GrantLease(ctx, tuning.TermTTL)
	if err != nil {
		e.sleep(ctx, tuning.ElectRetry)
		return false
	}
	term, _, err := e.client.Transact(ctx,
		[]store.Condition{{Key: store.LeaderKey, Revision: 0}},
		[]store.Operation{{Set: store.LeaderKey, Value: store.LeaderRecord{Member: e.member}, Lease: lease}})
	if errors.Is(err, store.ErrOutcomeUnknown) {
		// It may have won: read before anything else.
		it, rerr := e.client.Get(ctx, store.LeaderKey)
		if rerr == nil && it.Lease == lease {
			term, err = it.Revision, nil
		}
	}
	if err != nil {
		_ = e.client.RevokeLease(ctx, lease)
		e.sleep(ctx, tuning.ElectRetry/5)
		return false
	}
	e.mu.Lock()
	e.term, e.lease, e.leader = term, lease, e.member
	e.valid = sent.Add(tuning.TermTTL - tuning.TermMargin)
	select {
	case <-e.quit:
	default:
	}
	e.mu.Unlock()
	slog.Info("elected", "term", term)
	e.events.Elected(term)
	return true
}

// follow waits until the leader's key changes.
func (e *Elector) follow(ctx context.Context, after uint64) {
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
	lease := e.lease
	e.mu.Unlock()
	sent := e.clock.Now()
	err := e.client.RenewLease(ctx, lease)
	if err != nil {
		return errors.Is(err, store.ErrNoLease)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if until := sent.Add(tuning.TermTTL - tuning.TermMargin); e.lease == lease && e.term != 0 && until.After(e.valid) {
		e.valid = until
	}
	return false
}

// lead renews until the term is over; a renewal that is not answered does not hold up the
// next.
func (e *Elector) lead(ctx context.Context) {
	why := ""
	ended := make(chan struct{}, tuning.RenewAtOnce)
	slots := make(chan struct{}, tuning.RenewAtOnce)
	calls, stop := context.WithCancel(ctx)
	defer stop()
	for why == "" {
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				if e.renew(calls) {
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
		case why = <-e.quit:
		case <-ended:
			why = "the lease ended"
		case <-e.clock.After(tuning.RenewEvery):
		}
	}
	e.mu.Lock()
	term, lease := e.term, e.lease
	e.term, e.leader, e.reign, e.vacant, e.valid = 0, "", term, e.clock.Now(), time.Time{}
	e.standAfter = e.clock.Now().Add(tuning.StandAgain)
	if why == "the lease ended" {
		e.standAfter = time.Time{}
	}
	e.mu.Unlock()
	slog.Info("term over", "term", term, "why", why)
	e.events.Lost(term, why)
	_ = e.client.RevokeLease(ctx, lease)
}
