package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
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
