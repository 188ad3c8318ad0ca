package store

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/settings"
	"switchferry/tuning"
)

// RecordSource builds the records that a Committer writes, each as it is at the moment of the
// commit. The committer calls it from the goroutine of Run (or Step) without holding its lock.
type RecordSource interface {
	// Record returns the value of a key; exists is false if the key is to be deleted. The
	// transaction is also made conditional on more.
	Record(key string) (value any, exists bool, more []Condition)
	// Condition returns the condition that holds as long as this process leads; ok is false
	// if it does not lead.
	Condition() (leader Condition, ok bool)
	// Conflict reports a value that this committer did not write, or wrote without learning
	// the outcome.
	Conflict(key string, found *Item)
	// Committed is called after a transaction, once the callbacks of its records have run.
	Committed()
	// Deposed is called when the leader's key belongs to another process.
	Deposed()
}

// Urgencies of records: what a user waits for goes first (accepted jobs, cancellations), then
// ordinary records, those of jobs of lower ranks one step later each, then what nobody waits for.
const (
	Urgent   = 0
	Ordinary = 1
	Lazy     = 8
)

// Committer writes the records of one leadership term in groups, one transaction at a time. Every
// written key is conditional on its revision, so that a transaction whose outcome was unknown and
// which is executed late cannot undo a newer one.
//
// MarkDirty and the other methods that report or change what is pending are safe for concurrent
// use; Run, or Step, belongs to one goroutine.
type Committer struct {
	source  RecordSource
	clock   clockwork.Clock
	limiter *rate.Limiter
	hedged  *HedgedClient

	maxOperations int // of a transaction
	maxConditions int // of a transaction
	// announcedRate, in changes a second, applies from the first time that the state service
	// refuses changes for their rate; 0: no lower rate is announced.
	announcedRate rate.Limit

	// The fields of this group belong to the goroutine of Run.

	// deferred is true if the last Step found no pending record that may be written yet.
	deferred bool
	writes   writeStatistics

	// wake, of capacity one, holds a token after a record was marked.
	wake chan struct{}

	mu            sync.Mutex
	queue         *recordQueue
	revisions     map[string]uint64 // by key, as last read or written; absent: the key does not exist
	maxValueBytes int
}

// NewCommitter returns a committer for one term that writes through client within limits.
// revisions holds the revision of each key as it was loaded; the committer keeps the map.
func NewCommitter(client *Client, source RecordSource, clock clockwork.Clock, limits settings.State, revisions map[string]uint64) *Committer {
	least := limits.Least()
	writeRate := rate.Limit(limits.WriteRPS * tuning.QuotaShare)
	limiter := rate.NewLimiter(writeRate, max(1, int(writeRate)))
	committer := &Committer{
		source:        source,
		clock:         clock,
		limiter:       limiter,
		hedged:        NewHedgedClient(client, clock, limiter, least.WriteRPS),
		maxOperations: min(least.TxnOps, limiter.Burst()),
		maxConditions: conditionsPerOperation * least.TxnOps,
		writes:        newWriteStatistics(clock.Now()),
		wake:          make(chan struct{}, 1),
		queue:         newRecordQueue(),
		revisions:     revisions,
		maxValueBytes: limits.ValueBytes(),
	}
	if least.WriteRPS < limits.WriteRPS {
		committer.announcedRate = rate.Limit(least.WriteRPS * tuning.QuotaShare)
	}
	return committer
}

// SetValueLimit sets the maximum size of a value; larger ones are not sent from now on.
func (c *Committer) SetValueLimit(valueBytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxValueBytes = valueBytes
}

// valueLimit is the maximum size of a value in bytes.
func (c *Committer) valueLimit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maxValueBytes
}

// MarkDirty requests that a key is written. onStored (nil: nothing) is called from the goroutine
// of Run once a record at least as new as the present one is stored. MarkDirty does not block.
func (c *Committer) MarkDirty(key string, urgency int, onStored func()) {
	c.MarkDirtyWithin(key, urgency, 0, onStored)
}

// MarkDirtyWithin is MarkDirty for a change that may wait that long for other changes of the same
// key, to be written together with them.
func (c *Committer) MarkDirtyWithin(key string, urgency int, wait time.Duration, onStored func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.add(key, urgency, c.clock.Now(), wait, onStored)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// SetRevision records the revision of a key that another process wrote.
func (c *Committer) SetRevision(key string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revisions[key] = revision
}

// revision is the revision of a key as last read or written, 0 if the key does not exist.
func (c *Committer) revision(key string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revisions[key]
}

// Pending is the number of records that are not written yet.
func (c *Committer) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.len()
}

// Delay estimates how long one more urgent record would wait for the write limit.
func (c *Committer) Delay() time.Duration {
	c.mu.Lock()
	needed := float64(c.queue.urgentCount() + 1)
	c.mu.Unlock()
	missing := needed - math.Max(0, c.limiter.TokensAt(c.clock.Now()))
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
			c.pause(ctx, pause)
		}
	}
}

// pause waits until Step is to be tried again.
func (c *Committer) pause(ctx context.Context, pause time.Duration) {
	// A new record ends the pause if all others wait for a time of their own, but not if the
	// state service has just refused a call.
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
