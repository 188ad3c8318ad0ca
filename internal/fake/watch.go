package fake

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

type change struct {
	Set    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete string          `json:"delete,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

// serveWatch waits for changes under a prefix; the lock is held but while it waits.
func (state *State) serveWatch(request *http.Request) (*http.Response, error) {
	query := request.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	block, berr := strconv.ParseInt(query.Get("block_ms"), 10, 64)
	wait := time.Duration(block) * time.Millisecond
	if err != nil || query.Get("block_ms") != "" && berr != nil || wait < 0 || wait > maxWatchBlock {
		return state.refuse(400, "malformed watch")
	}
	over := state.clock.After(wait)
	for late := wait == 0; ; {
		if after < state.oldestDropped {
			return reply(410, map[string]any{"epoch": state.revision})
		}
		log := []change{}
		for _, c := range state.history {
			if c.Stamp > after && strings.HasPrefix(c.Set+c.Delete, query.Get("under")) {
				log = append(log, c)
			}
		}
		if len(log) > 0 || late {
			return reply(200, map[string]any{"epoch": state.revision, "log": log})
		}
		changed := state.changed
		// A lease that ends is a change as well.
		var ends <-chan time.Time
		for _, end := range state.leases {
			if left := end.Sub(state.clock.Now()); ends == nil || left < wait {
				wait, ends = left, state.clock.After(left+time.Millisecond)
			}
		}
		state.mu.Unlock()
		select {
		case <-changed:
		case <-ends:
		case <-over:
			late = true
		case <-request.Context().Done():
		}
		state.mu.Lock()
		state.expireLeases()
		if err := request.Context().Err(); err != nil {
			return nil, err
		}
	}
}

// recordChanges keeps changes for watches.
func (state *State) recordChanges(cs ...change) {
	state.history = append(state.history, cs...)
	if n := len(state.history) - maxHistory; n > 0 {
		state.oldestDropped = state.history[n-1].Stamp
		state.history = slices.Clone(state.history[n:])
	}
	close(state.changed)
	state.changed = make(chan struct{})
}
