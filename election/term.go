package election

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"switchferry/store"
	"switchferry/tuning"
)

// Reasons for which a term ends without a resignation.
const (
	leaseExpired     = "lease expired"
	storeUnreachable = "state service unreachable"
)

// leaseValidUntil is until when a lease that was requested or renewed by a call sent at the given time has
// certainly not expired.
func leaseValidUntil(sent time.Time) time.Time { return sent.Add(tuning.TermTTL - tuning.TermMargin) }

// holdTerm renews the lease until the term ends, and ends it. If the context ends, the lease is left to
// expire.
func (e *Elector) holdTerm(ctx context.Context) {
	renewalCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if why, lost := e.renewUntilLost(renewalCtx); lost {
		e.endTerm(ctx, why)
	}
}

// renewUntilLost renews the lease every tuning.RenewEvery until the term ends, and returns the reason; lost is
// false if the context ended instead. Renewals run at the same time, up to tuning.RenewAtOnce, so that one without
// a response does not hold up the next; they end with the context.
func (e *Elector) renewUntilLost(ctx context.Context) (why string, lost bool) {
	expired := make(chan struct{}, tuning.RenewAtOnce)
	slots := make(chan struct{}, tuning.RenewAtOnce)
	for {
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				if errors.Is(e.renew(ctx), store.ErrNoLease) {
					expired <- struct{}{}
				}
			}()
		default:
		}
		if e.ExpiredFor() > tuning.Holdover {
			return storeUnreachable, true
		}
		select {
		case <-ctx.Done():
			return "", false
		case why := <-e.resignations:
			return why, true
		case <-expired:
			return leaseExpired, true
		case <-e.clock.After(tuning.RenewEvery):
		}
	}
}

// renew renews the lease once. The lease is valid from the moment at which the renewal was sent, since the
// response may be late, and later than that of a later renewal.
func (e *Elector) renew(ctx context.Context) error {
	e.mu.Lock()
	leaseID := e.leaseID
	e.mu.Unlock()
	sent := e.clock.Now()
	if err := e.client.RenewLease(ctx, leaseID); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	validUntil := leaseValidUntil(sent)
	if e.leaseID == leaseID && e.term != 0 && validUntil.After(e.validUntil) {
		e.validUntil = validUntil
	}
	return nil
}

// endTerm records that this member no longer leads, and revokes its lease so that others need not wait for
// it to expire. After a resignation this member does not campaign for tuning.StandAgain.
func (e *Elector) endTerm(ctx context.Context, why string) {
	e.mu.Lock()
	now := e.clock.Now()
	term, leaseID := e.term, e.leaseID
	e.term, e.validUntil = 0, time.Time{}
	e.leader, e.leaderTerm, e.leaderlessSince = "", term, now
	e.campaignAfter = now.Add(tuning.CampaignDelay)
	if why == leaseExpired {
		e.campaignAfter = time.Time{}
	}
	e.mu.Unlock()
	slog.Info("leadership lost", "term", term, "why", why)
	e.callbacks.Lost(term, why)
	_ = e.client.RevokeLease(ctx, leaseID) // it expires by itself if this fails
}
