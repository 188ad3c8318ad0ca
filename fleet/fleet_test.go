package fleet

import (
	"testing"
	"time"

	"switchferry/api"
)

// The cache holds the most recently used images that fit.
func TestImageCacheEvictsLeastRecentlyUsed(t *testing.T) {
	m := &Machine{Spec: &api.MachineType{CacheGB: 5, PullGBs: 0.5}}
	m.RecordImage("a", 2)
	m.RecordImage("b", 2)
	m.RecordImage("a", 2)
	m.RecordImage("c", 2)
	if !m.HasImage("a") || !m.HasImage("c") || m.HasImage("b") {
		t.Errorf("cache %+v", m.cache)
	}
	if m.FetchSeconds("a", 2) != 0 || m.FetchSeconds("b", 2) != 4 {
		t.Errorf("fetch times %v %v", m.FetchSeconds("a", 2), m.FetchSeconds("b", 2))
	}
	m.RecordImage("huge", 9)
	if !m.HasImage("huge") || m.HasImage("c") {
		t.Error("an image over the cache's size stands with others")
	}
}

// A machine is suspect after failures of several jobs in a row, not of one job, whose
// own mistake they may be, nor of jobs that fail everywhere; a task that works clears it.
func TestMachineIsFaultyAfterFailuresOfSeveralJobs(t *testing.T) {
	m := &Machine{}
	countsAgainstMachines := func(job string) bool { return job != "mistaken" }
	for range 5 {
		m.RecordFailure("one")
		m.RecordFailure("mistaken")
		if m.Faulty(countsAgainstMachines) {
			t.Fatal("suspect for one job's failures")
		}
	}
	m.RecordFailure("two")
	if !m.Faulty(countsAgainstMachines) {
		t.Error("not suspect after failures of two jobs")
	}
	m.ClearJobFailures("two")
	if m.Faulty(countsAgainstMachines) {
		t.Error("suspect for failures that were forgiven")
	}
	m.RecordFailure("two")
	m.ClearFailures()
	if m.Faulty(countsAgainstMachines) {
		t.Error("suspect after a task that worked")
	}
}

func TestNewerByIncarnationThenSequence(t *testing.T) {
	m := &Machine{}
	m.ApplyHeartbeat(&api.Heartbeat{Incarnation: 2, Seq: 9}, time.Now())
	for _, c := range []struct {
		session, seq uint64
		want         bool
	}{{2, 10, true}, {2, 9, false}, {1, 50, false}, {3, 1, true}} {
		if m.Newer(&api.Heartbeat{Incarnation: c.session, Seq: c.seq}) != c.want {
			t.Errorf("%d/%d", c.session, c.seq)
		}
	}
}

func TestResourcesMultipleAndFitsTolerateRounding(t *testing.T) {
	r := Resources{CPUs: 8, MemoryGB: 32}
	if n := r.Multiple(Resources{CPUs: 0.8, MemoryGB: 3.2}); n != 10 {
		t.Errorf("%d tasks, want 10 despite rounding", n)
	}
	if r.Fits(Resources{CPUs: 1, Cards: 1}) || !r.Fits(Resources{CPUs: 8, MemoryGB: 32}) {
		t.Error("room")
	}
}
