package topology

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"switchferry/fleet"
)

const smallTopology = `version = 3
[[domain]]
name = "west"
level = "zone"
[[domain]]
name = "s1"
level = "switch"
in = "west"
[[domain]]
name = "r1"
level = "rack"
in = "s1"
machines = ["n-1*"]
[[domain]]
name = "r2"
level = "rack"
in = "s1"
machines = ["n-2*"]
[[domain]]
name = "r3"
level = "rack"
in = "west"
machines = ["n-3*"]
[[devices]]
machines = ["n-2*"]
count = 4
linked = [[0, 1], [2, 3]]
`

func mustParse(t *testing.T, text string) *Map {
	t.Helper()
	topology, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return topology
}

// A file with many mistakes names each of them, by entry.
func TestParseReportsEveryMistake(t *testing.T) {
	_, err := Parse([]byte(`version = 0
colour = "red"
[[domain]]
name = "a"
level = "shelf"
[[domain]]
name = "a"
level = "rack"
[[domain]]
name = "b"
level = "rack"
in = "c"
machines = ["["]
[[domain]]
name = "d"
level = "switch"
in = "b"
[[devices]]
machines = ["n*"]
count = 2
linked = [[0, 2], [0]]
`))
	for _, want := range []string{"colour", "version", "domain[0].level", "domain[1].name", "no domain \"c\"", "domain[2].machines", "domain[3].in: a switch cannot be in rack", "devices[0].linked"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s is not named in %v", want, err)
		}
	}
}

// Domains that stand in one another in a circle cannot be declared: each way up goes to
// an outer level.
func TestParseRejectsCycles(t *testing.T) {
	for _, text := range []string{
		"version=1\n[[domain]]\nname='a'\nlevel='rack'\nin='a'\n",
		"version=1\n[[domain]]\nname='a'\nlevel='rack'\nin='b'\n[[domain]]\nname='b'\nlevel='rack'\nin='a'\n",
	} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("taken: %s", text)
		}
	}
}

func TestPlaceOfMachines(t *testing.T) {
	topology := mustParse(t, smallTopology)
	tree := NewTree(topology)
	for _, n := range []string{"n-1a", "n-1b", "n-2a", "n-3a", "x-1"} {
		tree.Set(n, fleet.Resources{CPUs: 8, MemoryGB: 32}, true)
	}
	for _, c := range []struct{ machine, level, key string }{
		{"n-1a", Rack, "rack r1"}, {"n-1a", Switch, "switch s1"}, {"n-2a", Switch, "switch s1"}, {"n-3a", Zone, "zone west"},
		// Without a switch of its own, and without any domain, it falls alone.
		{"n-3a", Switch, "machine n-3a"}, {"x-1", Zone, "machine x-1"}, {"n-1a", Machine, "machine n-1a"},
	} {
		at := tree.Place(c.machine, c.level)
		got := Machine + " " + at.Machine
		if at.Domain != nil {
			got = at.Domain.Level + " " + at.Domain.Name
		}
		if got != c.key {
			t.Errorf("%s at %s: %s, want %s", c.machine, c.level, got, c.key)
		}
	}
	if tree.Unlisted() != 1 || tree.Ambiguous() != 0 {
		t.Errorf("%d lone, %d ambiguous", tree.Unlisted(), tree.Ambiguous())
	}
	if d, ok := topology.DevicesOf("n-2a"); !ok || d.Count != 4 || len(d.Linked) != 2 {
		t.Errorf("%+v", d)
	}
	two := mustParse(t, "version=1\n[[domain]]\nname='a'\nlevel='rack'\nmachines=['n*']\n[[domain]]\nname='b'\nlevel='rack'\nmachines=['n-1']\n")
	if err := two.Check([]string{"n-1", "n-2"}); err == nil || !strings.Contains(err.Error(), `"n-1"`) || strings.Contains(err.Error(), `"n-2"`) {
		t.Error(err)
	}
}

// However machines come, change, go and are declared anew, each domain's sums are those
// of its machines.
func TestDomainTotalsAgreeWithMachines(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 2))
		topology := mustParse(t, smallTopology)
		tree := NewTree(topology)
		truth := map[string]fleet.Resources{}
		usable := map[string]bool{}
		for range 300 {
			name := fmt.Sprintf("n-%d%d", 1+rng.IntN(4), rng.IntN(5))
			switch rng.IntN(6) {
			case 0:
				tree.Remove(name)
				delete(truth, name)
				delete(usable, name)
			case 1:
				if rng.IntN(10) == 0 {
					tree = tree.Rebased(topology)
				}
			default:
				truth[name] = fleet.Resources{CPUs: float64(rng.IntN(64)) / 4, Cards: float64(rng.IntN(4)), MemoryGB: float64(rng.IntN(100))}
				usable[name] = rng.IntN(4) > 0
				tree.Set(name, truth[name], usable[name])
			}
			for _, domain := range topology.Domains() {
				want, n, up := fleet.Resources{}, 0, 0
				for name, r := range truth {
					in, _ := topology.Of(name)
					if in == nil || !in.Within(domain) {
						continue
					}
					n++
					if usable[name] {
						up++
						want = want.Add(r)
					}
				}
				got := tree.Free(domain)
				if math.Abs(got.CPUs-want.CPUs)+math.Abs(got.Cards-want.Cards)+math.Abs(got.MemoryGB-want.MemoryGB) > 1e-6 || tree.Machines(domain) != n || tree.Usable(domain) != up {
					t.Fatalf("seed %d: %s has %+v of %d machines, %d usable; want %+v, %d, %d", seed, domain.Name, got, tree.Machines(domain), tree.Usable(domain), want, n, up)
				}
			}
		}
	}
}

