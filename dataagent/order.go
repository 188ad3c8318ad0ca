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

// stateFile is the name of the file in the cache's directory that holds the storedState.
const stateFile = "state.json"

// storedState is what an agent must still know after a crash, since it may have told the
// controllers.
type storedState struct {
	Incarnation uint64         `json:"session"`
	Term        uint64         `json:"helm"`
	Order       uint64         `json:"order"`
	Sets        []api.StageSet `json:"sets"`
}

// desiredDataset is what the order asks for of one dataset. Agent.mu guards its fields; manifest is
// written by the reconciler only, which reads it without the lock.
type desiredDataset struct {
	set            api.StageSet
	manifestDigest dataset.Digest
	// manifest is nil until it was loaded.
	manifest *dataset.Manifest
	// pinned are the parts whose chunks are pinned in the cache for this dataset, and verified
	// those of them that are complete, checked and linked.
	pinned, verified *roaring.Bitmap
}

// restore loads the stored state, begins a new incarnation and adopts the stored order again.
func (agent *Agent) restore() error {
	raw, err := os.ReadFile(filepath.Join(agent.options.Dir, stateFile))
	if err == nil {
		err = json.Unmarshal(raw, &agent.state)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%s: %w; with no task on this machine the folder can be emptied", stateFile, err)
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

// saveState stores the state on disk, atomically.
func (agent *Agent) saveState(state storedState) error {
	raw, err := json.Marshal(state)
	if err != nil {
		return fmt.Errorf("encode %s: %w", stateFile, err)
	}
	agent.cache.step("state")
	return renameio.WriteFile(filepath.Join(agent.options.Dir, stateFile), raw, filePermission)
}

// Apply adopts an order. It returns false, and changes nothing, if the order is from an older term,
// older than the present order of the same term, or for another incarnation of the agent. The order
// is on disk before it takes effect, so what the agent reports as pinned survives a crash.
func (agent *Agent) Apply(order *api.StageOrder) (bool, error) {
	agent.orderMu.Lock()
	defer agent.orderMu.Unlock()
	agent.mu.Lock()
	state := agent.state
	agent.mu.Unlock()
	outdated := order.Term < state.Term || order.Term == state.Term && order.Order < state.Order
	if outdated || order.Incarnation != 0 && order.Incarnation != state.Incarnation {
		return false, nil
	}
	if order.Term != state.Term || order.Order != state.Order {
		state.Term, state.Order, state.Sets = order.Term, order.Order, order.Sets
		if err := agent.saveState(state); err != nil {
			return false, err
		}
		agent.adoptOrder(state)
	}
	for _, manifestDigest := range order.Drop {
		agent.removeDataset(manifestDigest)
	}
	agent.mu.Lock()
	agent.knownVersion = order.Known
	outOfDate := agent.knownVersion != agent.replicasVersion
	agent.mu.Unlock()
	if outOfDate {
		agent.requestHeartbeat()
	}
	return true, nil
}

// adoptOrder makes a stored order the present one: it unpins what the order does not ask for and
// cancels transfers that it does not name.
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
	// The parts to unpin are determined before mu is released, since the reconciler pins parts of
	// the new order from then on.
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
	agent.wakeReconciler()
}

// parseSets returns the desired state of an order by dataset name. Malformed sets are left out.
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

// unpinParts removes the links to the given parts, and unpins the chunks of those that are pinned.
// Pins change while mu is held, together with the parts that they stand for.
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
	from, to := manifest.Part(part)
	return manifest.Chunks[from:to]
}
