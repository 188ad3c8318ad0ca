package controller

import (
	"context"

	"switchferry/tuning"
)

// lookUpDependencies has the scheduler look up the jobs that others await and that it does not know, until the context
// ends. Jobs that do not await one of them start meanwhile.
func (t *leaderTerm) lookUpDependencies(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-t.scheduler.LookupNeeded():
		}
		ids := t.scheduler.UnresolvedDependencies()
		for len(ids) > 0 && ctx.Err() == nil {
			t.scheduler.LookUpDependencies(ctx, t.controller.jobs.records, t.committer, ids)
			if ids = t.scheduler.UnresolvedDependencies(); len(ids) > 0 {
				sleep(ctx, t.controller.clock, tuning.DependencyRetryEvery)
			}
		}
	}
}
