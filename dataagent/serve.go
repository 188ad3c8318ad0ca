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
func (a *Agent) Handler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/chunk/:digest", a.serveChunk)
	e.GET("/manifest/:digest", func(c echo.Context) error {
		d, err := dataset.ParseDigest(c.Param("digest"))
		if err != nil {
			return c.JSON(http.StatusBadRequest, api.Error{Error: err.Error()})
		}
		_, raw, err := a.cache.Manifest(d)
		if err != nil {
			return c.JSON(http.StatusNotFound, api.Error{Error: "no such manifest here"})
		}
		return c.JSONBlob(http.StatusOK, raw)
	})
	e.POST("/stage", func(c echo.Context) error {
		var o api.StageOrder
		raw, err := io.ReadAll(io.LimitReader(c.Request().Body, tuning.OrderLimit+1))
		if err == nil && len(raw) > tuning.OrderLimit {
			return c.JSON(http.StatusBadRequest, api.Error{Error: "the order is over 1 MiB"})
		}
		if err == nil {
			err = json.Unmarshal(raw, &o)
		}
		if err != nil || o.Term == 0 {
			return c.JSON(http.StatusBadRequest, api.Error{Error: "helm is missing, or the order is malformed"})
		}
		ok, err := a.Apply(&o)
		if err != nil {
			slog.Error("order not kept", "err", err)
			return c.JSON(http.StatusInternalServerError, api.Error{Error: err.Error()})
		}
		status := http.StatusOK
		if !ok {
			status = http.StatusConflict
		}
		return c.JSON(status, a.Report(o.Known != a.Version()))
	})
	e.GET("/show", func(c echo.Context) error { return c.JSON(http.StatusOK, a.Report(true)) })
	return e
}

// Version counts the changes of what is held.
func (a *Agent) Version() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.version
}

// serveChunk gives a peer a whole chunk, or a range of it. A file that is there is whole;
// that its bytes are still right, the peer checks.
func (a *Agent) serveChunk(c echo.Context) error {
	d, err := dataset.ParseDigest(c.Param("digest"))
	if err != nil {
		return c.JSON(http.StatusBadRequest, api.Error{Error: err.Error()})
	}
	select {
	case a.serving <- struct{}{}:
		defer func() { <-a.serving }()
	default:
		// Told at once, the peer can turn to another source.
		c.Response().Header().Set("Retry-After", retryAfter)
		return c.JSON(http.StatusServiceUnavailable, api.Error{Error: "enough peers are being served"})
	}
	f, _, err := a.cache.Open(d)
	if err != nil {
		return c.JSON(http.StatusNotFound, api.Error{Error: "no such chunk here"})
	}
	defer f.Close()
	w := &limited{ResponseWriter: c.Response().Writer, a: a, r: c.Request()}
	if c.Request().Header.Get("Range") == "" && c.Request().Header.Get("Accept-Encoding") == "zstd" && packs(f) {
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Encoding", "zstd")
		z, err := zstd.NewWriter(w, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(512<<10))
		if err != nil {
			return err
		}
		if _, err = io.Copy(z, f); err == nil {
			err = z.Close()
		}
		return err
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(w, c.Request(), "", time.Time{}, f)
	return nil
}

var sampler = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
})

// packs tells, by a sample of its beginning, whether it pays to pack a chunk.
func packs(f *os.File) bool {
	sample := make([]byte, tuning.PackSample)
	n, _ := f.ReadAt(sample, 0)
	z, err := sampler()
	return err == nil && n > 0 && float64(len(z.EncodeAll(sample[:n], nil))) < tuning.PackPays*float64(n)
}

// limited keeps to the rate of the link. It has no ReadFrom, so all goes through Write.
type limited struct {
	http.ResponseWriter
	a *Agent
	r *http.Request
}

func (l *limited) Write(p []byte) (n int, err error) {
	for len(p) > 0 && err == nil {
		some := p
		if l.a.up != nil {
			some = p[:min(len(p), l.a.up.Burst())]
			if err := l.a.up.WaitN(l.r.Context(), len(some)); err != nil {
				return n, err
			}
		}
		var k int
		k, err = l.ResponseWriter.Write(some)
		n += k
		p = p[k:]
	}
	return n, err
}
