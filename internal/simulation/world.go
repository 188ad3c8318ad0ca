// Package simulation plays a region in one process: three controllers as `serve` runs them, the project's
// stand-ins of state service, cloud and workers, users, and the network between them, each direction of
// each pair of which can be cut by itself. It checks the protocol's rules as things happen, and what
// operators look at when a day is over. It runs on the time package's clock: in tests within
// testing/synctest, where a day takes a second, else in real time.
//
// The same seed makes the same machines, jobs and troubles; the order of what happens in one moment is
// the Go scheduler's.
package simulation

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/controller"
	"switchferry/features"
	"switchferry/internal/fake"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/store"
)

// Kinds of troubles.
const (
	// Crash ends Count controllers, the leader first, which are back after For.
	Crash = "crash"
	// Roll ends all controllers, one each rollEvery, each back after For.
	Roll = "roll"
	// Lone takes the state service and the other controllers away from the leader, or with Follower
	// from another, for For; its workers still reach it.
	Lone = "lone"
	// OutboundLost lets reports of Count machines arrive, while answers and commands do not reach them;
	// ControllerDeaf lets nothing of the leader reach any worker.
	OutboundLost   = "half-deaf"
	ControllerDeaf = "deaf-node"
	// Copies sends every fifth report again, 2 s to three leases later, to any controller, for For.
	Copies = "copies"
	// Die ends Count machines for good; Restart ends all tasks on Count machines, whose workers are
	// back at once.
	Die     = "die"
	Restart = "restart"
	// Outage is one of the state service; CutZone cuts a zone off from everything, and everything of it.
	Outage  = "outage"
	CutZone = "zone"
	// Refused has the state service answer the leader alone, or with Follower another, with 503, or with
	// Hang not at all.
	Refused = "refused"
	// Silence lets nothing through to the leader, or with Follower another, nor from it; what was said
	// between controllers arrives afterwards. Apart does so between it and one other controller.
	Silence = "silence"
	Apart   = "apart"
	// LateWrites has one transaction in five get no answer and be executed 2 to 12 s later. Held has one
	// command in three reach its machine up to 8 s late, or its answer come back so late.
	LateWrites = "late-writes"
	Held       = "held"
	// Wave has the users of Count in 10 accepted jobs ask to cancel them, at once and every 50 ms for For. With
	// HangFor, up to eight machines that run tasks of these hang that long.
	Wave = "wave"
	// Hangs has Count machines stand still for For: they execute nothing, and then what they were sent.
	Hangs = "hangs"
	// InboundLost has Count machines, or with Follower all of the leader's zone, reach no controller; commands reach them.
	InboundLost = "mute"
	// Freeze has the leader, or with Follower another, stand still while its clock runs on.
	Freeze = "freeze"
	// Slow has the state service answer up to 1.5 s late, the leader alone with Count 1, else all.
	Slow = "slow"
	// AtEnd has users cancel half of the arrays around the moment at which the last task ends, and ask about them
	// and repeat their submission beside that.
	AtEnd = "at-end"
	// Odd has users repeat submissions, in other words too, cancel what is over, and send what cannot run.
	Odd = "odd"
)

// slowMost is how late a slow state service answers at most.
const slowMost = 1500 * time.Millisecond

// rollEvery is the pace of a roll.
const rollEvery = 5 * time.Second

// Fault is one trouble of a day.
type Fault struct {
	At, For  time.Duration
	Kind     string
	Count    int
	Follower bool
	Hang     bool
	HangFor  time.Duration
}

// Scenario is what is played.
type Scenario struct {
	Seed     uint64
	Machines int
	// Lasts is how long users submit jobs, PerSecond how many; After is how long is waited for the
	// rest.
	Lasts, After time.Duration
	PerSecond    float64
	Faults       []Fault
	// Cancels is the share of arrays whose users cancel them, one in 15 if it is 0; RunS is how long the
	// tasks of the small ones run, 5 to 15 s if it is 0.
	Cancels, RunS float64
	// Room is how many processors a machine a team may use, 6 if it is 0; ImageS how long a machine's link takes
	// for an image, of which there are four. Berth: a third of the arrays are bound to one zone.
	Room, ImageS float64
	Berth        bool
	Workers      settings.Workers
	// Changes is how long operators wait between two changes of the configuration; 0: there are none, and live
	// configuration is off.
	Changes time.Duration
}

