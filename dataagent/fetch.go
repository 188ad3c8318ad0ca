package dataagent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/klauspost/compress/zstd"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/tuning"
)

// errBusy: the source has no room for another copy right now; it is no failure.
var errBusy = errors.New("the source is busy")

// errMissing: a peer lacks what it is said to hold.
var errMissing = errors.New("the source does not have it")

// requestChunk asks a source for bytes, from one on, up to and without another. The whole of
// agent peer's chunk may come packed.
func (agent *Agent) requestChunk(ctx context.Context, source api.StageSource, name string, manifest *dataset.Manifest, i int, from int64) (*http.Response, error) {
	chunk := manifest.Chunks[i]
	url := "http://" + source.Peer + "/chunk/" + chunk.Digest.String()
	first := from
	if source.Store {
		url = agent.options.Store + "/" + name + "/data"
		first = manifest.Offset(i) + from
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	ranged := source.Store || from > 0
	if ranged {
		request.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", first, first+chunk.Bytes-from-1))
	} else if agent.options.Pack {
		request.Header.Set("Accept-Encoding", "zstd")
	}
	response, err := agent.http.Do(request)
	if err != nil {
		return nil, err
	}
	switch {
	case response.StatusCode == http.StatusPartialContent && ranged:
		var lo int64
		if _, err := fmt.Sscanf(response.Header.Get("Content-Range"), "bytes %d-", &lo); err != nil || lo != first {
			err = fmt.Errorf("%w: answered the range %q", ErrCorrupt, response.Header.Get("Content-Range"))
			_ = response.Body.Close()
			return nil, err
		}
		return response, nil
	case response.StatusCode == http.StatusOK && !ranged:
		return response, nil
	}
	_ = response.Body.Close()
	switch {
	case response.StatusCode == http.StatusNotFound:
		err = errMissing
	case response.StatusCode == http.StatusServiceUnavailable && source.Peer != "":
		err = errBusy
	default:
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return nil, err
}

// readChunk brings the rest of a chunk into w. Each block must come within StageStall, or the
// source counts as stalled. What came is kept whatever happens.
func (agent *Agent) readChunk(ctx context.Context, source api.StageSource, name string, manifest *dataset.Manifest, i int, writer *Writer, p *transferProgress) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	stall := agent.clock.AfterFunc(tuning.StageStall, func() {
		stop(fmt.Errorf("no block within %v", tuning.StageStall))
	})
	defer stall.Stop()
	why := func(err error) error {
		if c := context.Cause(ctx); c != nil {
			return c
		}
		return err
	}
	response, err := agent.requestChunk(ctx, source, name, manifest, i, writer.At())
	if err != nil {
		return why(err)
	}
	defer response.Body.Close()
	wire := io.Reader(&meteredReader{response.Body, agent, ctx, source})
	if response.Header.Get("Content-Encoding") == "zstd" {
		decoder, err := zstd.NewReader(wire, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(tuning.PackMemory))
		if err != nil {
			return err
		}
		defer decoder.Close()
		wire = decoder
	}
	block := make([]byte, min(tuning.StageBlock, manifest.Chunks[i].Bytes))
	for left := manifest.Chunks[i].Bytes - writer.At(); left > 0; left = manifest.Chunks[i].Bytes - writer.At() {
		size, err := io.ReadFull(wire, block[:min(int64(len(block)), left)])
		if size > 0 {
			stall.Reset(tuning.StageStall)
			if _, werr := writer.Write(block[:size]); werr != nil {
				return werr
			}
			p.add(int64(size))
		}
		if err != nil {
			return why(fmt.Errorf("after %d of %d bytes: %w", writer.At(), manifest.Chunks[i].Bytes, err))
		}
	}
	return nil
}

// meteredReader counts what comes over the link, and keeps to its rate.
type meteredReader struct {
	reader io.Reader
	agent  *Agent
	ctx    context.Context
	source api.StageSource
}

func (reader *meteredReader) Read(p []byte) (int, error) {
	if reader.agent.downLimiter != nil {
		p = p[:min(len(p), reader.agent.downLimiter.Burst())]
	}
	size, err := reader.reader.Read(p)
	if size > 0 {
		if reader.source.Store {
			reader.agent.fromStore.Add(int64(size))
		} else {
			reader.agent.fromPeers.Add(int64(size))
		}
		if reader.agent.downLimiter != nil {
			if werr := reader.agent.downLimiter.WaitN(reader.ctx, size); werr != nil && err == nil {
				err = werr
			}
		}
	}
	return size, err
}

// chunkDownload is one chunk on its way. Whoever needs it waits for the same one; it ends
// early only when nobody does.
type chunkDownload struct {
	done    chan struct{}
	err     error
	waiters int
	cancel  context.CancelFunc
}

// fetchChunk brings one chunk in, or waits for the transfer that does. Each chunk crosses the
// link once, however many parts and jobs want it.
func (agent *Agent) fetchChunk(ctx context.Context, source api.StageSource, transfer *partTransfer, i int) error {
	chunk := transfer.manifest.Chunks[i]
	for {
		if agent.cache.Has(chunk) {
			return nil
		}
		agent.mu.Lock()
		download := agent.downloads[chunk.Digest]
		owner := download == nil
		if owner {
			downloadCtx, stop := context.WithCancel(agent.ctx)
			download = &chunkDownload{done: make(chan struct{}), cancel: stop}
			agent.downloads[chunk.Digest] = download
			go func() {
				download.err = agent.downloadChunk(downloadCtx, source, transfer, i)
				agent.mu.Lock()
				delete(agent.downloads, chunk.Digest)
				agent.mu.Unlock()
				stop()
				close(download.done)
			}()
		}
		download.waiters++
		agent.mu.Unlock()
		var err error
		select {
		case <-download.done:
			err = download.err
		case <-ctx.Done():
			err = ctx.Err()
		}
		agent.mu.Lock()
		if download.waiters--; download.waiters == 0 {
			download.cancel()
		}
		agent.mu.Unlock()
		if err == nil || owner || ctx.Err() != nil {
			return err
		}
		// Another transfer's source failed it; ours may not.
	}
}

// downloadChunk moves one chunk from a source to the cache. Bytes of an earlier source are gone
// on with; if the digest is wrong in the end, who gave wrong bytes is not known, and the
// fetchChunk is got again, from this source alone.
func (agent *Agent) downloadChunk(ctx context.Context, source api.StageSource, transfer *partTransfer, i int) error {
	for {
		writer, err := agent.cache.Begin(transfer.manifest.Chunks[i])
		if err != nil {
			return err
		}
		alone := writer.At() == 0
		transfer.progress.add(writer.At())
		if err := agent.readChunk(ctx, source, transfer.datasetName, transfer.manifest, i, writer, &transfer.progress); err != nil {
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
		transfer.progress.add(-transfer.manifest.Chunks[i].Bytes)
		if !errors.Is(err, ErrCorrupt) || alone {
			return err
		}
	}
}

// partTransfer is one part on its way.
type partTransfer struct {
	datasetName string
	part        int
	manifest    *dataset.Manifest
	progress    transferProgress
	cancel      context.CancelFunc
	ended       chan struct{}
}

// copyPart copies a part from the sources that stand in the order, until it is whole or the
// context ends. Sources that fail are tried again with growing pauses; the order may
// bring others meanwhile.
func (agent *Agent) copyPart(ctx context.Context, transfer *partTransfer) {
	defer close(transfer.ended)
	from, to := transfer.manifest.Part(transfer.part)
	for i := from; i < to; i++ {
		if agent.cache.Has(transfer.manifest.Chunks[i]) {
			transfer.progress.add(transfer.manifest.Chunks[i].Bytes)
		}
	}
	for try, i := 0, from; i < to; {
		if agent.cache.Has(transfer.manifest.Chunks[i]) {
			i++
			continue
		}
		sources := agent.currentSources(transfer)
		if len(sources) == 0 {
			return
		}
		source := sources[try%len(sources)]
		transfer.progress.setSource(source)
		err := agent.fetchChunk(ctx, source, transfer, i)
		switch {
		case err == nil:
			transfer.progress.clearFull()
			try = 0
			i++
			continue
		case ctx.Err() != nil:
			return
		}
		// A peer that lacks it may have evicted it since it was asked what it holds;
		// one that gives wrong bytes is not asked again.
		transfer.progress.addFailure(api.StageFailure{From: source, Why: err.Error(), Corrupt: errors.Is(err, ErrCorrupt)}, errors.Is(err, ErrFull))
		slog.Info("copy failed", "dataset", transfer.datasetName, "part", transfer.part, "from", source, "try", try+1, "why", err)
		agent.requestHeartbeat()
		try++
		if round := try / len(sources); try%len(sources) == 0 {
			agent.sleep(ctx, min(tuning.StageBackoffMax, tuning.StageBackoff<<min(round-1, 10)))
		}
	}
	slog.Info("part whole", "dataset", transfer.datasetName, "part", transfer.part, "bytes", transfer.manifest.PartBytes(transfer.part))
}

// loadManifest gets a manifest from the cache or from any source, and checks its digest.
func (agent *Agent) loadManifest(ctx context.Context, dset string, digest dataset.Digest, from []api.StageSource) (*dataset.Manifest, error) {
	if manifest, _, err := agent.cache.Manifest(digest); err == nil {
		return manifest, nil
	}
	err := errors.New("no source is known for it")
	for _, source := range from {
		var raw []byte
		if raw, err = agent.fetchManifest(ctx, source, dset, digest); err == nil && dataset.Sum(raw) != digest {
			err = ErrCorrupt
		}
		var manifest *dataset.Manifest
		if err == nil {
			manifest, err = dataset.Parse(raw)
		}
		if err == nil && manifest.Name != dset {
			err = fmt.Errorf("it is the manifest of %q", manifest.Name)
		}
		if err == nil {
			return manifest, agent.cache.SaveManifest(digest, raw)
		}
		err = fmt.Errorf("manifest of %s from %s: %w", dset, source, err)
	}
	return nil, err
}

func (agent *Agent) fetchManifest(ctx context.Context, source api.StageSource, dset string, digest dataset.Digest) ([]byte, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer agent.clock.AfterFunc(tuning.StageStall, stop).Stop()
	url := "http://" + source.Peer + "/manifest/" + digest.String()
	if source.Store {
		url = agent.options.Store + "/" + dset + "/manifest.json"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := agent.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	return io.ReadAll(io.LimitReader(&meteredReader{response.Body, agent, ctx, source}, tuning.ManifestLimit+1))
}

func (agent *Agent) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-agent.clock.After(d):
	}
}

// retryAfter is what a busy peer answers, in seconds.
var retryAfter = strconv.Itoa(tuning.RetryAfterS)
