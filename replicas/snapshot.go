package replicas

import (
	"slices"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/benbjohnson/immutable"
)

// Snapshot is the state of an Index at one point in time. It is immutable and safe for concurrent use.
// The zero value is not usable; use Index.Snapshot.
type Snapshot struct {
	datasets *immutable.Map[string, *datasetReplicas]
	machines *immutable.Map[MachineID, *immutable.Map[string, heldParts]]
	version  uint64
}

// heldParts is the set of parts of one dataset that a machine holds, and the size of that set. The
// bitmap is immutable.
type heldParts struct {
	parts *roaring.Bitmap
	count int
}

// datasetReplicas describes the replicas of one dataset on all machines. Values stored in a Snapshot are
// immutable.
type datasetReplicas struct {
	// partCount is the largest number of parts that was reported for the dataset.
	partCount int
	// holders lists the machines that hold each part, sorted by ID. The slices are immutable.
	holders *immutable.List[[]MachineID]
	// completeHolders lists the machines that hold every part, sorted by ID. The slice is immutable.
	completeHolders []MachineID
	// partReplicaCount is the sum over all machines of the number of parts held.
	partReplicaCount int
}

// machineHasher implements immutable.Hasher for MachineID.
type machineHasher struct{}

// hashMultiplier is 2^32 divided by the golden ratio, for multiplicative hashing.
const hashMultiplier = 2654435761

// Hash spreads small IDs over the 32-bit range.
func (machineHasher) Hash(machineID MachineID) uint32 { return uint32(machineID) * hashMultiplier }

// Equal returns whether two IDs are equal.
func (machineHasher) Equal(machineID, other MachineID) bool { return machineID == other }

// newSnapshot returns a snapshot without replicas.
func newSnapshot() *Snapshot {
	return &Snapshot{
		datasets: immutable.NewMap[string, *datasetReplicas](nil),
		machines: immutable.NewMap[MachineID, *immutable.Map[string, heldParts]](machineHasher{}),
	}
}

// update replaces the parts of a dataset that a machine holds; nil stands for none. partCount is the
// number of parts of the dataset, or 0 if that is unknown. update may be called only on a copy that
// has not been published to readers.
func (snapshot *Snapshot) update(machineID MachineID, datasetName string, partCount int, parts *roaring.Bitmap) {
	parts = clip(parts, partCount)
	before := snapshot.Parts(machineID, datasetName)
	if before == nil {
		before = roaring.New()
	}
	if parts.Equals(before) {
		return
	}
	replicas, ok := snapshot.datasets.Get(datasetName)
	if !ok {
		replicas = &datasetReplicas{holders: immutable.NewList[[]MachineID]()}
	}
	next := replicas.withParts(machineID, partCount, before, parts)
	if next.partReplicaCount == 0 {
		// Dataset names are never reused, so an empty entry would never be removed.
		snapshot.datasets = snapshot.datasets.Delete(datasetName)
	} else {
		snapshot.datasets = snapshot.datasets.Set(datasetName, next)
	}
	snapshot.setHeld(machineID, datasetName, parts)
}

// setHeld stores the parts of a dataset that a machine holds, and removes entries that become empty.
func (snapshot *Snapshot) setHeld(machineID MachineID, datasetName string, parts *roaring.Bitmap) {
	held, ok := snapshot.machines.Get(machineID)
	if !ok {
		held = immutable.NewMap[string, heldParts](nil)
	}
	if count := int(parts.GetCardinality()); count > 0 {
		held = held.Set(datasetName, heldParts{parts, count})
	} else {
		held = held.Delete(datasetName)
	}
	if held.Len() > 0 {
		snapshot.machines = snapshot.machines.Set(machineID, held)
	} else {
		snapshot.machines = snapshot.machines.Delete(machineID)
	}
}

// clip returns the parts whose index is below partCount, or all parts if partCount is 0. It does not
// modify the given bitmap; a nil bitmap stands for no parts.
func clip(parts *roaring.Bitmap, partCount int) *roaring.Bitmap {
	if parts == nil {
		return roaring.New()
	}
	if partCount > 0 && !parts.IsEmpty() && parts.Maximum() >= uint32(partCount) {
		parts = parts.Clone()
		parts.RemoveRange(uint64(partCount), 1<<32)
	}
	return parts
}

