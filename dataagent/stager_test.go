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
		killAtStep()
		return
	}
	os.Exit(m.Run())
}

const block = tuning.StageBlock

func randomBytes(seed uint64, size int) []byte {
	rng := rand.New(rand.NewPCG(seed, 1))
	out := make([]byte, size)
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

type fixture struct {
	t     *testing.T
	clock *clockwork.FakeClock
	store *fake.Objects
	url   string
	ctx   context.Context
}

func newFixture(t *testing.T) *fixture {
	fixture := &fixture{t: t, clock: clockwork.NewFakeClock(), store: fake.NewObjects()}
	server := httptest.NewServer(fixture.store)
	server.Config.ErrorLog = nil
	t.Cleanup(server.Close)
	fixture.url = server.URL
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	fixture.ctx = ctx
	return fixture
}

// startAgent starts an agent with a port of its own.
func (fixture *fixture) startAgent(dir string, quota int64, step func(string)) (*Agent, api.StageSource) {
	agent, err := New(fixture.ctx, Options{Machine: "n-1", Address: "127.0.0.1:1", Dir: dir, CacheBytes: quota, Store: fixture.url, Clock: fixture.clock, Pack: true, Step: step})
	if err != nil {
		fixture.t.Fatal(err)
	}
	server := httptest.NewServer(agent.Handler())
	fixture.t.Cleanup(server.Close)
	go agent.Run(fixture.ctx)
	return agent, api.StageSource{Peer: strings.TrimPrefix(server.URL, "http://")}
}

func newOrder(term, n uint64, name string, digest dataset.Digest, from []api.StageSource, parts ...uint32) *api.StageOrder {
	set := api.StageSet{Dataset: name, Manifest: digest.String(), Parts: api.PartSet{Bitmap: roaring.BitmapOf(parts...)}}
	for _, part := range parts {
		if from != nil {
			set.Copies = append(set.Copies, api.StageCopy{Part: int(part), From: from})
		}
	}
	return &api.StageOrder{Term: term, Order: n, Sets: []api.StageSet{set}}
}

func (fixture *fixture) apply(agent *Agent, order *api.StageOrder) {
	fixture.t.Helper()
	if ok, err := agent.Apply(order); !ok || err != nil {
		fixture.t.Fatalf("order %d/%d: %v %v", order.Term, order.Order, ok, err)
	}
}

// pump lets time pass while nothing is on its way, so that pauses end and no transfer
// stalls, until something holds.
func (fixture *fixture) pump(agent *Agent, ok func() bool) {
	fixture.t.Helper()
	eventually(fixture.t, "what the pauses lead to", func() bool {
		if ok() {
			return true
		}
		agent.mu.Lock()
		idle := len(agent.downloads) == 0
		agent.mu.Unlock()
		if idle {
			fixture.clock.Advance(tuning.StageBackoff)
		}
		return false
	})
}

func pinnedParts(agent *Agent, name string) *roaring.Bitmap {
	for _, h := range agent.Report(false).Pinned {
		if h.Dataset == name {
			return h.Parts.Bitmap
		}
	}
	return roaring.New()
}

var fromStore = api.StageSource{Store: true}

// Hard case 1: the store vanishes in the middle, in each of its ways. A peer is turned
// to, blocks that came are kept, nothing wrong is ever pinned.
func TestStoreVanishesAndAPeerHasIt(t *testing.T) {
	for _, kind := range []string{"reset", "short", "hang", "drip", "503", "wrong"} {
		t.Run(kind, func(t *testing.T) {
			fixture := newFixture(t)
			data := randomBytes(1, 5*block+100)
			manifest, digest := fixture.store.Add("inv", data, len(data), 1)
			peer, at := fixture.startAgent(t.TempDir(), 1<<30, nil)
			fixture.apply(peer, newOrder(1, 1, "inv", digest, []api.StageSource{fromStore}, 0))
			eventually(t, "the peer has it", func() bool { return pinnedParts(peer, "inv").Contains(0) })

			fixture.store.Break(fake.Fault{Kind: kind, After: 2*block + 17})
			dir := t.TempDir()
			agent, _ := fixture.startAgent(dir, 1<<30, nil)
			order := newOrder(1, 1, "inv", digest, []api.StageSource{fromStore, at}, 0)
			if kind == "503" {
				// Its manifest must come from the peer, too.
				order.Sets[0].Copies[0].From = []api.StageSource{at, fromStore}
				order.Sets[0].Copies = append(order.Sets[0].Copies[:0], api.StageCopy{Part: 0, From: []api.StageSource{fromStore, at}})
			}
			fixture.apply(agent, order)
			if kind == "hang" || kind == "drip" {
				<-fixture.store.Hanging
				// The third block never comes whole.
				eventually(t, "two blocks are there", func() bool {
					c := agent.Report(false).Copies
					return len(c) == 1 && c[0].Got == 2*block
				})
				fixture.clock.Advance(tuning.StageStall + time.Second)
			}
			eventually(t, "it is pinned", func() bool { return pinnedParts(agent, "inv").Contains(0) })
			if err := agent.cache.Verify(manifest.Chunks[0]); err != nil {
				t.Fatal(err)
			}
			fromPeer := agent.Report(false).FromPeers
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
			fixture := newFixture(t)
			data := randomBytes(2, 6*block)
			manifest, digest := fixture.store.Add("inv", data, 3*block, 1)
			agent, _ := fixture.startAgent(t.TempDir(), 1<<30, nil)
			// The manifest comes before the trouble does.
			fixture.apply(agent, newOrder(1, 1, "inv", digest, []api.StageSource{fromStore}, 0))
			eventually(t, "the first part is there", func() bool { return pinnedParts(agent, "inv").Contains(0) })
			fixture.store.Break(fake.Fault{Kind: kind, After: block})
			fixture.apply(agent, newOrder(1, 2, "inv", digest, []api.StageSource{fromStore}, 0, 1))
			eventually(t, "the failure is told", func() bool {
				c := agent.Report(false).Copies
				return len(c) == 1 && len(c[0].Failed) == 1 && c[0].Failed[0].Corrupt == (kind == "wrong")
			})
			if pinnedParts(agent, "inv").Contains(1) {
				t.Fatal("pinned without its bytes")
			}
			before, _ := fixture.store.Served()
			fixture.store.Break(fake.Fault{})
			fixture.pump(agent, func() bool { return pinnedParts(agent, "inv").Contains(1) })
			after, _ := fixture.store.Served()
			if want := int64(2 * block); kind == "reset" && after-before > want {
				t.Errorf("%d bytes were copied again, want at most %d", after-before, want)
			}
			if err := agent.cache.Verify(manifest.Chunks[1]); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// Hard case 2: two datasets share their bytes, and both are wanted at once. Each chunk
// crosses the link once; when one is called off, the other's goes on.
func TestTwoRaceForTheSameChunk(t *testing.T) {
	fixture := newFixture(t)
	data := randomBytes(3, 3*block)
	_, d1 := fixture.store.Add("one", data, len(data), 1)
	_, d2 := fixture.store.Add("two", data, len(data), 1)
	agent, _ := fixture.startAgent(t.TempDir(), 1<<30, nil)
	fixture.store.Break(fake.Fault{Kind: "hang", After: block})
	order := newOrder(1, 1, "one", d1, []api.StageSource{fromStore}, 0)
	both := *order
	both.Sets = append(both.Sets, newOrder(1, 1, "two", d2, []api.StageSource{fromStore}, 0).Sets...)
	fixture.apply(agent, &both)
	<-fixture.store.Hanging
	eventually(t, "both wait on one transfer", func() bool {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		for _, transfer := range agent.downloads {
			return transfer.waiters == 2
		}
		return false
	})
	// One job is cancelled; its order lacks one of the two.
	one := newOrder(1, 2, "two", d2, []api.StageSource{fromStore}, 0)
	fixture.apply(agent, one)
	eventually(t, "one waits", func() bool {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		for _, transfer := range agent.downloads {
			return transfer.waiters == 1
		}
		return false
	})
	if _, most := fixture.store.Served(); most != 1 {
		t.Fatalf("the chunk was asked for %d times", most)
	}
	fixture.store.Break(fake.Fault{})
	fixture.clock.Advance(tuning.StageStall + time.Second)
	fixture.pump(agent, func() bool { return pinnedParts(agent, "two").Contains(0) })
	if got := agent.Report(false).FromStore; got > 4*block+4096 {
		t.Errorf("%d bytes for a chunk of %d", got, 3*block)
	}
}

// An order of an older leader, or an older order of the same one, changes nothing, also
// after the agent was killed.
func TestOldOrdersAreRefused(t *testing.T) {
	fixture := newFixture(t)
	_, digest := fixture.store.Add("inv", randomBytes(4, 100), 10, 1)
	dir := t.TempDir()
	agent, at := fixture.startAgent(dir, 1<<20, nil)
	fixture.apply(agent, newOrder(7, 3, "inv", digest, []api.StageSource{fromStore}, 0, 1))
	eventually(t, "pinned", func() bool { return pinnedParts(agent, "inv").GetCardinality() == 2 })
	for _, again := range []bool{false, true} {
		if again {
			agent, at = fixture.startAgent(dir, 1<<20, nil)
			eventually(t, "what was pinned is pinned after a restart", func() bool { return pinnedParts(agent, "inv").GetCardinality() == 2 })
		}
		for _, order := range []*api.StageOrder{newOrder(6, 9, "inv", digest, nil), newOrder(7, 2, "inv", digest, nil), {Term: 7, Order: 4, Incarnation: 99}} {
			raw, _ := json.Marshal(order)
			response, err := http.Post("http://"+at.Peer+"/stage", "application/json", bytes.NewReader(raw))
			if err != nil || response.StatusCode != http.StatusConflict {
				t.Fatalf("order %d/%d: %v %v", order.Term, order.Order, response, err)
			}
			_ = response.Body.Close()
		}
		if pinnedParts(agent, "inv").GetCardinality() != 2 {
			t.Fatal("an old order took pins away")
		}
	}
}

// The quota holds; what is pinned stays, the least recently used goes, and no report ever
// names a part that is not there.
func TestQuotaEvictsOnlyWhatIsFree(t *testing.T) {
	fixture := newFixture(t)
	manifest, digest := fixture.store.Add("inv", randomBytes(5, 8000), 1000, 1)
	agent, _ := fixture.startAgent(t.TempDir(), 3500, nil)
	from := []api.StageSource{fromStore}
	get := func(n uint64, parts ...uint32) {
		fixture.apply(agent, newOrder(1, n, "inv", digest, from, parts...))
		eventually(t, "pinned", func() bool { return pinnedParts(agent, "inv").GetCardinality() == uint64(len(parts)) })
	}
	get(1, 0, 1, 2)
	get(2, 1, 2)
	get(3, 1, 2, 3) // 0 goes
	for _, h := range agent.Report(true).Holds {
		if h.Parts.Contains(0) || !h.Parts.Contains(3) {
			t.Fatalf("holds %v", h.Parts)
		}
	}
	// More than fits is not taken, and said so.
	fixture.apply(agent, newOrder(1, 4, "inv", digest, from, 1, 2, 3, 4))
	eventually(t, "full is told", func() bool {
		c := agent.Report(false).Copies
		return len(c) == 1 && c[0].Full
	})
	for part := 1; part <= 3; part++ {
		if err := agent.cache.Verify(manifest.Chunks[part]); err != nil {
			t.Fatal(err)
		}
	}
	if agent.cache.Used() > 3500 {
		t.Fatalf("%d bytes used", agent.cache.Used())
	}
	// Once others may go, it comes in.
	fixture.apply(agent, newOrder(1, 5, "inv", digest, from, 4))
	fixture.pump(agent, func() bool { return pinnedParts(agent, "inv").Contains(4) })
}

// A dataset that was removed goes from the disk, but for the chunks that another one has as
// well; one that the order asks for stays, whatever else the order says. An order that
// comes again after a crash does the same.
func TestRemovedDatasetsGo(t *testing.T) {
	fixture := newFixture(t)
	data := randomBytes(11, 3000)
	manifest, old := fixture.store.Add("old", data, 1000, 1)
	_, next := fixture.store.Add("next", append(data[1000:2000:2000], randomBytes(12, 1000)...), 1000, 1)
	dir := t.TempDir()
	agent, _ := fixture.startAgent(dir, 1<<20, nil)
	from := []api.StageSource{fromStore}
	both := newOrder(1, 1, "old", old, from, 0, 1, 2)
	both.Sets = append(both.Sets, newOrder(1, 1, "next", next, from, 0, 1).Sets...)
	fixture.apply(agent, both)
	eventually(t, "pinned", func() bool {
		return pinnedParts(agent, "old").GetCardinality() == 3 && pinnedParts(agent, "next").GetCardinality() == 2
	})
	wanted := *both
	wanted.Order, wanted.Drop = 2, []string{old.String(), "no digest", dataset.Sum(nil).String()}
	fixture.apply(agent, &wanted)
	if pinnedParts(agent, "old").GetCardinality() != 3 {
		t.Fatal("what the order asks for was let go")
	}
	order := newOrder(1, 3, "next", next, nil, 0, 1)
	fixture.apply(agent, order)
	agent, _ = fixture.startAgent(dir, 1<<20, nil)
	order.Drop = wanted.Drop
	fixture.apply(agent, order)
	for _, h := range agent.Report(true).Holds {
		if h.Dataset != "next" || h.Parts.GetCardinality() != 2 {
			t.Errorf("holds %v of %s", h.Parts, h.Dataset)
		}
	}
	if err := agent.cache.Verify(manifest.Chunks[1]); err != nil || agent.cache.Used() != 2000 {
		t.Errorf("%d bytes left; the shared chunk: %v", agent.cache.Used(), err)
	}
	left, err := os.ReadDir(filepath.Join(dir, "chunks"))
	if err != nil || len(left) != 2 {
		t.Errorf("%d chunks on disk: %v", len(left), err)
	}
}

// A disk that changes bytes must not get them pinned or counted.
func TestDamageOnDiskIsFound(t *testing.T) {
	fixture := newFixture(t)
	manifest, digest := fixture.store.Add("inv", randomBytes(6, 3000), 1000, 1)
	dir := t.TempDir()
	agent, _ := fixture.startAgent(dir, 1<<20, nil)
	fixture.apply(agent, newOrder(1, 1, "inv", digest, []api.StageSource{fromStore}, 0, 1))
	eventually(t, "pinned", func() bool { return pinnedParts(agent, "inv").GetCardinality() == 2 })
	p := filepath.Join(dir, "chunks", manifest.Chunks[0].Digest.String())
	if err := os.WriteFile(p, randomBytes(7, 1000), 0o644); err != nil {
		t.Fatal(err)
	}
	fixture.store.Break(fake.Fault{Kind: "503"})
	b, _ := fixture.startAgent(dir, 1<<20, nil) // agent new process
	eventually(t, "the good one is pinned", func() bool { return pinnedParts(b, "inv").Contains(1) })
	eventually(t, "the damaged one is gone", func() bool { return !b.cache.Has(manifest.Chunks[0]) })
	if rep := b.Report(true); pinnedParts(b, "inv").Contains(0) || len(rep.Holds) != 1 || rep.Holds[0].Parts.Contains(0) {
		t.Fatal("a damaged part is told as held")
	}
}

// Packing pays for text, not for noise; either way the same bytes arrive.
func TestPeersPackWherePays(t *testing.T) {
	for kind, data := range map[string][]byte{"text": bytes.Repeat([]byte("item,player,purchase\n"), 40000), "noise": randomBytes(8, 800000)} {
		fixture := newFixture(t)
		_, digest := fixture.store.Add("inv", data, len(data), 1)
		agent, at := fixture.startAgent(t.TempDir(), 1<<30, nil)
		fixture.apply(agent, newOrder(1, 1, "inv", digest, []api.StageSource{fromStore}, 0))
		eventually(t, "there", func() bool { return pinnedParts(agent, "inv").Contains(0) })
		b, _ := fixture.startAgent(t.TempDir(), 1<<30, nil)
		fixture.apply(b, newOrder(1, 1, "inv", digest, []api.StageSource{at}, 0))
		eventually(t, "there too", func() bool { return pinnedParts(b, "inv").Contains(0) })
		if got := b.Report(false).FromPeers; (got < int64(len(data))/2) != (kind == "text") {
			t.Errorf("%s: %d bytes over the link for %d", kind, got, len(data))
		}
	}
}

// killAtStep is an agent in a process of its own that kills itself at the n-th step of a write.
func killAtStep() {
	size, _ := strconv.Atoi(os.Getenv("STAGER_DIES_AT"))
	var left atomic.Int64
	left.Store(int64(size))
	step := func(what string) {
		fmt.Println(what)
		if left.Add(-1) < 0 {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
	}
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	agent, err := New(ctx, Options{Machine: "n-1", Address: "127.0.0.1:1", Dir: os.Getenv("STAGER_DIR"), CacheBytes: 1 << 30, Store: os.Getenv("STAGER_STORE"), Step: step})
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	go agent.Run(ctx)
	digest, _ := dataset.ParseDigest(os.Getenv("STAGER_MANIFEST"))
	if _, err := agent.Apply(newOrder(1, 1, "inv", digest, []api.StageSource{fromStore}, 0, 1)); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	for pinnedParts(agent, "inv").GetCardinality() < 2 && ctx.Err() == nil {
		runtime.Gosched()
	}
}

// Hard case 3: the agent is killed at each step of its writes, as a real process. What it
// says that it holds afterwards is whole, no torn chunk can be had from it, and at most
// one block a transfer is copied again.
func TestKilledAtEachStep(t *testing.T) {
	fixture := newFixture(t)
	data := randomBytes(9, 2*(2*block+500))
	manifest, digest := fixture.store.Add("inv", data, len(data)/2, 1)
	last := false
	for size := 0; !last && size < 60; size++ {
		dir := t.TempDir()
		cmd := exec.Command(os.Args[0], "-test.run=^$")
		cmd.Env = append(os.Environ(), "STAGER_DIES_AT="+strconv.Itoa(size), "STAGER_DIR="+dir, "STAGER_STORE="+fixture.url, "STAGER_MANIFEST="+digest.String())
		out, err := cmd.CombinedOutput()
		last = err == nil
		if err != nil && !strings.Contains(err.Error(), "killed") {
			t.Fatalf("step %d: %v %s", size, err, out)
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
			t.Errorf("step %d: %d blocks were written, %d bytes are there", size, blocks, had)
		}
		agent, at := fixture.startAgent(dir, 1<<30, nil)
		for _, h := range agent.Report(true).Holds {
			for _, part := range h.Parts.ToArray() {
				if err := agent.cache.Verify(manifest.Chunks[part]); err != nil {
					t.Fatalf("step %d: told as held: %v", size, err)
				}
			}
		}
		for i, c := range manifest.Chunks {
			response, err := http.Get("http://" + at.Peer + "/chunk/" + c.Digest.String())
			if err != nil {
				t.Fatal(err)
			}
			var got bytes.Buffer
			_, _ = got.ReadFrom(response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK && dataset.Sum(got.Bytes()) != c.Digest {
				t.Fatalf("step %d: chunk %d is served torn", size, i)
			}
		}
		fixture.apply(agent, newOrder(1, 2, "inv", digest, []api.StageSource{fromStore}, 0, 1))
		eventually(t, "whole after the restart", func() bool { return pinnedParts(agent, "inv").GetCardinality() == 2 })
		if again := agent.Report(false).FromStore - (int64(len(data)) - had); again > 2*block+8192 {
			t.Errorf("step %d: %d bytes copied again by two transfers, a block is %d", size, again, block)
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
	fixture := newFixture(t)
	manifest, digest := fixture.store.Add("inv", randomBytes(10, 2000), 1000, 1)
	dir := t.TempDir()
	agent, _ := fixture.startAgent(dir, 1<<20, nil)
	// Whatever is written to the second chunk meets a disk without room.
	if err := os.Symlink("/dev/full", filepath.Join(dir, "partial", manifest.Chunks[1].Digest.String())); err != nil {
		t.Fatal(err)
	}
	fixture.apply(agent, newOrder(1, 1, "inv", digest, []api.StageSource{fromStore}, 0, 1))
	eventually(t, "full is told", func() bool {
		c := agent.Report(false).Copies
		return len(c) == 1 && c[0].Part == 1 && c[0].Full
	})
	eventually(t, "the other part is there", func() bool { return pinnedParts(agent, "inv").Contains(0) })
	if pinnedParts(agent, "inv").Contains(1) || agent.cache.Has(manifest.Chunks[1]) {
		t.Fatal("a chunk without its bytes is told as held")
	}
	if err := os.Remove(filepath.Join(dir, "partial", manifest.Chunks[1].Digest.String())); err != nil {
		t.Fatal(err)
	}
	fixture.pump(agent, func() bool { return pinnedParts(agent, "inv").Contains(1) })
}

// An agent finds the leader as a worker does: one controller is down, one sends it on,
// the third gives the order; what it holds goes out in full until the controllers know.
func TestAgentFindsTheLeader(t *testing.T) {
	fixture := newFixture(t)
	_, digest := fixture.store.Add("inv", randomBytes(11, 300), 100, 1)
	var mu sync.Mutex
	var last api.StageHeartbeat
	fulls, known := 0, uint64(0)
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		last = api.StageHeartbeat{}
		if err := json.NewDecoder(request.Body).Decode(&last); err != nil || last.Check() != nil || request.URL.Path != "/v1/staging" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		order := newOrder(4, 1, "inv", digest, []api.StageSource{fromStore}, 0, 2)
		if last.All {
			fulls++
			known = last.Version
		}
		order.Known = known
		_ = json.NewEncoder(w).Encode(order)
	}))
	defer leader.Close()
	follower := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		_, _ = w.Write([]byte(`{"harbor":"c"}`))
	}))
	defer follower.Close()
	down := httptest.NewServer(nil)
	down.Close()
	addr := func(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }
	agent, err := New(fixture.ctx, Options{Machine: "n-1", Address: "127.0.0.1:1", Dir: t.TempDir(), CacheBytes: 1 << 20, Store: fixture.url, Clock: fixture.clock,
		Controllers: map[string]string{"a": addr(down), "b": addr(follower), "c": addr(leader)}})
	if err != nil {
		t.Fatal(err)
	}
	go agent.Run(fixture.ctx)
	eventually(t, "the leader knows what is pinned, and all that is held", func() bool {
		fixture.clock.Advance(tuning.StageReportMin)
		mu.Lock()
		defer mu.Unlock()
		return len(last.Pinned) == 1 && last.Pinned[0].Parts.GetCardinality() == 2 && last.Term == 4 && last.Order == 1 && fulls > 0
	})
	if agent.Version() == 0 {
		t.Fatal("nothing was counted as held")
	}
}

// A peer that lies: it says that it holds a part and gives other bytes, or has nothing.
// The next source is taken, and only wrong bytes are told as a lie.
func TestPeerLies(t *testing.T) {
	for _, kind := range []string{"other bytes", "nothing", "packed nonsense"} {
		fixture := newFixture(t)
		_, digest := fixture.store.Add("inv", randomBytes(12, 5000), 5000, 1)
		asked := make(chan struct{}, 8)
		liar := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			asked <- struct{}{}
			switch {
			case kind == "nothing" || strings.HasPrefix(request.URL.Path, "/manifest/"):
				w.WriteHeader(http.StatusNotFound)
			case kind == "packed nonsense":
				w.Header().Set("Content-Encoding", "zstd")
				_, _ = w.Write(randomBytes(13, 900))
			default:
				_, _ = w.Write(randomBytes(13, 5000))
			}
		}))
		agent, _ := fixture.startAgent(t.TempDir(), 1<<20, nil)
		peer := api.StageSource{Peer: strings.TrimPrefix(liar.URL, "http://")}
		fixture.apply(agent, newOrder(1, 1, "inv", digest, []api.StageSource{peer, fromStore}, 0))
		told := false
		eventually(t, kind+": it comes from the store", func() bool {
			for _, c := range agent.Report(false).Copies {
				for _, failure := range c.Failed {
					told = told || failure.Corrupt && failure.From == peer
				}
			}
			return pinnedParts(agent, "inv").Contains(0)
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
