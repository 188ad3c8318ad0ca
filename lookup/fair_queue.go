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

// Queue shares the reads that questions may take among those who ask: the job about which no question was
// answered for the longest comes first. Whoever comes first took what there was before, so that with more
// questions than reads, about jobs that nobody knows or that were over long ago, it hung on chance
// whether one about a running job was ever answered. It is safe for use from several goroutines at once.
type FairQueue struct {
	clock      clockwork.Clock
	limiter    *rate.Limiter
	maxWaiting int

	mu sync.Mutex
	// unansweredSince are the jobs whose questions went unanswered, and since when.
	unansweredSince *simplelru.LRU[string, time.Time]
	waiting         requestHeap
	serving         bool
}

// readRequest is one question that waits.
type readRequest struct {
	since    time.Time
	ready    chan struct{}
	index    int
	rejected bool
}

// NewFairQueue shares what a limiter allows.
func NewFairQueue(clock clockwork.Clock, limiter *rate.Limiter) *FairQueue {
	unansweredSince, err := simplelru.NewLRU[string, time.Time](tuning.UnansweredKept, nil)
	if err != nil {
		panic(err) // only for a limit below one
	}
	return &FairQueue{clock: clock, limiter: limiter, maxWaiting: max(1, int(float64(limiter.Limit())*tuning.QuestionWait.Seconds())), unansweredSince: unansweredSince}
}

// TryAcquire lets somebody read once who does not wait. False: nothing is left now.
func (q *FairQueue) TryAcquire() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) == 0 && q.limiter.AllowN(q.clock.Now(), 1)
}

// Acquire waits until a question about a job may read once. False: not in time; its next question comes
// before those about jobs that have waited less.
func (q *FairQueue) Acquire(ctx context.Context, id string) bool {
	q.mu.Lock()
	now := q.clock.Now()
	if len(q.waiting) == 0 && q.limiter.AllowN(now, 1) {
		q.mu.Unlock()
		return true
	}
	since, ok := q.unansweredSince.Get(id)
	if !ok {
		since = now
		q.unansweredSince.Add(id, now)
	}
	request := &readRequest{since: since, ready: make(chan struct{})}
	heap.Push(&q.waiting, request)
	if len(q.waiting) > q.maxWaiting {
		// More cannot be served in time: whoever has waited least goes.
		q.reject(q.waiting.newest())
	}
	if !q.serving && len(q.waiting) > 0 {
		q.serving = true
		go q.serve()
	}
	q.mu.Unlock()
	select {
	case <-request.ready:
	case <-ctx.Done():
	case <-q.clock.After(tuning.QuestionWait):
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if request.index >= 0 {
		q.reject(request)
		return false
	}
	return !request.rejected
}

// Answered tells that a question about a job was answered.
func (q *FairQueue) Answered(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unansweredSince.Remove(id)
}

// reject sends a question away.
func (q *FairQueue) reject(request *readRequest) {
	heap.Remove(&q.waiting, request.index)
	request.index, request.rejected = -1, true
	close(request.ready)
}

// serve lets those that wait read, as the limit allows, until none waits.
func (q *FairQueue) serve() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.waiting) > 0 {
		now := q.clock.Now()
		if q.limiter.AllowN(now, 1) {
			request := heap.Pop(&q.waiting).(*readRequest)
			request.index = -1
			close(request.ready)
			continue
		}
		wait := time.Duration((1 - q.limiter.TokensAt(now)) / float64(q.limiter.Limit()) * float64(time.Second))
		q.mu.Unlock()
		<-q.clock.After(max(time.Millisecond, wait))
		q.mu.Lock()
	}
	q.serving = false
}

// requestHeap holds questions, the one that has waited longest first.
type requestHeap []*readRequest

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(a, b int) bool { return h[a].since.Before(h[b].since) }
func (h requestHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].index, h[b].index = a, b
}

// Push adds a question.
func (h *requestHeap) Push(x any) {
	x.(*readRequest).index = len(*h)
	*h = append(*h, x.(*readRequest))
}

// Pop takes the last one out.
func (h *requestHeap) Pop() any {
	last := len(*h) - 1
	request := (*h)[last]
	*h = (*h)[:last]
	return request
}

// newest is the question that has waited least.
func (h requestHeap) newest() *readRequest {
	newest := h[0]
	for _, request := range h {
		if request.since.After(newest.since) {
			newest = request
		}
	}
	return newest
}
