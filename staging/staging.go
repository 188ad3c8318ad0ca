// Package staging plans which parts of datasets are copied where, from whom, and in which
// order. It is a step function: agents' reports and what is wanted go in, orders come out;
// it does no I/O, has no lock and no clock. It does not know jobs, or why a part is wanted.
//
// For each machine there is one order, which names all that the machine shall have. It
// carries the leader's term and a number that grows, and an agent refuses an older one.
// That a part is pinned is proved by a report that keeps an order of this term no older
// than the one which asked for the part without a break since: from then on it stays, until
// the leader itself takes it out of the order. No proof rests on time.
package staging

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/api"
	"switchferry/cost"
	"switchferry/dataset"
	"switchferry/replicas"
	"switchferry/tuning"
)

// Limits are those of links and store.
type Limits struct {
	// LinkRate is what a machine's link carries each way, StoreRate what the store
	// gives, in bytes a second; 0: not known, and not weighed.
	LinkRate, StoreRate float64
	// PerLink is how many copies one machine takes in, and gives out, at once; AtStore
	// how many the store gives at once.
	PerLink, AtStore int
	// Peers: machines copy from one another. Without, all comes from the store.
	Peers bool
}

// Demand is one part that a machine shall have. Wants come in the order in which they are
// to be met.
type Demand struct {
	Machine string
	Set     *dataset.Summary
	Part    int
}

// Planner is the state of one term.
type Planner struct {
	term   uint64
	limits Limits
	index  *replicas.Index
	agents map[string]*agent
	byAddr map[string]*agent
	ids    map[replicas.MachineID]*agent
	// atStore are copies under way from the store, toCome their bytes.
	atStore int
	storeTo float64
	// lied are peers that gave wrong bytes; they are no source any more.
	lied map[string]bool
	// coming counts the machines that a part is being copied to, over any link.
	coming map[piece]int
	// lacking are the machines that are to have a part and lack it, with the bytes that
	// they lack, as of the last round.
	lacking map[piece]map[replicas.MachineID]float64
	// removed are datasets that are removed for good, with their manifests: agents let
	// go of what they hold of them.
	removed map[string]string
	// Counters since the term began.
	Planned, Failed int
}

type piece struct {
	set  string
	part int
}

type agent struct {
	name, addr   string
	id           replicas.MachineID
	session, seq uint64
	heard        time.Time
	version      uint64
	quota, used  int64
	// order is the number of its newest order, sent when that last went out; applied is
	// the newest that it keeps. The first one goes out even if it asks for nothing: an
	// earlier leader's must not keep parts for ever.
	order, applied uint64
	sent           time.Time
	// planned: a round has looked at it. Before that its order says nothing, and sent out
	// would let go what an earlier leader's tasks run on.
	planned  bool
	wants    map[string]*want
	down, up int
	// toCome are the bytes of copies to it that are under way or wait.
	toCome float64
	total  float64
	full   bool
	// drop are the removed datasets of which it holds something; redrop: they changed
	// since its last order.
	drop   map[string]bool
	redrop bool
}

// want is what an order says of one dataset.
type want struct {
	set   *dataset.Summary
	parts *roaring.Bitmap
	// added is the order that last added a part.
	added  uint64
	pinned *roaring.Bitmap
	copies map[int]*transfer
}

// transfer is one copy in an order.
type transfer struct {
	from  []api.StageSource
	got   int64
	moved time.Time
	// failed are sources that it failed with.
	failed map[api.StageSource]string
}

// New makes the desk of a term.
func New(term uint64, limits Limits, index *replicas.Index) *Planner {
	return &Planner{term: term, limits: limits, index: index, agents: map[string]*agent{}, byAddr: map[string]*agent{},
		ids: map[replicas.MachineID]*agent{}, lied: map[string]bool{}, coming: map[piece]int{}, lacking: map[piece]map[replicas.MachineID]float64{}, removed: map[string]string{}}
}

