package fake

import (
	"slices"
	"testing"
)

func TestPlacementsTrackAllMachinesOfTask(t *testing.T) {
	placements := Placements[string]{}
	for _, step := range []struct {
		start     bool
		machine   string
		elsewhere []string
		ran       bool
	}{
		{true, "m1", nil, false},
		{true, "m1", nil, true},
		{true, "m2", []string{"m1"}, false},
		{false, "m2", nil, true},
		{false, "m2", nil, false},
		{true, "m3", []string{"m1"}, false},
		{false, "m1", nil, true},
		{true, "m2", []string{"m3"}, false},
		{false, "m3", nil, true},
		{false, "m2", nil, true},
		{true, "m1", nil, false},
	} {
		var otherMachines []string
		ran := false
		if step.start {
			otherMachines, ran = placements.Start("run-000001/0", step.machine)
		} else {
			ran = placements.End("run-000001/0", step.machine)
		}
		if !slices.Equal(otherMachines, step.elsewhere) || ran != step.ran {
			t.Errorf("%+v: other machines %v, ran %v", step, otherMachines, ran)
		}
	}
	for task, machine := range placements.All() {
		if task != "run-000001/0" || machine != "m1" {
			t.Errorf("%s on %s", task, machine)
		}
	}
}
