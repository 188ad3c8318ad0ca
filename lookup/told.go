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
	mu   sync.Mutex
	jobs *simplelru.LRU[string, store.FinalRecord]
}

// NewTerminalStates remembers nothing yet.
func NewTerminalStates() *TerminalStates { return &TerminalStates{jobs: newLRU[store.FinalRecord]()} }

// Remember notes that a job is over.
func (f *TerminalStates) Remember(id string, rec store.FinalRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs.Add(id, rec)
}

// Get is what is remembered of a job that is over.
func (f *TerminalStates) Get(id string) (store.FinalRecord, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jobs.Peek(id)
}

func newLRU[T any]() *simplelru.LRU[string, T] {
	l, err := simplelru.NewLRU[string, T](tuning.FinalCache, nil)
	if err != nil {
		panic(err) // only for a limit below one
	}
	return l
}

// Notifications remembers the final states that one process has told users, so that what it read before, from memory, from
// the leader or from the records, is not told after (reads are monotonic in one process). It is safe for use from
// several goroutines at once.
type Notifications struct {
	mu    sync.Mutex
	ended *simplelru.LRU[string, api.JobStatus]
}

// NewNotifications remembers tuning.FinalCache jobs.
func NewNotifications() *Notifications { return &Notifications{ended: newLRU[api.JobStatus]()} }

// Newest is what may be told of a job for which st was found: st, or the final state that was told already. Older
// is true for the latter.
func (t *Notifications) Newest(st api.JobStatus) (newest api.JobStatus, older bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if st.State == api.Done || st.State == api.Cancelled {
		t.ended.Add(st.ID, st)
		return st, false
	}
	if end, ok := t.ended.Get(st.ID); ok {
		return end, true
	}
	return st, false
}
