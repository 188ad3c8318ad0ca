package dataagent

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/tuning"
)

// retryAfterSeconds is the value of the Retry-After header that a busy agent sends, in seconds.
var retryAfterSeconds = strconv.Itoa(tuning.RetryAfterS)

// compressionWindow is the window size of the zstd compression, in bytes.
const compressionWindow = 512 << 10

// Handler returns the agent's HTTP handler. It serves chunks and manifests to peers, accepts orders from the
// leader, and shows the agent's heartbeat to operators.
func (agent *Agent) Handler() http.Handler {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.GET("/chunk/:digest", agent.chunkServer.serveChunk)
	router.GET("/manifest/:digest", agent.chunkServer.serveManifest)
	router.POST("/stage", agent.serveOrder)
	router.GET("/show", func(request echo.Context) error {
		return request.JSON(http.StatusOK, agent.Heartbeat(true))
	})
	return router
}

// chunkServer serves the chunks and manifests of a cache to peers.
type chunkServer struct {
	cache *Cache
	// limiter limits the serving rate; it is nil if there is no limit.
	limiter *rate.Limiter
	// slots contains one value for each chunk request that is being served. Its capacity is the maximum
	// number of concurrent requests.
	slots chan struct{}
}

// serveManifest sends a manifest from the cache, or responds with status 404 if the cache does not have it.
func (server *chunkServer) serveManifest(request echo.Context) error {
	digest, err := dataset.ParseDigest(request.Param("digest"))
	if err != nil {
		return request.JSON(http.StatusBadRequest, api.Error{Error: err.Error()})
	}
	_, raw, err := server.cache.Manifest(digest)
	if err != nil {
		return request.JSON(http.StatusNotFound, api.Error{Error: "no such manifest here"})
	}
	return request.JSONBlob(http.StatusOK, raw)
}

// serveOrder applies an order and responds with a heartbeat. The status is 200 if the order was adopted, and
// 409 if it is outdated or for another incarnation of the agent.
func (agent *Agent) serveOrder(request echo.Context) error {
	raw, err := io.ReadAll(io.LimitReader(request.Request().Body, tuning.MaxOrderBytes+1))
	if err == nil && len(raw) > tuning.MaxOrderBytes {
		return request.JSON(http.StatusBadRequest, api.Error{Error: "the order exceeds 1 MiB"})
	}
	var order api.StageOrder
	if err == nil {
		err = json.Unmarshal(raw, &order)
	}
	if err != nil || order.Term == 0 {
		return request.JSON(http.StatusBadRequest, api.Error{Error: "helm is missing, or the order is malformed"})
	}
	adopted, err := agent.Apply(&order)
	if err != nil {
		slog.Error("storing order failed", "err", err)
		return request.JSON(http.StatusInternalServerError, api.Error{Error: err.Error()})
	}
	status := http.StatusOK
	if !adopted {
		status = http.StatusConflict
	}
	return request.JSON(status, agent.Heartbeat(order.KnownVersion != agent.ReplicasVersion()))
}

// serveChunk sends a complete chunk, or a range of it, to a peer. It does not check the digest, since the
// peer does. If all slots are in use, it responds with status 503 at once, so that the peer can try another
// source.
func (server *chunkServer) serveChunk(request echo.Context) error {
	digest, err := dataset.ParseDigest(request.Param("digest"))
	if err != nil {
		return request.JSON(http.StatusBadRequest, api.Error{Error: err.Error()})
	}
	select {
	case server.slots <- struct{}{}:
		defer func() { <-server.slots }()
	default:
		request.Response().Header().Set("Retry-After", retryAfterSeconds)
		return request.JSON(http.StatusServiceUnavailable, api.Error{Error: "the maximum number of peers is being served"})
	}
	file, _, err := server.cache.Open(digest)
	if err != nil {
		return request.JSON(http.StatusNotFound, api.Error{Error: "no such chunk here"})
	}
	defer func() { _ = file.Close() }() // The file was only read, so the error does not matter.
	writer := &limitedWriter{ResponseWriter: request.Response().Writer, limiter: server.limiter, ctx: request.Request().Context()}
	writer.Header().Set("Content-Type", "application/octet-stream")
	header := request.Request().Header
	if header.Get("Range") == "" && header.Get("Accept-Encoding") == "zstd" && worthCompressing(file) {
		writer.Header().Set("Content-Encoding", "zstd")
		return compressChunk(writer, file)
	}
	http.ServeContent(writer, request.Request(), "", time.Time{}, file)
	return nil
}

// compressChunk writes a chunk compressed with zstd.
func compressChunk(writer io.Writer, chunk io.Reader) error {
	encoder, err := zstd.NewWriter(writer, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(compressionWindow))
	if err != nil {
		return err
	}
	if _, err := io.Copy(encoder, chunk); err != nil {
		return err
	}
	return encoder.Close()
}

// sampleEncoder returns the encoder that worthCompressing compresses samples with. It is created on first use.
var sampleEncoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
})

// worthCompressing reports whether a sample from the start of a chunk compresses to less than
// tuning.MaxCompressedShare of its size.
func worthCompressing(file *os.File) bool {
	sample := make([]byte, tuning.CompressionSampleBytes)
	// The error is io.EOF if the chunk is smaller than the sample. After any other error the sample is
	// what could be read.
	size, _ := file.ReadAt(sample, 0)
	encoder, err := sampleEncoder()
	return err == nil && size > 0 && float64(len(encoder.EncodeAll(sample[:size], nil))) < tuning.MaxCompressedShare*float64(size)
}

// limitedWriter limits a response to the serving rate. It does not implement io.ReaderFrom, so that all
// data goes through Write.
type limitedWriter struct {
	http.ResponseWriter
	// limiter is nil if there is no limit.
	limiter *rate.Limiter
	// ctx cancels the waits for the limiter.
	ctx context.Context
}

// Write implements io.Writer. It writes one burst of the limiter at a time.
func (limited *limitedWriter) Write(content []byte) (written int, err error) {
	for len(content) > 0 && err == nil {
		burst := content
		if limited.limiter != nil {
			burst = content[:min(len(content), limited.limiter.Burst())]
			if err := limited.limiter.WaitN(limited.ctx, len(burst)); err != nil {
				return written, err
			}
		}
		var size int
		size, err = limited.ResponseWriter.Write(burst)
		written += size
		content = content[size:]
	}
	return written, err
}
