package dataagent

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/internal/sleep"
	"switchferry/tuning"
)

// maxBackoffDoublings keeps the shift of the backoff within its type; tuning.StageBackoffMax is
// reached before.
const maxBackoffDoublings = 10

// partKey identifies one part of a dataset.
type partKey struct {
	dataset string
	part    int
}

// partTransfer is the transfer of one part to this machine.
type partTransfer struct {
	datasetName string
	part        int
	manifest    *dataset.Manifest
	cancel      context.CancelFunc
	progress    transferProgress
}

// status returns the transfer's progress for a heartbeat.
func (transfer *partTransfer) status() api.StageProgress {
	return transfer.progress.status(transfer.datasetName, transfer.part)
}

// copyPart copies the missing chunks of a part from the sources that the order names at the time,
// until the part is complete, the order names no source any more, or ctx ends. Each failure turns to
// the next source; once all have failed, the transfer pauses, each time longer.
func (agent *Agent) copyPart(ctx context.Context, transfer *partTransfer) {
	next, end := transfer.manifest.Part(transfer.part)
	for _, chunk := range partChunks(transfer.manifest, transfer.part) {
		if agent.cache.Has(chunk) {
			transfer.progress.add(chunk.Bytes)
		}
	}
	failures := 0
	for next < end {
		if agent.cache.Has(transfer.manifest.Chunks[next]) {
			next++
			continue
		}
		sources := agent.currentSources(transfer)
		if len(sources) == 0 {
			return
		}
		source := sources[failures%len(sources)]
		transfer.progress.setSource(source)
		err := agent.fetchChunk(ctx, source, transfer, next)
		if err == nil {
			transfer.progress.clearFull()
			failures = 0
			next++
			continue
		}
		if ctx.Err() != nil {
			return
		}
		failures++
		agent.recordFailure(transfer, source, failures, err)
		if failures%len(sources) == 0 {
			doublings := min(failures/len(sources)-1, maxBackoffDoublings)
			sleep.For(ctx, agent.clock, min(tuning.StageBackoffMax, tuning.StageBackoff<<doublings))
		}
	}
	slog.Info("part complete", "dataset", transfer.datasetName, "part", transfer.part, "bytes", transfer.manifest.PartBytes(transfer.part))
}

// recordFailure logs and stores why a source failed, and makes a heartbeat due that tells the
// leader. Only wrong bytes make the leader avoid a peer: one that merely lacks a chunk may have
// evicted it since its last heartbeat.
func (agent *Agent) recordFailure(transfer *partTransfer, source api.StageSource, failures int, err error) {
	failure := api.StageFailure{From: source, Why: err.Error(), Corrupt: errors.Is(err, ErrCorrupt)}
	transfer.progress.addFailure(failure, errors.Is(err, ErrFull))
	slog.Info("copy failed", "dataset", transfer.datasetName, "part", transfer.part, "from", source, "try", failures, "why", err)
	agent.requestHeartbeat()
}

// chunkDownload is a chunk being received. All transfers that need the chunk wait for the same
// download, which is cancelled when none of them waits any more.
type chunkDownload struct {
	// done is closed once err is set.
	done   chan struct{}
	err    error
	cancel context.CancelFunc
	// waiters counts the waiting transfers; Agent.mu guards it.
	waiters int
}

// fetchChunk brings a chunk into the cache, or waits for the download that does, so that each chunk
// crosses the link once however many transfers need it. The error is that of the source, or of ctx.
func (agent *Agent) fetchChunk(ctx context.Context, source api.StageSource, transfer *partTransfer, index int) error {
	chunk := transfer.manifest.Chunks[index]
	for !agent.cache.Has(chunk) {
		//nolint:contextcheck // A download outlives the transfer that starts it while others wait for it.
		download, started := agent.joinDownload(source, transfer, index)
		var err error
		select {
		case <-download.done:
			err = download.err
		case <-ctx.Done():
			err = ctx.Err()
		}
		agent.leaveDownload(download)
		if err == nil || started || ctx.Err() != nil {
			return err
		}
		// The source of another transfer failed; the source of this one may not.
	}
	return nil
}

