// Package experiment runs workloads against the scheduler and measures them. It uses the scheduler through
// the interfaces that users, workers and agents have, and does not depend on how it makes decisions. All
// figures are from one machine, over loopback; each experiment documents which of its parts are simulated.
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

// Locality is an experiment that runs the same jobs, each of whose tasks needs one part of a dataset, under four
// placement modes. Agents, the store and the transfers are real and go over loopback with limited rates. The leader is
// a real Scheduler on the real clock. Workers and their image fetches are simulated in this process, and records
// count as stored immediately.
type Locality struct {
	Seed uint64
	// Machines is the fleet size and Slots the number of concurrent tasks per machine. There are Datasets datasets of
	// Parts parts each; a part has PartBytes bytes.
	Machines, Slots, Datasets, Parts, PartBytes int
	// Jobs is the number of jobs. Each has Parts tasks that run for TaskRunS seconds. The arrival rate is such that the
	// tasks occupy the share Load of all slots on average.
	Jobs           int
	TaskRunS, Load float64
	// LinkRate (each machine's link) and StoreRate (the store) are in bytes per second. CachedParts is the capacity of
	// a machine's cache in parts.
	LinkRate, StoreRate float64
	CachedParts         int
	// Skews are the Zipf exponents of dataset popularity, one for each workload.
	Skews []float64
	// AtOnce is the maximum number of concurrent runs.
	AtOnce int
	// Dir is the parent directory of the temporary caches.
	Dir string
	// Progress receives a line after each run; it may be nil.
	Progress func(format string, a ...any)
}

// LocalityDefaults returns the experiment whose table is in docs/data.md.
func LocalityDefaults() Locality {
	return Locality{Seed: 1, Machines: 24, Slots: 2, Datasets: 16, Parts: 4, PartBytes: 1 << 20, Jobs: 144, TaskRunS: 4, Load: 0.6,
		LinkRate: 512 << 10, StoreRate: 6 << 20, CachedParts: 16, Skews: []float64{0, 1, 2}, AtOnce: 12, Dir: os.TempDir()}
}

// LocalityResult is the result of a Locality experiment.
type LocalityResult struct {
	Experiment string     `json:"experiment"`
	Measured   string     `json:"measured"`
	Seed       uint64     `json:"seed"`
	Machines   int        `json:"machines"`
	Jobs       int        `json:"jobs"`
	Workloads  []Workload `json:"workloads"`
}

// Workload holds the figures of all placement modes for one set of jobs.
type Workload struct {
	Zipf       float64            `json:"zipf"`
	Placements []PlacementFigures `json:"placements"`
}

// PlacementFigures holds the measurements of one placement mode on one workload.
type PlacementFigures struct {
	Name       string `json:"name"`
	StoreBytes int64  `json:"store_bytes"`
	PeerBytes  int64  `json:"peer_bytes"`
	// MinStoreBytes is the lower bound of StoreBytes for any placement: each part that some task needs is read from the
	// store once.
	MinStoreBytes int64   `json:"least_bytes"`
	StartP50      float64 `json:"start_p50_ms"`
	StartP95      float64 `json:"start_p95_ms"`
	StartP99      float64 `json:"start_p99_ms"`
	MakespanS     float64 `json:"makespan_s"`
}

// placements has the placement modes and their names in the result.
var placements = []struct{ name, mode string }{{"blind", features.PlacementBlind}, {"images", features.PlacementImages},
	{"locality", features.PlacementLocal}, {"locality+staging", features.PlacementStaged}}

// arrival is one job of a workload.
type arrival struct {
	at      time.Duration
	dataset int
	image   int
}

// drawJobs draws the arrival times of the jobs and the datasets that they need.
func (l *Locality) drawJobs(skew float64) []arrival {
	rng := rand.New(rand.NewPCG(l.Seed, math.Float64bits(skew)))
	weights := make([]float64, l.Datasets)
	sum := 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -skew)
		sum += weights[i]
	}
	perS := l.Load * float64(l.Machines*l.Slots) / l.TaskRunS / float64(l.Parts)
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

