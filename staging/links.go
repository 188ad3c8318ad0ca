package staging

import (
	"switchferry/api"
	"switchferry/replicas"
)

// transferCounts counts the transfers from the store and of each part. It also maintains the counts of
// transfers per machine, which are the fields incoming and outgoing of agentState. Each transfer is
// counted as coming from its first source.
type transferCounts struct {
	// fromStore counts the transfers from the store.
	fromStore int
	// byPart counts the transfers of each part from any source.
	byPart map[partKey]int
}

// recount recomputes all counts. Incremental updates become wrong when agents are removed and added,
// because an address under which a transfer was counted may now belong to another agent.
func (counts *transferCounts) recount(agents, agentsByAddress map[string]*agentState) {
	clear(counts.byPart)
	counts.fromStore = 0
	for _, agent := range agents {
		agent.incoming, agent.outgoing = 0, 0
	}
	for _, agent := range agents {
		for name, desired := range agent.desired {
			for part, transfer := range desired.transfers {
				counts.add(agent, partKey{name, part}, transfer.sources[0], agentsByAddress)
			}
		}
	}
}

// add counts a transfer from source to an agent's machine.
func (counts *transferCounts) add(agent *agentState, key partKey, source api.StageSource, agentsByAddress map[string]*agentState) {
	agent.incoming++
	counts.byPart[key]++
	if source.Store {
		counts.fromStore++
	} else if peer := agentsByAddress[source.Peer]; peer != nil {
		peer.outgoing++
	}
}

// remove reverts the effect of add.
func (counts *transferCounts) remove(agent *agentState, key partKey, source api.StageSource, agentsByAddress map[string]*agentState) {
	agent.incoming--
	counts.byPart[key]--
	if counts.byPart[key] <= 0 {
		delete(counts.byPart, key)
	}
	if source.Store {
		counts.fromStore--
	} else if peer := agentsByAddress[source.Peer]; peer != nil {
		peer.outgoing--
	}
}

// cancelAllTransfers removes all transfers to an agent's machine.
func (planner *Planner) cancelAllTransfers(agent *agentState) {
	for _, desired := range agent.desired {
		for part := range desired.transfers {
			planner.cancelTransfer(agent, desired, part)
		}
	}
}

// cancelTransfer removes the transfer of a part, if there is one.
func (planner *Planner) cancelTransfer(agent *agentState, desired *desiredDataset, part int) {
	transfer := desired.transfers[part]
	if transfer == nil {
		return
	}
	delete(desired.transfers, part)
	planner.counts.remove(agent, partKey{desired.summary.Name, part}, transfer.sources[0], planner.agentsByAddress)
}

// byteQueues holds the bytes that were still to be transferred as of the last call of Plan. The bytes
// to be received by each machine are in agentState.queuedBytes.
type byteQueues struct {
	// fromStore is the number of bytes that have to come from the store.
	fromStore float64
	// missing maps each part to the number of its bytes that each machine still has to receive.
	missing map[partKey]map[replicas.MachineID]float64
}

// reset clears the queues and sets queuedBytes of all agents to 0.
func (queues *byteQueues) reset(agents map[string]*agentState) {
	queues.fromStore = 0
	clear(queues.missing)
	for _, agent := range agents {
		agent.queuedBytes = 0
	}
}

// add adds the missing bytes of a demanded part. storeOnly says that they have to come from the store.
func (queues *byteQueues) add(agent *agentState, demand Demand, missing float64, storeOnly bool) {
	key := partKey{demand.Dataset.Name, demand.Part}
	if queues.missing[key] == nil {
		queues.missing[key] = map[replicas.MachineID]float64{}
	}
	queues.missing[key][agent.id] = missing
	agent.queuedBytes += missing
	if storeOnly {
		queues.fromStore += missing
	}
}
