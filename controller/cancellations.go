package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"switchferry/api"
	"switchferry/internal/sleep"
	"switchferry/store"
	"switchferry/tuning"
	"switchferry/watermark"
)

// cancellationExchange exchanges statements about cancellations with the peers (package watermark).
type cancellationExchange struct{ leases *leaseRenewal }

// Position returns the position up to which the statements of a peer are known. Ok is false while a process of an older
// version may run, since no statements are requested from peers then.
func (exchange cancellationExchange) Position(member string) (incarnation, position uint64, ok bool) {
	if len(exchange.leases.versions.Older()) > 0 {
		return 0, 0, false
	}
	incarnation, position = exchange.leases.watermark.Position(member)
	return incarnation, position, true
}

// Statement returns the statement for a peer that knows the statements of this incarnation up to a position. Ok is
// false while a process of an older version may run.
func (exchange cancellationExchange) Statement(incarnation, position uint64) (watermark.Statement, bool) {
	if len(exchange.leases.versions.Older()) > 0 {
		return watermark.Statement{}, false
	}
	exchange.leases.markCurrentIfLeading()
	return exchange.leases.watermark.Statement(exchange.leases.clock.Now(), incarnation, position), true
}

// ApplyStatement applies the statement with which a peer answered a request sent at requestedAt.
func (exchange cancellationExchange) ApplyStatement(member string, requestedAt time.Time, statement watermark.Statement) {
	if err := exchange.leases.watermark.ApplyStatement(exchange.leases.clock.Now(), member, requestedAt, statement); err != nil {
		slog.Info("rejecting peer statement", "member", member, "err", err)
	}
}

// followCancellations reads the job records while this controller renews leases without leading and reaches the state
// service, so that it knows all cancellations that were acknowledged to users.
func (l *leaseRenewal) followCancellations(ctx context.Context) {
	after := uint64(0)
	for ctx.Err() == nil {
		l.mu.Lock()
		needed := !l.nonLeaderDecisionAt.IsZero() && l.clock.Since(l.nonLeaderDecisionAt) < tuning.WatermarkReadPeriod
		l.mu.Unlock()
		if needed && l.term.scheduler() == nil {
			if next, err := l.readCancelledJobs(ctx, after); err == nil {
				after = next
				sleep.For(ctx, l.clock, tuning.RelayInterval)
				continue
			}
		}
		after = 0
		sleep.For(ctx, l.clock, tuning.RelayInterval)
	}
}

// readCancelledJobs records all stored cancellations if after is zero, and otherwise those since the revision after. It
// returns the revision from which to continue. The cancellations then count as known up to the time of the request, not
// of its response.
func (l *leaseRenewal) readCancelledJobs(ctx context.Context, after uint64) (uint64, error) {
	requestedAt := l.clock.Now()
	if err := l.readRequiredToken(ctx); err != nil {
		return 0, err
	}
	var items []store.Item
	var events []store.Event
	var revision uint64
	var err error
	if after == 0 {
		items, revision, err = l.client.List(ctx, store.JobPrefix)
	} else {
		events, revision, err = l.client.Watch(ctx, store.JobPrefix, after, tuning.WatermarkWatchTimeout)
	}
	if err != nil {
		return 0, fmt.Errorf("read jobs from revision %d: %w", after, err)
	}
	for _, event := range events {
		items = append(items, store.Item{Key: event.Set, Value: event.Value})
	}
	for _, item := range items {
		var record struct {
			Final string `json:"final"`
		}
		if bytes.Contains(item.Value, []byte(api.Cancelled)) && json.Unmarshal(item.Value, &record) == nil && record.Final == api.Cancelled {
			l.watermark.RecordCancellation(l.clock.Now(), strings.TrimPrefix(item.Key, store.JobPrefix))
		}
	}
	l.watermark.MarkCurrent(requestedAt)
	return max(after, revision), nil
}

// readRequiredToken reads the fencing token that workers must have at least, so that cancellations do not become known by
// their records without it.
func (l *leaseRenewal) readRequiredToken(ctx context.Context) error {
	item, err := l.client.Get(ctx, store.FenceKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read %s: %w", store.FenceKey, err)
	}
	var record store.FenceRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		slog.Error("corrupt record of the required token", "key", store.FenceKey, "err", err)
		return nil
	}
	l.watermark.RequireToken(record.Token)
	return nil
}
