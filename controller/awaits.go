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

// checkAwaits looks at the jobs that a submission awaits. Not decided: why it cannot be told
// yet whether all of them were accepted.
func (n *Controller) checkAwaits(ctx context.Context, core *Core, s *api.Submission) (undecided string, err error) {
	if len(s.Awaits) > tuning.AwaitsMost {
		return "", &api.FieldError{Field: "awaits", Want: fmt.Sprintf("names %d jobs, at most %d can be awaited; let a job between them await some", len(s.Awaits), tuning.AwaitsMost)}
	}
	if old := n.marks.Older(); len(old) > 0 {
		return "a job can only await others once all controllers have the new version; not seen yet of " + strings.Join(old, ", "), nil
	}
	refused := make([]error, len(s.Awaits))
	late := make([]string, len(s.Awaits))
	lookup.ForEach(s.Awaits, func(i int, id string) { late[i], refused[i] = n.awaitable(ctx, core, s.ID, id) })
	for i := range s.Awaits {
		if refused[i] != nil {
			return "", refused[i]
		}
		undecided = max(undecided, late[i])
	}
	return undecided, nil
}

// awaitable tells whether a job may await another.
func (n *Controller) awaitable(ctx context.Context, core *Core, job, id string) (undecided string, err error) {
	bad := func(why string) error { return &api.FieldError{Field: "awaits", Want: id + " " + why} }
	if id == job {
		return "", bad("is the job itself")
	}
	for again := false; ; again = true {
		if core != nil {
			switch here, accepted, service := core.Awaitable(id); {
			case service:
				return "", bad("is a service, which is never done")
			case accepted:
				return "", nil
			case here:
				return id + " is just being accepted", nil
			}
		}
		x, err := n.records.ReadInTurn(ctx, id, "")
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
		n.sleep(ctx, tuning.AwaitsAgain)
	}
}

// seekAwaited looks up the jobs that others await and the leader does not know: they were over
// before its term, or a sibling has just accepted them. What does not wait for one of them
// starts meanwhile.
func (n *Controller) seekAwaited(ctx context.Context, core *Core, com *store.Committer) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-core.pipes.ask:
		}
		ids := core.Missing()
		for len(ids) > 0 && ctx.Err() == nil {
			n.lookAwaited(ctx, core, com, ids)
			if ids = core.Missing(); len(ids) > 0 {
				n.sleep(ctx, tuning.AwaitsRetry)
			}
		}
	}
}

// lookAwaited looks some jobs up and tells the leader.
func (n *Controller) lookAwaited(ctx context.Context, core *Core, com *store.Committer, ids []string) {
	lookup.ForEach(ids, func(_ int, id string) {
		x, err := n.records.Read(ctx, id)
		switch {
		case err != nil:
			slog.Info("an awaited job is not looked up yet", "job", id, "err", err)
		case x.Record != nil:
			if !core.Has(id) {
				com.SetRevision(x.Record.Key, x.Record.Revision)
				core.Conflict(x.Record.Key, x.Record)
			}
		case x.Found:
			core.Learned(id, x.Final)
		default:
			slog.Error("a job is awaited of which nothing is on record", "job", id)
		}
	})
}

// markVersion puts this controller's version on record; once all have this one, records are
// written as it has them.
func (n *Controller) markVersion(ctx context.Context) {
	if n.marks.Run(ctx) {
		n.mu.Lock()
		own := n.own
		n.mu.Unlock()
		if own != nil {
			own()
		}
	}
}
