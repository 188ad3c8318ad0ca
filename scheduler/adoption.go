package scheduler

import (
	"log/slog"
	"strings"
	"time"

	"switchferry/invariant"
	"switchferry/store"
)

// Adoption says what became of a job's record that was read for the leader, and why.
type Adoption string

// Outcomes of AdoptJob.
const (
	// Adopted: the job is in memory from now on.
	Adopted Adoption = "adopted"
	// AlreadyInMemory: the job was accepted before, and what is in memory is newer than any record.
	AlreadyInMemory Adoption = "already in memory"
	// JobEnded: the job is over, and was so before the record could be adopted.
	JobEnded Adoption = "the job is over"
	// ReadOutdated: the read was sent so long ago that the job may be over without this term remembering it. It has to be
	// read again.
	ReadOutdated Adoption = "read too long ago"
	// RecordDamaged: a record of the job could not be read, so nothing of it may be started.
	RecordDamaged Adoption = "a record of the job is damaged"
	// RecordsNotLoaded: the term has not read the records yet.
	RecordsNotLoaded Adoption = "records not loaded"
)

// adoptionFacts are what a term knows of a job when a record of it arrives that was read without the scheduler's lock.
type adoptionFacts struct {
	loaded, damaged bool
	// accepted: the job is in memory, and its record is known to be stored.
	accepted bool
	// ended: the term remembers that the job is over.
	ended bool
	// covered: the term remembers every job that it archived since the read was sent.
	covered bool
}

// decideAdoption decides whether a record is adopted. A job that is not in memory is new, or was archived since the
// record was read; only the memory of archived jobs tells these apart.
func decideAdoption(facts adoptionFacts) Adoption {
	switch {
	case !facts.loaded:
		return RecordsNotLoaded
	case facts.damaged:
		return RecordDamaged
	case facts.accepted:
		return AlreadyInMemory
	case facts.ended:
		return JobEnded
	case !facts.covered:
		return ReadOutdated
	}
	return Adopted
}

// AdoptJob adopts the record of a job that another controller accepted. It was read from the state service by a call that
// was sent at the given time, and the job may have ended since. All who read job records for a term call it, but for the
// committer, whose reads and writes follow each other.
func (s *Scheduler) AdoptJob(found *store.Item, sentAt time.Time) Adoption {
	id := strings.TrimPrefix(found.Key, store.JobPrefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome := decideAdoption(s.adoptionFacts(id, sentAt))
	switch outcome {
	case Adopted:
		s.records.SetRevision(found.Key, found.Revision)
		s.adoptJobRecord(id, found)
	case JobEnded, ReadOutdated:
		s.checkOutdatedRecord(id, found, sentAt)
		slog.Info("record not adopted", "job", id, "why", string(outcome), "term", s.term, "revision", found.Revision, "read_ago", s.since(sentAt))
	}
	return outcome
}

// adoptionFacts returns what this term knows of a job whose record was read by a call sent at the given time. s.mu must be
// held.
func (s *Scheduler) adoptionFacts(id string, sentAt time.Time) adoptionFacts {
	job := s.jobs[id]
	return adoptionFacts{
		loaded:   s.loaded,
		damaged:  s.damagedJobs[id],
		accepted: job != nil && job.accepted,
		ended:    s.knowsEnd(id),
		covered:  s.archived.covers(sentAt),
	}
}

// knowsEnd reports whether this term remembers that a job is over. s.mu must be held.
func (s *Scheduler) knowsEnd(id string) bool {
	_, archived := s.archived.at(id)
	_, terminal := s.terminalStates.Get(id)
	return archived || terminal
}

// checkOutdatedRecord reports a record without a terminal state that was read after the job had been archived. That of a
// job that was cancelled with a dependency stays without one until it is deleted. s.mu must be held.
func (s *Scheduler) checkOutdatedRecord(id string, found *store.Item, sentAt time.Time) {
	archivedAt, archived := s.archived.at(id)
	if !archived || !sentAt.After(archivedAt) {
		return
	}
	if record, err := decodeJobRecord(id, found.Value); err == nil && record.FinalState == "" && len(record.Job.Awaits) == 0 {
		invariant.Violated("an archived job has no record without terminal state", "job", id, "term", s.term,
			"revision", found.Revision, "read_at", sentAt, "archived_at", archivedAt)
	}
}

// adoptFinalRecord takes in the final record of a job that is in memory. One that was to be accepted is over, and is
// dropped. Of one that is accepted the final record is what users were told, whatever is in memory. s.mu must be held.
func (s *Scheduler) adoptFinalRecord(id string, found *store.Item) {
	final, err := decodeFinalRecord(found)
	job := s.jobs[id]
	switch {
	case err != nil:
		slog.Error("corrupt final record", "key", found.Key, "err", err)
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

// reconcileFinalRecord takes in the final record of an accepted job: mostly this leader's own, of which it did not get the
// answer. If the job is not over in memory, or otherwise, its tasks end and the record holds. s.mu must be held.
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