// limit is what a team may use, in processors.
func (d *Scenario) limit() float64 {
	if d.Room > 0 {
		return d.Room * float64(d.Machines)
	}
	return 6 * float64(d.Machines)
}

// NewScenario is a quiet day of some machines.
func NewScenario(seed uint64, machines int) *Scenario {
	return &Scenario{Seed: seed, Machines: machines, Lasts: 120 * time.Second, After: 150 * time.Second, PerSecond: min(4, float64(machines)/8),
		Workers: settings.Workers{ReportS: 1, LeaseS: 10, CancelS: 40}}
}

// World is a day being played.
type World struct {
	*Scenario
	ctx   context.Context
	clock clockwork.Clock
	links *links
	back  *back
	state *fake.State
	cloud *fake.Cloud
	rng   *rand.Rand
	book  *book
	// operators is nil on days without changes of the configuration.
	operators *operators

	mu       sync.Mutex
	nodes    map[string]*process
	machines map[string]*machine // by address
	copying  bool
	// lateWrites and held count such troubles under way.
	lateWrites, held int
	// atEnd and odd count such troubles, too; slow does so by controller, and for all under the empty name.
	atEnd, odd atomic.Int32
	slow       map[string]int
	frozen     map[string]chan struct{}
	refused    map[string]string
	wave       chan Fault
	// hanging are the machines that the last wave has left to hang.
	hanging int
	crowd   sync.WaitGroup
}

// process is a controller's life; node is nil while it has none.
type process struct {
	name, zone string
	node       *controller.Controller
	stop       context.CancelFunc
}

// machine is a rented one.
type machine struct {
	fake.Host
	worker *fake.Worker
	stop   context.CancelFunc
	// deaf is since when it hears nobody; dead: it ended by a trouble; touched is when a trouble last
	// met it.
	deaf    time.Time
	dead    bool
	touched time.Time
	// mute counts the troubles in which it reaches no controller, hung those in which it stands still.
	mute, hung int
}

var members = []string{"n0", "n1", "n2"}

var machineType = api.MachineType{Name: "m8", CPUs: 8, MemoryGB: 32, CacheGB: 50, PullGBs: 1, BootS: 10, Price: 1, SpotPrice: 0.5, Zones: []string{"east", "west"}}

// Run plays the day to its end.
func (d *Scenario) Run(ctx context.Context) *Result {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	clock := clockwork.NewRealClock()
	w := &World{Scenario: d, ctx: ctx, clock: clock, links: newLinks(), state: fake.NewState(clock), cloud: fake.NewCloud(clock, []api.MachineType{machineType}, 20),
		rng: rand.New(rand.NewPCG(d.Seed, 0)), nodes: map[string]*process{}, machines: map[string]*machine{}, refused: map[string]string{}, slow: map[string]int{}, frozen: map[string]chan struct{}{}, wave: make(chan Fault)}
	w.book = newBook(w)
	if d.Changes > 0 {
		w.operators = newOperators(w)
	}
	w.back = &back{links: w.links, ports: map[string]*port{}, conns: map[*half]string{}}
	w.state.Limit(fake.Limits{RPS: 400, WriteRPS: 120, ValueKB: 16, TxnOps: 12})
	w.cloud.Room = d.Machines
	w.cloud.Up = func(h fake.Host) {
		w.crowd.Go(func() {
			if w.sleep(ctx, time.Duration(machineType.BootS*float64(time.Second))) {
				w.work(ctx, h)
			}
		})
	}
	w.cloud.Gone = w.returned
	for i, name := range members {
		w.nodes[name] = &process{name: name, zone: []string{"east", "west", "east"}[i]}
	}
	for _, name := range members {
		w.start(ctx, name)
	}
	for i := range d.Machines {
		w.work(ctx, w.cloud.Add(machineType.Name, []string{"east", "west"}[i%2], false))
	}
	w.sleep(ctx, 5*time.Second)
	began := time.Now()
	last := time.Duration(0)
	for _, t := range d.Faults {
		last = max(last, t.At+t.For)
		if t.Kind == Roll {
			last = max(last, t.At+t.For+2*rollEvery)
		}
		w.crowd.Go(func() {
			if w.sleep(ctx, t.At-time.Since(began)) {
				w.trouble(ctx, t)
			}
		})
	}
	w.crowd.Go(func() { w.users(ctx, began) })
	if w.operators != nil {
		w.crowd.Go(func() { w.operators.run(ctx, began) })
		w.crowd.Go(func() { w.operators.probe(ctx) })
	}
	w.crowd.Go(func() {
		for w.sleep(ctx, time.Second) {
			w.book.overdue()
		}
	})
	w.sleep(ctx, last)
	w.book.calm()
	w.sleep(ctx, max(d.Lasts, last)+d.After-time.Since(began))
	res := w.book.result()
	if w.operators != nil {
		res.Changes = w.operators.changes
	}
	stop()
	for _, name := range members {
		w.end(name)
	}
	w.crowd.Wait()
	// What is executed late is executed, also when nobody is there any more.
	time.Sleep(latest)
	return res
}

