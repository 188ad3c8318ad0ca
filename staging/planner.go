// Package staging plans the copying of dataset parts to machines: which part is copied to which
// machine, from which source, and when. The planner is a state machine: its inputs are the agents'
// heartbeats, the demands for parts and the current time, and its outputs are orders. It does no I/O,
// takes no locks and reads no clock, and it does not know about jobs or why a part is demanded.
//
// Each machine has one order, which lists everything that the machine has to hold. An order carries
// the leader's term and an increasing number, and an agent rejects an order that is older than its
// current one. A part is confirmed as pinned once a heartbeat that reports it as pinned acknowledges
// an order of this term that is at least as new as the order since which the part has been requested
// without interruption. A confirmed part stays on the machine until the leader removes it from the
// order. Confirmation does not depend on clocks or timeouts.
//
// The protocol and its rationale are described in docs/data.md.
package staging

import (
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/replicas"
)

// firstOrderNumber is the number of an agent's first order in a term. That order is sent even if it is
// empty, since otherwise the order of a previous leader would keep its parts pinned indefinitely.
const firstOrderNumber = 1

// Limits are the capacities of the machines' links and of the store.
type Limits struct {
	// LinkRate is the bandwidth of a machine's link in each direction, and StoreRate the total
	// bandwidth of the store, in bytes per second. Zero means unknown; the rate is then ignored.
	LinkRate, StoreRate float64
	// TransfersPerLink is the maximum number of concurrent transfers to a machine, and also from a machine.
	// StoreTransfers is the maximum number of concurrent transfers from the store.
	TransfersPerLink, StoreTransfers int
	// AllowPeers allows machines to copy from one another. If it is false, every part comes from the
	// store.
	AllowPeers bool
}

// Demand requests one part of a dataset on one machine.
type Demand struct {
	Machine string
	Dataset *dataset.Summary
	Part    int
}

// Planner holds the state of all agents as known to the leader of one term, and the orders for them.
// It is not safe for concurrent use.
type Planner struct {
	term   uint64
	limits Limits
	index  *replicas.Index

	agents          map[string]*agentState
	agentsByAddress map[string]*agentState
	agentsByID      map[replicas.MachineID]*agentState

	counts transferCounts
	queues byteQueues

	// corruptPeers holds the addresses of agents that served corrupt data. They are not used as
	// sources for the rest of the term.
	corruptPeers map[string]bool
	// removedManifests maps the name of each permanently removed dataset to its manifest's digest.
	removedManifests map[string]string

	// PlannedTransfers counts the transfers that were planned, and SourceFailures the failures of
	// sources of transfers, since the term began.
	PlannedTransfers, SourceFailures int
}

// partKey identifies one part of a dataset.
type partKey struct {
	dataset string
	part    int
}

// agentState is the planner's state of one machine's agent.
type agentState struct {
	name, address string
	id            replicas.MachineID

	// incarnation and sequence identify the newest applied heartbeat.
	incarnation, sequence uint64
	lastHeartbeat         time.Time
	// replicasVersion is the version of the agent's replicas that is stored in the index.
	replicasVersion uint64
	// cacheQuota is the size of the agent's cache in bytes, 0 if unknown.
	cacheQuota int64
	// cacheFull says that the agent reported no space in its cache for a part that it had to copy.
	cacheFull bool

	// orderNumber is the number of the newest order, orderSentAt the time at which it was last
	// sent (zero if it was not sent), and appliedOrder the number of the newest order of this term
	// that the agent acknowledged (0 if none).
	orderNumber, appliedOrder uint64
	orderSentAt               time.Time
	// planned is set by the first call of Plan after the agent reported its address. Until then the
	// order is empty, and sending it would evict parts that tasks started by a previous leader are
	// reading.
	planned bool
	// desired is the state that the machine has to reach, by dataset name, and desiredBytes its
	// size.
	desired      map[string]*desiredDataset
	desiredBytes float64
	// removedDatasets is the set of removed datasets of which the agent still holds parts.
	// removalsChanged says that the set changed since the last order.
	removedDatasets map[string]bool
	removalsChanged bool

	// incoming and outgoing are the numbers of transfers to and from the machine.
	incoming, outgoing int
	// queuedBytes is the number of bytes that the machine still has to receive.
	queuedBytes float64
}

// desiredDataset is the desired state of one dataset on one machine, and the progress towards it.
type desiredDataset struct {
	summary *dataset.Summary
	parts   *roaring.Bitmap
	// addedInOrder is the number of the newest order that added parts.
	addedInOrder uint64
	// pinned is the set of parts that the newest heartbeat reported as pinned.
	pinned *roaring.Bitmap
	// transfers maps each part that is being copied to its transfer.
	transfers map[int]*partTransfer
}

// partTransfer is the transfer of one part to one machine.
type partTransfer struct {
	// sources lists the sources in the order in which the agent tries them; there is at least one.
	sources       []api.StageSource
	receivedBytes int64
	// lastProgress is the time at which receivedBytes last changed, initially the time at which the transfer
	// was planned.
	lastProgress time.Time
	// failures maps each source that failed to the reason.
	failures map[api.StageSource]string
}

// New returns a Planner for a term. It stores the replicas that the agents report in index.
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

// addAgent adds the state of a machine that is new to the planner.
func (planner *Planner) addAgent(machine string) *agentState {
	agent := &agentState{
		name:        machine,
		id:          planner.index.ID(machine),
		orderNumber: firstOrderNumber,
		desired:     map[string]*desiredDataset{},
	}
	planner.agents[machine] = agent
	planner.agentsByID[agent.id] = agent
	return agent
}

// RemoveMachine removes the state, the transfers and the replicas of a machine that no longer exists.
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

// RemoveDataset records that the dataset of this name, whose manifest has the given digest, was removed
// permanently. The caller must not demand it any more. Every agent that holds parts of it, now or in a
// later heartbeat, is ordered to delete them.
func (planner *Planner) RemoveDataset(name, manifest string) {
	if planner.removedManifests[name] != "" {
		return
	}
	planner.removedManifests[name] = manifest
	snapshot := planner.index.Snapshot()
	if !snapshot.HasReplicas(name) {
		return
	}
	for _, agent := range planner.agents {
		if snapshot.HeldPartCount(agent.id, name) == 0 {
			continue
		}
		if agent.removedDatasets == nil {
			agent.removedDatasets = map[string]bool{}
		}
		agent.removedDatasets[name] = true
		agent.removalsChanged = true
	}
}
