// Package replicas knows which machine holds which parts of which datasets, as the
// agents beside the workers last said. It does not know jobs, or why anything is wanted.
//
// Agents' reports come in at any time; placement and users read. Readers take a Snapshot,
// which never changes, and need no lock: a round of placement sees one state throughout,
// and no report waits for it. The snapshots share what did not change between them
// (benbjohnson/immutable), and a machine's parts are compressed bitmaps (roaring).
package replicas

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/benbjohnson/immutable"
)

// MachineID is a machine's number, given by Index.ID. Numbers are small, and are used
// again after a machine is dropped.
type MachineID uint32

// heldParts is what a machine holds of a dataset. Its bitmap is never changed.
type heldParts struct {
	parts *roaring.Bitmap
	count int
}

// datasetReplicas is who holds a dataset.
type datasetReplicas struct {
	partCount int
	// holders are those of each part, in the order of their numbers; the slices are
	// never changed.
	holders *immutable.List[[]MachineID]
	// complete hold every part, in the same order.
	complete []MachineID
	// replicaCount counts the parts on all machines.
	replicaCount int
}

// Snapshot is who holds what at one moment. The zero value is of no use; Index.Snapshot
// gives one.
type Snapshot struct {
	datasets *immutable.Map[string, *datasetReplicas]
	machines *immutable.Map[MachineID, *immutable.Map[string, heldParts]]
	version  uint64
}

// Index takes in what agents say. Its methods may be called from anywhere.
type Index struct {
	mu      sync.Mutex
	ids     map[string]MachineID
	freeIDs []MachineID
	current atomic.Pointer[Snapshot]
}

type machineHasher struct{}

func (machineHasher) Hash(m MachineID) uint32   { return uint32(m) * 2654435761 }
func (machineHasher) Equal(a, b MachineID) bool { return a == b }

// New makes an empty index.
func New() *Index {
	index := &Index{ids: map[string]MachineID{}}
	index.current.Store(&Snapshot{datasets: immutable.NewMap[string, *datasetReplicas](nil),
		machines: immutable.NewMap[MachineID, *immutable.Map[string, heldParts]](machineHasher{})})
	return index
}

// Snapshot is the present state.
func (index *Index) Snapshot() *Snapshot { return index.current.Load() }

// ID is the number of a machine; it gets one if it has none.
func (index *Index) ID(name string) MachineID {
	index.mu.Lock()
	defer index.mu.Unlock()
	return index.assignID(name)
}

func (index *Index) assignID(name string) MachineID {
	machineID, ok := index.ids[name]
	if !ok {
		machineID = MachineID(len(index.ids) + len(index.freeIDs))
		if n := len(index.freeIDs); n > 0 {
			machineID, index.freeIDs = index.freeIDs[n-1], index.freeIDs[:n-1]
		}
		index.ids[name] = machineID
	}
	return machineID
}

// Remove forgets a machine and all that it held.
func (index *Index) Remove(name string) {
	index.mu.Lock()
	defer index.mu.Unlock()
	machineID, ok := index.ids[name]
	if !ok {
		return
	}
	delete(index.ids, name)
	index.freeIDs = append(index.freeIDs, machineID)
	snapshot := index.current.Load()
	if sets, ok := snapshot.machines.Get(machineID); ok {
		next := *snapshot
		for iterator := sets.Iterator(); !iterator.Done(); {
			datasetName, _, _ := iterator.Next()
			next.update(machineID, datasetName, 0, nil)
		}
		next.version++
		index.current.Store(&next)
	}
}

// Set notes all that a machine holds: of each dataset its number of parts and which of
// them. Parts beyond that number are left out. The bitmaps are not changed, and the
// caller must not change them any more.
func (index *Index) Set(name string, replicas map[string]Replica) {
	index.mu.Lock()
	defer index.mu.Unlock()
	machineID := index.assignID(name)
	snapshot := index.current.Load()
	next := *snapshot
	if old, ok := snapshot.machines.Get(machineID); ok {
		for iterator := old.Iterator(); !iterator.Done(); {
			if datasetName, _, _ := iterator.Next(); replicas[datasetName].Parts == nil {
				next.update(machineID, datasetName, 0, nil)
			}
		}
	}
	for datasetName, replica := range replicas {
		next.update(machineID, datasetName, replica.Of, replica.Parts)
	}
	next.version++
	index.current.Store(&next)
}

// Replica is what a machine says that it holds of a dataset: which parts, of how many.
type Replica struct {
	Of    int
	Parts *roaring.Bitmap
}

