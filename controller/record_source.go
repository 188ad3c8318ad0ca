package controller

import (
	"strings"

	"switchferry/api"
	"switchferry/election"
	"switchferry/scheduler"
	"switchferry/store"
)

// recordSource provides the committer of a term with records. It delegates to the scheduler of the term, and informs
// other components of this process of what is written.
type recordSource struct {
	*scheduler.Scheduler
	controller *Controller
}

// Condition returns a condition that holds while the term lasts; ok is false once the term may have ended.
func (s recordSource) Condition() (store.Condition, bool) {
	return termCondition(s.controller.elector, s.Scheduler)
}

// Record returns the value to write under a key. It announces a cancellation to the peers before anyone can read its
// record.
func (s recordSource) Record(key string) (value any, exists bool, conditions []store.Condition) {
	value, exists, conditions = s.Scheduler.Record(key)
	if record, ok := value.(store.JobRecord); ok && record.FinalState == api.Cancelled {
		s.controller.leases.watermark.RecordCancellation(s.controller.clock.Now(), record.Job.ID)
	}
	return value, exists, conditions
}

// Conflict handles a write that failed because a key holds another record than its condition expected. Found is that
// record.
func (s recordSource) Conflict(key string, found *store.Item) {
	if strings.HasPrefix(key, store.DatasetPrefix) {
		if entry, err := scheduler.DecodeDataset(found); err == nil {
			s.controller.datasets.cache.add(entry)
		}
	}
	s.Scheduler.Conflict(key, found)
}

// Deposed resigns the leadership after another leader's key was found.
func (s recordSource) Deposed() { s.controller.elector.Resign("deposed") }

// termCondition returns the condition under which records may be written in the term of a scheduler. Ok is false unless
// this controller certainly leads in that term.
func termCondition(elector *election.Elector, sched *scheduler.Scheduler) (condition store.Condition, ok bool) {
	term, valid := elector.Term()
	return store.Condition{Key: store.LeaderKey, Revision: sched.Term()}, valid && term == sched.Term()
}
