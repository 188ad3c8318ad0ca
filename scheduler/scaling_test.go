package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/settings"
	"switchferry/tuning"
)

// TestInstancesAreRequestedDuringOutage that are gone are replaced at once, also while the state service is
// out: they take long to boot.
func TestInstancesAreRequestedDuringOutage(t *testing.T) {
	h := newHarness(t)
	for i := range 12 {
		h.heartbeat(fmt.Sprintf("a%02d", i), 1)
	}
	h.submit("run-000001", 14, nil)
	h.clock.Advance(5 * time.Second)
	for i := range 12 {
		h.heartbeat(fmt.Sprintf("a%02d", i), 1)
	}
	if r := h.InstanceRequests(); len(r) != 0 {
		t.Fatalf("rented %+v with enough machines", r)
	}
	h.leading = false
	for range 8 {
		h.clock.Advance(time.Second)
		for i := range 6 {
			h.heartbeat(fmt.Sprintf("a%02d", i), 1)
		}
	}
	if r := h.InstanceRequests(); len(r) == 0 {
		t.Error("nothing rented for machines that are gone")
	}
}

// What jobs ask for is counted in processors, also before the catalog is read.
func TestDemandWithoutCatalog(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 3, func(x *api.Submission) { x.CPUs, x.MemoryGB = 4, 8 })
	h.machineTypes = map[string]*api.MachineType{}
	if all, _ := h.demand(); all != 12 {
		t.Errorf("%v processors for 3 tasks of 4", all)
	}
}

// A fleet with room to spare had no machine on which a job may run, and none was rented: rentals looked
// at processors in all. One is, once, and not again while it boots.
func TestInstanceIsRequestedForUnplaceableJob(t *testing.T) {
	h := newHarness(t)
	for i := range 5 {
		h.heartbeat(fmt.Sprintf("a%d", i), 1)
	}
	h.submit("run-000001", 1, func(x *api.Submission) { x.Zone = "b" })
	h.maintainFor(4*time.Second, func() {
		for i := range 5 {
			h.heartbeat(fmt.Sprintf("a%d", i), 1)
		}
	})
	rs := h.InstanceRequests()
	if len(rs) != 1 || rs[0].Zone != "b" || rs[0].Count != 1 {
		t.Fatalf("rented %+v", rs)
	}
	h.InstancesGranted(rs[0], []string{"b1"}, nil)
	if again := h.InstanceRequests(); len(again) != 0 {
		t.Errorf("rented again: %+v", again)
	}
}

// Fleet-wide lateness: a whole batch was returned after three boot times, just before
// it came up, and another as late one was paid for.
func TestLateInstancesAreNotReleasedTogether(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a0", 1)
	h.instancesGranted("a1", "a2", "a3")
	quiet := func() { h.heartbeat("a0", 1) }
	boots := settings.Seconds(tuning.StartupDeadlineFactor * testTypes[0].BootS)
	if gone := h.maintainFor(boots+20*time.Second, quiet); len(gone) > 0 {
		t.Fatalf("%v returned though none of the batch is up", gone)
	}
	all, _ := h.supply()
	if want := 4 * testTypes[0].CPUs; all != want {
		t.Errorf("%v processors are counted on, want %v: others would be rented twice", all, want)
	}
	late := func() { quiet(); h.heartbeat("a1", 1); h.heartbeat("a2", 1) }
	if gone := h.maintainFor(2*time.Second, late); !slices.Equal(gone, []string{"a3"}) {
		t.Errorf("%v returned after the others came up, want the one that did not", gone)
	}
}

// One machine never comes up while those rented with it do: others are rented in its
// place long before it is given up.
func TestOvertakenInstanceIsReplaced(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a0", 1)
	h.instancesGranted("a1", "a2")
	h.maintainFor(30*time.Second, func() { h.heartbeat("a0", 1) })
	up := func() { h.heartbeat("a0", 1); h.heartbeat("a1", 1) }
	one := testTypes[0].CPUs
	h.maintainFor(5*time.Second, up)
	if all, _ := h.supply(); all != 3*one {
		t.Errorf("%v processors counted on, want %v: it is not late yet", all, 3*one)
	}
	h.maintainFor(30*time.Second, up)
	if all, _ := h.supply(); all != 2*one {
		t.Errorf("%v processors counted on, want %v", all, 2*one)
	}
	if h.machines["a2"] == nil || h.machines["a2"].releasing {
		t.Error("returned although it may still come up")
	}
}
