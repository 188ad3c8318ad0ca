package lookup

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"switchferry/api"
	"switchferry/invariant"
	"switchferry/tuning"
)

// Notifications remembers the final states that this process has sent to users, for up to tuning.FinalCache
// jobs. An older state, from memory, from the leader or from a record that was read before, is then not sent
// after them: reads are monotonic within one process. It is safe for concurrent use.
type Notifications struct {
	mu       sync.Mutex
	terminal *simplelru.LRU[string, api.JobStatus]
}

// NewNotifications returns an empty Notifications.
func NewNotifications() *Notifications {
	return &Notifications{terminal: newCache[api.JobStatus](tuning.FinalCache)}
}

// Notification says what may be sent of a status that was found for a job.
type Notification int

// What Newest returns beside a status.
const (
	// Send: the status may be sent.
	Send Notification = iota
	// Older: a final state was sent before, and is to be sent again in place of the status.
	Older
	// Contradiction: another final state was sent before, so that neither may be sent now.
	Contradiction
)

// Newest returns the status to send for a job whose present status was found to be status: that one, or the
// final one that was sent before.
func (n *Notifications) Newest(status api.JobStatus) (api.JobStatus, Notification) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sent, ended := n.terminal.Get(status.ID)
	switch {
	case !isTerminal(status.State):
		if ended {
			return sent, Older
		}
		return status, Send
	case ended && sent.State != status.State:
		invariant.Violated("a final state that users were told does not change", "job", status.ID, "told", sent.State, "found", status.State)
		return sent, Contradiction
	}
	n.terminal.Add(status.ID, status)
	return status, Send
}

// isTerminal reports whether a job that is in a state stays in it.
func isTerminal(state string) bool { return state == api.Done || state == api.Cancelled }
