package dataagent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/google/renameio/v2"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/tuning"
)

// Options say what an agent is to do.
type Options struct {
	// Machine is the worker's machine name, Address where peers and controllers reach
	// this agent.
	Machine, Address string
	// Dir holds the cache; CacheBytes is its size in bytes.
	Dir        string
	CacheBytes int64
	// Store is the base URL of the store, without a slash at its end.
	Store string
	// Controllers are their addresses by member name.
	Controllers map[string]string
	// DownRate and UpRate limit what is copied and served, in bytes a second; 0: not.
	DownRate, UpRate float64
	// AtOnce is how many peers are served at once.
	AtOnce int
	// Pack asks peers to pack what they send where it pays.
	Pack bool

	Clock     clockwork.Clock
	Transport http.RoundTripper
	// Step is called before each step of a write to the disk, for tests.
	Step func(string)
}

// state is what an agent must know after a crash: it may have told the controllers.
type state struct {
	Session uint64         `json:"session"`
	Term    uint64         `json:"helm"`
	Order   uint64         `json:"order"`
	Sets    []api.StageSet `json:"sets"`
}

// Agent copies, keeps and serves. Make one with New, then Run it and serve Handler.
type Agent struct {
	opt   Options
	clock clockwork.Clock
	http  *http.Client
	cache *Cache
	ctx   context.Context
	down  *rate.Limiter
	up    *rate.Limiter
	wake  chan struct{}
	tell  chan struct{}

	fromStore, fromPeers atomic.Int64
	serving              chan struct{}

	// applying is held while an order is stored and taken over, so that orders
	// follow one another; mu guards what follows, shortly.
	applying sync.Mutex
	mu       sync.Mutex
	state    state
	seq      uint64
	wants    map[string]*want
	flights  map[dataset.Digest]*flight
	// version counts changes of what is held; known is what the controllers have.
	version, known uint64
	// lost is how many chunks the cache had lost when held was last put right.
	lost    uint64
	held    map[string]*heldSet
	running map[string]*transfer
}

// want is what the order asks of one dataset.
type want struct {
	set      api.StageSet
	digest   dataset.Digest
	manifest *dataset.Manifest
	// kept are the parts whose chunks this want pins; whole are those of them that are
	// there and checked.
	kept, whole *roaring.Bitmap
}

// heldSet is what there is whole of a dataset.
type heldSet struct {
	manifest *dataset.Manifest
	digest   dataset.Digest
	parts    *roaring.Bitmap
}

// New opens the cache and takes up where an earlier process of this agent stopped: what
// the controllers were told is pinned stays so.
func New(ctx context.Context, opt Options) (*Agent, error) {
	if opt.Clock == nil {
		opt.Clock = clockwork.NewRealClock()
	}
	if opt.Transport == nil {
		opt.Transport = &http.Transport{DialContext: (&net.Dialer{Timeout: tuning.DialTimeout}).DialContext,
			MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	}
	if opt.AtOnce == 0 {
		opt.AtOnce = tuning.StageAtOnce
	}
	c, err := OpenCache(opt.Dir, opt.CacheBytes, opt.Step)
	if err != nil {
		return nil, err
	}
	a := &Agent{opt: opt, clock: opt.Clock, http: &http.Client{Transport: opt.Transport}, cache: c, ctx: ctx,
		down: limiter(opt.DownRate), up: limiter(opt.UpRate), wake: make(chan struct{}, 1), tell: make(chan struct{}, 1),
		serving: make(chan struct{}, opt.AtOnce), wants: map[string]*want{}, flights: map[dataset.Digest]*flight{},
		held: map[string]*heldSet{}, running: map[string]*transfer{}}
	raw, err := os.ReadFile(filepath.Join(opt.Dir, "state.json"))
	if err == nil {
		err = json.Unmarshal(raw, &a.state)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("state.json: %w; with no task on this machine the folder can be emptied", err)
	}
	a.state.Session++
	if err := a.save(a.state); err != nil {
		return nil, err
	}
	for _, d := range c.Manifests() {
		if m, _, err := c.Manifest(d); err == nil {
			a.note(m, d)
		}
	}
	a.install(a.state)
	for name, parts := range c.Shown() {
		for _, k := range parts {
			if w := a.wants[name]; w == nil || !w.set.Parts.Contains(uint32(k)) {
				c.Hide(name, k)
			}
		}
	}
	return a, nil
}

func limiter(bytesPerS float64) *rate.Limiter {
	if bytesPerS <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(bytesPerS), max(16<<10, min(tuning.StageBlock, int(bytesPerS/20))))
}

