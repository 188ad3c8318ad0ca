package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"time"

	"switchferry/api"
	"switchferry/peer"
	"switchferry/reachability"
	"switchferry/store"
	"switchferry/tuning"
	"switchferry/watermark"
)

// Whoever answers a worker renews its lease, and so keeps its tasks alive. A controller
// that is cut off may do so for its zone's workers ("inside, a cut-off zone keeps
// working"), but not for as long as it likes: on the other side a user may be told that a
// jobState is cancelled, and within cancel_s its tasks must be gone, which nobody can order
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
	kept := c.renewingLeases
	c.mu.Unlock()
	if kept || c.markCurrentIfLeading() {
		return nil
	}
	_, without := c.watermark.MayRenew(c.clock.Now())
	return []string{fmt.Sprintf("leases of workers are not renewed here: last word of cancellations %s ago; %s", formatAge(without), strings.Join(c.watermark.UnconfirmedPeers(), ", "))}
}

// enforceCancellations adds to an answer what ends the tasks of cancelled jobs that the worker reports, and takes out what would
// startTask more. The token is the one that it has: a stop is safe under any.
func (c *Controller) enforceCancellations(r *api.Heartbeat, o api.HeartbeatResponse) api.HeartbeatResponse {
	o.Commands = c.watermark.WithoutCancelledStarts(o.Commands)
	if more := c.watermark.KillCommands(r.Tasks, o.Commands); len(more) > 0 {
		slog.Info("ending tasks of cancelled jobs for the leader", "machine", r.Machine, "tasks", len(more), "first", more[0].Task)
		o.Commands = append(slices.Clone(o.Commands), more...)
	}
	return o
}

// noteAnswer has a cancellation known to the siblings before its user is told, and gives what may be told: a poll that was
// read before its job ended, here or at the leader, may be answered after the end was told.
func (c *Controller) noteAnswer(a peer.Response) peer.Response {
	if a.Status != http.StatusOK && a.Status != http.StatusCreated || !bytes.Contains(a.Body, []byte(`"status"`)) {
		return a
	}
	var st api.JobStatus
	if json.Unmarshal(a.Body, &st) != nil || !api.ValidID(st.ID) {
		return a
	}
	if st.State == api.Cancelled {
		c.watermark.RecordCancellation(c.clock.Now(), st.ID)
	}
	if newest, older := c.notifications.Newest(st); older {
		return jsonResponse(http.StatusOK, newest)
	}
	return a
}

// words is a node's side of what controllers tell each other of cancellations.
type watermarks struct{ n *Controller }

// Position is what is known of a sibling's word; nothing is asked while an older process may be there.
func (w watermarks) Position(member string) (life, have uint64, ok bool) {
	if len(w.n.versions.Older()) > 0 {
		return 0, 0, false
	}
	life, have = w.n.watermark.Position(member)
	return life, have, true
}

// Statement answers a sibling.
func (w watermarks) Statement(life, have uint64) (watermark.Statement, bool) {
	if len(w.n.versions.Older()) > 0 {
		return watermark.Statement{}, false
	}
	w.n.markCurrentIfLeading()
	return w.n.watermark.Statement(w.n.clock.Now(), life, have), true
}

// ApplyStatement takes in a sibling's answer.
func (w watermarks) ApplyStatement(member string, sent time.Time, s watermark.Statement) {
	if err := w.n.watermark.ApplyStatement(w.n.clock.Now(), member, sent, s); err != nil {
		slog.Info("a sibling's word is not believed", "member", member, "err", err)
	}
}

// followCancellations reads the records of jobs while this controller answers workers by itself and reaches the
// state service: what it has read was told to nobody before without being here.
func (c *Controller) followCancellations(ctx context.Context) {
	after := uint64(0)
	for ctx.Err() == nil {
		c.mu.Lock()
		needed := !c.answeredAloneAt.IsZero() && c.clock.Since(c.answeredAloneAt) < tuning.WatermarkNeeded
		c.mu.Unlock()
		if needed && c.leadingScheduler() == nil {
			if next, err := c.readCancelledJobs(ctx, after); err == nil {
				after = next
				c.sleep(ctx, tuning.RelayEvery)
				continue
			}
		}
		after = 0
		c.sleep(ctx, tuning.RelayEvery)
	}
}

// readCancelledJobs notes the cancellations on record, or, after a revision, those since. It gives the revision to go on
// from. What is known then is known from when that was asked for.
func (c *Controller) readCancelledJobs(ctx context.Context, after uint64) (uint64, error) {
	sent := c.clock.Now()
	var all []store.Item
	var log []store.Event
	var epoch uint64
	var err error
	if after == 0 {
		all, epoch, err = c.client.List(ctx, store.JobPrefix)
	} else {
		log, epoch, err = c.client.Watch(ctx, store.JobPrefix, after, tuning.WatermarkBlock)
	}
	if err != nil {
		return 0, err
	}
	for _, e := range log {
		all = append(all, store.Item{Key: e.Set, Value: e.Value})
	}
	for _, it := range all {
		var rec struct {
			Final string `json:"final"`
		}
		if bytes.Contains(it.Value, []byte(api.Cancelled)) && json.Unmarshal(it.Value, &rec) == nil && rec.Final == api.Cancelled {
			c.watermark.RecordCancellation(c.clock.Now(), strings.TrimPrefix(it.Key, store.JobPrefix))
		}
	}
	c.watermark.MarkCurrent(sent)
	return max(after, epoch), nil
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

// overdueCancellations are the machines that must be returned lest a cancelled job's task is on them
// past cancel_s: they were told to end it, and did not say that it is gone. The cloud's
// jsonResponse takes a while.
func (s *Scheduler) overdueCancellations(now time.Time) []*machineState {
	limit := seconds(s.settings.Facts.Workers.CancelS) - tuning.CancelReturn
	var out []*machineState
	for _, job := range s.jobOrder {
		if job.FinalState != api.Cancelled || len(job.allocations) == 0 || now.Sub(job.terminalAt) < limit {
			continue
		}
		for _, alloc := range job.allocations {
			// One that is heard, and was found late, ends it sooner by command.
			if now.Sub(alloc.machine.LastHeartbeat) > s.heartbeatTimeout(alloc.machine) || now.Sub(alloc.allocatedAt) >= limit || alloc.machine.link.State(now, s.lease()) != reachability.Reachable {
				out = append(out, alloc.machine)
			}
		}
	}
	return out
}