// update sets what a machine holds of one dataset. It works on a copy of the last snapshot.
func (snapshot *Snapshot) update(machineID MachineID, datasetName string, partCount int, parts *roaring.Bitmap) {
	held, ok := snapshot.machines.Get(machineID)
	if !ok {
		held = immutable.NewMap[string, heldParts](nil)
	}
	before, _ := held.Get(datasetName)
	if before.parts == nil {
		before.parts = roaring.New()
	}
	if parts == nil {
		parts = roaring.New()
	}
	if partCount > 0 && !parts.IsEmpty() && parts.Maximum() >= uint32(partCount) {
		parts = parts.Clone()
		parts.RemoveRange(uint64(partCount), 1<<32)
	}
	if parts.Equals(before.parts) {
		return
	}
	set, ok := snapshot.datasets.Get(datasetName)
	if !ok {
		set = &datasetReplicas{holders: immutable.NewList[[]MachineID]()}
	}
	next := *set
	if partCount > next.partCount {
		b := immutable.NewListBuilder[[]MachineID]()
		for i := range partCount {
			if i < next.holders.Len() {
				b.Append(next.holders.Get(i))
			} else {
				b.Append(nil)
			}
		}
		next.partCount, next.holders = partCount, b.List()
	}
	for iterator := roaring.AndNot(parts, before.parts).Iterator(); iterator.HasNext(); {
		k := int(iterator.Next())
		next.holders = next.holders.Set(k, insertID(next.holders.Get(k), machineID))
	}
	for iterator := roaring.AndNot(before.parts, parts).Iterator(); iterator.HasNext(); {
		k := int(iterator.Next())
		next.holders = next.holders.Set(k, removeID(next.holders.Get(k), machineID))
	}
	n := int(parts.GetCardinality())
	if n == next.partCount {
		next.complete = insertID(next.complete, machineID)
	} else {
		next.complete = removeID(next.complete, machineID)
	}
	if next.replicaCount += n - int(before.parts.GetCardinality()); next.replicaCount == 0 {
		// Names are not used again: what nobody holds would be kept for ever.
		snapshot.datasets = snapshot.datasets.Delete(datasetName)
	} else {
		snapshot.datasets = snapshot.datasets.Set(datasetName, &next)
	}
	if n == 0 {
		held = held.Delete(datasetName)
	} else {
		held = held.Set(datasetName, heldParts{parts, n})
	}
	if held.Len() == 0 {
		snapshot.machines = snapshot.machines.Delete(machineID)
	} else {
		snapshot.machines = snapshot.machines.Set(machineID, held)
	}
}

func insertID(list []MachineID, machineID MachineID) []MachineID {
	at, ok := slices.BinarySearch(list, machineID)
	if ok {
		return list
	}
	out := make([]MachineID, 0, len(list)+1)
	out = append(append(out, list[:at]...), machineID)
	return append(out, list[at:]...)
}

func removeID(list []MachineID, machineID MachineID) []MachineID {
	at, ok := slices.BinarySearch(list, machineID)
	if !ok {
		return list
	}
	return append(slices.Clone(list[:at]), list[at+1:]...)
}

// Version grows with every change.
func (snapshot *Snapshot) Version() uint64 { return snapshot.version }

// Holders are the machines that hold a part, in the order of their numbers. The list is
// shared and must not be changed.
func (snapshot *Snapshot) Holders(dataset string, part int) []MachineID {
	set, ok := snapshot.datasets.Get(dataset)
	if !ok || part < 0 || part >= set.partCount {
		return nil
	}
	return set.holders.Get(part)
}

// Complete are the machines that hold a dataset whole; the same applies.
func (snapshot *Snapshot) Complete(dataset string) []MachineID {
	if set, ok := snapshot.datasets.Get(dataset); ok {
		return set.complete
	}
	return nil
}

// Has tells whether a machine holds a part.
func (snapshot *Snapshot) Has(m MachineID, dataset string, part int) bool {
	_, ok := slices.BinarySearch(snapshot.Holders(dataset, part), m)
	return ok
}

// Parts are what a machine holds of a dataset; nil: nothing. The bitmap must not be
// changed.
func (snapshot *Snapshot) Parts(m MachineID, dataset string) *roaring.Bitmap {
	if held, ok := snapshot.machines.Get(m); ok {
		if held, ok := held.Get(dataset); ok {
			return held.parts
		}
	}
	return nil
}

// Count is the number of a dataset's parts that a machine holds.
func (snapshot *Snapshot) Count(m MachineID, dataset string) int {
	if held, ok := snapshot.machines.Get(m); ok {
		held, _ := held.Get(dataset)
		return held.count
	}
	return 0
}

// Known tells whether any machine holds something of a dataset.
func (snapshot *Snapshot) Known(dataset string) bool {
	_, ok := snapshot.datasets.Get(dataset)
	return ok
}

// Datasets are those that any machine holds something of, in no order.
func (snapshot *Snapshot) Datasets() []string {
	var out []string
	for iterator := snapshot.datasets.Iterator(); !iterator.Done(); {
		datasetName, _, _ := iterator.Next()
		out = append(out, datasetName)
	}
	return out
}