func (a *Agent) save(s state) error {
	raw, err := json.Marshal(s)
	if err == nil {
		a.cache.step("state")
		err = renameio.WriteFile(filepath.Join(a.opt.Dir, "state.json"), raw, 0o644)
	}
	return err
}

// note counts which parts of a dataset are there whole.
func (a *Agent) note(m *dataset.Manifest, d dataset.Digest) {
	parts := roaring.New()
	for k := range m.PartCount() {
		if a.has(m, k) {
			parts.Add(uint32(k))
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.held[d.String()]
	if h != nil && h.parts.Equals(parts) || h == nil && parts.IsEmpty() {
		return
	}
	a.held[d.String()] = &heldSet{m, d, parts}
	a.version++
}

// refresh puts what is held right after chunks went: a part that lost one is not told to
// anybody any more. Manifests of which nothing is left go as well.
func (a *Agent) refresh() {
	lost := a.cache.Lost()
	a.mu.Lock()
	if lost == a.lost {
		a.mu.Unlock()
		return
	}
	a.lost = lost
	sets := slices.Collect(maps.Values(a.held))
	a.mu.Unlock()
	for _, h := range sets {
		a.note(h.manifest, h.digest)
		a.mu.Lock()
		empty := a.held[h.digest.String()].parts.IsEmpty() && a.wants[h.manifest.Name] == nil
		if empty {
			delete(a.held, h.digest.String())
		}
		a.mu.Unlock()
		if empty {
			a.cache.Forget(h.digest)
		}
	}
}

func (a *Agent) has(m *dataset.Manifest, k int) bool {
	from, to := m.Part(k)
	for i := from; i < to; i++ {
		if !a.cache.Has(m.Chunks[i]) {
			return false
		}
	}
	return true
}

// Apply takes an order in. False: it is from an older leader, an older order of the same
// one, or for an earlier session, and nothing changed. The order is on disk before it
// counts, so that what this agent says is pinned stays so through its crash.
func (a *Agent) Apply(o *api.StageOrder) (bool, error) {
	a.applying.Lock()
	defer a.applying.Unlock()
	a.mu.Lock()
	s := a.state
	a.mu.Unlock()
	if o.Term < s.Term || o.Term == s.Term && o.Order < s.Order || o.Incarnation != 0 && o.Incarnation != s.Session {
		return false, nil
	}
	if o.Term != s.Term || o.Order != s.Order {
		s.Term, s.Order, s.Sets = o.Term, o.Order, o.Sets
		if err := a.save(s); err != nil {
			return false, err
		}
		a.install(s)
	}
	for _, m := range o.Drop {
		a.drop(m)
	}
	a.mu.Lock()
	a.known = o.Known
	tell := a.known != a.version
	a.mu.Unlock()
	if tell {
		a.changed()
	}
	return true, nil
}

// drop lets go of a dataset that was removed, but for chunks that another one on this
// machine has as well. One that the order still asks for stays.
func (a *Agent) drop(manifest string) {
	a.mu.Lock()
	h := a.held[manifest]
	wanted := false
	others := map[dataset.Digest]bool{}
	for _, w := range a.wants {
		wanted = wanted || w.digest.String() == manifest
	}
	for d, o := range a.held {
		if d != manifest {
			for _, c := range o.manifest.Chunks {
				others[c.Digest] = true
			}
		}
	}
	a.mu.Unlock()
	if h == nil || wanted {
		return
	}
	slog.Info("dataset removed", "dataset", h.manifest.Name)
	for _, c := range h.manifest.Chunks {
		if !others[c.Digest] {
			a.cache.Remove(c.Digest)
		}
	}
	// What it shares with another is that one's: it is no longer told as this one's.
	a.mu.Lock()
	delete(a.held, manifest)
	a.version++
	a.mu.Unlock()
	a.cache.Forget(h.digest)
	a.refresh()
}

// install makes an order the one that counts.
func (a *Agent) install(s state) {
	next := map[string]*want{}
	for _, set := range s.Sets {
		d, err := dataset.ParseDigest(set.Manifest)
		if err != nil || set.Parts.Bitmap == nil {
			slog.Error("order makes no sense", "dataset", set.Dataset, "err", err)
			continue
		}
		next[set.Dataset] = &want{set: set, digest: d, kept: roaring.New(), whole: roaring.New()}
	}
	a.mu.Lock()
	old := a.wants
	for n, w := range next {
		if o := old[n]; o != nil && o.digest == w.digest {
			w.manifest, w.kept, w.whole = o.manifest, o.kept, o.whole
			delete(old, n)
		}
	}
	a.state, a.wants = s, next
	// What is no longer wanted may go from here on. It is found before the lock is let go: what
	// keeps the new wants is at work on them from then on.
	gone := map[*want]*roaring.Bitmap{}
	for _, w := range old {
		gone[w] = w.kept.Clone()
	}
	for _, w := range next {
		if w.manifest != nil {
			gone[w] = roaring.AndNot(w.kept, w.set.Parts.Bitmap)
		}
	}
	a.mu.Unlock()
	for w, parts := range gone {
		a.unpin(w, parts)
	}
	for _, t := range a.stale() {
		t.cancel()
	}
	a.kick()
}

// unpin lets parts go that a want has kept so far. Pins change under the agent's lock,
// together with what they stand for.
func (a *Agent) unpin(w *want, parts *roaring.Bitmap) {
	for itr := parts.Iterator(); itr.HasNext(); {
		a.cache.Hide(w.set.Dataset, int(itr.Next()))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for itr := roaring.And(w.kept, parts).Iterator(); itr.HasNext(); {
		from, to := w.manifest.Part(int(itr.Next()))
		for i := from; i < to; i++ {
			a.cache.Unpin(w.manifest.Chunks[i].Digest)
		}
	}
	w.kept = roaring.AndNot(w.kept, parts)
	w.whole = roaring.AndNot(w.whole, parts)
}

func (a *Agent) kick() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// changed asks for a report soon.
func (a *Agent) changed() {
	select {
	case a.tell <- struct{}{}:
	default:
	}
}

func key(name string, part int) string { return fmt.Sprintf("%s/%d", name, part) }

// stale are the transfers that the order no longer asks for.
func (a *Agent) stale() (out []*transfer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for k, t := range a.running {
		if len(a.sourcesOf(t.name, t.part)) == 0 {
			delete(a.running, k)
			out = append(out, t)
		}
	}
	return out
}

// sourcesOf are the sources that the order names for a part; the lock is held.
func (a *Agent) sourcesOf(name string, part int) []api.StageSource {
	w := a.wants[name]
	if w == nil {
		return nil
	}
	for _, c := range w.set.Copies {
		if c.Part == part {
			return c.From
		}
	}
	return nil
}

func (a *Agent) sources(t *transfer) []api.StageSource {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sourcesOf(t.name, t.part)
}

// Run copies and reports until the context ends.
func (a *Agent) Run(ctx context.Context) {
	if len(a.opt.Controllers) > 0 {
		go a.report(ctx)
	}
	for {
		again := a.tend(ctx)
		var retry <-chan time.Time
		if again {
			retry = a.clock.After(tuning.StageBackoff)
		}
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		case <-retry:
		}
	}
}

// tend brings what is there in line with the order: manifests, pins, transfers. True:
// something failed and is worth another try soon.
func (a *Agent) tend(ctx context.Context) (again bool) {
	a.mu.Lock()
	wants := slices.Collect(maps.Values(a.wants))
	a.mu.Unlock()
	slices.SortFunc(wants, func(x, y *want) int { return strings.Compare(x.set.Dataset, y.set.Dataset) })
	for _, w := range wants {
		if w.manifest == nil {
			var from []api.StageSource
			for _, c := range w.set.Copies {
				for _, s := range c.From {
					if !slices.Contains(from, s) {
						from = append(from, s)
					}
				}
			}
			m, err := a.manifestOf(ctx, w.set.Dataset, w.digest, from)
			if err != nil {
				if len(from) > 0 {
					slog.Info("no manifest", "dataset", w.set.Dataset, "err", err)
					again = true
				}
				continue
			}
			a.mu.Lock()
			w.manifest = m
			a.mu.Unlock()
			a.note(m, w.digest)
		}
		again = a.keep(w) || again
		a.copies(ctx, w)
	}
	return again
}

// keep pins what is wanted, and checks what is there.
func (a *Agent) keep(w *want) (again bool) {
	m := w.manifest
	a.mu.Lock()
	fresh := roaring.AndNot(w.set.Parts.Bitmap, w.kept)
	fresh.RemoveRange(uint64(m.PartCount()), 1<<32)
	if a.wants[w.set.Dataset] != w {
		fresh = roaring.New()
	}
	w.kept = roaring.Or(w.kept, fresh)
	open := roaring.AndNot(w.kept, w.whole)
	for itr := fresh.Iterator(); itr.HasNext(); {
		from, to := m.Part(int(itr.Next()))
		for i := from; i < to; i++ {
			a.cache.Pin(m.Chunks[i].Digest)
		}
	}
	a.mu.Unlock()
	whole := roaring.New()
	for itr := open.Iterator(); itr.HasNext(); {
		k := itr.Next()
		if !a.has(m, int(k)) {
			continue
		}
		ok := true
		from, to := m.Part(int(k))
		for i := from; i < to && ok; i++ {
			if err := a.cache.Check(m.Chunks[i]); err != nil {
				slog.Error("chunk lost", "dataset", w.set.Dataset, "part", k, "err", err)
				ok, again = false, true
			}
		}
		if err := a.cache.Show(m, int(k)); ok && err != nil {
			slog.Error("inputs not shown", "dataset", w.set.Dataset, "part", k, "err", err)
			ok, again = false, true
		}
		if ok {
			whole.Add(k)
		}
	}
	if !whole.IsEmpty() {
		a.mu.Lock()
		whole.And(w.kept)
		w.whole = roaring.Or(w.whole, whole)
		a.mu.Unlock()
		a.changed()
	}
	if again {
		a.note(m, w.digest)
	}
	return again
}

// copies starts the transfers that the order asks for.
func (a *Agent) copies(ctx context.Context, w *want) {
	for _, c := range w.set.Copies {
		if c.Part < 0 || c.Part >= w.manifest.PartCount() || a.has(w.manifest, c.Part) {
			continue
		}
		a.mu.Lock()
		k := key(w.set.Dataset, c.Part)
		if a.running[k] != nil || a.wants[w.set.Dataset] != w {
			a.mu.Unlock()
			continue
		}
		tctx, cancel := context.WithCancel(ctx)
		t := &transfer{name: w.set.Dataset, part: c.Part, manifest: w.manifest, cancel: cancel, ended: make(chan struct{})}
		t.p.of = w.manifest.PartBytes(c.Part)
		a.running[k] = t
		a.mu.Unlock()
		go func() {
			a.run(tctx, t)
			cancel()
			a.mu.Lock()
			if a.running[k] == t {
				delete(a.running, k)
			}
			a.mu.Unlock()
			a.note(w.manifest, w.digest)
			a.changed()
			a.kick()
		}()
	}
}

// Report is what the agent says of itself now. All: with all that it holds.
func (a *Agent) Report(all bool) api.StageHeartbeat {
	a.refresh()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seq++
	r := api.StageHeartbeat{Machine: a.opt.Machine, Address: a.opt.Address, Incarnation: a.state.Session, Seq: a.seq, Term: a.state.Term,
		Order: a.state.Order, Quota: a.opt.CacheBytes, Used: a.cache.Used(), Version: a.version, All: all,
		FromStore: a.fromStore.Load(), FromPeers: a.fromPeers.Load()}
	if all {
		for _, h := range a.held {
			if !h.parts.IsEmpty() {
				r.Holds = append(r.Holds, api.StageHeld{Dataset: h.manifest.Name, Manifest: h.digest.String(), Of: h.manifest.PartCount(), Parts: api.PartSet{Bitmap: h.parts}})
			}
		}
	}
	for _, w := range a.wants {
		if !w.whole.IsEmpty() {
			r.Pinned = append(r.Pinned, api.StageHeld{Dataset: w.set.Dataset, Manifest: w.set.Manifest, Parts: api.PartSet{Bitmap: w.whole}})
		}
	}
	for _, t := range a.running {
		r.Copies = append(r.Copies, t.p.report(t.name, t.part))
	}
	slices.SortFunc(r.Holds, func(x, y api.StageHeld) int { return strings.Compare(x.Dataset, y.Dataset) })
	slices.SortFunc(r.Pinned, func(x, y api.StageHeld) int { return strings.Compare(x.Dataset, y.Dataset) })
	slices.SortFunc(r.Copies, func(x, y api.StageProgress) int {
		if x.Dataset != y.Dataset {
			return strings.Compare(x.Dataset, y.Dataset)
		}
		return x.Part - y.Part
	})
	return r
}

// report tells the controllers, one after the other until one takes it, as a worker does.
func (a *Agent) report(ctx context.Context) {
	names := slices.Sorted(maps.Keys(a.opt.Controllers))
	at := 0
	for ctx.Err() == nil {
		next, err := a.call(ctx, a.opt.Controllers[names[at]])
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && next == "":
			timer := a.clock.After(tuning.StageReportEvery)
			a.sleep(ctx, tuning.StageReportMin)
			select {
			case <-ctx.Done():
			case <-timer:
			case <-a.tell:
			}
			continue
		case err == nil && next != names[at] && slices.Contains(names, next):
			at = slices.Index(names, next)
			a.sleep(ctx, tuning.StageReportMin)
			continue
		case err != nil:
			slog.Debug("report not taken", "by", names[at], "err", err)
		}
		at = (at + 1) % len(names)
		a.sleep(ctx, time.Second)
	}
}

// call sends one report. Next names the controller to go to instead.
func (a *Agent) call(ctx context.Context, addr string) (next string, err error) {
	ctx, stop := context.WithTimeout(ctx, tuning.StageCallTimeout)
	defer stop()
	raw, err := json.Marshal(a.Next())
	if err != nil {
		return "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/staging", bytes.NewReader(raw))
	if err != nil {
		return "", err
	}
	resp, err := a.http.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, tuning.OrderLimit))
	if err != nil {
		return "", err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		var o api.StageOrder
		if err := json.Unmarshal(body, &o); err != nil {
			return "", fmt.Errorf("malformed order: %w", err)
		}
		_, err = a.Apply(&o)
		return "", err
	case http.StatusMisdirectedRequest:
		var r api.Redirect
		if json.Unmarshal(body, &r) == nil && r.Controller != "" {
			return r.Controller, nil
		}
	}
	return "", fmt.Errorf("status %d", resp.StatusCode)
}

// progress is how far a copy is.
type progress struct {
	mu     sync.Mutex
	got    int64
	of     int64
	from   api.StageSource
	failed []api.StageFailure
	full   bool
}

func (p *progress) add(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.got += n
}

func (p *progress) now(src api.StageSource) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.from = src
}

func (p *progress) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.full = false
}

func (p *progress) fail(f api.StageFailure, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.full = full
	p.failed = slices.DeleteFunc(p.failed, func(o api.StageFailure) bool { return o.From == f.From })
	p.failed = append(p.failed, f)
}

func (p *progress) report(name string, part int) api.StageProgress {
	p.mu.Lock()
	defer p.mu.Unlock()
	return api.StageProgress{Dataset: name, Part: part, Got: max(0, min(p.got, p.of)), Of: p.of, From: p.from, Failed: slices.Clone(p.failed), Full: p.full}
}

// Next is the report that is due: with all that is held if the controllers do not know
// the present state yet.
func (a *Agent) Next() api.StageHeartbeat {
	a.mu.Lock()
	all := a.known != a.version
	a.mu.Unlock()
	return a.Report(all)
}
