package scheduler

import (
	"context"
	"log/slog"

	"switchferry/lookup"
)

// LookUpDependencies reads the records of dependencies that this term does not know, because they were done or
// cancelled before the term began or because a peer has just accepted them. A job that cannot be read stays in
// UnresolvedDependencies. s.mu is not held during the reads.
func (s *Scheduler) LookUpDependencies(ctx context.Context, records *lookup.Jobs, ids []string) {
	lookup.ForEach(ids, func(_ int, id string) {
		sentAt := s.clock.Now()
		found, err := records.Read(ctx, id)
		switch {
		case err != nil:
			slog.Info("an awaited job is not looked up yet", "job", id, "err", err)
		case found.Record != nil:
			if s.AdoptJob(found.Record, sentAt) == JobEnded && found.Final.State != "" {
				s.ResolveDependency(id, found.Final)
			}
		case found.Found:
			s.ResolveDependency(id, found.Final)
		default:
			slog.Error("a job is awaited of which nothing is on record", "job", id)
		}
	})
}
