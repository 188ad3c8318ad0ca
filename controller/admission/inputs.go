package admission

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

// checkInputs parses a submission's inputs and checks whether the job can ever run with them. Undecided is set if this
// cannot be determined now. An error is a *api.FieldError, and status is its HTTP status.
func (s *Service) checkInputs(ctx context.Context, sched *scheduler.Scheduler, submission *api.Submission, body []byte) (status int, undecided bool, err error) {
	if submission.Inputs, err = api.ParseInputs(body, submission.Tasks); err != nil {
		return http.StatusBadRequest, false, err
	}
	bytes := int64(0)
	var datasets []*dataset.Entry
	for i, input := range submission.Inputs {
		entry, err := s.datasets.LookUp(ctx, input.Dataset)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return 0, true, nil
		}
		if err := checkInput(fmt.Sprintf("inputs[%d]", i), input, entry, submission.Tasks); err != nil {
			return http.StatusUnprocessableEntity, false, err
		}
		datasets = append(datasets, entry)
		bytes += bytesPerTask(input, entry, submission.Tasks)
	}
	if err := s.checkCacheSize(submission, bytes); err != nil {
		return http.StatusUnprocessableEntity, false, err
	}
	if sched != nil {
		sched.AddDatasets(datasets...)
	}
	return 0, false, nil
}

// checkInput returns a *api.FieldError if a job with that number of tasks can never run with an input. Field is the
// path of the input in the submission. Entry is nil if the dataset is not registered.
func checkInput(field string, input api.Input, entry *dataset.Entry, tasks int) error {
	switch {
	case entry == nil:
		return &api.FieldError{Field: field + ".dataset",
			Want: fmt.Sprintf("no dataset %.80q is registered; `switchferry data add` registers one", input.Dataset)}
	case entry.State != dataset.Listed:
		return &api.FieldError{Field: field + ".dataset",
			Want: fmt.Sprintf("dataset %q is %s; new jobs cannot use it", input.Dataset, entry.State)}
	case input.Use != api.UseAllParts && tasks > entry.PartCount:
		return &api.FieldError{Field: field + ".use",
			Want: fmt.Sprintf("the job has %d tasks, but dataset %q has %d parts, one for each", tasks, input.Dataset, entry.PartCount)}
	}
	return nil
}

// bytesPerTask returns the largest number of bytes of an input that any one task needs.
func bytesPerTask(input api.Input, entry *dataset.Entry, tasks int) int64 {
	if input.Use == api.UseAllParts {
		return entry.Bytes
	}
	largest := int64(0)
	for task := range tasks {
		largest = max(largest, entry.PartBytes(task))
	}
	return largest
}

// checkCacheSize returns a *api.FieldError if no machine type on which a job may run has a cache that holds that many
// bytes. It returns nil while no machine types are known.
func (s *Service) checkCacheSize(submission *api.Submission, taskBytes int64) error {
	types := s.catalog.MachineTypes()
	largest := 0.0
	for i := range types {
		if types[i].Fits(submission) {
			largest = max(largest, s.Data.CacheBytes(types[i].Name))
		}
	}
	if len(types) > 0 && float64(taskBytes) > largest {
		return &api.FieldError{Field: "inputs",
			Want: fmt.Sprintf("a task needs %.3f GB of data; the largest cache of an allowed machine type holds %.3f GB", float64(taskBytes)/1e9, largest/1e9)}
	}
	return nil
}

// inputConditions returns the conditions that hold while the datasets of a job's inputs are unchanged since they were
// checked.
func (s *Service) inputConditions(ctx context.Context, submission *api.Submission) (conditions []store.Condition, err error) {
	for _, input := range submission.Inputs {
		entry, err := s.datasets.LookUp(ctx, input.Dataset)
		if err != nil {
			return nil, err
		}
		conditions = append(conditions, store.Condition{Key: store.DatasetKey(entry.Name), Revision: entry.Revision})
	}
	return conditions, nil
}
