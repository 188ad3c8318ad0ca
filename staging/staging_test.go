package staging

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/replicas"
)

var inv = &dataset.Summary{Name: "inv", Bytes: 80, Parts: 8, Usual: 10}

// played is an agent as the protocol has it: it takes newer orders, copies a part a step
// from its first source that works, and keeps what stands in its order.
type played struct {
	name         string
	session, seq uint64
	term, order  uint64
	sets         []api.StageSet
	has          map[uint32]bool
	lies, down   bool
	failed       map[int][]api.StageFailure
	store, peers int
	quota        int64
}

func (p *played) addr() string { return p.name + ":1" }

func (p *played) apply(o api.StageOrder) bool {
	if o.Term < p.term || o.Term == p.term && o.Order < p.order || o.Incarnation != p.session {
		return false
	}
	p.term, p.order, p.sets = o.Term, o.Order, o.Sets
	return true
}

func (p *played) report() *api.StageHeartbeat {
	p.seq++
	r := &api.StageHeartbeat{Machine: p.name, Address: p.addr(), Incarnation: p.session, Seq: p.seq, Term: p.term, Order: p.order, Quota: p.quota, All: true}
	held := roaring.New()
	for k := range p.has {
		held.Add(k)
	}
	r.Holds = []api.StageHeld{{Dataset: "inv", Manifest: inv.Manifest.String(), Of: 8, Parts: api.PartSet{Bitmap: held}}}
	for _, s := range p.sets {
		r.Pinned = append(r.Pinned, api.StageHeld{Dataset: s.Dataset, Manifest: s.Manifest, Parts: api.PartSet{Bitmap: roaring.And(held, s.Parts.Bitmap)}})
		for _, c := range s.Copies {
			if !p.has[uint32(c.Part)] {
				r.Copies = append(r.Copies, api.StageProgress{Dataset: s.Dataset, Part: c.Part, Of: 10, From: c.From[0], Failed: p.failed[c.Part]})
			}
		}
	}
	return r
}

// world moves parts between played agents as the orders say.
type world struct {
	agents    map[string]*played
	order     []string
	storeDown bool
	now       time.Time
}

func newWorld(n int) *world {
	w := &world{agents: map[string]*played{}, now: time.Unix(1000, 0)}
	for i := range n {
		name := fmt.Sprintf("n-%d", i)
		w.agents[name] = &played{name: name, session: 1, has: map[uint32]bool{}, failed: map[int][]api.StageFailure{}, quota: 1 << 30}
		w.order = append(w.order, name)
	}
	return w
}

func (w *world) step(d *Planner, wants []Demand) {
	w.now = w.now.Add(time.Second)
	for _, n := range w.order {
		if !w.agents[n].down {
			d.ApplyHeartbeat(w.agents[n].report(), w.now)
		}
	}
	for _, n := range d.Plan(wants, w.now) {
		if o, _, ok := d.Order(n); ok && !w.agents[n].down {
			w.agents[n].apply(o)
		}
	}
	type got struct {
		p *played
		k uint32
	}
	var done []got
	for _, n := range w.order {
		p := w.agents[n]
		for _, s := range p.sets {
			for _, c := range s.Copies {
				if p.down || p.has[uint32(c.Part)] {
					continue
				}
				for _, f := range c.From {
					q := w.agents[trim(f.Peer)]
					why, lied := "", false
					switch {
					case f.Store && w.storeDown, q != nil && q.down:
						why = "reset"
					case q != nil && q.lies:
						why, lied = "wrong bytes", true
					case q != nil && !q.has[uint32(c.Part)]:
						why = "missing"
					}
					if why == "" {
						done = append(done, got{p, uint32(c.Part)})
						if f.Store {
							p.store++
						} else {
							p.peers++
						}
						break
					}
					p.failed[c.Part] = append(p.failed[c.Part], api.StageFailure{From: f, Why: why, Corrupt: lied})
				}
			}
		}
	}
	for _, g := range done {
		g.p.has[g.k] = true
		delete(g.p.failed, int(g.k))
	}
}

func trim(addr string) string {
	if len(addr) < 2 {
		return ""
	}
	return addr[:len(addr)-2]
}

var limits = Limits{LinkRate: 100, StoreRate: 100, PerLink: 2, AtStore: 2, Peers: true}

func all(w *world, parts ...int) (out []Demand) {
	for _, k := range parts {
		for _, n := range w.order {
			out = append(out, Demand{n, inv, k})
		}
	}
	return out
}

func (w *world) proved(d *Planner, wants []Demand) bool {
	for _, x := range wants {
		if !d.Confirmed(x.Machine, x.Set, x.Part) {
			return false
		}
	}
	return true
}

// Whoever wants a part, it leaves the store once; the rest comes from machine to machine,
// within the limits of each link.
func TestEachPartLeavesTheStoreOnce(t *testing.T) {
	w := newWorld(9)
	d := New(5, limits, replicas.New())
	wants := all(w, 0, 1, 2)
	for range 40 {
		w.step(d, wants)
		for _, a := range d.agents {
			if a.down > 2 || a.up > 2 || d.atStore > 2 || a.down < 0 || a.up < 0 {
				t.Fatalf("%s: %d in, %d out, %d from the store", a.name, a.down, a.up, d.atStore)
			}
		}
	}
	store := 0
	for _, p := range w.agents {
		store += p.store
	}
	if !w.proved(d, wants) || store != 3 {
		t.Fatalf("proved %v, %d parts from the store", w.proved(d, wants), store)
	}
}

