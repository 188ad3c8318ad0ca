package controller

import (
	"context"

	"switchferry/internal/sleep"
	"switchferry/tuning"
)

// lookUpDependencies looks up jobs that other jobs depend on and that the scheduler does not know, until the context
// ends. Jobs without such dependencies can start in the meantime.
func (t *leaderTerm) lookUpDependencies(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-t.scheduler.LookupNeeded():
		}
		ids := t.scheduler.UnresolvedDependencies()
		for len(ids) > 0 && ctx.Err() == nil {
			t.scheduler.LookUpDependencies(ctx, t.controller.jobs.Records, ids)
			if ids = t.scheduler.UnresolvedDependencies(); len(ids) > 0 {
				sleep.For(ctx, t.controller.clock, tuning.DependencyRetryInterval)
			}
		}
	}
}
