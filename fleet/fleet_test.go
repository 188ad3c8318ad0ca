package fleet

import (
	"testing"
	"time"

	"switchferry/api"
)

// The cache holds the most recently used images that fit.
func TestImageCache(t *testing.T) {
	m := &Machine{Spec: &api.MachineType{CacheGB: 5, PullGBs: 0.5}}
	m.Used("a", 2)
	m.Used("b", 2)
	m.Used("a", 2)
	m.Used("c", 2)
	if !m.Has("a") || !m.Has("c") || m.Has("b") {
		t.Errorf("cache %+v", m.cache)
	}
	if m.FetchS("a", 2) != 0 || m.FetchS("b", 2) != 4 {
		t.Errorf("fetch times %v %v", m.FetchS("a", 2), m.FetchS("b", 2))
	}
	m.Used("huge", 9)
	if !m.Has("huge") || m.Has("c") {
		t.Error("an image over the cache's size stands with others")
	}
}

// A machine is suspect after failures of several jobs in a row, not of one job, whose
// own mistake they may be, nor of jobs that fail everywhere; a task that works clears it.
func TestSuspect(t *testing.T) {
	m := &Machine{}
	counts := func(job string) bool { return job != "mistaken" }
	for range 5 {
		m.Failed("one")
		m.Failed("mistaken")
		if m.Suspect(counts) {
			t.Fatal("suspect for one job's failures")
		}
	}
	m.Failed("two")
	if !m.Suspect(counts) {
		t.Error("not suspect after failures of two jobs")
	}
	m.Forgive("two")
	if m.Suspect(counts) {
		t.Error("suspect for failures that were forgiven")
	}
	m.Failed("two")
	m.Worked()
	if m.Suspect(counts) {
		t.Error("suspect after a task that worked")
	}
}

func TestNewerBySessionThenSeq(t *testing.T) {
	m := &Machine{}
	m.Take(&api.Report{Session: 2, Seq: 9}, time.Now())
	for _, c := range []struct {
		session, seq uint64
		want         bool
	}{{2, 10, true}, {2, 9, false}, {1, 50, false}, {3, 1, true}} {
		if m.Newer(&api.Report{Session: c.session, Seq: c.seq}) != c.want {
			t.Errorf("%d/%d", c.session, c.seq)
		}
	}
}

func TestRoom(t *testing.T) {
	r := Room{CPUs: 8, MemoryGB: 32}
	if n := r.Times(Room{CPUs: 0.8, MemoryGB: 3.2}); n != 10 {
		t.Errorf("%d tasks, want 10 despite rounding", n)
	}
	if r.Holds(Room{CPUs: 1, Cards: 1}) || !r.Holds(Room{CPUs: 8, MemoryGB: 32}) {
		t.Error("room")
	}
}
