package staging

import (
	"fmt"
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/api"
)

// fakeAgent is a simulated data agent. It applies orders that are not older than its current one,
// copies each ordered part within one step from the first source that works, and never evicts parts.
type fakeAgent struct {
	name                             string
	incarnation, sequence            uint64
	term, orderNumber                uint64
	orderedSets                      []api.StageSet
	holds                            map[uint32]bool
	servesCorruptData, down          bool
	failures                         map[int][]api.StageFailure
	copiesFromStore, copiesFromPeers int
	quota                            int64
}

func (agent *fakeAgent) address() string { return agent.name + ":1" }

// apply replaces the current order. It returns false if the new order is older, or is for another
// incarnation.
func (agent *fakeAgent) apply(order api.StageOrder) bool {
	if order.Term < agent.term || order.Term == agent.term && order.Sequence < agent.orderNumber || order.Incarnation != agent.incarnation {
		return false
	}
	agent.term, agent.orderNumber, agent.orderedSets = order.Term, order.Sequence, order.Sets
	return true
}

// heartbeat returns the next heartbeat, which lists all parts that the agent holds.
func (agent *fakeAgent) heartbeat() *api.StageHeartbeat {
	agent.sequence++
	heartbeat := &api.StageHeartbeat{Machine: agent.name, Address: agent.address(), Incarnation: agent.incarnation, Seq: agent.sequence, Term: agent.term, Sequence: agent.orderNumber, Quota: agent.quota, HoldingsComplete: true}
	held := roaring.New()
	for part := range agent.holds {
		held.Add(part)
	}
	heartbeat.Holdings = []api.StageHolding{{Dataset: "inv", Manifest: inventory.ManifestDigest.String(), PartCount: 8, Parts: api.PartSet{Bitmap: held}}}
	for _, set := range agent.orderedSets {
		heartbeat.Pinned = append(heartbeat.Pinned, api.StageHolding{Dataset: set.Dataset, Manifest: set.Manifest, Parts: api.PartSet{Bitmap: roaring.And(held, set.Parts.Bitmap)}})
		for _, transfer := range set.Copies {
			if !agent.holds[uint32(transfer.Part)] {
				heartbeat.Copies = append(heartbeat.Copies, api.StageProgress{Dataset: set.Dataset, Part: transfer.Part, TotalBytes: 10, Source: transfer.Sources[0], Failed: agent.failures[transfer.Part]})
			}
		}
	}
	return heartbeat
}

// fakeCluster simulates a set of agents that copy parts from one another and from the store.
type fakeCluster struct {
	agents    map[string]*fakeAgent
	names     []string
	storeDown bool
	now       time.Time
}

// newFakeCluster returns a cluster of size machines named n-0, n-1 and so on, which hold no parts.
func newFakeCluster(size int) *fakeCluster {
	cluster := &fakeCluster{agents: map[string]*fakeAgent{}, now: time.Unix(1000, 0)}
	for i := range size {
		name := fmt.Sprintf("n-%d", i)
		cluster.agents[name] = &fakeAgent{name: name, incarnation: 1, holds: map[uint32]bool{}, failures: map[int][]api.StageFailure{}, quota: 1 << 30}
		cluster.names = append(cluster.names, name)
	}
	return cluster
}

// step advances the time by one second. Every agent that is up sends a heartbeat and applies its order,
// and then every ordered part is copied from its first source that works.
func (cluster *fakeCluster) step(planner *Planner, demands []Demand) {
	cluster.now = cluster.now.Add(time.Second)
	for _, name := range cluster.names {
		if !cluster.agents[name].down {
			planner.ApplyHeartbeat(cluster.agents[name].heartbeat(), cluster.now)
		}
	}
	for _, name := range planner.Plan(demands, cluster.now) {
		if order, _, ok := planner.Order(name); ok && !cluster.agents[name].down {
			cluster.agents[name].apply(order)
		}
	}
	// A part received in this step can be served to others only from the next step on.
	received := map[*fakeAgent][]int{}
	for _, name := range cluster.names {
		agent := cluster.agents[name]
		if agent.down {
			continue
		}
		for _, set := range agent.orderedSets {
			for _, transfer := range set.Copies {
				if !agent.holds[uint32(transfer.Part)] && cluster.copyPart(agent, transfer) {
					received[agent] = append(received[agent], transfer.Part)
				}
			}
		}
	}
	for agent, parts := range received {
		for _, part := range parts {
			agent.holds[uint32(part)] = true
			delete(agent.failures, part)
		}
	}
}

// copyPart tries the sources of a transfer in order until one works. It records the failures of the
// others and returns whether any source worked.
func (cluster *fakeCluster) copyPart(agent *fakeAgent, transfer api.StageCopy) bool {
	for _, source := range transfer.Sources {
		reason, corrupt := cluster.sourceFailure(source, transfer.Part)
		if reason != "" {
			agent.failures[transfer.Part] = append(agent.failures[transfer.Part], api.StageFailure{Source: source, Reason: reason, Corrupt: corrupt})
			continue
		}
		if source.Store {
			agent.copiesFromStore++
		} else {
			agent.copiesFromPeers++
		}
		return true
	}
	return false
}

// sourceFailure returns why a source cannot serve a part now, or "" if it can, and whether it serves corrupt
// data.
func (cluster *fakeCluster) sourceFailure(source api.StageSource, part int) (reason string, corrupt bool) {
	peer := cluster.agents[machineOfAddress(source.Peer)]
	switch {
	case source.Store && cluster.storeDown, peer != nil && peer.down:
		return "reset", false
	case peer != nil && peer.servesCorruptData:
		return "wrong bytes", true
	case peer != nil && !peer.holds[uint32(part)]:
		return "missing", false
	}
	return "", false
}

// machineOfAddress returns the name of the machine whose agent has an address, or "" for an empty address.
func machineOfAddress(address string) string {
	if len(address) < 2 {
		return ""
	}
	return address[:len(address)-2]
}

// demandAll returns demands for each of the parts on every machine.
func demandAll(cluster *fakeCluster, parts ...int) (demands []Demand) {
	for _, part := range parts {
		for _, name := range cluster.names {
			demands = append(demands, Demand{name, inventory, part})
		}
	}
	return demands
}

// allConfirmed returns whether every demand is confirmed.
func (cluster *fakeCluster) allConfirmed(planner *Planner, demands []Demand) bool {
	for _, demand := range demands {
		if !planner.Confirmed(demand.Machine, demand.Dataset, demand.Part) {
			return false
		}
	}
	return true
}
