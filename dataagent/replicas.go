package dataagent

import (
	"log/slog"
	"maps"
	"slices"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/dataset"
)

// replica is what the cache holds of a dataset: the parts all of whose chunks are there. A replica
// is never changed.
type replica struct {
	manifest       *dataset.Manifest
	manifestDigest dataset.Digest
	parts          *roaring.Bitmap
}

// Version counts the changes of what the agent holds.
func (agent *Agent) Version() uint64 {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.replicasVersion
}

// hasPart returns whether all chunks of a part are in the cache.
func (agent *Agent) hasPart(manifest *dataset.Manifest, part int) bool {
	for _, chunk := range partChunks(manifest, part) {
		if !agent.cache.Has(chunk) {
			return false
		}
	}
	return true
}

// updateReplica determines which parts of a dataset the cache holds.
func (agent *Agent) updateReplica(manifest *dataset.Manifest, manifestDigest dataset.Digest) {
	parts := roaring.New()
	for part := range manifest.PartCount() {
		if agent.hasPart(manifest, part) {
			parts.Add(uint32(part))
		}
	}
	agent.mu.Lock()
	defer agent.mu.Unlock()
	held := agent.replicas[manifestDigest.String()]
	if held != nil && held.parts.Equals(parts) || held == nil && parts.IsEmpty() {
		return
	}
	agent.replicas[manifestDigest.String()] = &replica{manifest, manifestDigest, parts}
	agent.replicasVersion++
}

// refreshReplicas updates all replicas if the cache lost chunks since the last call, so that a part
// that lost one is not reported as held. Manifests of undesired datasets without parts are removed.
func (agent *Agent) refreshReplicas() {
	lost := agent.cache.LostChunks()
	agent.mu.Lock()
	if lost == agent.lostChunks {
		agent.mu.Unlock()
		return
	}
	agent.lostChunks = lost
	replicas := slices.Collect(maps.Values(agent.replicas))
	agent.mu.Unlock()
	for _, held := range replicas {
		agent.updateReplica(held.manifest, held.manifestDigest)
		agent.mu.Lock()
		unused := agent.replicas[held.manifestDigest.String()].parts.IsEmpty() && agent.desired[held.manifest.Name] == nil
		if unused {
			delete(agent.replicas, held.manifestDigest.String())
		}
		agent.mu.Unlock()
		if unused {
			agent.cache.RemoveManifest(held.manifestDigest)
		}
	}
}

// removeDataset deletes a removed dataset, except the chunks that another dataset on this machine
// has as well. A dataset that the order still asks for stays.
func (agent *Agent) removeDataset(manifestDigest string) {
	held, shared := agent.removableReplica(manifestDigest)
	if held == nil {
		return
	}
	slog.Info("dataset removed", "dataset", held.manifest.Name)
	for _, chunk := range held.manifest.Chunks {
		if !shared[chunk.Digest] {
			agent.cache.RemoveChunk(chunk.Digest)
		}
	}
	// Shared chunks are no longer reported as parts of this dataset.
	agent.mu.Lock()
	delete(agent.replicas, manifestDigest)
	agent.replicasVersion++
	agent.mu.Unlock()
	agent.cache.RemoveManifest(held.manifestDigest)
	agent.refreshReplicas()
}

// removableReplica returns the replica of a dataset and the chunks of all other replicas. It returns
// nil if there is no replica, or the order asks for the dataset.
func (agent *Agent) removableReplica(manifestDigest string) (held *replica, shared map[dataset.Digest]bool) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	for _, desired := range agent.desired {
		if desired.manifestDigest.String() == manifestDigest {
			return nil, nil
		}
	}
	shared = map[dataset.Digest]bool{}
	for digest, other := range agent.replicas {
		if digest == manifestDigest {
			continue
		}
		for _, chunk := range other.manifest.Chunks {
			shared[chunk.Digest] = true
		}
	}
	return agent.replicas[manifestDigest], shared
}
