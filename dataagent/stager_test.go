package dataagent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/internal/fake"
	"switchferry/tuning"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError + 1})))
	if os.Getenv("STAGER_DIES_AT") != "" {
		dieAt()
		return
	}
	os.Exit(m.Run())
}

const block = tuning.StageBlock

func random(seed uint64, n int) []byte {
	rng := rand.New(rand.NewPCG(seed, 1))
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(rng.Uint32())
	}
	return out
}

// eventually waits, bounded, until something holds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

type rig struct {
	t     *testing.T
	clock *clockwork.FakeClock
	store *fake.Objects
	url   string
	ctx   context.Context
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, clock: clockwork.NewFakeClock(), store: fake.NewObjects()}
	s := httptest.NewServer(r.store)
	s.Config.ErrorLog = nil
	t.Cleanup(s.Close)
	r.url = s.URL
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	r.ctx = ctx
	return r
}

// agent starts an agent with a port of its own.
func (r *rig) agent(dir string, quota int64, step func(string)) (*Agent, api.StageSource) {
	a, err := New(r.ctx, Options{Machine: "n-1", Address: "127.0.0.1:1", Dir: dir, CacheBytes: quota, Store: r.url, Clock: r.clock, Pack: true, Step: step})
	if err != nil {
		r.t.Fatal(err)
	}
	s := httptest.NewServer(a.Handler())
	r.t.Cleanup(s.Close)
	go a.Run(r.ctx)
	return a, api.StageSource{Peer: strings.TrimPrefix(s.URL, "http://")}
}

func order(term, n uint64, name string, d dataset.Digest, from []api.StageSource, parts ...uint32) *api.StageOrder {
	set := api.StageSet{Dataset: name, Manifest: d.String(), Parts: api.PartSet{Bitmap: roaring.BitmapOf(parts...)}}
	for _, k := range parts {
		if from != nil {
			set.Copies = append(set.Copies, api.StageCopy{Part: int(k), From: from})
		}
	}
	return &api.StageOrder{Term: term, Order: n, Sets: []api.StageSet{set}}
}

func (r *rig) apply(a *Agent, o *api.StageOrder) {
	r.t.Helper()
	if ok, err := a.Apply(o); !ok || err != nil {
		r.t.Fatalf("order %d/%d: %v %v", o.Term, o.Order, ok, err)
	}
}

// pump lets time pass while nothing is on its way, so that pauses end and no transfer
// stalls, until something holds.
func (r *rig) pump(a *Agent, ok func() bool) {
	r.t.Helper()
	eventually(r.t, "what the pauses lead to", func() bool {
		if ok() {
			return true
		}
		a.mu.Lock()
		idle := len(a.flights) == 0
		a.mu.Unlock()
		if idle {
			r.clock.Advance(tuning.StageBackoff)
		}
		return false
	})
}

func pinned(a *Agent, name string) *roaring.Bitmap {
	for _, h := range a.Report(false).Pinned {
		if h.Dataset == name {
			return h.Parts.Bitmap
		}
	}
	return roaring.New()
}

var store = api.StageSource{Store: true}

