package experiment

import (
	"context"
	"testing"

	"switchferry/api"
)

// With a topology the Scheduler exceeds no bound and places every job that fits. Without one the same jobs violate
// bounds, and the experiment must count the violations.
func TestTopologyKeepsBoundsAndPlacesWhatFits(t *testing.T) {
	x := TopologyDefaults()
	x.Machines, x.Seconds, x.Seeds = 120, 120, 2
	res, err := x.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	byName := map[string]TopologyFigures{}
	for _, f := range res.Placements {
		byName[f.Name] = f
	}
	if f := byName["topology"]; f.Violations > 0 || f.ClosePossible == 0 || f.CloseTogether != f.ClosePossible || f.Placed == 0 {
		t.Errorf("violations, or jobs not placed that fit, with a topology: %+v", f)
	}
	if f := byName["today"]; f.Violations == 0 {
		t.Errorf("no violations counted without a topology: %+v", f)
	}
	if f := byName["random"]; f.Violations > 0 || f.CloseTogether == 0 {
		t.Errorf("violations, or no job placed close together, with random placement: %+v", f)
	}
}

func TestFitsFindsMaximumPlacement(t *testing.T) {
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
