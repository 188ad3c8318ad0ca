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
// job is cancelled, and within cancel_s its tasks must be gone, which nobody can order
// here. So leases are renewed only while the last one ends in time, counted from the moment
// up to which this controller knows of all that was told (package watermark): that all
// siblings were alive was once taken for that, and cancelled tasks ran on through an outage
// (docs/incidents/hunt-told-before-an-outage.md). What it knows of it ends itself.

// sure tells whether this controller leads for certain, and has read the records: then all that anyone told
// until now is known here, since only a leader cancels while its key stands.
func (n *Controller) sure() bool {
	now := n.clock.Now()
	term, valid := n.elector.Term()
	if !valid || term != n.loaded.Load() {
		return false
	}
	n.watermark.MarkCurrent(now)
	return true
}

// keeps tells whether a worker's lease may be renewed now by a controller that does not lead for certain.
func (n *Controller) keeps() bool {
	n.sure()
	now := n.clock.Now()
	ok, without := n.watermark.MayRenew(now)
	n.mu.Lock()
	n.lone = now
	changed := ok != n.keeping
	n.keeping = ok
	n.mu.Unlock()
	if changed {
		slog.Info("leases of workers", "kept", ok, "without_word", span(without), "why", n.watermark.UnconfirmedPeers())
	}
	return ok
}

// span is how long ago there was word, for operators.
func span(without time.Duration) string {
	if without < 0 {
		return "never"
	}
	return without.Round(time.Millisecond).String()
}

// stopped tells an operator why this controller renews no leases, if it does not.
func (n *Controller) stopped() []string {
	n.mu.Lock()
	kept := n.keeping
	n.mu.Unlock()
	if kept || n.sure() {
		return nil
	}
	_, without := n.watermark.MayRenew(n.clock.Now())
	return []string{fmt.Sprintf("leases of workers are not renewed here: last word of cancellations %s ago; %s", span(without), strings.Join(n.watermark.UnconfirmedPeers(), ", "))}
}

// ending adds to an answer what ends the tasks of cancelled jobs that the worker reports, and takes out what would
// start more. The token is the one that it has: a stop is safe under any.
func (n *Controller) ending(r *api.Heartbeat, o api.HeartbeatResponse) api.HeartbeatResponse {
	o.Commands = n.watermark.WithoutCancelledStarts(o.Commands)
	if more := n.watermark.KillCommands(r.Tasks, o.Commands); len(more) > 0 {
		slog.Info("ending tasks of cancelled jobs for the leader", "machine", r.Machine, "tasks", len(more), "first", more[0].Task)
		o.Commands = append(slices.Clone(o.Commands), more...)
	}
	return o
}

// note has a cancellation known to the siblings before its user is told, and gives what may be told: a poll that was
// read before its job ended, here or at the leader, may be answered after the end was told.
func (n *Controller) note(a peer.Response) peer.Response {
	if a.Status != http.StatusOK && a.Status != http.StatusCreated || !bytes.Contains(a.Body, []byte(`"status"`)) {
		return a
	}
	var st api.JobStatus
	if json.Unmarshal(a.Body, &st) != nil || !api.ValidID(st.ID) {
		return a
	}
	if st.State == api.Cancelled {
		n.watermark.RecordCancellation(n.clock.Now(), st.ID)
	}
	if newest, older := n.ends.Newest(st); older {
		return answer(http.StatusOK, newest)
	}
	return a
}

// words is a node's side of what controllers tell each other of cancellations.
type watermarks struct{ n *Controller }

// Position is what is known of a sibling's word; nothing is asked while an older process may be there.
func (w watermarks) Position(member string) (life, have uint64, ok bool) {
	if len(w.n.marks.Older()) > 0 {
		return 0, 0, false
	}
	life, have = w.n.watermark.Position(member)
	return life, have, true
}

// Statement answers a sibling.
func (w watermarks) Statement(life, have uint64) (watermark.Statement, bool) {
	if len(w.n.marks.Older()) > 0 {
		return watermark.Statement{}, false
	}
	w.n.sure()
	return w.n.watermark.Statement(w.n.clock.Now(), life, have), true
}

// ApplyStatement takes in a sibling's answer.
func (w watermarks) ApplyStatement(member string, sent time.Time, s watermark.Statement) {
	if err := w.n.watermark.ApplyStatement(w.n.clock.Now(), member, sent, s); err != nil {
		slog.Info("a sibling's word is not believed", "member", member, "err", err)
	}
}

// readCancellations reads the records of jobs while this controller answers workers by itself and reaches the
// state service: what it has read was told to nobody before without being here.
func (n *Controller) readCancellations(ctx context.Context) {
	after := uint64(0)
	for ctx.Err() == nil {
		n.mu.Lock()
		needed := !n.lone.IsZero() && n.clock.Since(n.lone) < tuning.WatermarkNeeded
		n.mu.Unlock()
		if needed && n.leading() == nil {
			if next, err := n.readJobs(ctx, after); err == nil {
				after = next
				n.sleep(ctx, tuning.RelayEvery)
				continue
			}
		}
		after = 0
		n.sleep(ctx, tuning.RelayEvery)
	}
}

// readJobs notes the cancellations on record, or, after a revision, those since. It gives the revision to go on
// from. What is known then is known from when that was asked for.
func (n *Controller) readJobs(ctx context.Context, after uint64) (uint64, error) {
	sent := n.clock.Now()
	var all []store.Item
	var log []store.Event
	var epoch uint64
	var err error
	if after == 0 {
		all, epoch, err = n.client.List(ctx, store.JobPrefix)
	} else {
		log, epoch, err = n.client.Watch(ctx, store.JobPrefix, after, tuning.WatermarkBlock)
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
			n.watermark.RecordCancellation(n.clock.Now(), strings.TrimPrefix(it.Key, store.JobPrefix))
		}
	}
	n.watermark.MarkCurrent(sent)
	return max(after, epoch), nil
}

// unkept is what a worker is told whose lease must not be renewed. One that was sent away
// and came back finds nobody else: an answer without a token, which renews nothing, keeps
// it here, so that it is heard as soon as the cut ends. Sent on, it would try one dead end
// after the other, 5 s each, and come when its lease has ended. Others are sent on.
func (n *Controller) unkept() (status int, body any) {
	if !n.stateOK() && n.peers.Isolated() {
		return http.StatusOK, api.HeartbeatResponse{Commands: []api.Command{}}
	}
	return http.StatusServiceUnavailable, api.Error{Error: "cut off for too long to keep tasks alive"}
}

// overstayed are the machines that must be returned lest a cancelled job's task is on them
// past cancel_s: they were told to end it, and did not say that it is gone. The cloud's
// answer takes a while.
func (c *Core) overstayed(now time.Time) []*machine {
	limit := seconds(c.set.Facts.Workers.CancelS) - tuning.CancelReturn
	var out []*machine
	for _, j := range c.order {
		if j.FinalState != api.Cancelled || len(j.live) == 0 || now.Sub(j.withdrawn) < limit {
			continue
		}
		for _, a := range j.live {
			// One that is heard, and was found late, ends it sooner by command.
			if now.Sub(a.machine.LastHeartbeat) > c.quiet(a.machine) || now.Sub(a.since) >= limit || a.machine.line.State(now, c.lease()) != reachability.Reachable {
				out = append(out, a.machine)
			}
		}
	}
	return out
}
