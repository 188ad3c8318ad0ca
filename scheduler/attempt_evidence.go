package scheduler

import (
	"log/slog"
	"maps"
	"slices"
)

// attemptEvidence counts, in one term, the proofs on which allocations were released, and how often messages about an
// attempt crossed on the way. Scheduler.mu guards it.
type attemptEvidence struct {
	proofs map[releaseProof]int
	// exitsCrossed counts attempts that ended, and stopsCrossed attempts that were stopped, while a start of them could
	// still arrive.
	exitsCrossed, stopsCrossed int
	// absencesCrossed counts heartbeats that lacked an attempt while a start of it could still arrive.
	absencesCrossed int
}

// LogReleases logs the proofs on which allocations were released in this term, and how often messages crossed.
func (s *Scheduler) LogReleases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.log(s.term)
}

// log writes the counts as one line.
func (e *attemptEvidence) log(term uint64) {
	attributes := []any{"term", term, "exits_crossed", e.exitsCrossed, "stops_crossed", e.stopsCrossed, "absences_crossed", e.absencesCrossed}
	for _, name := range slices.Sorted(maps.Keys(e.proofs)) {
		attributes = append(attributes, string(name), e.proofs[name])
	}
	slog.Info("attempts released", attributes...)
}
