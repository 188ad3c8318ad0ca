package lookup

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

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

// Remember adds the final record of a job.
func (s *TerminalStates) Remember(id string, record store.FinalRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records.Add(id, record)
}

// Get returns the final record of a job if it is remembered.
func (s *TerminalStates) Get(id string) (store.FinalRecord, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.Peek(id)
}
