package controller

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// stateHealth tracks whether the state service answers this controller, according to the last request to it.
type stateHealth struct {
	clock clockwork.Clock

	// mu guards the fields below.
	mu sync.Mutex
	// servedAt is when a request was last served.
	servedAt time.Time
	// failedAt is when a request was last refused or got no response.
	failedAt time.Time
}

// recordResponse records the outcome of a request. Served is false if the request was refused or got no response.
func (h *stateHealth) recordResponse(served bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if served {
		h.servedAt = h.clock.Now()
	} else {
		h.failedAt = h.clock.Now()
	}
}

// healthy reports whether the last request was served; it is false before the first one.
func (h *stateHealth) healthy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.servedAt.IsZero() && !h.failedAt.After(h.servedAt)
}
