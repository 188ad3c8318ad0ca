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

// heartbeatMonitor distinguishes new heartbeats from duplicates and tracks whether workers reach this controller
// directly.
type heartbeatMonitor struct {
	clock clockwork.Clock
	// recentWindow is the time after the last new heartbeat during which workers count as reaching this controller.
	recentWindow time.Duration

	// mu guards the fields below.
	mu sync.Mutex
	// deduplicator holds the newest heartbeat that each worker has sent to this controller.
	deduplicator *reachability.Deduplicator
	// lastReceivedAt is when a worker last sent a new heartbeat; it is zero before the first one.
	lastReceivedAt time.Time
}

// newHeartbeatMonitor returns a monitor that has received no heartbeats.
func newHeartbeatMonitor(clock clockwork.Clock, workers settings.Workers) *heartbeatMonitor {
	return &heartbeatMonitor{clock: clock, recentWindow: settings.Seconds(tuning.RecentHeartbeatIntervals * workers.HeartbeatIntervalS),
		deduplicator: reachability.NewDeduplicator(tuning.HeartbeatsCapacity)}
}

// accept records a heartbeat that a worker sent to this controller and reports whether it is new. A duplicate is no
// evidence that the worker reaches this controller now.
func (h *heartbeatMonitor) accept(heartbeat *api.Heartbeat) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	fresh := h.deduplicator.Accept(heartbeat)
	if fresh {
		h.lastReceivedAt = h.clock.Now()
	}
	return fresh
}

// receivesHeartbeats reports whether a worker has recently reached this controller directly.
func (h *heartbeatMonitor) receivesHeartbeats() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.lastReceivedAt.IsZero() && h.clock.Since(h.lastReceivedAt) < h.recentWindow
}
