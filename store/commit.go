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
	client *Client
	src    RecordSource
	clock  clockwork.Clock
	ops    int
	// conds is the most conditions of a transaction.
	conds int
	// value is the most bytes of a value.
	value   int
	limiter *rate.Limiter
	// lower is the rate that the limiter sinks to once changes are refused for their number;
	// 0: no lower limit is announced.
	lower rate.Limit
	hedge *HedgedClient
	// resting: nothing that waits may be written yet; used by the loop alone.
	resting bool
	// turns are the changes that records which have waited long have a right to.
	turns float64
	// written counts changes by the prefix of their keys since told.
	written map[string]int
	told    time.Time

	mu     sync.Mutex
	dirty  map[string]*entry
	stamps map[string]uint64
	next   uint64
	wake   chan struct{}
}

type entry struct {
	key   string
	order uint64
	after []func()
	// aside is until when it is left alone, because the state service does not take it;
	// alone: it is tried in a transaction of its own.
	aside time.Time
	alone bool
	// ripe is until when it waits for more to be written with it.
	ripe time.Time
	// since is when it was first asked for.
	since time.Time
}

// Urgencies: accepts and what users wait for go first, then ordinary records, those of
// jobs of a lower rank each a step later, then what nobody waits for.
const (
	Urgent   = 0
	Ordinary = 1
	Lazy     = 8
)

// orderBits of an entry's order count; above them stands its urgency.
const orderBits = 56

// NewCommitter makes a committer for one term. Stamps are the revisions of
// the keys as loaded.
func NewCommitter(client *Client, src RecordSource, clock clockwork.Clock, limits settings.State, stamps map[string]uint64) *Committer {
	least := limits.Least()
	ops, quota := least.TxnOps, rate.Limit(limits.WriteRPS*tuning.QuotaShare)
	limiter := rate.NewLimiter(quota, max(1, int(quota)))
	c := &Committer{client: client, src: src, clock: clock, ops: min(ops, limiter.Burst()), conds: condsPerOp * ops, value: limits.ValueBytes(),
		limiter: limiter,
		hedge:   NewHedgedClient(client, clock, limiter, least.WriteRPS),
		dirty:   map[string]*entry{}, stamps: stamps, wake: make(chan struct{}, 1),
		written: map[string]int{}, told: clock.Now()}
	if least.WriteRPS < limits.WriteRPS {
		c.lower = rate.Limit(least.WriteRPS * tuning.QuotaShare)
	}
	return c
}

// sink keeps to the announced limit from now on: changes were refused for their number. The
// limit was said to sink once and for good, so it is not tried again in this term.
func (c *Committer) sink() {
	if c.lower == 0 || c.limiter.Limit() <= c.lower {
		return
	}
	slog.Info("the state service takes fewer changes a second", "from", float64(c.limiter.Limit()), "to", float64(c.lower))
	now := c.clock.Now()
	c.limiter.SetLimitAt(now, c.lower)
	c.limiter.SetBurstAt(now, max(1, int(c.lower)))
}

// reserve are the changes that are left for what users wait for, when others would take all; there
// is room for one beside it.
func (c *Committer) reserve() float64 {
	return min(tuning.UrgentReserve*float64(c.limiter.Limit()), float64(c.limiter.Burst()-1))
}

// SetValueLimit bounds values to so many bytes from now on: larger ones are not sent.
func (c *Committer) SetValueLimit(valueBytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.value = valueBytes
}

// most is the most bytes of a value.
func (c *Committer) most() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.value
}

// MarkDirty asks for a key to be written; after runs once a state at least as new
// as now is stored. It does not block.
func (c *Committer) MarkDirty(key string, urgency int, after func()) {
	c.touch(key, urgency, 0, after)
}

// MarkDirtyWithin is MarkDirty for what may wait that long for other changes of the same key, to be
// written with them.
func (c *Committer) MarkDirtyWithin(key string, urgency int, wait time.Duration, after func()) {
	c.touch(key, urgency, wait, after)
}

