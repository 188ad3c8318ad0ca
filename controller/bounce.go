package controller

import (
	"time"

	"switchferry/tuning"
)

// bounces remembers which workers were sent to other controllers. A worker gives an
// unanswered report up after 4 s and takes another second to turn to the next node,
// so of a lease of 10 s it can afford one dead end, not two in a row.
type bounces struct {
	// sent is when a worker was last sent away. One that comes back soon could
	// not reach the node that it was sent to.
	sent map[string]time.Time
	// probed is when a worker was last sent to a controller that hears none.
	probed map[string]time.Time
}

func newBounces() bounces {
	return bounces{sent: map[string]time.Time{}, probed: map[string]time.Time{}}
}

// allow tells whether a worker may be sent to a controller, and notes that it is.
// hears: that one says that workers reach it. To one that says so no more, whatever
// else it answers, a single worker is sent now and then: it may just have none.
func (b *bounces) allow(now time.Time, worker, to string, hears bool) bool {
	at, known := b.sent[worker]
	if known && now.Sub(at) < tuning.BounceKeep && now.Sub(at) > tuning.BounceTrip {
		return false
	}
	if !hears {
		if at, ok := b.probed[to]; ok && now.Sub(at) < tuning.BounceProbe {
			return false
		}
		b.probed[to] = now
	}
	for k, at := range b.sent {
		if now.Sub(at) >= tuning.BounceKeep {
			delete(b.sent, k)
		}
	}
	if _, ok := b.sent[worker]; !ok {
		b.sent[worker] = now
	}
	return true
}
