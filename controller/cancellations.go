package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	"switchferry/api"
	"switchferry/store"
	"switchferry/tuning"
	"switchferry/watermark"
)

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
