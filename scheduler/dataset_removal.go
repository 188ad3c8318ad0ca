package scheduler

import (
	"log/slog"
	"slices"

	"switchferry/dataset"
	"switchferry/store"
)

// A dataset is removed in two steps, each of which is a change of its record. First it is unlisted. As a job is accepted
// only on condition that the records of its datasets are as they were read, no job comes to need the dataset from then
// on. Jobs that were accepted before run as ever. Once none of them is left, the dataset is removed, and agents delete
// its bytes. Only the leader can tell that none is left, once it knows all jobs that peers accepted until the first step.

// inputConditions returns the conditions under which a job with such inputs may be accepted. They cannot hold if a
// dataset is not known or no longer listed. s.mu must be held.
func (s *Scheduler) inputConditions(job *jobState) []store.Condition {
	if s.datasets == nil {
		return nil
	}
	var conditions []store.Condition
	for _, jobInput := range job.inputs {
		condition := store.Condition{Key: store.DatasetKey(jobInput.name)}
		if entry := s.datasets.entries[jobInput.name]; entry != nil && entry.State == dataset.Listed {
			condition.Revision = entry.Stamp
		}
		conditions = append(conditions, condition)
	}
	return conditions
}

// adoptDatasetRecord adopts a dataset's record that differs from what the acceptance of a job was conditional on. Jobs
// that are not accepted yet, and that must not name the dataset any more, are dropped: the requests that wait for them
// check the inputs again and answer with the reason. s.mu must be held.
func (s *Scheduler) adoptDatasetRecord(found *store.Item) {
	entry, err := DecodeDataset(found)
	if err != nil {
		slog.Error("corrupt dataset record", "key", found.Key, "err", err)
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

// usesDataset reports whether the job needs a dataset. Scheduler.mu must be held.
func (j *jobState) usesDataset(name string) bool {
	return slices.ContainsFunc(j.inputs, func(jobInput input) bool { return jobInput.name == name })
}

// InboxSeen notes that all jobs are known that peers accepted up to a revision of the state service.
func (s *Scheduler) InboxSeen(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.datasets != nil {
		s.datasets.inboxRevision = max(s.datasets.inboxRevision, revision)
	}
}

// JobsUsing counts the jobs that need a dataset.
func (s *Scheduler) JobsUsing(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobsUsing(name)
}

// jobsUsing counts the jobs that need a dataset. s.mu must be held.
func (s *Scheduler) jobsUsing(name string) int {
	count := 0
	for _, job := range s.jobOrder {
		if job.usesDataset(name) {
			count++
		}
	}
	return count
}

// finishRemovals has the unlisted datasets that nothing needs any more recorded as removed. A job whose acceptance is
// not certain counts, as it may be on record. s.mu must be held.
func (s *Scheduler) finishRemovals() {
	if s.datasets == nil {
		return
	}
	for _, entry := range s.datasets.unlisted {
		if s.removable(entry) {
			s.datasets.removing[entry.Name] = dataset.Removing
			s.hooks.MarkDirty(store.DatasetKey(entry.Name), store.Lazy, s.withLock(func() { s.removalStored(entry) }))
		}
	}
}

// removable reports whether a dataset's removal is to be written now. s.mu must be held.
func (s *Scheduler) removable(entry *dataset.Entry) bool {
	return entry.State == dataset.Removing && s.datasets.inboxRevision >= entry.Stamp &&
		s.datasets.removing[entry.Name] == "" && s.jobsUsing(entry.Name) == 0
}

// removalStored is called once datasetRecord's record of a dataset is stored. It is that of a removal unless a job came
// to need the dataset meanwhile. s.mu must be held.
func (s *Scheduler) removalStored(entry *dataset.Entry) {
	written := s.datasets.removing[entry.Name]
	delete(s.datasets.removing, entry.Name)
	if written != dataset.Removed || entry.State == dataset.Removed {
		return
	}
	slog.Info("dataset removed", "dataset", entry.Name)
	entry.State = dataset.Removed
	s.datasets.planner.RemoveDataset(entry.Name, entry.Manifest.String())
	s.wakePlacer()
}

// datasetRecord builds a dataset's record. The leader writes one only to remove a dataset, on condition that the record
// is as it was when that was decided. s.mu must be held.
func (s *Scheduler) datasetRecord(name string) recordContent {
	if s.datasets == nil || s.datasets.unlisted[name] == nil {
		return recordContent{}
	}
	record := *s.datasets.unlisted[name]
	unchanged := store.Condition{Key: store.DatasetKey(name), Revision: record.Stamp}
	if s.jobsUsing(name) == 0 {
		record.State = dataset.Removed
	}
	s.datasets.removing[name] = record.State
	return recordContent{value: record, exists: true, conditions: []store.Condition{unchanged}}
}