// Hard case 1: the store vanishes in the middle, in each of its ways. A peer is turned
// to, blocks that came are kept, nothing wrong is ever pinned.
func TestStoreVanishesAndAPeerHasIt(t *testing.T) {
	for _, kind := range []string{"reset", "short", "hang", "drip", "503", "wrong"} {
		t.Run(kind, func(t *testing.T) {
			r := newRig(t)
			data := random(1, 5*block+100)
			m, d := r.store.Add("inv", data, len(data), 1)
			peer, at := r.agent(t.TempDir(), 1<<30, nil)
			r.apply(peer, order(1, 1, "inv", d, []api.StageSource{store}, 0))
			eventually(t, "the peer has it", func() bool { return pinned(peer, "inv").Contains(0) })

			r.store.Break(fake.Fault{Kind: kind, After: 2*block + 17})
			dir := t.TempDir()
			a, _ := r.agent(dir, 1<<30, nil)
			o := order(1, 1, "inv", d, []api.StageSource{store, at}, 0)
			if kind == "503" {
				// Its manifest must come from the peer, too.
				o.Sets[0].Copies[0].From = []api.StageSource{at, store}
				o.Sets[0].Copies = append(o.Sets[0].Copies[:0], api.StageCopy{Part: 0, From: []api.StageSource{store, at}})
			}
			r.apply(a, o)
			if kind == "hang" || kind == "drip" {
				<-r.store.Hanging
				// The third block never comes whole.
				eventually(t, "two blocks are there", func() bool {
					c := a.Report(false).Copies
					return len(c) == 1 && c[0].Got == 2*block
				})
				r.clock.Advance(tuning.StageStall + time.Second)
			}
			eventually(t, "it is pinned", func() bool { return pinned(a, "inv").Contains(0) })
			if err := a.cache.Check(m.Chunks[0]); err != nil {
				t.Fatal(err)
			}
			fromPeer := a.Report(false).FromPeers
			if kept := int64(len(data)) - fromPeer; kind != "503" && kind != "wrong" && kept < 2*block {
				t.Errorf("the peer gave %d of %d bytes, so verified blocks were thrown away", fromPeer, len(data))
			}
			got, err := os.ReadFile(filepath.Join(dir, "inputs", "inv", "part-000000", "000000"))
			if err != nil || !bytes.Equal(got, data) {
				t.Fatalf("what the task reads differs: %v", err)
			}
		})
	}
}

