// Package replicas records which machine holds which parts of which datasets, as the agents beside
// the workers last reported it. It knows neither jobs nor why a part is needed.
//
// Heartbeats of agents arrive at any time, while placement and users read. A reader takes a
// Snapshot, which never changes and needs no lock: a round of placement sees one state throughout,
// and no heartbeat waits for it. Snapshots share whatever did not change between them
// (benbjohnson/immutable), and a machine's parts are compressed bitmaps (roaring).
package replicas

import (
	"sync"
	"sync/atomic"

	"github.com/RoaringBitmap/roaring/v2"
)

// MachineID is a machine's number, assigned by Index.ID. Numbers are small and are reused after a
// machine is removed.
type MachineID uint32

// Replica is what a machine holds of one dataset: Parts, out of a total of Of parts.
type Replica struct {
	Of    int
	Parts *roaring.Bitmap
}

// Index records the replicas on all machines. Its methods are safe for concurrent use.
type Index struct {
	// current is read without a lock, and written only while mu is held.
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	ids     map[string]MachineID
	freeIDs []MachineID
}

// New returns an empty index.
func New() *Index {
	index := &Index{ids: map[string]MachineID{}}
	index.current.Store(newSnapshot())
	return index
}

// Snapshot returns the present state.
func (index *Index) Snapshot() *Snapshot { return index.current.Load() }

// ID returns the number of a machine, and assigns one if it has none.
func (index *Index) ID(name string) MachineID {
	index.mu.Lock()
	defer index.mu.Unlock()
	return index.assignID(name)
}

// assignID returns the number of a machine, and assigns the last one that was freed, or else the
// next one, if it has none. mu must be held.
func (index *Index) assignID(name string) MachineID {
	machineID, ok := index.ids[name]
	if ok {
		return machineID
	}
	if last := len(index.freeIDs) - 1; last >= 0 {
		machineID = index.freeIDs[last]
		index.freeIDs = index.freeIDs[:last]
	} else {
		machineID = MachineID(len(index.ids))
	}
	index.ids[name] = machineID
	return machineID
}

// Remove forgets a machine, its number and everything that it held.
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

// Set replaces everything that a machine holds by the given replicas, keyed by dataset name. Parts
// at or beyond a replica's total are left out. Set does not change the bitmaps, and the caller must
// not change them afterwards.
func (index *Index) Set(name string, replicas map[string]Replica) {
	index.mu.Lock()
	defer index.mu.Unlock()
	machineID := index.assignID(name)
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
		next.update(machineID, datasetName, replica.Of, replica.Parts)
	}
	next.version++
	index.current.Store(&next)
}
