package lookup

import (
	"context"

	"switchferry/api"
)

// Status returns the status of the job with the given ID according to the records alone, without the leader. found is
// what Read or ReadQueued returned for the job. queriedID and the errors are as for DependsOnCancelled.
func (j *Jobs) Status(ctx context.Context, id string, found Job, queriedID string) (api.JobStatus, error) {
	if found.Record == nil {
		return found.Final.JobStatus(id), nil
	}
	if final, ok := j.CachedFinal(id); ok {
		// The job was archived after its JobRecord was read.
		return final.JobStatus(id), nil
	}
	status := api.JobStatus{ID: id, State: api.Pending}
	if found.Final.State != "" {
		status.State = found.Final.State
		return status, nil
	}
	cancelled, err := j.DependsOnCancelled(ctx, found.DependsOn, queriedID)
	if err != nil {
		return status, err
	}
	if cancelled {
		status.State = api.Cancelled
	}
	return status, nil
}
