package staging

import (
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/dataset"
)

// demandedParts maps the name of each dataset demanded on a machine to the demanded parts.
type demandedParts map[string]*roaring.Bitmap

// updateDesired sets the desired state of every agent to the demanded parts that fit into its cache.
// Earlier demands take precedence.
func (planner *Planner) updateDesired(demands []Demand) {
	demanded, summaries := planner.fitDemands(demands)
	for _, agent := range planner.agents {
		removed := planner.removeUndemanded(agent, demanded[agent])
		changed := planner.updateDemanded(agent, demanded[agent], summaries)
		if removed || changed {
			agent.orderNumber++
			agent.orderSentAt = time.Time{}
		}
	}
}

// fitDemands returns the demanded parts that fit into each agent's cache, and the summaries of their
// datasets by name. The first demand of an agent is kept even if it is larger than the cache. It sets
// desiredBytes of every agent.
func (planner *Planner) fitDemands(demands []Demand) (map[*agentState]demandedParts, map[string]*dataset.Summary) {
	demanded := map[*agentState]demandedParts{}
	summaries := map[string]*dataset.Summary{}
	for _, agent := range planner.agents {
		agent.desiredBytes = 0
	}
	for _, demand := range demands {
		agent := planner.agents[demand.Machine]
		if agent == nil {
			continue
		}
		summaries[demand.Dataset.Name] = demand.Dataset
		if demanded[agent] == nil {
			demanded[agent] = demandedParts{}
		}
		parts := demanded[agent][demand.Dataset.Name]
		if parts == nil {
			parts = roaring.New()
			demanded[agent][demand.Dataset.Name] = parts
		}
		size := float64(demand.Dataset.PartBytes(demand.Part))
		overQuota := agent.cacheQuota > 0 && agent.desiredBytes > 0 && agent.desiredBytes+size > float64(agent.cacheQuota)
		if overQuota || parts.Contains(uint32(demand.Part)) {
			continue
		}
		agent.desiredBytes += size
		parts.Add(uint32(demand.Part))
	}
	return demanded, summaries
}

// removeUndemanded removes from the agent's desired state the datasets that are no longer demanded,
// and cancels their transfers. It returns whether there were any.
func (planner *Planner) removeUndemanded(agent *agentState, demanded demandedParts) (removed bool) {
	for name, desired := range agent.desired {
		if parts := demanded[name]; parts != nil && !parts.IsEmpty() {
			continue
		}
		for part := range desired.transfers {
			planner.cancelTransfer(agent, desired, part)
		}
		delete(agent.desired, name)
		removed = true
	}
	return removed
}

// updateDemanded sets the desired parts of each demanded dataset and cancels the transfers of parts
// that are no longer desired. It returns whether the desired state changed.
func (planner *Planner) updateDemanded(agent *agentState, demanded demandedParts, summaries map[string]*dataset.Summary) (changed bool) {
	for name, parts := range demanded {
		if parts.IsEmpty() {
			continue
		}
		desired := agent.desired[name]
		if desired == nil {
			desired = &desiredDataset{
				summary:   summaries[name],
				parts:     roaring.New(),
				pinned:    roaring.New(),
				transfers: map[int]*partTransfer{},
			}
			agent.desired[name] = desired
		}
		if parts.Equals(desired.parts) {
			continue
		}
		changed = true
		if !roaring.AndNot(parts, desired.parts).IsEmpty() {
			desired.addedInOrder = agent.orderNumber + 1
		}
		for part := range desired.transfers {
			if !parts.Contains(uint32(part)) {
				planner.cancelTransfer(agent, desired, part)
			}
		}
		desired.parts = parts
	}
	return changed
}
