package reachability

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"switchferry/api"
)

// Deduplicator recognizes delayed copies among the heartbeats that one controller receives, whoever leads. It
// remembers the newest heartbeat of each machine. It is not safe for use from several goroutines at once.
type Deduplicator struct {
	newest *simplelru.LRU[string, position]
}

// NewDeduplicator returns a deduplicator for so many machines, 1 or more; beyond that it forgets the machine
// that has sent nothing for longest. It panics if the limit is below 1.
func NewDeduplicator(limit int) *Deduplicator {
	newest, err := simplelru.NewLRU[string, position](limit, nil)
	if err != nil {
		panic(err)
	}
	return &Deduplicator{newest}
}

// Accept reports whether a heartbeat is newer than all before from its machine, and remembers it if it is. A
// worker uses no sequence number twice, so any other is a copy, or was delayed until its worker stopped
// waiting for the answer.
func (d *Deduplicator) Accept(heartbeat *api.Heartbeat) bool {
	if last, ok := d.newest.Get(heartbeat.Machine); ok && !heartbeat.NewerThan(last.incarnation, last.seq) {
		return false
	}
	d.newest.Add(heartbeat.Machine, position{heartbeat.Incarnation, heartbeat.Seq})
	return true
}
