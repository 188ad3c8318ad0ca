package reachability

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"switchferry/api"
)

// Deduplicator recognizes delayed copies among the heartbeats that one controller receives, independent of which
// controller leads. It remembers the newest heartbeat of each machine. It is not safe for concurrent use.
type Deduplicator struct {
	newest *simplelru.LRU[string, position]
}

// NewDeduplicator returns a deduplicator that remembers at most limit machines; beyond that it evicts the machine
// that was used least recently. It panics if the limit is below 1.
func NewDeduplicator(limit int) *Deduplicator {
	newest, err := simplelru.NewLRU[string, position](limit, nil)
	if err != nil {
		panic(err)
	}
	return &Deduplicator{newest}
}

// Accept reports whether a heartbeat is newer than all earlier ones from its machine, and remembers it if it is.
// A worker uses no sequence number twice, so any other heartbeat is a copy, or was delayed until its worker
// stopped waiting for the answer.
func (d *Deduplicator) Accept(heartbeat *api.Heartbeat) bool {
	if last, ok := d.newest.Get(heartbeat.Machine); ok && !heartbeat.NewerThan(last.incarnation, last.seq) {
		return false
	}
	d.newest.Add(heartbeat.Machine, position{heartbeat.Incarnation, heartbeat.Seq})
	return true
}
