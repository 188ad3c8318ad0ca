package controller

import (
	"context"
	"log/slog"
	"net/http"

	"switchferry/api"
	"switchferry/internal/sleep"
	"switchferry/membership"
	"switchferry/peer"
	"switchferry/tuning"
)

// newMembershipWatcher creates the watcher that keeps the table of members. It is called before Run.
func (c *Controller) newMembershipWatcher() {
	var others []string
	for _, other := range c.settings.Peers {
		others = append(others, other.Member)
	}
	c.members = membership.NewWatcher(c.settings.Member, others, c.clock)
	c.peers.OnObservation = func(observation membership.Observation) { c.members.Observe(observation) }
}

// MembersOn reports whether membership is on.
func (c *Controller) MembersOn() bool { return c.members != nil }

// handleMembers answers with this controller's own view of the members, which may differ from that of another
// controller.
func (c *Controller) handleMembers() peer.Response {
	if c.members == nil {
		return peer.JSONResponse(http.StatusNotFound, api.Error{Error: "membership is off"})
	}
	return peer.JSONResponse(http.StatusOK, c.members.Views())
}

// isShuttingDown reports whether a graceful shutdown has begun.
func (c *Controller) isShuttingDown() bool { return c.shuttingDown.Load() }

// Shutdown prepares this process for its end. Users are directed to other controllers, a leader resigns once a peer can
// succeed it, and requests in progress are still served. It returns after at most tuning.ShutdownTimeout, or at once
// with membership off.
func (c *Controller) Shutdown(ctx context.Context) {
	if c.members == nil {
		return
	}
	c.shuttingDown.Store(true)
	ctx, stop := context.WithTimeout(ctx, tuning.ShutdownTimeout)
	defer stop()
	slog.Info("graceful shutdown", "leads", c.term.scheduler() != nil)
	// Peers learn of the shutdown from the next hello, and the load balancer from its probe, once a second.
	sleep.For(ctx, c.clock, tuning.ShutdownNoticeTime)
	term, _ := c.elector.Term()
	for term != 0 && ctx.Err() == nil {
		ready := false
		for _, hello := range c.peers.LivePeers() {
			ready = ready || hello.StateOK && !hello.Leaving
		}
		if ready {
			c.elector.Resign("graceful shutdown")
			break
		}
		sleep.For(ctx, c.clock, tuning.ErrorRetryDelay)
	}
	for ctx.Err() == nil {
		leader, electedTerm := c.elector.Leader()
		if ownTerm, _ := c.elector.Term(); ownTerm == 0 && leader != "" && leader != c.settings.Member && electedTerm > term {
			break
		}
		sleep.For(ctx, c.clock, tuning.ErrorRetryDelay/5)
	}
	sleep.For(ctx, c.clock, tuning.ShutdownDrainTime)
}