// ApplyHeartbeat takes in a report. False: it is older than one that was, and tells nothing.
func (d *Planner) ApplyHeartbeat(r *api.StageHeartbeat, now time.Time) bool {
	a := d.agents[r.Machine]
	if a == nil {
		a = &agent{name: r.Machine, id: d.index.ID(r.Machine), order: 1, wants: map[string]*want{}}
		d.agents[r.Machine], d.ids[a.id] = a, a
	}
	a.heard = now
	if r.Incarnation < a.session || r.Incarnation == a.session && r.Seq <= a.seq {
		return false
	}
	if r.Incarnation != a.session {
		// The agent began anew: it copies nothing now, and its order comes again.
		for _, w := range a.wants {
			for k := range w.copies {
				d.drop(a, w, k)
			}
		}
		a.sent, a.version = time.Time{}, 0
	}
	if a.addr != r.Address {
		delete(d.byAddr, a.addr)
		a.addr = r.Address
		d.byAddr[a.addr] = a
	}
	a.session, a.seq, a.quota, a.used = r.Incarnation, r.Seq, r.Quota, r.Used
	a.applied = 0
	if r.Term == d.term {
		a.applied = r.Order
	}
	if r.All {
		all := map[string]replicas.Replica{}
		for _, h := range r.Holds {
			all[h.Dataset] = replicas.Replica{Of: h.Of, Parts: h.Parts.Bitmap}
		}
		d.index.Set(r.Machine, all)
		a.version = r.Version
		drop := map[string]bool{}
		for _, h := range r.Holds {
			if d.removed[h.Dataset] != "" && !h.Parts.IsEmpty() {
				drop[h.Dataset] = true
			}
		}
		a.redrop = a.redrop || !maps.Equal(drop, a.drop)
		a.drop = drop
	}
	for _, w := range a.wants {
		w.pinned = roaring.New()
	}
	for _, h := range r.Pinned {
		if w := a.wants[h.Dataset]; w != nil && w.set.Manifest.String() == h.Manifest {
			w.pinned = h.Parts.Bitmap
			for k := range w.copies {
				if w.pinned.Contains(uint32(k)) {
					d.drop(a, w, k)
				}
			}
		}
	}
	a.full = false
	for _, p := range r.Copies {
		a.full = a.full || p.Full
		w := a.wants[p.Dataset]
		if w == nil || w.copies[p.Part] == nil {
			continue
		}
		t := w.copies[p.Part]
		if p.Got != t.got {
			t.got, t.moved = p.Got, now
		}
		for _, f := range p.Failed {
			if _, ok := t.failed[f.From]; !ok {
				d.Failed++
				t.failed[f.From] = f.Why
			}
			if f.Corrupt && f.From.Peer != "" {
				d.lied[f.From.Peer] = true
			}
		}
	}
	return true
}

// ApplyHint takes in what a machine held as an earlier leader knew it. Until its agent is
// heard it gets no order, is no source, and nothing is proved of it.
func (d *Planner) ApplyHint(machine string, holds map[string]replicas.Replica, now time.Time) {
	if d.agents[machine] != nil {
		return
	}
	a := &agent{name: machine, id: d.index.ID(machine), order: 1, wants: map[string]*want{}, heard: now}
	d.agents[machine], d.ids[a.id] = a, a
	d.index.Set(machine, holds)
}

// RemoveDataset notes that a dataset, known by its manifest's digest, was removed for good:
// nothing wants it, and agents that hold something of it, now or when they come back, are
// ordered to let it go.
func (d *Planner) RemoveDataset(name, manifest string) {
	if d.removed[name] != "" {
		return
	}
	d.removed[name] = manifest
	snap := d.index.Snapshot()
	if !snap.Known(name) {
		return
	}
	for _, a := range d.agents {
		if snap.Count(a.id, name) > 0 {
			if a.drop == nil {
				a.drop = map[string]bool{}
			}
			a.drop[name], a.redrop = true, true
		}
	}
}

// RemoveMachine forgets a machine that no longer exists.
func (d *Planner) RemoveMachine(machine string) {
	a := d.agents[machine]
	if a == nil {
		return
	}
	for _, w := range a.wants {
		for k := range w.copies {
			d.drop(a, w, k)
		}
	}
	delete(d.agents, machine)
	delete(d.ids, a.id)
	delete(d.byAddr, a.addr)
	d.index.Remove(machine)
}

// Alive tells whether a machine's agent was heard within so long: only such machines are
// chosen for tasks with inputs. It is a choice, and no proof of anything.
func (d *Planner) Alive(machine string, now time.Time, within time.Duration) bool {
	a := d.agents[machine]
	return a != nil && now.Sub(a.heard) < within
}

// ID is a machine's number in the index of holdings; false: its agent was never heard.
func (d *Planner) ID(machine string) (replicas.MachineID, bool) {
	a := d.agents[machine]
	if a == nil {
		return 0, false
	}
	return a.id, true
}

// Full tells whether a machine's cache has no room for what it was to copy.
func (d *Planner) Full(machine string) bool {
	a := d.agents[machine]
	return a != nil && a.full
}

