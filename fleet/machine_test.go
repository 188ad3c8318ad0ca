package fleet

import (
	"testing"
	"time"

	"switchferry/api"
)

// Several failures of one job may be its own fault, and jobs that fail everywhere do not count; a task that completes
// clears the count.
func TestMachineIsFaultyAfterFailuresOfSeveralJobs(t *testing.T) {
	m := &Machine{}
	countsAgainstMachines := func(job string) bool { return job != "mistaken" }
	for range 5 {
		m.RecordFailure("one")
		m.RecordFailure("mistaken")
		if m.Faulty(countsAgainstMachines) {
			t.Fatal("faulty for the failures of one job")
		}
	}
	m.RecordFailure("two")
	if !m.Faulty(countsAgainstMachines) {
		t.Error("not faulty after failures of two jobs")
	}
	m.ClearJobFailures("two")
	if m.Faulty(countsAgainstMachines) {
		t.Error("faulty for failures that were cleared")
	}
	m.RecordFailure("two")
	m.ClearFailures()
	if m.Faulty(countsAgainstMachines) {
		t.Error("faulty after a task that completed")
	}
}

func TestNewerByIncarnationThenSequence(t *testing.T) {
	m := &Machine{}
	m.ApplyHeartbeat(&api.Heartbeat{Incarnation: 2, Seq: 9}, time.Now())
	for _, c := range []struct {
		incarnation, seq uint64
		want             bool
	}{{2, 10, true}, {2, 9, false}, {1, 50, false}, {3, 1, true}} {
		if got := m.Newer(&api.Heartbeat{Incarnation: c.incarnation, Seq: c.seq}); got != c.want {
			t.Errorf("heartbeat %d of incarnation %d is newer: %v, want %v", c.seq, c.incarnation, got, c.want)
		}
	}
}
