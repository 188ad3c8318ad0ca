package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/internal/sleep"
)

// Delays of messages that arrive late.
const (
	minLateMessage = 500 * time.Millisecond
	maxLateMessage = 12 * time.Second
)

// MessageFaults is what is wrong with messages between workers and controllers, as shares of them.
type MessageFaults struct {
	// LostHeartbeats do not arrive, and of RepeatedHeartbeats a copy arrives later, at any controller.
	LostHeartbeats, RepeatedHeartbeats float64
	// LateCommands are executed later, if they still apply, and not answered.
	LateCommands float64
	// SlowHeartbeats take up to maxSlowMessage, and so do the responses to that share of the others. SlowCommands are
	// executed and answered up to that late.
	SlowHeartbeats, SlowCommands float64
	// FailingStarts end at once, as failed or refused.
	FailingStarts float64
}

// maxSlowMessage bounds by how much a slow message is late. With two of them a worker still takes some responses, which
// must come within 4 s.
const maxSlowMessage = 1900 * time.Millisecond

// delay has a share of messages wait. It reports false if ctx ended before.
func delay(ctx context.Context, share float64) bool {
	if !happens(share) {
		return ctx.Err() == nil
	}
	return sleep.Real(ctx, randomDuration(maxSlowMessage))
}

// startFailure returns why a start ends at once, empty if it does not.
func (f MessageFaults) startFailure() string {
	if !happens(f.FailingStarts) {
		return ""
	}
	causes := []string{api.CauseError, api.CauseNoRoom, api.CauseUnknown}
	return causes[rand.IntN(len(causes))]
}

// messageFaults holds MessageFaults that may change. Its zero value is ready for use.
type messageFaults struct {
	mu     sync.Mutex
	faults MessageFaults
}

// SetMessageFaults changes what is wrong with messages between workers and controllers.
func (cluster *Cluster) SetMessageFaults(faults MessageFaults) {
	cluster.messages.mu.Lock()
	defer cluster.messages.mu.Unlock()
	cluster.messages.faults = faults
}

// current returns what is wrong now.
func (m *messageFaults) current() MessageFaults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// happens reports whether what meets a share of messages meets this one.
func happens(share float64) bool { return share > 0 && rand.Float64() < share }

// lateness returns by how much a late message is late.
func lateness() time.Duration { return minLateMessage + randomDuration(maxLateMessage-minLateMessage) }