// sleep is false once the day is over.
func (w *World) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// random is a stream of its own for each actor, so that what one does does not hang on the others.
func (w *World) random(actor string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(actor))
	return rand.New(rand.NewPCG(w.Seed, h.Sum64()))
}

// start begins a life of a controller.
func (w *World) start(ctx context.Context, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.nodes[name]
	if p.node != nil || ctx.Err() != nil {
		return
	}
	set := &settings.Settings{Member: name, Zone: p.zone}
	set.External = settings.External{State: "state:1", Cloud: "cloud:1"}
	set.Facts = settings.Facts{Nodes: 3, Zones: []string{"east", "west"}, Workers: w.Workers,
		Teams: []settings.Team{{Name: "one", CPUsMax: w.limit()}, {Name: "two", CPUs: min(w.limit(), float64(w.Machines)), CPUsMax: w.limit()}},
		State: settings.State{RPS: 400, WriteRPS: 120, ValueKB: 16, TxnOps: 12}, Cloud: settings.Cloud{RPS: 20, ListLagS: 1}}
	for _, m := range members {
		if m != name {
			set.Peers = append(set.Peers, settings.Peer{Member: m, Zone: w.nodes[m].zone, Address: m})
		}
	}
	ctx, p.stop = context.WithCancel(ctx)
	p.node = controller.New(ctx, set, policy.Default(), &standing{w.clock, w, name}, &transport{w: w, from: name, rng: w.random("calls of " + name), name: name})
	if w.operators != nil {
		p.node.Enable(&features.Features{Configuration: features.Configuration{On: true}})
	}
	p.node.DialPeers(w.back.dial(name))
	n, l := p.node, w.back.listen(name)
	w.crowd.Go(func() { n.Run(l) })
}

// end ends a controller's life.
func (w *World) end(name string) {
	w.mu.Lock()
	p := w.nodes[name]
	stop := p.stop
	p.node, p.stop = nil, nil
	w.mu.Unlock()
	if stop != nil {
		stop()
	}
	w.back.crash(name)
}

func (w *World) node(name string) *controller.Controller {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[name].node
}

// leader is who leads, by the state service; else any.
func (w *World) leader() string {
	var l store.LeaderRecord
	if json.Unmarshal(w.state.Get(store.LeaderKey), &l) != nil || l.Member == "" {
		return members[0]
	}
	return l.Member
}

// transport carries a controller's calls. A transaction may be executed late, also when the process that
// sent it has died.
type transport struct {
	w          *World
	from, name string

	mu  sync.Mutex
	rng *rand.Rand
}

// service is the state service as controllers reach it.
func (w *World) service() http.RoundTripper {
	if w.operators != nil {
		return tap{w.operators}
	}
	return w.state
}

// RoundTrip carries one call. A process that stands still neither sends nor learns anything meanwhile.
func (t *transport) RoundTrip(q *http.Request) (*http.Response, error) {
	t.w.thawed(t.name)
	defer t.w.thawed(t.name)
	return t.carry(q)
}

