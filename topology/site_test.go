package topology

import (
	"testing"

	"switchferry/api"
	"switchferry/fleet"
)

// placementTree returns a tree of smallTopology with one machine in each of its three racks, with the given free CPUs.
func placementTree(t *testing.T, rack1, rack2, rack3 float64) *Tree {
	t.Helper()
	tree := NewTree(mustParse(t, smallTopology))
	for machine, cpus := range map[string]float64{"n-10": rack1, "n-20": rack2, "n-30": rack3} {
		tree.Set(machine, fleet.Resources{CPUs: cpus, MemoryGB: 64}, true)
	}
	return tree
}

func TestNewJobPlacementWithoutConstraintsReturnsNil(t *testing.T) {
	if placement := placementTree(t, 8, 8, 8).NewJobPlacement(nil, nil); placement != nil {
		t.Errorf("placement %+v, want nil", placement)
	}
}

func TestChooseDomainForAffinity(t *testing.T) {
	for _, testCase := range []struct {
		name         string
		near         api.Near
		rack1, rack2 float64
		all          bool
		want         bool
		wantAllowed  []string
		wantReason   string
	}{
		{"a rack has resources for all tasks", api.Near{Level: Rack, Required: true}, 1, 4, true, true, []string{"n-20"}, ""},
		{"no rack has resources for all tasks", api.Near{Level: Rack, Required: true}, 1, 3, true, false, []string{"n-10", "n-20", "n-30"}, `no rack has room for all of it: rack "r2" has none for 1`},
		{"no rack has resources for all tasks, which need not start together", api.Near{Level: Rack, Required: true}, 1, 3, false, true, []string{"n-20"}, ""},
		{"no rack has resources for all tasks, and the affinity is a preference", api.Near{Level: Rack}, 1, 3, true, true, []string{"n-10", "n-20", "n-30"}, ""},
		{"no rack has resources for any task", api.Near{Level: Rack, Required: true}, 0, 0, false, false, []string{"n-10", "n-20", "n-30"}, `no rack has room for all of it: rack "r1" has none for 4`},
		{"a switch has resources for all tasks", api.Near{Level: Switch, Required: true}, 2, 2, true, true, []string{"n-10", "n-20"}, ""},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			placement := placementTree(t, testCase.rack1, testCase.rack2, 0).NewJobPlacement(&testCase.near, nil)
			if got := placement.ChooseDomain(fleet.Resources{CPUs: 1}, 4, testCase.all, nil); got != testCase.want {
				t.Errorf("chosen %v, want %v", got, testCase.want)
			}
			allowed := map[string]bool{}
			for _, machine := range testCase.wantAllowed {
				allowed[machine] = true
			}
			for _, machine := range []string{"n-10", "n-20", "n-30"} {
				if got := placement.Allows(machine); got != allowed[machine] {
					t.Errorf("%s allowed: %v, want %v", machine, got, allowed[machine])
				}
			}
			if got := placement.Reason(); got != testCase.wantReason {
				t.Errorf("reason %q, want %q", got, testCase.wantReason)
			}
		})
	}
}

func TestChooseDomainByPreemptionTakesLeastCost(t *testing.T) {
	placement := placementTree(t, 8, 8, 8).NewJobPlacement(&api.Near{Level: Rack, Required: true}, nil)
	costs := map[string][]int64{"n-10": {0, 9}, "n-20": {3, 4}, "n-30": {1}}
	offer := func(machine string) []int64 { return costs[machine] }
	if !placement.ChooseDomainByPreemption(fleet.Resources{CPUs: 8}, 2, nil, offer) || !placement.Allows("n-20") || placement.Allows("n-10") {
		t.Error("the rack with the least loss is not chosen")
	}
	if placement.ChooseDomainByPreemption(fleet.Resources{CPUs: 8}, 3, nil, offer) {
		t.Error("a rack is chosen that cannot run all tasks")
	}
}

func TestSoonestDomainIsWhereTheLastTaskStartsFirst(t *testing.T) {
	placement := placementTree(t, 8, 8, 8).NewJobPlacement(&api.Near{Level: Rack, Required: true}, nil)
	starts := map[string][]int64{"n-10": {0, 9}, "n-20": {6, 7}, "n-30": {1}}
	domain, at := placement.SoonestDomain(fleet.Resources{CPUs: 8}, 2, nil, func(machine string) []int64 { return starts[machine] })
	if domain == nil || domain.Name != "r2" || at != 7 {
		t.Errorf("domain %+v at %d, want r2 at 7", domain, at)
	}
}

// An affinity keeps further tasks in the failure domain of the first one. With a spread, tasks count towards the limit
// until they are removed, also after a change to another version of the topology.
func TestJobPlacementAppliesAffinityAndSpreadToFurtherTasks(t *testing.T) {
	tree := placementTree(t, 8, 8, 8)
	affinity := tree.NewJobPlacement(&api.Near{Level: Switch, Required: true}, nil)
	affinity.Add("n-10")
	if !affinity.Allows("n-20") || affinity.Allows("n-30") {
		t.Error("a second task may run under another switch than the first one, or not under the same one")
	}
	spread := tree.NewJobPlacement(nil, &api.Survive{Level: Rack, MaxTasks: 1, Required: true})
	spread.Add("n-10")
	if spread.Allows("n-10") || !spread.Allows("n-20") {
		t.Error("a rack may exceed the limit, or another rack may not reach it")
	}
	if spread.Cost("n-10") != 1 || spread.Cost("n-20") != 0 {
		t.Errorf("costs %v and %v, want 1 and 0", spread.Cost("n-10"), spread.Cost("n-20"))
	}
	moved := mustParse(t, "version = 4\n[[domain]]\nname = \"r9\"\nlevel = \"rack\"\nmachines = [\"n-10\", \"n-20\"]\n")
	if rebased := spread.Rebased(tree.Rebased(moved)); rebased.Allows("n-20") || !rebased.Allows("n-30") {
		t.Error("the task does not count in its rack in the new version of the topology")
	}
	spread.Remove("n-10")
	if !spread.Allows("n-10") {
		t.Error("a task that was removed still counts")
	}
}

func TestInfeasibleIfAffinityAndSpreadContradict(t *testing.T) {
	rack, zone := &api.Near{Level: Rack, Required: true}, &api.Near{Level: Zone, Required: true}
	two := &api.Survive{Level: Switch, MaxTasks: 2, Required: true}
	for _, testCase := range []struct {
		name    string
		near    *api.Near
		survive *api.Survive
		tasks   int
		want    bool
	}{
		{"no spread", rack, nil, 9, false},
		{"no affinity", nil, two, 9, false},
		{"more tasks in one rack than a switch may have", rack, two, 3, true},
		{"few enough tasks", rack, two, 2, false},
		{"several switches in one zone", zone, two, 9, false},
		{"the affinity is a preference", &api.Near{Level: Rack}, two, 9, false},
	} {
		if got := InfeasibleReason(testCase.near, testCase.survive, testCase.tasks) != ""; got != testCase.want {
			t.Errorf("%s: infeasible %v, want %v", testCase.name, got, testCase.want)
		}
	}
}
