package topology

import (
	"strings"
	"testing"

	"switchferry/fleet"
)

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
			t.Errorf("%q is not reported in: %v", want, err)
		}
	}
}

func TestParseRejectsCycles(t *testing.T) {
	for _, text := range []string{
		"version=1\n[[domain]]\nname='a'\nlevel='rack'\nin='a'\n",
		"version=1\n[[domain]]\nname='a'\nlevel='rack'\nin='b'\n[[domain]]\nname='b'\nlevel='rack'\nin='a'\n",
	} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("accepted: %s", text)
		}
	}
}

// FuzzTopology checks that the domains of every accepted declaration form a tree in which each parent is at an outer
// level, and that a Tree can be built and searched with it.
func FuzzTopology(f *testing.F) {
	f.Add([]byte(smallTopology))
	f.Add([]byte("version=1\n[[domain]]\nname='a'\nlevel='rack'\nin='b'\n[[domain]]\nname='b'\nlevel='zone'\nmachines=['*']\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		topology, err := Parse(raw)
		if err != nil {
			return
		}
		for _, domain := range topology.Domains() {
			for ancestor, steps := domain, 0; ancestor.Parent != nil; ancestor, steps = ancestor.Parent, steps+1 {
				if steps > len(levelDepth) || levelDepth[ancestor.Parent.Level] >= levelDepth[ancestor.Level] {
					t.Fatalf("the parent of %s is %s, which is not at an outer level", ancestor.Name, ancestor.Parent.Name)
				}
			}
		}
		tree := NewTree(topology)
		tree.Set("n-1", fleet.Resources{CPUs: 1}, true)
		tree.BestDomain(Rack, Constraint{Resources: fleet.Resources{CPUs: 1}, Tasks: 1})
		tree.Remove("n-1")
	})
}
