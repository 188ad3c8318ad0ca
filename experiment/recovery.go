package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"switchferry/api"
	"switchferry/controller"
	"switchferry/internal/standin"
	"switchferry/peer"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/store"
)

// Cases of Recovery: what happens to a fleet at work.
const (
	// CrashLeader ends the leading controller, CrashAll all three; they come back after
	// RestartS. CutZone cuts the leader's zone off from everything for CutS.
	CrashLeader = "leader"
	CrashAll    = "all"
	CutZone     = "zone"
)

// Recovery is an experiment: three controllers as they run in `serve`, on the real clock, with
// the project's stand-ins of state service, cloud and workers in the same process. Controllers
// speak to each other over loopback; other calls stay in the process.
type Recovery struct {
	Seed  uint64
	Sizes []int
	Cases []string
	// ReportS, LeaseS and CancelS are the workers' settings, CutS and RestartS how long a
	// zone is cut off and a controller away; WatchS is how long it is watched afterwards.
	ReportS, LeaseS, CancelS, CutS, RestartS, WatchS float64
	Progress                                         func(format string, a ...any)
}

// RecoveryDefaults are the sizes and times of the tables in docs/fleet.md.
func RecoveryDefaults() *Recovery {
	return &Recovery{Seed: 1, Sizes: []int{300, 1000, 2500, 5000}, Cases: []string{CrashLeader, CrashAll, CutZone},
		ReportS: 3, LeaseS: 17.5, CancelS: 47.5, CutS: 30, RestartS: 4, WatchS: 60, Progress: func(string, ...any) {}}
}

// Recovered is how one fleet came through one case. Times count from the fault, in seconds; -1:
// it did not happen while it was watched.
type Recovered struct {
	Machines int    `json:"machines"`
	Case     string `json:"case"`
	// FirstStart is the first start of a task by a new leader, HeardAll when every worker had
	// been answered by it.
	FirstStart float64 `json:"first_start_s"`
	HeardAll   float64 `json:"heard_all_s"`
	// ReturnedInVain are machines that were returned though nothing was wrong with them,
	// LostInVain tasks that ended with them or with a lease.
	ReturnedInVain int `json:"returned_in_vain"`
	LostInVain     int `json:"lost_in_vain"`
	// PeakShare is the most of one processor core that the whole process took in a second:
	// three controllers, stand-ins and workers together.
	PeakShare float64 `json:"peak_share"`
}

// RecoveryResult is what the experiment prints.
type RecoveryResult struct {
	Seed     uint64      `json:"seed"`
	Measured string      `json:"measured"`
	Sizes    []Recovered `json:"sizes"`
}

// Run plays every case at every size, one after the other.
func (x *Recovery) Run(ctx context.Context) (*RecoveryResult, error) {
	res := &RecoveryResult{Seed: x.Seed, Measured: "simulated machines; controllers over loopback on this machine"}
	for _, n := range x.Sizes {
		for _, c := range x.Cases {
			if !slices.Contains([]string{CrashLeader, CrashAll, CutZone}, c) {
				return nil, fmt.Errorf("case %q: must be leader, all or zone", c)
			}
			r, err := x.play(ctx, n, c)
			if err != nil {
				return nil, fmt.Errorf("%d machines, %s: %w", n, c, err)
			}
			x.Progress("%d machines, %s: first start %.1f s, all heard %.1f s, returned in vain %d, tasks lost in vain %d, peak %.2f of a core",
				n, c, r.FirstStart, r.HeardAll, r.ReturnedInVain, r.LostInVain, r.PeakShare)
			res.Sizes = append(res.Sizes, r)
		}
	}
	return res, nil
}

// region is where state service and cloud stand, which belong to no zone.
const region = "region"

// recovery is one run.
type recovery struct {
	*Recovery
	clock clockwork.Clock
	state *standin.State
	cloud *standin.Cloud

	mu      sync.Mutex
	off     string // the zone that is cut off
	nodes   map[string]*process
	workers map[string]*standin.Worker // by address
	stops   map[string]context.CancelFunc
	began   time.Time // of the fault
	old     uint64
	first   time.Time
	vain    int
	lost    int
}

