package controller

import (
	"strings"

	"switchferry/api"
	"switchferry/election"
	"switchferry/scheduler"
	"switchferry/store"
)

// recordSource is what the committer of a term asks for records: the scheduler of the term, and this process where other
// parts of it need to know what is written.
type recordSource struct {
	*scheduler.Scheduler
	controller *Controller
}

// Condition holds while the term lasts; ok is false once it is not certain that it does.
func (s recordSource) Condition() (store.Condition, bool) {
	return termCondition(s.controller.elector, s.Scheduler)
}

// Record returns what is to be written of a key. It has a cancellation stated to the peers before anyone can read its record.
func (s recordSource) Record(key string) (value any, exists bool, more []store.Condition) {
	value, exists, more = s.Scheduler.Record(key)
	if record, ok := value.(store.JobRecord); ok && record.FinalState == api.Cancelled {
		s.controller.leases.watermark.RecordCancellation(s.controller.clock.Now(), record.Job.ID)
	}
	return value, exists, more
}

// Conflict takes in what was found in place of what was to be written; nil: nothing.
func (s recordSource) Conflict(key string, found *store.Item) {
	if strings.HasPrefix(key, store.DatasetPrefix) {
		if entry, err := scheduler.DecodeDataset(found); err == nil {
			s.controller.datasets.cache.add(entry)
		}
	}
	s.Scheduler.Conflict(key, found)
}

// Deposed resigns: another leader's key was found.
func (s recordSource) Deposed() { s.controller.elector.Resign("deposed") }

// termCondition returns the condition on which a record may be written in the term of a scheduler; ok is false once this
// controller does not certainly lead in it.
func termCondition(elector *election.Elector, sched *scheduler.Scheduler) (condition store.Condition, ok bool) {
	term, valid := elector.Term()
	return store.Condition{Key: store.LeaderKey, Revision: sched.Term()}, valid && term == sched.Term()
}
