package experiment

import (
	"context"
	"testing"

	"switchferry/api"
)

// The leader with a topology passes no bound and misses no place that there is; without one the
// same jobs stand anywhere, which the count must show.
func TestTopologyExperiment(t *testing.T) {
	x := TopologyDefaults()
	x.Machines, x.Seconds, x.Seeds = 120, 120, 2
	res, err := x.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	by := map[string]TopologyFigures{}
	for _, f := range res.Placements {
		by[f.Name] = f
	}
	if f := by["topology"]; f.Violations > 0 || f.ClosePossible == 0 || f.CloseTogether != f.ClosePossible || f.PlacedN == 0 {
		t.Errorf("%+v", f)
	}
	if f := by["today"]; f.Violations == 0 {
		t.Errorf("violations are not counted: %+v", f)
	}
	if f := by["random"]; f.Violations > 0 || f.CloseTogether == 0 {
		t.Errorf("%+v", f)
	}
}

func TestExactSearch(t *testing.T) {
	in := []*rackMachine{{rack: "a", cpus: 8}, {rack: "a", cpus: 8}, {rack: "b", cpus: 4}}
	for _, c := range []struct {
		tasks, most int
		want        bool
	}{{5, 0, true}, {6, 0, false}, {3, 2, true}, {4, 2, false}, {5, 4, true}} {
		s := &api.Submission{CPUs: 4, Tasks: c.tasks}
		if c.most > 0 {
			s.Survive = &api.Survive{Level: "rack", MaxTasks: c.most, Required: true}
		}
		if got := fits(in, s); got != c.want {
			t.Errorf("%d tasks, at most %d in a rack: %v", c.tasks, c.most, got)
		}
	}
}
