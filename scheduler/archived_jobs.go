package scheduler

import "time"

// archivedJobs holds the most recently archived jobs of this term, up to a limit. It lets the scheduler discard a
// record of such a job that was read before the job was archived and arrives afterwards. Scheduler.mu must be held for
// all methods.
type archivedJobs struct {
	limit int
	// archivedAt maps each job ID to the time of its archival; order lists the IDs, oldest first.
	archivedAt map[string]time.Time
	order      []string
	// completeSince is the archival time of the last entry that was dropped for the limit: all jobs archived after it are
	// in the set. It is zero while none was dropped.
	completeSince time.Time
}

// newArchivedJobs returns an empty set of up to limit jobs.
func newArchivedJobs(limit int) *archivedJobs {
	return &archivedJobs{limit: limit, archivedAt: map[string]time.Time{}}
}

// add records that a job was archived at the given time. Above the limit it drops the oldest entry.
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

// at returns when a job was archived; ok is false if the job is not in the set.
func (a *archivedJobs) at(id string) (at time.Time, ok bool) {
	at, ok = a.archivedAt[id]
	return at, ok
}

// covers reports whether the set holds every job that was archived since a read was sent.
func (a *archivedJobs) covers(sentAt time.Time) bool {
	return a.completeSince.IsZero() || sentAt.After(a.completeSince)
}
