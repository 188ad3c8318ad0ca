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

// request asks a source for bytes, from one on, up to and without another. The whole of
// a peer's chunk may come packed.
func (a *Agent) request(ctx context.Context, src api.StageSource, name string, m *dataset.Manifest, i int, from int64) (*http.Response, error) {
	ch := m.Chunks[i]
	url := "http://" + src.Peer + "/chunk/" + ch.Digest.String()
	first := from
	if src.Store {
		url = a.opt.Store + "/" + name + "/data"
		first = m.Offset(i) + from
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	ranged := src.Store || from > 0
	if ranged {
		req.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", first, first+ch.Bytes-from-1))
	} else if a.opt.Pack {
		req.Header.Set("Accept-Encoding", "zstd")
	}
	resp, err := a.http.Do(req)
	if err != nil {
		return nil, err
	}
	switch {
	case resp.StatusCode == http.StatusPartialContent && ranged:
		var lo int64
		if _, err := fmt.Sscanf(resp.Header.Get("Content-Range"), "bytes %d-", &lo); err != nil || lo != first {
			err = fmt.Errorf("%w: answered the range %q", ErrWrong, resp.Header.Get("Content-Range"))
			_ = resp.Body.Close()
			return nil, err
		}
		return resp, nil
	case resp.StatusCode == http.StatusOK && !ranged:
		return resp, nil
	}
	_ = resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotFound:
		err = errMissing
	case resp.StatusCode == http.StatusServiceUnavailable && src.Peer != "":
		err = errBusy
	default:
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil, err
}

// read brings the rest of a chunk into w. Each block must come within StageStall, or the
// source counts as stalled. What came is kept whatever happens.
func (a *Agent) read(ctx context.Context, src api.StageSource, name string, m *dataset.Manifest, i int, w *Writer, p *progress) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	stall := a.clock.AfterFunc(tuning.StageStall, func() {
		stop(fmt.Errorf("no block within %v", tuning.StageStall))
	})
	defer stall.Stop()
	why := func(err error) error {
		if c := context.Cause(ctx); c != nil {
			return c
		}
		return err
	}
	resp, err := a.request(ctx, src, name, m, i, w.At())
	if err != nil {
		return why(err)
	}
	defer resp.Body.Close()
	wire := io.Reader(&metered{resp.Body, a, ctx, src})
	if resp.Header.Get("Content-Encoding") == "zstd" {
		z, err := zstd.NewReader(wire, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(tuning.PackMemory))
		if err != nil {
			return err
		}
		defer z.Close()
		wire = z
	}
	block := make([]byte, min(tuning.StageBlock, m.Chunks[i].Bytes))
	for left := m.Chunks[i].Bytes - w.At(); left > 0; left = m.Chunks[i].Bytes - w.At() {
		n, err := io.ReadFull(wire, block[:min(int64(len(block)), left)])
		if n > 0 {
			stall.Reset(tuning.StageStall)
			if _, werr := w.Write(block[:n]); werr != nil {
				return werr
			}
			p.add(int64(n))
		}
		if err != nil {
			return why(fmt.Errorf("after %d of %d bytes: %w", w.At(), m.Chunks[i].Bytes, err))
		}
	}
	return nil
}

// metered counts what comes over the link, and keeps to its rate.
type metered struct {
	r   io.Reader
	a   *Agent
	ctx context.Context
	src api.StageSource
}

func (r *metered) Read(p []byte) (int, error) {
	if r.a.down != nil {
		p = p[:min(len(p), r.a.down.Burst())]
	}
	n, err := r.r.Read(p)
	if n > 0 {
		if r.src.Store {
			r.a.fromStore.Add(int64(n))
		} else {
			r.a.fromPeers.Add(int64(n))
		}
		if r.a.down != nil {
			if werr := r.a.down.WaitN(r.ctx, n); werr != nil && err == nil {
				err = werr
			}
		}
	}
	return n, err
}

// flight is one chunk on its way. Whoever needs it waits for the same one; it ends
// early only when nobody does.
type flight struct {
	done chan struct{}
	err  error
	refs int
	stop context.CancelFunc
}

// chunk brings one chunk in, or waits for the transfer that does. Each chunk crosses the
// link once, however many parts and jobs want it.
func (a *Agent) chunk(ctx context.Context, src api.StageSource, t *transfer, i int) error {
	ch := t.manifest.Chunks[i]
	for {
		if a.cache.Has(ch) {
			return nil
		}
		a.mu.Lock()
		f := a.flights[ch.Digest]
		mine := f == nil
		if mine {
			fctx, stop := context.WithCancel(a.ctx)
			f = &flight{done: make(chan struct{}), stop: stop}
			a.flights[ch.Digest] = f
			go func() {
				f.err = a.carry(fctx, src, t, i)
				a.mu.Lock()
				delete(a.flights, ch.Digest)
				a.mu.Unlock()
				stop()
				close(f.done)
			}()
		}
		f.refs++
		a.mu.Unlock()
		var err error
		select {
		case <-f.done:
			err = f.err
		case <-ctx.Done():
			err = ctx.Err()
		}
		a.mu.Lock()
		if f.refs--; f.refs == 0 {
			f.stop()
		}
		a.mu.Unlock()
		if err == nil || mine || ctx.Err() != nil {
			return err
		}
		// Another transfer's source failed it; ours may not.
	}
}

