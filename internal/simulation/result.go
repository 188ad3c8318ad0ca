package simulation

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Limits that a run is checked against.
const (
	// maxUnansweredTime is how long the user of a job may get no response once all faults are over.
	maxUnansweredTime = 75 * time.Second
	// maxDoneReportDelay is the longest time between the end of a job's last task and the response that reports the job
	// as done.
	maxDoneReportDelay = 3 * time.Second
	// maxLargestStartDelay is the longest start delay of the largest jobs of a class.
	maxLargestStartDelay = 240 * time.Second
	// maxStarvationTime is how long a job may wait while free resources fit it.
	maxStarvationTime = 90 * time.Second
	// maxExplanations is how many explanations are added to Result.Explanations while the simulation runs. The
	// evaluation at its end may add more.
	maxExplanations = 20
	// cpuTolerance is by how many processors a sum may exceed a limit, for rounding errors.
	cpuTolerance = 1e-6
	// teamPrefix distinguishes the names of teams from those of classes where jobs are grouped by both.
	teamPrefix = "team "
)

// Result holds the findings of one run of a scenario.
type Result struct {
	// Jobs counts the accepted jobs.
	Jobs int `json:"jobs"`
	// TaskStarts counts the starts of tasks.
	TaskStarts int `json:"tasks_started"`
	// TaskRestarts counts the starts of tasks that had started before.
	TaskRestarts int `json:"tasks_started_again"`
	// Violations counts violations by the name of the rule.
	Violations map[string]int `json:"rules_broken"`
	// Explanations describes the first findings.
	Explanations []string `json:"why,omitempty"`
	// LongestUnansweredS is the longest time, in seconds, for which the user of a job got no response once all faults
	// were over.
	LongestUnansweredS float64 `json:"longest_unanswered_s"`
	// UnansweredJobs counts the unfinished jobs whose users had got no response for longer than maxUnansweredTime at the
	// end.
	UnansweredJobs int `json:"forgotten"`
	// NeverStartedJobs counts the accepted jobs that had not started at the end although their dependencies were done and
	// neither they nor their dependencies were cancelled.
	NeverStartedJobs int `json:"pending_for_good"`
	// MinStartedShare is the smallest share of started jobs among the classes, the teams and the largest jobs of each
	// class. Of the largest jobs, only those that started within maxLargestStartDelay count as started.
	MinStartedShare float64 `json:"classes_min_share"`
	// LargestStartDelayP99S is the 99th percentile of the start delay of the largest jobs of all classes, in seconds.
	LargestStartDelayP99S float64 `json:"largest_begin_p99_s"`
	// UndeliveredStartsPerLease is the number of starts that were sent to machines which had received nothing from
	// controllers for a lease or longer, divided by the number of leases for which machines received nothing, at least 1.
	UndeliveredStartsPerLease float64 `json:"starts_in_vain"`
	// BusyMachinesReturned counts the machines that were returned to the cloud while they ran tasks, although no fault had
	// affected them within the last minute.
	BusyMachinesReturned int `json:"returned_in_vain"`
	// StartsAfterCancel counts the starts of tasks after the cancellation of their job was reported to its user.
	StartsAfterCancel int `json:"started_cancelled"`
	// StarvedJobs counts the jobs that waited longer than maxStarvationTime, after all faults were over, while free
	// resources fit them and their team was below its limit.
	StarvedJobs int `json:"waited_in_vain"`
	// UnexpectedResponses counts the responses that the protocol does not allow, mostly to invalid requests.
	UnexpectedResponses int `json:"wrong_answers"`
	// ConfigurationChanges counts the changes of the configuration that were confirmed to be in force.
	ConfigurationChanges int `json:"changes_in_force,omitempty"`
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// evaluate computes the result at the end of a run. It must be called only once, while the controllers still run.
func (checker *invariantChecker) evaluate() *Result {
	checker.countUnreachableLeases()
	checker.mu.Lock()
	defer checker.mu.Unlock()
	now := time.Now()
	// groups holds the jobs that should have started, by class and by team; teamPrefix precedes the name of a team.
	groups := map[string][]*trackedJob{}
	for _, job := range checker.jobsInOrder {
		if job.acceptedAt.IsZero() {
			continue
		}
		checker.result.Jobs++
		if job.terminalState == "" {
			checker.evaluateUnfinishedJob(job, now)
		}
		if job.cancelledAt.IsZero() && job.orphanedAt.IsZero() && !checker.awaitsDependency(job) {
			groups[job.Class] = append(groups[job.Class], job)
			groups[teamPrefix+job.Team] = append(groups[teamPrefix+job.Team], job)
		}
	}
	checker.evaluateGroups(groups, now)
	if checker.unreachableLeases > 0 {
		checker.result.UndeliveredStartsPerLease = float64(len(checker.undeliveredStarts)) / max(1, checker.unreachableLeases)
	}
	if checker.result.TaskStarts == 0 {
		checker.recordViolation("nothing_ran", "no task was started")
	}
	result := checker.result
	return &result
}

// countUnreachableLeases adds to unreachableLeases the time for which machines that are still unreachable at the end
// received nothing.
func (checker *invariantChecker) countUnreachableLeases() {
	checker.sim.mu.Lock()
	defer checker.sim.mu.Unlock()
	for _, machine := range checker.sim.machines {
		if !machine.outboundLostSince.IsZero() {
			checker.unreachableLeases += time.Since(machine.outboundLostSince).Seconds() / checker.sim.Workers.LeaseS
		}
	}
}

// evaluateUnfinishedJob evaluates an accepted job of which no terminal state was reported to its user; checker.mu is
// held.
func (checker *invariantChecker) evaluateUnfinishedJob(job *trackedJob, now time.Time) {
	result := &checker.result
	unanswered := now.Sub(job.answeredAt)
	result.LongestUnansweredS = max(result.LongestUnansweredS, unanswered.Seconds())
	if unanswered > maxUnansweredTime {
		result.UnansweredJobs++
	}
	if job.startedAt.IsZero() && job.orphanedAt.IsZero() && job.cancelledAt.IsZero() && !checker.awaitsDependency(job) {
		result.NeverStartedJobs++
		result.Explanations = append(result.Explanations, fmt.Sprintf("pending for good: %s %s, %d tasks, accepted %v ago", job.ID, job.Class, job.Tasks, now.Sub(job.acceptedAt).Round(time.Second)))
	}
	if !job.doneAt.IsZero() && now.Sub(job.doneAt) > maxDoneReportDelay+2*pollInterval && job.answeredAt.Sub(job.doneAt) > maxDoneReportDelay {
		result.Explanations = append(result.Explanations, fmt.Sprintf("reported as done too late: %s", job.ID))
	}
}

// evaluateGroups computes the smallest share of started jobs and the start delay of the largest jobs; checker.mu is
// held.
func (checker *invariantChecker) evaluateGroups(groups map[string][]*trackedJob, now time.Time) {
	result := &checker.result
	result.MinStartedShare = 1
	var delays []float64
	for name, jobs := range groups {
		result.MinStartedShare = min(result.MinStartedShare, startedShare(jobs, 0))
		if strings.HasPrefix(name, teamPrefix) {
			continue
		}
		sort.SliceStable(jobs, func(i, j int) bool { return float64(jobs[i].Tasks)*jobs[i].CPUs > float64(jobs[j].Tasks)*jobs[j].CPUs })
		largest := jobs[:min(len(jobs), max(1, len(jobs)/10))]
		result.MinStartedShare = min(result.MinStartedShare, startedShare(largest, maxLargestStartDelay))
		for _, job := range largest {
			delays = append(delays, job.startDelay(now).Seconds())
		}
	}
	if len(delays) > 0 {
		sort.Float64s(delays)
		result.LargestStartDelayP99S = delays[(len(delays)*99-1)/100]
	}
}

// startedShare returns the share of jobs that started, with a start delay of at most within unless within is 0. Without
// jobs it returns 1.
func startedShare(jobs []*trackedJob, within time.Duration) float64 {
	if len(jobs) == 0 {
		return 1
	}
	started := 0
	for _, job := range jobs {
		if !job.startedAt.IsZero() && (within == 0 || job.startedAt.Sub(job.startableAt()) <= within) {
			started++
		}
	}
	return float64(started) / float64(len(jobs))
}

// startableAt returns when the job could start at the earliest: once it was accepted and its dependencies were done.
func (job *trackedJob) startableAt() time.Time { return laterOf(job.acceptedAt, job.readyAt) }

// startDelay returns the time from startableAt to the job's start, or to now if the job has not started.
func (job *trackedJob) startDelay(now time.Time) time.Duration {
	if job.startedAt.IsZero() {
		return now.Sub(job.startableAt())
	}
	return max(0, job.startedAt.Sub(job.startableAt()))
}
