package lookup

import (
	"context"

	"switchferry/api"
)

// Status returns what a user is answered, from the records alone, about the job with this id, which was found as found by
// Read or ReadInTurn. Asked and the errors are as for DependsOnCancelled.
func (j *Jobs) Status(ctx context.Context, id string, found Job, asked string) (api.JobStatus, error) {
	if found.Record == nil {
		return found.Final.JobStatus(id), nil
	}
	if final, ok := j.Recall(id); ok {
		// It ended while it was read: the record is outdated.
		return final.JobStatus(id), nil
	}
	status := api.JobStatus{ID: id, State: api.Pending}
	if found.Final.State != "" {
		status.State = found.Final.State
		return status, nil
	}
	cancelled, err := j.DependsOnCancelled(ctx, found.DependsOn, asked)
	if err != nil {
		return status, err
	}
	if cancelled {
		status.State = api.Cancelled
	}
	return status, nil
}