// withParts returns a copy in which a machine holds the parts in after instead of those in before. The
// copy has at least partCount parts.
func (replicas *datasetReplicas) withParts(machineID MachineID, partCount int, before, after *roaring.Bitmap) *datasetReplicas {
	next := *replicas
	next.grow(partCount)
	for iterator := roaring.AndNot(after, before).Iterator(); iterator.HasNext(); {
		part := int(iterator.Next())
		next.holders = next.holders.Set(part, insertID(next.holders.Get(part), machineID))
	}
	for iterator := roaring.AndNot(before, after).Iterator(); iterator.HasNext(); {
		part := int(iterator.Next())
		next.holders = next.holders.Set(part, removeID(next.holders.Get(part), machineID))
	}
	count := int(after.GetCardinality())
	if count == next.partCount {
		next.completeHolders = insertID(next.completeHolders, machineID)
	} else {
		next.completeHolders = removeID(next.completeHolders, machineID)
	}
	next.partReplicaCount += count - int(before.GetCardinality())
	return &next
}

// grow extends the dataset to partCount parts, if it has fewer. The added parts have no holders.
func (replicas *datasetReplicas) grow(partCount int) {
	if partCount <= replicas.partCount {
		return
	}
	builder := immutable.NewListBuilder[[]MachineID]()
	for part := range partCount {
		if part < replicas.holders.Len() {
			builder.Append(replicas.holders.Get(part))
		} else {
			builder.Append(nil)
		}
	}
	replicas.partCount = partCount
	replicas.holders = builder.List()
}

// insertID returns a sorted list with machineID added. It does not modify the given list.
func insertID(list []MachineID, machineID MachineID) []MachineID {
	position, ok := slices.BinarySearch(list, machineID)
	if ok {
		return list
	}
	extended := make([]MachineID, 0, len(list)+1)
	extended = append(extended, list[:position]...)
	extended = append(extended, machineID)
	return append(extended, list[position:]...)
}

// removeID returns a sorted list with machineID removed. It does not modify the given list.
func removeID(list []MachineID, machineID MachineID) []MachineID {
	position, ok := slices.BinarySearch(list, machineID)
	if !ok {
		return list
	}
	return append(slices.Clone(list[:position]), list[position+1:]...)
}

// Version returns the version of the state, which increases with every change of the index.
func (snapshot *Snapshot) Version() uint64 { return snapshot.version }

// Holders returns the machines that hold a part, sorted by ID. The list is shared, and the caller
// must not modify it.
func (snapshot *Snapshot) Holders(dataset string, part int) []MachineID {
	replicas, ok := snapshot.datasets.Get(dataset)
	if !ok || part < 0 || part >= replicas.partCount {
		return nil
	}
	return replicas.holders.Get(part)
}

// CompleteHolders returns the machines that hold every part of a dataset, sorted by ID. The list is
// shared, and the caller must not modify it.
func (snapshot *Snapshot) CompleteHolders(dataset string) []MachineID {
	if replicas, ok := snapshot.datasets.Get(dataset); ok {
		return replicas.completeHolders
	}
	return nil
}

// Has returns whether a machine holds a part.
func (snapshot *Snapshot) Has(machineID MachineID, dataset string, part int) bool {
	_, ok := slices.BinarySearch(snapshot.Holders(dataset, part), machineID)
	return ok
}

// Parts returns the parts of a dataset that a machine holds, or nil if it holds none. The caller
// must not modify the bitmap.
func (snapshot *Snapshot) Parts(machineID MachineID, dataset string) *roaring.Bitmap {
	return snapshot.held(machineID, dataset).parts
}

// HeldPartCount returns the number of a dataset's parts that a machine holds.
func (snapshot *Snapshot) HeldPartCount(machineID MachineID, dataset string) int {
	return snapshot.held(machineID, dataset).count
}

// held returns the parts of a dataset that a machine holds, or the zero value if it holds none.
func (snapshot *Snapshot) held(machineID MachineID, dataset string) heldParts {
	datasets, ok := snapshot.machines.Get(machineID)
	if !ok {
		return heldParts{}
	}
	held, _ := datasets.Get(dataset)
	return held
}

// HasReplicas returns whether any machine holds at least one part of a dataset.
func (snapshot *Snapshot) HasReplicas(dataset string) bool {
	_, ok := snapshot.datasets.Get(dataset)
	return ok
}

// Datasets returns the names of all datasets of which at least one machine holds a part, in no
// particular order.
func (snapshot *Snapshot) Datasets() []string {
	var names []string
	for iterator := snapshot.datasets.Iterator(); !iterator.Done(); {
		name, _, _ := iterator.Next()
		names = append(names, name)
	}
	return names
}
