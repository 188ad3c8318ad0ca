package cluster

import (
	"encoding/json"
	"time"

	"switchferry/store"
)

// currentLeader returns the leader that is recorded in the state service, and its term; empty and 0 if there is none.
func (cluster *Cluster) currentLeader() (member string, term uint64) {
	raw, stamp := cluster.State.Read(store.LeaderKey)
	var record store.LeaderRecord
	if json.Unmarshal(raw, &record) != nil {
		return "", 0
	}
	return record.Member, stamp
}

// watchLeader records the zone of each term's leader until the cluster is closed. It is needed because commands carry
// a term but not their sender.
func (cluster *Cluster) watchLeader() {
	for cluster.Sleep(20 * time.Millisecond) {
		member, term := cluster.currentLeader()
		if term == 0 {
			continue
		}
		for _, controller := range cluster.Controllers {
			if controller.Settings.Member == member {
				cluster.mu.Lock()
				cluster.zonesByTerm[term] = controller.Settings.Zone
				cluster.mu.Unlock()
			}
		}
	}
}

// Terms returns the number of leader terms that were observed.
func (cluster *Cluster) Terms() int {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return len(cluster.zonesByTerm)
}

// TermOf returns the term whose leader issued a fencing token: the newest observed term that is not above the token, 0 if
// there is none.
func (cluster *Cluster) TermOf(token uint64) (term uint64) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	for observed := range cluster.zonesByTerm {
		if observed <= token {
			term = max(term, observed)
		}
	}
	return term
}

// zoneOfToken returns the zone of the leader that issued a fencing token, RegionalServices if it is not known.
func (cluster *Cluster) zoneOfToken(token uint64) string {
	term := cluster.TermOf(token)
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return cluster.zonesByTerm[term]
}
