package scheduler

import (
	"slices"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/settings"
	"switchferry/tuning"
)

// rented plays a rental's answer.
func (s *stage) rented(names ...string) {
	s.instancesRequested++
	s.InstancesGranted(api.InstanceRequest{Type: "m8", Zone: "a", Count: len(names)}, names, nil)
}

// Fleet-wide lateness: a whole batch was returned after three boot times, just before
// it came up, and another as late one was paid for.
func TestLateBatchIsNotReturnedAsAWhole(t *testing.T) {
	s := newStage(t)
	s.report("a0", 1)
	s.rented("a1", "a2", "a3")
	quiet := func() { s.report("a0", 1) }
	boots := settings.Seconds(tuning.BootFactor * testTypes[0].BootS)
	if gone := s.rounds(boots+20*time.Second, quiet); len(gone) > 0 {
		t.Fatalf("%v returned though none of the batch is up", gone)
	}
	all, _ := s.supply()
	if want := 4 * testTypes[0].CPUs; all != want {
		t.Errorf("%v processors are counted on, want %v: others would be rented twice", all, want)
	}
	late := func() { quiet(); s.report("a1", 1); s.report("a2", 1) }
	if gone := s.rounds(2*time.Second, late); !slices.Equal(gone, []string{"a3"}) {
		t.Errorf("%v returned after the others came up, want the one that did not", gone)
	}
}

// One machine never comes up while those rented with it do: others are rented in its
// place long before it is given up.
func TestOvertakenMachineIsReplaced(t *testing.T) {
	s := newStage(t)
	s.report("a0", 1)
	s.rented("a1", "a2")
	s.rounds(30*time.Second, func() { s.report("a0", 1) })
	up := func() { s.report("a0", 1); s.report("a1", 1) }
	one := testTypes[0].CPUs
	s.rounds(5*time.Second, up)
	if all, _ := s.supply(); all != 3*one {
		t.Errorf("%v processors counted on, want %v: it is not late yet", all, 3*one)
	}
	s.rounds(30*time.Second, up)
	if all, _ := s.supply(); all != 2*one {
		t.Errorf("%v processors counted on, want %v", all, 2*one)
	}
	if s.machines["a2"] == nil || s.machines["a2"].releasing {
		t.Error("returned although it may still come up")
	}
}
