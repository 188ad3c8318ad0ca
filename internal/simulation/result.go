package simulation

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// What users bear, as the protocol and operators say.
const (
	pollInterval      = 5 * time.Second
	pollTimeout       = 2 * time.Second
	forgottenAfter    = 75 * time.Second
	doneReportLag     = 3 * time.Second
	largestStartLimit = 240 * time.Second
	starvationLimit   = 90 * time.Second
)

// Result is what is found of a day.
type Result struct {
	Jobs  int `json:"jobs"`
	Tasks int `json:"tasks_started"`
	// TasksRestarted are those of them that had begun before.
	TasksRestarted int `json:"tasks_started_again"`
	// Rules are the broken ones and how often; Why are the first few.
	Rules        map[string]int `json:"rules_broken"`
	Explanations []string       `json:"why,omitempty"`
	// LongestUnansweredS is the longest that no question about a job was answered, once all troubles
	// were over; Forgotten are jobs with over 75 s of that.
	LongestUnansweredS float64 `json:"longest_unanswered_s"`
	Forgotten          int     `json:"forgotten"`
	// PendingForGood are accepted jobs that nobody cancelled, and that had not begun in the end.
	PendingForGood int `json:"pending_for_good"`
	// ClassesMinShare is the least share of a class, a team, or a class's largest jobs that began;
	// LargestBeginP99S is after how long the largest of all classes did.
	ClassesMinShare  float64 `json:"classes_min_share"`
	LargestBeginP99S float64 `json:"largest_begin_p99_s"`
	// StartsInVain are tasks given to half-deaf machines later than a lease after they became so,
	// for each such machine and lease; ReturnedInVain are machines with work that no trouble had
	// met in the last minute.
	StartsInVain   float64 `json:"starts_in_vain"`
	ReturnedInVain int     `json:"returned_in_vain"`
	// StartedAfterCancel are tasks that began after their users were told of the cancellation; StarvedJobs are jobs
	// that waited 90 s once troubles were over while a machine that fits had room and their team was under its
	// teamLimit; WrongAnswers are odd requests that were answered otherwise than the protocol says.
	StartedAfterCancel int `json:"started_cancelled"`
	StarvedJobs        int `json:"waited_in_vain"`
	WrongAnswers       int `json:"wrong_answers"`
	// ConfigurationChanges are those of the configuration that came into force.
	ConfigurationChanges int `json:"changes_in_force,omitempty"`
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// evaluate is what is found in the end.
func (checker *invariantChecker) evaluate() *Result {
	checker.sim.mu.Lock()
	for _, machine := range checker.sim.machines {
		if !machine.outboundLostSince.IsZero() {
			checker.lostLeases += time.Since(machine.outboundLostSince).Seconds() / checker.sim.Workers.LeaseS
		}
	}
	checker.sim.mu.Unlock()
	checker.mu.Lock()
	defer checker.mu.Unlock()
	now := time.Now()
	var largest []float64
	classes := map[string][]*trackedJob{}
	for _, job := range checker.jobsInOrder {
		if job.acceptedAt.IsZero() {
			continue
		}
		checker.result.Jobs++
		if job.finalState == "" {
			gap := now.Sub(job.answeredAt)
			checker.result.LongestUnansweredS = max(checker.result.LongestUnansweredS, gap.Seconds())
			if gap > forgottenAfter {
				checker.result.Forgotten++
			}
			if job.startedAt.IsZero() && job.orphanedAt.IsZero() && job.cancelledAt.IsZero() && !checker.awaitsDependency(job) {
				checker.result.PendingForGood++
				checker.result.Explanations = append(checker.result.Explanations, fmt.Sprintf("pending for good: %s %s, %d tasks, accepted %v ago", job.ID, job.Class, job.Tasks, now.Sub(job.acceptedAt).Round(time.Second)))
			}
			if over := job.doneAt; !over.IsZero() && now.Sub(over) > doneReportLag+2*pollInterval && job.answeredAt.Sub(over) > doneReportLag {
				checker.result.Explanations = append(checker.result.Explanations, fmt.Sprintf("done late: %s", job.ID))
			}
		}
		if job.cancelledAt.IsZero() && job.orphanedAt.IsZero() && !checker.awaitsDependency(job) {
			classes[job.Class] = append(classes[job.Class], job)
			classes["team "+job.Team] = append(classes["team "+job.Team], job)
		}
	}
	checker.result.ClassesMinShare = 1
	share := func(jobs []*trackedJob, within time.Duration) {
		n := 0
		for _, job := range jobs {
			if !job.startedAt.IsZero() && (within == 0 || job.startedAt.Sub(laterOf(job.acceptedAt, job.readyAt)) <= within) {
				n++
			}
		}
		if len(jobs) > 0 {
			checker.result.ClassesMinShare = min(checker.result.ClassesMinShare, float64(n)/float64(len(jobs)))
		}
	}
	for name, jobs := range classes {
		share(jobs, 0)
		if strings.HasPrefix(name, "team ") {
			continue
		}
		sort.SliceStable(jobs, func(i, j int) bool { return float64(jobs[i].Tasks)*jobs[i].CPUs > float64(jobs[j].Tasks)*jobs[j].CPUs })
		top := jobs[:min(len(jobs), max(1, len(jobs)/10))]
		share(top, largestStartLimit)
		for _, job := range top {
			if job.startedAt.IsZero() {
				largest = append(largest, now.Sub(laterOf(job.acceptedAt, job.readyAt)).Seconds())
			} else {
				largest = append(largest, max(0, job.startedAt.Sub(laterOf(job.acceptedAt, job.readyAt)).Seconds()))
			}
		}
	}
	if len(largest) > 0 {
		sort.Float64s(largest)
		checker.result.LargestBeginP99S = largest[(len(largest)*99-1)/100]
	}
	if checker.lostLeases > 0 {
		checker.result.StartsInVain = float64(len(checker.wastedStarts)) / max(1, checker.lostLeases)
	}
	if checker.result.Tasks == 0 {
		checker.recordViolation("nothing_ran", "no task was started")
	}
	r := checker.result
	return &r
}