// Closest takes the innermost domain that holds all, the fullest of them; where none does it
// says which comes nearest and by how many tasks it misses. Checked against trying all.
func TestClosestAgainstBruteForce(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 5))
		topology := mustParse(t, smallTopology)
		tree := NewTree(topology)
		free := map[string]fleet.Resources{}
		for r := 1; r <= 3; r++ {
			for i := range 1 + rng.IntN(4) {
				name := fmt.Sprintf("n-%d%d", r, i)
				free[name] = fleet.Resources{CPUs: float64(rng.IntN(9)), MemoryGB: 100}
				tree.Set(name, free[name], true)
			}
		}
		request, n := fleet.Resources{CPUs: float64(1 + rng.IntN(4)), MemoryGB: 1}, 1+rng.IntN(10)
		level := []string{Zone, Switch, Rack}[rng.IntN(3)]
		best, nearest, shortfall := tree.Closest(level, Constraint{Resources: request, Tasks: n})
		least, found := n+1, false
		var want *Domain
		for _, domain := range topology.Domains() {
			if levelDepth[domain.Level] < levelDepth[level] {
				continue
			}
			fit := 0
			for name, r := range free {
				if in, _ := topology.Of(name); in.Within(domain) {
					fit += r.Multiple(request)
				}
			}
			least = min(least, n-min(n, fit))
			if fit >= n && (want == nil || tree.preferred(domain, want)) {
				want, found = domain, true
			}
		}
		if best != want || !found && (nearest == nil || shortfall != least) || found && shortfall != 0 {
			t.Fatalf("seed %d: %d tasks of %g at %s: got %v, nearest %v short of %d; want %v, %d", seed, n, request.CPUs, level, best, nearest, shortfall, want, least)
		}
	}
}

// Replicas that are silent, or being stopped, count until they are proved gone.
func TestSpreadCountsUntilTasksAreGone(t *testing.T) {
	tree := NewTree(mustParse(t, smallTopology))
	for _, n := range []string{"n-1a", "n-1b", "n-2a", "n-3a"} {
		tree.Set(n, fleet.Resources{CPUs: 8}, true)
	}
	s := tree.NewSpread(Rack)
	s.Add("n-1a")
	if s.Allows("n-1b", 1) || !s.Allows("n-2a", 1) {
		t.Fatal("a rack takes more than its bound, or another less")
	}
	tree.Set("n-1a", fleet.Resources{}, false) // silent
	if s.Allows("n-1b", 1) {
		t.Fatal("a silent replica does not count")
	}
	s.Remove("n-1a")
	if !s.Allows("n-1b", 1) || s.Max() != 0 {
		t.Fatal("one that is proved gone still counts")
	}
}

func FuzzTopology(f *testing.F) {
	f.Add([]byte(smallTopology))
	f.Add([]byte("version=1\n[[domain]]\nname='a'\nlevel='rack'\nin='b'\n[[domain]]\nname='b'\nlevel='zone'\nmachines=['*']\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		topology, err := Parse(raw)
		if err != nil {
			return
		}
		// Whatever is taken is a tree: each way up ends, through outer levels alone.
		for _, domain := range topology.Domains() {
			for ancestor, steps := domain, 0; ancestor.Parent != nil; ancestor, steps = ancestor.Parent, steps+1 {
				if steps > len(levelDepth) || levelDepth[ancestor.Parent.Level] >= levelDepth[ancestor.Level] {
					t.Fatalf("%s is in %s", ancestor.Name, ancestor.Parent.Name)
				}
			}
		}
		tree := NewTree(topology)
		tree.Set("n-1", fleet.Resources{CPUs: 1}, true)
		tree.Closest(Rack, Constraint{Resources: fleet.Resources{CPUs: 1}, Tasks: 1})
		tree.Remove("n-1")
	})
}

// BenchmarkSet is one machine's change in fleets of 300 and 5,000.
func BenchmarkSet(b *testing.B) {
	for _, n := range []int{300, 5000} {
		b.Run(fmt.Sprintf("machines=%d", n), func(b *testing.B) {
			var text strings.Builder
			text.WriteString("version = 1\n")
			for i := range (n + 255) / 256 {
				fmt.Fprintf(&text, "[[domain]]\nname = \"s%d\"\nlevel = \"switch\"\n", i)
			}
			for i := range (n + 31) / 32 {
				fmt.Fprintf(&text, "[[domain]]\nname = \"r%d\"\nlevel = \"rack\"\nin = \"s%d\"\nmachines = [\"r%d-*\"]\n", i, i/8, i)
			}
			topology, err := Parse([]byte(text.String()))
			if err != nil {
				b.Fatal(err)
			}
			tree := NewTree(topology)
			for i := range n {
				tree.Set(fmt.Sprintf("r%d-%d", i/32, i%32), fleet.Resources{CPUs: 32}, true)
			}
			i := 0
			for b.Loop() {
				i++
				tree.Set("r3-7", fleet.Resources{CPUs: float64(i % 32)}, true)
			}
		})
	}
}
