package controller

import (
	"context"
	"fmt"
	"log/slog"
	"strings"

	"switchferry/api"
	"switchferry/lookup"
	"switchferry/store"
	"switchferry/tuning"
)

// checkDependencies looks at the jobs that a submission awaits. Not decided: why it cannot be told
// yet whether all of them were accepted.
func (c *Controller) checkDependencies(ctx context.Context, sched *Scheduler, submission *api.Submission) (undecided string, err error) {
	if len(submission.Awaits) > tuning.AwaitsMost {
		return "", &api.FieldError{Field: "awaits", Want: fmt.Sprintf("names %d jobs, at most %d can be awaited; let a job between them await some", len(submission.Awaits), tuning.AwaitsMost)}
	}
	if old := c.versions.Older(); len(old) > 0 {
		return "a job can only await others once all controllers have the new version; not seen yet of " + strings.Join(old, ", "), nil
	}
	refused := make([]error, len(submission.Awaits))
	late := make([]string, len(submission.Awaits))
	lookup.ForEach(submission.Awaits, func(i int, id string) { late[i], refused[i] = c.checkDependency(ctx, sched, submission.ID, id) })
	for i := range submission.Awaits {
		if refused[i] != nil {
			return "", refused[i]
		}
		undecided = max(undecided, late[i])
	}
	return undecided, nil
}

// checkDependency tells whether a job may await another.
func (c *Controller) checkDependency(ctx context.Context, sched *Scheduler, job, id string) (undecided string, err error) {
	bad := func(why string) error { return &api.FieldError{Field: "awaits", Want: id + " " + why} }
	if id == job {
		return "", bad("is the job itself")
	}
	for again := false; ; again = true {
		if sched != nil {
			switch here, accepted, service := sched.DependencyState(id); {
			case service:
				return "", bad("is a service, which is never done")
			case accepted:
				return "", nil
			case here:
				return id + " is just being accepted", nil
			}
		}
		x, err := c.records.ReadInTurn(ctx, id, "")
		switch {
		case err != nil:
			return "the state service is out of reach", nil
		case x.Service:
			return "", bad("is a service, which is never done")
		case x.Found:
			return "", nil
		case again:
			return "", bad("was never accepted")
		}
		c.sleep(ctx, tuning.AwaitsAgain)
	}
}

// lookUpDependencies looks up the jobs that others await and the leader does not know: they were over
// compareJobs its term, or a sibling has just accepted them. What does not wait for one of them
// starts meanwhile.
func (c *Controller) lookUpDependencies(ctx context.Context, sched *Scheduler, committer *store.Committer) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-sched.dependencies.ask:
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

// markVersion puts this controller's version on record; once all have this one, records are
// written as it has them.
func (c *Controller) markVersion(ctx context.Context) {
	if c.versions.Run(ctx) {
		c.mu.Lock()
		own := c.useCurrentFormat
		c.mu.Unlock()
		if own != nil {
			own()
		}
	}
}
