package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"switchferry/ageing"
	"switchferry/api"
	"switchferry/fleet"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/tuning"
)

// compareJobs compares jobs by their order in the queues: production jobs first, then starved jobs, then by rank, then
// jobs that were within their team's guarantee on arrival and still are, then by the latest start with which a deadline
// can still be met, then by the time at which they became eligible.
func compareJobs(a, b *jobState) int {
	return cmp.Or(
		cmp.Compare(b.precedence(), a.precedence()),
		cmp.Compare(b.rank, a.rank),
		cmp.Compare(b.guaranteeRank(), a.guaranteeRank()),
		cmp.Compare(a.latestStart, b.latestStart),
		cmp.Compare(a.eligibleAt, b.eligibleAt),
		strings.Compare(a.id, b.id))
}

// precedence returns 2 for a production job, 1 for a starved job, and 0 otherwise.
func (j *jobState) precedence() int {
	switch {
	case j.rank == api.RankProduction:
		return 2
	case j.starved:
		return 1
	}
	return 0
}

// guaranteeRank returns 1 for a job that was within its team's guarantee on arrival and still is, so that it need not
// wait for other teams. It returns 0 for all other jobs, including those that come within the guarantee only because
// earlier jobs of the team ended (docs/incidents/fleet-guarantee-by-arrival.md).
func (j *jobState) guaranteeRank() int {
	if j.guaranteed && j.overQuota == 0 {
		return 1
	}
	return 0
}

// sortQueues updates the values by which compareJobs orders jobs, and sorts the jobs and the queues of all machines.
// s.mu must be held.
func (s *Scheduler) sortQueues() {
	s.markGuaranteed()
	nowMS := s.now().UnixMilli()
	fleetCPUs := s.fleetCPUs()
	s.dependencies.inheritUrgency(fleetCPUs)
	weight := math.Max(tuning.MinWorkWeight, tuning.WorkWeightPerJob*s.waitingJobs())
	startWithin := settings.Seconds(s.configuration.Policy.Value(policy.BeginByS, nil))
	for _, job := range s.jobOrder {
		job.starved = job.unplaced() > 0 &&
			job.rank != api.RankProduction &&
			ageing.Starved(s.now(), job.waitingSince, job.lastStart, startWithin) &&
			s.startableNow(job)
		job.latestStart = s.latestStart(job, nowMS)
		if job.latestStart < math.MaxInt64 && fleetCPUs > 0 {
			// Of two equally urgent jobs, the one with less work relative to the fleet comes first. When not all jobs can
			// meet their deadlines, this order lets more of them do so.
			work := float64(job.taskCount-job.completedCount) * estimate(job) * job.request.CPUs / fleetCPUs
			job.latestStart += int64(weight * math.Min(work, tuning.MaxWorkS) * 1000)
		}
	}
	slices.SortFunc(s.jobOrder, compareJobs)
	for _, machine := range s.machines {
		slices.SortFunc(machine.queues, func(a, b *runQueue) int { return compareJobs(a.job, b.job) })
	}
}

// fleetCPUs returns the total CPUs of the machines that are up. s.mu must be held.
func (s *Scheduler) fleetCPUs() (cpus float64) {
	for _, machine := range s.machines {
		if machine.Up && machine.Spec != nil {
			cpus += machine.Spec.CPUs
		}
	}
	return cpus
}

// waitingJobs returns the number of jobs that have tasks to start. s.mu must be held.
func (s *Scheduler) waitingJobs() (jobs float64) {
	for _, job := range s.jobOrder {
		if job.FinalState == "" && job.unplaced() > 0 {
			jobs++
		}
	}
	return jobs
}

// markGuaranteed determines which jobs fit into their team's guarantee together with the team's earlier unfinished jobs.
// It leaves s.jobOrder sorted by the time at which the jobs became eligible. s.mu must be held.
func (s *Scheduler) markGuaranteed() {
	slices.SortFunc(s.jobOrder, func(a, b *jobState) int { return cmp.Compare(a.eligibleAt, b.eligibleAt) })
	requested := map[string]fleet.Resources{}
	for _, job := range s.jobOrder {
		if job.FinalState != "" || job.waitsForDependencies {
			continue
		}
		tasks := float64(job.taskCount - job.completedCount)
		use := requested[job.Job.Team].Add(fleet.Resources{CPUs: tasks * job.request.CPUs, Cards: tasks * job.request.Cards})
		requested[job.Job.Team] = use
		team, _ := s.configuration.Team(job.Job.Team)
		job.overQuota = 1
		if team.CPUs > 0 && use.CPUs <= team.CPUs+tuning.ResourceSlack && use.Cards <= team.Cards+tuning.ResourceSlack {
			job.overQuota = 0
		}
		if !job.guaranteeChecked {
			job.guaranteeChecked, job.guaranteed = true, job.overQuota == 0
		}
	}
}

// latestStart returns the time, in Unix ms, by which the rest of a job must start to meet the first of its deadlines
// that it still can meet. It returns math.MaxInt64 if the job can meet none, so that it is ordered after jobs that can.
// s.mu must be held.
func (s *Scheduler) latestStart(job *jobState, nowMS int64) int64 {
	runMS := int64(estimate(job) * 1000)
	deadlines := job.inherited.DueTimesMS
	if deadlines == nil {
		deadlines = s.deadlines(job)
	}
	for _, deadline := range deadlines {
		if start := deadline - runMS; start >= nowMS {
			return start
		}
	}
	return math.MaxInt64
}

// deadlines returns the times by which a job should be complete, in Unix ms, ascending. For a job with a deadline these
// are the deadline and those multiples of it for which its class has objectives, counted from the submission. For any
// other job these are the objectives of its class, counted from the time at which the job became eligible. A job that
// misses one of them is still ordered by the next.
func (s *Scheduler) deadlines(job *jobState) (deadlines []int64) {
	if job.Job.DeadlineS <= 0 {
		for _, within := range s.objectives[job.Job.Class] {
			deadlines = append(deadlines, job.eligibleAt+int64(within*1000))
		}
		return deadlines
	}
	deadlines = append(deadlines, job.AcceptedAt+int64(job.Job.DeadlineS*1000))
	for _, multiple := range s.deadlineMultiples[job.Job.Class] {
		deadlines = append(deadlines, job.AcceptedAt+int64(multiple*job.Job.DeadlineS*1000))
	}
	return deadlines
}

// lowestRank returns the lowest rank of the jobs that have allocations, or api.RankProduction if none has.
func lowestRank(jobs []*jobState) int {
	lowest := api.RankProduction
	for _, job := range jobs {
		if len(job.allocations) > 0 {
			lowest = min(lowest, job.rank)
		}
	}
	return lowest
}

// estimate returns the expected run time of a task of a job in seconds, which is at least tuning.MinRunTimeS.
func estimate(job *jobState) float64 { return math.Max(tuning.MinRunTimeS, job.Job.EstimateS) }