// Confirmed tells whether a part is proved whole, checked and pinned on a machine.
func (d *Planner) Confirmed(machine string, set *dataset.Summary, part int) bool {
	a := d.agents[machine]
	if a == nil {
		return false
	}
	w := a.wants[set.Name]
	return w != nil && a.applied >= w.added && a.applied > 0 && w.pinned.Contains(uint32(part)) && w.parts.Contains(uint32(part))
}

// ConfirmedAll is the same for all parts of a dataset.
func (d *Planner) ConfirmedAll(machine string, set *dataset.Summary) bool {
	a := d.agents[machine]
	if a == nil {
		return false
	}
	w := a.wants[set.Name]
	return w != nil && a.applied >= w.added && a.applied > 0 && int(w.parts.GetCardinality()) == set.Parts &&
		int(w.pinned.AndCardinality(w.parts)) == set.Parts
}

// Idle tells whether every agent that was heard keeps an order of this term, and none is
// to have anything: a round without wants would change nothing.
func (d *Planner) Idle() bool {
	for _, a := range d.agents {
		if len(a.wants) > 0 || a.redrop || a.addr != "" && (!a.planned || a.applied != a.order) {
			return false
		}
	}
	return true
}

// QueuedBytes is what a machine's link has to bring already, in bytes.
func (d *Planner) QueuedBytes(machine string) float64 {
	if a := d.agents[machine]; a != nil {
		return a.toCome
	}
	return 0
}

// ReserveBytes counts bytes that are to come to a machine, until the next round counts anew.
func (d *Planner) ReserveBytes(machine string, bytes float64) {
	if a := d.agents[machine]; a != nil {
		a.toCome += bytes
	}
}

// TransferDelay is how long it takes to bring so many bytes over a link that has so many to
// bring already, and from the store as that is loaded now, in seconds. StoreOnly: no
// machine holds them.
func (d *Planner) TransferDelay(behind, bytes float64, storeOnly bool) float64 {
	return cost.Copy(bytes, behind, d.limits.LinkRate, d.storeTo, d.limits.StoreRate, storeOnly || !d.limits.Peers)
}

// InFlight are the machines that a part is on its way to, with the bytes that they still
// lack; the map must not be changed.
func (d *Planner) InFlight(set string, part int) map[replicas.MachineID]float64 {
	return d.lacking[piece{set, part}]
}

// Spread is how long it takes until one more machine has a part, as far as its sources go,
// in seconds: they give it to as many machines as they can at once, which then give it on,
// so the number of machines that have it doubles with each copy's time or so.
func (d *Planner) Spread(set *dataset.Summary, part, holders int) float64 {
	if d.limits.LinkRate <= 0 || !d.limits.Peers {
		return 0
	}
	ahead := len(d.lacking[piece{set.Name, part}])
	return float64(set.PartBytes(part)) / d.limits.LinkRate * math.Ceil(math.Log2(1+float64(ahead+1)/float64(max(1, holders))))
}

func (d *Planner) drop(a *agent, w *want, part int) {
	t := w.copies[part]
	if t == nil {
		return
	}
	delete(w.copies, part)
	a.down--
	if d.coming[piece{w.set.Name, part}]--; d.coming[piece{w.set.Name, part}] <= 0 {
		delete(d.coming, piece{w.set.Name, part})
	}
	if src := t.from[0]; src.Store {
		d.atStore--
	} else if p := d.byAddr[src.Peer]; p != nil {
		p.up--
	}
}

// Plan takes in all that is wanted, the most urgent first, and decides what is copied.
// What no longer stands in it may be evicted. It gives the machines whose order must go
// out now, in the order of their names.
func (d *Planner) Plan(wants []Demand, now time.Time) []string {
	d.setWants(wants)
	d.recount()
	snap := d.index.Snapshot()
	d.storeTo = 0
	clear(d.lacking)
	for _, a := range d.agents {
		a.toCome = 0
	}
	changed := map[*agent]bool{}
	for _, x := range wants {
		a := d.agents[x.Machine]
		if a == nil {
			continue
		}
		w := a.wants[x.Set.Name]
		if w == nil || !w.parts.Contains(uint32(x.Part)) || w.pinned.Contains(uint32(x.Part)) || snap.Has(a.id, x.Set.Name, x.Part) {
			continue
		}
		size := float64(x.Set.PartBytes(x.Part))
		if t := w.copies[x.Part]; t != nil {
			size -= float64(t.got)
			if d.better(a, w, x.Part, t, snap, now) {
				changed[a] = true
			}
		} else if from := d.sources(a, x, snap, now, nil); from != nil {
			w.copies[x.Part] = &transfer{from: from, moved: now, failed: map[api.StageSource]string{}}
			d.take(a, x.Set.Name, x.Part, from[0])
			changed[a] = true
		}
		on := d.lacking[piece{x.Set.Name, x.Part}]
		if on == nil {
			on = map[replicas.MachineID]float64{}
			d.lacking[piece{x.Set.Name, x.Part}] = on
		}
		on[a.id] = size
		a.toCome += size
		if !d.limits.Peers || len(snap.Holders(x.Set.Name, x.Part)) == 0 {
			d.storeTo += size
		}
	}
	var out []string
	for _, a := range d.agents {
		if a.addr == "" {
			continue
		}
		a.planned = true
		if a.redrop {
			changed[a], a.redrop = true, false
		}
		if changed[a] {
			a.order++
		}
		if changed[a] || a.applied != a.order && now.Sub(a.sent) >= tuning.StageResend {
			a.sent = now
			out = append(out, a.name)
		}
	}
	slices.Sort(out)
	return out
}

