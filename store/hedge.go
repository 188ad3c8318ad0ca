package store

import (
	"context"
	"encoding/json"
	"errors"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/tuning"
)

// HedgedClient resends a transaction or a read that is not answered in time. Without it, one response in 25 was
// late by hundreds of milliseconds and delayed every record queued behind it
// (docs/incidents/fleet-late-commits.md). A HedgedClient is safe for concurrent use.
type HedgedClient struct {
	client *Client
	clock  clockwork.Clock
	// writeLimiter limits the changes of the writer, including resent ones.
	writeLimiter *rate.Limiter
	// resendLimiter limits the resent changes while little of writeLimiter's burst is left.
	resendLimiter *rate.Limiter
	// committedRevision is the highest revision in a positive answer to a transaction.
	committedRevision atomic.Uint64
}

// NewHedgedClient returns a hedged client for a writer whose changes are limited by writeLimiter. writeRPS is the
// limit of the state service in changes per second.
func NewHedgedClient(client *Client, clock clockwork.Clock, writeLimiter *rate.Limiter, writeRPS float64) *HedgedClient {
	resendLimiter := rate.NewLimiter(rate.Limit(writeRPS*tuning.HedgeWriteShare), writeLimiter.Burst())
	return &HedgedClient{client: client, clock: clock, writeLimiter: writeLimiter, resendLimiter: resendLimiter}
}

// outcome is the result of a transaction.
type outcome struct {
	revision   uint64
	failedKeys []string
	err        error
}

// certainty ranks outcomes by how much they prove about the execution of the transaction; higher is more certain.
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

// Transact is Client.Transact for a transaction that is conditional on the revision of every key that it writes.
// Such a transaction takes effect at most once, however often it is sent, because its first execution changes the
// revisions.
//
// If a resent transaction fails with ErrConflict, an earlier attempt may have been executed and its response may be
// late. Transact does not wait for that response but reads the keys. If all of them have the values that were to
// be written, at the same revision, the transaction was executed.
func (h *HedgedClient) Transact(ctx context.Context, conditions []Condition, operations []Operation) (uint64, []string, error) {
	responses := make(chan outcome, tuning.MaxHedgeAttempts)
	send := func() {
		revision, failedKeys, err := h.client.Transact(ctx, conditions, operations)
		if err == nil {
			h.observeCommitted(revision)
		}
		responses <- outcome{revision, failedKeys, err}
	}
	go send()
	sent, answered := 1, 0
	resendTimer := h.clock.After(tuning.HedgeDelay)
	bestOutcome := outcome{err: ErrBusy}
	var verified chan outcome // nil until the keys are read
	for {
		select {
		case response := <-responses:
			answered++
			if response.certainty() >= bestOutcome.certainty() {
				bestOutcome = response
			}
			switch {
			case bestOutcome.err == nil:
				return bestOutcome.revision, nil, nil
			case sent > 1 && errors.Is(response.err, ErrConflict) && verified == nil:
				resendTimer = nil
				verified = make(chan outcome, 1)
				go func() { verified <- h.verifyWritten(ctx, operations) }()
			case answered == sent && verified == nil:
				return bestOutcome.revision, bestOutcome.failedKeys, bestOutcome.err
			}
		case verification := <-verified:
			if verification.err == nil {
				return verification.revision, nil, nil
			}
			// Another process wrote a key, or the keys could not be read.
			return bestOutcome.revision, bestOutcome.failedKeys, bestOutcome.err
		case <-resendTimer:
			resendTimer = nil
			if sent == tuning.MaxHedgeAttempts || !h.allowResend(len(operations)) {
				continue
			}
			sent++
			go send()
			resendTimer = h.clock.After(tuning.HedgeDelay)
		}
	}
}

// CommittedRevision returns the highest revision that the state service has stated in a positive answer to a transaction
// of this client, 0 before the first. Revisions that were only read do not count: another process may have written the
// same values.
func (h *HedgedClient) CommittedRevision() uint64 { return h.committedRevision.Load() }

// observeCommitted records the revision of a committed transaction.
func (h *HedgedClient) observeCommitted(revision uint64) {
	for {
		known := h.committedRevision.Load()
		if revision <= known || h.committedRevision.CompareAndSwap(known, revision) {
			return
		}
	}
}

// allowResend reports whether a transaction with the given number of changes may be resent and, if so, counts the
// changes against the write limit. Resending is allowed if at least the share tuning.HedgeSpareShare of the write
// limiter's burst is left afterwards, or if resendLimiter allows it. When only resendLimiter was used, large
// transactions exhausted its fixed rate while four fifths of the write limit were unused.
func (h *HedgedClient) allowResend(changes int) bool {
	now := h.clock.Now()
	remaining := h.writeLimiter.TokensAt(now) - float64(changes)
	hasSpareCapacity := remaining >= float64(h.writeLimiter.Burst())*tuning.HedgeSpareShare
	if !hasSpareCapacity && !h.resendLimiter.AllowN(now, changes) {
		return false
	}
	h.writeLimiter.AllowN(now, changes)
	return true
}

// Get is Client.Get, resent while it is not answered. Without resending, concurrent reads of several keys would
// take as long as the slowest response.
func (h *HedgedClient) Get(ctx context.Context, key string) (Item, error) {
	type result struct {
		item Item
		err  error
	}
	responses := make(chan result, tuning.MaxHedgeAttempts)
	send := func() {
		item, err := h.client.Get(ctx, key)
		responses <- result{item, err}
	}
	go send()
	for sent, answered := 1, 0; ; {
		var resendTimer <-chan time.Time
		if sent < tuning.MaxHedgeAttempts {
			resendTimer = h.clock.After(tuning.HedgeDelay)
		}
		select {
		case response := <-responses:
			answered++
			if response.err == nil || errors.Is(response.err, ErrNotFound) || answered == sent {
				return response.item, response.err
			}
		case <-resendTimer:
			sent++
			go send()
		}
	}
}

// verifyWritten reads the keys of operations and returns the revision at which all of them were written together.
// The error of the outcome is ErrConflict if any key has another state.
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

// verifyOperation reads the key of an operation. It returns the key's revision, or 0 if the operation deletes it
// and it does not exist. It returns ErrConflict if the state of the key is not the result of the operation.
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

// equalJSON reports whether a stored value is equal to the JSON encoding of value, regardless of white space and of
// the order of object keys.
func equalJSON(stored json.RawMessage, value any) bool {
	encoded, err := json.Marshal(value)
	if err != nil {
		return false
	}
	var got, want any
	return json.Unmarshal(stored, &got) == nil && json.Unmarshal(encoded, &want) == nil && reflect.DeepEqual(got, want)
}
