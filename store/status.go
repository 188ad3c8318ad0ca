package store

import "switchferry/api"

// JobStatus returns the status that users get for the archived job with the given ID.
func (r FinalRecord) JobStatus(id string) api.JobStatus {
	return api.JobStatus{ID: id, State: r.State, Done: r.Tasks}
}
