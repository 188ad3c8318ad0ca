package controller

import (
	"context"
	"fmt"
	"strings"

	"switchferry/api"
	"switchferry/lookup"
	"switchferry/scheduler"
	"switchferry/tuning"
)

// checkDependencies checks the jobs that a submission depends on. Undecided is why it cannot be told yet whether all of
// them were accepted, or empty. An error is a *api.FieldError.
func (s *submissionService) checkDependencies(ctx context.Context, sched *scheduler.Scheduler, submission *api.Submission) (undecided string, err error) {
	if len(submission.Awaits) > tuning.MaxDependencies {
		return "", &api.FieldError{Field: "awaits", Want: fmt.Sprintf("names %d jobs, at most %d can be awaited; let a job between them await some", len(submission.Awaits), tuning.MaxDependencies)}
	}
	if old := s.versions.Older(); len(old) > 0 {
		return "a job can only await others once all controllers have the new version; not seen yet of " + strings.Join(old, ", "), nil
	}
	refused := make([]error, len(submission.Awaits))
	late := make([]string, len(submission.Awaits))
	lookup.ForEach(submission.Awaits, func(i int, id string) { late[i], refused[i] = s.checkDependency(ctx, sched, submission.ID, id) })
	for i := range submission.Awaits {
		if refused[i] != nil {
			return "", refused[i]
		}
		undecided = max(undecided, late[i])
	}
	return undecided, nil
}

// checkDependency checks whether a job may depend on another. Its results are those of checkDependencies.
func (s *submissionService) checkDependency(ctx context.Context, sched *scheduler.Scheduler, job, id string) (undecided string, err error) {
	bad := func(reason string) error { return &api.FieldError{Field: "awaits", Want: id + " " + reason} }
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
		x, err := s.jobs.records.ReadInTurn(ctx, id, "")
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
		sleep(ctx, s.clock, tuning.DependencyRetryDelay)
	}
}
