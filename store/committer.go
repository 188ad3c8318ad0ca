package store

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/settings"
	"switchferry/tuning"
)

// RecordSource builds records as they stand at the moment of a commit.
type RecordSource interface {
	// Record gives a key's value; false: the key is to be deleted. Further
	// conditions can be added.
	Record(key string) (value any, exists bool, more []Condition)
	// Condition holds while we lead; false: we do not.
	Condition() (Condition, bool)
	// Conflict tells what a key holds that was not written by this leader.
	Conflict(key string, found *Item)
	// Committed is called once what waited for a commit has run.
	Committed()
	// Deposed: the leader's key is no longer ours.
	Deposed()
}

// Committer writes the leader's records in groups, one transaction at a time.
// Every key is conditional on its revision, so that a transaction whose outcome
// was unknown and that is applied late cannot undo a newer one.
type Committer struct {
	client        *Client
	source        RecordSource
	clock         clockwork.Clock
	maxOperations int
	// maxConditions is the most conditions of a transaction.
	maxConditions int
	// maxValueBytes is the most bytes of a value.
	maxValueBytes int
	limiter       *rate.Limiter
	// announcedRate is the rate that the limiter sinks to once changes are refused for their number;
	// 0: no lower limit is announced.
	announcedRate rate.Limit
	hedged        *HedgedClient
	// deferred: nothing that waits may be written yet; used by the loop alone.
	deferred bool
	// overdueCredit are the changes that records which have waited long have a right to.
	overdueCredit float64
	// writesByKind counts changes by the prefix of their keys since writesCountedSince.
	writesByKind       map[string]int
	writesCountedSince time.Time

	mu        sync.Mutex
	dirty     map[string]*pendingRecord
	revisions map[string]uint64
	sequence  uint64
	wake      chan struct{}
}

type pendingRecord struct {
	key      string
	priority uint64
	onStored []func()
	// quarantinedUntil is until when it is left alone, because the state service does not take it;
	// isolated: it is tried in a transaction of its own.
	quarantinedUntil time.Time
	isolated         bool
	// notBefore is until when it waits for more to be written with it.
	notBefore time.Time
	// requestedAt is when it was first asked for.
	requestedAt time.Time
}

// Urgencies: accepts and what users wait for go first, then ordinary records, those of
// jobs of a lower rank each a step later, then what nobody waits for.
const (
	Urgent   = 0
	Ordinary = 1
	Lazy     = 8
)

// sequenceBits of an entry's order count; above them stands its urgency.
const sequenceBits = 56

// NewCommitter makes a committer for one term. Stamps are the revisions of
// the keys as loaded.
func NewCommitter(client *Client, source RecordSource, clock clockwork.Clock, limits settings.State, revisions map[string]uint64) *Committer {
	least := limits.Least()
	operations, quota := least.TxnOps, rate.Limit(limits.WriteRPS*tuning.QuotaShare)
	limiter := rate.NewLimiter(quota, max(1, int(quota)))
	committer := &Committer{client: client, source: source, clock: clock, maxOperations: min(operations, limiter.Burst()), maxConditions: conditionsPerOperation * operations, maxValueBytes: limits.ValueBytes(),
		limiter: limiter,
		hedged:  NewHedgedClient(client, clock, limiter, least.WriteRPS),
		dirty:   map[string]*pendingRecord{}, revisions: revisions, wake: make(chan struct{}, 1),
		writesByKind: map[string]int{}, writesCountedSince: clock.Now()}
	if least.WriteRPS < limits.WriteRPS {
		committer.announcedRate = rate.Limit(least.WriteRPS * tuning.QuotaShare)
	}
	return committer
}

// lowerRate keeps to the announced limit from now on: changes were refused for their number. The
// limit was said to sink once and for good, so it is not tried again in this term.
func (c *Committer) lowerRate() {
	if c.announcedRate == 0 || c.limiter.Limit() <= c.announcedRate {
		return
	}
	slog.Info("the state service takes fewer changes a second", "from", float64(c.limiter.Limit()), "to", float64(c.announcedRate))
	now := c.clock.Now()
	c.limiter.SetLimitAt(now, c.announcedRate)
	c.limiter.SetBurstAt(now, max(1, int(c.announcedRate)))
}

// urgentReserve are the changes that are left for what users wait for, when others would take all; there
// is room for one beside it.
func (c *Committer) urgentReserve() float64 {
	return min(tuning.UrgentReserve*float64(c.limiter.Limit()), float64(c.limiter.Burst()-1))
}