// The store goes, and a peer that holds a part lies about it or is gone: others are tried,
// and in the end everything is there.
func TestTroubledSourcesAreLeft(t *testing.T) {
	for _, kind := range []string{"store", "lies", "silent"} {
		w := newWorld(5)
		d := New(5, limits, replicas.New())
		w.agents["n-0"].has[0] = true
		if kind == "store" {
			w.storeDown = true
		}
		w.agents["n-0"].lies = kind == "lies"
		for i := range 60 {
			if kind == "silent" && i == 3 {
				w.agents["n-0"].down = true
			}
			if i == 20 {
				w.storeDown = false
			}
			w.step(d, all(w, 0, 1)[1:])
		}
		for _, n := range w.order[1:] {
			if !d.Confirmed(n, inv, 0) || !d.Confirmed(n, inv, 1) {
				t.Errorf("%s: %s lacks a part", kind, n)
			}
		}
		if kind == "lies" && w.agents["n-1"].peers+w.agents["n-2"].peers == 0 && w.agents["n-3"].peers+w.agents["n-4"].peers == 0 {
			t.Error("lies: nobody copied from an honest peer")
		}
	}
}

// Proofs hold only for an order that asked without a break, and for this term. A part that
// was out of the order in between may have been evicted, whatever an earlier report said.
func TestProofNeedsAnOrderSince(t *testing.T) {
	w := newWorld(1)
	d := New(5, limits, replicas.New())
	one := []Demand{{"n-0", inv, 1}}
	for range 5 {
		w.step(d, one)
	}
	if !d.Confirmed("n-0", inv, 1) {
		t.Fatal("not proved")
	}
	old := w.agents["n-0"].report()
	d.Plan(nil, w.now)
	if d.Confirmed("n-0", inv, 1) {
		t.Fatal("proved though it may go")
	}
	d.Plan(one, w.now)
	old.Seq += 5
	d.ApplyHeartbeat(old, w.now)
	if d.Confirmed("n-0", inv, 1) {
		t.Fatal("proved by a report that keeps an order from before the break")
	}
	w.agents["n-0"].seq += 9
	for range 3 {
		w.step(d, one)
	}
	if !d.Confirmed("n-0", inv, 1) {
		t.Fatal("not proved again")
	}
	// The next leader believes nothing that its own order did not ask for.
	next := New(6, limits, replicas.New())
	next.ApplyHeartbeat(w.agents["n-0"].report(), w.now)
	next.Plan(one, w.now)
	next.ApplyHeartbeat(w.agents["n-0"].report(), w.now)
	if next.Confirmed("n-0", inv, 1) {
		t.Fatal("proved under an earlier leader's order")
	}
	for range 3 {
		w.step(next, one)
	}
	late, _, _ := d.Order("n-0")
	if !next.Confirmed("n-0", inv, 1) || w.agents["n-0"].apply(late) {
		t.Fatal("the new leader's order does not hold, or an old one was taken")
	}
}

// The most urgent wants get a cache that cannot hold them all.
func TestCacheIsNotAskedForMoreThanItHolds(t *testing.T) {
	w := newWorld(1)
	w.agents["n-0"].quota = 35
	d := New(5, limits, replicas.New())
	for range 20 {
		w.step(d, all(w, 4, 5, 6, 7))
	}
	if got := len(w.agents["n-0"].has); got != 3 || w.agents["n-0"].has[7] {
		t.Fatalf("it holds %v", w.agents["n-0"].has)
	}
}

// However agents come, go and begin anew, the counts of links stay right and in the end
// everything wanted is there.
func TestCountsSurviveChaos(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 3))
		w := newWorld(6)
		d := New(5, limits, replicas.New())
		var wants []Demand
		for i := range 200 {
			if i < 150 {
				p := w.agents[w.order[rng.IntN(6)]]
				switch rng.IntN(8) {
				case 0:
					p.down = !p.down
				case 1:
					p.session, p.seq = p.session+1, 0
				case 2:
					d.RemoveMachine(p.name)
					p.has, p.session, p.seq, p.sets, p.term, p.order = map[uint32]bool{}, p.session+1, 0, nil, 0, 0
				case 3:
					w.storeDown = !w.storeDown
				case 4:
					wants = nil
					for range rng.IntN(12) {
						wants = append(wants, Demand{w.order[rng.IntN(6)], inv, rng.IntN(8)})
					}
				}
			} else {
				w.storeDown = false
				for _, p := range w.agents {
					p.down = false
				}
			}
			w.step(d, wants)
			up, down, store := 0, 0, 0
			for _, a := range d.agents {
				n := 0
				for _, x := range a.wants {
					n += len(x.copies)
					for _, c := range x.copies {
						if c.from[0].Store {
							store++
						}
					}
				}
				if a.down != n || a.up < 0 || a.down > 2 {
					t.Fatalf("seed %d: %s counts %d in for %d, %d out", seed, a.name, a.down, n, a.up)
				}
				up, down = up+a.up, down+a.down
			}
			if store != d.atStore || up > down {
				t.Fatalf("seed %d: %d from the store, counted %d", seed, store, d.atStore)
			}
		}
		if !w.proved(d, wants) {
			t.Fatalf("seed %d: not all of %v is there", seed, wants)
		}
	}
}