func (t *transport) carry(q *http.Request) (*http.Response, error) {
	host, via := t.target(q)
	if via == nil {
		return t.lost(q)
	}
	if off, _ := t.w.links.off(t.from, host); off {
		return t.unreachable(q, via)
	}
	if resp, err, refused := t.refused(q, host); refused {
		return resp, err
	}
	if before, after, held := t.delays(q, host, via); held {
		return t.hold(q, via, before, after)
	}
	resp, err := via.RoundTrip(q)
	if off, _ := t.w.links.off(host, t.from); off {
		return t.lost(q)
	}
	return resp, err
}

// target is who is called, by its name on the network; nil: nobody is there.
func (t *transport) target(q *http.Request) (host string, via http.RoundTripper) {
	host, _, _ = strings.Cut(q.URL.Host, ":")
	switch host {
	case "state":
		return host, t.w.service()
	case "cloud":
		return host, t.w.cloud
	}
	t.w.mu.Lock()
	defer t.w.mu.Unlock()
	m := t.w.machines[q.URL.Host]
	if m == nil || m.dead {
		return host, nil
	}
	return m.Name, direct{t.w, m}
}

// lost is a call that gets no answer.
func (t *transport) lost(q *http.Request) (*http.Response, error) {
	<-q.Context().Done()
	return nil, q.Context().Err()
}

// unreachable is a call over a way that is cut: there is no connection, or no answer.
func (t *transport) unreachable(q *http.Request, via http.RoundTripper) (*http.Response, error) {
	if d, ok := via.(direct); ok {
		var o api.HeartbeatResponse
		if json.NewDecoder(q.Body).Decode(&o) == nil {
			t.w.book.inVain(d.m, o.Commands)
		}
	}
	if t.chance(2) {
		// There was no connection yet.
		t.w.sleep(q.Context(), dialTimeout)
		return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	}
	return t.lost(q)
}

// chance is true once in so many times.
func (t *transport) chance(in int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.IntN(in) == 0
}

// within is a random time below that.
func (t *transport) within(d time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.rng.Int64N(int64(d)))
}

// refused is what the state service answers while it refuses this controller.
func (t *transport) refused(q *http.Request, host string) (resp *http.Response, err error, refused bool) {
	if host != "state" {
		return nil, nil, false
	}
	t.w.mu.Lock()
	how := t.w.refused[t.from]
	t.w.mu.Unlock()
	switch how {
	case refusedHang:
		resp, err = t.lost(q)
		return resp, err, true
	case refused503:
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("{}"))}, nil, true
	}
	return nil, nil, false
}

// delays tells whether a call is held up, and for how long before and after it is carried out.
func (t *transport) delays(q *http.Request, host string, via http.RoundTripper) (before, after time.Duration, held bool) {
	t.w.mu.Lock()
	lateWrites, heldCommands := t.w.lateWrites > 0, t.w.held > 0
	slow := host == "state" && (t.w.slow[""] > 0 || t.w.slow[t.from] > 0)
	hung := false
	if d, ok := via.(direct); ok {
		hung = d.m.hung > 0
	}
	t.w.mu.Unlock()
	if q.URL.Path == "/multi" {
		late, wait := t.chance(200), t.within(lateMost)
		if lateWrites {
			late, wait = t.chance(5), 2*time.Second+t.within(10*time.Second)
		}
		if late {
			return wait, 0, true
		}
	}
	if slow {
		wait := t.within(slowMost)
		if t.chance(2) {
			return 0, wait, true
		}
		return wait, 0, true
	}
	if _, ok := via.(direct); !ok {
		return 0, 0, false
	}
	if hung {
		return 0, 0, true
	}
	if heldCommands {
		switch wait := t.within(8 * time.Second); {
		case t.chance(6):
			return wait, 0, true
		case t.chance(5):
			return 0, wait, true
		}
	}
	return 0, 0, false
}

// How the state service refuses a controller.
const (
	refused503  = "503"
	refusedHang = "hang"
)

// lateMost is how late a transaction is executed at most while no trouble is on; latest, ever.
const (
	lateMost = 4 * time.Second
	latest   = 12 * time.Second
)