// SetValueLimit bounds values to so many bytes from now on: larger ones are not sent.
func (c *Committer) SetValueLimit(valueBytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxValueBytes = valueBytes
}

// valueLimit is the most bytes of a value.
func (c *Committer) valueLimit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maxValueBytes
}

// MarkDirty asks for a key to be written; after runs once a state at least as new
// as now is stored. It does not block.
func (c *Committer) MarkDirty(key string, urgency int, after func()) {
	c.enqueue(key, urgency, 0, after)
}

// MarkDirtyWithin is MarkDirty for what may wait that long for other changes of the same key, to be
// written with them.
func (c *Committer) MarkDirtyWithin(key string, urgency int, wait time.Duration, after func()) {
	c.enqueue(key, urgency, wait, after)
}

func (c *Committer) enqueue(key string, urgency int, wait time.Duration, after func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.dirty[key]
	c.sequence++
	order := uint64(urgency)<<sequenceBits | c.sequence
	if record == nil {
		record = &pendingRecord{key: key, priority: order, requestedAt: c.clock.Now()}
		if wait > 0 {
			record.notBefore = c.clock.Now().Add(wait)
		}
		c.dirty[key] = record
	}
	if wait == 0 {
		record.notBefore = time.Time{}
	}
	record.priority = min(record.priority, order)
	if after != nil {
		record.onStored = append(record.onStored, after)
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// SetRevision tells the revision of a key that another node wrote.
func (c *Committer) SetRevision(key string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revisions[key] = revision
}

// Pending is the number of records not yet written.
func (c *Committer) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.dirty)
}

// Delay is about how long one more urgent record would wait for the write limit.
func (c *Committer) Delay() time.Duration {
	c.mu.Lock()
	urgent := 1.0
	for _, record := range c.dirty {
		if record.priority>>sequenceBits == Urgent {
			urgent++
		}
	}
	c.mu.Unlock()
	missing := urgent - math.Max(0, c.limiter.TokensAt(c.clock.Now()))
	return time.Duration(math.Max(0, missing) / float64(c.limiter.Limit()) * float64(time.Second))
}

// Run commits until the context ends.
func (c *Committer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.Pending() == 0 {
			select {
			case <-ctx.Done():
				return
			case <-c.wake:
			}
			continue
		}
		if pause := c.Step(ctx); pause > 0 {
			// What is put here meanwhile goes at once if all that waits does so by itself, but
			// not if the state service has just refused something.
			var wake chan struct{}
			if c.deferred {
				wake = c.wake
			}
			select {
			case <-ctx.Done():
			case <-wake:
			case <-c.clock.After(pause):
			}
		}
	}
}

// conditionsPerOperation conditions a change may stand in a transaction, as the protocol says.
const conditionsPerOperation = 4

// conditionOverheadBytes is what a condition takes in a request beside its key.
const conditionOverheadBytes = 40

// maxTransactionBytes keeps a transaction under the 64 KiB of a request.
const maxTransactionBytes = 48 << 10

// Step tries one transaction. It returns how long to wait before the next.
func (c *Committer) Step(ctx context.Context) time.Duration {
	// No more is taken than the limit allows now: an accept must not wait until
	// there is room for all that is behind it.
	room := c.limiter.TokensAt(c.clock.Now())
	if room < 1 {
		return c.timeUntilAllowed(1 - room)
	}
	batch, pause := c.takeBatch(int(room), int(max(0, room-c.urgentReserve())))
	c.deferred = len(batch) == 0
	if c.deferred {
		return pause
	}
	leader, ok := c.source.Condition()
	if !ok {
		c.requeue(batch)
		return tuning.Tick
	}
	conditions := []Condition{leader}
	var operations []Operation
	size := 0
	included := batch[:0:0]
	for i, record := range batch {
		value, exists, more := c.source.Record(record.key)
		c.mu.Lock()
		revision := c.revisions[record.key]
		c.mu.Unlock()
		if !exists && revision == 0 {
			included = append(included, record)
			continue
		}
		operation := Operation{Delete: record.key}
		if exists {
			encoded, err := json.Marshal(value)
			if most := c.valueLimit(); err == nil && len(encoded) > most {
				err = fmt.Errorf("%d bytes, a value has at most %d", len(encoded), most)
			}
			if err != nil {
				c.quarantine(record, err)
				continue
			}
			operation = Operation{Set: record.key, Value: json.RawMessage(encoded)}
			size += len(encoded)
		}
		next := conditions
		for _, x := range append([]Condition{{record.key, revision}}, more...) {
			if !slices.Contains(next, x) {
				next = append(next, x)
				size += len(x.Key) + conditionOverheadBytes
			}
		}
		if (size > maxTransactionBytes || len(next) > c.maxConditions) && len(operations) > 0 {
			c.requeue(batch[i:])
			break
		}
		conditions = next
		operations = append(operations, operation)
		included = append(included, record)
	}
	if len(operations) > 0 {
		c.limiter.AllowN(c.clock.Now(), len(operations))
		c.countWrites(operations)
		revision, failed, err := c.hedged.Transact(ctx, conditions, operations)
		if errors.Is(err, ErrInvalidRequest) {
			c.isolateRecords(included, err)
			return 0
		}
		if err != nil {
			c.requeue(included)
			return c.handleFailure(ctx, leader, operations, failed, err)
		}
		c.mu.Lock()
		for _, operation := range operations {
			if operation.Delete != "" {
				delete(c.revisions, operation.Delete)
			} else if !strings.HasPrefix(operation.Set, FinalPrefix) {
				// FinalState states are written once; remembering them all would
				// take ever more memory.
				c.revisions[operation.Set] = revision
			}
		}
		c.mu.Unlock()
	}
	for _, record := range included {
		for _, f := range record.onStored {
			f()
		}
	}
	c.source.Committed()
	return 0
}

