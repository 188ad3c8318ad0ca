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

// stopExcess stops what runs above a limit that has sunk, if the configuration says so; the lock is held.
func stopExcess(sched *Scheduler) {
	if sched.configuration.OverLimit.Running != configuration.Stop {
		return
	}
	for _, team := range sched.configuration.Teams() {
		limit, _ := sched.configuration.Limit(team.Name)
		use := sched.usage[team.Name].Sub(sched.stoppingUsage[team.Name])
		if limit.Allows(use) {
			continue
		}
		tasks, held := stoppableUsage(sched, team.Name)
		for _, i := range quota.Excess(limit, use, held) {
			sched.stopTask(tasks[i], min(sched.configuration.OverLimit.StopWithinS, tasks[i].job.Job.SaveS), "its team's limit has sunk")
		}
	}
}

// stoppableUsage are the tasks of a team that can be stopped. A start whose answer is lost may be executed at any later time of
// this term. Stopped before it is seen, its task counted for the limit for ever; stopped after that, its exit is not
// cleared, and a new attempt that came to the same machine was never begun. Such a task runs to its end.
func stoppableUsage(sched *Scheduler, team string) (tasks []*allocation, held []quota.Usage) {
	for _, job := range sched.jobOrder {
		if job.Job.Team != team {
			continue
		}
		for _, alloc := range job.allocations {
			if !alloc.stopping && (alloc.reported && alloc.unansweredRuns == 0 || !alloc.runSent) {
				tasks = append(tasks, alloc)
				held = append(held, quota.Usage{Rank: job.rank, Loss: sched.preemptionLoss(alloc), Resources: fleet.RequestOf(&job.Job)})
			}
		}
	}
	return tasks, held
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
