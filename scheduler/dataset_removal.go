package scheduler

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
	for _, in := range job.inputs {
		cond := store.Condition{Key: store.DatasetKey(in.name)}
		if x := s.datasets.entries[in.name]; x != nil && x.State == dataset.Listed {
			cond.Revision = x.Stamp
		}
		out = append(out, cond)
	}
	return out
}

// datasetFound takes in a dataset's record that is not as a job's acceptance took it to
// be. Jobs that nobody was told of, and that may not name it any more, are dropped: the
// users who wait for them are told why by whoever checks the inputs anew.
func (s *Scheduler) datasetFound(found *store.Item) {
	x, err := DecodeDataset(found)
	if err != nil {
		slog.Error("a dataset's record is damaged", "key", found.Key, "err", err)
		return
	}
	s.addDatasets(x)
	if x.State == dataset.Listed {
		return
	}
	for _, job := range append([]*jobState{}, s.jobOrder...) {
		if !job.accepted && job.usesDataset(x.Name) {
			s.removeJob(job)
			job.notify()
		}
	}
}

func (j *jobState) usesDataset(name string) bool {
	for _, in := range j.inputs {
		if in.name == name {
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
	for _, x := range s.datasets.unlisted {
		if x.State != dataset.Removing || s.datasets.inboxRevision < x.Stamp || s.datasets.removing[x.Name] != "" || s.jobsUsing(x.Name) > 0 {
			continue
		}
		s.datasets.removing[x.Name] = dataset.Removing
		s.hooks.MarkDirty(store.DatasetKey(x.Name), store.Lazy, s.withLock(func() {
			wrote := s.datasets.removing[x.Name]
			delete(s.datasets.removing, x.Name)
			if wrote != dataset.Removed || x.State == dataset.Removed {
				return
			}
			slog.Info("dataset removed", "dataset", x.Name)
			x.State = dataset.Removed
			s.datasets.planner.RemoveDataset(x.Name, x.Manifest.String())
			s.wakePlacer()
		}))
	}
}

// datasetRecord is a dataset's record as the leader writes it: it does so only to remove
// it. More: it must stand as it was when that was decided.
func (s *Scheduler) datasetRecord(name string) (rec dataset.Entry, exists bool, more []store.Condition) {
	if s.datasets == nil || s.datasets.unlisted[name] == nil {
		return rec, false, nil
	}
	rec = *s.datasets.unlisted[name]
	more = []store.Condition{{Key: store.DatasetKey(name), Revision: rec.Stamp}}
	if s.jobsUsing(name) == 0 {
		rec.State = dataset.Removed
	}
	s.datasets.removing[name] = rec.State
	return rec, true, more
}
