package dataagent

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"math"
	"slices"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/api"
)

// reconcile brings the cache to the state that the order asks for: it loads manifests, pins parts and
// starts transfers. It returns whether a step failed that should be retried after tuning.StageBackoff.
func (agent *Agent) reconcile(ctx context.Context) (retry bool) {
	agent.mu.Lock()
	datasets := slices.Collect(maps.Values(agent.desired))
	agent.mu.Unlock()
	slices.SortFunc(datasets, func(first, second *desiredDataset) int {
		return cmp.Compare(first.set.Dataset, second.set.Dataset)
	})
	for _, desired := range datasets {
		if desired.manifest == nil {
			loaded, retryManifest := agent.loadDesiredManifest(ctx, desired)
			retry = retry || retryManifest
			if !loaded {
				continue
			}
		}
		retry = agent.pinParts(desired) || retry
		agent.startTransfers(ctx, desired)
	}
	return retry
}

// loadDesiredManifest loads the manifest of a desired dataset, and returns whether it is loaded and
// whether to retry. If the order lists no source for the dataset, retry is false, since only a new order
// can help.
func (agent *Agent) loadDesiredManifest(ctx context.Context, desired *desiredDataset) (loaded, retry bool) {
	var sources []api.StageSource
	for _, transfer := range desired.set.Copies {
		for _, source := range transfer.Sources {
			if !slices.Contains(sources, source) {
				sources = append(sources, source)
			}
		}
	}
	manifest, err := agent.loadManifest(ctx, desired.set.Dataset, desired.manifestDigest, sources)
	if err != nil {
		if len(sources) > 0 {
			slog.Info("manifest not available", "dataset", desired.set.Dataset, "err", err)
		}
		return false, len(sources) > 0
	}
	agent.mu.Lock()
	desired.manifest = manifest
	agent.mu.Unlock()
	agent.updateReplica(manifest, desired.manifestDigest)
	return true, false
}

// pinParts pins the desired parts, and verifies and links the complete ones. It returns whether verifying
// or linking failed for any part.
func (agent *Agent) pinParts(desired *desiredDataset) (failed bool) {
	verified := roaring.New()
	for iterator := agent.pinChunks(desired).Iterator(); iterator.HasNext(); {
		part := int(iterator.Next())
		if !agent.hasPart(desired.manifest, part) {
			continue
		}
		if agent.verifyPart(desired, part) {
			verified.Add(uint32(part))
		} else {
			failed = true
		}
	}
	if !verified.IsEmpty() {
		agent.mu.Lock()
		// A new order may have unpinned parts while they were verified.
		verified.And(desired.pinned)
		desired.verified = roaring.Or(desired.verified, verified)
		agent.mu.Unlock()
		agent.requestHeartbeat()
	}
	if failed {
		agent.updateReplica(desired.manifest, desired.manifestDigest)
	}
	return failed
}

// pinChunks pins the chunks of all desired parts, unless desired no longer belongs to the current order. It
// returns the pinned parts that are not verified yet.
func (agent *Agent) pinChunks(desired *desiredDataset) *roaring.Bitmap {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if agent.desired[desired.set.Dataset] == desired {
		added := roaring.AndNot(desired.set.Parts.Bitmap, desired.pinned)
		added.RemoveRange(uint64(desired.manifest.PartCount()), math.MaxUint32+1)
		for iterator := added.Iterator(); iterator.HasNext(); {
			for _, chunk := range partChunks(desired.manifest, int(iterator.Next())) {
				agent.cache.Pin(chunk.Digest)
			}
		}
		desired.pinned = roaring.Or(desired.pinned, added)
	}
	return roaring.AndNot(desired.pinned, desired.verified)
}

// verifyPart checks the digests of a part's chunks and links the chunks for tasks. It returns whether both
// succeeded.
func (agent *Agent) verifyPart(desired *desiredDataset, part int) bool {
	intact := true
	for _, chunk := range partChunks(desired.manifest, part) {
		if err := agent.cache.Verify(chunk); err != nil {
			slog.Error("chunk verification failed", "dataset", desired.set.Dataset, "part", part, "err", err)
			intact = false
			break
		}
	}
	// Chunks are linked even if one is corrupt; the part is then not reported as pinned.
	if err := agent.cache.LinkInputs(desired.manifest, part); intact && err != nil {
		slog.Error("linking inputs failed", "dataset", desired.set.Dataset, "part", part, "err", err)
		return false
	}
	return intact
}

// startTransfers starts the transfers that the order lists for a dataset, except those that are already
// running and those of complete parts.
func (agent *Agent) startTransfers(ctx context.Context, desired *desiredDataset) {
	for _, ordered := range desired.set.Copies {
		if ordered.Part < 0 || ordered.Part >= desired.manifest.PartCount() || agent.hasPart(desired.manifest, ordered.Part) {
			continue
		}
		agent.startTransfer(ctx, desired, ordered.Part)
	}
}

// startTransfer starts the transfer of a part, unless it is already running or desired no longer belongs
// to the current order.
func (agent *Agent) startTransfer(ctx context.Context, desired *desiredDataset, part int) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	key := partKey{desired.set.Dataset, part}
	if agent.transfers[key] != nil || agent.desired[desired.set.Dataset] != desired {
		return
	}
	transferCtx, cancel := context.WithCancel(ctx)
	transfer := &partTransfer{datasetName: desired.set.Dataset, part: part, manifest: desired.manifest, cancel: cancel}
	transfer.progress.totalBytes = desired.manifest.PartBytes(part)
	agent.transfers[key] = transfer
	agent.goroutines.Go(func() {
		agent.copyPart(transferCtx, transfer)
		cancel()
		agent.mu.Lock()
		// A later order may have cancelled this transfer and started another one for the part.
		if agent.transfers[key] == transfer {
			delete(agent.transfers, key)
		}
		agent.mu.Unlock()
		agent.updateReplica(desired.manifest, desired.manifestDigest)
		agent.requestHeartbeat()
		agent.requestReconciliation()
	})
}

// cancelStaleTransfers cancels the transfers for which the order lists no sources.
func (agent *Agent) cancelStaleTransfers() {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	for key, transfer := range agent.transfers {
		if len(agent.orderedSources(key)) == 0 {
			delete(agent.transfers, key)
			transfer.cancel()
		}
	}
}

// orderedSources returns the sources that the order lists for a part. mu must be held.
func (agent *Agent) orderedSources(key partKey) []api.StageSource {
	desired := agent.desired[key.dataset]
	if desired == nil {
		return nil
	}
	for _, ordered := range desired.set.Copies {
		if ordered.Part == key.part {
			return ordered.Sources
		}
	}
	return nil
}

// currentSources returns the sources that the current order lists for the part of a transfer.
func (agent *Agent) currentSources(transfer *partTransfer) []api.StageSource {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.orderedSources(partKey{transfer.datasetName, transfer.part})
}