// The same without a peer: it waits, and goes on where it stopped once the store is back.
func TestStoreComesBack(t *testing.T) {
	for _, kind := range []string{"reset", "503", "wrong"} {
		t.Run(kind, func(t *testing.T) {
			r := newRig(t)
			data := random(2, 6*block)
			m, d := r.store.Add("inv", data, 3*block, 1)
			a, _ := r.agent(t.TempDir(), 1<<30, nil)
			// The manifest comes before the trouble does.
			r.apply(a, order(1, 1, "inv", d, []api.StageSource{store}, 0))
			eventually(t, "the first part is there", func() bool { return pinned(a, "inv").Contains(0) })
			r.store.Break(fake.Fault{Kind: kind, After: block})
			r.apply(a, order(1, 2, "inv", d, []api.StageSource{store}, 0, 1))
			eventually(t, "the failure is told", func() bool {
				c := a.Report(false).Copies
				return len(c) == 1 && len(c[0].Failed) == 1 && c[0].Failed[0].Corrupt == (kind == "wrong")
			})
			if pinned(a, "inv").Contains(1) {
				t.Fatal("pinned without its bytes")
			}
			before, _ := r.store.Served()
			r.store.Break(fake.Fault{})
			r.pump(a, func() bool { return pinned(a, "inv").Contains(1) })
			after, _ := r.store.Served()
			if want := int64(2 * block); kind == "reset" && after-before > want {
				t.Errorf("%d bytes were copied again, want at most %d", after-before, want)
			}
			if err := a.cache.Check(m.Chunks[1]); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// Hard case 2: two datasets share their bytes, and both are wanted at once. Each chunk
// crosses the link once; when one is called off, the other's goes on.
func TestTwoRaceForTheSameChunk(t *testing.T) {
	r := newRig(t)
	data := random(3, 3*block)
	_, d1 := r.store.Add("one", data, len(data), 1)
	_, d2 := r.store.Add("two", data, len(data), 1)
	a, _ := r.agent(t.TempDir(), 1<<30, nil)
	r.store.Break(fake.Fault{Kind: "hang", After: block})
	o := order(1, 1, "one", d1, []api.StageSource{store}, 0)
	both := *o
	both.Sets = append(both.Sets, order(1, 1, "two", d2, []api.StageSource{store}, 0).Sets...)
	r.apply(a, &both)
	<-r.store.Hanging
	eventually(t, "both wait on one transfer", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, f := range a.flights {
			return f.refs == 2
		}
		return false
	})
	// One job is cancelled; its order lacks one of the two.
	one := order(1, 2, "two", d2, []api.StageSource{store}, 0)
	r.apply(a, one)
	eventually(t, "one waits", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, f := range a.flights {
			return f.refs == 1
		}
		return false
	})
	if _, most := r.store.Served(); most != 1 {
		t.Fatalf("the chunk was asked for %d times", most)
	}
	r.store.Break(fake.Fault{})
	r.clock.Advance(tuning.StageStall + time.Second)
	r.pump(a, func() bool { return pinned(a, "two").Contains(0) })
	if got := a.Report(false).FromStore; got > 4*block+4096 {
		t.Errorf("%d bytes for a chunk of %d", got, 3*block)
	}
}

// An order of an older leader, or an older order of the same one, changes nothing, also
// after the agent was killed.
func TestOldOrdersAreRefused(t *testing.T) {
	r := newRig(t)
	_, d := r.store.Add("inv", random(4, 100), 10, 1)
	dir := t.TempDir()
	a, at := r.agent(dir, 1<<20, nil)
	r.apply(a, order(7, 3, "inv", d, []api.StageSource{store}, 0, 1))
	eventually(t, "pinned", func() bool { return pinned(a, "inv").GetCardinality() == 2 })
	for _, again := range []bool{false, true} {
		if again {
			a, at = r.agent(dir, 1<<20, nil)
			eventually(t, "what was pinned is pinned after a restart", func() bool { return pinned(a, "inv").GetCardinality() == 2 })
		}
		for _, o := range []*api.StageOrder{order(6, 9, "inv", d, nil), order(7, 2, "inv", d, nil), {Term: 7, Order: 4, Incarnation: 99}} {
			raw, _ := json.Marshal(o)
			resp, err := http.Post("http://"+at.Peer+"/stage", "application/json", bytes.NewReader(raw))
			if err != nil || resp.StatusCode != http.StatusConflict {
				t.Fatalf("order %d/%d: %v %v", o.Term, o.Order, resp, err)
			}
			_ = resp.Body.Close()
		}
		if pinned(a, "inv").GetCardinality() != 2 {
			t.Fatal("an old order took pins away")
		}
	}
}

// The quota holds; what is pinned stays, the least recently used goes, and no report ever
// names a part that is not there.
func TestQuotaEvictsOnlyWhatIsFree(t *testing.T) {
	r := newRig(t)
	m, d := r.store.Add("inv", random(5, 8000), 1000, 1)
	a, _ := r.agent(t.TempDir(), 3500, nil)
	from := []api.StageSource{store}
	get := func(n uint64, parts ...uint32) {
		r.apply(a, order(1, n, "inv", d, from, parts...))
		eventually(t, "pinned", func() bool { return pinned(a, "inv").GetCardinality() == uint64(len(parts)) })
	}
	get(1, 0, 1, 2)
	get(2, 1, 2)
	get(3, 1, 2, 3) // 0 goes
	for _, h := range a.Report(true).Holds {
		if h.Parts.Contains(0) || !h.Parts.Contains(3) {
			t.Fatalf("holds %v", h.Parts)
		}
	}
	// More than fits is not taken, and said so.
	r.apply(a, order(1, 4, "inv", d, from, 1, 2, 3, 4))
	eventually(t, "full is told", func() bool {
		c := a.Report(false).Copies
		return len(c) == 1 && c[0].Full
	})
	for k := 1; k <= 3; k++ {
		if err := a.cache.Check(m.Chunks[k]); err != nil {
			t.Fatal(err)
		}
	}
	if a.cache.Used() > 3500 {
		t.Fatalf("%d bytes used", a.cache.Used())
	}
	// Once others may go, it comes in.
	r.apply(a, order(1, 5, "inv", d, from, 4))
	r.pump(a, func() bool { return pinned(a, "inv").Contains(4) })
}

// A dataset that was removed goes from the disk, but for the chunks that another one has as
// well; one that the order asks for stays, whatever else the order says. An order that
// comes again after a crash does the same.
func TestRemovedDatasetsGo(t *testing.T) {
	r := newRig(t)
	data := random(11, 3000)
	m, old := r.store.Add("old", data, 1000, 1)
	_, next := r.store.Add("next", append(data[1000:2000:2000], random(12, 1000)...), 1000, 1)
	dir := t.TempDir()
	a, _ := r.agent(dir, 1<<20, nil)
	from := []api.StageSource{store}
	both := order(1, 1, "old", old, from, 0, 1, 2)
	both.Sets = append(both.Sets, order(1, 1, "next", next, from, 0, 1).Sets...)
	r.apply(a, both)
	eventually(t, "pinned", func() bool { return pinned(a, "old").GetCardinality() == 3 && pinned(a, "next").GetCardinality() == 2 })
	wanted := *both
	wanted.Order, wanted.Drop = 2, []string{old.String(), "no digest", dataset.Sum(nil).String()}
	r.apply(a, &wanted)
	if pinned(a, "old").GetCardinality() != 3 {
		t.Fatal("what the order asks for was let go")
	}
	o := order(1, 3, "next", next, nil, 0, 1)
	r.apply(a, o)
	a, _ = r.agent(dir, 1<<20, nil)
	o.Drop = wanted.Drop
	r.apply(a, o)
	for _, h := range a.Report(true).Holds {
		if h.Dataset != "next" || h.Parts.GetCardinality() != 2 {
			t.Errorf("holds %v of %s", h.Parts, h.Dataset)
		}
	}
	if err := a.cache.Check(m.Chunks[1]); err != nil || a.cache.Used() != 2000 {
		t.Errorf("%d bytes left; the shared chunk: %v", a.cache.Used(), err)
	}
	left, err := os.ReadDir(filepath.Join(dir, "chunks"))
	if err != nil || len(left) != 2 {
		t.Errorf("%d chunks on disk: %v", len(left), err)
	}
}

// A disk that changes bytes must not get them pinned or counted.
func TestDamageOnDiskIsFound(t *testing.T) {
	r := newRig(t)
	m, d := r.store.Add("inv", random(6, 3000), 1000, 1)
	dir := t.TempDir()
	a, _ := r.agent(dir, 1<<20, nil)
	r.apply(a, order(1, 1, "inv", d, []api.StageSource{store}, 0, 1))
	eventually(t, "pinned", func() bool { return pinned(a, "inv").GetCardinality() == 2 })
	p := filepath.Join(dir, "chunks", m.Chunks[0].Digest.String())
	if err := os.WriteFile(p, random(7, 1000), 0o644); err != nil {
		t.Fatal(err)
	}
	r.store.Break(fake.Fault{Kind: "503"})
	b, _ := r.agent(dir, 1<<20, nil) // a new process
	eventually(t, "the good one is pinned", func() bool { return pinned(b, "inv").Contains(1) })
	eventually(t, "the damaged one is gone", func() bool { return !b.cache.Has(m.Chunks[0]) })
	if rep := b.Report(true); pinned(b, "inv").Contains(0) || len(rep.Holds) != 1 || rep.Holds[0].Parts.Contains(0) {
		t.Fatal("a damaged part is told as held")
	}
}

// Packing pays for text, not for noise; either way the same bytes arrive.
func TestPeersPackWherePays(t *testing.T) {
	for kind, data := range map[string][]byte{"text": bytes.Repeat([]byte("item,player,purchase\n"), 40000), "noise": random(8, 800000)} {
		r := newRig(t)
		_, d := r.store.Add("inv", data, len(data), 1)
		a, at := r.agent(t.TempDir(), 1<<30, nil)
		r.apply(a, order(1, 1, "inv", d, []api.StageSource{store}, 0))
		eventually(t, "there", func() bool { return pinned(a, "inv").Contains(0) })
		b, _ := r.agent(t.TempDir(), 1<<30, nil)
		r.apply(b, order(1, 1, "inv", d, []api.StageSource{at}, 0))
		eventually(t, "there too", func() bool { return pinned(b, "inv").Contains(0) })
		if got := b.Report(false).FromPeers; (got < int64(len(data))/2) != (kind == "text") {
			t.Errorf("%s: %d bytes over the link for %d", kind, got, len(data))
		}
	}
}

// dieAt is an agent in a process of its own that kills itself at the n-th step of a write.
func dieAt() {
	n, _ := strconv.Atoi(os.Getenv("STAGER_DIES_AT"))
	var left atomic.Int64
	left.Store(int64(n))
	step := func(what string) {
		fmt.Println(what)
		if left.Add(-1) < 0 {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
	}
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	a, err := New(ctx, Options{Machine: "n-1", Address: "127.0.0.1:1", Dir: os.Getenv("STAGER_DIR"), CacheBytes: 1 << 30, Store: os.Getenv("STAGER_STORE"), Step: step})
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	go a.Run(ctx)
	d, _ := dataset.ParseDigest(os.Getenv("STAGER_MANIFEST"))
	if _, err := a.Apply(order(1, 1, "inv", d, []api.StageSource{store}, 0, 1)); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	for pinned(a, "inv").GetCardinality() < 2 && ctx.Err() == nil {
		runtime.Gosched()
	}
}

// Hard case 3: the agent is killed at each step of its writes, as a real process. What it
// says that it holds afterwards is whole, no torn chunk can be had from it, and at most
// one block a transfer is copied again.
func TestKilledAtEachStep(t *testing.T) {
	r := newRig(t)
	data := random(9, 2*(2*block+500))
	m, d := r.store.Add("inv", data, len(data)/2, 1)
	last := false
	for n := 0; !last && n < 60; n++ {
		dir := t.TempDir()
		cmd := exec.Command(os.Args[0], "-test.run=^$")
		cmd.Env = append(os.Environ(), "STAGER_DIES_AT="+strconv.Itoa(n), "STAGER_DIR="+dir, "STAGER_STORE="+r.url, "STAGER_MANIFEST="+d.String())
		out, err := cmd.CombinedOutput()
		last = err == nil
		if err != nil && !strings.Contains(err.Error(), "killed") {
			t.Fatalf("step %d: %v %s", n, err, out)
		}
		// The store may have sent more than the process lived to see: what it wrote is
		// what counts.
		had, blocks := int64(0), strings.Count(string(out), "write\n")
		for _, sub := range []string{"chunks", "partial"} {
			files, _ := os.ReadDir(filepath.Join(dir, sub))
			for _, f := range files {
				if info, err := f.Info(); err == nil {
					had += info.Size()
				}
			}
		}
		// Two of a chunk's three blocks are full ones; each transfer may lose its last.
		if had < int64(max(0, blocks-2))*500 || blocks >= 5 && had < 2*block {
			t.Errorf("step %d: %d blocks were written, %d bytes are there", n, blocks, had)
		}
		a, at := r.agent(dir, 1<<30, nil)
		for _, h := range a.Report(true).Holds {
			for _, k := range h.Parts.ToArray() {
				if err := a.cache.Check(m.Chunks[k]); err != nil {
					t.Fatalf("step %d: told as held: %v", n, err)
				}
			}
		}
		for i, c := range m.Chunks {
			resp, err := http.Get("http://" + at.Peer + "/chunk/" + c.Digest.String())
			if err != nil {
				t.Fatal(err)
			}
			var got bytes.Buffer
			_, _ = got.ReadFrom(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK && dataset.Sum(got.Bytes()) != c.Digest {
				t.Fatalf("step %d: chunk %d is served torn", n, i)
			}
		}
		r.apply(a, order(1, 2, "inv", d, []api.StageSource{store}, 0, 1))
		eventually(t, "whole after the restart", func() bool { return pinned(a, "inv").GetCardinality() == 2 })
		if again := a.Report(false).FromStore - (int64(len(data)) - had); again > 2*block+8192 {
			t.Errorf("step %d: %d bytes copied again by two transfers, a block is %d", n, again, block)
		}
	}
	if !last {
		t.Error("the steps never ended")
	}
}

// A disk that is full is told as a full cache, and what the agent has stays right.
func TestDiskIsFull(t *testing.T) {
	if _, err := os.Stat("/dev/full"); err != nil {
		t.Skip("no /dev/full here")
	}
	r := newRig(t)
	m, d := r.store.Add("inv", random(10, 2000), 1000, 1)
	dir := t.TempDir()
	a, _ := r.agent(dir, 1<<20, nil)
	// Whatever is written to the second chunk meets a disk without room.
	if err := os.Symlink("/dev/full", filepath.Join(dir, "partial", m.Chunks[1].Digest.String())); err != nil {
		t.Fatal(err)
	}
	r.apply(a, order(1, 1, "inv", d, []api.StageSource{store}, 0, 1))
	eventually(t, "full is told", func() bool {
		c := a.Report(false).Copies
		return len(c) == 1 && c[0].Part == 1 && c[0].Full
	})
	eventually(t, "the other part is there", func() bool { return pinned(a, "inv").Contains(0) })
	if pinned(a, "inv").Contains(1) || a.cache.Has(m.Chunks[1]) {
		t.Fatal("a chunk without its bytes is told as held")
	}
	if err := os.Remove(filepath.Join(dir, "partial", m.Chunks[1].Digest.String())); err != nil {
		t.Fatal(err)
	}
	r.pump(a, func() bool { return pinned(a, "inv").Contains(1) })
}

// An agent finds the leader as a worker does: one controller is down, one sends it on,
// the third gives the order; what it holds goes out in full until the controllers know.
func TestAgentFindsTheLeader(t *testing.T) {
	r := newRig(t)
	_, d := r.store.Add("inv", random(11, 300), 100, 1)
	var mu sync.Mutex
	var last api.StageHeartbeat
	fulls, known := 0, uint64(0)
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		last = api.StageHeartbeat{}
		if err := json.NewDecoder(q.Body).Decode(&last); err != nil || last.Check() != nil || q.URL.Path != "/v1/staging" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		o := order(4, 1, "inv", d, []api.StageSource{store}, 0, 2)
		if last.All {
			fulls++
			known = last.Version
		}
		o.Known = known
		_ = json.NewEncoder(w).Encode(o)
	}))
	defer leader.Close()
	follower := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		_, _ = w.Write([]byte(`{"harbor":"c"}`))
	}))
	defer follower.Close()
	down := httptest.NewServer(nil)
	down.Close()
	addr := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	a, err := New(r.ctx, Options{Machine: "n-1", Address: "127.0.0.1:1", Dir: t.TempDir(), CacheBytes: 1 << 20, Store: r.url, Clock: r.clock,
		Controllers: map[string]string{"a": addr(down), "b": addr(follower), "c": addr(leader)}})
	if err != nil {
		t.Fatal(err)
	}
	go a.Run(r.ctx)
	eventually(t, "the leader knows what is pinned, and all that is held", func() bool {
		r.clock.Advance(tuning.StageReportMin)
		mu.Lock()
		defer mu.Unlock()
		return len(last.Pinned) == 1 && last.Pinned[0].Parts.GetCardinality() == 2 && last.Term == 4 && last.Order == 1 && fulls > 0
	})
	if a.Version() == 0 {
		t.Fatal("nothing was counted as held")
	}
}

