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

// HedgedClient repeats a transaction or a read while it is unanswered: one response in 25 was late by
// hundreds of milliseconds, and held up every record behind it
// (docs/incidents/fleet-late-commits.md). It is safe for concurrent use.
type HedgedClient struct {
	client *Client
	clock  clockwork.Clock
	// writeLimiter is the limiter of the writer, which a repeated transaction counts against.
	writeLimiter *rate.Limiter
	// resendLimiter allows some repetitions while writeLimiter has little capacity left.
	resendLimiter *rate.Limiter
}

// NewHedgedClient returns a hedged client for a writer whose changes writeLimiter limits. writeRPS is the
// limit of the state service in changes a second.
func NewHedgedClient(client *Client, clock clockwork.Clock, writeLimiter *rate.Limiter, writeRPS float64) *HedgedClient {
	resendLimiter := rate.NewLimiter(rate.Limit(writeRPS*tuning.HedgeShare), writeLimiter.Burst())
	return &HedgedClient{client: client, clock: clock, writeLimiter: writeLimiter, resendLimiter: resendLimiter}
}

// outcome is the result of a transaction.
type outcome struct {
	revision   uint64
	failedKeys []string
	err        error
}

// certainty orders outcomes by how much they say about what was executed.
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

// Transact is Client.Transact for a transaction that is conditional on the revision of every key that it
// writes. However often such a transaction is sent, it takes effect at most once, because the first
// execution changes the revisions.
//
// If a repetition fails with ErrConflict, an earlier one may have been executed and its response may be
// late. That response is not waited for: the keys are read, and if all of them hold what was to be
// written, at one revision, the transaction was executed.
func (h *HedgedClient) Transact(ctx context.Context, conditions []Condition, operations []Operation) (uint64, []string, error) {
	responses := make(chan outcome, tuning.HedgeTries)
	send := func() {
		revision, failedKeys, err := h.client.Transact(ctx, conditions, operations)
		responses <- outcome{revision, failedKeys, err}
	}
	go send()
	sent, answered := 1, 0
	resend := h.clock.After(tuning.HedgeAfter)
	best := outcome{err: ErrBusy}
	var verified chan outcome // nil: the keys are not being read
	for {
		select {
		case response := <-responses:
			answered++
			if response.certainty() >= best.certainty() {
				best = response
			}
			switch {
			case best.err == nil:
				return best.revision, nil, nil
			case sent > 1 && errors.Is(response.err, ErrConflict) && verified == nil:
				resend = nil
				verified = make(chan outcome, 1)
				go func() { verified <- h.verifyWritten(ctx, operations) }()
			case answered == sent && verified == nil:
				return best.revision, best.failedKeys, best.err
			}
		case verification := <-verified:
			if verification.err == nil {
				return verification.revision, nil, nil
			}
			// Another process wrote a key, or the keys could not be read.
			return best.revision, best.failedKeys, best.err
		case <-resend:
			resend = nil
			if sent == tuning.HedgeTries || !h.allowResend(len(operations)) {
				continue
			}
			sent++
			go send()
			resend = h.clock.After(tuning.HedgeAfter)
		}
	}
}

// allowResend returns whether so many changes may be sent again, and counts them against the write limit:
// either the writer has much of its limit left, or resendLimiter allows it. A fixed share alone was used
// up by large transactions while four fifths of the limit were left.
func (h *HedgedClient) allowResend(changes int) bool {
	now := h.clock.Now()
	left := h.writeLimiter.TokensAt(now) - float64(changes)
	spare := left >= float64(h.writeLimiter.Burst())*tuning.HedgeSpare
	if !spare && !h.resendLimiter.AllowN(now, changes) {
		return false
	}
	h.writeLimiter.AllowN(now, changes)
	return true
}

// Get is Client.Get, repeated while it is unanswered: reading several keys back would otherwise wait
// for the latest of the responses.
func (h *HedgedClient) Get(ctx context.Context, key string) (Item, error) {
	type result struct {
		item Item
		err  error
	}
	responses := make(chan result, tuning.HedgeTries)
	send := func() {
		item, err := h.client.Get(ctx, key)
		responses <- result{item, err}
	}
	go send()
	for sent, answered := 1, 0; ; {
		var resend <-chan time.Time
		if sent < tuning.HedgeTries {
			resend = h.clock.After(tuning.HedgeAfter)
		}
		select {
		case response := <-responses:
			answered++
			if response.err == nil || errors.Is(response.err, ErrNotFound) || answered == sent {
				return response.item, response.err
			}
		case <-resend:
			sent++
			go send()
		}
	}
}

// verifyWritten reads the keys of operations and returns the revision at which all of them were written
// together. Its error is ErrConflict if any key holds anything else.
func (h *HedgedClient) verifyWritten(ctx context.Context, operations []Operation) outcome {
	revisions := make([]uint64, len(operations))
	errs := make([]error, len(operations))
	var reads sync.WaitGroup
	for i, operation := range operations {
		reads.Go(func() { revisions[i], errs[i] = h.verifyOperation(ctx, operation) })
	}
	reads.Wait()
	var revision uint64
	for i, operation := range operations {
		switch {
		case errs[i] != nil:
			return outcome{err: errs[i]}
		case operation.Delete != "":
		case revision != 0 && revisions[i] != revision:
			return outcome{err: ErrConflict}
		default:
			revision = revisions[i]
		}
	}
	return outcome{revision: revision}
}

// verifyOperation reads the key of an operation and returns its revision (0 if it was deleted), or
// ErrConflict if the key is not as the operation leaves it.
func (h *HedgedClient) verifyOperation(ctx context.Context, operation Operation) (uint64, error) {
	item, err := h.Get(ctx, operation.key())
	switch {
	case operation.Delete != "" && errors.Is(err, ErrNotFound):
		return 0, nil
	case err != nil:
		return 0, err
	case operation.Delete != "" || !equalJSON(item.Value, operation.Value):
		return 0, ErrConflict
	}
	return item.Revision, nil
}

// equalJSON compares a stored value with one that was to be written, whatever their spaces and the order
// of their keys.
func equalJSON(stored json.RawMessage, value any) bool {
	encoded, err := json.Marshal(value)
	if err != nil {
		return false
	}
	var got, want any
	return json.Unmarshal(stored, &got) == nil && json.Unmarshal(encoded, &want) == nil && reflect.DeepEqual(got, want)
}
