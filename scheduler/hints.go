package scheduler

import (
	"encoding/json"
	"log/slog"
	"maps"
	"strconv"
	"strings"
	"time"

	"switchferry/replicas"
	"switchferry/softstate"
	"switchferry/store"
	"switchferry/tuning"
)

// A leader infers the images that machines hold from what ran on them. The next
// leader would begin without that, would see no holders, and on a large fleet
// each of hundreds of machines would fetch again or wait as if it had to. So what
// is known is put on record now and then, as a hint.

// recordImageUse notes that a task ran on a machine.
func (s *Scheduler) recordImageUse(machine *machineState, job *jobState) {
	if machine.RecordImage(job.Job.Image, job.Job.ImageGB) {
		s.imagesChanged = true
	}
}

// storeImageHints asks for the images to be stored if something is new.
func (s *Scheduler) storeImageHints(now time.Time) {
	if !s.imagesChanged || now.Sub(s.imagesStoredAt) < tuning.ImagesEvery {
		return
	}
	s.imagesChanged, s.imagesStoredAt = false, now
	for i := range s.hintParts() {
		s.hooks.MarkDirty(store.ImagesKey(i), store.Lazy, nil)
	}
}

// machinesPerHint is how many machines stand in one such record: half as many where values are
// small, so that what does not fit into a small one is little.
func (s *Scheduler) machinesPerHint() int {
	if s.settings.Facts.State.Least().ValueBytes() < tuning.ImagesBytes {
		return tuning.ImagesMachines / 2
	}
	return tuning.ImagesMachines
}

// hintParts is how many records there are, of so many machines each, of what machines
// hold.
func (s *Scheduler) hintParts() int {
	return (len(s.machines) + s.machinesPerHint() - 1) / s.machinesPerHint()
}

// hintPartMachines are the machines of one such record, by its key; none: there is no such part.
func (s *Scheduler) hintPartMachines(key, prefix string) []*machineState {
	part, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
	ms, n := s.sortedMachines(), s.machinesPerHint()
	if err != nil || part < 0 || part*n >= len(ms) {
		return nil
	}
	return ms[part*n : min(len(ms), (part+1)*n)]
}

// imagesRecord is one part of the record. The parts are cut by the machines'
// order, which shifts as machines come and go; one that stands in two parts does
// no harm.
func (s *Scheduler) imagesRecord(key string) (store.ImagesRecord, bool) {
	ms := s.hintPartMachines(key, store.ImagesPrefix)
	if ms == nil {
		return store.ImagesRecord{}, false
	}
	held := make([]softstate.Machine, len(ms))
	for i, machine := range ms {
		held[i] = softstate.Machine{Name: machine.Name, Images: machine.Images()}
	}
	return softstate.EncodeImages(held, s.settings.Facts.State.Least().ValueBytes()), true
}

// LoadImageHints takes in what an earlier leader knew of images.
func (s *Scheduler) LoadImageHints(items []store.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range items {
		held, err := softstate.DecodeImages(it.Value)
		if err != nil {
			slog.Error("a record of images is damaged", "key", it.Key, "err", err)
			continue
		}
		maps.Copy(s.imageHints, held)
	}
}

// restoreImages gives a machine that reports for the first time in this term the images
// that it held before, unless it began anew since.
func (s *Scheduler) restoreImages(machine *machineState) {
	images := s.imageHints[machine.Name]
	delete(s.imageHints, machine.Name)
	for i := len(images) - 1; i >= 0; i-- {
		machine.RecordImage(images[i].Name, images[i].GB)
	}
}

// Agents tell a new leader what they hold, but it takes some seconds until all have found
// it. Tasks would meanwhile be given to the machines that were heard first, and their
// inputs copied there though others hold them. So who holds what is put on record now and
// then, packed, as with images.

// storeReplicaHints asks for who holds what to be stored, if that changed.
func (s *Scheduler) storeReplicaHints(now time.Time) {
	d := s.datasets
	if d == nil || now.Sub(d.hintStoredAt) < tuning.HoldsEvery || d.index.Snapshot().Version() == d.hintedVersion {
		return
	}
	d.hintedVersion, d.hintStoredAt = d.index.Snapshot().Version(), now
	for i := range s.hintParts() {
		s.hooks.MarkDirty(store.ReplicasKey(i), store.Lazy, nil)
	}
}

// replicaHintRecord is one part of that record.
func (s *Scheduler) replicaHintRecord(key string) (replicas.Hint, bool) {
	ms := s.hintPartMachines(key, store.ReplicasPrefix)
	if s.datasets == nil || ms == nil {
		return replicas.Hint{}, false
	}
	var names []string
	for _, machine := range ms {
		names = append(names, machine.Name)
	}
	h, _, err := replicas.EncodeHint(s.datasets.index.Snapshot(), names, s.datasets.planner.ID, s.settings.Facts.State.Least().ValueBytes()-tuning.HoldsMargin)
	if err != nil {
		slog.Error("holdings not packed", "err", err)
		return h, false
	}
	return h, true
}

// LoadReplicaHints takes in what an earlier leader knew of who holds what. Machines that it
// names may be chosen for a while as if their agents had been heard; nothing starts there
// before they are.
func (s *Scheduler) LoadReplicaHints(items []store.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.datasets == nil {
		return
	}
	for _, it := range items {
		var h replicas.Hint
		err := json.Unmarshal(it.Value, &h)
		var all map[string]map[string]replicas.Replica
		if err == nil {
			all, err = h.Decode()
		}
		if err != nil {
			slog.Error("a record of holdings is damaged", "key", it.Key, "err", err)
			continue
		}
		for name, holds := range all {
			for d := range holds {
				if entry := s.datasets.entries[d]; entry == nil || entry.Parts != holds[d].Of {
					delete(holds, d)
				}
			}
			s.datasets.planner.ApplyHint(name, holds, s.now())
		}
	}
}
