package controller

import (
	"context"
	"log/slog"

	"switchferry/lookup"
	"switchferry/store"
	"switchferry/tuning"
)

// lookUpDependencies looks up the jobs that others await and the leader does not know: they were over
// before its term, or a sibling has just accepted them. What does not wait for one of them
// starts meanwhile.
func (c *Controller) lookUpDependencies(ctx context.Context, sched *Scheduler, committer *store.Committer) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-sched.LookupNeeded():
		}
		ids := sched.UnresolvedDependencies()
		for len(ids) > 0 && ctx.Err() == nil {
			c.lookUpDependency(ctx, sched, committer, ids)
			if ids = sched.UnresolvedDependencies(); len(ids) > 0 {
				c.sleep(ctx, tuning.AwaitsRetry)
			}
		}
	}
}

// lookUpDependency looks some jobs up and tells the leader.
func (c *Controller) lookUpDependency(ctx context.Context, sched *Scheduler, committer *store.Committer, ids []string) {
	lookup.ForEach(ids, func(_ int, id string) {
		x, err := c.records.Read(ctx, id)
		switch {
		case err != nil:
			slog.Info("an awaited job is not looked up yet", "job", id, "err", err)
		case x.Record != nil:
			if !sched.HasJob(id) {
				committer.SetRevision(x.Record.Key, x.Record.Revision)
				sched.Conflict(x.Record.Key, x.Record)
			}
		case x.Found:
			sched.ResolveDependency(id, x.Final)
		default:
			slog.Error("a job is awaited of which nothing is on record", "job", id)
		}
	})
}
