// Package replicas records which machine holds which parts of which datasets, as last reported by the
// data agents that run beside the workers. It does not know about jobs or why a part is needed.
//
// Agents send heartbeats concurrently with reads by placement and by users. Each reader takes a
// Snapshot, which is immutable and needs no lock: a placement round sees one consistent state and
// does not block heartbeats. Successive snapshots share unchanged data (benbjohnson/immutable), and
// the parts on a machine are stored as a compressed bitmap (roaring).
package replicas

import (
	"sync"
	"sync/atomic"

	"github.com/RoaringBitmap/roaring/v2"
)

// MachineID identifies a machine within an Index and is assigned by Index.ID. IDs are small numbers
// and are reused after a machine is removed.
type MachineID uint32

// Replica is the set of parts of one dataset that a machine holds. PartCount is the number of parts in
// the whole dataset.
type Replica struct {
	PartCount int
	Parts     *roaring.Bitmap
}

// Index records the replicas on all machines. Its methods are safe for concurrent use.
type Index struct {
	// current is read without a lock and written only with mu held.
	current atomic.Pointer[Snapshot]

	// mu guards ids and freeIDs, and serializes writes of current.
	mu      sync.Mutex
	ids     map[string]MachineID
	freeIDs []MachineID
}

// New returns an Index without machines.
func New() *Index {
	index := &Index{ids: map[string]MachineID{}}
	index.current.Store(newSnapshot())
	return index
}

// Snapshot returns the current state.
func (index *Index) Snapshot() *Snapshot { return index.current.Load() }

// ID returns the ID of a machine and assigns one if the machine has none.
func (index *Index) ID(machine string) MachineID {
	index.mu.Lock()
	defer index.mu.Unlock()
	return index.assignID(machine)
}

// assignID returns the ID of a machine. If the machine has none, it assigns the most recently freed
// ID, or the next unused one if no ID is free. mu must be held.
func (index *Index) assignID(machine string) MachineID {
	machineID, ok := index.ids[machine]
	if ok {
		return machineID
	}
	if last := len(index.freeIDs) - 1; last >= 0 {
		machineID = index.freeIDs[last]
		index.freeIDs = index.freeIDs[:last]
	} else {
		machineID = MachineID(len(index.ids))
	}
	index.ids[machine] = machineID
	return machineID
}

// Remove removes a machine and its replicas and frees its ID. Unknown machines are ignored.
func (index *Index) Remove(machine string) {
	index.mu.Lock()
	defer index.mu.Unlock()
	machineID, ok := index.ids[machine]
	if !ok {
		return
	}
	delete(index.ids, machine)
	index.freeIDs = append(index.freeIDs, machineID)
	snapshot := index.current.Load()
	held, ok := snapshot.machines.Get(machineID)
	if !ok {
		return
	}
	next := *snapshot
	for iterator := held.Iterator(); !iterator.Done(); {
		datasetName, _, _ := iterator.Next()
		next.update(machineID, datasetName, 0, nil)
	}
	next.version++
	index.current.Store(&next)
}

// Set replaces all replicas on a machine by the given ones, keyed by dataset name. Parts whose index is
// not below a replica's number of parts are ignored. Set does not modify the bitmaps, and the caller
// must not modify them afterwards.
func (index *Index) Set(machine string, replicas map[string]Replica) {
	index.mu.Lock()
	defer index.mu.Unlock()
	machineID := index.assignID(machine)
	snapshot := index.current.Load()
	next := *snapshot
	if held, ok := snapshot.machines.Get(machineID); ok {
		for iterator := held.Iterator(); !iterator.Done(); {
			if datasetName, _, _ := iterator.Next(); replicas[datasetName].Parts == nil {
				next.update(machineID, datasetName, 0, nil)
			}
		}
	}
	for datasetName, replica := range replicas {
		next.update(machineID, datasetName, replica.PartCount, replica.Parts)
	}
	next.version++
	index.current.Store(&next)
}