// joinDownload returns the present download of a chunk, and starts one if there is none. The caller
// must call leaveDownload.
func (agent *Agent) joinDownload(source api.StageSource, transfer *partTransfer, index int) (download *chunkDownload, started bool) {
	digest := transfer.manifest.Chunks[index].Digest
	agent.mu.Lock()
	defer agent.mu.Unlock()
	download = agent.downloads[digest]
	if download == nil {
		ctx, cancel := context.WithCancel(agent.ctx)
		download = &chunkDownload{done: make(chan struct{}), cancel: cancel}
		agent.downloads[digest] = download
		started = true
		agent.goroutines.Go(func() {
			download.err = agent.downloadChunk(ctx, source, transfer, index)
			agent.mu.Lock()
			delete(agent.downloads, digest)
			agent.mu.Unlock()
			cancel()
			close(download.done)
		})
	}
	download.waiters++
	return download, started
}

// leaveDownload ends the wait for a download, and cancels it if nobody else waits.
func (agent *Agent) leaveDownload(download *chunkDownload) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	download.waiters--
	if download.waiters == 0 {
		download.cancel()
	}
}

// downloadChunk moves a chunk from a source to the cache, and continues what an earlier source left
// unfinished. If the digest is wrong in the end, either source may have served wrong bytes, and the
// chunk is received again from this source alone. The error is ErrCorrupt only if this source is to
// blame.
func (agent *Agent) downloadChunk(ctx context.Context, source api.StageSource, transfer *partTransfer, index int) error {
	chunk := transfer.manifest.Chunks[index]
	for {
		writer, err := agent.cache.Begin(chunk)
		if err != nil {
			return err
		}
		fromThisSourceAlone := writer.At() == 0
		transfer.progress.add(writer.At())
		if err := agent.sources.readChunk(ctx, source, transfer, index, writer); err != nil {
			transfer.progress.add(-writer.At())
			if errors.Is(err, ErrCorrupt) {
				writer.Drop()
			} else {
				writer.Leave()
			}
			return err
		}
		err = writer.Commit()
		if err == nil {
			return nil
		}
		transfer.progress.add(-chunk.Bytes)
		if !errors.Is(err, ErrCorrupt) || fromThisSourceAlone {
			return err
		}
	}
}

// transferProgress is how far a transfer is. It is safe for concurrent use.
type transferProgress struct {
	totalBytes int64

	// mu guards the fields below.
	mu            sync.Mutex
	receivedBytes int64
	source        api.StageSource
	// failures holds the last failure of each source.
	failures []api.StageFailure
	// full says that the cache had no room for the last chunk.
	full bool
}

// add adds received bytes, or subtracts those that have to be received again.
func (progress *transferProgress) add(size int64) {
	progress.mu.Lock()
	defer progress.mu.Unlock()
	progress.receivedBytes += size
}

// setSource sets the source that is tried now.
func (progress *transferProgress) setSource(source api.StageSource) {
	progress.mu.Lock()
	defer progress.mu.Unlock()
	progress.source = source
}

// clearFull records that the cache has room again.
func (progress *transferProgress) clearFull() {
	progress.mu.Lock()
	defer progress.mu.Unlock()
	progress.full = false
}

// addFailure replaces the last failure of a source. Full says whether the cache had no room.
func (progress *transferProgress) addFailure(failure api.StageFailure, full bool) {
	progress.mu.Lock()
	defer progress.mu.Unlock()
	progress.full = full
	progress.failures = slices.DeleteFunc(progress.failures, func(other api.StageFailure) bool { return other.From == failure.From })
	progress.failures = append(progress.failures, failure)
}

// status returns the progress for a heartbeat.
func (progress *transferProgress) status(datasetName string, part int) api.StageProgress {
	progress.mu.Lock()
	defer progress.mu.Unlock()
	return api.StageProgress{
		Dataset: datasetName,
		Part:    part,
		Got:     max(0, min(progress.receivedBytes, progress.totalBytes)),
		Of:      progress.totalBytes,
		From:    progress.source,
		Failed:  slices.Clone(progress.failures),
		Full:    progress.full,
	}
}
