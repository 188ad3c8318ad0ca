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

// FairQueue grants reads of the state service, at a limited rate, to status requests. The request for the job whose
// requests have gone unanswered for the longest time is served first.
//
// When requests were served in order of arrival, requests for unknown jobs and for jobs archived long ago used up the
// reads, and requests for a running job could go unanswered indefinitely.
//
// FairQueue is safe for concurrent use.
type FairQueue struct {
	clock   clockwork.Clock
	limiter *rate.Limiter
	// maxWaiting is the number of requests that can be served within tuning.StatusQueueTimeout.
	maxWaiting int

	// mu guards all fields below, and the fields index and rejected of the requests.
	mu sync.Mutex
	// unansweredSince maps a job ID to the time of the first status request for the job since one was last answered.
	unansweredSince *simplelru.LRU[string, time.Time]
	waiting         requestHeap
	// serving is true while a goroutine runs serve.
	serving bool
}

// readRequest is a status request that waits for a read.
type readRequest struct {
	// since is the time of the first status request for the same job since one was last answered.
	since time.Time
	// ready is closed when the request leaves the heap.
	ready chan struct{}
	// index is the position in the heap, notWaiting once the request has left it.
	index int
	// rejected is true if the request left the heap without a read.
	rejected bool
}

// notWaiting is the index of a request that is not in the heap.
const notWaiting = -1

// NewFairQueue returns a FairQueue that grants reads at the rate of the limiter.
func NewFairQueue(clock clockwork.Clock, limiter *rate.Limiter) *FairQueue {
	return &FairQueue{
		clock:           clock,
		limiter:         limiter,
		maxWaiting:      max(1, int(float64(limiter.Limit())*tuning.StatusQueueTimeout.Seconds())),
		unansweredSince: newCache[time.Time](tuning.UnansweredStatusCapacity),
	}
}

// TryAcquire takes one read without waiting. It returns false if the limiter allows none now or other requests wait.
func (q *FairQueue) TryAcquire() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tryAcquire(q.clock.Now())
}

// tryAcquire is TryAcquire for callers that hold q.mu.
func (q *FairQueue) tryAcquire(now time.Time) bool {
	return len(q.waiting) == 0 && q.limiter.AllowN(now, 1)
}

// Acquire takes one read for a status request for a job, and waits for it up to tuning.StatusQueueTimeout. It returns
// false if no read was granted in time. Until Answered is called, further requests for the job are then served before
// those for jobs that have been unanswered for a shorter time.
func (q *FairQueue) Acquire(ctx context.Context, id string) bool {
	request, granted := q.enqueue(id)
	if granted {
		return true
	}
	select {
	case <-request.ready:
	case <-ctx.Done():
	case <-q.clock.After(tuning.StatusQueueTimeout):
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if request.index != notWaiting {
		q.reject(request)
	}
	return !request.rejected
}

// enqueue takes one read at once if possible; otherwise it adds a request to the heap and returns it.
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
		// The limiter cannot serve more requests than maxWaiting before they time out.
		q.reject(q.waiting.newest())
	}
	if !q.serving && len(q.waiting) > 0 {
		q.serving = true
		go q.serve()
	}
	return request, false
}

// Answered records that a status request for a job was answered.
func (q *FairQueue) Answered(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unansweredSince.Remove(id)
}

// reject ends the wait of a request without granting it a read. The caller holds q.mu.
func (q *FairQueue) reject(request *readRequest) {
	request.rejected = true
	q.release(request)
}

// release removes a request from the heap and ends its wait. The caller holds q.mu.
func (q *FairQueue) release(request *readRequest) {
	heap.Remove(&q.waiting, request.index)
	request.index = notWaiting
	close(request.ready)
}

// serve grants reads to waiting requests at the rate of the limiter, and returns when none waits.
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

// requestHeap is a heap.Interface with the request for the job that has been unanswered longest at the root.
type requestHeap []*readRequest

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(a, b int) bool { return h[a].since.Before(h[b].since) }
func (h requestHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].index, h[b].index = a, b
}

// Push appends a request. It is called only by package heap.
func (h *requestHeap) Push(x any) {
	request := x.(*readRequest) //nolint:forcetypeassert // heap.Push is called with requests only
	request.index = len(*h)
	*h = append(*h, request)
}

// Pop removes and returns the last request. It is called only by package heap.
func (h *requestHeap) Pop() any {
	last := len(*h) - 1
	request := (*h)[last]
	*h = (*h)[:last]
	return request
}

// newest returns the request for the job that has been unanswered for the shortest time. The heap must not be empty.
func (h requestHeap) newest() *readRequest {
	newest := h[0]
	for _, request := range h {
		if request.since.After(newest.since) {
			newest = request
		}
	}
	return newest
}