// A peer that lies: it says that it holds a part and gives other bytes, or has nothing.
// The next source is taken, and only wrong bytes are told as a lie.
func TestPeerLies(t *testing.T) {
	for _, kind := range []string{"other bytes", "nothing", "packed nonsense"} {
		r := newRig(t)
		_, d := r.store.Add("inv", random(12, 5000), 5000, 1)
		asked := make(chan struct{}, 8)
		liar := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			asked <- struct{}{}
			switch {
			case kind == "nothing" || strings.HasPrefix(q.URL.Path, "/manifest/"):
				w.WriteHeader(http.StatusNotFound)
			case kind == "packed nonsense":
				w.Header().Set("Content-Encoding", "zstd")
				_, _ = w.Write(random(13, 900))
			default:
				_, _ = w.Write(random(13, 5000))
			}
		}))
		a, _ := r.agent(t.TempDir(), 1<<20, nil)
		peer := api.StageSource{Peer: strings.TrimPrefix(liar.URL, "http://")}
		r.apply(a, order(1, 1, "inv", d, []api.StageSource{peer, store}, 0))
		told := false
		eventually(t, kind+": it comes from the store", func() bool {
			for _, c := range a.Report(false).Copies {
				for _, f := range c.Failed {
					told = told || f.Corrupt && f.From == peer
				}
			}
			return pinned(a, "inv").Contains(0)
		})
		if kind == "nothing" && told {
			t.Error("a peer that evicted a part is told as a liar")
		}
		if len(asked) < 2 {
			t.Errorf("%s: the peer was asked %d times, so this shows nothing", kind, len(asked))
		}
		liar.Close()
	}
}
