package store

import "switchferry/api"

// JobStatus returns what a user is answered about the job with this id once it has reached a terminal state.
func (r FinalRecord) JobStatus(id string) api.JobStatus {
	return api.JobStatus{ID: id, State: r.State, Done: r.Tasks}
}