// hold carries a call out after a while, whoever still waits for it, and lets its answer go after another.
func (t *transport) hold(q *http.Request, via http.RoundTripper, before, after time.Duration) (*http.Response, error) {
	var body []byte
	if q.Body != nil {
		var err error
		if body, err = io.ReadAll(q.Body); err != nil {
			return nil, err
		}
	}
	type outcome struct {
		resp *http.Response
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		time.Sleep(before)
		again := q.Clone(context.Background())
		again.Body = io.NopCloser(bytes.NewReader(body))
		resp, err := via.RoundTrip(again)
		time.Sleep(after)
		done <- outcome{resp, err}
	}()
	select {
	case o := <-done:
		return o.resp, o.err
	case <-q.Context().Done():
		return nil, q.Context().Err()
	}
}

// direct serves a worker's own port.
type direct struct {
	w *World
	m *machine
}

// RoundTrip serves one command.
func (d direct) RoundTrip(q *http.Request) (*http.Response, error) {
	var o api.HeartbeatResponse
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		return nil, err
	}
	rep, ok := d.m.worker.Direct(o)
	raw, err := json.Marshal(rep)
	status := http.StatusOK
	if !ok {
		status = http.StatusConflict
	}
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(raw))}, err
}

// work runs a machine's worker.
func (w *World) work(ctx context.Context, h fake.Host) {
	ctx, stop := context.WithCancel(ctx)
	m := &machine{Host: h, stop: stop}
	rng := w.random("reports of " + h.Name)
	m.worker = fake.NewWorker(fake.WorkerOptions{Host: h, Clock: w.clock, Nodes: members, Post: w.post(m, rng),
		Every: seconds(w.Workers.ReportS), Lease: seconds(w.Workers.LeaseS), Runs: w.book.runs,
		Starts: func(task string, _ uint64, _ time.Time) { w.book.started(task, m) }, Fetch: w.fetch(),
		Ends: func(task string, done bool) { w.book.ended(task, m, done) }})
	w.mu.Lock()
	w.machines[h.Address] = m
	w.mu.Unlock()
	w.crowd.Go(func() { m.worker.Run(ctx) })
}

// fetch is how machines get images; nil: they need none.
func (w *World) fetch() func(task string) (string, time.Duration) {
	if w.ImageS <= 0 {
		return nil
	}
	return func(task string) (string, time.Duration) { return w.book.image(task), seconds(w.ImageS) }
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// post carries a machine's reports.
func (w *World) post(m *machine, rng *rand.Rand) func(ctx context.Context, node string, rep *api.Heartbeat) (int, any) {
	return func(ctx context.Context, node string, rep *api.Heartbeat) (int, any) {
		raw, err := json.Marshal(rep)
		if err != nil {
			return 0, nil
		}
		w.mu.Lock()
		copying := w.copying
		w.mu.Unlock()
		if copying && rng.IntN(5) == 0 {
			after := 2*time.Second + time.Duration(rng.Int64N(int64(3*seconds(w.Workers.LeaseS))))
			to := members[rng.IntN(3)]
			w.crowd.Go(func() {
				time.Sleep(after)
				if n := w.node(to); n != nil {
					var again api.Heartbeat
					if json.Unmarshal(raw, &again) == nil {
						n.HandleHeartbeat(context.Background(), &again, raw)
					}
				}
			})
		}
		w.mu.Lock()
		mute := m.mute > 0
		w.mu.Unlock()
		if mute {
			w.sleep(ctx, dialTimeout)
			return 0, nil
		}
		if off, _ := w.links.off(m.Name, node); off {
			<-ctx.Done()
			return 0, nil
		}
		n := w.node(node)
		if n == nil {
			return 0, nil
		}
		w.thawed(node)
		status, body := n.HandleHeartbeat(ctx, rep, raw)
		w.thawed(node)
		if ctx.Err() != nil {
			return 0, nil
		}
		if passed, ok := body.(json.RawMessage); ok {
			var o api.HeartbeatResponse
			var to api.Redirect
			switch {
			case status == http.StatusOK && json.Unmarshal(passed, &o) == nil:
				body = o
			case json.Unmarshal(passed, &to) == nil:
				body = to
			}
		}
		if off, _ := w.links.off(node, m.Name); off {
			if o, ok := body.(api.HeartbeatResponse); ok {
				w.book.inVain(m, o.Commands)
			}
			<-ctx.Done()
			return 0, nil
		}
		return status, body
	}
}

// returned is told of a machine that was given back.
func (w *World) returned(h fake.Host) {
	w.mu.Lock()
	m := w.machines[h.Address]
	delete(w.machines, h.Address)
	w.mu.Unlock()
	if m == nil {
		return
	}
	w.book.returned(m)
	m.stop()
	m.worker.Restart()
}

// some are that many machines, chosen by the seed, by name.
func (w *World) some(n int) (out []*machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if !m.dead && m.deaf.IsZero() && m.mute+m.hung == 0 {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *machine) int { return strings.Compare(a.Name, b.Name) })
	w.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	out = out[:min(n, len(out))]
	for _, m := range out {
		m.touched = time.Now()
	}
	return out
}