// carry moves one chunk from a source to the cache. Bytes of an earlier source are gone
// on with; if the digest is wrong in the end, who gave wrong bytes is not known, and the
// chunk is got again, from this source alone.
func (a *Agent) carry(ctx context.Context, src api.StageSource, t *transfer, i int) error {
	for {
		w, err := a.cache.Begin(t.manifest.Chunks[i])
		if err != nil {
			return err
		}
		alone := w.At() == 0
		t.p.add(w.At())
		if err := a.read(ctx, src, t.name, t.manifest, i, w, &t.p); err != nil {
			t.p.add(-w.At())
			if errors.Is(err, ErrWrong) {
				w.Drop()
			} else {
				w.Leave()
			}
			return err
		}
		err = w.Commit()
		if err == nil {
			return nil
		}
		t.p.add(-t.manifest.Chunks[i].Bytes)
		if !errors.Is(err, ErrWrong) || alone {
			return err
		}
	}
}

// transfer is one part on its way.
type transfer struct {
	name     string
	part     int
	manifest *dataset.Manifest
	p        progress
	cancel   context.CancelFunc
	ended    chan struct{}
}

// run copies a part from the sources that stand in the order, until it is whole or the
// context ends. Sources that fail are tried again with growing pauses; the order may
// bring others meanwhile.
func (a *Agent) run(ctx context.Context, t *transfer) {
	defer close(t.ended)
	from, to := t.manifest.Part(t.part)
	for i := from; i < to; i++ {
		if a.cache.Has(t.manifest.Chunks[i]) {
			t.p.add(t.manifest.Chunks[i].Bytes)
		}
	}
	for try, i := 0, from; i < to; {
		if a.cache.Has(t.manifest.Chunks[i]) {
			i++
			continue
		}
		srcs := a.sources(t)
		if len(srcs) == 0 {
			return
		}
		src := srcs[try%len(srcs)]
		t.p.now(src)
		err := a.chunk(ctx, src, t, i)
		switch {
		case err == nil:
			t.p.clear()
			try = 0
			i++
			continue
		case ctx.Err() != nil:
			return
		}
		// A peer that lacks it may have evicted it since it was asked what it holds;
		// one that gives wrong bytes is not asked again.
		t.p.fail(api.StageFailure{From: src, Why: err.Error(), Corrupt: errors.Is(err, ErrWrong)}, errors.Is(err, ErrFull))
		slog.Info("copy failed", "dataset", t.name, "part", t.part, "from", src, "try", try+1, "why", err)
		a.changed()
		try++
		if round := try / len(srcs); try%len(srcs) == 0 {
			a.sleep(ctx, min(tuning.StageBackoffMax, tuning.StageBackoff<<min(round-1, 10)))
		}
	}
	slog.Info("part whole", "dataset", t.name, "part", t.part, "bytes", t.manifest.PartBytes(t.part))
}

// manifestOf gets a manifest from the cache or from any source, and checks its digest.
func (a *Agent) manifestOf(ctx context.Context, dset string, d dataset.Digest, from []api.StageSource) (*dataset.Manifest, error) {
	if m, _, err := a.cache.Manifest(d); err == nil {
		return m, nil
	}
	err := errors.New("no source is known for it")
	for _, src := range from {
		var raw []byte
		if raw, err = a.manifestFrom(ctx, src, dset, d); err == nil && dataset.Sum(raw) != d {
			err = ErrWrong
		}
		var m *dataset.Manifest
		if err == nil {
			m, err = dataset.Parse(raw)
		}
		if err == nil && m.Name != dset {
			err = fmt.Errorf("it is the manifest of %q", m.Name)
		}
		if err == nil {
			return m, a.cache.SaveManifest(d, raw)
		}
		err = fmt.Errorf("manifest of %s from %s: %w", dset, src, err)
	}
	return nil, err
}

func (a *Agent) manifestFrom(ctx context.Context, src api.StageSource, dset string, d dataset.Digest) ([]byte, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer a.clock.AfterFunc(tuning.StageStall, stop).Stop()
	url := "http://" + src.Peer + "/manifest/" + d.String()
	if src.Store {
		url = a.opt.Store + "/" + dset + "/manifest.json"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := a.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return io.ReadAll(io.LimitReader(&metered{resp.Body, a, ctx, src}, tuning.ManifestLimit+1))
}

func (a *Agent) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-a.clock.After(d):
	}
}

// retryAfter is what a busy peer answers, in seconds.
var retryAfter = strconv.Itoa(tuning.RetryAfterS)