func (c *Committer) touch(key string, urgency int, wait time.Duration, after func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.dirty[key]
	c.next++
	order := uint64(urgency)<<orderBits | c.next
	if e == nil {
		e = &entry{key: key, order: order, since: c.clock.Now()}
		if wait > 0 {
			e.ripe = c.clock.Now().Add(wait)
		}
		c.dirty[key] = e
	}
	if wait == 0 {
		e.ripe = time.Time{}
	}
	e.order = min(e.order, order)
	if after != nil {
		e.after = append(e.after, after)
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// SetRevision tells the revision of a key that another node wrote.
func (c *Committer) SetRevision(key string, stamp uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stamps[key] = stamp
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
	for _, e := range c.dirty {
		if e.order>>orderBits == Urgent {
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
			if c.resting {
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

// condsPerOp conditions a change may stand in a transaction, as the protocol says.
const condsPerOp = 4

// condBytes is what a condition takes in a request beside its key.
const condBytes = 40

// bytesLimit keeps a transaction under the 64 KiB of a request.
const bytesLimit = 48 << 10

// Step tries one transaction. It returns how long to wait before the next.
func (c *Committer) Step(ctx context.Context) time.Duration {
	// No more is taken than the limit allows now: an accept must not wait until
	// there is room for all that is behind it.
	room := c.limiter.TokensAt(c.clock.Now())
	if room < 1 {
		return c.until(1 - room)
	}
	batch, pause := c.take(int(room), int(max(0, room-c.reserve())))
	c.resting = len(batch) == 0
	if c.resting {
		return pause
	}
	lead, ok := c.src.Condition()
	if !ok {
		c.putBack(batch)
		return tuning.Tick
	}
	conds := []Condition{lead}
	var ops []Operation
	size := 0
	used := batch[:0:0]
	for i, e := range batch {
		value, exists, more := c.src.Record(e.key)
		c.mu.Lock()
		stamp := c.stamps[e.key]
		c.mu.Unlock()
		if !exists && stamp == 0 {
			used = append(used, e)
			continue
		}
		op := Operation{Delete: e.key}
		if exists {
			raw, err := json.Marshal(value)
			if most := c.most(); err == nil && len(raw) > most {
				err = fmt.Errorf("%d bytes, a value has at most %d", len(raw), most)
			}
			if err != nil {
				c.setAside(e, err)
				continue
			}
			op = Operation{Set: e.key, Value: json.RawMessage(raw)}
			size += len(raw)
		}
		next := conds
		for _, x := range append([]Condition{{e.key, stamp}}, more...) {
			if !slices.Contains(next, x) {
				next = append(next, x)
				size += len(x.Key) + condBytes
			}
		}
		if (size > bytesLimit || len(next) > c.conds) && len(ops) > 0 {
			c.putBack(batch[i:])
			break
		}
		conds = next
		ops = append(ops, op)
		used = append(used, e)
	}
	if len(ops) > 0 {
		c.limiter.AllowN(c.clock.Now(), len(ops))
		c.tell(ops)
		epoch, failed, err := c.hedge.Transact(ctx, conds, ops)
		if errors.Is(err, ErrInvalidRequest) {
			c.refused(used, err)
			return 0
		}
		if err != nil {
			c.putBack(used)
			return c.failed(ctx, lead, ops, failed, err)
		}
		c.mu.Lock()
		for _, op := range ops {
			if op.Delete != "" {
				delete(c.stamps, op.Delete)
			} else if !strings.HasPrefix(op.Set, FinalPrefix) {
				// FinalState states are written once; remembering them all would
				// take ever more memory.
				c.stamps[op.Set] = epoch
			}
		}
		c.mu.Unlock()
	}
	for _, e := range used {
		for _, f := range e.after {
			f()
		}
	}
	c.src.Committed()
	return 0
}

// until is how long it takes until so many more changes are allowed.
func (c *Committer) until(changes float64) time.Duration {
	return max(time.Millisecond, time.Duration(changes/float64(c.limiter.Limit())*float64(time.Second)))
}

// tell counts changes, and logs now and then what the limit of writes goes into.
func (c *Committer) tell(ops []Operation) {
	for _, op := range ops {
		name, _, _ := strings.Cut(strings.TrimPrefix(op.Set+op.Delete, keyRoot), "/")
		if op.Delete != "" {
			name += "_deleted"
		}
		c.written[name]++
	}
	if now := c.clock.Now(); now.Sub(c.told) >= tuning.FleetLogEvery {
		slog.Info("changes written", "by", c.written, "in_s", now.Sub(c.told).Seconds(), "limit_per_s", float64(c.limiter.Limit()), "waiting", c.Pending())
		c.told, c.written = now, map[string]int{}
	}
}

// setAside leaves a record alone for a while that the state service does not take, so that
// it does not stand before all others: one that is too large did so, again every second
// (docs/incidents/fleet-relay-too-long.md). What waits for it goes on waiting.
func (c *Committer) setAside(e *entry, err error) {
	slog.Error("a record cannot be stored and is set aside", "key", e.key, "again_in", tuning.AsideFor, "err", err)
	e.aside, e.alone = c.clock.Now().Add(tuning.AsideFor), true
	c.putBack([]*entry{e})
}

// refused finds out which record a transaction was refused for: each is tried alone, and the
// one that is refused alone is set aside.
func (c *Committer) refused(batch []*entry, err error) {
	if len(batch) == 1 {
		c.setAside(batch[0], err)
		return
	}
	slog.Error("a transaction is refused, trying its records one by one", "records", len(batch), "err", err)
	for _, e := range batch {
		e.alone = true
	}
	c.putBack(batch)
}

func (c *Committer) failed(ctx context.Context, lead Condition, ops []Operation, failed []string, err error) time.Duration {
	const again = 100 * time.Millisecond
	switch {
	case errors.Is(err, ErrRateLimited):
		c.sink()
		return again
	case errors.Is(err, ErrBusy):
		return again
	case errors.Is(err, ErrConflict):
		if slices.Contains(failed, lead.Key) {
			c.src.Deposed()
			return tuning.Tick
		}
		c.reread(ctx, failed, true)
		return 0
	case errors.Is(err, ErrOutcomeUnknown):
		// It may have been applied, or may be later: learn the keys'
		// revisions. Should it be applied after this, the next try fails.
		slog.Info("outcome of a commit is unknown, reading again", "err", err)
		keys := make([]string, len(ops))
		for i, op := range ops {
			keys[i] = op.Set + op.Delete
		}
		c.reread(ctx, keys, false)
		return again
	}
	slog.Error("commit refused", "err", err)
	return 10 * again
}

// reread learns the keys' revisions, of all at once: whoever is to be accepted waits behind it.
func (c *Committer) reread(ctx context.Context, keys []string, conflict bool) {
	items := make([]Item, len(keys))
	errs := make([]error, len(keys))
	var all sync.WaitGroup
	for i, key := range keys {
		all.Go(func() { items[i], errs[i] = c.hedge.Get(ctx, key) })
	}
	all.Wait()
	for i, key := range keys {
		c.learn(key, items[i], errs[i], conflict)
	}
}

// learn takes in what reading a key gave.
func (c *Committer) learn(key string, it Item, err error, conflict bool) {
	var found *Item
	c.mu.Lock()
	known, ours := c.stamps[key]
	switch {
	case err == nil:
		found = &it
		c.stamps[key] = it.Revision
	case errors.Is(err, ErrNotFound):
		delete(c.stamps, key)
	}
	c.mu.Unlock()
	// A key that we never knew and that exists was written by another node,
	// or by a try of ours whose answer was lost; the source tells which.
	if found != nil && (!ours || known != it.Revision) && (conflict || !ours) {
		c.src.Conflict(key, found)
	}
}

// take takes out the entries for one transaction, so many at most, and of those that no user
// waits for so many; without any, pause is until when that may change.
func (c *Committer) take(most, others int) (batch []*entry, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]*entry, 0, len(c.dirty))
	now := c.clock.Now()
	for _, e := range c.dirty {
		if wait := max(e.aside.Sub(now), e.ripe.Sub(now)); wait > 0 {
			if pause == 0 || wait < pause {
				pause = wait
			}
			continue
		}
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int {
		if a.order < b.order {
			return -1
		}
		return 1
	})
	pressing := 0
	for pressing < len(all) && all[pressing].order>>orderBits <= Ordinary {
		pressing++
	}
	n := min(len(all), max(pressing, others))
	if n == 0 && len(all) > 0 {
		// What is left is kept for accepts that are still to come: with the limit used up
		// by what can wait, each of a burst waited for the next change that it allows.
		return nil, c.until(1)
	}
	all = c.turn(all, min(n, c.ops, most), now)
	for i, e := range all {
		if e.alone {
			// With others before it, it waits for the next.
			all = all[:max(i, 1)]
			break
		}
	}
	for _, e := range all {
		delete(c.dirty, e.key)
	}
	return all, min(pause, tuning.Tick)
}

// turn cuts the entries, which stand in their order, to so many; a share of them goes to those that have
// waited long, oldest first, in the places of the last: while records of higher ranks came faster than
// the limit lets them be written, starts of others waited 95 s for theirs, their room held all the while.
func (c *Committer) turn(all []*entry, most int, now time.Time) []*entry {
	late := slices.DeleteFunc(slices.Clone(all[most:]), func(e *entry) bool {
		return e.order>>orderBits >= Lazy || now.Sub(e.since) < tuning.RecordWaits
	})
	all = all[:most]
	if len(late) == 0 {
		c.turns = 0
		return all
	}
	slices.SortFunc(late, func(a, b *entry) int { return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.order, b.order)) })
	c.turns += tuning.RecordTurns * float64(most)
	for at := most - 1; at >= 0 && c.turns >= 1 && len(late) > 0; at-- {
		if all[at].order>>orderBits == Urgent {
			break
		}
		all[at], late = late[0], late[1:]
		c.turns--
	}
	return all
}

func (c *Committer) putBack(batch []*entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range batch {
		if now := c.dirty[e.key]; now != nil {
			now.after = append(e.after, now.after...)
			now.order = min(now.order, e.order)
			if e.since.Before(now.since) {
				now.since = e.since
			}
			now.aside, now.alone, now.ripe = e.aside, e.alone, time.Time{}
		} else {
			c.dirty[e.key] = e
		}
	}
}