// process is one controller; it crashes and comes back under the same address.
type process struct {
	name, zone string
	node       *controller.Node
	stop       context.CancelFunc
	addr       string
	ways       []*way
}

func (r *recovery) blocked(a, b string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.off != "" && a != b && (a == r.off || b == r.off)
}

// transport carries a controller's calls.
type transport struct {
	r    *recovery
	zone string
}

func (t transport) RoundTrip(q *http.Request) (*http.Response, error) {
	to, via := region, http.RoundTripper(t.r.state)
	switch {
	case strings.HasPrefix(q.URL.Host, "cloud"):
		via = t.r.cloud
	case strings.HasPrefix(q.URL.Host, "worker"):
		t.r.mu.Lock()
		w := t.r.workers[q.URL.Host]
		t.r.mu.Unlock()
		if w == nil {
			<-q.Context().Done()
			return nil, q.Context().Err()
		}
		to, via = w.Zone, direct{w}
	}
	if t.r.blocked(t.zone, to) {
		<-q.Context().Done()
		return nil, q.Context().Err()
	}
	return via.RoundTrip(q)
}

// direct serves a worker's own port.
type direct struct{ w *standin.Worker }

func (d direct) RoundTrip(q *http.Request) (*http.Response, error) {
	var o api.Orders
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		return nil, err
	}
	rep, ok := d.w.Direct(o)
	raw, err := json.Marshal(rep)
	status := http.StatusOK
	if !ok {
		status = http.StatusConflict
	}
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(raw))}, err
}

// way is the back network from one controller to another: a proxy that a cut holds up.
type way struct {
	r        *recovery
	from, to *process
	l        net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func (y *way) serve() {
	for {
		c, err := y.l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			d, err := net.Dial("tcp", y.to.addr)
			if err != nil {
				return
			}
			defer d.Close()
			y.mu.Lock()
			y.conns[c], y.conns[d] = true, true
			y.mu.Unlock()
			go y.copy(c, d)
			y.copy(d, c)
		}()
	}
}

