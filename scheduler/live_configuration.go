package scheduler

import (
	"slices"

	"switchferry/api"
	"switchferry/configuration"
	"switchferry/feasibility"
)

// ApplyConfiguration makes the given configuration apply to all decisions from now on. The returned function counts the task
// starts and job acceptances that were decided under the previous configuration and are not stored yet; it acquires s.mu.
func (s *Scheduler) ApplyConfiguration(active *configuration.Active) (undecided func() int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configuration, s.liveConfiguration = active, true
	if s.datasets != nil && active.AheadTasks != nil {
		s.datasets.settings.Ahead = *active.AheadTasks
	}
	if active.Topology != nil {
		s.replaceTopology(active.Topology)
	}
	var starts []*allocation
	var accepts []*jobState
	for _, job := range s.jobOrder {
		if !job.accepted {
			accepts = append(accepts, job)
		}
		for _, alloc := range job.allocations {
			if !alloc.committed {
				starts = append(starts, alloc)
			}
		}
	}
	s.wakePlacer()
	return func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		starts = slices.DeleteFunc(starts, func(alloc *allocation) bool {
			return alloc.committed || alloc.job.allocations[alloc.task] != alloc
		})
		accepts = slices.DeleteFunc(accepts, func(job *jobState) bool {
			return job.accepted || s.jobs[job.id] != job
		})
		return len(starts) + len(accepts)
	}
}

// admits reports whether a job may be accepted under a configuration: its team exists, and the team's limit allows the
// minimum resources that the job needs at the same time.
func admits(active *configuration.Active, submission *api.Submission) bool {
	limit, ok := active.Limit(submission.Team)
	return ok && limit.Allows(feasibility.ConcurrentRequest(submission))
}