// count changes what counts troubles.
func (w *World) count(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// hang has machines stand still for a while.
func (w *World) hang(ctx context.Context, ms []*machine, d time.Duration) {
	set := func(by int) {
		w.count(func() {
			for _, m := range ms {
				m.hung += by
				m.touched = time.Now()
			}
		})
		for _, m := range ms {
			m.worker.Hang(by > 0)
		}
	}
	set(1)
	w.sleep(ctx, d)
	set(-1)
}

// hangOf has a machine that runs a task of a job hang, if fewer than eight do since the last wave.
func (w *World) hangOf(ctx context.Context, e *entry, d time.Duration) {
	m := w.book.machineOf(e.ID)
	if m == nil {
		return
	}
	w.mu.Lock()
	some := w.hanging < 8 && m.hung == 0
	if some {
		w.hanging++
	}
	w.mu.Unlock()
	if some {
		w.crowd.Go(func() { w.hang(ctx, []*machine{m}, d) })
	}
}

// freeze has a controller stand still, or go on.
func (w *World) freeze(name string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch c := w.frozen[name]; {
	case on && c == nil:
		w.frozen[name] = make(chan struct{})
	case !on && c != nil:
		close(c)
		delete(w.frozen, name)
	}
}

// thawed waits until a controller does not stand still.
func (w *World) thawed(name string) {
	for {
		w.mu.Lock()
		c := w.frozen[name]
		w.mu.Unlock()
		if c == nil {
			return
		}
		<-c
	}
}

// standing is a controller's clock: while the controller stands still, time goes on and nothing that waits for it does.
type standing struct {
	clockwork.Clock
	w    *World
	name string
}

// After fires when the time has come and the controller does not stand still.
func (s *standing) After(d time.Duration) <-chan time.Time {
	if !slices.ContainsFunc(s.w.Faults, func(t Fault) bool { return t.Kind == Freeze }) {
		return s.Clock.After(d)
	}
	out := make(chan time.Time, 1)
	s.Clock.AfterFunc(d, func() {
		s.w.thawed(s.name)
		out <- s.Clock.Now()
	})
	return out
}

// Sleep is the same.
func (s *standing) Sleep(d time.Duration) { <-s.After(d) }

// trouble plays one trouble to its end.
func (w *World) trouble(ctx context.Context, t Fault) {
	lead := w.leader()
	who := lead
	if t.Follower {
		who = members[(slices.Index(members, lead)+1)%3]
	}
	play, ok := troubles[t.Kind]
	if !ok {
		panic(fmt.Sprintf("no trouble %q", t.Kind))
	}
	play(&striking{w, ctx, t, lead, who})
}

// striking is a trouble under way: who is the controller that it strikes.
type striking struct {
	*World
	ctx context.Context
	Fault
	lead, who string
}

// troubles plays each kind to its end.
var troubles = map[string]func(s *striking){
	Roll: (*striking).roll, Crash: (*striking).crash,
	Lone: (*striking).separate, Silence: (*striking).separate, Apart: (*striking).separate,
	OutboundLost: (*striking).halfDeafen, ControllerDeaf: (*striking).deafenNode, InboundLost: (*striking).mute, Hangs: (*striking).hangSome,
	Die: (*striking).die, Restart: (*striking).restart, CutZone: (*striking).cutZone, Freeze: (*striking).standStill,
	Outage: (*striking).outage, Slow: (*striking).slowDown, Refused: (*striking).refuse, Wave: (*striking).cancelMany,
	Copies:     (*striking).copies,
	LateWrites: func(s *striking) { s.during(func(by int) { s.count(func() { s.lateWrites += by }) }) },
	Held:       func(s *striking) { s.during(func(by int) { s.count(func() { s.held += by }) }) },
	AtEnd:      func(s *striking) { s.during(func(by int) { s.atEnd.Add(int32(by)) }) },
	Odd:        func(s *striking) { s.during(func(by int) { s.odd.Add(int32(by)) }) },
}

// during changes something by one for as long as the trouble lasts.
func (s *striking) during(change func(by int)) {
	change(1)
	s.sleep(s.ctx, s.For)
	change(-1)
}

// cutFor cuts ways, each from one to another, for as long as the trouble lasts.
func (s *striking) cutFor(ways [][2]string) {
	s.during(func(by int) {
		for _, way := range ways {
			s.links.cut(way[0], way[1], by > 0)
		}
	})
}

// bothWays are the ways between one and others.
func bothWays(one string, others []string) (ways [][2]string) {
	for _, other := range others {
		if other != one {
			ways = append(ways, [2]string{one, other}, [2]string{other, one})
		}
	}
	return ways
}

// endFor ends a controller, which is back after the trouble's time.
func (s *striking) endFor(name string) {
	s.end(name)
	s.crowd.Go(func() {
		if s.sleep(s.ctx, s.For) {
			s.start(s.ctx, name)
		}
	})
}

func (s *striking) roll() {
	for _, name := range members {
		s.endFor(name)
		if !s.sleep(s.ctx, rollEvery) {
			return
		}
	}
}

func (s *striking) crash() {
	for i := range min(s.Count, 3) {
		s.endFor(members[(slices.Index(members, s.who)+i)%3])
	}
}

// separate cuts a controller off from others: from the state service and the other controllers, from everything, or from
// one other controller.
func (s *striking) separate() {
	others := append([]string{"state"}, members...)
	switch s.Kind {
	case Apart:
		others = []string{members[(slices.Index(members, s.who)+2)%3]}
	case Silence:
		others = append(others, s.touchAll(func(*machine) bool { return true })...)
	}
	s.cutFor(bothWays(s.who, others))
}

// touchAll notes that a trouble meets some machines, and gives their names.
func (s *striking) touchAll(which func(m *machine) bool) (names []string) {
	s.count(func() {
		for _, m := range s.machines {
			m.touched = time.Now()
			if which(m) {
				names = append(names, m.Name)
			}
		}
	})
	return names
}

func (s *striking) halfDeafen() {
	deaf := s.some(s.Count)
	var ways [][2]string
	s.count(func() {
		for _, m := range deaf {
			m.deaf = time.Now()
			for _, name := range members {
				ways = append(ways, [2]string{name, m.Name})
			}
		}
	})
	s.cutFor(ways)
	s.count(func() {
		for _, m := range deaf {
			if s.machines[m.Address] == m {
				s.book.heals(m.deaf)
			}
			m.deaf = time.Time{}
		}
	})
}

func (s *striking) deafenNode() {
	var ways [][2]string
	for _, name := range s.touchAll(func(*machine) bool { return true }) {
		ways = append(ways, [2]string{s.who, name})
	}
	s.cutFor(ways)
}

func (s *striking) copies() {
	s.during(func(by int) { s.count(func() { s.copying = by > 0 }) })
}

func (s *striking) die() {
	for _, m := range s.some(s.Count) {
		s.count(func() { m.dead = true })
		m.stop()
		m.worker.Restart()
	}
}

func (s *striking) restart() {
	for _, m := range s.some(s.Count) {
		m.worker.Restart()
	}
}

func (s *striking) outage() { s.during(func(by int) { s.state.Outage(by > 0) }) }

// standStill freezes a controller; what comes for it waits at its door.
func (s *striking) standStill() {
	var ways [][2]string
	for _, other := range members {
		if other != s.who {
			ways = append(ways, [2]string{other, s.who})
		}
	}
	s.freeze(s.who, true)
	s.cutFor(ways)
	s.freeze(s.who, false)
}

func (s *striking) slowDown() {
	who := s.who
	if s.Count != 1 {
		who = ""
	}
	s.during(func(by int) { s.count(func() { s.slow[who] += by }) })
}

func (s *striking) hangSome() { s.hang(s.ctx, s.some(s.Count), s.For) }

func (s *striking) mute() {
	mute := s.some(s.Count)
	if s.Follower {
		mute = slices.DeleteFunc(s.some(len(s.machines)), func(m *machine) bool { return m.Zone != s.nodes[s.lead].zone })
	}
	s.during(func(by int) {
		s.count(func() {
			for _, m := range mute {
				m.mute += by
				m.touched = time.Now()
			}
		})
	})
}

// cancelMany has the users who wait at this moment cancel.
func (s *striking) cancelMany() {
	s.count(func() { s.hanging = 0 })
	for {
		select {
		case s.wave <- s.Fault:
		default:
			return
		}
	}
}

func (s *striking) refuse() {
	how := refused503
	if s.Hang {
		how = refusedHang
	}
	s.during(func(by int) {
		s.count(func() {
			s.refused[s.who] = ""
			if by > 0 {
				s.refused[s.who] = how
			}
		})
	})
}

func (s *striking) cutZone() {
	zone := s.nodes[s.who].zone
	inside := s.touchAll(func(m *machine) bool { return m.Zone == zone })
	outside := s.touchAll(func(m *machine) bool { return m.Zone != zone })
	outside = append(outside, "state", "cloud")
	for _, name := range members {
		if s.nodes[name].zone == zone {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	var ways [][2]string
	for _, one := range inside {
		ways = append(ways, bothWays(one, outside)...)
	}
	s.cutFor(ways)
}

// Scenarios are the troubles that operators look at when a day is over, each alone and in each role, and in
// the middle of an election.
func Scenarios() map[string][]Fault {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	return map[string][]Fault{
		"quiet":                       nil,
		"half-deaf machines":          {{At: at(20), For: at(70), Kind: OutboundLost, Count: 3}},
		"half-deaf, new leader":       {{At: at(20), For: at(70), Kind: OutboundLost, Count: 3}, {At: at(40), For: at(3), Kind: Crash, Count: 1}},
		"a leader no worker hears":    {{At: at(20), For: at(40), Kind: ControllerDeaf}},
		"late copies":                 {{At: at(15), For: at(80), Kind: Copies}, {At: at(40), Kind: Die, Count: 2}},
		"late copies, new leaders":    {{At: at(15), For: at(80), Kind: Copies}, {At: at(30), Kind: Die, Count: 2}, {At: at(33), For: at(3), Kind: Crash, Count: 1}, {At: at(60), For: at(1), Kind: Crash, Count: 3}},
		"lone leader, 1 s":            {{At: at(20), For: at(1), Kind: Lone}},
		"lone leader, a lease":        {{At: at(20), For: at(10), Kind: Lone}},
		"lone leader, a minute":       {{At: at(20), For: at(60), Kind: Lone}},
		"lone follower, a minute":     {{At: at(20), For: at(60), Kind: Lone, Follower: true}},
		"all back at once":            {{At: at(30), For: at(0.1), Kind: Crash, Count: 3}},
		"back within an election":     {{At: at(30), For: at(0.3), Kind: Crash, Count: 1}, {At: at(30.9), For: at(0.2), Kind: Crash, Count: 2}, {At: at(31.6), For: at(0.1), Kind: Crash, Count: 3}},
		"machines back at once":       {{At: at(20), Kind: Restart, Count: 4}, {At: at(25), Kind: Restart, Count: 4}, {At: at(40), For: at(0.5), Kind: Crash, Count: 1}},
		"outage and a crash of all":   {{At: at(20), For: at(40), Kind: Outage}, {At: at(35), For: at(0.7), Kind: Crash, Count: 3}, {At: at(30), For: at(60), Kind: OutboundLost, Count: 2}},
		"cut zone, copies, half-deaf": {{At: at(20), For: at(40), Kind: CutZone}, {At: at(15), For: at(60), Kind: Copies}, {At: at(25), For: at(60), Kind: OutboundLost, Count: 2}},
	}
}
