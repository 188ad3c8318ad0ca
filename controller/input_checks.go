package controller

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/scheduler"
	"switchferry/store"
)

// checkInputs reads a submission's inputs and finds out whether it can ever run with them. Undecided is set if that cannot be
// told now. An error is a *api.FieldError, which goes with the status.
func (s *submissionService) checkInputs(ctx context.Context, sched *scheduler.Scheduler, submission *api.Submission, body []byte) (status int, undecided bool, err error) {
	if submission.Inputs, err = api.ParseInputs(body, submission.Tasks); err != nil {
		return http.StatusBadRequest, false, err
	}
	bytes := int64(0)
	var sets []*dataset.Entry
	for i, input := range submission.Inputs {
		set, err := s.datasets.cache.lookUp(ctx, input.Dataset)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return 0, true, nil
		}
		if err := checkInput(fmt.Sprintf("inputs[%d]", i), input, set, submission.Tasks); err != nil {
			return http.StatusUnprocessableEntity, false, err
		}
		sets = append(sets, set)
		bytes += bytesPerTask(input, set, submission.Tasks)
	}
	if err := s.checkCacheSize(submission, bytes); err != nil {
		return http.StatusUnprocessableEntity, false, err
	}
	if sched != nil {
		sched.AddDatasets(sets...)
	}
	return 0, false, nil
}

// checkInput returns a *api.FieldError if a job of so many tasks can never run with an input, which stands at a field. The
// set is nil if no such dataset is registered.
func checkInput(field string, input api.Input, set *dataset.Entry, tasks int) error {
	switch {
	case set == nil:
		return &api.FieldError{Field: field + ".dataset",
			Want: fmt.Sprintf("no dataset %.80q is registered; `switchferry data add` registers one", input.Dataset)}
	case set.State != dataset.Listed:
		return &api.FieldError{Field: field + ".dataset",
			Want: fmt.Sprintf("dataset %q is %s; new jobs cannot use it", input.Dataset, set.State)}
	case input.Use != api.UseAll && tasks > set.Parts:
		return &api.FieldError{Field: field + ".use",
			Want: fmt.Sprintf("the job has %d tasks, but dataset %q has %d parts, one for each", tasks, input.Dataset, set.Parts)}
	}
	return nil
}

// bytesPerTask returns how many bytes of an input a task needs at most.
func bytesPerTask(input api.Input, set *dataset.Entry, tasks int) int64 {
	if input.Use == api.UseAll {
		return set.Bytes
	}
	most := int64(0)
	for task := range tasks {
		most = max(most, set.PartBytes(task))
	}
	return most
}

// checkCacheSize returns a *api.FieldError if no machine type on which a job may run has a cache for so many bytes. While no
// types are known it returns none.
func (s *submissionService) checkCacheSize(submission *api.Submission, bytes int64) error {
	types := s.catalog.machineTypes()
	largest := 0.0
	for i := range types {
		if types[i].Fits(submission) {
			largest = max(largest, s.features.data.Cache(types[i].Name))
		}
	}
	if len(types) > 0 && float64(bytes) > largest {
		return &api.FieldError{Field: "inputs",
			Want: fmt.Sprintf("a task needs %.3f GB of data; the largest cache of an allowed machine type holds %.3f GB", float64(bytes)/1e9, largest/1e9)}
	}
	return nil
}

// inputConditions are the conditions under which a job's inputs are as they were checked.
func (s *submissionService) inputConditions(ctx context.Context, submission *api.Submission) (out []store.Condition, err error) {
	for _, input := range submission.Inputs {
		entry, err := s.datasets.cache.lookUp(ctx, input.Dataset)
		if err != nil {
			return nil, err
		}
		out = append(out, store.Condition{Key: store.DatasetKey(entry.Name), Revision: entry.Stamp})
	}
	return out, nil
}