// Run runs all workloads under all placement modes. It returns an error for invalid options; errors of single runs are
// joined.
func (l *Locality) Run(ctx context.Context) (*LocalityResult, error) {
	if l.Machines < 1 || l.Slots < 1 || l.Datasets < 1 || l.Parts < 1 || l.PartBytes < 1 || l.Jobs < 1 || l.AtOnce < 1 || l.CachedParts < l.Slots {
		return nil, errors.New("machines, slots, datasets, parts, part bytes, jobs and runs at once must be 1 or more, and a cache must hold a part for each slot")
	}
	if !(l.TaskRunS > 0) || !(l.Load > 0) || !(l.LinkRate > 0) || !(l.StoreRate > 0) {
		return nil, errors.New("run time, load and rates must be above 0")
	}
	if l.Progress == nil {
		l.Progress = func(string, ...any) {}
	}
	res := &LocalityResult{Experiment: "locality", Measured: "loopback; workers and image fetches simulated", Seed: l.Seed, Machines: l.Machines, Jobs: l.Jobs}
	var wg sync.WaitGroup
	slots := make(chan struct{}, l.AtOnce)
	var mu sync.Mutex
	var failed []error
	for _, skew := range l.Skews {
		res.Workloads = append(res.Workloads, Workload{Zipf: skew, Placements: make([]PlacementFigures, len(placements))})
	}
	for w, skew := range l.Skews {
		jobs := l.drawJobs(skew)
		for p, place := range placements {
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				f, err := l.runPlacement(ctx, jobs, place.name, place.mode)
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

// localityRun is one run of a workload under one placement mode.
type localityRun struct {
	*Locality
	scheduler *scheduler.Scheduler
	machines  map[string]*machine
	store     *storeServer

	// mu guards the fields below.
	mu sync.Mutex
	// onStored has the callbacks of the records that have not been reported as stored yet.
	onStored    []func()
	submittedAt map[string]time.Time
	imageOf     map[string]string
	startDelays *hdrhistogram.Histogram
	lastEnd     time.Time
}

func (l *Locality) runPlacement(ctx context.Context, jobs []arrival, name, mode string) (PlacementFigures, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	dir, err := os.MkdirTemp(l.Dir, "switchferry-locality-")
	if err != nil {
		return PlacementFigures{}, err
	}
	defer os.RemoveAll(dir)
	p := &localityRun{Locality: l, machines: map[string]*machine{}, submittedAt: map[string]time.Time{}, imageOf: map[string]string{}, startDelays: hdrhistogram.New(1, 3_600_000, 3)}
	if p.store, err = l.startStore(ctx); err != nil {
		return PlacementFigures{}, err
	}
	set := &settings.Settings{Member: "experiment"}
	set.Facts.Workers = settings.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 40}
	set.Facts.Teams = []settings.Team{{Name: "team"}}
	types := []api.MachineType{{Name: "m", CPUs: float64(l.Slots), MemoryGB: 64, CacheGB: 3, PullGBs: 1, BootS: 1, Zones: []string{"z"}}}
	p.scheduler = scheduler.New(1, clockwork.NewRealClock(), set, policy.Default(), types, scheduler.Collaborators{Records: unwrittenRecords{p.queueStored},
		Sender: localityCommands{p}, Leadership: alwaysLeading{}, Zones: alwaysLeading{}, TerminalStates: noTerminalStates{}})
	p.scheduler.SetFencing(scheduler.FencingOff)
	p.scheduler.UseData(features.Data{On: true, Placement: mode, CacheGB: 1, LinkMBs: l.LinkRate / 1e6, StoreMBs: l.StoreRate / 1e6,
		CopiesPerLink: tuning.StageCopiesPerLink, CopiesAtStore: max(tuning.StageCopiesAtStore, l.Machines/2), AheadTasks: tuning.StageAheadTasks})
	p.scheduler.Load(nil, nil)
	for _, s := range p.store.summaries {
		p.scheduler.AddDatasets(&dataset.Entry{Summary: *s})
	}
	for i := range l.Machines {
		m, err := p.startMachine(ctx, dir, i)
		if err != nil {
			return PlacementFigures{}, err
		}
		p.machines[m.name] = m
	}
	var wg sync.WaitGroup
	for _, m := range p.machines {
		wg.Go(func() { m.sendHeartbeats(ctx, p) })
	}
	wg.Go(func() { p.runLeader(ctx) })
	defer wg.Wait()
	defer stop()
	return p.submitAndWait(ctx, jobs, name)
}

// submitAndWait submits the jobs at their arrival times and waits until all have ended.
func (p *localityRun) submitAndWait(ctx context.Context, jobs []arrival, name string) (PlacementFigures, error) {
	begin := time.Now()
	usedDatasets := map[int]bool{}
	var wg sync.WaitGroup
	for i, j := range jobs {
		select {
		case <-ctx.Done():
			return PlacementFigures{}, ctx.Err()
		case <-time.After(time.Until(begin.Add(j.at))):
		}
		usedDatasets[j.dataset] = true
		s := api.Submission{ID: fmt.Sprintf("run-%06d", i), Class: "c", Team: "team", Shape: api.JobArray, Rank: "normal", Tasks: p.Parts, CPUs: 1, MemoryGB: 1,
			Image: fmt.Sprintf("image-%d", j.image), ImageGB: 0.5, Spot: true, EstimateS: p.TaskRunS,
			Inputs: []api.Input{{Dataset: datasetName(j.dataset), Use: api.UseOwnPart}}}
		p.mu.Lock()
		p.submittedAt[s.ID], p.imageOf[s.ID] = time.Now(), s.Image
		p.mu.Unlock()
		wg.Go(func() { p.scheduler.Submit(ctx, &s, time.Now()) })
	}
	wg.Wait()
	for left := len(jobs); left > 0; {
		left = 0
		for i := range jobs {
			if st, _ := p.scheduler.JobStatus(fmt.Sprintf("run-%06d", i)); st.State == api.Pending || st.State == api.Running {
				left++
			}
		}
		select {
		case <-ctx.Done():
			return PlacementFigures{}, fmt.Errorf("%d jobs did not end: %w", left, ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
	f := PlacementFigures{Name: name, MinStoreBytes: int64(len(usedDatasets)) * int64(p.Parts*p.PartBytes)}
	for _, m := range p.machines {
		r := m.agent.Heartbeat(false)
		f.StoreBytes += r.BytesFromStore
		f.PeerBytes += r.BytesFromPeers
	}
	// Manifests, which each machine fetches once, do not count as data.
	f.StoreBytes -= p.store.manifestBytes.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	f.MakespanS = p.lastEnd.Sub(begin).Seconds()
	f.StartP50 = float64(p.startDelays.ValueAtQuantile(50))
	f.StartP95 = float64(p.startDelays.ValueAtQuantile(95))
	f.StartP99 = float64(p.startDelays.ValueAtQuantile(99))
	return f, nil
}

// runLeader runs placement rounds until ctx ends. Records count as stored immediately after each placement round.
func (p *localityRun) runLeader(ctx context.Context) {
	for ctx.Err() == nil {
		p.scheduler.Place()
		p.mu.Lock()
		callbacks := p.onStored
		p.onStored = nil
		p.mu.Unlock()
		for _, f := range callbacks {
			if f != nil {
				f()
			}
		}
		p.scheduler.Committed()
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (p *localityRun) sendCommands(name string, response api.HeartbeatResponse) {
	m := p.machines[name]
	m.execute(p, response)
	r := m.heartbeat()
	p.scheduler.HandleCommandOutcome(name, response, r, true)
}

// queueStored keeps the callback of a record until the next placement round.
func (p *localityRun) queueStored(stored func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onStored = append(p.onStored, stored)
}

// localityCommands delivers commands to the simulated machines.
type localityCommands struct{ run *localityRun }

// SendCommands delivers commands to a worker asynchronously.
func (c localityCommands) SendCommands(machine, _ string, response api.HeartbeatResponse) {
	go c.run.sendCommands(machine, response)
}

// SendStageOrder delivers a staging order to an agent asynchronously.
func (c localityCommands) SendStageOrder(machine, _ string, order api.StageOrder) {
	if m := c.run.machines[machine]; m != nil {
		go m.applyStageOrder(c.run.scheduler, order)
	}
}