func (y *way) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for y.r.blocked(y.from.zone, y.to.zone) {
			time.Sleep(20 * time.Millisecond)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reset ends all connections, as when one end's process is gone.
func (y *way) reset() {
	y.mu.Lock()
	defer y.mu.Unlock()
	for c := range y.conns {
		c.Close()
	}
	y.conns = map[net.Conn]bool{}
}

func (r *recovery) settings(p *process) *settings.Settings {
	set := &settings.Settings{Member: p.name, Zone: p.zone}
	set.External.State, set.External.Cloud = "state:1", "cloud:1"
	set.Facts.Zones = []string{"east", "west"}
	set.Facts.Teams = []settings.Team{{Name: "team"}}
	set.Facts.Workers = settings.Workers{ReportS: r.ReportS, LeaseS: r.LeaseS, CancelS: r.CancelS}
	set.Facts.State = settings.State{RPS: 800, WriteRPS: 250, ValueKB: 16, TxnOps: 12}
	set.Facts.Cloud.RPS, set.Facts.Cloud.ListLagS = 8, 3
	for _, y := range p.ways {
		set.Siblings = append(set.Siblings, settings.Sibling{Member: y.to.name, Zone: y.to.zone, Address: y.l.Addr().String()})
	}
	return set
}

// start runs a controller's process.
func (r *recovery) start(ctx context.Context, p *process) error {
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	n := controller.NewNode(ctx, r.settings(p), policy.Default(), r.clock, transport{r, p.zone})
	r.mu.Lock()
	p.node, p.stop = n, stop
	r.mu.Unlock()
	go n.Run(l)
	return nil
}

func (r *recovery) crash(p *process) {
	r.mu.Lock()
	stop := p.stop
	p.node = nil
	r.mu.Unlock()
	stop()
	for _, q := range r.nodes {
		for _, y := range q.ways {
			if y.from == p || y.to == p {
				y.reset()
			}
		}
	}
}

// post carries a worker's report to a controller.
func (r *recovery) post(zone string) func(ctx context.Context, node string, rep *api.Report) (int, any) {
	return func(ctx context.Context, node string, rep *api.Report) (int, any) {
		r.mu.Lock()
		p := r.nodes[node]
		n := p.node
		r.mu.Unlock()
		if n == nil {
			return 0, nil
		}
		if r.blocked(zone, p.zone) {
			<-ctx.Done()
			return 0, nil
		}
		raw, err := json.Marshal(rep)
		if err != nil {
			return 0, nil
		}
		status, body := n.Report(ctx, rep, raw)
		if raw, ok := body.(json.RawMessage); ok {
			var o api.Orders
			if status == http.StatusOK && json.Unmarshal(raw, &o) == nil {
				return status, o
			}
			return status, nil
		}
		return status, body
	}
}

// work runs a machine's worker.
func (r *recovery) work(ctx context.Context, h standin.Host) {
	w := standin.NewWorker(standin.WorkerOptions{Host: h, Clock: r.clock, Nodes: []string{"n0", "n1", "n2"}, Post: r.post(h.Zone),
		Every: span(r.ReportS), Lease: span(r.LeaseS), Runs: runs, Starts: r.started})
	ctx, stop := context.WithCancel(ctx)
	r.mu.Lock()
	r.workers[h.Address], r.stops[h.Address] = w, stop
	r.mu.Unlock()
	go w.Run(ctx)
}

func span(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// runs is how long a task runs: those of the first job to the end, others 10 s.
func runs(task string) time.Duration {
	if strings.HasPrefix(task, "run-0000") {
		return time.Hour
	}
	return 10 * time.Second
}

func (r *recovery) started(_ string, helm uint64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.began.IsZero() && helm > r.old && r.first.IsZero() {
		r.first = at
	}
}

// gone is told of a machine that was returned. None of them is at fault.
func (r *recovery) gone(h standin.Host) {
	r.mu.Lock()
	w, stop := r.workers[h.Address], r.stops[h.Address]
	delete(r.workers, h.Address)
	r.mu.Unlock()
	if w == nil {
		return
	}
	stop()
	_, _, _, running := w.Seen()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.began.IsZero() {
		r.vain++
		r.lost += running
	}
}

func (x *Recovery) play(ctx context.Context, machines int, what string) (Recovered, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	clock := clockwork.NewRealClock()
	types := []api.MachineType{{Name: "m", CPUs: 8, MemoryGB: 32, CacheGB: 50, PullGBs: 1, BootS: 40, Price: 1, SpotPrice: 0.5, Zones: []string{"east", "west"}}}
	r := &recovery{Recovery: x, clock: clock, state: standin.NewState(clock), cloud: standin.NewCloud(clock, types, 8),
		nodes: map[string]*process{}, workers: map[string]*standin.Worker{}, stops: map[string]context.CancelFunc{}}
	r.state.Limit(standin.Limits{RPS: 800, WriteRPS: 250, ValueKB: 16, TxnOps: 12})
	r.cloud.Up, r.cloud.Gone = func(h standin.Host) {
		time.AfterFunc(span(types[0].BootS), func() {
			if ctx.Err() == nil {
				r.work(ctx, h)
			}
		})
	}, r.gone
	for i, zone := range []string{"east", "west", "east"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return Recovered{}, err
		}
		p := &process{name: fmt.Sprintf("n%d", i), zone: zone, addr: l.Addr().String()}
		l.Close()
		r.nodes[p.name] = p
	}
	for _, p := range r.nodes {
		for _, q := range r.nodes {
			if p == q {
				continue
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return Recovered{}, err
			}
			defer l.Close()
			y := &way{r: r, from: p, to: q, l: l, conns: map[net.Conn]bool{}}
			p.ways = append(p.ways, y)
			go y.serve()
		}
	}
	for _, p := range r.nodes {
		if err := r.start(ctx, p); err != nil {
			return Recovered{}, err
		}
	}
	for i := range machines {
		r.work(ctx, r.cloud.Add("m", []string{"east", "west"}[i%2], false))
	}
	if err := r.settle(ctx, machines); err != nil {
		return Recovered{}, err
	}
	return r.strike(ctx, machines, what)
}

// submit hands a job to some controller, until one takes it.
func (r *recovery) submit(ctx context.Context, id string, shape string, tasks int) {
	body := fmt.Sprintf(`{"name_id":%q,"jobclass":"c","owner":"team","shape":%q,"rank":"normal","parts":%d,"cores":2,"cards":0,"ram_gb":4,
		"bundle":"img","size_gb":0.1,"hulls":null,"berth":null,"together":false,"apart":false,"standby":true,"expect_s":10,"snapshot_s":0,"stow_s":0,"due_s":null}`, id, shape, tasks)
	for i := 0; ctx.Err() == nil; i++ {
		r.mu.Lock()
		p := r.nodes[fmt.Sprintf("n%d", i%3)]
		n, away := p.node, r.off != "" && p.zone == r.off
		r.mu.Unlock()
		if n != nil && !away {
			if a := n.Handle(ctx, peer.Request{Verb: controller.VerbSubmit, Body: []byte(body)}, false); a.Status < 300 {
				return
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
}

// settle brings the fleet to work: two long tasks a machine, then jobs that come and go.
func (r *recovery) settle(ctx context.Context, machines int) error {
	for i := 0; i < 2*machines; i += 400 {
		go r.submit(ctx, fmt.Sprintf("run-%06d", i/400), api.Array, min(400, 2*machines-i))
	}
	for end := time.Now().Add(3 * time.Minute); ; time.Sleep(250 * time.Millisecond) {
		running := 0
		r.mu.Lock()
		for _, w := range r.workers {
			_, _, _, n := w.Seen()
			running += n
		}
		r.mu.Unlock()
		if running == 2*machines {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("only %d of %d tasks run after three minutes", running, 2*machines)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	go func() {
		rng := rand.New(rand.NewPCG(r.Seed, uint64(machines)))
		for i := 0; ctx.Err() == nil; i++ {
			go r.submit(ctx, fmt.Sprintf("run-%06d", 100_000+i), api.Array, 1+rng.IntN(max(2, machines/20)))
			time.Sleep(time.Second)
		}
	}()
	time.Sleep(15 * time.Second)
	return ctx.Err()
}

// leader is who leads, by the state service.
func (r *recovery) leader() *process {
	var l store.Leader
	if json.Unmarshal(r.state.Get(store.LeaderKey), &l) != nil {
		return nil
	}
	return r.nodes[l.Member]
}

// strike plays the case and watches.
func (r *recovery) strike(ctx context.Context, machines int, what string) (Recovered, error) {
	p := r.leader()
	if p == nil {
		return Recovered{}, errors.New("nobody leads")
	}
	killed := 0
	r.mu.Lock()
	for _, w := range r.workers {
		helm, _, n, _ := w.Seen()
		r.old, killed = max(r.old, helm), killed+n
	}
	r.began = time.Now()
	began := r.began
	r.mu.Unlock()
	back := func(p *process) {
		time.AfterFunc(span(r.RestartS), func() {
			if ctx.Err() == nil {
				_ = r.start(ctx, p)
			}
		})
	}
	switch what {
	case CrashLeader:
		r.crash(p)
		back(p)
	case CrashAll:
		for _, q := range r.nodes {
			r.crash(q)
			back(q)
		}
	case CutZone:
		r.cut(p.zone)
		time.AfterFunc(span(r.CutS), func() { r.cut("") })
	}
	res := Recovered{Machines: machines, Case: what, FirstStart: -1, HeardAll: -1}
	last, at := processCPU(), time.Now()
	for time.Since(began) < span(r.WatchS) {
		select {
		case <-ctx.Done():
			return res, ctx.Err()
		case <-time.After(time.Second):
		}
		now, cpu := time.Now(), processCPU()
		res.PeakShare = max(res.PeakShare, (cpu-last).Seconds()/now.Sub(at).Seconds())
		last, at = cpu, now
		all := true
		r.mu.Lock()
		for _, w := range r.workers {
			helm, _, _, _ := w.Seen()
			all = all && helm > r.old
		}
		r.mu.Unlock()
		if all && res.HeardAll < 0 {
			res.HeardAll = now.Sub(began).Seconds()
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		_, _, n, _ := w.Seen()
		r.lost += n
	}
	if !r.first.IsZero() {
		res.FirstStart = r.first.Sub(began).Seconds()
	}
	res.ReturnedInVain, res.LostInVain = r.vain, r.lost-killed
	return res, nil
}

func (r *recovery) cut(zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.off = zone
}

// processCPU is the processor time that this process has taken.
func processCPU() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
