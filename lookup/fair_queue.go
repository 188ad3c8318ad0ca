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

// FairQueue shares a limited number of reads among questions about jobs: the job whose questions have gone
// unanswered for the longest time comes first.
//
// In order of arrival, questions about jobs that nobody knows or that ended long ago used up the reads, and it
// was left to chance whether a question about a running job was ever answered.
//
// It is safe for concurrent use.
type FairQueue struct {
	clock   clockwork.Clock
	limiter *rate.Limiter
	// maxWaiting is the number of requests that can be served within tuning.QuestionWait.
	maxWaiting int

	mu sync.Mutex
	// unansweredSince is when the first question about a job went unanswered, by job.
	unansweredSince *simplelru.LRU[string, time.Time]
	waiting         requestHeap
	// serving is true while a goroutine runs serve.
	serving bool
}

// readRequest is a question that waits for a read.
type readRequest struct {
	// since is when the first question about the same job went unanswered.
	since time.Time
	// ready is closed when the request leaves the heap.
	ready chan struct{}
	// index is the position in the heap, notWaiting once the request has left it.
	index    int
	rejected bool
}

// notWaiting is the index of a request that is not in the heap.
const notWaiting = -1

// NewFairQueue returns a queue that grants as many reads as the limiter allows.
func NewFairQueue(clock clockwork.Clock, limiter *rate.Limiter) *FairQueue {
	return &FairQueue{
		clock:           clock,
		limiter:         limiter,
		maxWaiting:      max(1, int(float64(limiter.Limit())*tuning.QuestionWait.Seconds())),
		unansweredSince: newCache[time.Time](tuning.UnansweredKept),
	}
}

// TryAcquire takes one read without waiting. It returns false if none is left now or others wait.
func (q *FairQueue) TryAcquire() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tryAcquire(q.clock.Now())
}

// tryAcquire is TryAcquire under the lock.
func (q *FairQueue) tryAcquire(now time.Time) bool {
	return len(q.waiting) == 0 && q.limiter.AllowN(now, 1)
}

// Acquire takes one read for a question about a job and waits for it up to tuning.QuestionWait. It returns
// false if there was none in time. The next question about the job then comes before those about jobs that have
// waited less, until Answered is called.
func (q *FairQueue) Acquire(ctx context.Context, id string) bool {
	request, granted := q.enqueue(id)
	if granted {
		return true
	}
	select {
	case <-request.ready:
	case <-ctx.Done():
	case <-q.clock.After(tuning.QuestionWait):
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if request.index != notWaiting {
		q.reject(request)
	}
	return !request.rejected
}

// enqueue takes one read at once if there is one, or makes a request wait for one.
func (q *FairQueue) enqueue(id string) (request *readRequest, granted bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	if q.tryAcquire(now) {
		return nil, true
	}
	since, ok := q.unansweredSince.Get(id)
	if !ok {
		since = now
		q.unansweredSince.Add(id, now)
	}
	request = &readRequest{since: since, ready: make(chan struct{})}
	heap.Push(&q.waiting, request)
	if len(q.waiting) > q.maxWaiting {
		// More cannot be served in time.
		q.reject(q.waiting.newest())
	}
	if !q.serving && len(q.waiting) > 0 {
		q.serving = true
		go q.serve()
	}
	return request, false
}

// Answered records that a question about a job was answered.
func (q *FairQueue) Answered(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unansweredSince.Remove(id)
}

// reject ends the wait of a request without a read. It is called under the lock.
func (q *FairQueue) reject(request *readRequest) {
	request.rejected = true
	q.release(request)
}

// release takes a request out of the heap and ends its wait. It is called under the lock.
func (q *FairQueue) release(request *readRequest) {
	heap.Remove(&q.waiting, request.index)
	request.index = notWaiting
	close(request.ready)
}

// serve grants reads to waiting requests, as the limiter allows, until none waits.
func (q *FairQueue) serve() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.waiting) > 0 {
		now := q.clock.Now()
		if q.limiter.AllowN(now, 1) {
			q.release(q.waiting[0])
			continue
		}
		wait := time.Duration((1 - q.limiter.TokensAt(now)) / float64(q.limiter.Limit()) * float64(time.Second))
		q.mu.Unlock()
		<-q.clock.After(max(time.Millisecond, wait))
		q.mu.Lock()
	}
	q.serving = false
}

// requestHeap is a heap of requests, that for the job that has waited longest first.
type requestHeap []*readRequest

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(a, b int) bool { return h[a].since.Before(h[b].since) }
func (h requestHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].index, h[b].index = a, b
}

// Push adds a request for heap.Push.
func (h *requestHeap) Push(x any) {
	request := x.(*readRequest) //nolint:forcetypeassert // heap.Push is called with requests only
	request.index = len(*h)
	*h = append(*h, request)
}

// Pop removes the last request for heap.Remove.
func (h *requestHeap) Pop() any {
	last := len(*h) - 1
	request := (*h)[last]
	*h = (*h)[:last]
	return request
}

// newest is the request for the job that has waited least.
func (h requestHeap) newest() *readRequest {
	newest := h[0]
	for _, request := range h {
		if request.since.After(newest.since) {
			newest = request
		}
	}
	return newest
}
