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

// held is what a machine holds of a dataset. Its bitmap is never changed.
type held struct {
	parts *roaring.Bitmap
	count int
}

// set is who holds a dataset.
type set struct {
	parts int
	// holders are those of each part, in the order of their numbers; the slices are
	// never changed.
	holders *immutable.List[[]MachineID]
	// whole hold every part, in the same order.
	whole []MachineID
	// all counts the parts on all machines.
	all int
}

// Snapshot is who holds what at one moment. The zero value is of no use; Index.Snapshot
// gives one.
type Snapshot struct {
	sets     *immutable.Map[string, *set]
	machines *immutable.Map[MachineID, *immutable.Map[string, held]]
	version  uint64
}

// Index takes in what agents say. Its methods may be called from anywhere.
type Index struct {
	mu   sync.Mutex
	ids  map[string]MachineID
	free []MachineID
	snap atomic.Pointer[Snapshot]
}

type hashMachine struct{}

func (hashMachine) Hash(m MachineID) uint32   { return uint32(m) * 2654435761 }
func (hashMachine) Equal(a, b MachineID) bool { return a == b }

// New makes an empty index.
func New() *Index {
	x := &Index{ids: map[string]MachineID{}}
	x.snap.Store(&Snapshot{sets: immutable.NewMap[string, *set](nil),
		machines: immutable.NewMap[MachineID, *immutable.Map[string, held]](hashMachine{})})
	return x
}

// Snapshot is the present state.
func (x *Index) Snapshot() *Snapshot { return x.snap.Load() }

// ID is the number of a machine; it gets one if it has none.
func (x *Index) ID(name string) MachineID {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.number(name)
}

func (x *Index) number(name string) MachineID {
	id, ok := x.ids[name]
	if !ok {
		id = MachineID(len(x.ids) + len(x.free))
		if n := len(x.free); n > 0 {
			id, x.free = x.free[n-1], x.free[:n-1]
		}
		x.ids[name] = id
	}
	return id
}

// Remove forgets a machine and all that it held.
func (x *Index) Remove(name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	id, ok := x.ids[name]
	if !ok {
		return
	}
	delete(x.ids, name)
	x.free = append(x.free, id)
	s := x.snap.Load()
	if sets, ok := s.machines.Get(id); ok {
		next := *s
		for itr := sets.Iterator(); !itr.Done(); {
			d, _, _ := itr.Next()
			next.take(id, d, 0, nil)
		}
		next.version++
		x.snap.Store(&next)
	}
}

// Set notes all that a machine holds: of each dataset its number of parts and which of
// them. Parts beyond that number are left out. The bitmaps are not changed, and the
// caller must not change them any more.
func (x *Index) Set(name string, all map[string]Replica) {
	x.mu.Lock()
	defer x.mu.Unlock()
	id := x.number(name)
	s := x.snap.Load()
	next := *s
	if old, ok := s.machines.Get(id); ok {
		for itr := old.Iterator(); !itr.Done(); {
			if d, _, _ := itr.Next(); all[d].Parts == nil {
				next.take(id, d, 0, nil)
			}
		}
	}
	for d, h := range all {
		next.take(id, d, h.Of, h.Parts)
	}
	next.version++
	x.snap.Store(&next)
}

// Replica is what a machine says that it holds of a dataset: which parts, of how many.
type Replica struct {
	Of    int
	Parts *roaring.Bitmap
}

