package staging

import (
	"maps"
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/api"
	"switchferry/replicas"
)

// ApplyHeartbeat updates the state of the machine's agent. If a heartbeat that is as new or newer was
// already applied, it only updates the time of the last heartbeat and returns false.
func (planner *Planner) ApplyHeartbeat(heartbeat *api.StageHeartbeat, now time.Time) bool {
	agent := planner.agents[heartbeat.Machine]
	if agent == nil {
		agent = planner.addAgent(heartbeat.Machine)
	}
	agent.lastHeartbeat = now
	if heartbeat.Incarnation < agent.incarnation || heartbeat.Incarnation == agent.incarnation && heartbeat.Seq <= agent.sequence {
		return false
	}
	planner.updateIdentity(agent, heartbeat)
	agent.appliedOrder = 0
	if heartbeat.Term == planner.term {
		agent.appliedOrder = heartbeat.Sequence
	}
	if heartbeat.HoldingsComplete {
		planner.applyReplicas(agent, heartbeat)
	}
	planner.applyPinned(agent, heartbeat.Pinned)
	agent.cacheFull = false
	for i := range heartbeat.Copies {
		planner.applyProgress(agent, &heartbeat.Copies[i], now)
	}
	return true
}

// updateIdentity stores the agent's incarnation, sequence number, address and cache size. A restarted agent
// has no running transfers, so its transfers are cancelled and its order is sent again.
func (planner *Planner) updateIdentity(agent *agentState, heartbeat *api.StageHeartbeat) {
	if heartbeat.Incarnation != agent.incarnation {
		planner.cancelAllTransfers(agent)
		agent.orderSentAt = time.Time{}
		agent.replicasVersion = 0
	}
	if agent.address != heartbeat.Address {
		delete(planner.agentsByAddress, agent.address)
		agent.address = heartbeat.Address
		planner.agentsByAddress[agent.address] = agent
	}
	agent.incarnation = heartbeat.Incarnation
	agent.sequence = heartbeat.Seq
	agent.cacheQuota = heartbeat.Quota
}

// applyReplicas stores the replicas that the agent holds, and records which of them belong to removed
// datasets.
func (planner *Planner) applyReplicas(agent *agentState, heartbeat *api.StageHeartbeat) {
	held := map[string]replicas.Replica{}
	removed := map[string]bool{}
	for _, replica := range heartbeat.Holdings {
		held[replica.Dataset] = replicas.Replica{PartCount: replica.PartCount, Parts: replica.Parts.Bitmap}
		if planner.removedManifests[replica.Dataset] != "" && !replica.Parts.IsEmpty() {
			removed[replica.Dataset] = true
		}
	}
	planner.index.Set(heartbeat.Machine, held)
	agent.replicasVersion = heartbeat.Version
	agent.removalsChanged = agent.removalsChanged || !maps.Equal(removed, agent.removedDatasets)
	agent.removedDatasets = removed
}

// applyPinned stores which desired parts the agent has pinned, and removes their transfers.
func (planner *Planner) applyPinned(agent *agentState, pinned []api.StageHolding) {
	for _, desired := range agent.desired {
		desired.pinned = roaring.New()
	}
	for _, replica := range pinned {
		desired := agent.desired[replica.Dataset]
		if desired == nil || desired.summary.ManifestDigest.String() != replica.Manifest {
			continue
		}
		desired.pinned = replica.Parts.Bitmap
		for part := range desired.transfers {
			if desired.pinned.Contains(uint32(part)) {
				planner.cancelTransfer(agent, desired, part)
			}
		}
	}
}

// applyProgress stores the progress and the failures of one transfer. A peer that served corrupt data
// is no longer used as a source.
func (planner *Planner) applyProgress(agent *agentState, progress *api.StageProgress, now time.Time) {
	agent.cacheFull = agent.cacheFull || progress.CacheFull
	desired := agent.desired[progress.Dataset]
	if desired == nil {
		return
	}
	transfer := desired.transfers[progress.Part]
	if transfer == nil {
		return
	}
	if progress.CopiedBytes != transfer.receivedBytes {
		transfer.receivedBytes = progress.CopiedBytes
		transfer.lastProgress = now
	}
	for _, failure := range progress.Failed {
		if _, known := transfer.failures[failure.Source]; !known {
			planner.SourceFailures++
			transfer.failures[failure.Source] = failure.Reason
		}
		if failure.Corrupt && failure.Source.Peer != "" {
			planner.corruptPeers[failure.Source.Peer] = true
		}
	}
}

// ApplyHint stores the replicas that a machine held according to a previous leader, unless the planner
// already knows the machine. Until the machine's agent sends a heartbeat, the machine gets no order,
// is not used as a source, and none of its parts is confirmed.
func (planner *Planner) ApplyHint(machine string, held map[string]replicas.Replica, now time.Time) {
	if planner.agents[machine] != nil {
		return
	}
	agent := planner.addAgent(machine)
	agent.lastHeartbeat = now
	planner.index.Set(machine, held)
}
