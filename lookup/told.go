package lookup

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"switchferry/api"
	"switchferry/tuning"
)

// Told remembers the final states that one process has told users, so that what it read before, from memory, from
// the leader or from the records, is not told after (reads are monotonic in one process). It is safe for use from
// several goroutines at once.
type Told struct {
	mu    sync.Mutex
	ended *simplelru.LRU[string, api.JobStatus]
}

// NewTold remembers tuning.FinalCache jobs.
func NewTold() *Told {
	ended, err := simplelru.NewLRU[string, api.JobStatus](tuning.FinalCache, nil)
	if err != nil {
		panic(err) // only for a limit below one
	}
	return &Told{ended: ended}
}

// Newest is what may be told of a job for which st was found: st, or the final state that was told already. Older
// is true for the latter.
func (t *Told) Newest(st api.JobStatus) (newest api.JobStatus, older bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if st.State == api.Done || st.State == api.Withdrawn {
		t.ended.Add(st.ID, st)
		return st, false
	}
	if end, ok := t.ended.Get(st.ID); ok {
		return end, true
	}
	return st, false
}
