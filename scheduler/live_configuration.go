package scheduler

import (
	"slices"

	"switchferry/api"
	"switchferry/configuration"
	"switchferry/feasibility"
)

// ApplyConfiguration makes the given configuration apply to all decisions from now on. The returned function counts the
// task starts and job acceptances that were decided under the previous configuration and are not stored yet; it
// acquires s.mu.
func (s *Scheduler) ApplyConfiguration(active *configuration.Active) (uncommitted func() int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configuration, s.liveConfiguration = active, true
	if s.datasets != nil && active.AheadTasks != nil {
		s.datasets.settings.AheadTasks = *active.AheadTasks
	}
	if active.Topology != nil {
		s.replaceTopology(active.Topology)
	}
	var uncommittedStarts []*allocation
	var uncommittedJobs []*jobState
	for _, job := range s.jobOrder {
		if !job.accepted {
			uncommittedJobs = append(uncommittedJobs, job)
		}
		for _, alloc := range job.allocations {
			if !alloc.committed {
				uncommittedStarts = append(uncommittedStarts, alloc)
			}
		}
	}
	s.wakePlacer()
	return func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		uncommittedStarts = slices.DeleteFunc(uncommittedStarts, func(alloc *allocation) bool {
			return alloc.committed || alloc.job.allocations[alloc.task] != alloc
		})
		uncommittedJobs = slices.DeleteFunc(uncommittedJobs, func(job *jobState) bool {
			return job.accepted || s.jobs[job.id] != job
		})
		return len(uncommittedStarts) + len(uncommittedJobs)
	}
}

// admits reports whether a job may be accepted under a configuration: its team exists, and the team's limit allows the
// minimum resources that the job needs at the same time.
func admits(active *configuration.Active, submission *api.Submission) bool {
	limit, ok := active.Limit(submission.Team)
	return ok && limit.Allows(feasibility.ConcurrentRequest(submission))
}
