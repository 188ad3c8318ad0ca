package controller

import (
	"log/slog"

	"switchferry/dataset"
	"switchferry/store"
)

// A dataset is removed in two steps, each a change of its record. First it is no longer
// listed: whoever accepts a job does so on condition that the records of its datasets
// stand as they were read, so no job comes to need it from then on. Those accepted before
// run as ever. Once none is left, which only a leader can tell that knows all that
// siblings accepted until the first step, it is removed, and agents let its bytes go.

// inputConditions are the conditions under which a job with these inputs may be accepted. They
// cannot hold for one that is not known, or no longer listed.
func (s *Scheduler) inputConditions(job *jobState) (out []store.Condition) {
	if s.datasets == nil {
		return nil
	}
	for _, jobInput := range job.inputs {
		condition := store.Condition{Key: store.DatasetKey(jobInput.name)}
		if entry := s.datasets.entries[jobInput.name]; entry != nil && entry.State == dataset.Listed {
			condition.Revision = entry.Stamp
		}
		out = append(out, condition)
	}
	return out
}

// datasetFound takes in a dataset's record that is not as a job's acceptance took it to
// be. Jobs that nobody was told of, and that may not name it any more, are dropped: the
// users who wait for them are told why by whoever checks the inputs anew.
func (s *Scheduler) datasetFound(found *store.Item) {
	entry, err := DecodeDataset(found)
	if err != nil {
		slog.Error("a dataset's record is damaged", "key", found.Key, "err", err)
		return
	}
	s.addDatasets(entry)
	if entry.State == dataset.Listed {
		return
	}
	for _, job := range append([]*jobState{}, s.jobOrder...) {
		if !job.accepted && job.usesDataset(entry.Name) {
			s.removeJob(job)
			job.notify()
		}
	}
}

func (j *jobState) usesDataset(name string) bool {
	for _, jobInput := range j.inputs {
		if jobInput.name == name {
			return true
		}
	}
	return false
}

// InboxSeen notes up to which revision the jobs are known that siblings accepted.
func (s *Scheduler) InboxSeen(epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.datasets != nil {
		s.datasets.inboxRevision = max(s.datasets.inboxRevision, epoch)
	}
}

// jobsUsing counts the jobs that need a dataset.
func (s *Scheduler) jobsUsing(name string) (n int) {
	for _, job := range s.jobOrder {
		if job.usesDataset(name) {
			n++
		}
	}
	return n
}

// JobsUsing counts the jobs that need a dataset.
func (s *Scheduler) JobsUsing(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobsUsing(name)
}

// finishRemovals records datasets as removed that nothing needs any more. A job whose
// acceptance is not certain counts: it may stand on record.
func (s *Scheduler) finishRemovals() {
	if s.datasets == nil {
		return
	}
	for _, entry := range s.datasets.unlisted {
		if entry.State != dataset.Removing || s.datasets.inboxRevision < entry.Stamp || s.datasets.removing[entry.Name] != "" || s.jobsUsing(entry.Name) > 0 {
			continue
		}
		s.datasets.removing[entry.Name] = dataset.Removing
		s.hooks.MarkDirty(store.DatasetKey(entry.Name), store.Lazy, s.withLock(func() {
			written := s.datasets.removing[entry.Name]
			delete(s.datasets.removing, entry.Name)
			if written != dataset.Removed || entry.State == dataset.Removed {
				return
			}
			slog.Info("dataset removed", "dataset", entry.Name)
			entry.State = dataset.Removed
			s.datasets.planner.RemoveDataset(entry.Name, entry.Manifest.String())
			s.wakePlacer()
		}))
	}
}

// datasetRecord is a dataset's record as the leader writes it: it does so only to remove
// it. More: it must stand as it was when that was decided.
func (s *Scheduler) datasetRecord(name string) (record dataset.Entry, exists bool, conditions []store.Condition) {
	if s.datasets == nil || s.datasets.unlisted[name] == nil {
		return record, false, nil
	}
	record = *s.datasets.unlisted[name]
	conditions = []store.Condition{{Key: store.DatasetKey(name), Revision: record.Stamp}}
	if s.jobsUsing(name) == 0 {
		record.State = dataset.Removed
	}
	s.datasets.removing[name] = record.State
	return record, true, conditions
}
