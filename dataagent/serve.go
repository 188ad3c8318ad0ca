package dataagent

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/labstack/echo/v4"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/tuning"
)

// Handler is the agent's port: chunks and manifests for peers, orders from the leader.
func (agent *Agent) Handler() http.Handler {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.GET("/chunk/:digest", agent.serveChunk)
	router.GET("/manifest/:digest", func(request echo.Context) error {
		digest, err := dataset.ParseDigest(request.Param("digest"))
		if err != nil {
			return request.JSON(http.StatusBadRequest, api.Error{Error: err.Error()})
		}
		_, raw, err := agent.cache.Manifest(digest)
		if err != nil {
			return request.JSON(http.StatusNotFound, api.Error{Error: "no such manifest here"})
		}
		return request.JSONBlob(http.StatusOK, raw)
	})
	router.POST("/stage", func(request echo.Context) error {
		var order api.StageOrder
		raw, err := io.ReadAll(io.LimitReader(request.Request().Body, tuning.OrderLimit+1))
		if err == nil && len(raw) > tuning.OrderLimit {
			return request.JSON(http.StatusBadRequest, api.Error{Error: "the order is over 1 MiB"})
		}
		if err == nil {
			err = json.Unmarshal(raw, &order)
		}
		if err != nil || order.Term == 0 {
			return request.JSON(http.StatusBadRequest, api.Error{Error: "helm is missing, or the order is malformed"})
		}
		ok, err := agent.Apply(&order)
		if err != nil {
			slog.Error("order not kept", "err", err)
			return request.JSON(http.StatusInternalServerError, api.Error{Error: err.Error()})
		}
		status := http.StatusOK
		if !ok {
			status = http.StatusConflict
		}
		return request.JSON(status, agent.Report(order.Known != agent.Version()))
	})
	router.GET("/show", func(request echo.Context) error { return request.JSON(http.StatusOK, agent.Report(true)) })
	return router
}

// Version counts the changes of what is held.
func (agent *Agent) Version() uint64 {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.replicasVersion
}

// serveChunk gives a peer a whole chunk, or a range of it. A file that is there is whole;
// that its bytes are still right, the peer checks.
func (agent *Agent) serveChunk(request echo.Context) error {
	digest, err := dataset.ParseDigest(request.Param("digest"))
	if err != nil {
		return request.JSON(http.StatusBadRequest, api.Error{Error: err.Error()})
	}
	select {
	case agent.servingSlots <- struct{}{}:
		defer func() { <-agent.servingSlots }()
	default:
		// Told at once, the peer can turn to another source.
		request.Response().Header().Set("Retry-After", retryAfter)
		return request.JSON(http.StatusServiceUnavailable, api.Error{Error: "enough peers are being served"})
	}
	file, _, err := agent.cache.Open(digest)
	if err != nil {
		return request.JSON(http.StatusNotFound, api.Error{Error: "no such chunk here"})
	}
	defer file.Close()
	limited := &limitedWriter{ResponseWriter: request.Response().Writer, agent: agent, request: request.Request()}
	if request.Request().Header.Get("Range") == "" && request.Request().Header.Get("Accept-Encoding") == "zstd" && worthPacking(file) {
		limited.Header().Set("Content-Type", "application/octet-stream")
		limited.Header().Set("Content-Encoding", "zstd")
		encoder, err := zstd.NewWriter(limited, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(512<<10))
		if err != nil {
			return err
		}
		if _, err = io.Copy(encoder, file); err == nil {
			err = encoder.Close()
		}
		return err
	}
	limited.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(limited, request.Request(), "", time.Time{}, file)
	return nil
}

var sampleEncoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
})

// worthPacking tells, by a sample of its beginning, whether it pays to pack a chunk.
func worthPacking(file *os.File) bool {
	sample := make([]byte, tuning.PackSample)
	size, _ := file.ReadAt(sample, 0)
	encoder, err := sampleEncoder()
	return err == nil && size > 0 && float64(len(encoder.EncodeAll(sample[:size], nil))) < tuning.PackPays*float64(size)
}

// limitedWriter keeps to the rate of the link. It has no ReadFrom, so all goes through Write.
type limitedWriter struct {
	http.ResponseWriter
	agent   *Agent
	request *http.Request
}

func (writer *limitedWriter) Write(p []byte) (size int, err error) {
	for len(p) > 0 && err == nil {
		some := p
		if writer.agent.upLimiter != nil {
			some = p[:min(len(p), writer.agent.upLimiter.Burst())]
			if err := writer.agent.upLimiter.WaitN(writer.request.Context(), len(some)); err != nil {
				return size, err
			}
		}
		var part int
		part, err = writer.ResponseWriter.Write(some)
		size += part
		p = p[part:]
	}
	return size, err
}
