package experiment

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"switchferry/internal/simulation"
)

// DayEnd runs the fault scenarios that operators review at the end of a day, some faults alone and some
// combined. It reports what the operators check for: jobs that were lost or wait forever, starved job classes,
// wasted work, unnecessary returns of machines, and violated rules.
type DayEnd struct {
	Seed uint64
	// Sizes are the fleet sizes in machines; every case runs at every size.
	Sizes []int
	// Cases are the names of the scenarios to run; empty means all.
	Cases []string
	// AtOnce is the maximum number of scenarios that run concurrently.
	AtOnce int
	// SubmitForS is how long users submit jobs, and WaitAfterS how long the run then waits for unfinished jobs, in
	// seconds.
	SubmitForS, WaitAfterS float64
	// Progress receives a line when a scenario ends. It must not be nil.
	Progress func(format string, a ...any)
}

// DayEndDefaults returns an experiment with all cases at a small and a large fleet size.
func DayEndDefaults() *DayEnd {
	return &DayEnd{Seed: 1, Sizes: []int{30, 300}, AtOnce: 3, SubmitForS: 100, WaitAfterS: 80, Progress: func(string, ...any) {}}
}

// DayEndCase is the outcome of one case at one fleet size.
type DayEndCase struct {
	Name     string `json:"name"`
	Machines int    `json:"machines"`
	simulation.Result
}

// DayEndResult is the result that the experiment prints.
type DayEndResult struct {
	Seed     uint64       `json:"seed"`
	Measured string       `json:"measured"`
	Cases    []DayEndCase `json:"cases"`
}

// DayEndCases returns the names of all cases, sorted.
func DayEndCases() []string { return slices.Sorted(maps.Keys(simulation.Scenarios())) }

// Run runs every case at every size. It returns an error for invalid options or if ctx ends.
func (x *DayEnd) Run(ctx context.Context) (*DayEndResult, error) {
	all := simulation.Scenarios()
	names := x.Cases
	if len(names) == 0 {
		names = DayEndCases()
	}
	for _, n := range names {
		if _, ok := all[n]; !ok {
			return nil, fmt.Errorf("--cases: there is no %q; there are %s", n, strings.Join(DayEndCases(), "; "))
		}
	}
	if x.AtOnce < 1 || slices.ContainsFunc(x.Sizes, func(n int) bool { return n < 6 }) {
		return nil, fmt.Errorf("--at-once must be 1 or more, and --sizes 6 machines or more")
	}
	res := &DayEndResult{Seed: x.Seed, Measured: "simulated machines, state service and cloud; three controllers in one process, on the real clock"}
	res.Cases = make([]DayEndCase, len(names)*len(x.Sizes))
	slots := make(chan struct{}, x.AtOnce)
	var running sync.WaitGroup
	for i, size := range x.Sizes {
		for j, name := range names {
			slots <- struct{}{}
			running.Go(func() {
				defer func() { <-slots }()
				d := simulation.NewScenario(x.Seed, size)
				d.SubmitFor, d.WaitAfter, d.Faults = secondsDuration(x.SubmitForS), secondsDuration(x.WaitAfterS), all[name]
				began := time.Now()
				r := d.Run(ctx)
				res.Cases[i*len(names)+j] = DayEndCase{name, size, *r}
				x.Progress("%s, %d machines: %d jobs, %d tasks, rules violated %v, in %.0f s", name, size, r.Jobs, r.TaskStarts, r.Violations, time.Since(began).Seconds())
			})
		}
	}
	running.Wait()
	return res, ctx.Err()
}
