package scheduler

import (
	"fmt"

	"switchferry/api"
	"switchferry/configuration"
	"switchferry/feasibility"
	"switchferry/fleet"
	"switchferry/quota"
)

// withinQuota reports whether the limit of a job's team allows one more task of the job, in addition to the resources
// that are reserved for another job of the team that is earlier in the order (package quota). s.mu must be held.
func (s *Scheduler) withinQuota(job *jobState) bool {
	team := job.Job.Team
	limit, ok := s.configuration.Limit(team)
	if !ok {
		return false
	}
	use := s.usage[team].Add(job.request)
	if reservation, ok := s.quotas.Reservation(team); ok && reservation.ID != job.id {
		if holder := s.jobs[reservation.ID]; holder != nil && compareJobs(holder, job) < 0 {
			use = use.Add(reservation.Resources)
		}
	}
	return limit.Allows(use)
}

// quotaDemands returns the quota demands of waiting jobs that take precedence over other jobs, because they are of rank
// production or starved. s.mu must be held.
func (s *Scheduler) quotaDemands() (demands []quota.Demand) {
	// serviceUsage is the usage of each team's service replicas, which is not released for other jobs.
	serviceUsage := map[string]fleet.Resources{}
	for _, job := range s.jobOrder {
		if job.Job.Shape == api.Service {
			serviceUsage[job.Job.Team] = serviceUsage[job.Job.Team].Add(job.request.Scale(len(job.allocations)))
		}
	}
	for _, job := range s.jobOrder {
		team := job.Job.Team
		limit, ok := s.configuration.Limit(team)
		if !ok || job.precedence() == 0 || job.unplaced() == 0 || !s.startableNow(job) {
			continue
		}
		request := job.request
		if job.Job.Shape == api.Gang {
			request = request.Scale(len(job.pending))
		}
		demands = append(demands, quota.Demand{
			Team:      team,
			ID:        job.id,
			Limit:     limit,
			Request:   request,
			Usage:     s.usage[team],
			Permanent: serviceUsage[team],
		})
	}
	return demands
}

// stopOverLimit stops tasks of teams whose usage exceeds their limit after it was lowered. It does nothing unless the
// configuration has over_limit.running set to stop. s.mu must be held.
func (s *Scheduler) stopOverLimit() {
	overLimit := s.configuration.OverLimit
	if overLimit.Running != configuration.StopRunning {
		return
	}
	for _, team := range s.configuration.Teams() {
		limit, _ := s.configuration.Limit(team.Name)
		use := s.usage[team.Name].Sub(s.stoppingUsage[team.Name])
		if limit.Allows(use) {
			continue
		}
		allocations, usage := s.stoppableUsage(team.Name)
		for _, i := range quota.Excess(limit, use, usage) {
			alloc := allocations[i]
			s.stopTask(alloc, min(overLimit.StopWithinS, alloc.job.Job.SaveS), "team limit lowered")
		}
	}
}

// stoppableUsage returns the allocations of a team that can be stopped, and the usage of each. An allocation whose
// start command was sent but not answered cannot be stopped, because the command may still be executed at any time in
// this term. If such a task were stopped before it was reported, it would count towards the limit indefinitely. If it
// were stopped after that, its exit would not be cleared, and a new attempt on the same machine would never start. Such
// a task therefore runs to completion. s.mu must be held.
func (s *Scheduler) stoppableUsage(team string) (allocations []*allocation, usage []quota.Usage) {
	for _, job := range s.jobOrder {
		if job.Job.Team != team {
			continue
		}
		for _, alloc := range job.allocations {
			if !alloc.stopping && (alloc.reported && alloc.starts.direct == 0 || !alloc.runSent) {
				allocations = append(allocations, alloc)
				usage = append(usage, quota.Usage{Rank: job.rank, Loss: s.preemptionLoss(alloc), Resources: fleet.RequestOf(&job.Job)})
			}
		}
	}
	return allocations, usage
}

// limitReason returns a message for operators and users that states why a job waits for its team's limit.
func limitReason(active *configuration.Active, job *jobState) string {
	limit, ok := active.Limit(job.Job.Team)
	switch {
	case !ok:
		return fmt.Sprintf("team %s is not in the configuration any more (revision %d); the job waits until a team of this name is configured", job.Job.Team, active.Revision)
	case !limit.Allows(feasibility.ConcurrentRequest(&job.Job)):
		return fmt.Sprintf("the job needs more at once than the limit of team %s allows since revision %d; it waits until the limit is raised", job.Job.Team, active.Revision)
	}
	return fmt.Sprintf("team %s uses as much as its limit allows", job.Job.Team)
}
