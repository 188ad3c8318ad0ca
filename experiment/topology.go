package experiment

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"switchferry/api"
	"switchferry/policy"
	"switchferry/scheduler"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/topology"
)

// Topology is an experiment: jobs that must stand near each other, or survive a rack, come and
// go on a simulated fleet whose switches fail, under three placements: the leader's Core with a
// topology, the same without, and a random one that keeps the same bounds. Machines, tasks and
// time are simulated; the leader's decisions are real and timed.
type Topology struct {
	Seed uint64
	// Seeds are played one after the other, from Seed on.
	Seeds int
	// Machines, in racks of 16 to 40 and switches of 8 racks; Seconds of each seed; Load is the
	// part of the fleet that is asked for on average.
	Machines, Seconds int
	Load              float64
	// Only is the one placement that is played; "": all.
	Only string
	// Progress is told after each seed.
	Progress func(format string, a ...any)
}

// TopologyPlacements are what is compared.
var TopologyPlacements = []string{"topology", "today", "random"}

// TopologyDefaults are a run of a minute or two.
func TopologyDefaults() *Topology {
	return &Topology{Seed: 1, Seeds: 3, Machines: 300, Seconds: 300, Load: 1, Progress: func(string, ...any) {}}
}

// TopologyResult has a figure for each placement.
type TopologyResult struct {
	Machines   int               `json:"machines"`
	Seeds      int               `json:"seeds"`
	Placements []TopologyFigures `json:"placements"`
}

// TopologyFigures are one placement's. A violation is a job that stands beyond a bound, or away
// from itself, counted once for each second. ClosePossible are jobs that must stand near and did,
// or could have by an exact search after two rounds in a row and still waited, CloseTogether those
// that did. Fragmentation is the mean share of the free room in which no task of 8 CPUs fits.
// A decision is a round, its time divided by the tasks that it placed; PlacedN are all tasks.
type TopologyFigures struct {
	Name          string  `json:"name"`
	PlacedN       int     `json:"placed"`
	Violations    int     `json:"spread_violations"`
	ClosePossible int     `json:"close_possible"`
	CloseTogether int     `json:"close_together"`
	WaitP95       float64 `json:"close_wait_p95_s"`
	Fragmentation float64 `json:"fragmentation"`
	DecisionP50   float64 `json:"decision_us_p50"`
	DecisionP99   float64 `json:"decision_us_p99"`
}

// placer is what is compared.
type placer interface {
	submit(s *api.Submission)
	cancel(id string)
	// report tells of a machine, and gives what it is told.
	report(m *rackMachine)
	// round places; how long the decision took.
	round() time.Duration
	// decided tells whether all of a job has a place, though machines may have fallen silent
	// before they heard of it.
	decided(job string) bool
	// barred tells whether a domain is kept for another job than this.
	barred(domain, job string) bool
}

type rackTask struct {
	id, job string
	attempt uint64
	cpus    float64
	ends    time.Time // zero: a service
}

type rackMachine struct {
	name, rack, at string
	cpus           float64
	tasks          map[string]*rackTask
	ended          []api.TaskReport
	quiet          int
	session        uint64
	seq            uint64
	silent         int
	dead           bool
}

func (m *rackMachine) free() float64 {
	f := m.cpus
	for _, t := range m.tasks {
		f -= t.cpus
	}
	return f
}

// rackWorld is one seed under one placer.
type rackWorld struct {
	*Topology
	clock    *clockwork.FakeClock
	rng      *rand.Rand
	machines []*rackMachine
	byName   map[string]*rackMachine
	racks    []string
	switchOf map[string]string
	jobs     map[string]*rackJob
	order    []*rackJob
	placed   int
	next     int
}

type rackJob struct {
	s     api.Submission
	run   time.Duration
	at    time.Time
	ends  time.Time // of a service
	stood bool
	over  bool
	live  int
	done  int
	// could counts rounds in a row after which all of it would have fit somewhere.
	could int
}

const taskMemory = 1.0

