// Package staging plans the copying of dataset parts to machines: which part goes where, from
// which source, and in which order. The planner is a step function: it takes the agents'
// heartbeats and the demands for parts, and returns orders. It does no I/O, takes no lock and
// reads no clock, and it knows neither jobs nor the reason of a demand.
//
// Each machine has one order, which names everything that the machine shall hold. An order
// carries the leader's term and a number that only grows, and an agent refuses an older one.
// A part is confirmed as pinned by a heartbeat that acknowledges an order of this term which is
// not older than the order that first asked for the part without interruption since. From then
// on the part stays until the leader itself removes it from the order. No proof rests on time.
//
// The protocol and the reasons for it are described in docs/data.md.
package staging

import (
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/replicas"
)

// firstOrder is the number of an agent's first order in a term. It is sent even if it asks for
// nothing, so that an earlier leader's order does not keep parts for ever.
const firstOrder = 1

// Limits are the capacities of the machines' links and of the store.
type Limits struct {
	// LinkRate is what a machine's link carries in each direction, and StoreRate what the store
	// delivers, in bytes per second. Zero means unknown; the rate is then not considered.
	LinkRate, StoreRate float64
	// PerLink is how many transfers a machine receives, and how many it serves, at once.
	// AtStore is how many transfers the store serves at once.
	PerLink, AtStore int
	// Peers allows machines to copy from one another. Without it every part comes from the store.
	Peers bool
}

// Demand asks for one part of a dataset on one machine. Demands are given in order of urgency.
type Demand struct {
	Machine string
	Set     *dataset.Summary
	Part    int
}

// Planner holds what the leader of one term knows of the agents, and the orders that it gave
// them. It is not safe for concurrent use.
type Planner struct {
	term   uint64
	limits Limits
	index  *replicas.Index

	agents          map[string]*agentState
	agentsByAddress map[string]*agentState
	agentsByID      map[replicas.MachineID]*agentState

	counts transferCounts
	queues byteQueues

	// corruptPeers are the addresses of agents that served wrong bytes. They are not used as
	// sources any more in this term.
	corruptPeers map[string]bool
	// removedManifests maps each dataset that was removed for good to its manifest's digest.
	removedManifests map[string]string

	// Planned counts the transfers that were ordered and Failed those that a source failed,
	// since the term began.
	Planned, Failed int
}

// partKey identifies one part of a dataset.
type partKey struct {
	dataset string
	part    int
}

// agentState is what the planner knows of one machine's agent.
type agentState struct {
	name, address string
	id            replicas.MachineID

	// incarnation and sequence identify the newest heartbeat.
	incarnation, sequence uint64
	lastHeartbeat         time.Time
	// replicasVersion is the version of the agent's replicas that the index has.
	replicasVersion uint64
	// cacheQuota is the size of the agent's cache in bytes, 0 if unknown.
	cacheQuota int64
	// cacheFull says that the agent had no room for a part it was to copy.
	cacheFull bool

	// orderNumber is the number of the newest order, orderSentAt the time at which it was last
	// sent, and appliedOrder the newest order of this term that the agent acknowledged.
	orderNumber, appliedOrder uint64
	orderSentAt               time.Time
	// planned is set by the first call of Plan that sees the agent. Before it the order is
	// empty, and sending it would evict what an earlier leader's tasks read.
	planned bool
	// desired is what the machine shall hold, by dataset name, and desiredBytes its size.
	desired      map[string]*desiredDataset
	desiredBytes float64
	// removedDatasets are the removed datasets of which the agent still holds something;
	// removalsChanged says that they changed since the last order.
	removedDatasets map[string]bool
	removalsChanged bool

	// incoming and outgoing count the transfers to and from this machine.
	incoming, outgoing int
	// queuedBytes are the bytes that the machine has still to receive.
	queuedBytes float64
}

// desiredDataset is the part of an agent's order that concerns one dataset.
type desiredDataset struct {
	summary *dataset.Summary
	parts   *roaring.Bitmap
	// addedInOrder is the number of the order that last added a part.
	addedInOrder uint64
	// pinned are the parts that the newest heartbeat reported as pinned.
	pinned *roaring.Bitmap
	// transfers are the transfers in the order, by part.
	transfers map[int]*partTransfer
}

// partTransfer is the transfer of one part to one machine.
type partTransfer struct {
	// sources are tried in this order; there is at least one.
	sources       []api.StageSource
	receivedBytes int64
	// lastProgress is when receivedBytes last changed.
	lastProgress time.Time
	// failures are the sources that failed, with the reason.
	failures map[api.StageSource]string
}

// New returns the planner of a term. It stores what the agents report in index.
func New(term uint64, limits Limits, index *replicas.Index) *Planner {
	return &Planner{
		term:             term,
		limits:           limits,
		index:            index,
		agents:           map[string]*agentState{},
		agentsByAddress:  map[string]*agentState{},
		agentsByID:       map[replicas.MachineID]*agentState{},
		counts:           transferCounts{byPart: map[partKey]int{}},
		queues:           byteQueues{missing: map[partKey]map[replicas.MachineID]float64{}},
		corruptPeers:     map[string]bool{},
		removedManifests: map[string]string{},
	}
}

// addAgent adds the state of a machine that the planner does not know yet.
func (planner *Planner) addAgent(machine string) *agentState {
	agent := &agentState{
		name:        machine,
		id:          planner.index.ID(machine),
		orderNumber: firstOrder,
		desired:     map[string]*desiredDataset{},
	}
	planner.agents[machine] = agent
	planner.agentsByID[agent.id] = agent
	return agent
}

// RemoveMachine forgets a machine that no longer exists, and all that it held.
func (planner *Planner) RemoveMachine(machine string) {
	agent := planner.agents[machine]
	if agent == nil {
		return
	}
	planner.cancelAllTransfers(agent)
	delete(planner.agents, machine)
	delete(planner.agentsByID, agent.id)
	delete(planner.agentsByAddress, agent.address)
	planner.index.Remove(machine)
}

// RemoveDataset records that a dataset, identified by its manifest's digest, was removed for
// good. The caller must not demand it any more. Every agent that holds something of it, now or
// when it reports again, is ordered to delete it.
func (planner *Planner) RemoveDataset(name, manifest string) {
	if planner.removedManifests[name] != "" {
		return
	}
	planner.removedManifests[name] = manifest
	snapshot := planner.index.Snapshot()
	if !snapshot.Known(name) {
		return
	}
	for _, agent := range planner.agents {
		if snapshot.Count(agent.id, name) == 0 {
			continue
		}
		if agent.removedDatasets == nil {
			agent.removedDatasets = map[string]bool{}
		}
		agent.removedDatasets[name] = true
		agent.removalsChanged = true
	}
}
