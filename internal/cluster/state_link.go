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

const (
	// minLateWrite is the minimum delay of transactions that are executed late.
	minLateWrite = 500 * time.Millisecond
	// maxLateWrite is the maximum delay of transactions that are executed late.
	maxLateWrite = 4 * time.Second
)

// maxLateAnswer is the maximum additional delay of late answers.
const maxLateAnswer = 1500 * time.Millisecond

// StateFaults are the faults of one controller's link to the state service. The zero value has no faults.
type StateFaults struct {
	// Refused answers all requests with 503. Silent holds all requests until the fault ends.
	Refused, Silent bool
	// MaxDelay is the maximum of the random delay of each request or of its answer.
	MaxDelay time.Duration
	// LateAnswers is the share of requests, other than transactions, that are executed at once and answered up to
	// maxLateAnswer late.
	LateAnswers float64
	// LostAnswers is the share of transactions that are executed without an answer. LateWrites is the share of
	// transactions that get no answer and are executed later.
	LostAnswers, LateWrites float64
}

// stateLink is one controller's link to the state service. It is safe for concurrent use.
type stateLink struct {
	ctx     context.Context
	service http.RoundTripper

	// mu guards the fields below.
	mu     sync.Mutex
	faults StateFaults
	// changed is closed and replaced at each change of faults.
	changed chan struct{}
}

// errNoAnswer is returned for a request that gets no answer.
var errNoAnswer = errors.New("no answer")

// SetStateFaults replaces the faults of a controller's link to the state service.
func (cluster *Cluster) SetStateFaults(member string, faults StateFaults) {
	link := cluster.stateLinks[member]
	link.mu.Lock()
	defer link.mu.Unlock()
	link.faults = faults
	close(link.changed)
	link.changed = make(chan struct{})
}

// newStateLink returns a link without faults. Late transactions are not executed after the context's end.
func newStateLink(ctx context.Context, service http.RoundTripper) *stateLink {
	return &stateLink{ctx: ctx, service: service, changed: make(chan struct{})}
}

// current returns the current faults, and a channel that is closed when they change.
func (link *stateLink) current() (StateFaults, <-chan struct{}) {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.faults, link.changed
}

// RoundTrip forwards a request to the state service, subject to the link's faults.
func (link *stateLink) RoundTrip(request *http.Request) (*http.Response, error) {
	faults, err := link.waitWhileSilent(request.Context())
	if err != nil {
		return nil, err
	}
	if faults.Refused {
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader([]byte("{}")))}, nil
	}
	delay := randomDuration(faults.MaxDelay)
	if rand.IntN(2) == 0 && !sleep.OnRealClock(request.Context(), delay) {
		return nil, errNoAnswer
	} else if request.URL.Path == "/multi" {
		return link.transact(request, faults)
	}
	response, err := link.service.RoundTrip(request)
	if withProbability(faults.LateAnswers) {
		delay += randomDuration(maxLateAnswer)
	}
	if !sleep.OnRealClock(request.Context(), delay) {
		return nil, errNoAnswer
	}
	return response, err
}

// waitWhileSilent waits while the link is silent, and returns the faults that apply afterwards.
func (link *stateLink) waitWhileSilent(ctx context.Context) (faults StateFaults, err error) {
	open := waitUntilUnblocked(ctx, func() (bool, <-chan struct{}) {
		var changed <-chan struct{}
		faults, changed = link.current()
		return faults.Silent, changed
	})
	if !open {
		return faults, errNoAnswer
	}
	return faults, nil
}

// transact forwards a transaction: with its answer, without its answer, or late and without its answer.
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
	random := rand.Float64()
	switch {
	case random < faults.LostAnswers:
		_, _ = execute(request.Context())
		return nil, errNoAnswer
	case random < faults.LostAnswers+faults.LateWrites:
		late := context.WithoutCancel(request.Context())
		time.AfterFunc(minLateWrite+randomDuration(maxLateWrite-minLateWrite), func() {
			if link.ctx.Err() == nil {
				_, _ = execute(late) //nolint:bodyclose // The fake's answers hold no resources.
			}
		})
		return nil, errNoAnswer
	}
	return execute(request.Context())
}

// randomDuration returns a random duration below the limit, 0 if the limit is not positive.
func randomDuration(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return rand.N(limit)
}
