package lookup

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"switchferry/api"
	"switchferry/store"
	"switchferry/tuning"
)

// TerminalStates remembers jobs that are over, tuning.FinalCache of them. It is safe for use from several goroutines at once.
type TerminalStates struct {
	mu      sync.Mutex
	records *simplelru.LRU[string, store.FinalRecord]
}

// NewTerminalStates remembers nothing yet.
func NewTerminalStates() *TerminalStates {
	return &TerminalStates{records: newLRU[store.FinalRecord]()}
}

// Remember notes that a job is over.
func (s *TerminalStates) Remember(id string, record store.FinalRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records.Add(id, record)
}

// Get is what is remembered of a job that is over.
func (s *TerminalStates) Get(id string) (store.FinalRecord, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.Peek(id)
}

func newLRU[T any]() *simplelru.LRU[string, T] {
	cache, err := simplelru.NewLRU[string, T](tuning.FinalCache, nil)
	if err != nil {
		panic(err) // only for a limit below one
	}
	return cache
}

// Notifications remembers the final states that one process has told users, so that what it read before, from memory, from
// the leader or from the records, is not told after (reads are monotonic in one process). It is safe for use from
// several goroutines at once.
type Notifications struct {
	mu       sync.Mutex
	terminal *simplelru.LRU[string, api.JobStatus]
}

// NewNotifications remembers tuning.FinalCache jobs.
func NewNotifications() *Notifications { return &Notifications{terminal: newLRU[api.JobStatus]()} }

// Newest is what may be told of a job for which st was found: st, or the final state that was told already. Older
// is true for the latter.
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
