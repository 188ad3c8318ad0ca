package dataagent

import (
	"log/slog"
	"maps"
	"slices"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/dataset"
)

// replica describes which parts of a dataset are in the cache. It is immutable.
type replica struct {
	manifest       *dataset.Manifest
	manifestDigest dataset.Digest
	// parts contains the parts all of whose chunks are in the cache.
	parts *roaring.Bitmap
}

// ReplicasVersion returns the version of the list of parts in the cache. It grows with every change of that list.
func (agent *Agent) ReplicasVersion() uint64 {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.replicasVersion
}

// hasPart reports whether all chunks of a part are in the cache.
func (agent *Agent) hasPart(manifest *dataset.Manifest, part int) bool {
	for _, chunk := range partChunks(manifest, part) {
		if !agent.cache.Has(chunk) {
			return false
		}
	}
	return true
}

// updateReplica determines which parts of a dataset are in the cache, and replaces the dataset's replica if
// they changed.
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

// refreshReplicas updates all replicas if the cache has lost chunks since the last call, so that
// incomplete parts are not reported as held. It removes replicas without parts, and their manifests, unless
// the order asks for the dataset.
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

// removeDataset deletes the chunks and the manifest of a dataset, except the chunks that another replica on
// this machine shares. It does nothing if the order asks for the dataset.
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
	// Without this, shared chunks would still be reported as parts of the removed dataset.
	agent.mu.Lock()
	delete(agent.replicas, manifestDigest)
	agent.replicasVersion++
	agent.mu.Unlock()
	agent.cache.RemoveManifest(held.manifestDigest)
	agent.refreshReplicas()
}

// removableReplica returns the replica of a dataset, and the chunks of all other replicas as shared. held is
// nil if there is no replica or the order asks for the dataset.
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
