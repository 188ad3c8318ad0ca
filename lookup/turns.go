package lookup

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/tuning"
)

// FairQueue shares the reads that questions may take among those who ask: the job about which no question was
// answered for the longest comes first. Whoever comes first took what there was before, so that with more
// questions than reads, about jobs that nobody knows or that were over long ago, it hung on chance
// whether one about a running job was ever answered. It is safe for use from several goroutines at once.
type FairQueue struct {
	clock   clockwork.Clock
	limiter *rate.Limiter
	most    int

	mu sync.Mutex
	// refused are the jobs whose questions went unanswered, and since when.
	refused *simplelru.LRU[string, time.Time]
	waiting queue
	serving bool
}

// turn is one question that waits.
type turn struct {
	since time.Time
	ready chan struct{}
	at    int
	out   bool
}

// NewFairQueue shares what a limiter allows.
func NewFairQueue(clock clockwork.Clock, limiter *rate.Limiter) *FairQueue {
	refused, err := simplelru.NewLRU[string, time.Time](tuning.UnansweredKept, nil)
	if err != nil {
		panic(err) // only for a limit below one
	}
	return &FairQueue{clock: clock, limiter: limiter, most: max(1, int(float64(limiter.Limit())*tuning.QuestionWait.Seconds())), refused: refused}
}

// TryAcquire lets somebody read once who does not wait. False: nothing is left now.
func (t *FairQueue) TryAcquire() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting) == 0 && t.limiter.AllowN(t.clock.Now(), 1)
}

// Acquire waits until a question about a job may read once. False: not in time; its next question comes
// before those about jobs that have waited less.
func (t *FairQueue) Acquire(ctx context.Context, id string) bool {
	t.mu.Lock()
	now := t.clock.Now()
	if len(t.waiting) == 0 && t.limiter.AllowN(now, 1) {
		t.mu.Unlock()
		return true
	}
	since, ok := t.refused.Get(id)
	if !ok {
		since = now
		t.refused.Add(id, now)
	}
	x := &turn{since: since, ready: make(chan struct{})}
	heap.Push(&t.waiting, x)
	if len(t.waiting) > t.most {
		// More cannot be served in time: whoever has waited least goes.
		t.drop(t.waiting.youngest())
	}
	if !t.serving && len(t.waiting) > 0 {
		t.serving = true
		go t.serve()
	}
	t.mu.Unlock()
	select {
	case <-x.ready:
	case <-ctx.Done():
	case <-t.clock.After(tuning.QuestionWait):
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if x.at >= 0 {
		t.drop(x)
		return false
	}
	return !x.out
}

// Answered tells that a question about a job was answered.
func (t *FairQueue) Answered(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused.Remove(id)
}

// drop sends a question away.
func (t *FairQueue) drop(x *turn) {
	heap.Remove(&t.waiting, x.at)
	x.at, x.out = -1, true
	close(x.ready)
}

// serve lets those that wait read, as the limit allows, until none waits.
func (t *FairQueue) serve() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.waiting) > 0 {
		now := t.clock.Now()
		if t.limiter.AllowN(now, 1) {
			x := heap.Pop(&t.waiting).(*turn)
			x.at = -1
			close(x.ready)
			continue
		}
		wait := time.Duration((1 - t.limiter.TokensAt(now)) / float64(t.limiter.Limit()) * float64(time.Second))
		t.mu.Unlock()
		<-t.clock.After(max(time.Millisecond, wait))
		t.mu.Lock()
	}
	t.serving = false
}

// queue holds questions, the one that has waited longest first.
type queue []*turn

func (q queue) Len() int           { return len(q) }
func (q queue) Less(a, b int) bool { return q[a].since.Before(q[b].since) }
func (q queue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].at, q[b].at = a, b
}

// Push adds a question.
func (q *queue) Push(x any) {
	x.(*turn).at = len(*q)
	*q = append(*q, x.(*turn))
}

// Pop takes the last one out.
func (q *queue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// youngest is the question that has waited least.
func (q queue) youngest() *turn {
	y := q[0]
	for _, x := range q {
		if x.since.After(y.since) {
			y = x
		}
	}
	return y
}
