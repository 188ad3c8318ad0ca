package admission

import (
	"context"
	"fmt"
	"strings"

	"switchferry/api"
	"switchferry/internal/sleep"
	"switchferry/lookup"
	"switchferry/scheduler"
	"switchferry/tuning"
)

// checkDependencies checks that a submission may depend on the jobs that it names. Undecided is the reason why
// this cannot be determined now, and empty if it can. An error is a *api.FieldError.
func (s *Service) checkDependencies(ctx context.Context, sched *scheduler.Scheduler, submission *api.Submission) (undecided string, err error) {
	if len(submission.Awaits) > tuning.MaxDependencies {
		return "", &api.FieldError{Field: "awaits", Want: fmt.Sprintf("names %d jobs, at most %d can be awaited; let a job between them await some", len(submission.Awaits), tuning.MaxDependencies)}
	}
	if older := s.Versions.Older(); len(older) > 0 {
		return "a job can only await others once all controllers have the new version; not seen yet of " + strings.Join(older, ", "), nil
	}
	refusals := make([]error, len(submission.Awaits))
	undecidedReasons := make([]string, len(submission.Awaits))
	lookup.ForEach(submission.Awaits, func(i int, id string) {
		undecidedReasons[i], refusals[i] = s.checkDependency(ctx, sched, submission.ID, id)
	})
	for i := range submission.Awaits {
		if refusals[i] != nil {
			return "", refusals[i]
		}
		undecided = max(undecided, undecidedReasons[i])
	}
	return undecided, nil
}

// checkDependency checks whether a job may depend on the job with the given id. Its results are those of
// checkDependencies.
func (s *Service) checkDependency(ctx context.Context, sched *scheduler.Scheduler, dependent, id string) (undecided string, err error) {
	refusal := func(reason string) error { return &api.FieldError{Field: "awaits", Want: id + " " + reason} }
	if id == dependent {
		return "", refusal("is the job itself")
	}
	for retried := false; ; retried = true {
		if sched != nil {
			switch dependency := sched.Presence(id); {
			case dependency.Service:
				return "", refusal("is a service, which is never done")
			case dependency.Accepted:
				return "", nil
			case dependency.InMemory:
				return id + " is just being accepted", nil
			}
		}
		record, err := s.jobs.Records.ReadQueued(ctx, id, "")
		switch {
		case err != nil:
			return "the state service is out of reach", nil //nolint:nilerr // The reason reports the failure, and the user retries.
		case record.Service:
			return "", refusal("is a service, which is never done")
		case record.Found:
			return "", nil
		case retried:
			return "", refusal("was never accepted")
		}
		sleep.For(ctx, s.clock, tuning.DependencyRetryDelay)
	}
}
