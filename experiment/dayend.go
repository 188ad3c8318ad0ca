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

// DayEnd plays the troubles that operators look at when a day is over, each alone and some together, and
// finds what they look for: jobs forgotten or waiting for good, classes that starved, work and returns in
// vain, broken rules.
type DayEnd struct {
	Seed uint64
	// Sizes are how many machines, Cases the names of those played (none: all), AtOnce how many days
	// are played beside each other.
	Sizes  []int
	Cases  []string
	AtOnce int
	// LastsS and AfterS are how long users submit jobs, and how long is waited for the rest.
	LastsS, AfterS float64
	Progress       func(format string, a ...any)
}

// DayEndDefaults are small and large fleets on all cases.
func DayEndDefaults() *DayEnd {
	return &DayEnd{Seed: 1, Sizes: []int{30, 300}, AtOnce: 3, LastsS: 100, AfterS: 80, Progress: func(string, ...any) {}}
}

// DayEndCase is what was found of one case.
type DayEndCase struct {
	Name     string `json:"name"`
	Machines int    `json:"machines"`
	simulation.Result
}

// DayEndResult is what the experiment prints.
type DayEndResult struct {
	Seed     uint64       `json:"seed"`
	Measured string       `json:"measured"`
	Cases    []DayEndCase `json:"cases"`
}

// DayEndCases are the names of all cases.
func DayEndCases() []string { return slices.Sorted(maps.Keys(simulation.Scenarios())) }

// Run plays the cases.
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
	var crowd sync.WaitGroup
	for i, size := range x.Sizes {
		for j, name := range names {
			slots <- struct{}{}
			crowd.Go(func() {
				defer func() { <-slots }()
				d := simulation.NewScenario(x.Seed, size)
				d.SubmitFor, d.WaitAfter, d.Faults = span(x.LastsS), span(x.AfterS), all[name]
				began := time.Now()
				r := d.Run(ctx)
				res.Cases[i*len(names)+j] = DayEndCase{name, size, *r}
				x.Progress("%s, %d machines: %d jobs, %d tasks, rules broken %v, in %.0f s", name, size, r.Jobs, r.TaskStarts, r.Violations, time.Since(began).Seconds())
			})
		}
	}
	crowd.Wait()
	return res, ctx.Err()
}
