package lookup

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"switchferry/invariant"
	"switchferry/store"
	"switchferry/tuning"
)

// TerminalStates remembers the final records of up to tuning.FinalCache archived jobs, those added last. It is
// safe for concurrent use.
type TerminalStates struct {
	mu      sync.Mutex
	records *simplelru.LRU[string, store.FinalRecord]
}

// NewTerminalStates returns an empty cache.
func NewTerminalStates() *TerminalStates {
	return &TerminalStates{records: newCache[store.FinalRecord](tuning.FinalCache)}
}

// Remember adds the final record of a job. One that contradicts what is remembered is reported, and not taken in.
func (s *TerminalStates) Remember(id string, record store.FinalRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.records.Peek(id); ok && known.State != record.State {
		invariant.Violated("a terminal state does not change", "job", id, "remembered", known.State, "found", record.State)
		return
	}
	s.records.Add(id, record)
}

// Get returns the final record of a job if it is remembered.
func (s *TerminalStates) Get(id string) (store.FinalRecord, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.Peek(id)
}
