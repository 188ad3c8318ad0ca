package scheduler

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"switchferry/replicas"
	"switchferry/softstate"
	"switchferry/store"
	"switchferry/tuning"
)

// Two kinds of soft state that a leader learns from its machines are stored periodically as hints for the next leader.
//
// Images: a leader infers which images a machine holds from the tasks that ran on it. Without the hint the next leader
// would assume that no machine holds an image, and on a large fleet hundreds of machines would fetch images again, or
// tasks would wait as if their image had to be fetched.
//
// Replicas: agents list in their heartbeats which parts of datasets they hold, but it takes some seconds until all of
// them have found the new leader. Without the hint tasks would meanwhile be placed on machines whose agents sent the
// first heartbeats, and their inputs would be copied there although other machines hold them.
//
// A hint is stored in parts of machinesPerHint machines each, in the order of the machine names. Machines move between
// parts as others are added and removed, so a machine may be in two parts, which is harmless.

// recordImageUse records that a machine holds a job's image, because a task of the job ran on it. s.mu must be held.
func (s *Scheduler) recordImageUse(machine *machineState, job *jobState) {
	if machine.RecordImage(job.Job.Image, job.Job.ImageGB) {
		s.imagesChanged = true
	}
}

// storeImageHints marks the image hint for writing if it changed and was last marked at least tuning.ImageHintsInterval
// ago. s.mu must be held.
func (s *Scheduler) storeImageHints(now time.Time) {
	if !s.imagesChanged || now.Sub(s.imagesStoredAt) < tuning.ImageHintsInterval {
		return
	}
	s.imagesChanged, s.imagesStoredAt = false, now
	s.storeHintParts(store.ImagesKey)
}

// storeReplicaHints marks the replica hint for writing if it changed and was last marked at least
// tuning.ReplicaHintsInterval ago. s.mu must be held.
func (s *Scheduler) storeReplicaHints(now time.Time) {
	datasets := s.datasets
	if datasets == nil || now.Sub(datasets.hintStoredAt) < tuning.ReplicaHintsInterval {
		return
	}
	version := datasets.index.Snapshot().Version()
	if version == datasets.hintedVersion {
		return
	}
	datasets.hintedVersion, datasets.hintStoredAt = version, now
	s.storeHintParts(store.ReplicasKey)
}

// storeHintParts marks all parts of a hint for writing. The function key returns the key of the part with the given
// number. s.mu must be held.
func (s *Scheduler) storeHintParts(key func(part int) string) {
	perPart := s.machinesPerHint()
	parts := (len(s.machines) + perPart - 1) / perPart
	for part := range parts {
		s.records.MarkDirty(key(part), store.Lazy, nil)
	}
}

// machinesPerHint returns the number of machines in one part of a hint. It is halved if the state service allows only
// small values, so that few images are left out because of the limit.
func (s *Scheduler) machinesPerHint() int {
	if s.settings.Facts.State.Strictest().MaxValueBytes() < tuning.SmallValueBytes {
		return tuning.MaxImagesRecordMachines / 2
	}
	return tuning.MaxImagesRecordMachines
}

// hintPartMachines returns the machines in the hint part with the given key, or nil if there is no such part.
// s.mu must be held.
func (s *Scheduler) hintPartMachines(key, prefix string) []*machineState {
	part, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
	machines, perPart := s.sortedMachines(), s.machinesPerHint()
	if err != nil || part < 0 || part*perPart >= len(machines) {
		return nil
	}
	return machines[part*perPart : min(len(machines), (part+1)*perPart)]
}

// imagesRecord builds the image hint part with the given key. It returns false if there is no such part.
// s.mu must be held.
func (s *Scheduler) imagesRecord(key string) (store.ImagesRecord, bool) {
	machines := s.hintPartMachines(key, store.ImagesPrefix)
	if machines == nil {
		return store.ImagesRecord{}, false
	}
	held := make([]softstate.Machine, len(machines))
	for i, machine := range machines {
		held[i] = softstate.Machine{Name: machine.Name, Images: machine.Images()}
	}
	return softstate.EncodeImages(held, s.settings.Facts.State.Strictest().MaxValueBytes()), true
}

// replicaHintRecord builds the replica hint part with the given key. It returns false if there is no such part or it
// cannot be encoded. s.mu must be held.
func (s *Scheduler) replicaHintRecord(key string) (replicas.Hint, bool) {
	machines := s.hintPartMachines(key, store.ReplicasPrefix)
	if s.datasets == nil || machines == nil {
		return replicas.Hint{}, false
	}
	names := make([]string, len(machines))
	for i, machine := range machines {
		names[i] = machine.Name
	}
	limit := s.settings.Facts.State.Strictest().MaxValueBytes() - tuning.ReplicaHintMarginBytes
	hint, _, err := replicas.EncodeHint(s.datasets.index.Snapshot(), names, s.datasets.planner.ID, limit)
	if err != nil {
		slog.Error("encoding replica hint failed", "err", err)
		return hint, false
	}
	return hint, true
}

// LoadImageHints loads the image hint that an earlier leader stored. A corrupt part is logged and skipped.
func (s *Scheduler) LoadImageHints(items []store.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range items {
		held, err := softstate.DecodeImages(item.Value)
		if err != nil {
			slog.Error("corrupt image hint", "key", item.Key, "err", err)
			continue
		}
		maps.Copy(s.imageHints, held)
	}
}

// restoreImages records the images that a machine holds according to the hint, least recently used first. It is called
// at the machine's first heartbeat in this term. s.mu must be held.
func (s *Scheduler) restoreImages(machine *machineState) {
	images := s.imageHints[machine.Name]
	delete(s.imageHints, machine.Name)
	for _, image := range slices.Backward(images) {
		machine.RecordImage(image.Name, image.GB)
	}
}

// LoadReplicaHints loads the replica hint that an earlier leader stored. A corrupt part is logged and skipped. For a
// limited time tasks may be assigned to machines in the hint as if their agents had sent heartbeats, but no task starts
// there before the agent has sent one.
func (s *Scheduler) LoadReplicaHints(items []store.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.datasets == nil {
		return
	}
	for _, item := range items {
		heldByMachine, err := decodeReplicaHint(item.Value)
		if err != nil {
			slog.Error("corrupt replica hint", "key", item.Key, "err", err)
			continue
		}
		for machine, held := range heldByMachine {
			maps.DeleteFunc(held, func(name string, replica replicas.Replica) bool {
				entry := s.datasets.entries[name]
				return entry == nil || entry.PartCount != replica.PartCount
			})
			s.datasets.planner.ApplyHint(machine, held, s.now())
		}
	}
}

// decodeReplicaHint decodes a replica hint part into a map from machine name to dataset name to replica.
func decodeReplicaHint(value []byte) (map[string]map[string]replicas.Replica, error) {
	var hint replicas.Hint
	if err := json.Unmarshal(value, &hint); err != nil {
		return nil, fmt.Errorf("decoding replica hint: %w", err)
	}
	return hint.Decode()
}