// Run plays all placements.
func (x *Topology) Run(ctx context.Context) (*TopologyResult, error) {
	res := &TopologyResult{Machines: x.Machines, Seeds: x.Seeds}
	for _, name := range TopologyPlacements {
		if x.Only != "" && x.Only != name {
			continue
		}
		f := TopologyFigures{Name: name}
		waits, decisions := hdrhistogram.New(1, 3_600_000, 3), hdrhistogram.New(1, 60_000_000_000, 3)
		frag, fragN := 0.0, 0
		for i := range x.Seeds {
			seed := x.Seed + uint64(i)
			w := x.world(seed)
			p, err := w.placer(name)
			if err != nil {
				return nil, err
			}
			for range x.Seconds {
				if ctx.Err() != nil {
					return nil, ctx.Err()
				}
				w.arrive(p)
				w.fail()
				before := w.placed
				w.live(p)
				took := p.round()
				w.live(p)
				if n := w.placed - before; n > 0 {
					_ = decisions.RecordValue(max(1, took.Nanoseconds()/int64(n)))
				}
				w.look(p, &f, waits)
				if share, any := w.fragments(); any {
					frag, fragN = frag+share, fragN+1
				}
				w.clock.Advance(time.Second)
			}
			f.PlacedN += w.placed
			x.Progress("%s, seed %d done", name, seed)
		}
		f.WaitP95 = float64(waits.ValueAtQuantile(95)) / 1000
		f.DecisionP50, f.DecisionP99 = float64(decisions.ValueAtQuantile(50))/1000, float64(decisions.ValueAtQuantile(99))/1000
		if fragN > 0 {
			f.Fragmentation = frag / float64(fragN)
		}
		res.Placements = append(res.Placements, f)
	}
	return res, nil
}

func (x *Topology) world(seed uint64) *rackWorld {
	w := &rackWorld{Topology: x, clock: clockwork.NewFakeClock(), rng: rand.New(rand.NewPCG(seed, 7)), byName: map[string]*rackMachine{},
		switchOf: map[string]string{}, jobs: map[string]*rackJob{}}
	for len(w.machines) < x.Machines {
		rack := fmt.Sprintf("r%03d", len(w.racks))
		w.switchOf[rack] = fmt.Sprintf("s%02d", len(w.racks)/8)
		w.racks = append(w.racks, rack)
		for k := range min(16+w.rng.IntN(25), x.Machines-len(w.machines)) {
			w.add(rack, fmt.Sprintf("%s-%02d", rack, k), []float64{8, 16, 32}[w.rng.IntN(3)])
		}
	}
	return w
}

func (w *rackWorld) add(rack, name string, cpus float64) {
	m := &rackMachine{name: name, rack: rack, at: w.switchOf[rack], cpus: cpus, tasks: map[string]*rackTask{}, session: 1}
	w.machines, w.byName[name] = append(w.machines, m), m
}

func (w *rackWorld) declared() (*topology.Map, error) {
	var b strings.Builder
	b.WriteString("version = 1\n")
	seen := map[string]bool{}
	for _, r := range w.racks {
		if s := w.switchOf[r]; !seen[s] {
			seen[s] = true
			fmt.Fprintf(&b, "[[domain]]\nname = %q\nlevel = \"switch\"\n", s)
		}
		fmt.Fprintf(&b, "[[domain]]\nname = %q\nlevel = \"rack\"\nin = %q\nmachines = [%q]\n", r, w.switchOf[r], r+"-*")
	}
	return topology.Parse([]byte(b.String()))
}

// arrive submits jobs while less is asked for than the load, and ends services.
func (w *rackWorld) arrive(p placer) {
	asked, all := 0.0, 0.0
	for _, m := range w.machines {
		all += m.cpus
	}
	now := w.clock.Now()
	for _, j := range w.order {
		if !j.over && !j.ends.IsZero() && now.After(j.ends) {
			j.over = true
			p.cancel(j.s.ID)
		}
		if !j.over {
			asked += float64(j.s.Tasks) * j.s.CPUs
		}
	}
	for asked < w.Load*all {
		j := w.draw()
		asked += float64(j.s.Tasks) * j.s.CPUs
		w.jobs[j.s.ID], w.order = j, append(w.order, j)
		p.submit(&j.s)
		if w.rng.IntN(8) == 0 {
			break
		}
	}
	w.order = slices.DeleteFunc(w.order, func(j *rackJob) bool { return j.over && j.live == 0 })
}

