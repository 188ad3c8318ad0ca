package lookup

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"switchferry/api"
	"switchferry/invariant"
	"switchferry/tuning"
)

// Notifications caches the terminal states that this process has sent to users, for up to tuning.TerminalJobsCapacity
// jobs. It prevents that an older state, found in memory, at the leader or in a record read earlier, is sent after a
// terminal state, so that reads are monotonic within one process. It is safe for concurrent use.
type Notifications struct {
	// mu guards sentTerminal.
	mu           sync.Mutex
	sentTerminal *simplelru.LRU[string, api.JobStatus]
}

// NewNotifications returns Notifications without entries.
func NewNotifications() *Notifications {
	return &Notifications{sentTerminal: newCache[api.JobStatus](tuning.TerminalJobsCapacity)}
}

// SendDecision says whether a status that was found for a job may be sent to a user.
type SendDecision int

// The decisions that StatusToSend returns.
const (
	// Send means that the status that was found may be sent.
	Send SendDecision = iota
	// Stale means that a terminal state was sent before and must be sent again instead of the status that was found.
	Stale
	// Contradiction means that a different terminal state was sent before, so that neither may be sent now.
	Contradiction
)

// StatusToSend returns the status to send for a job, given the status that was found for it: that status, or the
// terminal one that was sent before. A terminal status that may be sent is cached as sent.
func (n *Notifications) StatusToSend(status api.JobStatus) (api.JobStatus, SendDecision) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sent, alreadySent := n.sentTerminal.Get(status.ID)
	switch {
	case !isTerminal(status.State):
		if alreadySent {
			return sent, Stale
		}
		return status, Send
	case alreadySent && sent.State != status.State:
		invariant.Violated("a terminal state that was sent to a user does not change", "job", status.ID, "told", sent.State, "found", status.State)
		return sent, Contradiction
	}
	n.sentTerminal.Add(status.ID, status)
	return status, Send
}

// isTerminal reports whether a job state is terminal.
func isTerminal(state string) bool { return state == api.Done || state == api.Cancelled }
