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
type cancellationExchange struct{ leases *leaseRenewal }

// Position is what is known of a sibling's word; nothing is asked while an older process may be there.
func (w cancellationExchange) Position(member string) (incarnation, position uint64, ok bool) {
	if len(w.leases.versions.Older()) > 0 {
		return 0, 0, false
	}
	incarnation, position = w.leases.watermark.Position(member)
	return incarnation, position, true
}

// Statement answers a sibling.
func (w cancellationExchange) Statement(incarnation, position uint64) (watermark.Statement, bool) {
	if len(w.leases.versions.Older()) > 0 {
		return watermark.Statement{}, false
	}
	w.leases.markCurrentIfLeading()
	return w.leases.watermark.Statement(w.leases.clock.Now(), incarnation, position), true
}

// ApplyStatement takes in a sibling's answer.
func (w cancellationExchange) ApplyStatement(member string, sent time.Time, statement watermark.Statement) {
	if err := w.leases.watermark.ApplyStatement(w.leases.clock.Now(), member, sent, statement); err != nil {
		slog.Info("a sibling's word is not believed", "member", member, "err", err)
	}
}

// followCancellations reads the records of jobs while this controller answers workers by itself and reaches the
// state service: what it has read was told to nobody before without being here.
func (l *leaseRenewal) followCancellations(ctx context.Context) {
	after := uint64(0)
	for ctx.Err() == nil {
		l.mu.Lock()
		needed := !l.answeredAloneAt.IsZero() && l.clock.Since(l.answeredAloneAt) < tuning.WatermarkNeeded
		l.mu.Unlock()
		if needed && l.term.scheduler() == nil {
			if next, err := l.readCancelledJobs(ctx, after); err == nil {
				after = next
				sleep(ctx, l.clock, tuning.RelayEvery)
				continue
			}
		}
		after = 0
		sleep(ctx, l.clock, tuning.RelayEvery)
	}
}

// readCancelledJobs notes the cancellations on record, or, after a revision, those since. It gives the revision to go on
// from. What is known then is known from when that was asked for.
func (l *leaseRenewal) readCancelledJobs(ctx context.Context, after uint64) (uint64, error) {
	sent := l.clock.Now()
	var all []store.Item
	var log []store.Event
	var epoch uint64
	var err error
	if after == 0 {
		all, epoch, err = l.client.List(ctx, store.JobPrefix)
	} else {
		log, epoch, err = l.client.Watch(ctx, store.JobPrefix, after, tuning.WatermarkBlock)
	}
	if err != nil {
		return 0, err
	}
	for _, event := range log {
		all = append(all, store.Item{Key: event.Set, Value: event.Value})
	}
	for _, item := range all {
		var rec struct {
			Final string `json:"final"`
		}
		if bytes.Contains(item.Value, []byte(api.Cancelled)) && json.Unmarshal(item.Value, &rec) == nil && rec.Final == api.Cancelled {
			l.watermark.RecordCancellation(l.clock.Now(), strings.TrimPrefix(item.Key, store.JobPrefix))
		}
	}
	l.watermark.MarkCurrent(sent)
	return max(after, epoch), nil
}
