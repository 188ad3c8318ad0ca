package fake

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// change is a put or a delete of a key, as JSON in the answer to a watch.
type change struct {
	Set    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete string          `json:"delete,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

// serveWatch answers with the changes under a prefix after a revision. If there are none, it waits for one up to the
// time in the request. The caller holds mu, which is unlocked during the wait.
func (state *State) serveWatch(request *http.Request) (*http.Response, error) {
	query := request.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	block, blockErr := strconv.ParseInt(query.Get("block_ms"), 10, 64)
	wait := time.Duration(block) * time.Millisecond
	if err != nil || query.Get("block_ms") != "" && blockErr != nil || wait < 0 || wait > maxWatchWait {
		return state.refuse(http.StatusBadRequest, "malformed watch")
	}
	timeout := state.clock.After(wait)
	for timedOut := wait == 0; ; {
		if after < state.newestDropped {
			return reply(http.StatusGone, map[string]any{"epoch": state.revision})
		}
		changes := state.changesAfter(after, query.Get("under"))
		if len(changes) > 0 || timedOut {
			return reply(http.StatusOK, map[string]any{"epoch": state.revision, "log": changes})
		}
		changed, leaseEnds := state.changed, state.nextLeaseExpiry()
		state.mu.Unlock()
		select {
		case <-changed:
		case <-leaseEnds:
		case <-timeout:
			timedOut = true
		case <-request.Context().Done():
		}
		state.mu.Lock()
		state.expireLeases()
		if err := request.Context().Err(); err != nil {
			return nil, err
		}
	}
}

// changesAfter returns the changes in history after a revision whose keys have a prefix. The caller holds mu.
func (state *State) changesAfter(revision uint64, prefix string) []change {
	changes := []change{}
	for _, kept := range state.history {
		if kept.Stamp > revision && strings.HasPrefix(kept.Set+kept.Delete, prefix) {
			changes = append(changes, kept)
		}
	}
	return changes
}

// nextLeaseExpiry returns a channel that receives when the next lease expires, which deletes the records attached to
// it. It returns nil if there is no lease. The caller holds mu.
func (state *State) nextLeaseExpiry() (ends <-chan time.Time) {
	var earliest time.Duration
	for _, end := range state.leaseExpiries {
		if left := end.Sub(state.clock.Now()); ends == nil || left < earliest {
			earliest, ends = left, state.clock.After(left+time.Millisecond)
		}
	}
	return ends
}

// recordChanges appends changes to history, drops the oldest beyond maxHistory and wakes waiting watches. The caller
// holds mu.
func (state *State) recordChanges(changes ...change) {
	state.history = append(state.history, changes...)
	if n := len(state.history) - maxHistory; n > 0 {
		state.newestDropped = state.history[n-1].Stamp
		state.history = slices.Clone(state.history[n:])
	}
	close(state.changed)
	state.changed = make(chan struct{})
}
