package staging

import (
	"slices"
	"time"

	"switchferry/api"
	"switchferry/replicas"
	"switchferry/tuning"
)

// Plan updates all orders to the given demands, which are sorted by decreasing urgency, and chooses the
// sources from which missing parts are copied. Parts that are not demanded may be evicted. Plan
// returns the sorted names of the machines whose order must be sent now.
func (planner *Planner) Plan(demands []Demand, now time.Time) []string {
	planner.updateDesired(demands)
	planner.counts.recount(planner.agents, planner.agentsByAddress)
	planner.queues.reset(planner.agents)
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
		storeOnly := !planner.limits.AllowPeers || len(snapshot.Holders(demand.Dataset.Name, demand.Part)) == 0
		planner.queues.add(agent, demand, missing, storeOnly)
	}
	return planner.dueOrders(changed, now)
}

// lacks returns whether a demanded part is in the agent's desired state but neither pinned by the agent
// nor recorded in the index as held by its machine.
func (agent *agentState) lacks(demand Demand, snapshot *replicas.Snapshot) bool {
	desired := agent.desired[demand.Dataset.Name]
	return desired != nil && desired.parts.Contains(uint32(demand.Part)) && !desired.pinned.Contains(uint32(demand.Part)) &&
		!snapshot.Has(agent.id, demand.Dataset.Name, demand.Part)
}

// planTransfer adds a transfer of the demanded part if a source is available. If the part already has
// a transfer and all of its sources failed, planTransfer tries to replace them. It returns the number
// of missing bytes and whether the agent's order changed.
func (planner *Planner) planTransfer(agent *agentState, demand Demand, snapshot *replicas.Snapshot, now time.Time) (missing float64, changed bool) {
	desired := agent.desired[demand.Dataset.Name]
	missing = float64(demand.Dataset.PartBytes(demand.Part))
	if transfer := desired.transfers[demand.Part]; transfer != nil {
		missing -= float64(transfer.receivedBytes)
		return missing, planner.replaceFailedSources(agent, demand, transfer, snapshot, now)
	}
	sources := planner.chooseSources(agent, demand, snapshot, now, nil)
	if sources == nil {
		return missing, false
	}
	desired.transfers[demand.Part] = &partTransfer{sources: sources, lastProgress: now, failures: map[api.StageSource]string{}}
	planner.counts.add(agent, partKey{demand.Dataset.Name, demand.Part}, sources[0], planner.agentsByAddress)
	planner.PlannedTransfers++
	return missing, true
}

// dueOrders increments the order number of the changed agents. It returns the sorted names of the
// machines whose order must be sent: those whose order changed, and those that have not acknowledged
// their order within tuning.StageResendDelay.
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
		if changed[agent] || agent.appliedOrder != agent.orderNumber && now.Sub(agent.orderSentAt) >= tuning.StageResendDelay {
			agent.orderSentAt = now
			due = append(due, agent.name)
		}
	}
	slices.Sort(due)
	return due
}
