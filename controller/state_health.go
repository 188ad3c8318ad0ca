package controller

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// stateHealth tells whether the state service answers this controller, by the last request that it served or refused.
type stateHealth struct {
	clock clockwork.Clock

	// mu guards the fields below.
	mu        sync.Mutex
	servedAt  time.Time
	refusedAt time.Time
}

// recordResponse notes that a request was just served, or was refused or got no answer.
func (h *stateHealth) recordResponse(served bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if served {
		h.servedAt = h.clock.Now()
	} else {
		h.refusedAt = h.clock.Now()
	}
}

// healthy reports whether the last request was served; it is false before the first one.
func (h *stateHealth) healthy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.servedAt.IsZero() && !h.refusedAt.After(h.servedAt)
}
