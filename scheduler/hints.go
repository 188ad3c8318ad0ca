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

// Two things that a leader learns from its machines over time are stored now and then as hints for the next leader.
//
// Images: a leader infers which images a machine holds from what ran on it. Without the hint the next leader would see
// no holders, and on a large fleet each of hundreds of machines would fetch images again, or wait as if it had to.
//
// Replicas: agents report what they hold of datasets, but it takes some seconds until all have found the new leader.
// Tasks would meanwhile be given to machines whose agents reported first, and their inputs copied there although other
// machines hold them.
//
// A hint is stored in parts of machinesPerHint machines each, in the order of their names. As machines come and go the
// parts shift, and a machine may be in two parts, which does no harm.

// recordImageUse notes that a machine holds a job's image, as a task of the job ran on it. s.mu must be held.
func (s *Scheduler) recordImageUse(machine *machineState, job *jobState) {
	if machine.RecordImage(job.Job.Image, job.Job.ImageGB) {
		s.imagesChanged = true
	}
}

// storeImageHints has the hint of images stored if it changed and the last one is old enough. s.mu must be held.
func (s *Scheduler) storeImageHints(now time.Time) {
	if !s.imagesChanged || now.Sub(s.imagesStoredAt) < tuning.ImagesEvery {
		return
	}
	s.imagesChanged, s.imagesStoredAt = false, now
	s.storeHintParts(store.ImagesKey)
}

// storeReplicaHints has the hint of replicas stored if it changed and the last one is old enough. s.mu must be held.
func (s *Scheduler) storeReplicaHints(now time.Time) {
	datasets := s.datasets
	if datasets == nil || now.Sub(datasets.hintStoredAt) < tuning.ReplicaHintsEvery {
		return
	}
	version := datasets.index.Snapshot().Version()
	if version == datasets.hintedVersion {
		return
	}
	datasets.hintedVersion, datasets.hintStoredAt = version, now
	s.storeHintParts(store.ReplicasKey)
}

// storeHintParts has all parts of a hint stored. Key returns the key of the part of some number. s.mu must be held.
func (s *Scheduler) storeHintParts(key func(part int) string) {
	perPart := s.machinesPerHint()
	parts := (len(s.machines) + perPart - 1) / perPart
	for part := range parts {
		s.hooks.MarkDirty(key(part), store.Lazy, nil)
	}
}

// machinesPerHint returns how many machines are in one part of a hint: half as many where values are small, so that
// little is lost of what does not fit.
func (s *Scheduler) machinesPerHint() int {
	if s.settings.Facts.State.Least().ValueBytes() < tuning.ImagesBytes {
		return tuning.ImagesMachines / 2
	}
	return tuning.ImagesMachines
}

// hintPartMachines returns the machines in the part of a hint that has such a key, or none if there is no such part.
// s.mu must be held.
func (s *Scheduler) hintPartMachines(key, prefix string) []*machineState {
	part, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
	machines, perPart := s.sortedMachines(), s.machinesPerHint()
	if err != nil || part < 0 || part*perPart >= len(machines) {
		return nil
	}
	return machines[part*perPart : min(len(machines), (part+1)*perPart)]
}

// imagesRecord builds the part of the hint of images that has such a key. It returns false if there is no such part.
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
	return softstate.EncodeImages(held, s.settings.Facts.State.Least().ValueBytes()), true
}

// replicaHintRecord builds the part of the hint of replicas that has such a key. It returns false if there is no such
// part. s.mu must be held.
func (s *Scheduler) replicaHintRecord(key string) (replicas.Hint, bool) {
	machines := s.hintPartMachines(key, store.ReplicasPrefix)
	if s.datasets == nil || machines == nil {
		return replicas.Hint{}, false
	}
	names := make([]string, len(machines))
	for i, machine := range machines {
		names[i] = machine.Name
	}
	limit := s.settings.Facts.State.Least().ValueBytes() - tuning.ReplicaHintMargin
	hint, _, err := replicas.EncodeHint(s.datasets.index.Snapshot(), names, s.datasets.planner.ID, limit)
	if err != nil {
		slog.Error("encoding replica hint failed", "err", err)
		return hint, false
	}
	return hint, true
}

// LoadImageHints reads the hint of images that an earlier leader stored. A corrupt part is logged and left out.
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

// restoreImages gives a machine that sends its first heartbeat in this term the images that it holds by the hint, the
// one used least recently first. s.mu must be held.
func (s *Scheduler) restoreImages(machine *machineState) {
	images := s.imageHints[machine.Name]
	delete(s.imageHints, machine.Name)
	for _, image := range slices.Backward(images) {
		machine.RecordImage(image.Name, image.GB)
	}
}

// LoadReplicaHints reads the hint of replicas that an earlier leader stored. A corrupt part is logged and left out.
// Machines that the hint names may be chosen for a while as if their agents had reported, but nothing starts on them
// before they have.
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
				return entry == nil || entry.Parts != replica.Of
			})
			s.datasets.planner.ApplyHint(machine, held, s.now())
		}
	}
}

// decodeReplicaHint decodes a part of the hint of replicas into what each machine holds of each dataset.
func decodeReplicaHint(value []byte) (map[string]map[string]replicas.Replica, error) {
	var hint replicas.Hint
	if err := json.Unmarshal(value, &hint); err != nil {
		return nil, fmt.Errorf("decoding the hint: %w", err)
	}
	return hint.Decode()
}