// timeUntilAllowed is how long it takes until so many more changes are allowed.
func (c *Committer) timeUntilAllowed(changes float64) time.Duration {
	return max(time.Millisecond, time.Duration(changes/float64(c.limiter.Limit())*float64(time.Second)))
}

// countWrites counts changes, and logs now and then what the limit of writes goes into.
func (c *Committer) countWrites(operations []Operation) {
	for _, operation := range operations {
		name, _, _ := strings.Cut(strings.TrimPrefix(operation.Set+operation.Delete, rootPrefix), "/")
		if operation.Delete != "" {
			name += "_deleted"
		}
		c.writesByKind[name]++
	}
	if now := c.clock.Now(); now.Sub(c.writesCountedSince) >= tuning.FleetLogEvery {
		slog.Info("changes written", "by", c.writesByKind, "in_s", now.Sub(c.writesCountedSince).Seconds(), "limit_per_s", float64(c.limiter.Limit()), "waiting", c.Pending())
		c.writesCountedSince, c.writesByKind = now, map[string]int{}
	}
}

// quarantine leaves a record alone for a while that the state service does not take, so that
// it does not stand before all others: one that is too large did so, again every second
// (docs/incidents/fleet-relay-too-long.md). What waits for it goes on waiting.
func (c *Committer) quarantine(record *pendingRecord, err error) {
	slog.Error("a record cannot be stored and is set aside", "key", record.key, "again_in", tuning.AsideFor, "err", err)
	record.quarantinedUntil, record.isolated = c.clock.Now().Add(tuning.AsideFor), true
	c.requeue([]*pendingRecord{record})
}

// isolateRecords finds out which record a transaction was refused for: each is tried alone, and the
// one that is refused alone is set aside.
func (c *Committer) isolateRecords(batch []*pendingRecord, err error) {
	if len(batch) == 1 {
		c.quarantine(batch[0], err)
		return
	}
	slog.Error("a transaction is refused, trying its records one by one", "records", len(batch), "err", err)
	for _, record := range batch {
		record.isolated = true
	}
	c.requeue(batch)
}

func (c *Committer) handleFailure(ctx context.Context, leader Condition, operations []Operation, failed []string, err error) time.Duration {
	const again = 100 * time.Millisecond
	switch {
	case errors.Is(err, ErrRateLimited):
		c.lowerRate()
		return again
	case errors.Is(err, ErrBusy):
		return again
	case errors.Is(err, ErrConflict):
		if slices.Contains(failed, leader.Key) {
			c.source.Deposed()
			return tuning.Tick
		}
		c.refreshRevisions(ctx, failed, true)
		return 0
	case errors.Is(err, ErrOutcomeUnknown):
		// It may have been applied, or may be later: learn the keys'
		// revisions. Should it be applied after this, the next try fails.
		slog.Info("outcome of a commit is unknown, reading again", "err", err)
		keys := make([]string, len(operations))
		for i, operation := range operations {
			keys[i] = operation.Set + operation.Delete
		}
		c.refreshRevisions(ctx, keys, false)
		return again
	}
	slog.Error("commit refused", "err", err)
	return 10 * again
}

