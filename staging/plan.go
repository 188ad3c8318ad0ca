package staging

import (
	"slices"
	"time"

	"switchferry/api"
	"switchferry/replicas"
	"switchferry/tuning"
)

// Plan brings all orders in line with the demands, the most urgent of which come first, and
// decides which parts are copied from where. Parts that are not demanded may be evicted. It
// returns the names of the machines whose order must be sent now, sorted.
func (planner *Planner) Plan(demands []Demand, now time.Time) []string {
	planner.updateDesired(demands)
	planner.recountTransfers()
	planner.resetQueues()
	snapshot := planner.index.Snapshot()
	changed := map[*agentState]bool{}
	for _, demand := range demands {
		agent := planner.agents[demand.Machine]
		if agent == nil || !agent.lacks(demand, snapshot) {
			continue
		}
		missing, updated := planner.planTransfer(agent, demand, snapshot, now)
		if updated {
			changed[agent] = true
		}
		planner.queueBytes(agent, demand, missing, snapshot)
	}
	return planner.dueOrders(changed, now)
}

// lacks returns whether a demanded part is in the agent's desired state but not on its machine.
func (agent *agentState) lacks(demand Demand, snapshot *replicas.Snapshot) bool {
	desired := agent.desired[demand.Set.Name]
	return desired != nil && desired.parts.Contains(uint32(demand.Part)) && !desired.pinned.Contains(uint32(demand.Part)) &&
		!snapshot.Has(agent.id, demand.Set.Name, demand.Part)
}

// planTransfer starts the transfer of a part if a source is available, or gives a transfer whose
// sources all failed other sources. It returns how many bytes of the part are missing, and
// whether the agent's order changed.
func (planner *Planner) planTransfer(agent *agentState, demand Demand, snapshot *replicas.Snapshot, now time.Time) (missing float64, changed bool) {
	desired := agent.desired[demand.Set.Name]
	missing = float64(demand.Set.PartBytes(demand.Part))
	if transfer := desired.transfers[demand.Part]; transfer != nil {
		missing -= float64(transfer.receivedBytes)
		return missing, planner.replaceFailedSources(agent, demand, transfer, snapshot, now)
	}
	sources := planner.chooseSources(agent, demand, snapshot, now, nil)
	if sources == nil {
		return missing, false
	}
	desired.transfers[demand.Part] = &partTransfer{sources: sources, lastProgress: now, failures: map[api.StageSource]string{}}
	planner.countTransfer(agent, demand.Set.Name, demand.Part, sources[0])
	planner.Planned++
	return missing, true
}

// resetQueues clears what is queued on the links and at the store.
func (planner *Planner) resetQueues() {
	planner.queuedStoreBytes = 0
	clear(planner.missingBytes)
	for _, agent := range planner.agents {
		agent.queuedBytes = 0
	}
}

// queueBytes adds the missing bytes of a part to the queue of the machine's link, and to the
// store's if no machine holds the part.
func (planner *Planner) queueBytes(agent *agentState, demand Demand, missing float64, snapshot *replicas.Snapshot) {
	key := partKey{demand.Set.Name, demand.Part}
	if planner.missingBytes[key] == nil {
		planner.missingBytes[key] = map[replicas.MachineID]float64{}
	}
	planner.missingBytes[key][agent.id] = missing
	agent.queuedBytes += missing
	if !planner.limits.Peers || len(snapshot.Holders(demand.Set.Name, demand.Part)) == 0 {
		planner.queuedStoreBytes += missing
	}
}

// dueOrders numbers the orders of the changed agents. It returns the machines whose order must
// be sent: those that changed, and those that did not acknowledge their order in time.
func (planner *Planner) dueOrders(changed map[*agentState]bool, now time.Time) []string {
	var due []string
	for _, agent := range planner.agents {
		if agent.address == "" {
			continue
		}
		agent.planned = true
		if agent.removalsChanged {
			changed[agent] = true
			agent.removalsChanged = false
		}
		if changed[agent] {
			agent.orderNumber++
		}
		if changed[agent] || agent.appliedOrder != agent.orderNumber && now.Sub(agent.orderSentAt) >= tuning.StageResend {
			agent.orderSentAt = now
			due = append(due, agent.name)
		}
	}
	slices.Sort(due)
	return due
}

// recountTransfers counts the transfers on each link from scratch. Agents that were removed and
// added meanwhile may have been counted under an address that another agent has now.
func (planner *Planner) recountTransfers() {
	clear(planner.transfersByPart)
	planner.storeTransfers = 0
	for _, agent := range planner.agents {
		agent.incoming, agent.outgoing = 0, 0
	}
	for _, agent := range planner.agents {
		for name, desired := range agent.desired {
			for part, transfer := range desired.transfers {
				planner.countTransfer(agent, name, part, transfer.sources[0])
			}
		}
	}
}

// countTransfer counts a transfer on the links that it uses, as if it came from its first source.
func (planner *Planner) countTransfer(agent *agentState, datasetName string, part int, source api.StageSource) {
	agent.incoming++
	planner.transfersByPart[partKey{datasetName, part}]++
	if source.Store {
		planner.storeTransfers++
	} else if peer := planner.agentsByAddress[source.Peer]; peer != nil {
		peer.outgoing++
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

// cancelTransfer removes the transfer of a part, if there is one, and reverts countTransfer.
func (planner *Planner) cancelTransfer(agent *agentState, desired *desiredDataset, part int) {
	transfer := desired.transfers[part]
	if transfer == nil {
		return
	}
	delete(desired.transfers, part)
	agent.incoming--
	key := partKey{desired.summary.Name, part}
	planner.transfersByPart[key]--
	if planner.transfersByPart[key] <= 0 {
		delete(planner.transfersByPart, key)
	}
	if source := transfer.sources[0]; source.Store {
		planner.storeTransfers--
	} else if peer := planner.agentsByAddress[source.Peer]; peer != nil {
		peer.outgoing--
	}
}