// recount counts what is on each link anew: agents that went and came in between may have
// been counted under an address that another has now.
func (d *Planner) recount() {
	clear(d.coming)
	d.atStore = 0
	for _, a := range d.agents {
		a.down, a.up = 0, 0
	}
	planned := d.Planned
	for _, a := range d.agents {
		for name, w := range a.wants {
			for k, t := range w.copies {
				d.take(a, name, k, t.from[0])
			}
		}
	}
	d.Planned = planned
}

func (d *Planner) take(a *agent, set string, part int, from api.StageSource) {
	d.Planned++
	a.down++
	d.coming[piece{set, part}]++
	if from.Store {
		d.atStore++
	} else if p := d.byAddr[from.Peer]; p != nil {
		p.up++
	}
}

// setWants brings the orders in line with what is wanted, as far as each cache can hold
// it; what is more urgent comes first.
func (d *Planner) setWants(wants []Demand) {
	next := map[*agent]map[string]*roaring.Bitmap{}
	sets := map[string]*dataset.Summary{}
	for _, a := range d.agents {
		a.total = 0
	}
	for _, x := range wants {
		a := d.agents[x.Machine]
		if a == nil {
			continue
		}
		sets[x.Set.Name] = x.Set
		if next[a] == nil {
			next[a] = map[string]*roaring.Bitmap{}
		}
		b := next[a][x.Set.Name]
		if b == nil {
			b = roaring.New()
			next[a][x.Set.Name] = b
		}
		size := float64(x.Set.PartBytes(x.Part))
		if b.Contains(uint32(x.Part)) || a.quota > 0 && a.total > 0 && a.total+size > float64(a.quota) {
			continue
		}
		a.total += size
		b.Add(uint32(x.Part))
	}
	for _, a := range d.agents {
		different := false
		for name, w := range a.wants {
			if b := next[a][name]; b == nil || b.IsEmpty() {
				for k := range w.copies {
					d.drop(a, w, k)
				}
				delete(a.wants, name)
				different = true
			}
		}
		for name, b := range next[a] {
			if b.IsEmpty() {
				continue
			}
			w := a.wants[name]
			if w == nil {
				w = &want{set: sets[name], parts: roaring.New(), pinned: roaring.New(), copies: map[int]*transfer{}}
				a.wants[name] = w
			}
			if b.Equals(w.parts) {
				continue
			}
			different = true
			if !roaring.AndNot(b, w.parts).IsEmpty() {
				w.added = a.order + 1
			}
			for k := range w.copies {
				if !b.Contains(uint32(k)) {
					d.drop(a, w, k)
				}
			}
			w.parts = b
		}
		if different {
			a.order++
			a.sent = time.Time{}
		}
	}
}

// sources are where a part comes from, best first; nil: it has to wait. Peers that hold
// it come first, those that give out least, then the store. While another machine gets it
// from the store, it is waited for: each part shall leave the store once.
func (d *Planner) sources(a *agent, x Demand, snap *replicas.Snapshot, now time.Time, not map[api.StageSource]string) []api.StageSource {
	if a.addr == "" || a.down >= d.limits.PerLink {
		return nil
	}
	var peers []*agent
	busy := false
	if d.limits.Peers {
		for _, m := range snap.Holders(x.Set.Name, x.Part) {
			p := d.byID(m)
			if p == nil || p == a || p.addr == "" || d.lied[p.addr] || now.Sub(p.heard) > tuning.StageSilent {
				continue
			}
			if _, failed := not[api.StageSource{Peer: p.addr}]; failed {
				continue
			}
			if p.up >= d.limits.PerLink {
				busy = true
				continue
			}
			peers = append(peers, p)
		}
	}
	slices.SortFunc(peers, func(p, q *agent) int { return cmp.Or(cmp.Compare(p.up, q.up), cmp.Compare(p.name, q.name)) })
	var out []api.StageSource
	for _, p := range peers[:min(len(peers), tuning.StageSources)] {
		out = append(out, api.StageSource{Peer: p.addr})
	}
	if len(out) > 0 {
		return out
	}
	if busy || d.atStore >= d.limits.AtStore || d.limits.Peers && d.onItsWay(x.Set.Name, x.Part, now) {
		return nil
	}
	return []api.StageSource{{Store: true}}
}