// refreshRevisions learns the keys' revisions, of all at once: whoever is to be accepted waits behind it.
func (c *Committer) refreshRevisions(ctx context.Context, keys []string, conflict bool) {
	items := make([]Item, len(keys))
	errs := make([]error, len(keys))
	var all sync.WaitGroup
	for i, key := range keys {
		all.Go(func() { items[i], errs[i] = c.hedged.Get(ctx, key) })
	}
	all.Wait()
	for i, key := range keys {
		c.applyRead(key, items[i], errs[i], conflict)
	}
}

// applyRead takes in what reading a key gave.
func (c *Committer) applyRead(key string, item Item, err error, conflict bool) {
	var found *Item
	c.mu.Lock()
	known, ours := c.revisions[key]
	switch {
	case err == nil:
		found = &item
		c.revisions[key] = item.Revision
	case errors.Is(err, ErrNotFound):
		delete(c.revisions, key)
	}
	c.mu.Unlock()
	// A key that we never knew and that exists was written by another node,
	// or by a try of ours whose answer was lost; the source tells which.
	if found != nil && (!ours || known != item.Revision) && (conflict || !ours) {
		c.source.Conflict(key, found)
	}
}

// takeBatch takes out the entries for one transaction, so many at most, and of those that no user
// waits for so many; without any, pause is until when that may change.
func (c *Committer) takeBatch(most, others int) (batch []*pendingRecord, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]*pendingRecord, 0, len(c.dirty))
	now := c.clock.Now()
	for _, record := range c.dirty {
		if wait := max(record.quarantinedUntil.Sub(now), record.notBefore.Sub(now)); wait > 0 {
			if pause == 0 || wait < pause {
				pause = wait
			}
			continue
		}
		all = append(all, record)
	}
	slices.SortFunc(all, func(a, b *pendingRecord) int {
		if a.priority < b.priority {
			return -1
		}
		return 1
	})
	pressing := 0
	for pressing < len(all) && all[pressing].priority>>sequenceBits <= Ordinary {
		pressing++
	}
	count := min(len(all), max(pressing, others))
	if count == 0 && len(all) > 0 {
		// What is left is kept for accepts that are still to come: with the limit used up
		// by what can wait, each of a burst waited for the next change that it allows.
		return nil, c.timeUntilAllowed(1)
	}
	all = c.admitOverdue(all, min(count, c.maxOperations, most), now)
	for i, record := range all {
		if record.isolated {
			// With others before it, it waits for the next.
			all = all[:max(i, 1)]
			break
		}
	}
	for _, record := range all {
		delete(c.dirty, record.key)
	}
	return all, min(pause, tuning.Tick)
}

// admitOverdue cuts the entries, which stand in their order, to so many; a share of them goes to those that have
// waited long, oldest first, in the places of the last: while records of higher ranks came faster than
// the limit lets them be written, starts of others waited 95 s for theirs, their room held all the while.
func (c *Committer) admitOverdue(all []*pendingRecord, most int, now time.Time) []*pendingRecord {
	late := slices.DeleteFunc(slices.Clone(all[most:]), func(record *pendingRecord) bool {
		return record.priority>>sequenceBits >= Lazy || now.Sub(record.requestedAt) < tuning.RecordWaits
	})
	all = all[:most]
	if len(late) == 0 {
		c.overdueCredit = 0
		return all
	}
	slices.SortFunc(late, func(a, b *pendingRecord) int {
		return cmp.Or(a.requestedAt.Compare(b.requestedAt), cmp.Compare(a.priority, b.priority))
	})
	c.overdueCredit += tuning.RecordTurns * float64(most)
	for at := most - 1; at >= 0 && c.overdueCredit >= 1 && len(late) > 0; at-- {
		if all[at].priority>>sequenceBits == Urgent {
			break
		}
		all[at], late = late[0], late[1:]
		c.overdueCredit--
	}
	return all
}

func (c *Committer) requeue(batch []*pendingRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range batch {
		if now := c.dirty[record.key]; now != nil {
			now.onStored = append(record.onStored, now.onStored...)
			now.priority = min(now.priority, record.priority)
			if record.requestedAt.Before(now.requestedAt) {
				now.requestedAt = record.requestedAt
			}
			now.quarantinedUntil, now.isolated, now.notBefore = record.quarantinedUntil, record.isolated, time.Time{}
		} else {
			c.dirty[record.key] = record
		}
	}
}
