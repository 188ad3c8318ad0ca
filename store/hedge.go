package store

import (
	"context"
	"encoding/json"
	"errors"
	"reflect"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/tuning"
)

// HedgedClient sends a transaction again while it is unanswered: one answer in some is late by hundreds
// of milliseconds, and whoever is to be accepted waits behind it.
type HedgedClient struct {
	client *Client
	clock  clockwork.Clock
	// writeLimiter is what the writer's changes are taken from, seldom what may be sent again
	// although that has little left.
	writeLimiter, resendLimiter *rate.Limiter
}

// NewHedgedClient makes one for a writer whose changes limiter bounds, of the state service's writeRPS.
func NewHedgedClient(client *Client, clock clockwork.Clock, limiter *rate.Limiter, writeRPS float64) *HedgedClient {
	seldom := rate.NewLimiter(rate.Limit(writeRPS*tuning.HedgeShare), limiter.Burst())
	return &HedgedClient{client, clock, limiter, seldom}
}

// outcome is what became of a transaction.
type outcome struct {
	revision   uint64
	failedKeys []string
	err        error
}

// certainty orders outcomes by how much they tell.
func (o outcome) certainty() int {
	switch {
	case o.err == nil:
		return 3
	case errors.Is(o.err, ErrConflict):
		return 2
	case errors.Is(o.err, ErrOutcomeUnknown):
		return 1
	}
	return 0
}

// Transact is Client.Transact for a transaction in which every key that is written is also conditional
// on its revision. However often it is sent, it then takes effect at most once: the first that is
// executed changes the revisions. When one that was sent later fails for that reason, the
// earlier one's answer is not waited for: the keys are read, and if all hold what was to be
// writesByKind, at one revision, it was executed.
func (h *HedgedClient) Transact(ctx context.Context, conditions []Condition, operations []Operation) (uint64, []string, error) {
	answers := make(chan outcome, tuning.HedgeTries)
	send := func() {
		revision, failed, err := h.client.Transact(ctx, conditions, operations)
		answers <- outcome{revision, failed, err}
	}
	go send()
	sent, answered := 1, 0
	resendAt := h.clock.After(tuning.HedgeAfter)
	best := outcome{err: ErrBusy}
	var read chan outcome
	for {
		select {
		case o := <-answers:
			answered++
			if o.certainty() >= best.certainty() {
				best = o
			}
			switch {
			case best.err == nil:
				return best.revision, nil, nil
			case sent > 1 && errors.Is(o.err, ErrConflict) && read == nil:
				resendAt = nil
				read = make(chan outcome, 1)
				go func() { read <- h.verifyWritten(ctx, operations) }()
			case answered == sent && read == nil:
				return best.revision, best.failedKeys, best.err
			}
		case o := <-read:
			if o.err == nil {
				return o.revision, nil, nil
			}
			// Written by another, or not told.
			return best.revision, best.failedKeys, best.err
		case <-resendAt:
			resendAt = nil
			if sent == tuning.HedgeTries || !h.allowResend(len(operations)) {
				continue
			}
			sent++
			go send()
			resendAt = h.clock.After(tuning.HedgeAfter)
		}
	}
}

// allowResend tells whether so many changes may be sent again: where the writer has many to spare, or
// resendLimiter. A fixed share alone was used up by large transactions, while four fifths of the
// limit were left.
func (h *HedgedClient) allowResend(changes int) bool {
	now := h.clock.Now()
	spare := h.writeLimiter.TokensAt(now)-float64(changes) >= float64(h.writeLimiter.Burst())*tuning.HedgeSpare
	if !spare && !h.resendLimiter.AllowN(now, changes) {
		return false
	}
	h.writeLimiter.AllowN(now, changes)
	return true
}

// Get is Client.Get, sent again while it is unanswered: what reads its own writes back would
// else wait as long, for the answers of all keys.
func (h *HedgedClient) Get(ctx context.Context, key string) (Item, error) {
	type answer struct {
		it  Item
		err error
	}
	answers := make(chan answer, tuning.HedgeTries)
	send := func() {
		item, err := h.client.Get(ctx, key)
		answers <- answer{item, err}
	}
	go send()
	for sent, answered := 1, 0; ; {
		var resendAt <-chan time.Time
		if sent < tuning.HedgeTries {
			resendAt = h.clock.After(tuning.HedgeAfter)
		}
		select {
		case a := <-answers:
			answered++
			if a.err == nil || errors.Is(a.err, ErrNotFound) || answered == sent {
				return a.it, a.err
			}
		case <-resendAt:
			sent++
			go send()
		}
	}
}

// verifyWritten tells at which revision the keys were written, ErrConflict if they hold anything else.
func (h *HedgedClient) verifyWritten(ctx context.Context, operations []Operation) outcome {
	revisions := make([]uint64, len(operations))
	errs := make([]error, len(operations))
	var all sync.WaitGroup
	for i, operation := range operations {
		all.Go(func() {
			item, err := h.Get(ctx, operation.Set+operation.Delete)
			switch {
			case operation.Delete != "" && errors.Is(err, ErrNotFound):
			case err != nil:
				errs[i] = err
			case operation.Delete != "" || !equalJSON(item.Value, operation.Value):
				errs[i] = ErrConflict
			default:
				revisions[i] = item.Revision
			}
		})
	}
	all.Wait()
	var revision uint64
	for i, operation := range operations {
		switch {
		case errs[i] != nil:
			return outcome{err: errs[i]}
		case operation.Set != "" && revision != 0 && revisions[i] != revision:
			return outcome{err: ErrConflict}
		case operation.Set != "":
			revision = revisions[i]
		}
	}
	return outcome{revision: revision}
}

// equalJSON compares a stored value with one to be written, whatever spaces and order of keys.
func equalJSON(stored json.RawMessage, value any) bool {
	encoded, err := json.Marshal(value)
	if err != nil {
		return false
	}
	var a, b any
	return json.Unmarshal(stored, &a) == nil && json.Unmarshal(encoded, &b) == nil && reflect.DeepEqual(a, b)
}
