package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
)

// Topology is an experiment with jobs whose tasks must be placed close together, or must survive the loss of a rack, on
// a simulated fleet whose switches fail. It compares three placers: the Scheduler with a topology, the Scheduler
// without one, and random placement that keeps the same bounds. Machines, tasks and time are simulated; the Scheduler's
// decisions are real and timed.
type Topology struct {
	Seed uint64
	// Seeds is the number of consecutive seeds, starting with Seed.
	Seeds int
	// Machines is the fleet size; racks have 16 to 40 machines and switches 8 racks. Seconds is the simulated time for
	// each seed. Load is the share of the fleet's CPUs that jobs request on average.
	Machines, Seconds int
	Load              float64
	// Placer is the single placer to run; empty means all.
	Placer string
	// Progress receives a line after each seed. It must not be nil.
	Progress func(format string, a ...any)
}

// TopologyPlacements are the names of the compared placers; "today" is the Scheduler without a topology.
var TopologyPlacements = []string{"topology", "today", "random"}

// TopologyDefaults returns an experiment that takes one or two minutes.
func TopologyDefaults() *Topology {
	return &Topology{Seed: 1, Seeds: 3, Machines: 300, Seconds: 300, Load: 1, Progress: func(string, ...any) {}}
}

// TopologyResult holds the figures of each placer.
type TopologyResult struct {
	Machines   int               `json:"machines"`
	Seeds      int               `json:"seeds"`
	Placements []TopologyFigures `json:"placements"`
}

// TopologyFigures holds the figures of one placer over all seeds. Placed is the number of placed tasks. Violations
// counts, for each simulated second, the jobs that exceed a spread bound or whose tasks are spread over several domains
// although they must be close together. CloseTogether counts the jobs whose tasks must be close together and were
// placed within one domain; ClosePossible counts these and the jobs that still waited although, after two consecutive
// rounds, an exact search found a domain with enough capacity. WaitP95 is the wait of the jobs in CloseTogether.
// Fragmentation is the mean share of the free CPUs on which no task of 8 CPUs fits. DecisionP50 and DecisionP99 are
// percentiles of the decision time per task: the time of a round divided by the number of tasks that it placed.
type TopologyFigures struct {
	Name          string  `json:"name"`
	Placed        int     `json:"placed"`
	Violations    int     `json:"spread_violations"`
	ClosePossible int     `json:"close_possible"`
	CloseTogether int     `json:"close_together"`
	WaitP95       float64 `json:"close_wait_p95_s"`
	Fragmentation float64 `json:"fragmentation"`
	DecisionP50   float64 `json:"decision_us_p50"`
	DecisionP99   float64 `json:"decision_us_p99"`
}

// Run runs all placers on all seeds. It returns an error if ctx ends.
func (x *Topology) Run(ctx context.Context) (*TopologyResult, error) {
	res := &TopologyResult{Machines: x.Machines, Seeds: x.Seeds}
	for _, name := range TopologyPlacements {
		if x.Placer != "" && x.Placer != name {
			continue
		}
		f := TopologyFigures{Name: name}
		waits, decisions := hdrhistogram.New(1, 3_600_000, 3), hdrhistogram.New(1, 60_000_000_000, 3)
		fragmentationSum, fragmentationSamples := 0.0, 0
		for i := range x.Seeds {
			seed := x.Seed + uint64(i)
			w := x.newSimulation(seed)
			p, err := w.newPlacer(name)
			if err != nil {
				return nil, err
			}
			for range x.Seconds {
				if ctx.Err() != nil {
					return nil, ctx.Err()
				}
				w.submitJobs(p)
				w.failSwitch()
				before := w.placed
				w.endTasksAndHeartbeat(p)
				took := p.round()
				w.endTasksAndHeartbeat(p)
				if n := w.placed - before; n > 0 {
					_ = decisions.RecordValue(max(1, took.Nanoseconds()/int64(n)))
				}
				w.countPlacements(p, &f, waits)
				if share, hasFree := w.fragmentation(); hasFree {
					fragmentationSum, fragmentationSamples = fragmentationSum+share, fragmentationSamples+1
				}
				w.clock.Advance(time.Second)
			}
			f.Placed += w.placed
			x.Progress("%s, seed %d done", name, seed)
		}
		f.WaitP95 = float64(waits.ValueAtQuantile(95)) / 1000
		f.DecisionP50, f.DecisionP99 = float64(decisions.ValueAtQuantile(50))/1000, float64(decisions.ValueAtQuantile(99))/1000
		if fragmentationSamples > 0 {
			f.Fragmentation = fragmentationSum / float64(fragmentationSamples)
		}
		res.Placements = append(res.Placements, f)
	}
	return res, nil
}

func (x *Topology) newSimulation(seed uint64) *rackSimulation {
	w := &rackSimulation{Topology: x, clock: clockwork.NewFakeClock(), rng: rand.New(rand.NewPCG(seed, 7)), byName: map[string]*rackMachine{},
		switchOf: map[string]string{}, jobs: map[string]*rackJob{}}
	for len(w.machines) < x.Machines {
		rack := fmt.Sprintf("r%03d", len(w.racks))
		w.switchOf[rack] = fmt.Sprintf("s%02d", len(w.racks)/8)
		w.racks = append(w.racks, rack)
		for k := range min(16+w.rng.IntN(25), x.Machines-len(w.machines)) {
			w.addMachine(rack, fmt.Sprintf("%s-%02d", rack, k), []float64{8, 16, 32}[w.rng.IntN(3)])
		}
	}
	return w
}
