package replicas

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"github.com/RoaringBitmap/roaring/v2"
)

// replicaOf returns a replica that holds the given parts of a dataset of partCount parts.
func replicaOf(partCount int, parts ...uint32) Replica {
	return Replica{partCount, roaring.BitmapOf(parts...)}
}

// After any sequence of updates and removals, the holders of each part agree with the parts of each
// machine, and a snapshot taken earlier is unchanged.
func TestHoldersAgreeWithPartsOfMachines(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	index := New()
	expected := map[string]map[int]bool{}
	before := index.Snapshot()
	for range 400 {
		name := fmt.Sprintf("n-%d", rng.IntN(12))
		if rng.IntN(10) == 0 {
			index.Remove(name)
			delete(expected, name)
			continue
		}
		var parts []uint32
		expected[name] = map[int]bool{}
		for part := range 20 {
			if rng.IntN(3) == 0 || rng.IntN(4) == 0 && part < 15 {
				parts = append(parts, uint32(part))
				expected[name][part] = true
			}
		}
		index.Set(name, map[string]Replica{"a": replicaOf(20, parts...)})
		snapshot := index.Snapshot()
		for part := range 20 {
			holders := 0
			for machine, holds := range expected {
				machineID := index.ID(machine)
				if snapshot.Has(machineID, "a", part) != holds[part] {
					t.Fatalf("the index and the last update disagree whether part %d is on %s", part, machine)
				}
				if holds[part] {
					holders++
				}
				if snapshot.HeldPartCount(machineID, "a") != len(holds) {
					t.Fatalf("%s holds %d parts, want %d", machine, snapshot.HeldPartCount(machineID, "a"), len(holds))
				}
			}
			if len(snapshot.Holders("a", part)) != holders || !slices.IsSorted(snapshot.Holders("a", part)) {
				t.Fatalf("holders of part %d: %v, want %d machines sorted by ID", part, snapshot.Holders("a", part), holders)
			}
		}
	}
	if len(before.Datasets()) != 0 {
		t.Fatal("a snapshot taken before the changes was modified")
	}
}

// CompleteHolders lists only machines that hold every part. Parts whose index is not below the number of parts
// are ignored, and a machine that reports no replicas holds none.
func TestCompleteHoldersIgnorePartsBeyondPartCount(t *testing.T) {
	index := New()
	index.Set("n-1", map[string]Replica{"a": replicaOf(3, 0, 1, 2, 9)})
	index.Set("n-2", map[string]Replica{"a": replicaOf(3, 0, 2)})
	snapshot := index.Snapshot()
	if !slices.Equal(snapshot.CompleteHolders("a"), []MachineID{index.ID("n-1")}) || snapshot.Holders("a", 9) != nil {
		t.Fatalf("machines that hold every part: %v, want only n-1; or part 9 is not ignored", snapshot.CompleteHolders("a"))
	}
	index.Set("n-1", map[string]Replica{})
	if snapshot := index.Snapshot(); len(snapshot.CompleteHolders("a")) != 0 || len(snapshot.Holders("a", 0)) != 1 {
		t.Fatal("an evicted replica is still in the index")
	}
}

// filledIndex returns an index of machines named n-000000, n-000001 and so on, with up to three random
// holders of each part. The measurements in docs/data.md use such indexes.
func filledIndex(machines, parts int) *Index {
	rng := rand.New(rand.NewPCG(3, uint64(machines)))
	held := make([]*roaring.Bitmap, machines)
	for i := range held {
		held[i] = roaring.New()
	}
	for part := range parts {
		for range 3 {
			held[rng.IntN(machines)].Add(uint32(part))
		}
	}
	index := New()
	for i, bitmap := range held {
		index.Set(fmt.Sprintf("n-%06d", i), map[string]Replica{"chunks": {parts, bitmap}})
	}
	return index
}

// The leader may use 70 MB in total, of which an index of 60,000 replicas of parts must take only a small share.
func TestMemoryPerReplica(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	index := filledIndex(2000, 20000)
	runtime.GC()
	runtime.ReadMemStats(&after)
	count := 0
	for part := range 20000 {
		count += len(index.Snapshot().Holders("chunks", part))
	}
	bytesPerReplica := float64(after.HeapAlloc-before.HeapAlloc) / float64(count)
	t.Logf("%d replicas, %.0f bytes each", count, bytesPerReplica)
	if bytesPerReplica > 250 {
		t.Fatalf("%.0f bytes per replica, want at most 250", bytesPerReplica)
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
