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
	// limiter is what the writer's changes are taken from, seldom what may be sent again
	// although that has little left.
	limiter, seldom *rate.Limiter
}

// NewHedgedClient makes one for a writer whose changes limiter bounds, of the state service's writeRPS.
func NewHedgedClient(client *Client, clock clockwork.Clock, limiter *rate.Limiter, writeRPS float64) *HedgedClient {
	seldom := rate.NewLimiter(rate.Limit(writeRPS*tuning.HedgeShare), limiter.Burst())
	return &HedgedClient{client, clock, limiter, seldom}
}

// outcome is what became of a transaction.
type outcome struct {
	epoch  uint64
	failed []string
	err    error
}

// rank orders outcomes by how much they tell.
func (o outcome) rank() int {
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
// written, at one revision, it was executed.
func (h *HedgedClient) Transact(ctx context.Context, conds []Condition, ops []Operation) (uint64, []string, error) {
	answers := make(chan outcome, tuning.HedgeTries)
	send := func() {
		epoch, failed, err := h.client.Transact(ctx, conds, ops)
		answers <- outcome{epoch, failed, err}
	}
	go send()
	sent, answered := 1, 0
	again := h.clock.After(tuning.HedgeAfter)
	best := outcome{err: ErrBusy}
	var read chan outcome
	for {
		select {
		case o := <-answers:
			answered++
			if o.rank() >= best.rank() {
				best = o
			}
			switch {
			case best.err == nil:
				return best.epoch, nil, nil
			case sent > 1 && errors.Is(o.err, ErrConflict) && read == nil:
				again = nil
				read = make(chan outcome, 1)
				go func() { read <- h.confirm(ctx, ops) }()
			case answered == sent && read == nil:
				return best.epoch, best.failed, best.err
			}
		case o := <-read:
			if o.err == nil {
				return o.epoch, nil, nil
			}
			// Written by another, or not told.
			return best.epoch, best.failed, best.err
		case <-again:
			again = nil
			if sent == tuning.HedgeTries || !h.allow(len(ops)) {
				continue
			}
			sent++
			go send()
			again = h.clock.After(tuning.HedgeAfter)
		}
	}
}

// allow tells whether so many changes may be sent again: where the writer has many to spare, or
// seldom. A fixed share alone was used up by large transactions, while four fifths of the
// limit were left.
func (h *HedgedClient) allow(changes int) bool {
	now := h.clock.Now()
	spare := h.limiter.TokensAt(now)-float64(changes) >= float64(h.limiter.Burst())*tuning.HedgeSpare
	if !spare && !h.seldom.AllowN(now, changes) {
		return false
	}
	h.limiter.AllowN(now, changes)
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
		it, err := h.client.Get(ctx, key)
		answers <- answer{it, err}
	}
	go send()
	for sent, answered := 1, 0; ; {
		var again <-chan time.Time
		if sent < tuning.HedgeTries {
			again = h.clock.After(tuning.HedgeAfter)
		}
		select {
		case a := <-answers:
			answered++
			if a.err == nil || errors.Is(a.err, ErrNotFound) || answered == sent {
				return a.it, a.err
			}
		case <-again:
			sent++
			go send()
		}
	}
}

// confirm tells at which revision the keys were written, ErrConflict if they hold anything else.
func (h *HedgedClient) confirm(ctx context.Context, ops []Operation) outcome {
	epochs := make([]uint64, len(ops))
	errs := make([]error, len(ops))
	var all sync.WaitGroup
	for i, op := range ops {
		all.Go(func() {
			it, err := h.Get(ctx, op.Set+op.Delete)
			switch {
			case op.Delete != "" && errors.Is(err, ErrNotFound):
			case err != nil:
				errs[i] = err
			case op.Delete != "" || !same(it.Value, op.Value):
				errs[i] = ErrConflict
			default:
				epochs[i] = it.Revision
			}
		})
	}
	all.Wait()
	var epoch uint64
	for i, op := range ops {
		switch {
		case errs[i] != nil:
			return outcome{err: errs[i]}
		case op.Set != "" && epoch != 0 && epochs[i] != epoch:
			return outcome{err: ErrConflict}
		case op.Set != "":
			epoch = epochs[i]
		}
	}
	return outcome{epoch: epoch}
}

// same compares a stored value with one to be written, whatever spaces and order of keys.
func same(stored json.RawMessage, value any) bool {
	raw, err := json.Marshal(value)
	if err != nil {
		return false
	}
	var a, b any
	return json.Unmarshal(stored, &a) == nil && json.Unmarshal(raw, &b) == nil && reflect.DeepEqual(a, b)
}