func (w *rackWorld) draw() *rackJob {
	w.next++
	j := &rackJob{at: w.clock.Now(), run: time.Duration(10+w.rng.IntN(50)) * time.Second}
	j.s = api.Submission{ID: fmt.Sprintf("run-%07d", w.next), Class: "c", Team: "team", Rank: "normal", MemoryGB: taskMemory, Image: "image", Spot: true,
		EstimateS: j.run.Seconds(), CPUs: float64(1 + w.rng.IntN(4)), Shape: api.JobArray, Tasks: 8 + w.rng.IntN(40)}
	switch k := w.rng.IntN(20); {
	case k < 6:
		j.s.Shape, j.s.Tasks, j.s.EstimateS = api.Service, 2+w.rng.IntN(11), 0
		j.ends = j.at.Add(time.Duration(60+w.rng.IntN(240)) * time.Second)
		j.s.Survive = &api.Survive{Level: "rack", AtMost: 1 + j.s.Tasks/3, Must: true}
		if k == 0 {
			j.s.Near = &api.Near{Level: "switch", Must: true}
		}
	case k < 11:
		j.s.Shape, j.s.Tasks, j.s.CPUs = api.Gang, 4+w.rng.IntN(20), 4
		j.s.Near = &api.Near{Level: "rack", Must: true}
	case k < 12:
		j.s.Shape, j.s.Tasks, j.s.CPUs = api.Gang, 30+w.rng.IntN(50), 4
		j.s.Near = &api.Near{Level: "switch", Must: true}
	}
	return j
}

// fail lets a switch fall silent now and then, some for longer than a lease.
func (w *rackWorld) fail() {
	if w.rng.IntN(60) > 0 {
		return
	}
	at, long := w.switchOf[w.racks[w.rng.IntN(len(w.racks))]], 3+w.rng.IntN(25)
	for _, m := range w.machines {
		if m.at == at {
			m.quiet = long
		}
	}
}

// leaseSeconds is the workers' lease.
const leaseSeconds = 12

// live lets machines report that can, and tasks end.
func (w *rackWorld) live(p placer) {
	now := w.clock.Now()
	for _, m := range w.machines {
		for id, t := range m.tasks {
			if !t.ends.IsZero() && !now.Before(t.ends) {
				m.ended = append(m.ended, api.TaskReport{Task: id, Attempt: t.attempt, State: api.TaskExited, Cause: api.CauseDone})
				w.off(m, t)
				j := w.jobs[t.job]
				j.done++
				j.over = j.over || j.done >= j.s.Tasks
			}
		}
		if m.dead || m.quiet > 0 {
			continue
		}
		p.report(m)
	}
}

func (w *rackWorld) on(m *rackMachine, id string, attempt uint64) {
	name, _, _ := strings.Cut(id, "/")
	j := w.jobs[name]
	if j == nil || m.tasks[id] != nil {
		return
	}
	t := &rackTask{id: id, job: name, attempt: attempt, cpus: j.s.CPUs}
	if j.ends.IsZero() {
		t.ends = w.clock.Now().Add(j.run)
	}
	m.tasks[id] = t
	j.live++
	w.placed++
}

func (w *rackWorld) off(m *rackMachine, t *rackTask) {
	delete(m.tasks, t.id)
	w.jobs[t.job].live--
}

