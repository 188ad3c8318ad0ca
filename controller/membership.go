package controller

import (
	"context"
	"log/slog"
	"net/http"

	"switchferry/api"
	"switchferry/membership"
	"switchferry/peer"
	"switchferry/tuning"
)

// newMembershipWatcher lets this node keep a table of members; it is called before Run.
func (c *Controller) newMembershipWatcher() {
	var others []string
	for _, s := range c.settings.Peers {
		others = append(others, s.Member)
	}
	c.members = membership.NewWatcher(c.settings.Member, others, c.clock)
	c.peers.OnObservation = func(o membership.Observation) { c.members.Observe(o) }
}

// MembersOn tells whether membership is on.
func (c *Controller) MembersOn() bool { return c.members != nil }

// handleMembers answers with this controller's own view: another's may differ, and that is shown.
func (c *Controller) handleMembers() peer.Response {
	if c.members == nil {
		return peer.JSONResponse(http.StatusNotFound, api.Error{Error: "membership is off"})
	}
	return peer.JSONResponse(http.StatusOK, c.members.Views())
}

// isShuttingDown tells whether this process ends by plan.
func (c *Controller) isShuttingDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shuttingDown
}

// Shutdown hands over by plan, before this process ends: users are sent elsewhere, a leader gives up
// its post while a sibling can take it, and requests under way, and those of users who have not
// been told yet, are served meanwhile. With membership off it does nothing.
func (c *Controller) Shutdown(ctx context.Context) {
	if c.members == nil {
		return
	}
	c.mu.Lock()
	c.shuttingDown = true
	c.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, tuning.ShutdownMax)
	defer stop()
	slog.Info("leaving by plan", "leads", c.leadingScheduler() != nil)
	// Peers are told with the next greeting, and the load balancer probes once a second.
	c.sleep(ctx, tuning.ShutdownNoticeTime)
	term, _ := c.elector.Term()
	for term != 0 && ctx.Err() == nil {
		ready := false
		for _, h := range c.peers.LivePeers() {
			ready = ready || h.StateOK && !h.Leaving
		}
		if ready {
			c.elector.Resign("it leaves by plan")
			break
		}
		c.sleep(ctx, tuning.ElectRetry)
	}
	for ctx.Err() == nil {
		leader, led := c.elector.Leader()
		if now, _ := c.elector.Term(); now == 0 && leader != "" && leader != c.settings.Member && led > term {
			break
		}
		c.sleep(ctx, tuning.ElectRetry/5)
	}
	c.sleep(ctx, tuning.ShutdownLinger)
}
