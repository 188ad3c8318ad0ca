// Package traffic counts users' requests to a controller and logs the counts periodically, so that a surge of requests or
// an unresponsive leader can be distinguished from other faults.
package traffic

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/invariant"
)

// Counts are users' requests since the counts were last taken.
type Counts struct {
	// StateQueries are requests for a job's state, OtherRequests all others, and Refused those of both that were refused
	// with a time to try again.
	StateQueries, OtherRequests, Refused int
	// LeaderBypassed is how often a request was handled without the leader, as it did not answer.
	LeaderBypassed int
	// OlderAnswers are answers that were not sent since their user had been told of the job's end.
	OlderAnswers int
	// RecordAnswers are answers from a record of the state service; OldestRead is how long before its answer the oldest of
	// these records was asked for.
	RecordAnswers int
	OldestRead    time.Duration
}

// Counter counts requests. The zero value is ready for use. It is safe for concurrent use.
type Counter struct {
	mu      sync.Mutex
	current Counts
}

// Add counts one request: question is whether it asked for a job's state, and refused whether it was refused with a
// time to try again.
func (c *Counter) Add(question, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if question {
		c.current.StateQueries++
	} else {
		c.current.OtherRequests++
	}
	if refused {
		c.current.Refused++
	}
}

// LeaderBypassed counts a request that was handled without the leader, as it did not answer.
func (c *Counter) LeaderBypassed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.LeaderBypassed++
}

// OlderAnswerDropped counts an answer that was not sent since its user had been told of the job's end.
func (c *Counter) OlderAnswerDropped() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.OlderAnswers++
}

// AnsweredFromRecord counts an answer from a record that was asked for so long before.
func (c *Counter) AnsweredFromRecord(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.RecordAnswers++
	c.current.OldestRead = max(c.current.OldestRead, age)
}

// Take returns the counts and resets them.
func (c *Counter) Take() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.current
	c.current = Counts{}
	return counts
}

// Log takes and logs the counts once in every such interval, unless they are all zero, until the context ends.
func (c *Counter) Log(ctx context.Context, clock clockwork.Clock, every time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-clock.After(every):
		}
		if counts := c.Take(); counts != (Counts{}) {
			slog.Info("request statistics", "questions", counts.StateQueries, "other_requests", counts.OtherRequests, "refused", counts.Refused, "leader_silent", counts.LeaderBypassed,
				"older_answers", counts.OlderAnswers, "from_records", counts.RecordAnswers, "oldest_read_ms", counts.OldestRead.Milliseconds(),
				"invariant_violations", invariant.Violations())
		}
	}
}
