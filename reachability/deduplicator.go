package reachability

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"switchferry/api"
)

// Deduplicator remembers the newest report of each machine that spoke to one controller, whoever leads. It
// is not safe for use from several goroutines at once.
type Deduplicator struct {
	newest *simplelru.LRU[string, [2]uint64]
}

// NewDeduplicator remembers as many machines as limit says, which is 1 or more.
func NewDeduplicator(limit int) *Deduplicator {
	newest, err := simplelru.NewLRU[string, [2]uint64](limit, nil)
	if err != nil {
		panic(err) // only for a limit below one
	}
	return &Deduplicator{newest}
}

// Accept tells whether a report is newer than all before of its machine. A worker sends no tally twice: any
// other is a copy, or was held up on its way until its worker gave it up, and nobody waits for its answer.
func (d *Deduplicator) Accept(heartbeat *api.Heartbeat) bool {
	if last, ok := d.newest.Get(heartbeat.Machine); ok && !heartbeat.NewerThan(last[0], last[1]) {
		return false
	}
	d.newest.Add(heartbeat.Machine, [2]uint64{heartbeat.Incarnation, heartbeat.Seq})
	return true
}
