package election

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"switchferry/store"
	"switchferry/tuning"
)

// Reasons why a term ends without a resignation.
const (
	leaseExpired            = "lease expired"
	stateServiceUnreachable = "state service unreachable"
)

// leaseValidUntil returns the time before which a lease is certain not to have expired if the request that granted or
// renewed it was sent at the given time.
func leaseValidUntil(sent time.Time) time.Time { return sent.Add(tuning.TermTTL - tuning.TermMargin) }

// holdTerm renews the lease until the leadership is lost, and then ends the term. If the context ends, it returns
// without ending the term and the lease expires by itself.
func (e *Elector) holdTerm(ctx context.Context) {
	renewalCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if reason, lost := e.renewUntilLost(renewalCtx); lost {
		e.endTerm(ctx, reason)
	}
}

// renewUntilLost renews the lease every tuning.RenewInterval until the leadership is lost, and returns the reason; lost
// is false if the context ended instead. Up to tuning.MaxConcurrentRenewals renewals run concurrently, so that one
// without a response does not delay the next. They end with the context.
func (e *Elector) renewUntilLost(ctx context.Context) (reason string, lost bool) {
	expired := make(chan struct{}, tuning.MaxConcurrentRenewals)
	slots := make(chan struct{}, tuning.MaxConcurrentRenewals)
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
			return stateServiceUnreachable, true
		}
		select {
		case <-ctx.Done():
			return "", false
		case reason := <-e.resignations:
			return reason, true
		case <-expired:
			return leaseExpired, true
		case <-e.clock.After(tuning.RenewInterval):
		}
	}
}

// renew renews the lease once. The validity is counted from the time when the request was sent, because the response
// may be delayed and may arrive after the response to a later request.
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

// endTerm records that this member no longer leads, and revokes its lease so that other members need not wait for it
// to expire. Unless the reason is that the lease expired, this member then does not campaign for tuning.CampaignDelay.
func (e *Elector) endTerm(ctx context.Context, reason string) {
	e.mu.Lock()
	now := e.clock.Now()
	term, leaseID := e.term, e.leaseID
	e.term, e.validUntil = 0, time.Time{}
	e.leader, e.leaderTerm, e.leaderlessSince = "", term, now
	e.campaignAfter = now.Add(tuning.CampaignDelay)
	if reason == leaseExpired {
		e.campaignAfter = time.Time{}
	}
	e.mu.Unlock()
	slog.Info("leadership lost", "term", term, "why", reason)
	e.callbacks.Lost(term, reason)
	_ = e.client.RevokeLease(ctx, leaseID) // it expires by itself if this fails
}
