package fleet

import (
	"testing"
	"time"

	"switchferry/api"
)

// Several failures of one job may be caused by the job, and jobs for which countsAgainstMachines is false do not count.
// A task that completes clears the count.
func TestMachineIsFaultyAfterFailuresOfSeveralJobs(t *testing.T) {
	machine := &Machine{}
	countsAgainstMachines := func(job string) bool { return job != "mistaken" }
	for range 5 {
		machine.RecordFailure("one")
		machine.RecordFailure("mistaken")
		if machine.Faulty(countsAgainstMachines) {
			t.Fatal("faulty after failures of only one job that counts")
		}
	}
	machine.RecordFailure("two")
	if !machine.Faulty(countsAgainstMachines) {
		t.Error("not faulty after failures of two jobs")
	}
	machine.ClearJobFailures("two")
	if machine.Faulty(countsAgainstMachines) {
		t.Error("faulty after the failures of one of two jobs were cleared")
	}
	machine.RecordFailure("two")
	machine.ClearFailures()
	if machine.Faulty(countsAgainstMachines) {
		t.Error("faulty after all failures were cleared")
	}
}

func TestNewerByIncarnationThenSequence(t *testing.T) {
	machine := &Machine{}
	machine.ApplyHeartbeat(&api.Heartbeat{Incarnation: 2, Seq: 9}, time.Now())
	for _, testCase := range []struct {
		incarnation, seq uint64
		want             bool
	}{{2, 10, true}, {2, 9, false}, {1, 50, false}, {3, 1, true}} {
		if got := machine.Newer(&api.Heartbeat{Incarnation: testCase.incarnation, Seq: testCase.seq}); got != testCase.want {
			t.Errorf("heartbeat %d of incarnation %d is newer: %v, want %v", testCase.seq, testCase.incarnation, got, testCase.want)
		}
	}
}
