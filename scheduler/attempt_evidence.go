package scheduler

import (
	"log/slog"
	"maps"
	"slices"
)

// releaseStats counts, for one term, released allocations by proof, and how often a message about an attempt crossed
// a start command for it in transit. Scheduler.mu guards it.
type releaseStats struct {
	proofs map[releaseProof]int
	// exitsCrossed counts attempts that exited, and stopsCrossed attempts that were stopped, while a start command for
	// them could still arrive.
	exitsCrossed, stopsCrossed int
	// absencesCrossed counts heartbeats that did not list an attempt while a start command for it could still arrive.
	absencesCrossed int
	// tokensRaised counts raised fencing tokens, and commandsFenced direct commands that a worker refused because its
	// token had been raised since they were sent.
	tokensRaised, commandsFenced int
	// startsFenced counts direct starts without an answer that a raised fencing token has ended.
	startsFenced int
}

// LogReleases logs how many allocations were released in this term by each proof, and how often messages crossed.
func (s *Scheduler) LogReleases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseStats.log(s.term, s.fencing)
}

// log writes the counts as one line.
func (stats *releaseStats) log(term uint64, fencing Fencing) {
	attributes := []any{"term", term, "fencing", fencing, "exits_crossed", stats.exitsCrossed, "stops_crossed", stats.stopsCrossed, "absences_crossed", stats.absencesCrossed,
		"tokens_raised", stats.tokensRaised, "commands_fenced", stats.commandsFenced, "starts_fenced", stats.startsFenced}
	for _, name := range slices.Sorted(maps.Keys(stats.proofs)) {
		attributes = append(attributes, string(name), stats.proofs[name])
	}
	slog.Info("attempts released", attributes...)
}
