package controller

import (
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"time"

	"switchferry/api"
)

// Whoever answers a worker renews its lease, and so keeps its tasks alive. A controller
// that is cut off may do so for its zone's workers ("inside, a cut-off zone keeps
// working"), but not for as long as it likes: on the other side a user may be told that a
// job is cancelled, and within cancel_s its tasks must be gone, which nobody can order
// here. So leases are renewed only while the last one ends in time, counted from the moment
// up to which this controller knows of all that was told (package watermark): that all
// siblings were alive was once taken for that, and cancelled tasks ran on through an outage
// (docs/incidents/hunt-told-before-an-outage.md). What it knows of it ends itself.

// markCurrentIfLeading tells whether this controller leads for certain, and has read the records: then all that anyone told
// until now is known here, since only a leader cancels while its key stands.
func (c *Controller) markCurrentIfLeading() bool {
	now := c.clock.Now()
	term, valid := c.elector.Term()
	if !valid || term != c.loadedTerm.Load() {
		return false
	}
	c.watermark.MarkCurrent(now)
	return true
}

// mayRenewLeases tells whether a worker's lease may be renewed now by a controller that does not lead for certain.
func (c *Controller) mayRenewLeases() bool {
	c.markCurrentIfLeading()
	now := c.clock.Now()
	ok, without := c.watermark.MayRenew(now)
	c.mu.Lock()
	c.answeredAloneAt = now
	changed := ok != c.renewingLeases
	c.renewingLeases = ok
	c.mu.Unlock()
	if changed {
		slog.Info("leases of workers", "kept", ok, "without_word", formatAge(without), "why", c.watermark.UnconfirmedPeers())
	}
	return ok
}

// formatAge is how long ago there was word, for operators.
func formatAge(without time.Duration) string {
	if without < 0 {
		return "never"
	}
	return without.Round(time.Millisecond).String()
}

// leaseRenewalProblems tells an operator why this controller renews no leases, if it does not.
func (c *Controller) leaseRenewalProblems() []string {
	c.mu.Lock()
	renewed := c.renewingLeases
	c.mu.Unlock()
	if renewed || c.markCurrentIfLeading() {
		return nil
	}
	_, without := c.watermark.MayRenew(c.clock.Now())
	return []string{fmt.Sprintf("leases of workers are not renewed here: last word of cancellations %s ago; %s", formatAge(without), strings.Join(c.watermark.UnconfirmedPeers(), ", "))}
}

// enforceCancellations adds to an answer what ends the tasks of cancelled jobs that the worker reports, and takes out what would
// start more. The token is the one that it has: a stop is safe under any.
func (c *Controller) enforceCancellations(heartbeat *api.Heartbeat, response api.HeartbeatResponse) api.HeartbeatResponse {
	response.Commands = c.watermark.WithoutCancelledStarts(response.Commands)
	if more := c.watermark.KillCommands(heartbeat.Tasks, response.Commands); len(more) > 0 {
		slog.Info("ending tasks of cancelled jobs for the leader", "machine", heartbeat.Machine, "tasks", len(more), "first", more[0].Task)
		response.Commands = append(slices.Clone(response.Commands), more...)
	}
	return response
}

// refuseRenewal is what a worker is told whose lease must not be renewed. One that was sent away
// and came back finds nobody else: an answer without a token, which renews nothing, keeps
// it here, so that it is heard as soon as the cut ends. Sent on, it would try one dead end
// after the other, 5 s each, and come when its lease has ended. Others are sent on.
func (c *Controller) refuseRenewal() (status int, body any) {
	if !c.stateServiceHealthy() && c.peers.Isolated() {
		return http.StatusOK, api.HeartbeatResponse{Commands: []api.Command{}}
	}
	return http.StatusServiceUnavailable, api.Error{Error: "cut off for too long to keep tasks alive"}
}
