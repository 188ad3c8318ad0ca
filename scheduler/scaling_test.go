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

// Replacements for machines whose heartbeats are overdue are requested also during an outage of the state service,
// because machines take long to boot.
func TestReplacementsAreRequestedDuringOutage(t *testing.T) {
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
		t.Fatalf("requested %+v although there are enough machines", r)
	}
	h.leading = false
	for range 8 {
		h.clock.Advance(time.Second)
		for i := range 6 {
			h.heartbeat(fmt.Sprintf("a%02d", i), 1)
		}
	}
	if r := h.InstanceRequests(); len(r) == 0 {
		t.Error("no replacement requested for lost machines")
	}
}

// The demand of jobs is counted in CPUs even before the catalog is read.
func TestDemandWithoutCatalog(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 3, func(submission *api.Submission) { submission.CPUs, submission.MemoryGB = 4, 8 })
	h.machineTypes = map[string]*api.MachineType{}
	if all, _ := h.demand(); all != 12 {
		t.Errorf("the demand is %v CPUs, want 12 for 3 tasks of 4 CPUs", all)
	}
}

// If the fleet has free resources but no machine on which a job may run, one machine is requested for the job, and not
// a second one while the first boots. Before, none was requested because only the total number of CPUs was considered.
func TestInstanceIsRequestedForUnplaceableJob(t *testing.T) {
	h := newHarness(t)
	for i := range 5 {
		h.heartbeat(fmt.Sprintf("a%d", i), 1)
	}
	h.submit("run-000001", 1, func(submission *api.Submission) { submission.Zone = "b" })
	h.maintainFor(4*time.Second, func() {
		for i := range 5 {
			h.heartbeat(fmt.Sprintf("a%d", i), 1)
		}
	})
	requests := h.InstanceRequests()
	if len(requests) != 1 || requests[0].Zone != "b" || requests[0].Count != 1 {
		t.Fatalf("requested %+v, want one machine in zone b", requests)
	}
	h.InstancesGranted(requests[0], []string{"b1"}, nil)
	if again := h.InstanceRequests(); len(again) != 0 {
		t.Errorf("requested again while the first machine boots: %+v", again)
	}
}

// Instances that are all late are not released as long as none of their batch is up. Before, a whole batch was released
// after three boot times, just before it came up, and an equally late replacement was paid for.
func TestLateInstancesAreNotReleasedTogether(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a0", 1)
	h.instancesGranted("a1", "a2", "a3")
	noneUp := func() { h.heartbeat("a0", 1) }
	bootDeadline := settings.Seconds(tuning.StartupDeadlineFactor * testTypes[0].BootS)
	if released := h.maintainFor(bootDeadline+20*time.Second, noneUp); len(released) > 0 {
		t.Fatalf("%v released although none of the batch is up", released)
	}
	all, _ := h.supply()
	if want := 4 * testTypes[0].CPUs; all != want {
		t.Errorf("the supply is %v CPUs, want %v: the machines would be requested twice", all, want)
	}
	twoUp := func() { noneUp(); h.heartbeat("a1", 1); h.heartbeat("a2", 1) }
	if released := h.maintainFor(2*time.Second, twoUp); !slices.Equal(released, []string{"a3"}) {
		t.Errorf("%v released after the others came up, want only a3", released)
	}
}

// An instance that is not up after the others of its batch no longer counts as supply, so that a replacement is
// requested, long before the instance itself is released.
func TestInstanceSlowerThanItsBatchIsReplaced(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a0", 1)
	h.instancesGranted("a1", "a2")
	h.maintainFor(30*time.Second, func() { h.heartbeat("a0", 1) })
	oneUp := func() { h.heartbeat("a0", 1); h.heartbeat("a1", 1) }
	cpusPerMachine := testTypes[0].CPUs
	h.maintainFor(5*time.Second, oneUp)
	if all, _ := h.supply(); all != 3*cpusPerMachine {
		t.Errorf("the supply is %v CPUs, want %v: the instance is not late yet", all, 3*cpusPerMachine)
	}
	h.maintainFor(30*time.Second, oneUp)
	if all, _ := h.supply(); all != 2*cpusPerMachine {
		t.Errorf("the supply is %v CPUs, want %v without the late instance", all, 2*cpusPerMachine)
	}
	if h.machines["a2"] == nil || h.machines["a2"].releasing {
		t.Error("the late instance was released although it may still come up")
	}
}
