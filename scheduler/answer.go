package scheduler

import (
	"switchferry/api"
)

// AnswerBasis says on what the answer to a question about a job rests, or why a term has none. Where it has none, the
// records tell.
type AnswerBasis string

// Bases of an answer.
const (
	// FromStoredEnd: the job's terminal state is on record and does not change any more, whoever leads.
	FromStoredEnd AnswerBasis = "terminal state on record"
	// FromMemory: nobody can have answered anything newer than what the leader has in memory.
	FromMemory AnswerBasis = "memory of the leader"
)

// Reasons for which a term does not answer.
const (
	NotInMemory AnswerBasis = "not in memory"
	NotAccepted AnswerBasis = "its record is not stored yet"
	// EndUnderWay: a transaction without an answer may have been executed, and whoever has read the record has told users.
	EndUnderWay AnswerBasis = "its end may be on record"
	// DependencyEndUnderWay: so may the cancellation of a job that this one depends on, which cancels it too.
	DependencyEndUnderWay AnswerBasis = "the cancellation of a dependency may be on record"
	// DependencyUnknown: a dependency has yet to be looked up, and may be cancelled.
	DependencyUnknown AnswerBasis = "a dependency is not looked up yet"
	// NotLeading: another controller may lead, and have ended the job.
	NotLeading AnswerBasis = "not certain to lead"
)

// Known reports whether there is an answer.
func (b AnswerBasis) Known() bool { return b == FromStoredEnd || b == FromMemory }

// answerFacts are what decides whether a term may answer a question about a job from memory.
type answerFacts struct {
	inMemory, accepted bool
	// ended: a terminal state is decided; endStored: it is known to be on record.
	ended, endStored bool
	// dependencies says whether those of the job, direct or not, allow an answer.
	dependencies AnswerBasis
	leading      bool
}

// decideAnswer decides whether a term may answer from memory. It may not while another controller can have answered
// something newer, by a record that this term wrote without knowing it, or by leading itself.
func decideAnswer(facts answerFacts) AnswerBasis {
	switch {
	case !facts.inMemory:
		return NotInMemory
	case !facts.accepted:
		return NotAccepted
	case facts.endStored:
		return FromStoredEnd
	case facts.ended:
		return EndUnderWay
	case facts.dependencies != FromMemory:
		return facts.dependencies
	case !facts.leading:
		return NotLeading
	}
	return FromMemory
}

// Answer returns the status of a job as it may be answered now, and what that rests on. The status counts only if the
// basis is known.
func (s *Scheduler) Answer(id string) (api.JobStatus, AnswerBasis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answer(s.jobs[id])
}

// answer is Answer for a job in memory, nil if it is not there. s.mu must be held.
func (s *Scheduler) answer(job *jobState) (api.JobStatus, AnswerBasis) {
	if job == nil {
		return api.JobStatus{}, NotInMemory
	}
	facts := answerFacts{
		inMemory:     true,
		accepted:     job.accepted,
		ended:        job.FinalState != "",
		endStored:    job.terminalStored,
		dependencies: s.dependencies.answerBasis(job),
	}
	status := s.status(job)
	// The last of all: the process may be paused between any two steps while another one leads and cancels the job.
	facts.leading = s.leadership.Leading()
	return status, decideAnswer(facts)
}

// JobStatus returns the status of a job in memory; ok is false if it must not be answered from there.
func (s *Scheduler) JobStatus(id string) (status api.JobStatus, ok bool) {
	status, basis := s.Answer(id)
	return status, basis.Known()
}
