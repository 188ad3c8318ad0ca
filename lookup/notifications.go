package lookup

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"switchferry/api"
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

// Newest returns the status to send for a job whose present status was found to be status: that one, or the
// final one that was sent before. older is true in the latter case.
func (n *Notifications) Newest(status api.JobStatus) (newest api.JobStatus, older bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if status.State == api.Done || status.State == api.Cancelled {
		n.terminal.Add(status.ID, status)
		return status, false
	}
	if terminal, ok := n.terminal.Get(status.ID); ok {
		return terminal, true
	}
	return status, false
}
