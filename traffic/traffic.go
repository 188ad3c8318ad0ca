// Package traffic counts what users ask of a controller, and logs it now and then, so that a storm of questions and a
// silent leader can be told from other troubles.
package traffic

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Counts are what users asked since the last line of the log.
type Counts struct {
	// Questions are about a job's state, Requests all others; Refused are those of both that were told to come back.
	Questions, Requests, Refused int
	// Passed is how often the leader did not answer and was passed by.
	Passed int
}

// Counter counts. The zero value has counted nothing; it is safe for use from several goroutines at once.
type Counter struct {
	mu      sync.Mutex
	current Counts
}

// Add counts one request; question: about a job's state; refused: its user was told to come back.
func (c *Counter) Add(question, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if question {
		c.current.Questions++
	} else {
		c.current.Requests++
	}
	if refused {
		c.current.Refused++
	}
}

// Passed counts a leader that did not answer and was passed by.
func (c *Counter) Passed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.Passed++
}

// Take gives what was counted, and begins anew.
func (c *Counter) Take() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.current
	c.current = Counts{}
	return counts
}

// Log writes a line each time so much has passed, unless nothing was asked, until the context ends.
func (c *Counter) Log(ctx context.Context, clock clockwork.Clock, every time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-clock.After(every):
		}
		if counts := c.Take(); counts != (Counts{}) {
			slog.Info("users", "questions", counts.Questions, "other_requests", counts.Requests, "refused", counts.Refused, "leader_silent", counts.Passed)
		}
	}
}
