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

// retryAfter is after how many seconds a busy agent asks a peer to try again.
var retryAfter = strconv.Itoa(tuning.RetryAfterS)

// packWindow is the window of the compression, in bytes.
const packWindow = 512 << 10

// Handler returns the agent's HTTP interface: chunks and manifests for peers, orders from the
// leader, and the agent's heartbeat for operators.
func (agent *Agent) Handler() http.Handler {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.GET("/chunk/:digest", agent.chunks.serveChunk)
	router.GET("/manifest/:digest", agent.chunks.serveManifest)
	router.POST("/stage", agent.serveOrder)
	router.GET("/show", func(request echo.Context) error {
		return request.JSON(http.StatusOK, agent.Report(true))
	})
	return router
}

// chunkServer serves the chunks and manifests of a cache to peers.
type chunkServer struct {
	cache *Cache
	// limiter keeps to the serving rate; it is nil without a limit.
	limiter *rate.Limiter
	// slots holds one value for each peer that is being served.
	slots chan struct{}
}

// serveManifest sends a manifest that the cache has.
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

// serveOrder applies an order and answers with a heartbeat: status 200 if the order was adopted, and
// 409 if it is outdated.
func (agent *Agent) serveOrder(request echo.Context) error {
	raw, err := io.ReadAll(io.LimitReader(request.Request().Body, tuning.OrderLimit+1))
	if err == nil && len(raw) > tuning.OrderLimit {
		return request.JSON(http.StatusBadRequest, api.Error{Error: "the order is over 1 MiB"})
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
	return request.JSON(status, agent.Report(order.Known != agent.Version()))
}

// serveChunk sends a chunk, or a range of it, to a peer. The file of a chunk is complete; whether its
// bytes are still right is checked by the peer. If as many peers are served as may be, the answer is
// status 503 at once, so that the peer can turn to another source.
func (server *chunkServer) serveChunk(request echo.Context) error {
	digest, err := dataset.ParseDigest(request.Param("digest"))
	if err != nil {
		return request.JSON(http.StatusBadRequest, api.Error{Error: err.Error()})
	}
	select {
	case server.slots <- struct{}{}:
		defer func() { <-server.slots }()
	default:
		request.Response().Header().Set("Retry-After", retryAfter)
		return request.JSON(http.StatusServiceUnavailable, api.Error{Error: "enough peers are being served"})
	}
	file, _, err := server.cache.Open(digest)
	if err != nil {
		return request.JSON(http.StatusNotFound, api.Error{Error: "no such chunk here"})
	}
	defer func() { _ = file.Close() }() // It was only read.
	writer := &limitedWriter{ResponseWriter: request.Response().Writer, limiter: server.limiter, ctx: request.Request().Context()}
	writer.Header().Set("Content-Type", "application/octet-stream")
	header := request.Request().Header
	if header.Get("Range") == "" && header.Get("Accept-Encoding") == "zstd" && worthPacking(file) {
		writer.Header().Set("Content-Encoding", "zstd")
		return packChunk(writer, file)
	}
	http.ServeContent(writer, request.Request(), "", time.Time{}, file)
	return nil
}

// packChunk writes a chunk compressed.
func packChunk(writer io.Writer, chunk io.Reader) error {
	encoder, err := zstd.NewWriter(writer, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(packWindow))
	if err != nil {
		return err
	}
	if _, err := io.Copy(encoder, chunk); err != nil {
		return err
	}
	return encoder.Close()
}

// sampleEncoder returns the encoder that compresses samples.
var sampleEncoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
})

// worthPacking returns whether a sample from a chunk's beginning shrinks enough when compressed.
func worthPacking(file *os.File) bool {
	sample := make([]byte, tuning.PackSample)
	// The error is io.EOF for a chunk smaller than the sample, and any other one leaves less to
	// sample.
	size, _ := file.ReadAt(sample, 0)
	encoder, err := sampleEncoder()
	return err == nil && size > 0 && float64(len(encoder.EncodeAll(sample[:size], nil))) < tuning.PackPays*float64(size)
}

// limitedWriter keeps a response to the serving rate. It has no ReadFrom method, so that
// everything goes through Write.
type limitedWriter struct {
	http.ResponseWriter
	// limiter is nil without a limit.
	limiter *rate.Limiter
	// ctx bounds the waits for the rate.
	ctx context.Context
}

// Write implements io.Writer.
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
