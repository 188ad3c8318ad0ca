package dataagent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	"github.com/klauspost/compress/zstd"
	"golang.org/x/time/rate"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/tuning"
)

var (
	// errBusy means that a peer already serves its maximum number of requests.
	errBusy = errors.New("the source is busy")
	// errChunkNotFound means that a source does not have the requested chunk.
	errChunkNotFound = errors.New("the source does not have the chunk")
	// errNoSource means that the order lists no source for a dataset.
	errNoSource = errors.New("the order lists no source for the dataset")
)

// sourceClient downloads chunks and manifests from the store and from peers. It is safe for concurrent use.
type sourceClient struct {
	http  *http.Client
	clock clockwork.Clock
	// store is the base URL of the store.
	store string
	// compress makes the client ask peers for compressed chunks.
	compress bool
	// limiter limits the receiving rate; it is nil if there is no limit.
	limiter *rate.Limiter
	// fromStore and fromPeers count the bytes received from the store and from peers.
	fromStore, fromPeers atomic.Int64
}

// requestChunk requests the bytes of a chunk from an offset to its end. A peer may compress a chunk that is
// requested from its start. The caller must close the response's body. The error is ErrCorrupt if the source
// responds with another range.
func (client *sourceClient) requestChunk(ctx context.Context, source api.StageSource, transfer *partTransfer, index int, offset int64) (*http.Response, error) {
	chunk := transfer.manifest.Chunks[index]
	url := "http://" + source.Peer + "/chunk/" + chunk.Digest.String()
	firstByte := offset
	if source.Store {
		url = client.store + "/" + transfer.datasetName + "/data"
		firstByte = transfer.manifest.ChunkOffset(index) + offset
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	ranged := source.Store || offset > 0
	if ranged {
		request.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", firstByte, firstByte+chunk.Bytes-offset-1))
	} else if client.compress {
		request.Header.Set("Accept-Encoding", "zstd")
	}
	response, err := client.http.Do(request)
	if err != nil {
		return nil, err
	}
	if err := checkChunkResponse(response, source, ranged, firstByte); err != nil {
		closeBody(response)
		return nil, err
	}
	return response, nil
}

// checkChunkResponse returns an error unless a response contains the requested bytes: if ranged is true, a
// range that starts at firstByte, and otherwise the whole chunk.
func checkChunkResponse(response *http.Response, source api.StageSource, ranged bool, firstByte int64) error {
	switch {
	case response.StatusCode == http.StatusPartialContent && ranged:
		contentRange := response.Header.Get("Content-Range")
		var rangeStart int64
		if _, err := fmt.Sscanf(contentRange, "bytes %d-", &rangeStart); err != nil || rangeStart != firstByte {
			return fmt.Errorf("%w: response has Content-Range %q", ErrCorrupt, contentRange)
		}
		return nil
	case response.StatusCode == http.StatusOK && !ranged:
		return nil
	case response.StatusCode == http.StatusNotFound:
		return errChunkNotFound
	case response.StatusCode == http.StatusServiceUnavailable && source.Peer != "":
		return errBusy
	default:
		return fmt.Errorf("status %d", response.StatusCode)
	}
}

// readChunk downloads the missing bytes of a chunk and writes them to a writer. The request is cancelled if
// a block takes longer than tuning.StageBlockTimeout. After an error, the writer keeps the blocks that were
// written.
func (client *sourceClient) readChunk(ctx context.Context, source api.StageSource, transfer *partTransfer, index int, writer *Writer) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := client.clock.AfterFunc(tuning.StageBlockTimeout, func() {
		cancel(fmt.Errorf("no block received within %v", tuning.StageBlockTimeout))
	})
	defer stallTimer.Stop()
	// The error of a cancelled request does not tell why it was cancelled; the cause of the context does.
	cause := func(err error) error {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		return err
	}
	response, err := client.requestChunk(ctx, source, transfer, index, writer.Offset())
	if err != nil {
		return cause(err)
	}
	defer closeBody(response)
	body := io.Reader(&meteredReader{response.Body, client, ctx, source})
	if response.Header.Get("Content-Encoding") == "zstd" {
		decoder, err := zstd.NewReader(body, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(tuning.MaxDecompressedBytes))
		if err != nil {
			return err
		}
		defer decoder.Close()
		body = decoder
	}
	total := transfer.manifest.Chunks[index].Bytes
	block := make([]byte, min(tuning.StageBlockBytes, total))
	for remaining := total - writer.Offset(); remaining > 0; remaining = total - writer.Offset() {
		size, err := io.ReadFull(body, block[:min(int64(len(block)), remaining)])
		if size > 0 {
			stallTimer.Reset(tuning.StageBlockTimeout)
			if _, writeErr := writer.Write(block[:size]); writeErr != nil {
				return writeErr
			}
			transfer.progress.addReceived(int64(size))
		}
		if err != nil {
			return cause(fmt.Errorf("after %d of %d bytes: %w", writer.Offset(), total, err))
		}
	}
	return nil
}

