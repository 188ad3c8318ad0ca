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

// maxBackoffDoublings limits how often the backoff is doubled, so that its shift does not overflow. The
// backoff reaches tuning.StageBackoffMax before that.
const maxBackoffDoublings = 10

// partKey identifies one part of a dataset.
type partKey struct {
	dataset string
	part    int
}

// partTransfer is a running transfer of one part to this machine.
type partTransfer struct {
	datasetName string
	part        int
	manifest    *dataset.Manifest
	cancel      context.CancelFunc
	progress    transferProgress
}

// status returns the transfer's progress as a heartbeat reports it.
func (transfer *partTransfer) status() api.StageProgress {
	return transfer.progress.status(transfer.datasetName, transfer.part)
}

// copyPart copies the missing chunks of a part until the part is complete, the current order lists no
// sources for it, or ctx is cancelled. After each failure it tries the next source of the current order.
// After all sources have failed, it waits with exponential backoff before it tries them again.
func (agent *Agent) copyPart(ctx context.Context, transfer *partTransfer) {
	next, end := transfer.manifest.PartChunks(transfer.part)
	for _, chunk := range partChunks(transfer.manifest, transfer.part) {
		if agent.cache.Has(chunk) {
			transfer.progress.addReceived(chunk.Bytes)
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
			transfer.progress.clearCacheFull()
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

// recordFailure logs the failure of a source, adds it to the transfer's progress, and requests a heartbeat
// that reports it to the leader. Only wrong bytes are reported as corrupt, which makes the leader avoid a
// peer: a peer that lacks a chunk may have evicted it since its last heartbeat.
func (agent *Agent) recordFailure(transfer *partTransfer, source api.StageSource, failures int, err error) {
	failure := api.StageFailure{Source: source, Reason: err.Error(), Corrupt: errors.Is(err, ErrCorrupt)}
	transfer.progress.addFailure(failure, errors.Is(err, ErrFull))
	slog.Info("copy failed", "dataset", transfer.datasetName, "part", transfer.part, "from", source, "try", failures, "why", err)
	agent.requestHeartbeat()
}

// chunkDownload is a running download of a chunk. All transfers that need the chunk wait for the same
// download, which is cancelled once no transfer waits for it.
type chunkDownload struct {
	// done is closed once err is set.
	done chan struct{}
	// err is the result of the download. It may be read after done is closed.
	err    error
	cancel context.CancelFunc
	// waiters counts the waiting transfers; Agent.mu guards it.
	waiters int
}

// fetchChunk downloads a chunk into the cache, or waits for a running download of it, so that a chunk is
// downloaded only once even if several transfers need it. The error is that of the download, or of ctx.
func (agent *Agent) fetchChunk(ctx context.Context, source api.StageSource, transfer *partTransfer, index int) error {
	chunk := transfer.manifest.Chunks[index]
	for !agent.cache.Has(chunk) {
		//nolint:contextcheck // A download outlives the transfer that starts it if other transfers wait for it.
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
		// The failed download used the source of another transfer, so this one's source is tried now.
	}
	return nil
}

// joinDownload adds the caller to the waiters of the running download of a chunk, and starts a download if
// there is none. The caller must call leaveDownload when it no longer waits.
func (agent *Agent) joinDownload(source api.StageSource, transfer *partTransfer, index int) (download *chunkDownload, started bool) {
	digest := transfer.manifest.Chunks[index].Digest
	agent.mu.Lock()
	defer agent.mu.Unlock()
	download = agent.downloads[digest]
	if download == nil {
		ctx, cancel := context.WithCancel(agent.downloadCtx)
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

// leaveDownload removes the caller from the waiters of a download, and cancels the download if no waiters
// are left.
func (agent *Agent) leaveDownload(download *chunkDownload) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	download.waiters--
	if download.waiters == 0 {
		download.cancel()
	}
}

// downloadChunk downloads a chunk from a source into the cache, and resumes an incomplete download from
// another source. If the digest is then wrong, either source may have served wrong bytes, so the whole chunk
// is downloaded again from this source. The error is ErrCorrupt only if this source served wrong bytes.
func (agent *Agent) downloadChunk(ctx context.Context, source api.StageSource, transfer *partTransfer, index int) error {
	chunk := transfer.manifest.Chunks[index]
	for {
		writer, err := agent.cache.OpenWriter(chunk)
		if err != nil {
			return err
		}
		fromThisSourceAlone := writer.Offset() == 0
		transfer.progress.addReceived(writer.Offset())
		if err := agent.sourceClient.readChunk(ctx, source, transfer, index, writer); err != nil {
			transfer.progress.addReceived(-writer.Offset())
			if errors.Is(err, ErrCorrupt) {
				writer.Discard()
			} else {
				writer.Suspend()
			}
			return err
		}
		err = writer.Commit()
		if err == nil {
			return nil
		}
		transfer.progress.addReceived(-chunk.Bytes)
		if !errors.Is(err, ErrCorrupt) || fromThisSourceAlone {
			return err
		}
	}
}

// transferProgress is the progress of a transfer. It is safe for concurrent use.
type transferProgress struct {
	// totalBytes is the size of the part. It is set before the transfer starts.
	totalBytes int64

	// mu guards the fields below.
	mu sync.Mutex
	// receivedBytes includes the bytes of chunks that were in the cache already.
	receivedBytes int64
	// source is the source that was tried last.
	source api.StageSource
	// failures contains the last failure of each source.
	failures []api.StageFailure
	// cacheFull is true if the last attempt failed because the cache was full.
	cacheFull bool
}

// addReceived adds size to the received bytes. It is negative for bytes that must be received again.
func (progress *transferProgress) addReceived(size int64) {
	progress.mu.Lock()
	defer progress.mu.Unlock()
	progress.receivedBytes += size
}

// setSource sets the source that is being tried.
func (progress *transferProgress) setSource(source api.StageSource) {
	progress.mu.Lock()
	defer progress.mu.Unlock()
	progress.source = source
}

// clearCacheFull records that the cache had space for the last chunk.
func (progress *transferProgress) clearCacheFull() {
	progress.mu.Lock()
	defer progress.mu.Unlock()
	progress.cacheFull = false
}

// addFailure records a failure, which replaces the last one of the same source. cacheFull tells whether
// the cache was full.
func (progress *transferProgress) addFailure(failure api.StageFailure, cacheFull bool) {
	progress.mu.Lock()
	defer progress.mu.Unlock()
	progress.cacheFull = cacheFull
	progress.failures = slices.DeleteFunc(progress.failures, func(other api.StageFailure) bool { return other.Source == failure.Source })
	progress.failures = append(progress.failures, failure)
}

// status returns the progress as a heartbeat reports it.
func (progress *transferProgress) status(datasetName string, part int) api.StageProgress {
	progress.mu.Lock()
	defer progress.mu.Unlock()
	return api.StageProgress{
		Dataset:     datasetName,
		Part:        part,
		CopiedBytes: max(0, min(progress.receivedBytes, progress.totalBytes)),
		TotalBytes:  progress.totalBytes,
		Source:      progress.source,
		Failed:      slices.Clone(progress.failures),
		CacheFull:   progress.cacheFull,
	}
}
