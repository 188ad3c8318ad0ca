package fake

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// grantLease grants a lease with the lifetime in the request. The caller holds mu.
func (state *State) grantLease(body []byte) (*http.Response, error) {
	var request struct {
		Life int64 `json:"life_ms"`
	}
	lifetime := time.Duration(0)
	if json.Unmarshal(body, &request) == nil {
		lifetime = time.Duration(request.Life) * time.Millisecond
	}
	if lifetime < minLeaseLifetime || lifetime > maxLeaseLifetime {
		return state.refuse(http.StatusBadRequest, "life_ms out of range")
	}
	state.revision++
	id := state.revision
	state.leaseLifetimes[id] = lifetime
	state.leaseExpiries[id] = state.clock.Now().Add(state.leaseLifetimes[id])
	return reply(http.StatusOK, map[string]any{"ticket": id})
}

// renewOrRevokeLease renews the lease in the request's path, or revokes it if the method is DELETE. The caller holds
// mu.
func (state *State) renewOrRevokeLease(request *http.Request) (*http.Response, error) {
	id, _ := strconv.ParseUint(strings.Split(request.URL.Path, "/")[2], 10, 64)
	if _, ok := state.leaseExpiries[id]; !ok {
		return reply(http.StatusNotFound, map[string]any{})
	}
	if request.Method == http.MethodDelete {
		state.leaseExpiries[id] = time.Time{}
		state.expireLeases()
	} else {
		state.leaseExpiries[id] = state.clock.Now().Add(state.leaseLifetimes[id])
	}
	return reply(http.StatusOK, map[string]any{})
}

// expireLeases removes expired leases and the records that are attached to them. The caller holds mu.
func (state *State) expireLeases() {
	for id, end := range state.leaseExpiries {
		if state.clock.Now().After(end) {
			delete(state.leaseExpiries, id)
			for key, v := range state.records {
				if v.leaseID == id {
					state.revision++
					delete(state.records, key)
					state.recordChanges(change{Delete: key, Stamp: state.revision})
				}
			}
		}
	}
}