// loadManifest returns a manifest from the cache. If the cache does not have it, loadManifest downloads it
// from the first source that has it and stores it in the cache. If all sources fail, the error is that of
// the last one.
func (agent *Agent) loadManifest(ctx context.Context, datasetName string, digest dataset.Digest, sources []api.StageSource) (*dataset.Manifest, error) {
	if manifest, _, err := agent.cache.Manifest(digest); err == nil {
		return manifest, nil
	}
	err := errNoSource
	for _, source := range sources {
		var manifest *dataset.Manifest
		var raw []byte
		manifest, raw, err = agent.sourceClient.fetchManifest(ctx, source, datasetName, digest)
		if err == nil {
			return manifest, agent.cache.SaveManifest(digest, raw)
		}
		err = fmt.Errorf("manifest of %s from %s: %w", datasetName, source, err)
	}
	return nil, err
}

// fetchManifest downloads a manifest from a source, and checks its digest and its dataset name. The error is
// ErrCorrupt if the digest is wrong.
func (client *sourceClient) fetchManifest(ctx context.Context, source api.StageSource, datasetName string, digest dataset.Digest) (*dataset.Manifest, []byte, error) {
	raw, err := client.readManifest(ctx, source, datasetName, digest)
	if err != nil {
		return nil, nil, err
	}
	if dataset.Sum(raw) != digest {
		return nil, nil, ErrCorrupt
	}
	manifest, err := dataset.Parse(raw)
	if err != nil {
		return nil, nil, err
	}
	if manifest.Name != datasetName {
		return nil, nil, fmt.Errorf("the manifest is that of dataset %q", manifest.Name)
	}
	return manifest, raw, nil
}

// readManifest downloads the bytes of a manifest from a source. The request is cancelled if it takes longer
// than tuning.StageBlockTimeout.
func (client *sourceClient) readManifest(ctx context.Context, source api.StageSource, datasetName string, digest dataset.Digest) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer client.clock.AfterFunc(tuning.StageBlockTimeout, cancel).Stop()
	url := "http://" + source.Peer + "/manifest/" + digest.String()
	if source.Store {
		url = client.store + "/" + datasetName + "/manifest.json"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	return io.ReadAll(io.LimitReader(&meteredReader{response.Body, client, ctx, source}, tuning.MaxManifestBytes+1))
}

// closeBody closes a response's body. The error is ignored, since the content that was read is checked
// separately or an earlier error is returned.
func closeBody(response *http.Response) { _ = response.Body.Close() }

// meteredReader counts the bytes received from a source, and limits the receiving rate.
type meteredReader struct {
	reader io.Reader
	client *sourceClient
	// ctx cancels the waits for the limiter.
	ctx    context.Context
	source api.StageSource
}

// Read implements io.Reader. It returns at most one burst of the limiter.
func (metered *meteredReader) Read(buffer []byte) (int, error) {
	limiter := metered.client.limiter
	if limiter != nil {
		buffer = buffer[:min(len(buffer), limiter.Burst())]
	}
	size, err := metered.reader.Read(buffer)
	if size == 0 {
		return size, err
	}
	if metered.source.Store {
		metered.client.fromStore.Add(int64(size))
	} else {
		metered.client.fromPeers.Add(int64(size))
	}
	if limiter != nil {
		if waitErr := limiter.WaitN(metered.ctx, size); waitErr != nil && err == nil {
			err = waitErr
		}
	}
	return size, err
}
