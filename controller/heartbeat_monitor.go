package controller

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/reachability"
	"switchferry/settings"
	"switchferry/tuning"
)

// heartbeatMonitor tells new heartbeats from late copies, and whether workers reach this controller itself.
type heartbeatMonitor struct {
	clock clockwork.Clock
	// recent is how long ago a heartbeat may be for workers to count as reaching this controller.
	recent time.Duration

	// mu guards the fields below.
	mu sync.Mutex
	// newest are the newest heartbeats that each worker has sent to this controller.
	newest *reachability.Deduplicator
	// lastReceivedAt is when a worker last sent a new one; zero before that.
	lastReceivedAt time.Time
}

// newHeartbeatMonitor returns a monitor that has received nothing.
func newHeartbeatMonitor(clock clockwork.Clock, workers settings.Workers) *heartbeatMonitor {
	return &heartbeatMonitor{clock: clock, recent: settings.Seconds(tuning.RecentHeartbeats * workers.ReportS),
		newest: reachability.NewDeduplicator(tuning.HeartbeatsKept)}
}

// accept notes a heartbeat that a worker sent to this controller, and reports whether it is new: a late copy shows
// nothing of who reaches whom.
func (h *heartbeatMonitor) accept(heartbeat *api.Heartbeat) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	fresh := h.newest.Accept(heartbeat)
	if fresh {
		h.lastReceivedAt = h.clock.Now()
	}
	return fresh
}

// receivesHeartbeats reports whether a worker reached this controller itself a moment ago.
func (h *heartbeatMonitor) receivesHeartbeats() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.lastReceivedAt.IsZero() && h.clock.Since(h.lastReceivedAt) < h.recent
}
