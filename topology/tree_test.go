package topology

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"switchferry/fleet"
)

func TestFailureDomainAtLevel(t *testing.T) {
	tree := NewTree(mustParse(t, smallTopology))
	for _, machine := range []string{"n-1a", "n-1b", "n-2a", "n-3a", "x-1"} {
		tree.Set(machine, fleet.Resources{CPUs: 8, MemoryGB: 32}, true)
	}
	for _, testCase := range []struct{ machine, level, want string }{
		{"n-1a", Rack, "rack r1"}, {"n-1a", Switch, "switch s1"}, {"n-2a", Switch, "switch s1"}, {"n-3a", Zone, "zone west"},
		// A machine that is in no domain of the level is a failure domain of its own.
		{"n-3a", Switch, "machine n-3a"}, {"x-1", Zone, "machine x-1"}, {"n-1a", Machine, "machine n-1a"},
	} {
		failureDomain := tree.FailureDomain(testCase.machine, testCase.level)
		got := Machine + " " + failureDomain.Machine
		if failureDomain.Domain != nil {
			got = failureDomain.Domain.Level + " " + failureDomain.Domain.Name
		}
		if got != testCase.want {
			t.Errorf("%s at %s: %s, want %s", testCase.machine, testCase.level, got, testCase.want)
		}
	}
	if tree.Unlisted() != 1 || tree.Ambiguous() != 0 {
		t.Errorf("%d machines unlisted, %d ambiguous, want 1 and 0", tree.Unlisted(), tree.Ambiguous())
	}
}

// After any sequence of Set, Remove and Rebased, the totals of each domain equal those computed from its machines.
func TestDomainTotalsAgreeWithMachines(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 2))
		topology := mustParse(t, smallTopology)
		tree := NewTree(topology)
		free := map[string]fleet.Resources{}
		usable := map[string]bool{}
		for range 300 {
			name := fmt.Sprintf("n-%d%d", 1+rng.IntN(4), rng.IntN(5))
			switch rng.IntN(6) {
			case 0:
				tree.Remove(name)
				delete(free, name)
				delete(usable, name)
			case 1:
				if rng.IntN(10) == 0 {
					tree = tree.Rebased(topology)
				}
			default:
				free[name] = fleet.Resources{CPUs: float64(rng.IntN(64)) / 4, Cards: float64(rng.IntN(4)), MemoryGB: float64(rng.IntN(100))}
				usable[name] = rng.IntN(4) > 0
				tree.Set(name, free[name], usable[name])
			}
			for _, domain := range topology.Domains() {
				want, machines, usableMachines := fleet.Resources{}, 0, 0
				for machine, r := range free {
					if innermost, _ := topology.DomainOf(machine); !innermost.Within(domain) {
						continue
					}
					machines++
					if usable[machine] {
						usableMachines++
						want = want.Add(r)
					}
				}
				got := tree.Free(domain)
				if math.Abs(got.CPUs-want.CPUs)+math.Abs(got.Cards-want.Cards)+math.Abs(got.MemoryGB-want.MemoryGB) > 1e-6 || tree.Machines(domain) != machines || tree.Usable(domain) != usableMachines {
					t.Fatalf("seed %d: %s has %+v of %d machines, %d usable; want %+v, %d, %d", seed, domain.Name, got, tree.Machines(domain), tree.Usable(domain), want, machines, usableMachines)
				}
			}
		}
	}
}

// BenchmarkSet measures one change of a machine in fleets of 300 and 5,000 machines.
func BenchmarkSet(b *testing.B) {
	for _, machines := range []int{300, 5000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			var text strings.Builder
			text.WriteString("version = 1\n")
			for i := range (machines + 255) / 256 {
				fmt.Fprintf(&text, "[[domain]]\nname = \"s%d\"\nlevel = \"switch\"\n", i)
			}
			for i := range (machines + 31) / 32 {
				fmt.Fprintf(&text, "[[domain]]\nname = \"r%d\"\nlevel = \"rack\"\nin = \"s%d\"\nmachines = [\"r%d-*\"]\n", i, i/8, i)
			}
			topology, err := Parse([]byte(text.String()))
			if err != nil {
				b.Fatal(err)
			}
			tree := NewTree(topology)
			for i := range machines {
				tree.Set(fmt.Sprintf("r%d-%d", i/32, i%32), fleet.Resources{CPUs: 32}, true)
			}
			cpus := 0
			for b.Loop() {
				cpus++
				tree.Set("r3-7", fleet.Resources{CPUs: float64(cpus % 32)}, true)
			}
		})
	}
}
