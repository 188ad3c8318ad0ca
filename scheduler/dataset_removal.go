package scheduler

import (
	"log/slog"
	"slices"

	"switchferry/dataset"
	"switchferry/store"
)

// A dataset is removed in two steps, each of which updates its record. First it is unlisted. A job is accepted only on
// the condition that the records of its datasets have not changed since they were read, so no new job can use the
// dataset from then on. Jobs that were accepted earlier run normally. Once none of them is left, the dataset is marked
// as removed and agents delete its bytes. Only the leader can determine that none is left, and only when it knows every
// job that peers accepted before the dataset was unlisted.

// inputConditions returns the store conditions under which a job with inputs may be accepted. They cannot hold if one of
// its datasets is unknown or no longer listed. s.mu must be held.
func (s *Scheduler) inputConditions(job *jobState) []store.Condition {
	if s.datasets == nil {
		return nil
	}
	var conditions []store.Condition
	for _, jobInput := range job.inputs {
		condition := store.Condition{Key: store.DatasetKey(jobInput.name)}
		if entry := s.datasets.entries[jobInput.name]; entry != nil && entry.State == dataset.Listed {
			condition.Revision = entry.Revision
		}
		conditions = append(conditions, condition)
	}
	return conditions
}

// adoptDatasetRecord adopts a dataset's record that made a conditional write fail. If the dataset is no longer listed,
// it removes the jobs that use it and are not accepted yet. The requests that wait for these jobs then check the inputs
// again and return the reason. s.mu must be held.
func (s *Scheduler) adoptDatasetRecord(item *store.Item) {
	entry, err := DecodeDataset(item)
	if err != nil {
		slog.Error("corrupt dataset record", "key", item.Key, "err", err)
		return
	}
	s.addDatasets(entry)
	if entry.State == dataset.Listed {
		return
	}
	for _, job := range slices.Clone(s.jobOrder) {
		if !job.accepted && job.usesDataset(entry.Name) {
			s.removeJob(job)
			job.notify()
		}
	}
}

// usesDataset reports whether a dataset is among the job's inputs. Scheduler.mu must be held.
func (j *jobState) usesDataset(name string) bool {
	return slices.ContainsFunc(j.inputs, func(jobInput input) bool { return jobInput.name == name })
}

// InboxSeen records that every job that peers accepted up to a revision of the state service is known.
func (s *Scheduler) InboxSeen(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.datasets != nil {
		s.datasets.inboxRevision = max(s.datasets.inboxRevision, revision)
	}
}

// JobsUsing returns the number of known jobs that have a dataset as an input.
func (s *Scheduler) JobsUsing(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobsUsing(name)
}

// jobsUsing is JobsUsing with s.mu held.
func (s *Scheduler) jobsUsing(name string) int {
	count := 0
	for _, job := range s.jobOrder {
		if job.usesDataset(name) {
			count++
		}
	}
	return count
}

// finishRemovals schedules the records of unlisted datasets that no job uses to be written as removed. A job whose
// acceptance is uncertain counts as a user, because its record may have been stored. s.mu must be held.
func (s *Scheduler) finishRemovals() {
	if s.datasets == nil {
		return
	}
	for _, entry := range s.datasets.unlisted {
		if s.removable(entry) {
			s.datasets.removing[entry.Name] = dataset.Removing
			s.records.MarkDirty(store.DatasetKey(entry.Name), store.Lazy, s.withLock(func() { s.removalStored(entry) }))
		}
	}
}

// removable reports whether a dataset can now be recorded as removed: it is being removed, all jobs accepted before it
// was unlisted are known, no write is in progress, and no job uses it. s.mu must be held.
func (s *Scheduler) removable(entry *dataset.Entry) bool {
	return entry.State == dataset.Removing && s.datasets.inboxRevision >= entry.Revision &&
		s.datasets.removing[entry.Name] == "" && s.jobsUsing(entry.Name) == 0
}

// removalStored is called once the record that datasetRecord built for a dataset is stored. The record does not state
// the removal if a job that uses the dataset became known before the record was built. s.mu must be held.
func (s *Scheduler) removalStored(entry *dataset.Entry) {
	writtenState := s.datasets.removing[entry.Name]
	delete(s.datasets.removing, entry.Name)
	if writtenState != dataset.Removed || entry.State == dataset.Removed {
		return
	}
	slog.Info("dataset removed", "dataset", entry.Name)
	entry.State = dataset.Removed
	s.datasets.planner.RemoveDataset(entry.Name, entry.ManifestDigest.String())
	s.wakePlacer()
}

// datasetRecord builds a dataset's record. The leader writes one only to remove a dataset, on the condition that the
// stored record has not changed since the leader read it. s.mu must be held.
func (s *Scheduler) datasetRecord(name string) recordContent {
	if s.datasets == nil || s.datasets.unlisted[name] == nil {
		return recordContent{}
	}
	record := *s.datasets.unlisted[name]
	unchanged := store.Condition{Key: store.DatasetKey(name), Revision: record.Revision}
	if s.jobsUsing(name) == 0 {
		record.State = dataset.Removed
	}
	s.datasets.removing[name] = record.State
	return recordContent{value: record, exists: true, conditions: []store.Condition{unchanged}}
}
