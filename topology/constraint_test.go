package topology

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"switchferry/fleet"
)

// BestDomain agrees with a search that visits every machine of every domain.
func TestBestDomainAgreesWithExhaustiveSearch(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 5))
		topology := mustParse(t, smallTopology)
		tree := NewTree(topology)
		free := map[string]fleet.Resources{}
		for rack := 1; rack <= 3; rack++ {
			for i := range 1 + rng.IntN(4) {
				name := fmt.Sprintf("n-%d%d", rack, i)
				free[name] = fleet.Resources{CPUs: float64(rng.IntN(9)), MemoryGB: 100}
				tree.Set(name, free[name], true)
			}
		}
		request, tasks := fleet.Resources{CPUs: float64(1 + rng.IntN(4)), MemoryGB: 1}, 1+rng.IntN(10)
		level := []string{Zone, Switch, Rack}[rng.IntN(3)]
		best, partial, shortfall := tree.BestDomain(level, Constraint{Resources: request, Tasks: tasks})
		least, found := tasks+1, false
		var want *Domain
		for _, domain := range topology.Domains() {
			if levelDepth[domain.Level] < levelDepth[level] {
				continue
			}
			fit := 0
			for name, r := range free {
				if innermost, _ := topology.DomainOf(name); innermost.Within(domain) {
					fit += r.Count(request)
				}
			}
			least = min(least, tasks-min(tasks, fit))
			if fit >= tasks && (want == nil || tree.preferred(domain, want)) {
				want, found = domain, true
			}
		}
		if best != want || !found && (partial == nil || shortfall != least) || found && shortfall != 0 {
			t.Fatalf("seed %d: %d tasks of %g at %s: got %v, partial %v with a shortfall of %d; want %v, %d", seed, tasks, request.CPUs, level, best, partial, shortfall, want, least)
		}
	}
}
