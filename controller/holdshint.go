package controller

import (
	"encoding/json"
	"log/slog"
	"time"

	"switchferry/replicas"
	"switchferry/store"
	"switchferry/tuning"
)

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
// compareJobs they are.
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
