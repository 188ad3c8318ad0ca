package controller

import (
	"context"

	"switchferry/scheduler"
	"switchferry/store"
	"switchferry/tuning"
)

// lookUpDependencies has the scheduler look up the jobs that others await and that it does not know, until the context
// ends. Jobs that do not await one of them start meanwhile.
func (c *Controller) lookUpDependencies(ctx context.Context, sched *scheduler.Scheduler, committer *store.Committer) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-sched.LookupNeeded():
		}
		ids := sched.UnresolvedDependencies()
		for len(ids) > 0 && ctx.Err() == nil {
			sched.LookUpDependencies(ctx, c.records, committer, ids)
			if ids = sched.UnresolvedDependencies(); len(ids) > 0 {
				c.sleep(ctx, tuning.DependencyRetryEvery)
			}
		}
	}
}
