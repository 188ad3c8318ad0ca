// Package traffic counts the requests of users to a controller and logs the counts periodically, so that operators can
// distinguish a surge of requests or an unresponsive leader from other faults.
package traffic

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/invariant"
)

// Counts holds the numbers of requests and responses since the counts were last taken.
type Counts struct {
	// StateQueries counts requests for a job's state, OtherRequests all others, and Refused the requests of both kinds
	// that were refused with a retry delay.
	StateQueries, OtherRequests, Refused int
	// LeaderBypassed counts requests that were handled without the leader because it did not respond.
	LeaderBypassed int
	// StaleAnswers counts responses that were dropped because a terminal state of the job had already been sent.
	StaleAnswers int
	// RecordAnswers counts responses that were derived from a record in the state service. OldestRead is the longest time
	// between the request for such a record and the response.
	RecordAnswers int
	OldestRead    time.Duration
}

// Counter counts requests and responses. The zero value is ready to use. It is safe for concurrent use.
type Counter struct {
	// mu guards current.
	mu      sync.Mutex
	current Counts
}

// Add counts one request. stateQuery is true if the request was for a job's state, and refused is true if it was
// refused with a retry delay.
func (c *Counter) Add(stateQuery, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stateQuery {
		c.current.StateQueries++
	} else {
		c.current.OtherRequests++
	}
	if refused {
		c.current.Refused++
	}
}

// LeaderBypassed counts a request that was handled without the leader because it did not respond.
func (c *Counter) LeaderBypassed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.LeaderBypassed++
}

// StaleAnswerDropped counts a response that was dropped because a terminal state of the job had already been sent.
func (c *Counter) StaleAnswerDropped() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.StaleAnswers++
}

// AnsweredFromRecord counts a response that was derived from a record in the state service, which was requested age
// before the response.
func (c *Counter) AnsweredFromRecord(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.RecordAnswers++
	c.current.OldestRead = max(c.current.OldestRead, age)
}

// Take returns the counts since the last call and resets them.
func (c *Counter) Take() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.current
	c.current = Counts{}
	return counts
}

// Log takes the counts at the given interval and logs them unless all are zero, until the context ends.
func (c *Counter) Log(ctx context.Context, clock clockwork.Clock, interval time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-clock.After(interval):
		}
		if counts := c.Take(); counts != (Counts{}) {
			slog.Info("request statistics", "questions", counts.StateQueries, "other_requests", counts.OtherRequests, "refused", counts.Refused, "leader_silent", counts.LeaderBypassed,
				"older_answers", counts.StaleAnswers, "from_records", counts.RecordAnswers, "oldest_read_ms", counts.OldestRead.Milliseconds(),
				"invariant_violations", invariant.Violations())
		}
	}
}
