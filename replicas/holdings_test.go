package replicas

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"github.com/RoaringBitmap/roaring/v2"
)

func replicaOf(n int, parts ...uint32) Replica { return Replica{n, roaring.BitmapOf(parts...)} }

// Whatever agents say in whatever order, both directions of the index agree, and a
// snapshot taken before does not change.
func TestBothDirectionsAgree(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	index := New()
	truth := map[string]map[int]bool{}
	before := index.Snapshot()
	for range 400 {
		name := fmt.Sprintf("n-%d", rng.IntN(12))
		if rng.IntN(10) == 0 {
			index.Remove(name)
			delete(truth, name)
			continue
		}
		var parts []uint32
		truth[name] = map[int]bool{}
		for k := range 20 {
			if rng.IntN(3) == 0 || rng.IntN(4) == 0 && k < 15 {
				parts = append(parts, uint32(k))
				truth[name][k] = true
			}
		}
		index.Set(name, map[string]Replica{"a": replicaOf(20, parts...)})
		snapshot := index.Snapshot()
		for k := range 20 {
			n := 0
			for m, has := range truth {
				machineID := index.ID(m)
				if snapshot.Has(machineID, "a", k) != has[k] {
					t.Fatalf("part %d on %s", k, m)
				}
				if has[k] {
					n++
				}
				if snapshot.Count(machineID, "a") != len(has) {
					t.Fatalf("%s holds %d, not %d", m, snapshot.Count(machineID, "a"), len(has))
				}
			}
			if len(snapshot.Holders("a", k)) != n || !slices.IsSorted(snapshot.Holders("a", k)) {
				t.Fatalf("holders of %d: %v, not %d", k, snapshot.Holders("a", k), n)
			}
		}
	}
	if len(before.Datasets()) != 0 {
		t.Fatal("an old snapshot changed")
	}
}

func TestCompleteHoldersAndPartsBeyondTheEnd(t *testing.T) {
	index := New()
	index.Set("n-1", map[string]Replica{"a": replicaOf(3, 0, 1, 2, 9)})
	index.Set("n-2", map[string]Replica{"a": replicaOf(3, 0, 2)})
	snapshot := index.Snapshot()
	if !slices.Equal(snapshot.Complete("a"), []MachineID{index.ID("n-1")}) || snapshot.Holders("a", 9) != nil {
		t.Fatalf("whole: %v", snapshot.Complete("a"))
	}
	index.Set("n-1", map[string]Replica{})
	if snapshot := index.Snapshot(); len(snapshot.Complete("a")) != 0 || len(snapshot.Holders("a", 0)) != 1 {
		t.Fatal("what is gone is still there")
	}
}

// filledIndex is the size that docs/data.md measures at: three holders of each part.
func filledIndex(machines, parts int) *Index {
	rng := rand.New(rand.NewPCG(3, uint64(machines)))
	on := make([]*roaring.Bitmap, machines)
	for i := range on {
		on[i] = roaring.New()
	}
	for k := range parts {
		for range 3 {
			on[rng.IntN(machines)].Add(uint32(k))
		}
	}
	index := New()
	for i, b := range on {
		index.Set(fmt.Sprintf("n-%06d", i), map[string]Replica{"chunks": {parts, b}})
	}
	return index
}

// The leader has 70 MB in all: 60,000 holdings must stay far below.
func TestMemoryAHolding(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	index := filledIndex(2000, 20000)
	runtime.GC()
	runtime.ReadMemStats(&after)
	n := 0
	for k := range 20000 {
		n += len(index.Snapshot().Holders("chunks", k))
	}
	each := float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
	t.Logf("%d holdings, %.0f bytes each", n, each)
	if each > 250 {
		t.Fatalf("%.0f bytes a holding", each)
	}
	runtime.KeepAlive(index)
}

func BenchmarkSet(b *testing.B) {
	index := filledIndex(2000, 20000)
	parts := index.Snapshot().Parts(index.ID("n-000007"), "chunks").Clone()
	for b.Loop() {
		parts = parts.Clone()
		parts.Flip(7, 8)
		index.Set("n-000007", map[string]Replica{"chunks": {20000, parts}})
	}
}

// 64 machines with 30 scattered parts each fit one value of the state service, and what
// comes out is what went in; where it cannot fit, some machines are left out.
func TestHintKeepsTheMachinesThatFit(t *testing.T) {
	index := filledIndex(2000, 20000)
	snapshot := index.Snapshot()
	var names []string
	for i := range 64 {
		names = append(names, fmt.Sprintf("n-%06d", i))
	}
	machineID := func(name string) (MachineID, bool) { return index.ID(name), true }
	hint, included, err := EncodeHint(snapshot, names, machineID, 15<<10)
	if err != nil || included != 64 {
		t.Fatalf("%d told, %d bytes: %v", included, len(hint.Packed), err)
	}
	t.Logf("%d bytes for %d machines", len(hint.Packed), included)
	all, err := hint.Decode()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if got := all[name]["chunks"]; got.Of != 20000 || !got.Parts.Equals(snapshot.Parts(index.ID(name), "chunks")) {
			t.Fatalf("%s: %v", name, got)
		}
	}
	if hint, included, _ = EncodeHint(snapshot, names, machineID, 2000); included == 0 || included == 64 || len(hint.Packed) > 2000 {
		t.Fatalf("%d told in %d bytes", included, len(hint.Packed))
	}
	if _, err := (Hint{"AAAA"}).Decode(); err == nil {
		t.Fatal("nonsense was taken")
	}
}