// look counts what stands where it must not, and what could stand and does not.
func (w *rackWorld) look(p placer, f *TopologyFigures, waits *hdrhistogram.Histogram) {
	racks, switches := map[string]map[string]int{}, map[string]map[string]int{}
	count := func(in map[string]map[string]int, job, key string) {
		if in[job] == nil {
			in[job] = map[string]int{}
		}
		in[job][key]++
	}
	for _, m := range w.machines {
		if m.quiet > 0 {
			m.quiet--
			if m.silent++; m.silent == leaseSeconds {
				for _, t := range m.tasks {
					w.off(m, t)
				}
			}
		} else {
			m.silent = 0
		}
		for _, t := range m.tasks {
			count(racks, t.job, m.rack)
			count(switches, t.job, m.at)
		}
	}
	for _, j := range w.order {
		if x := j.s.Survive; x != nil {
			for _, n := range racks[j.s.ID] {
				if n > x.AtMost {
					f.Violations++
					break
				}
			}
		}
		if j.s.Near == nil || j.over {
			continue
		}
		in := racks
		if j.s.Near.Level == "switch" {
			in = switches
		}
		if len(in[j.s.ID]) > 1 {
			f.Violations++
		}
		switch {
		case j.stood:
		case j.live == j.s.Tasks && len(in[j.s.ID]) == 1:
			j.stood = true
			f.ClosePossible++
			f.CloseTogether++
			_ = waits.RecordValue(w.clock.Now().Sub(j.at).Milliseconds())
		case j.live == 0 && !p.decided(j.s.ID) && w.couldStand(p, j):
			// What came free after the round is there for the next.
			if j.could++; j.could == 2 {
				f.ClosePossible++
				j.stood = true // counted once
			}
		default:
			j.could = 0
		}
	}
}

// couldStand tells by an exact search whether all of a job fits into one domain now.
func (w *rackWorld) couldStand(p placer, j *rackJob) bool {
	domains := map[string][]*rackMachine{}
	for _, m := range w.machines {
		if m.quiet > 0 || m.silent > 0 || m.dead || m.free() < j.s.CPUs {
			continue
		}
		key := m.rack
		if j.s.Near.Level == "switch" {
			key = m.at
		}
		if p.barred(m.rack, j.s.ID) || p.barred(m.at, j.s.ID) {
			continue
		}
		domains[key] = append(domains[key], m)
	}
	for _, in := range domains {
		if fits(in, &j.s) {
			return true
		}
	}
	return false
}

// fits asks a solver how many of a job's tasks fit on machines at once: a variable for the
// machines of a rack with as much room each, bounded by that and, in sum over a rack, by what
// may stand there. It is a flow, so that the linear program's greatest sum is a whole number.
func fits(in []*rackMachine, s *api.Submission) bool {
	type group struct {
		rack string
		k    int
	}
	room := map[group]int{}
	for _, m := range in {
		if k := int(m.free()/s.CPUs + 1e-9); k > 0 {
			room[group{m.rack, k}] += k
		}
	}
	groups := slices.SortedFunc(maps.Keys(room), func(a, b group) int { return cmp.Or(cmp.Compare(a.rack, b.rack), a.k-b.k) })
	if len(groups) == 0 {
		return false
	}
	racks := map[string]int{}
	if s.Survive != nil {
		for _, g := range groups {
			if _, ok := racks[g.rack]; !ok {
				racks[g.rack] = len(racks)
			}
		}
	}
	// One slack for each bound, so that all are equations.
	rows := len(groups) + len(racks)
	a, b, c := mat.NewDense(rows, len(groups)+rows, nil), make([]float64, rows), make([]float64, len(groups)+rows)
	for i, g := range groups {
		a.Set(i, i, 1)
		b[i], c[i] = float64(room[g]), -1
		if r, ok := racks[g.rack]; ok {
			a.Set(len(groups)+r, i, 1)
			b[len(groups)+r] = float64(s.Survive.AtMost)
		}
	}
	for i := range rows {
		a.Set(i, len(groups)+i, 1)
	}
	most, _, err := lp.Simplex(c, a, b, 1e-9, nil)
	return err == nil && -most >= float64(s.Tasks)-1e-6
}

// fragments is the share of the free room in which no task of 8 CPUs fits.
func (w *rackWorld) fragments() (float64, bool) {
	free, whole := 0.0, 0.0
	for _, m := range w.machines {
		if !m.dead && m.quiet == 0 {
			f := m.free()
			free, whole = free+f, whole+float64(int(f/8)*8)
		}
	}
	return 1 - whole/max(free, 1), free > 0
}

