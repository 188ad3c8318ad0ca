package replicas

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"github.com/RoaringBitmap/roaring/v2"
)

func of(n int, parts ...uint32) Replica { return Replica{n, roaring.BitmapOf(parts...)} }

// Whatever agents say in whatever order, both directions of the index agree, and a
// snapshot taken before does not change.
func TestBothDirectionsAgree(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	x := New()
	truth := map[string]map[int]bool{}
	before := x.Snapshot()
	for range 400 {
		name := fmt.Sprintf("n-%d", rng.IntN(12))
		if rng.IntN(10) == 0 {
			x.Remove(name)
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
		x.Set(name, map[string]Replica{"a": of(20, parts...)})
		s := x.Snapshot()
		for k := range 20 {
			n := 0
			for m, has := range truth {
				id := x.ID(m)
				if s.Has(id, "a", k) != has[k] {
					t.Fatalf("part %d on %s", k, m)
				}
				if has[k] {
					n++
				}
				if s.Count(id, "a") != len(has) {
					t.Fatalf("%s holds %d, not %d", m, s.Count(id, "a"), len(has))
				}
			}
			if len(s.Holders("a", k)) != n || !slices.IsSorted(s.Holders("a", k)) {
				t.Fatalf("holders of %d: %v, not %d", k, s.Holders("a", k), n)
			}
		}
	}
	if len(before.Datasets()) != 0 {
		t.Fatal("an old snapshot changed")
	}
}

func TestWholeAndWhatIsTooMuch(t *testing.T) {
	x := New()
	x.Set("n-1", map[string]Replica{"a": of(3, 0, 1, 2, 9)})
	x.Set("n-2", map[string]Replica{"a": of(3, 0, 2)})
	s := x.Snapshot()
	if !slices.Equal(s.Complete("a"), []MachineID{x.ID("n-1")}) || s.Holders("a", 9) != nil {
		t.Fatalf("whole: %v", s.Complete("a"))
	}
	x.Set("n-1", map[string]Replica{})
	if s := x.Snapshot(); len(s.Complete("a")) != 0 || len(s.Holders("a", 0)) != 1 {
		t.Fatal("what is gone is still there")
	}
}

// fill is the size that docs/data.md measures at: three holders of each part.
func fill(machines, parts int) *Index {
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
	x := New()
	for i, b := range on {
		x.Set(fmt.Sprintf("n-%06d", i), map[string]Replica{"chunks": {parts, b}})
	}
	return x
}

// The leader has 70 MB in all: 60,000 holdings must stay far below.
func TestMemoryAHolding(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	x := fill(2000, 20000)
	runtime.GC()
	runtime.ReadMemStats(&after)
	n := 0
	for k := range 20000 {
		n += len(x.Snapshot().Holders("chunks", k))
	}
	each := float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
	t.Logf("%d holdings, %.0f bytes each", n, each)
	if each > 250 {
		t.Fatalf("%.0f bytes a holding", each)
	}
	runtime.KeepAlive(x)
}

func BenchmarkTake(b *testing.B) {
	x := fill(2000, 20000)
	parts := x.Snapshot().Parts(x.ID("n-000007"), "chunks").Clone()
	for b.Loop() {
		parts = parts.Clone()
		parts.Flip(7, 8)
		x.Set("n-000007", map[string]Replica{"chunks": {20000, parts}})
	}
}

// 64 machines with 30 scattered parts each fit one value of the state service, and what
// comes out is what went in; where it cannot fit, some machines are left out.
func TestHintKeepsWhatFits(t *testing.T) {
	x := fill(2000, 20000)
	s := x.Snapshot()
	var names []string
	for i := range 64 {
		names = append(names, fmt.Sprintf("n-%06d", i))
	}
	number := func(n string) (MachineID, bool) { return x.ID(n), true }
	h, told, err := EncodeHint(s, names, number, 15<<10)
	if err != nil || told != 64 {
		t.Fatalf("%d told, %d bytes: %v", told, len(h.Packed), err)
	}
	t.Logf("%d bytes for %d machines", len(h.Packed), told)
	all, err := h.Decode()
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range names {
		if got := all[n]["chunks"]; got.Of != 20000 || !got.Parts.Equals(s.Parts(x.ID(n), "chunks")) {
			t.Fatalf("%s: %v", n, got)
		}
	}
	if h, told, _ = EncodeHint(s, names, number, 2000); told == 0 || told == 64 || len(h.Packed) > 2000 {
		t.Fatalf("%d told in %d bytes", told, len(h.Packed))
	}
	if _, err := (Hint{"AAAA"}).Decode(); err == nil {
		t.Fatal("nonsense was taken")
	}
}