// onItsWay tells whether a part comes to some machine, and gets on.
func (d *Planner) onItsWay(set string, part int, now time.Time) bool {
	if d.coming[piece{set, part}] == 0 {
		return false
	}
	for _, a := range d.agents {
		if w := a.wants[set]; w != nil {
			if t := w.copies[part]; t != nil && len(t.failed) < len(t.from) && now.Sub(t.moved) < tuning.StageGiveUp {
				return true
			}
		}
	}
	return false
}

// better gives a copy whose sources all failed others, if there are any.
func (d *Planner) better(a *agent, w *want, part int, t *transfer, snap *replicas.Snapshot, now time.Time) bool {
	for _, s := range t.from {
		if _, failed := t.failed[s]; !failed && !(s.Peer != "" && d.lied[s.Peer]) {
			return false
		}
	}
	failed := maps.Clone(t.failed)
	d.drop(a, w, part)
	from := d.sources(a, Demand{a.name, w.set, part}, snap, now, failed)
	if from == nil || slices.Equal(from, t.from) {
		// Nothing better: it stays, and the agent tries again with growing pauses.
		from = t.from
	}
	same := slices.Equal(from, t.from)
	w.copies[part] = &transfer{from: from, got: t.got, moved: t.moved, failed: map[api.StageSource]string{}}
	if same {
		w.copies[part].failed = failed
	}
	d.take(a, w.set.Name, part, from[0])
	d.Planned--
	return !same
}

func (d *Planner) byID(m replicas.MachineID) *agent { return d.ids[m] }

// Order is a machine's order as it stands; false: its agent is not known, or no round has
// looked at it yet.
func (d *Planner) Order(machine string) (o api.StageOrder, addr string, ok bool) {
	a := d.agents[machine]
	if a == nil || !a.planned {
		return o, "", false
	}
	o = api.StageOrder{Term: d.term, Incarnation: a.session, Order: a.order, Known: a.version, Sets: []api.StageSet{}}
	for _, name := range slices.Sorted(maps.Keys(a.wants)) {
		w := a.wants[name]
		set := api.StageSet{Dataset: name, Manifest: w.set.Manifest.String(), Parts: api.PartSet{Bitmap: w.parts}}
		for _, k := range slices.Sorted(maps.Keys(w.copies)) {
			set.Copies = append(set.Copies, api.StageCopy{Part: k, From: w.copies[k].from})
		}
		o.Sets = append(o.Sets, set)
	}
	for _, name := range slices.Sorted(maps.Keys(a.drop)) {
		if a.wants[name] == nil {
			o.Drop = append(o.Drop, d.removed[name])
		}
	}
	return o, a.addr, true
}

// CopyStatus is one copy as operators see it.
type CopyStatus struct {
	Machine, Dataset string
	Part             int
	Got, Of          int64
	From             []api.StageSource
	Failed           map[string]string
	Full             bool
}

// Copies are all copies under way, by machine, dataset and part.
func (d *Planner) Copies() []CopyStatus {
	var out []CopyStatus
	for _, name := range slices.Sorted(maps.Keys(d.agents)) {
		a := d.agents[name]
		for _, set := range slices.Sorted(maps.Keys(a.wants)) {
			w := a.wants[set]
			for _, k := range slices.Sorted(maps.Keys(w.copies)) {
				t := w.copies[k]
				c := CopyStatus{Machine: name, Dataset: set, Part: k, Got: t.got, Of: w.set.PartBytes(k), From: t.from, Full: a.full, Failed: map[string]string{}}
				for s, why := range t.failed {
					c.Failed[s.String()] = why
				}
				out = append(out, c)
			}
		}
	}
	return out
}

// Backlog is how many bytes are still to come to all machines.
func (d *Planner) Backlog() float64 {
	sum := 0.0
	for _, a := range d.agents {
		sum += a.toCome
	}
	return math.Max(0, sum)
}