// take sets what a machine holds of one dataset. It works on a copy of the last snapshot.
func (s *Snapshot) take(id MachineID, d string, of int, parts *roaring.Bitmap) {
	mine, ok := s.machines.Get(id)
	if !ok {
		mine = immutable.NewMap[string, held](nil)
	}
	was, _ := mine.Get(d)
	if was.parts == nil {
		was.parts = roaring.New()
	}
	if parts == nil {
		parts = roaring.New()
	}
	if of > 0 && !parts.IsEmpty() && parts.Maximum() >= uint32(of) {
		parts = parts.Clone()
		parts.RemoveRange(uint64(of), 1<<32)
	}
	if parts.Equals(was.parts) {
		return
	}
	ds, ok := s.sets.Get(d)
	if !ok {
		ds = &set{holders: immutable.NewList[[]MachineID]()}
	}
	next := *ds
	if of > next.parts {
		b := immutable.NewListBuilder[[]MachineID]()
		for i := range of {
			if i < next.holders.Len() {
				b.Append(next.holders.Get(i))
			} else {
				b.Append(nil)
			}
		}
		next.parts, next.holders = of, b.List()
	}
	for itr := roaring.AndNot(parts, was.parts).Iterator(); itr.HasNext(); {
		k := int(itr.Next())
		next.holders = next.holders.Set(k, with(next.holders.Get(k), id))
	}
	for itr := roaring.AndNot(was.parts, parts).Iterator(); itr.HasNext(); {
		k := int(itr.Next())
		next.holders = next.holders.Set(k, without(next.holders.Get(k), id))
	}
	n := int(parts.GetCardinality())
	if n == next.parts {
		next.whole = with(next.whole, id)
	} else {
		next.whole = without(next.whole, id)
	}
	if next.all += n - int(was.parts.GetCardinality()); next.all == 0 {
		// Names are not used again: what nobody holds would be kept for ever.
		s.sets = s.sets.Delete(d)
	} else {
		s.sets = s.sets.Set(d, &next)
	}
	if n == 0 {
		mine = mine.Delete(d)
	} else {
		mine = mine.Set(d, held{parts, n})
	}
	if mine.Len() == 0 {
		s.machines = s.machines.Delete(id)
	} else {
		s.machines = s.machines.Set(id, mine)
	}
}

func with(list []MachineID, id MachineID) []MachineID {
	at, ok := slices.BinarySearch(list, id)
	if ok {
		return list
	}
	out := make([]MachineID, 0, len(list)+1)
	out = append(append(out, list[:at]...), id)
	return append(out, list[at:]...)
}

func without(list []MachineID, id MachineID) []MachineID {
	at, ok := slices.BinarySearch(list, id)
	if !ok {
		return list
	}
	return append(slices.Clone(list[:at]), list[at+1:]...)
}

// Version grows with every change.
func (s *Snapshot) Version() uint64 { return s.version }

// Holders are the machines that hold a part, in the order of their numbers. The list is
// shared and must not be changed.
func (s *Snapshot) Holders(dataset string, part int) []MachineID {
	ds, ok := s.sets.Get(dataset)
	if !ok || part < 0 || part >= ds.parts {
		return nil
	}
	return ds.holders.Get(part)
}

// Complete are the machines that hold a dataset whole; the same applies.
func (s *Snapshot) Complete(dataset string) []MachineID {
	if ds, ok := s.sets.Get(dataset); ok {
		return ds.whole
	}
	return nil
}

// Has tells whether a machine holds a part.
func (s *Snapshot) Has(m MachineID, dataset string, part int) bool {
	_, ok := slices.BinarySearch(s.Holders(dataset, part), m)
	return ok
}

// Parts are what a machine holds of a dataset; nil: nothing. The bitmap must not be
// changed.
func (s *Snapshot) Parts(m MachineID, dataset string) *roaring.Bitmap {
	if mine, ok := s.machines.Get(m); ok {
		if h, ok := mine.Get(dataset); ok {
			return h.parts
		}
	}
	return nil
}

// Count is the number of a dataset's parts that a machine holds.
func (s *Snapshot) Count(m MachineID, dataset string) int {
	if mine, ok := s.machines.Get(m); ok {
		h, _ := mine.Get(dataset)
		return h.count
	}
	return 0
}

// Known tells whether any machine holds something of a dataset.
func (s *Snapshot) Known(dataset string) bool {
	_, ok := s.sets.Get(dataset)
	return ok
}

// Datasets are those that any machine holds something of, in no order.
func (s *Snapshot) Datasets() []string {
	var out []string
	for itr := s.sets.Iterator(); !itr.Done(); {
		d, _, _ := itr.Next()
		out = append(out, d)
	}
	return out
}
