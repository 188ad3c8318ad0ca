// Package experiment plays workloads against the scheduler and measures them. It knows
// the scheduler from outside, as users, workers and agents do, and nothing of how it
// decides. All that it measures is of this machine, over loopback; see each experiment
// for what in it is simulated.
package experiment

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/features"
	"switchferry/policy"
	"switchferry/scheduler"
	"switchferry/settings"
	"switchferry/tuning"
)

// Locality is an experiment: the same jobs, each of whose tasks needs a part of a dataset,
// under four placements. Agents, store and copies are real and go over loopback, with
// their rates limited; the leader is the controllers' own Core on the real clock; workers
// and their image fetches are simulated in this process, and records are stored at once.
type Locality struct {
	Seed uint64
	// Machines run Slots tasks each at once. Datasets have Parts parts of PartBytes.
	Machines, Slots, Datasets, Parts, PartBytes int
	// Jobs of Parts tasks, which run RunS seconds each, come so that they fill Load of
	// the machines on average.
	Jobs       int
	RunS, Load float64
	// LinkRate and StoreRate are in bytes a second, CachedParts what a cache holds.
	LinkRate, StoreRate float64
	CachedParts         int
	// Skews are the workloads: Zipf exponents over the datasets.
	Skews []float64
	// AtOnce is how many runs go at the same time.
	AtOnce int
	// Dir is where the caches stand while it runs.
	Dir string
	// Progress is told what is done; may be nil.
	Progress func(format string, a ...any)
}

// Defaults is the experiment whose table stands in docs/data.md.
func Defaults() Locality {
	return Locality{Seed: 1, Machines: 24, Slots: 2, Datasets: 16, Parts: 4, PartBytes: 1 << 20, Jobs: 144, RunS: 4, Load: 0.6,
		LinkRate: 512 << 10, StoreRate: 6 << 20, CachedParts: 16, Skews: []float64{0, 1, 2}, AtOnce: 12, Dir: os.TempDir()}
}

// LocalityResult is what it found.
type LocalityResult struct {
	Experiment string     `json:"experiment"`
	Measured   string     `json:"measured"`
	Seed       uint64     `json:"seed"`
	Machines   int        `json:"machines"`
	Jobs       int        `json:"jobs"`
	Workloads  []Workload `json:"workloads"`
}

// Workload is one set of jobs.
type Workload struct {
	Zipf       float64  `json:"zipf"`
	Placements []Figure `json:"placements"`
}

// Figure is what one placement did with a workload.
type Figure struct {
	Name       string `json:"name"`
	StoreBytes int64  `json:"store_bytes"`
	PeerBytes  int64  `json:"peer_bytes"`
	// LeastBytes is what must leave the store whatever the placement: each part that any
	// task needs, once.
	LeastBytes int64   `json:"least_bytes"`
	StartP50   float64 `json:"start_p50_ms"`
	StartP95   float64 `json:"start_p95_ms"`
	StartP99   float64 `json:"start_p99_ms"`
	MakespanS  float64 `json:"makespan_s"`
}

// placements are the four, by the name that the result uses.
var placements = []struct{ name, mode string }{{"blind", features.PlacementBlind}, {"images", features.PlacementImages},
	{"locality", features.PlacementLocal}, {"locality+staging", features.PlacementStaged}}

// arrival is one job of a workload.
type arrival struct {
	at      time.Duration
	dataset int
	image   int
}

// workload draws jobs: when they come, and whose data they need.
func (l *Locality) workload(skew float64) []arrival {
	rng := rand.New(rand.NewPCG(l.Seed, math.Float64bits(skew)))
	weights := make([]float64, l.Datasets)
	sum := 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -skew)
		sum += weights[i]
	}
	perS := l.Load * float64(l.Machines*l.Slots) / l.RunS / float64(l.Parts)
	at := 0.0
	out := make([]arrival, l.Jobs)
	for i := range out {
		x, d := rng.Float64()*sum, 0
		for d < l.Datasets-1 && x > weights[d] {
			x -= weights[d]
			d++
		}
		out[i] = arrival{time.Duration(at * float64(time.Second)), d, d % 8}
		at += rng.ExpFloat64() / perS
	}
	return out
}

