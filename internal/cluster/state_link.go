package cluster

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"switchferry/internal/sleep"
)

// Delays of transactions that are executed late.
const (
	minLateWrite = 500 * time.Millisecond
	maxLateWrite = 4 * time.Second
)

// maxLateAnswer bounds the delay of an answer that is late while others are not.
const maxLateAnswer = 1500 * time.Millisecond

// StateFaults is what is wrong with one controller's way to the state service. The zero value is a way in order.
type StateFaults struct {
	// Refused has every request answered with 503, and Silent none until that is over.
	Refused, Silent bool
	// SlowUpTo delays each request, or its answer, by up to that long.
	SlowUpTo time.Duration
	// LateAnswers is the share of requests that are executed at once and answered up to maxLateAnswer late.
	LateAnswers float64
	// LostAnswers is the share of transactions that are executed and whose answers are lost; LateWrites is the share that
	// gets no answer and is executed later.
	LostAnswers, LateWrites float64
}

// stateLink is one controller's way to the state service.
type stateLink struct {
	ctx     context.Context
	service http.RoundTripper

	// mu guards faults, and changed, which is closed and replaced with each change.
	mu      sync.Mutex
	faults  StateFaults
	changed chan struct{}
}

// errNoAnswer is what a controller gets whose request has no answer.
var errNoAnswer = errors.New("no answer")

// SetStateFaults changes what is wrong with a controller's way to the state service.
func (cluster *Cluster) SetStateFaults(member string, faults StateFaults) {
	link := cluster.stateLinks[member]
	link.mu.Lock()
	defer link.mu.Unlock()
	link.faults = faults
	close(link.changed)
	link.changed = make(chan struct{})
}

// newStateLink returns a way in order. What it executes late ends with the context.
func newStateLink(ctx context.Context, service http.RoundTripper) *stateLink {
	return &stateLink{ctx: ctx, service: service, changed: make(chan struct{})}
}

// current returns what is wrong now, and a channel that is closed when that changes.
func (link *stateLink) current() (StateFaults, <-chan struct{}) {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.faults, link.changed
}

// RoundTrip passes a request on as far as the faults let it.
func (link *stateLink) RoundTrip(request *http.Request) (*http.Response, error) {
	faults, err := link.awaitOpen(request.Context())
	if err != nil {
		return nil, err
	}
	if faults.Refused {
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader([]byte("{}")))}, nil
	}
	delay := randomDuration(faults.SlowUpTo)
	if rand.IntN(2) == 0 && !sleep.Real(request.Context(), delay) {
		return nil, errNoAnswer
	} else if request.URL.Path == "/multi" {
		return link.transact(request, faults)
	}
	response, err := link.service.RoundTrip(request)
	if happens(faults.LateAnswers) {
		delay += randomDuration(maxLateAnswer)
	}
	if !sleep.Real(request.Context(), delay) {
		return nil, errNoAnswer
	}
	return response, err
}

// awaitOpen waits while the way is silent, and returns what else is wrong with it then.
func (link *stateLink) awaitOpen(ctx context.Context) (faults StateFaults, err error) {
	open := awaitPassage(ctx, func() (bool, <-chan struct{}) {
		var changed <-chan struct{}
		faults, changed = link.current()
		return faults.Silent, changed
	})
	if !open {
		return faults, errNoAnswer
	}
	return faults, nil
}

// transact passes a transaction on: at once, without its answer, or later.
func (link *stateLink) transact(request *http.Request, faults StateFaults) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, errNoAnswer
	}
	execute := func(ctx context.Context) (*http.Response, error) {
		repeated := request.Clone(ctx)
		repeated.Body = io.NopCloser(bytes.NewReader(body))
		return link.service.RoundTrip(repeated)
	}
	fate := rand.Float64()
	switch {
	case fate < faults.LostAnswers:
		_, _ = execute(request.Context())
		return nil, errNoAnswer
	case fate < faults.LostAnswers+faults.LateWrites:
		late := context.WithoutCancel(request.Context())
		time.AfterFunc(minLateWrite+randomDuration(maxLateWrite-minLateWrite), func() {
			if link.ctx.Err() == nil {
				_, _ = execute(late) //nolint:bodyclose // The stand-in's answers hold no resources.
			}
		})
		return nil, errNoAnswer
	}
	return execute(request.Context())
}

// randomDuration returns a duration below a limit, 0 if the limit is.
func randomDuration(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return rand.N(limit)
}