// placer makes what is compared.
func (w *rackWorld) placer(name string) (placer, error) {
	if name == "random" {
		return &randomPlacer{w: w, rng: rand.New(rand.NewPCG(w.Seed, 11))}, nil
	}
	p := &corePlacer{w: w}
	set := &settings.Settings{Member: "experiment"}
	set.Facts.Workers = settings.Workers{ReportS: 1, LeaseS: leaseSeconds, CancelS: 40}
	set.Facts.Teams = []settings.Team{{Name: "team"}}
	var types []api.MachineType
	for _, c := range []float64{8, 16, 32} {
		types = append(types, api.MachineType{Name: fmt.Sprintf("m%g", c), CPUs: c, MemoryGB: 1000, CacheGB: 100, PullGBs: 1, BootS: 30, Zones: []string{"z"}})
	}
	p.core = scheduler.New(1, w.clock, set, policy.Default(), types, scheduler.Hooks{
		MarkDirty:       func(_ string, _ int, after func()) { p.stored = append(p.stored, after) },
		MarkDirtyWithin: func(_ string, _ int, _ time.Duration, after func()) { p.stored = append(p.stored, after) },
		SendCommands:    func(name, _ string, o api.HeartbeatResponse) { p.sent = append(p.sent, order{name, o}) },
		Leading:         func() bool { return true },
		CommitDelay:     func() time.Duration { return 0 },
		ZoneUnreachable: func(string) bool { return false },
		JobTerminal:     func(string, store.FinalRecord) {},
		TerminalState:   func(string) (store.FinalRecord, bool) { return store.FinalRecord{}, false },
	})
	if name == "topology" {
		m, err := w.declared()
		if err != nil {
			return nil, err
		}
		p.core.UseTopology(m)
	}
	p.core.Load(nil, nil)
	w.live(p)
	return p, nil
}

type order struct {
	name string
	o    api.HeartbeatResponse
}

// corePlacer is the leader's Core, whose records are stored at once.
type corePlacer struct {
	w      *rackWorld
	core   *scheduler.Scheduler
	stored []func()
	sent   []order
	view   api.TopologyView
}

func (p *corePlacer) submit(s *api.Submission) {
	// Nobody waits for the record here: it is stored below.
	gone, stop := context.WithCancel(context.Background())
	stop()
	c := *s
	p.core.Submit(gone, &c, p.w.clock.Now())
	p.store()
}

func (p *corePlacer) cancel(id string) {
	gone, stop := context.WithCancel(context.Background())
	stop()
	p.core.Cancel(gone, id)
	p.store()
}

func (p *corePlacer) store() {
	for len(p.stored) > 0 {
		now := p.stored
		p.stored = nil
		for _, f := range now {
			if f != nil {
				f()
			}
		}
	}
}

func (p *corePlacer) obey(m *rackMachine, o api.HeartbeatResponse) {
	for _, c := range o.Commands {
		switch c.Verb {
		case api.CommandRun:
			p.w.on(m, c.Task, c.Attempt)
		case api.CommandKill:
			if t := m.tasks[c.Task]; t != nil {
				m.ended = append(m.ended, api.TaskReport{Task: c.Task, Attempt: t.attempt, State: api.TaskExited, Cause: api.CauseStopped})
				p.w.off(m, t)
			}
		case api.CommandClear:
			m.ended = slices.DeleteFunc(m.ended, func(t api.TaskReport) bool { return t.Task == c.Task })
		}
	}
}

func (p *corePlacer) report(m *rackMachine) {
	m.seq++
	r := api.Heartbeat{Machine: m.name, Address: m.name + ":1", Type: fmt.Sprintf("m%g", m.cpus), Zone: "z", Incarnation: m.session, Seq: m.seq, Term: 1, Tasks: slices.Clone(m.ended)}
	for id, t := range m.tasks {
		r.Tasks = append(r.Tasks, api.TaskReport{Task: id, Attempt: t.attempt, State: api.TaskRunning})
	}
	slices.SortFunc(r.Tasks, func(a, b api.TaskReport) int { return cmp.Compare(a.Task, b.Task) })
	o, _, refused := p.core.HandleHeartbeat(&r, "")
	if refused {
		m.dead = true
		return
	}
	p.obey(m, o)
	p.store()
}

