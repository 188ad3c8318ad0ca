package cluster

import (
	"math/rand/v2"
	"sync"
	"time"
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
