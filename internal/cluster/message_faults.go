package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/internal/sleep"
)

const (
	// minLateMessage is the minimum delay of late commands and repeated heartbeats.
	minLateMessage = 500 * time.Millisecond
	// maxLateMessage is the maximum delay of late commands and repeated heartbeats.
	maxLateMessage = 12 * time.Second
	// maxRepeatedCommand is the maximum delay of the second delivery of repeated commands.
	maxRepeatedCommand = 40 * time.Second
)

// MessageFaults are the faults of messages between workers and controllers. Each field is the share of messages, from 0
// to 1, that has the fault.
type MessageFaults struct {
	// LostHeartbeats are not delivered. RepeatedHeartbeats are delivered, and a copy is later delivered to a random
	// controller.
	LostHeartbeats, RepeatedHeartbeats float64
	// LateCommands get no answer. The worker executes them later if they still apply.
	LateCommands float64
	// RepeatedCommands are executed and answered, and executed once more later if they still apply.
	RepeatedCommands float64
	// SlowHeartbeats is the share of heartbeats, and independently of their responses, that is delayed by up to
	// maxSlowMessage. SlowCommands are executed and answered up to maxSlowMessage late.
	SlowHeartbeats, SlowCommands float64
	// FailingStarts are starts of tasks that end at once, failed or refused.
	FailingStarts float64
}

// maxSlowMessage is the maximum delay of a slow message. Twice this delay is within a worker's response timeout of 4 s,
// so that a worker still accepts responses when both the heartbeat and the response are slow.
const maxSlowMessage = 1900 * time.Millisecond

// delayShare delays the given share of messages by a random time. It reports false if ctx ended before.
func delayShare(ctx context.Context, share float64) bool {
	if !withProbability(share) {
		return ctx.Err() == nil
	}
	return sleep.OnRealClock(ctx, randomDuration(maxSlowMessage))
}

// startFailure returns the cause with which a task that is being started ends at once, empty if the task runs.
func (f MessageFaults) startFailure() string {
	if !withProbability(f.FailingStarts) {
		return ""
	}
	causes := []string{api.CauseError, api.CauseInsufficientResources, api.CauseNotFound}
	return causes[rand.IntN(len(causes))]
}

// messageFaults holds the current MessageFaults. The zero value has no faults. It is safe for concurrent use.
type messageFaults struct {
	mu     sync.Mutex
	faults MessageFaults
}

// SetMessageFaults replaces the faults of messages between workers and controllers.
func (cluster *Cluster) SetMessageFaults(faults MessageFaults) {
	cluster.messages.mu.Lock()
	defer cluster.messages.mu.Unlock()
	cluster.messages.faults = faults
}

// current returns the current faults.
func (m *messageFaults) current() MessageFaults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// withProbability returns true with the given probability.
func withProbability(probability float64) bool {
	return probability > 0 && rand.Float64() < probability
}

// randomLateDelay returns a random delay of a late message, from minLateMessage to maxLateMessage.
func randomLateDelay() time.Duration {
	return minLateMessage + randomDuration(maxLateMessage-minLateMessage)
}

// randomRepeatDelay returns the random time after which repeated commands are delivered again.
func randomRepeatDelay() time.Duration {
	return minLateMessage + randomDuration(maxRepeatedCommand-minLateMessage)
}