func (p *corePlacer) round() time.Duration {
	began := time.Now()
	p.core.Place()
	took := time.Since(began)
	p.store()
	for _, x := range p.sent {
		if m := p.w.byName[x.name]; m != nil && m.quiet == 0 && !m.dead {
			p.obey(m, x.o)
		}
	}
	p.sent = nil
	if gone := p.core.MaintainFleet(); len(gone) > 0 {
		for _, name := range gone {
			p.w.replace(name)
		}
		p.core.InstancesReleased(gone, nil)
		p.store()
	}
	p.view = p.core.Topology()
	return took
}

// replace puts another machine where one was returned.
func (w *rackWorld) replace(name string) {
	m := w.byName[name]
	if m == nil || m.dead {
		return
	}
	m.dead = true
	for _, t := range m.tasks {
		w.off(m, t)
	}
	w.next++
	w.machines = slices.DeleteFunc(w.machines, func(o *rackMachine) bool { return o == m })
	w.add(m.rack, fmt.Sprintf("%s-x%d", m.rack, w.next), m.cpus)
	w.machines[len(w.machines)-1].quiet = m.quiet
}

func (p *corePlacer) decided(job string) bool {
	x, ok := p.core.Explain(job)
	return ok && x.Waiting == 0
}

func (p *corePlacer) barred(domain, job string) bool {
	return slices.ContainsFunc(p.view.Reserved, func(r api.ReservedView) bool { return r.Domain == domain && r.Job != job })
}

// randomPlacer takes machines at random and keeps the bounds.
type randomPlacer struct {
	w       *rackWorld
	rng     *rand.Rand
	attempt uint64
}

func (p *randomPlacer) submit(*api.Submission) {}
func (p *randomPlacer) cancel(id string) {
	for _, m := range p.w.machines {
		for _, t := range m.tasks {
			if t.job == id {
				p.w.off(m, t)
			}
		}
	}
}

func (p *randomPlacer) decided(string) bool        { return false }
func (p *randomPlacer) barred(string, string) bool { return false }

func (p *randomPlacer) report(m *rackMachine) {
	m.ended = nil
}

func (p *randomPlacer) round() time.Duration {
	began := time.Now()
	for _, j := range p.w.order {
		if j.over || j.live+j.done >= j.s.Tasks || j.s.Near != nil && j.live > 0 {
			continue
		}
		domains := map[string][]*rackMachine{}
		var names []string
		for _, m := range p.w.machines {
			if m.quiet > 0 || m.silent > 0 || m.free() < j.s.CPUs {
				continue
			}
			key := ""
			if j.s.Near != nil {
				key = map[bool]string{true: m.rack, false: m.at}[j.s.Near.Level == "rack"]
			}
			if domains[key] == nil {
				names = append(names, key)
			}
			domains[key] = append(domains[key], m)
		}
		p.rng.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
		for _, key := range names {
			if p.take(j, domains[key]) {
				break
			}
		}
	}
	return time.Since(began)
}

// take puts a job's missing tasks on machines, all of them if it must stand near.
func (p *randomPlacer) take(j *rackJob, in []*rackMachine) bool {
	p.rng.Shuffle(len(in), func(a, b int) { in[a], in[b] = in[b], in[a] })
	here := map[string]int{}
	if j.s.Survive != nil {
		for _, m := range p.w.machines {
			for _, t := range m.tasks {
				if t.job == j.s.ID {
					here[m.rack]++
				}
			}
		}
	}
	var on []*rackMachine
	for _, m := range in {
		for f := m.free(); f >= j.s.CPUs && j.live+j.done+len(on) < j.s.Tasks; f -= j.s.CPUs {
			if j.s.Survive != nil && here[m.rack] >= j.s.Survive.AtMost {
				break
			}
			here[m.rack]++
			on = append(on, m)
		}
	}
	if j.s.Near != nil && len(on) < j.s.Tasks-j.done {
		return false
	}
	for _, m := range on {
		p.attempt++
		p.w.on(m, fmt.Sprintf("%s/%d", j.s.ID, p.attempt), p.attempt)
	}
	return true
}
