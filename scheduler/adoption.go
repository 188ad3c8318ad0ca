package scheduler

import (
	"log/slog"
	"strings"
	"time"

	"switchferry/invariant"
	"switchferry/store"
)

// Adoption is the outcome of AdoptJob: whether a job's record was adopted and, if not, why.
type Adoption string

// The possible outcomes of AdoptJob.
const (
	// Adopted means that the job was added to the scheduler's memory.
	Adopted Adoption = "adopted"
	// AlreadyInMemory means that the job was accepted before. The state in memory is newer than any record.
	AlreadyInMemory Adoption = "already in memory"
	// JobEnded means that the job reached a terminal state before the record could be adopted.
	JobEnded Adoption = "the job is over"
	// ReadOutdated means that the read was sent so long ago that the job may have been archived since without this
	// term remembering it. The record must be read again.
	ReadOutdated Adoption = "read too long ago"
	// RecordDamaged means that a record of the job could not be read, so none of its tasks may be started.
	RecordDamaged Adoption = "a record of the job is damaged"
	// RecordsNotLoaded means that this term has not loaded the records yet.
	RecordsNotLoaded Adoption = "records not loaded"
)

// adoptionFacts is what a term knows about a job when a record of the job arrives that was read without holding the
// scheduler's lock.
type adoptionFacts struct {
	loaded, damaged bool
	// accepted is true if the job is in memory and its record is known to be stored.
	accepted bool
	// terminal is true if the term remembers that the job reached a terminal state.
	terminal bool
	// archivedCovered is true if the term remembers every job that it archived since the read was sent.
	archivedCovered bool
}

// decideAdoption decides whether a record is adopted. A job that is not in memory is either new or was archived after
// the record was read. Only the list of recently archived jobs distinguishes the two cases.
func decideAdoption(facts adoptionFacts) Adoption {
	switch {
	case !facts.loaded:
		return RecordsNotLoaded
	case facts.damaged:
		return RecordDamaged
	case facts.accepted:
		return AlreadyInMemory
	case facts.terminal:
		return JobEnded
	case !facts.archivedCovered:
		return ReadOutdated
	}
	return Adopted
}

// AdoptJob adopts the record of a job that another controller accepted, and returns the outcome. The record was read
// from the state service by a call sent at sentAt, and the job may have ended since. Every reader of job records in a
// term calls AdoptJob, except the committer, which executes its reads and writes one after the other.
func (s *Scheduler) AdoptJob(item *store.Item, sentAt time.Time) Adoption {
	id := strings.TrimPrefix(item.Key, store.JobPrefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome := decideAdoption(s.adoptionFacts(id, sentAt))
	switch outcome {
	case Adopted:
		s.records.SetRevision(item.Key, item.Revision)
		s.adoptJobRecord(id, item)
	case JobEnded, ReadOutdated:
		s.checkOutdatedRecord(id, item, sentAt)
		slog.Info("record not adopted", "job", id, "why", string(outcome), "term", s.term, "revision", item.Revision, "read_ago", s.since(sentAt))
	}
	return outcome
}

// adoptionFacts returns what this term knows about a job whose record was read by a call sent at sentAt. s.mu must be
// held.
func (s *Scheduler) adoptionFacts(id string, sentAt time.Time) adoptionFacts {
	job := s.jobs[id]
	return adoptionFacts{
		loaded:          s.loaded,
		damaged:         s.damagedJobs[id],
		accepted:        job != nil && job.accepted,
		terminal:        s.remembersTerminalState(id),
		archivedCovered: s.archived.covers(sentAt),
	}
}

// remembersTerminalState reports whether this term remembers that a job reached a terminal state. s.mu must be held.
func (s *Scheduler) remembersTerminalState(id string) bool {
	_, archived := s.archived.at(id)
	_, terminal := s.terminalStates.Get(id)
	return archived || terminal
}

// checkOutdatedRecord reports an invariant violation if a record without a terminal state was read after the job had
// been archived. Jobs with dependencies are exempt: a job that was cancelled because a dependency was cancelled has no
// terminal state in its record until the record is deleted. s.mu must be held.
func (s *Scheduler) checkOutdatedRecord(id string, item *store.Item, sentAt time.Time) {
	archivedAt, archived := s.archived.at(id)
	if !archived || !sentAt.After(archivedAt) {
		return
	}
	if record, err := decodeJobRecord(id, item.Value); err == nil && record.FinalState == "" && len(record.Job.Awaits) == 0 {
		invariant.Violated("an archived job has no record without terminal state", "job", id, "term", s.term,
			"revision", item.Revision, "read_at", sentAt, "archived_at", archivedAt)
	}
}

// adoptFinalRecord applies the final record of a job that is in memory. A job that is not accepted yet reached its
// terminal state before, and is removed. For an accepted job, the state in the final record was reported to users, so
// it overrides the state in memory. s.mu must be held.
func (s *Scheduler) adoptFinalRecord(id string, item *store.Item) {
	final, err := decodeFinalRecord(item)
	job := s.jobs[id]
	switch {
	case err != nil:
		slog.Error("corrupt final record", "key", item.Key, "err", err)
	case job == nil:
	case job.accepted:
		s.reconcileFinalRecord(job, final)
	default:
		s.removeJob(job)
		s.archived.add(id, s.now())
		s.terminalStates.Remember(id, final)
		job.notify()
		s.dependencies.onTerminal(id, final.State)
	}
}

// reconcileFinalRecord applies the final record of an accepted job. Usually this leader wrote the record itself but did
// not receive the response. If the job has no terminal state in memory, or a different one, an invariant violation is
// reported, the job takes the recorded state and its tasks are stopped. s.mu must be held.
func (s *Scheduler) reconcileFinalRecord(job *jobState, final store.FinalRecord) {
	job.finalRecord = &final
	if job.FinalState == final.State {
		return
	}
	invariant.Violated("a final record does not change and ends its job", "job", job.id, "term", s.term, "on_record", final.State,
		"in_memory", job.FinalState, "in_memory_stored", job.terminalStored)
	job.setTerminal(s, final.State)
	for _, alloc := range job.allocations {
		s.stopTask(alloc, 0, "job is over")
	}
	s.onTerminalStored(job)
}
