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
	var q struct {
		Life int64 `json:"life_ms"`
	}
	life := time.Duration(0)
	if json.Unmarshal(body, &q) == nil {
		life = time.Duration(q.Life) * time.Millisecond
	}
	if life < minLeaseLife || life > maxLeaseLife {
		return state.refuse(http.StatusBadRequest, "life_ms out of range")
	}
	state.revision++
	id := state.revision
	state.leaseLife[id] = life
	state.leases[id] = state.clock.Now().Add(state.leaseLife[id])
	return reply(http.StatusOK, map[string]any{"ticket": id})
}

// renewOrRevokeLease renews the lease in the request's path, or revokes it if the method is DELETE. The caller holds mu.
func (state *State) renewOrRevokeLease(request *http.Request) (*http.Response, error) {
	id, _ := strconv.ParseUint(strings.Split(request.URL.Path, "/")[2], 10, 64)
	if _, ok := state.leases[id]; !ok {
		return reply(http.StatusNotFound, map[string]any{})
	}
	if request.Method == http.MethodDelete {
		state.leases[id] = time.Time{}
		state.expireLeases()
	} else {
		state.leases[id] = state.clock.Now().Add(state.leaseLife[id])
	}
	return reply(http.StatusOK, map[string]any{})
}

// expireLeases removes expired leases and the records that are attached to them. The caller holds mu.
func (state *State) expireLeases() {
	for id, end := range state.leases {
		if state.clock.Now().After(end) {
			delete(state.leases, id)
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
