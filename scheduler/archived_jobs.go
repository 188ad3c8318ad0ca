package scheduler

import "time"

// archivedJobs are the jobs that this term had in memory and whose records it has archived, the last ones up to a limit. A
// record of such a job that was read before may still arrive. Scheduler.mu must be held for all methods.
type archivedJobs struct {
	limit int
	// archivedAt is when each of the jobs was archived, and order lists them, the oldest first.
	archivedAt map[string]time.Time
	order      []string
	// completeSince is the time after which all archived jobs are here; zero while none was dropped for the limit.
	completeSince time.Time
}

// newArchivedJobs returns an empty set of up to limit jobs.
func newArchivedJobs(limit int) *archivedJobs {
	return &archivedJobs{limit: limit, archivedAt: map[string]time.Time{}}
}

// add notes that a job is archived. The oldest one is dropped if there are more than the limit.
func (a *archivedJobs) add(id string, now time.Time) {
	if _, known := a.archivedAt[id]; known {
		return
	}
	a.archivedAt[id] = now
	a.order = append(a.order, id)
	if len(a.order) <= a.limit {
		return
	}
	oldest := a.order[0]
	a.order = a.order[1:]
	a.completeSince = a.archivedAt[oldest]
	delete(a.archivedAt, oldest)
}

// at returns when a job was archived; ok is false if it is not here.
func (a *archivedJobs) at(id string) (at time.Time, ok bool) {
	at, ok = a.archivedAt[id]
	return at, ok
}

// covers reports whether every job is here that was archived since a read was sent.
func (a *archivedJobs) covers(sentAt time.Time) bool {
	return a.completeSince.IsZero() || sentAt.After(a.completeSince)
}
