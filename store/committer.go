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

// RecordSource provides the records that a Committer writes, each with its state at the time of the commit. The
// committer calls the methods from the goroutine that runs Run or Step, without holding its lock.
type RecordSource interface {
	// Record returns the value to store under a key, or exists false if the key is to be deleted. The
	// transaction gets extraConditions in addition to the condition on the revision of the key.
	Record(key string) (value any, exists bool, extraConditions []Condition)
	// Condition returns the condition that holds as long as this process is the leader, or ok false if it is
	// not the leader.
	Condition() (leader Condition, ok bool)
	// Conflict reports a stored value that this committer did not write, or that it wrote in a transaction
	// whose outcome was unknown. It is called for every conflict, also with a value that it was called with before.
	Conflict(key string, found *Item)
	// Committed is called after each transaction, after the callbacks of its records.
	Committed()
	// Deposed is called when another process has become the leader.
	Deposed()
}

// Urgencies of records. Records with lower values are written first.
const (
	// Urgent is the urgency of records that a user waits for, such as accepted jobs and cancellations.
	Urgent = 0
	// Ordinary is the urgency of the records of jobs of the highest rank. It increases by 1 with each lower rank.
	Ordinary = 1
	// Lazy is the urgency of records that nobody waits for.
	Lazy = 8
)

// Committer writes the records of one leadership term in batches, one transaction at a time. Every write is
// conditional on the revision of its key, so that a transaction with an unknown outcome that is executed late
// cannot overwrite the result of a newer one.
//
// All exported methods except Run and Step are safe for concurrent use. Only one goroutine may call Run or Step.
type Committer struct {
	source       RecordSource
	clock        clockwork.Clock
	writeLimiter *rate.Limiter
	hedged       *HedgedClient

	maxOperations int // per transaction
	maxConditions int // per transaction
	// announcedRate is a lower write limit that was announced for the state service, in changes per second, or 0
	// if there is none. It applies from the first time that the state service refuses changes because of their
	// rate.
	announcedRate rate.Limit

	// The fields of this group are used only by the goroutine of Run or Step.

	// lastBatchEmpty is true if the last batch was empty because no pending record was ready, or because the rest of
	// the write limit was reserved for urgent ones.
	lastBatchEmpty bool
	writes         writeStatistics

	// wake receives a value when a record is marked as dirty. Its capacity is 1.
	wake chan struct{}

	// mu guards the fields below.
	mu    sync.Mutex
	queue *recordQueue
	// revisions has the revision of each key as last read or written. A key that does not exist has no entry.
	revisions     map[string]uint64
	maxValueBytes int
	stall         stallDetector
}

// NewCommitter returns a committer for one term that writes through client and stays within limits. The map
// revisions has the revision of each key as loaded at the start of the term; the committer takes ownership of it.
func NewCommitter(client *Client, source RecordSource, clock clockwork.Clock, limits settings.StateLimits, revisions map[string]uint64) *Committer {
	lowestLimits := limits.Strictest()
	writeRate := rate.Limit(limits.WriteRPS * tuning.LeaderRateShare)
	limiter := rate.NewLimiter(writeRate, max(1, int(writeRate)))
	committer := &Committer{
		source:        source,
		clock:         clock,
		writeLimiter:  limiter,
		hedged:        NewHedgedClient(client, clock, limiter, lowestLimits.WriteRPS),
		maxOperations: min(lowestLimits.TxnOps, limiter.Burst()),
		maxConditions: conditionsPerOperation * lowestLimits.TxnOps,
		writes:        newWriteStatistics(clock.Now()),
		wake:          make(chan struct{}, 1),
		queue:         newRecordQueue(),
		revisions:     revisions,
		maxValueBytes: limits.MaxValueBytes(),
	}
	if lowestLimits.WriteRPS < limits.WriteRPS {
		committer.announcedRate = rate.Limit(lowestLimits.WriteRPS * tuning.LeaderRateShare)
	}
	return committer
}

// SetValueLimit sets the maximum size of a value in bytes. Larger values are not sent.
func (c *Committer) SetValueLimit(valueBytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxValueBytes = valueBytes
}

// valueLimit returns the maximum size of a value in bytes.
func (c *Committer) valueLimit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maxValueBytes
}

// MarkDirty requests that a key is written. Unless onStored is nil, it is called from the goroutine of Run or Step
// once the present state of the record or a newer one is stored. MarkDirty does not block.
func (c *Committer) MarkDirty(key string, urgency int, onStored func()) {
	c.MarkDirtyWithin(key, urgency, 0, onStored)
}

// MarkDirtyWithin is MarkDirty for a change whose write may be delayed by up to maxDelay, so that later changes of the
// same key are written together with it.
func (c *Committer) MarkDirtyWithin(key string, urgency int, maxDelay time.Duration, onStored func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.add(key, urgency, c.clock.Now(), maxDelay, onStored)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// SetRevision sets the known revision of a key that another process wrote.
func (c *Committer) SetRevision(key string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revisions[key] = revision
}

// revision returns the revision of a key as last read or written, or 0 if the key does not exist.
func (c *Committer) revision(key string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revisions[key]
}

// CommittedRevision returns the highest revision at which a transaction of this committer is known to be executed, 0
// before the first. All of its transactions are conditional on the leader's key, so the terms of later leaders are
// higher.
func (c *Committer) CommittedRevision() uint64 { return c.hedged.CommittedRevision() }

// Pending returns the number of records in the queue.
func (c *Committer) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.length()
}

// Delay estimates how long an additional urgent record would wait because of the write limit.
func (c *Committer) Delay() time.Duration {
	c.mu.Lock()
	needed := float64(c.queue.urgentCount(c.clock.Now()) + 1)
	c.mu.Unlock()
	missing := needed - math.Max(0, c.writeLimiter.TokensAt(c.clock.Now()))
	return time.Duration(math.Max(0, missing) / float64(c.writeLimiter.Limit()) * float64(time.Second))
}

// Run commits pending records until ctx ends.
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

// pause waits before the next call of Step.
func (c *Committer) pause(ctx context.Context, pause time.Duration) {
	// A newly marked record ends the pause if the last batch was empty, since the record may be ready at once. It
	// does not end the pause after the state service has refused a call.
	var wake chan struct{}
	if c.lastBatchEmpty {
		wake = c.wake
	}
	select {
	case <-ctx.Done():
	case <-wake:
	case <-c.clock.After(pause):
	}
}
