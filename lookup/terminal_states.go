package lookup

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"switchferry/invariant"
	"switchferry/store"
	"switchferry/tuning"
)

// TerminalStates caches the final records of archived jobs, the last tuning.TerminalJobsCapacity that were added. It is
// safe for concurrent use.
type TerminalStates struct {
	// mu guards records.
	mu      sync.Mutex
	records *simplelru.LRU[string, store.FinalRecord]
}

// NewTerminalStates returns an empty TerminalStates.
func NewTerminalStates() *TerminalStates {
	return &TerminalStates{records: newCache[store.FinalRecord](tuning.TerminalJobsCapacity)}
}

// Remember adds the final record of a job. If its state differs from that of the cached record, Remember reports an
// invariant violation and keeps the cached record.
func (s *TerminalStates) Remember(id string, record store.FinalRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cached, ok := s.records.Peek(id); ok && cached.State != record.State {
		invariant.Violated("a terminal state does not change", "job", id, "remembered", cached.State, "found", record.State)
		return
	}
	s.records.Add(id, record)
}

// Get returns the cached final record of a job, and whether there is one.
func (s *TerminalStates) Get(id string) (store.FinalRecord, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.Peek(id)
}