// Run plays all workloads under all placements.
func (l *Locality) Run(ctx context.Context) (*LocalityResult, error) {
	if l.Machines < 1 || l.Slots < 1 || l.Datasets < 1 || l.Parts < 1 || l.PartBytes < 1 || l.Jobs < 1 || l.AtOnce < 1 || l.CachedParts < l.Slots {
		return nil, errors.New("machines, slots, datasets, parts, part bytes, jobs and runs at once must be 1 or more, and a cache must hold a part for each slot")
	}
	if !(l.RunS > 0) || !(l.Load > 0) || !(l.LinkRate > 0) || !(l.StoreRate > 0) {
		return nil, errors.New("run time, load and rates must be above 0")
	}
	if l.Progress == nil {
		l.Progress = func(string, ...any) {}
	}
	res := &LocalityResult{Experiment: "locality", Measured: "loopback; workers and image fetches simulated", Seed: l.Seed, Machines: l.Machines, Jobs: l.Jobs}
	var wg sync.WaitGroup
	gate := make(chan struct{}, l.AtOnce)
	var mu sync.Mutex
	var failed []error
	for _, skew := range l.Skews {
		res.Workloads = append(res.Workloads, Workload{Zipf: skew, Placements: make([]Figure, len(placements))})
	}
	for w, skew := range l.Skews {
		jobs := l.workload(skew)
		for p, place := range placements {
			wg.Go(func() {
				gate <- struct{}{}
				defer func() { <-gate }()
				f, err := l.play(ctx, jobs, place.name, place.mode)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failed = append(failed, fmt.Errorf("zipf %g, %s: %w", skew, place.name, err))
					return
				}
				res.Workloads[w].Placements[p] = f
				l.Progress("zipf %g, %s: done in %.0f s", skew, place.name, f.MakespanS)
			})
		}
	}
	wg.Wait()
	return res, errors.Join(failed...)
}

// playing is one run.
type playing struct {
	*Locality
	core     *scheduler.Scheduler
	machines map[string]*machine
	store    *storeServer

	mu      sync.Mutex
	stored  []func()
	arrived map[string]time.Time
	images  map[string]string
	delays  *hdrhistogram.Histogram
	last    time.Time
}

func (l *Locality) play(ctx context.Context, jobs []arrival, name, mode string) (Figure, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	dir, err := os.MkdirTemp(l.Dir, "switchferry-locality-")
	if err != nil {
		return Figure{}, err
	}
	defer os.RemoveAll(dir)
	p := &playing{Locality: l, machines: map[string]*machine{}, arrived: map[string]time.Time{}, images: map[string]string{}, delays: hdrhistogram.New(1, 3_600_000, 3)}
	if p.store, err = l.openStore(ctx); err != nil {
		return Figure{}, err
	}
	set := &settings.Settings{Member: "experiment"}
	set.Facts.Workers = settings.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 40}
	set.Facts.Teams = []settings.Team{{Name: "team"}}
	types := []api.MachineType{{Name: "m", CPUs: float64(l.Slots), MemoryGB: 64, CacheGB: 3, PullGBs: 1, BootS: 1, Zones: []string{"z"}}}
	p.core = scheduler.New(1, clockwork.NewRealClock(), set, policy.Default(), types, scheduler.Collaborators{Records: localityRecords{p},
		Sender: localityCommands{p}, Leadership: alwaysLeading{}, Zones: alwaysLeading{}, TerminalStates: noTerminalStates{}})
	p.core.UseData(features.Data{On: true, Placement: mode, CacheGB: 1, LinkMBs: l.LinkRate / 1e6, StoreMBs: l.StoreRate / 1e6,
		CopiesPerLink: tuning.StageCopiesPerLink, CopiesAtStore: max(tuning.StageCopiesAtStore, l.Machines/2), AheadTasks: tuning.StageAheadTasks})
	p.core.Load(nil, nil)
	for _, s := range p.store.sets {
		p.core.AddDatasets(&dataset.Entry{Summary: *s})
	}
	for i := range l.Machines {
		m, err := p.machine(ctx, dir, i)
		if err != nil {
			return Figure{}, err
		}
		p.machines[m.name] = m
	}
	var wg sync.WaitGroup
	for _, m := range p.machines {
		wg.Go(func() { m.live(ctx, p) })
	}
	wg.Go(func() { p.lead(ctx) })
	defer wg.Wait()
	defer stop()
	return p.follow(ctx, jobs, name)
}

