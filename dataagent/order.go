package dataagent

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/google/renameio/v2"

	"switchferry/api"
	"switchferry/dataset"
)

// stateFile is the name of the file in the cache's directory that contains the storedState.
const stateFile = "state.json"

// storedState is the state that must survive a crash of the agent, since the agent may have reported it
// to the controllers.
type storedState struct {
	Incarnation uint64         `json:"session"`
	Term        uint64         `json:"helm"`
	OrderNumber uint64         `json:"order"`
	Sets        []api.StageSet `json:"sets"`
}

// desiredDataset is the desired state of one dataset in an order, and the progress towards it.
// Agent.mu guards its fields. Only the reconciler sets the manifest of a dataset in the current order, so
// the reconciler reads it without the lock.
type desiredDataset struct {
	set            api.StageSet
	manifestDigest dataset.Digest
	// manifest is nil until it is loaded.
	manifest *dataset.Manifest
	// pinned contains the parts whose chunks are pinned in the cache for this dataset.
	pinned *roaring.Bitmap
	// verified contains the pinned parts that are complete, have the right digests, and are linked for
	// tasks.
	verified *roaring.Bitmap
}

// restore loads the stored state, starts a new incarnation, adopts the stored order again, and removes
// input links of parts that the order does not ask for.
func (agent *Agent) restore() error {
	raw, err := os.ReadFile(filepath.Join(agent.options.Dir, stateFile))
	if err == nil {
		err = json.Unmarshal(raw, &agent.state)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%s: %w; if no task runs on this machine, the cache directory can be emptied", stateFile, err)
	}
	agent.state.Incarnation++
	if err := agent.saveState(agent.state); err != nil {
		return err
	}
	for _, digest := range agent.cache.Manifests() {
		if manifest, _, err := agent.cache.Manifest(digest); err == nil {
			agent.updateReplica(manifest, digest)
		}
	}
	agent.adoptOrder(agent.state)
	for name, parts := range agent.cache.LinkedInputs() {
		for _, part := range parts {
			if desired := agent.desired[name]; desired == nil || !desired.set.Parts.Contains(uint32(part)) {
				agent.cache.UnlinkInputs(name, part)
			}
		}
	}
	return nil
}

// saveState atomically stores the state on disk.
func (agent *Agent) saveState(state storedState) error {
	raw, err := json.Marshal(state)
	if err != nil {
		return fmt.Errorf("encode %s: %w", stateFile, err)
	}
	agent.cache.beforeStep("state")
	return renameio.WriteFile(filepath.Join(agent.options.Dir, stateFile), raw, filePermission)
}

// Apply adopts an order. It returns false, and changes nothing, if the order is from an older term,
// older than the current order of the same term, or for another incarnation of the agent. The order is
// stored on disk before it takes effect, so that parts reported as pinned stay pinned after a crash. The
// error is that of storing it; the order then has no effect.
func (agent *Agent) Apply(order *api.StageOrder) (bool, error) {
	agent.orderMu.Lock()
	defer agent.orderMu.Unlock()
	agent.mu.Lock()
	state := agent.state
	agent.mu.Unlock()
	outdated := order.Term < state.Term || order.Term == state.Term && order.Sequence < state.OrderNumber
	if outdated || order.Incarnation != 0 && order.Incarnation != state.Incarnation {
		return false, nil
	}
	if order.Term != state.Term || order.Sequence != state.OrderNumber {
		state.Term, state.OrderNumber, state.Sets = order.Term, order.Sequence, order.Sets
		if err := agent.saveState(state); err != nil {
			return false, err
		}
		agent.adoptOrder(state)
	}
	for _, manifestDigest := range order.DropManifests {
		agent.removeDataset(manifestDigest)
	}
	agent.mu.Lock()
	agent.knownVersion = order.KnownVersion
	outOfDate := agent.knownVersion != agent.replicasVersion
	agent.mu.Unlock()
	if outOfDate {
		agent.requestHeartbeat()
	}
	return true, nil
}

// adoptOrder makes a stored order the current one: it unpins the parts that the order does not ask for,
// cancels the transfers that the order does not list, and starts a reconciliation.
func (agent *Agent) adoptOrder(state storedState) {
	next := parseSets(state.Sets)
	agent.mu.Lock()
	old := agent.desired
	for name, desired := range next {
		if previous := old[name]; previous != nil && previous.manifestDigest == desired.manifestDigest {
			desired.manifest, desired.pinned, desired.verified = previous.manifest, previous.pinned, previous.verified
			delete(old, name)
		}
	}
	agent.state, agent.desired = state, next
	// The parts to unpin are determined before mu is released, since the reconciler may pin parts of
	// the new order as soon as mu is released.
	unpinned := map[*desiredDataset]*roaring.Bitmap{}
	for _, desired := range old {
		unpinned[desired] = desired.pinned.Clone()
	}
	for _, desired := range next {
		if desired.manifest != nil {
			unpinned[desired] = roaring.AndNot(desired.pinned, desired.set.Parts.Bitmap)
		}
	}
	agent.mu.Unlock()
	for desired, parts := range unpinned {
		agent.unpinParts(desired, parts)
	}
	agent.cancelStaleTransfers()
	agent.requestReconciliation()
}

// parseSets returns the desired state of each dataset in an order, by dataset name. Malformed sets are
// logged and skipped.
func parseSets(sets []api.StageSet) map[string]*desiredDataset {
	parsed := map[string]*desiredDataset{}
	for _, set := range sets {
		digest, err := dataset.ParseDigest(set.Manifest)
		if err != nil || set.Parts.Bitmap == nil {
			slog.Error("malformed order", "dataset", set.Dataset, "err", err)
			continue
		}
		parsed[set.Dataset] = &desiredDataset{set: set, manifestDigest: digest, pinned: roaring.New(), verified: roaring.New()}
	}
	return parsed
}

// unpinParts removes the input links of the given parts, and unpins the chunks of those that are pinned.
// The chunks are unpinned while mu is held, so that the pins in the cache always match the pinned parts.
func (agent *Agent) unpinParts(desired *desiredDataset, parts *roaring.Bitmap) {
	for iterator := parts.Iterator(); iterator.HasNext(); {
		agent.cache.UnlinkInputs(desired.set.Dataset, int(iterator.Next()))
	}
	agent.mu.Lock()
	defer agent.mu.Unlock()
	for iterator := roaring.And(desired.pinned, parts).Iterator(); iterator.HasNext(); {
		for _, chunk := range partChunks(desired.manifest, int(iterator.Next())) {
			agent.cache.Unpin(chunk.Digest)
		}
	}
	desired.pinned = roaring.AndNot(desired.pinned, parts)
	desired.verified = roaring.AndNot(desired.verified, parts)
}

// partChunks returns the chunks of a part.
func partChunks(manifest *dataset.Manifest, part int) []dataset.Chunk {
	from, to := manifest.PartChunks(part)
	return manifest.Chunks[from:to]
}
