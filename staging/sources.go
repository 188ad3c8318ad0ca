package staging

import (
	"cmp"
	"slices"
	"time"

	"switchferry/api"
	"switchferry/replicas"
	"switchferry/tuning"
)

// chooseSources returns the sources for a part, best first, or nil if the transfer has to wait. Peers
// that hold the part are preferred, those with the fewest outgoing transfers first; peers in failed
// are excluded. The store is used only if no usable peer holds the part and no other machine is
// receiving it, so that each part is copied from the store only once.
func (planner *Planner) chooseSources(agent *agentState, demand Demand, snapshot *replicas.Snapshot, now time.Time, failed map[api.StageSource]string) []api.StageSource {
	if agent.address == "" || agent.incoming >= planner.limits.TransfersPerLink {
		return nil
	}
	peers, busy := planner.availablePeers(agent, demand, snapshot, now, failed)
	if len(peers) > 0 {
		var sources []api.StageSource
		for _, peer := range peers[:min(len(peers), tuning.StageSourcesPerPart)] {
			sources = append(sources, api.StageSource{Peer: peer.address})
		}
		return sources
	}
	if busy || planner.counts.fromStore >= planner.limits.StoreTransfers || planner.limits.AllowPeers && planner.isProgressing(demand.Dataset.Name, demand.Part, now) {
		return nil
	}
	return []api.StageSource{{Store: true}}
}

// availablePeers returns the other agents that can serve a part now, those with the fewest outgoing
// transfers first. busy says that at least one usable peer was left out only because it already
// serves the maximum number of transfers.
func (planner *Planner) availablePeers(agent *agentState, demand Demand, snapshot *replicas.Snapshot, now time.Time, failed map[api.StageSource]string) (peers []*agentState, busy bool) {
	if !planner.limits.AllowPeers {
		return nil, false
	}
	for _, machineID := range snapshot.Holders(demand.Dataset.Name, demand.Part) {
		peer := planner.agentsByID[machineID]
		if peer == nil || peer == agent || peer.address == "" || planner.corruptPeers[peer.address] || now.Sub(peer.lastHeartbeat) > tuning.StageSilenceTimeout {
			continue
		}
		if _, hasFailed := failed[api.StageSource{Peer: peer.address}]; hasFailed {
			continue
		}
		if peer.outgoing >= planner.limits.TransfersPerLink {
			busy = true
			continue
		}
		peers = append(peers, peer)
	}
	slices.SortFunc(peers, func(peer, other *agentState) int {
		return cmp.Or(cmp.Compare(peer.outgoing, other.outgoing), cmp.Compare(peer.name, other.name))
	})
	return peers, busy
}

// isProgressing returns whether a machine is receiving the part by a transfer that still has a source
// that did not fail, and that made progress within tuning.StageProgressTimeout.
func (planner *Planner) isProgressing(datasetName string, part int, now time.Time) bool {
	if planner.counts.byPart[partKey{datasetName, part}] == 0 {
		return false
	}
	for _, agent := range planner.agents {
		desired := agent.desired[datasetName]
		if desired == nil {
			continue
		}
		transfer := desired.transfers[part]
		if transfer != nil && len(transfer.failures) < len(transfer.sources) && now.Sub(transfer.lastProgress) < tuning.StageProgressTimeout {
			return true
		}
	}
	return false
}

// replaceFailedSources replaces the sources of a transfer if all of them failed and others are
// available. It returns whether it did. Otherwise the transfer is unchanged, and the agent retries
// its sources with increasing backoff.
func (planner *Planner) replaceFailedSources(agent *agentState, demand Demand, transfer *partTransfer, snapshot *replicas.Snapshot, now time.Time) bool {
	if !planner.allSourcesFailed(transfer) {
		return false
	}
	desired := agent.desired[demand.Dataset.Name]
	// The transfer itself must not count against the limits while its new sources are chosen.
	planner.cancelTransfer(agent, desired, demand.Part)
	sources := planner.chooseSources(agent, Demand{agent.name, desired.summary, demand.Part}, snapshot, now, transfer.failures)
	replaced := sources != nil && !slices.Equal(sources, transfer.sources)
	next := &partTransfer{
		sources:       transfer.sources,
		receivedBytes: transfer.receivedBytes,
		lastProgress:  transfer.lastProgress,
		failures:      transfer.failures,
	}
	if replaced {
		next.sources = sources
		next.failures = map[api.StageSource]string{}
	}
	desired.transfers[demand.Part] = next
	planner.counts.add(agent, partKey{desired.summary.Name, demand.Part}, next.sources[0], planner.agentsByAddress)
	return replaced
}

// allSourcesFailed returns whether every source of a transfer either failed, or served corrupt data to
// any machine.
func (planner *Planner) allSourcesFailed(transfer *partTransfer) bool {
	for _, source := range transfer.sources {
		_, failed := transfer.failures[source]
		corrupt := source.Peer != "" && planner.corruptPeers[source.Peer]
		if !failed && !corrupt {
			return false
		}
	}
	return true
}