// follow submits the jobs as they come and waits for all to be done.
func (p *playing) follow(ctx context.Context, jobs []arrival, name string) (Figure, error) {
	begin := time.Now()
	touched := map[int]bool{}
	var wg sync.WaitGroup
	for i, j := range jobs {
		select {
		case <-ctx.Done():
			return Figure{}, ctx.Err()
		case <-time.After(time.Until(begin.Add(j.at))):
		}
		touched[j.dataset] = true
		s := api.Submission{ID: fmt.Sprintf("run-%06d", i), Class: "c", Team: "team", Shape: api.JobArray, Rank: "normal", Tasks: p.Parts, CPUs: 1, MemoryGB: 1,
			Image: fmt.Sprintf("image-%d", j.image), ImageGB: 0.5, Spot: true, EstimateS: p.RunS,
			Inputs: []api.Input{{Dataset: setName(j.dataset), Use: api.UseOwnPart}}}
		p.mu.Lock()
		p.arrived[s.ID], p.images[s.ID] = time.Now(), s.Image
		p.mu.Unlock()
		wg.Go(func() { p.core.Submit(ctx, &s, time.Now()) })
	}
	wg.Wait()
	for left := len(jobs); left > 0; {
		left = 0
		for i := range jobs {
			if st, _ := p.core.JobStatus(fmt.Sprintf("run-%06d", i)); st.State == api.Pending || st.State == api.Running {
				left++
			}
		}
		select {
		case <-ctx.Done():
			return Figure{}, fmt.Errorf("%d jobs are not done: %w", left, ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
	f := Figure{Name: name, LeastBytes: int64(len(touched)) * int64(p.Parts*p.PartBytes)}
	for _, m := range p.machines {
		r := m.agent.Heartbeat(false)
		f.StoreBytes += r.BytesFromStore
		f.PeerBytes += r.BytesFromPeers
	}
	// The manifests, which each machine gets once, are not data.
	f.StoreBytes -= p.store.manifests.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	f.MakespanS = p.last.Sub(begin).Seconds()
	f.StartP50 = float64(p.delays.ValueAtQuantile(50))
	f.StartP95 = float64(p.delays.ValueAtQuantile(95))
	f.StartP99 = float64(p.delays.ValueAtQuantile(99))
	return f, nil
}

// lead is the leader's loop: what is to be stored is stored at once.
func (p *playing) lead(ctx context.Context) {
	for ctx.Err() == nil {
		p.core.Place()
		p.mu.Lock()
		after := p.stored
		p.stored = nil
		p.mu.Unlock()
		for _, f := range after {
			if f != nil {
				f()
			}
		}
		p.core.Committed()
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (p *playing) send(name string, o api.HeartbeatResponse) {
	m := p.machines[name]
	m.do(p, o)
	r := m.report()
	p.core.HandleCommandOutcome(name, o, r, true)
}

// localityRecords count as stored when the experiment says so.
type localityRecords struct{ playing *playing }

// MarkDirty notes what is to be called once the record is stored.
func (r localityRecords) MarkDirty(_ string, _ int, stored func()) {
	r.playing.mu.Lock()
	defer r.playing.mu.Unlock()
	r.playing.stored = append(r.playing.stored, stored)
}

// MarkDirtyWithin is MarkDirty.
func (r localityRecords) MarkDirtyWithin(key string, urgency int, _ time.Duration, stored func()) {
	r.MarkDirty(key, urgency, stored)
}

// SetRevision does nothing.
func (localityRecords) SetRevision(string, uint64) {}

// Delay returns zero: there is no limit of writes.
func (r localityRecords) Delay() time.Duration { return 0 }

// localityCommands go to the machines of the experiment.
type localityCommands struct{ playing *playing }

// SendCommands delivers commands to a worker.
func (c localityCommands) SendCommands(machine, _ string, response api.HeartbeatResponse) {
	go c.playing.send(machine, response)
}

// SendStageOrder delivers an order to an agent.
func (c localityCommands) SendStageOrder(machine, _ string, order api.StageOrder) {
	if m := c.playing.machines[machine]; m != nil {
		go m.order(c.playing.core, order)
	}
}
