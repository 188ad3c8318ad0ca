package simulation

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Limits by which a run is judged.
const (
	// forgottenAfter is how long a job may go without an answer once all faults are over.
	forgottenAfter = 75 * time.Second
	// doneReportLag is how soon after its last task's end a job has to be reported done.
	doneReportLag = 3 * time.Second
	// largestStartLimit is how soon the largest jobs of a class have to start.
	largestStartLimit = 240 * time.Second
	// starvationLimit is how long a job may wait beside free resources that fit it.
	starvationLimit = 90 * time.Second
	// maxExplanations bounds Result.Explanations as to what is recorded while the simulation runs.
	maxExplanations = 20
	// cpuTolerance is by how many processors sums may exceed a limit through rounding.
	cpuTolerance = 1e-6
	// teamPrefix distinguishes teams from classes where jobs are grouped by either.
	teamPrefix = "team "
)

// Result is what was found in one run of a scenario.
type Result struct {
	// Jobs counts accepted jobs, Tasks the starts of tasks.
	Jobs  int `json:"jobs"`
	Tasks int `json:"tasks_started"`
	// TasksRestarted counts the starts of tasks that had started before.
	TasksRestarted int `json:"tasks_started_again"`
	// Rules counts violations by the name of the rule; Explanations describe the first few.
	Rules        map[string]int `json:"rules_broken"`
	Explanations []string       `json:"why,omitempty"`
	// LongestUnansweredS is the longest time, in seconds, that the user of a job got no answer once all
	// faults were over; Forgotten counts jobs left without an answer for longer than forgottenAfter.
	LongestUnansweredS float64 `json:"longest_unanswered_s"`
	Forgotten          int     `json:"forgotten"`
	// PendingForGood counts accepted jobs that nobody cancelled and that had not started in the end.
	PendingForGood int `json:"pending_for_good"`
	// ClassesMinShare is the least share of started jobs among the classes, the teams and the largest
	// jobs of each class; LargestBeginP99S is the 99th percentile of the start delay of the largest, in seconds.
	ClassesMinShare  float64 `json:"classes_min_share"`
	LargestBeginP99S float64 `json:"largest_begin_p99_s"`
	// StartsInVain counts tasks sent to a machine later than one lease after it stopped hearing
	// controllers, per such machine and lease. ReturnedInVain counts machines that were given back with
	// work on them although no fault had met them in the last minute.
	StartsInVain   float64 `json:"starts_in_vain"`
	ReturnedInVain int     `json:"returned_in_vain"`
	// StartedAfterCancel counts tasks that started after the cancellation was acknowledged. StarvedJobs
	// counts jobs that waited longer than starvationLimit after all faults while a machine had room for
	// them and their team was under its limit. WrongAnswers counts answers to invalid requests that the
	// protocol does not have.
	StartedAfterCancel int `json:"started_cancelled"`
	StarvedJobs        int `json:"waited_in_vain"`
	WrongAnswers       int `json:"wrong_answers"`
	// ConfigurationChanges counts the revisions of the configuration that came into force.
	ConfigurationChanges int `json:"changes_in_force,omitempty"`
}

// laterOf is the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// evaluate judges the whole run at its end. It is called once, while the controllers still run.
func (checker *invariantChecker) evaluate() *Result {
	checker.countLostLeases()
	checker.mu.Lock()
	defer checker.mu.Unlock()
	now := time.Now()
	// classes are the jobs that should have started, by class and, under "team " and its name, by team.
	classes := map[string][]*trackedJob{}
	for _, job := range checker.jobsInOrder {
		if job.acceptedAt.IsZero() {
			continue
		}
		checker.result.Jobs++
		if job.finalState == "" {
			checker.evaluateOpenJob(job, now)
		}
		if job.cancelledAt.IsZero() && job.orphanedAt.IsZero() && !checker.awaitsDependency(job) {
			classes[job.Class] = append(classes[job.Class], job)
			classes[teamPrefix+job.Team] = append(classes[teamPrefix+job.Team], job)
		}
	}
	checker.evaluateClasses(classes, now)
	if checker.lostLeases > 0 {
		checker.result.StartsInVain = float64(len(checker.wastedStarts)) / max(1, checker.lostLeases)
	}
	if checker.result.Tasks == 0 {
		checker.recordViolation("nothing_ran", "no task was started")
	}
	result := checker.result
	return &result
}

// countLostLeases adds the machines that are unreachable for controllers at the end.
func (checker *invariantChecker) countLostLeases() {
	checker.sim.mu.Lock()
	defer checker.sim.mu.Unlock()
	for _, machine := range checker.sim.machines {
		if !machine.outboundLostSince.IsZero() {
			checker.lostLeases += time.Since(machine.outboundLostSince).Seconds() / checker.sim.Workers.LeaseS
		}
	}
}

// evaluateOpenJob judges a job whose user was told of no terminal state; checker.mu is held.
func (checker *invariantChecker) evaluateOpenJob(job *trackedJob, now time.Time) {
	result := &checker.result
	unanswered := now.Sub(job.answeredAt)
	result.LongestUnansweredS = max(result.LongestUnansweredS, unanswered.Seconds())
	if unanswered > forgottenAfter {
		result.Forgotten++
	}
	if job.startedAt.IsZero() && job.orphanedAt.IsZero() && job.cancelledAt.IsZero() && !checker.awaitsDependency(job) {
		result.PendingForGood++
		result.Explanations = append(result.Explanations, fmt.Sprintf("pending for good: %s %s, %d tasks, accepted %v ago", job.ID, job.Class, job.Tasks, now.Sub(job.acceptedAt).Round(time.Second)))
	}
	if !job.doneAt.IsZero() && now.Sub(job.doneAt) > doneReportLag+2*pollInterval && job.answeredAt.Sub(job.doneAt) > doneReportLag {
		result.Explanations = append(result.Explanations, fmt.Sprintf("done late: %s", job.ID))
	}
}

// evaluateClasses computes the least share of started jobs and the start delay of the largest; checker.mu is held.
func (checker *invariantChecker) evaluateClasses(classes map[string][]*trackedJob, now time.Time) {
	result := &checker.result
	result.ClassesMinShare = 1
	var delays []float64
	for name, jobs := range classes {
		result.ClassesMinShare = min(result.ClassesMinShare, startedShare(jobs, 0))
		if strings.HasPrefix(name, teamPrefix) {
			continue
		}
		sort.SliceStable(jobs, func(i, j int) bool { return float64(jobs[i].Tasks)*jobs[i].CPUs > float64(jobs[j].Tasks)*jobs[j].CPUs })
		largest := jobs[:min(len(jobs), max(1, len(jobs)/10))]
		result.ClassesMinShare = min(result.ClassesMinShare, startedShare(largest, largestStartLimit))
		for _, job := range largest {
			delays = append(delays, job.startDelay(now).Seconds())
		}
	}
	if len(delays) > 0 {
		sort.Float64s(delays)
		result.LargestBeginP99S = delays[(len(delays)*99-1)/100]
	}
}

// startedShare is the share of jobs that started, within that time if it is not 0; of no jobs it is 1.
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

// startableAt is when nothing but the scheduler kept the job from starting.
func (job *trackedJob) startableAt() time.Time { return laterOf(job.acceptedAt, job.readyAt) }

// startDelay is how long the job was startable before it started, or has been until now.
func (job *trackedJob) startDelay(now time.Time) time.Duration {
	if job.startedAt.IsZero() {
		return now.Sub(job.startableAt())
	}
	return max(0, job.startedAt.Sub(job.startableAt()))
}
