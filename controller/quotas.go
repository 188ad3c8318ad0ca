package controller

import (
	"fmt"

	"switchferry/api"
	"switchferry/configuration"
	"switchferry/feasibility"
	"switchferry/fleet"
	"switchferry/quota"
)

// withinQuota tells whether a job's team may use one more task's worth, beside what is reserved for another job that
// goes before it (package quota).
func (s *Scheduler) withinQuota(job *jobState) bool {
	limit, ok := s.configuration.Limit(job.Job.Team)
	if !ok {
		return false
	}
	use := s.usage[job.Job.Team].Add(job.request)
	if r, ok := s.quotas.Reservation(job.Job.Team); ok && r.ID != job.id {
		if o := s.jobs[r.ID]; o != nil && compareJobs(o, job) < 0 {
			use = use.Add(r.Resources)
		}
	}
	return limit.Allows(use)
}

// quotaDemands are those of the jobs that go before others in their teams, by rank or age, and wait.
func quotaDemands(jobs []*jobState, limitOf func(string) (quota.Limit, bool), use map[string]fleet.Resources, ready func(*jobState) bool) (out []quota.Demand) {
	stays := map[string]fleet.Resources{}
	for _, job := range jobs {
		if job.Job.Shape == api.Service {
			stays[job.Job.Team] = stays[job.Job.Team].Add(job.request.Scale(len(job.allocations)))
		}
	}
	for _, job := range jobs {
		limit, ok := limitOf(job.Job.Team)
		if !ok || job.precedence() == 0 || len(job.pending)+job.queued == 0 || !ready(job) {
			continue
		}
		need := job.request
		if job.Job.Shape == api.Gang {
			need = need.Scale(len(job.pending))
		}
		out = append(out, quota.Demand{Team: job.Job.Team, ID: job.id, Limit: limit, Request: need, Use: use[job.Job.Team], Permanent: stays[job.Job.Team]})
	}
	return out
}

// stopOverLimit stops tasks of teams that use more than their lowered limit, if the configuration says so.
// s.mu must be held.
func (s *Scheduler) stopOverLimit() {
	overLimit := s.configuration.OverLimit
	if overLimit.Running != configuration.Stop {
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
			s.stopTask(alloc, min(overLimit.StopWithinS, alloc.job.Job.SaveS), "its team's limit has sunk")
		}
	}
}

// stoppableUsage returns the allocations of a team that can be stopped, and the usage of each. One whose start was
// sent and not answered cannot: the start may be executed at any later time of this term. Stopped before it is seen,
// the task counted for the limit for ever; stopped after that, its exit was not cleared, and a new attempt on the
// same machine never began. Such a task runs to its end. s.mu must be held.
func (s *Scheduler) stoppableUsage(team string) (allocations []*allocation, usage []quota.Usage) {
	for _, job := range s.jobOrder {
		if job.Job.Team != team {
			continue
		}
		for _, alloc := range job.allocations {
			if !alloc.stopping && (alloc.reported && alloc.unansweredRuns == 0 || !alloc.runSent) {
				allocations = append(allocations, alloc)
				usage = append(usage, quota.Usage{Rank: job.rank, Loss: s.preemptionLoss(alloc), Resources: fleet.RequestOf(&job.Job)})
			}
		}
	}
	return allocations, usage
}

// limitReason is why a job waits for its team's limit, for operators and users.
func limitReason(active *configuration.Active, job *jobState) string {
	limit, ok := active.Limit(job.Job.Team)
	switch {
	case !ok:
		return fmt.Sprintf("team %s is not in the configuration any more (revision %d); it waits until a team of this name is", job.Job.Team, active.Revision)
	case !limit.Allows(feasibility.ConcurrentRequest(&job.Job)):
		return fmt.Sprintf("it needs more at once than the limit of team %s allows since revision %d; it waits until that is raised", job.Job.Team, active.Revision)
	}
	return fmt.Sprintf("team %s has as much as its limit allows", job.Job.Team)
}
