package scheduler

import (
	"switchferry/api"
)

// AnswerBasis states which data a job status is based on, or why the status cannot be given from the leader's memory.
// In the latter case the caller must read the stored records.
type AnswerBasis string

// Bases on which a status may be given.
const (
	// FromTerminalRecord means that the job's terminal state is stored. It cannot change, whichever controller leads.
	FromTerminalRecord AnswerBasis = "terminal state on record"
	// FromMemory means that no controller can have given out a newer status than the one in the leader's memory.
	FromMemory AnswerBasis = "memory of the leader"
)

// Reasons why a status cannot be given from memory.
const (
	// NotInMemory means that the scheduler holds no job of this ID.
	NotInMemory AnswerBasis = "not in memory"
	// NotAccepted means that the job's record is not known to be stored yet.
	NotAccepted AnswerBasis = "its record is not stored yet"
	// TerminalStateUnconfirmed means that a terminal state is decided but its transaction is not confirmed. The
	// transaction may have been executed, and another controller may have read the record and reported the terminal
	// state to users.
	TerminalStateUnconfirmed AnswerBasis = "its end may be on record"
	// DependencyCancellationUnconfirmed means that the cancellation of a dependency is not confirmed. If it is stored, it
	// cancels this job too.
	DependencyCancellationUnconfirmed AnswerBasis = "the cancellation of a dependency may be on record"
	// DependencyUnknown means that a dependency has not been looked up yet. It may be cancelled.
	DependencyUnknown AnswerBasis = "a dependency is not looked up yet"
	// NotLeading means that another controller may lead and may have completed or cancelled the job.
	NotLeading AnswerBasis = "not certain to lead"
)

// Known reports whether a status may be given on this basis.
func (b AnswerBasis) Known() bool { return b == FromTerminalRecord || b == FromMemory }

// answerFacts holds the inputs of decideAnswer.
type answerFacts struct {
	inMemory, accepted bool
	// terminal is set once a terminal state is decided, terminalStored once that state is known to be stored.
	terminal, terminalStored bool
	// dependencies is FromMemory if the job's direct and transitive dependencies allow a status from memory; otherwise it
	// is the reason why they do not.
	dependencies AnswerBasis
	leading      bool
}

// decideAnswer decides whether the status of a job may be given from memory. It may not while another controller can
// have given out a newer status: from a record that this term wrote in a transaction without a confirmed outcome, or
// because the other controller now leads.
func decideAnswer(facts answerFacts) AnswerBasis {
	switch {
	case !facts.inMemory:
		return NotInMemory
	case !facts.accepted:
		return NotAccepted
	case facts.terminalStored:
		return FromTerminalRecord
	case facts.terminal:
		return TerminalStateUnconfirmed
	case facts.dependencies != FromMemory:
		return facts.dependencies
	case !facts.leading:
		return NotLeading
	}
	return FromMemory
}

// Answer returns the status of a job and the basis on which it may be given. The status is valid only if basis.Known()
// is true.
func (s *Scheduler) Answer(id string) (api.JobStatus, AnswerBasis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answer(s.jobs[id])
}

// answer implements Answer; job is nil if the job is not in memory. s.mu must be held.
func (s *Scheduler) answer(job *jobState) (api.JobStatus, AnswerBasis) {
	if job == nil {
		return api.JobStatus{}, NotInMemory
	}
	facts := answerFacts{
		inMemory:       true,
		accepted:       job.accepted,
		terminal:       job.FinalState != "",
		terminalStored: job.terminalStored,
		dependencies:   s.dependencies.answerBasis(job),
	}
	status := s.status(job)
	// Leadership must be checked last: the process may be paused between any two steps, while another controller leads and
	// cancels the job.
	facts.leading = s.leadership.Leading()
	return status, decideAnswer(facts)
}

// JobStatus returns the status of a job from memory; ok is false if the status must not be given from memory.
func (s *Scheduler) JobStatus(id string) (status api.JobStatus, ok bool) {
	status, basis := s.Answer(id)
	return status, basis.Known()
}
