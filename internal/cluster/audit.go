package cluster

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/settings"
)

// Rules that an Audit checks. The values are the rules' names in results.
const (
	// RanOnTwoMachines means that a task ran on two machines at the same time.
	RanOnTwoMachines = "ran_twice"
	// OverQuota means that a team's running tasks used more than its CPU limit.
	OverQuota = "quota"
	// RanAfterCancel means that a task ran too long after its job was reported as cancelled.
	RanAfterCancel = "ran_cancelled"
	// DoneBeforeTasks means that a job was reported as done before all of its tasks had completed.
	DoneBeforeTasks = "not_done"
	// StateReverted means that a job left a terminal state, or was reported as cancelled without a request.
	StateReverted = "went_back"
	// JobLost means that an accepted job was reported as unknown or refused, or that its user got no answer.
	JobLost = "forgotten"
	// UnknownJob means that a controller reported a job that nobody had submitted.
	UnknownJob = "invented"
	// StartedBeforeDependency means that a task started before the jobs that its job depends on were done.
	StartedBeforeDependency = "too_early"
	// NotCancelledWithDependency means that a job was not cancelled although a job that it depends on was.
	NotCancelledWithDependency = "orphaned"
)

// Audit records which tasks run on which machines and which job states were reported to users, and checks both against
// the protocol's rules. It is safe for concurrent use.
type Audit struct {
	cancelWithin time.Duration

	// mu guards the fields below.
	mu         sync.Mutex
	limits     map[string]float64
	usage      map[string]float64
	jobs       map[string]*AuditedJob
	placements fake.Placements[string]
	// startedAt is when each task last started.
	startedAt map[string]time.Time
	// firstStarts is when the first task started under each leader's term.
	firstStarts       map[uint64]time.Time
	starts            int
	violations        map[string]int
	ineffectiveStarts IneffectiveStarts
	// The following fields are the counters that Counts returns.
	requests, answers, outOfOrderAnswers, terminalJobs int
	explanations                                       []string
}

// AuditedJob is a submitted job with the progress of its tasks and the states that were reported to its user. The
// audit's lock guards it.
type AuditedJob struct {
	api.Submission
	// Submitted is when the job was recorded, just before its submission. Accepted is when the first answer that
	// accepted it arrived, zero before.
	Submitted, Accepted time.Time
	// TasksStarted counts the tasks that started at least once.
	TasksStarted int
	// LastTaskStartedAt is when a task of the job last started for the first time.
	LastTaskStartedAt time.Time
	// TasksDone counts the tasks that completed.
	TasksDone int
	// TerminalState is the terminal state that was first reported to the user, empty before.
	TerminalState string
	// TerminalStateAt is when that state was reported.
	TerminalStateAt time.Time
	// AnsweredAt is when a request about the job was last answered.
	AnsweredAt time.Time
	// cancelRequested is set just before the user first requests the job's cancellation.
	cancelRequested bool

	startedTasks, doneTasks map[string]bool
	finished                time.Time
}

// Finished returns when the last task completed, zero before.
func (job *AuditedJob) Finished() time.Time { return job.finished }

// NewAudit returns an audit without jobs. A team whose CPUsMax is 0 has no limit. A cancellation must take effect
// within workers.CancelDeadlineS seconds.
func NewAudit(teams []settings.Team, workers settings.Workers) *Audit {
	audit := &Audit{cancelWithin: seconds(workers.CancelDeadlineS), limits: map[string]float64{}, usage: map[string]float64{}, jobs: map[string]*AuditedJob{}, placements: fake.Placements[string]{}, startedAt: map[string]time.Time{}, firstStarts: map[uint64]time.Time{}, violations: map[string]int{}}
	for _, team := range teams {
		if team.CPUsMax > 0 {
			audit.limits[team.Name] = team.CPUsMax
		}
	}
	return audit
}

// Submit records a job. It must be called once for each job, before the job is sent to a controller.
func (audit *Audit) Submit(submission api.Submission) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	audit.jobs[submission.ID] = &AuditedJob{Submission: submission, Submitted: time.Now(), startedTasks: map[string]bool{}, doneTasks: map[string]bool{}}
}

// checkDependencies checks that all jobs that the started task's job depends on are done. The caller holds mu.
func (audit *Audit) checkDependencies(job *AuditedJob, task string) {
	for _, id := range job.Awaits {
		if awaited := audit.jobs[id]; awaited != nil && awaited.TasksDone < awaited.Tasks {
			audit.recordViolation(StartedBeforeDependency, "%s before %s, of which %d of %d tasks are done", task, id, awaited.TasksDone, awaited.Tasks)
		}
	}
}

// Started records that a machine started a task under a leader's term, and checks the start against the rules.
func (audit *Audit) Started(task, machine string, term uint64) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	now := time.Now()
	audit.starts++
	audit.startedAt[task] = now
	if audit.firstStarts[term].IsZero() {
		audit.firstStarts[term] = now
	}
	otherMachines, again := audit.placements.Start(task, machine)
	for _, other := range otherMachines {
		audit.recordViolation(RanOnTwoMachines, "%s on %s and %s", task, other, machine)
	}
	job := audit.jobOf(task)
	if job == nil {
		return
	}
	audit.checkDependencies(job, task)
	if !again {
		audit.usage[job.Team] += job.CPUs
	}
	if limit, ok := audit.limits[job.Team]; ok && audit.usage[job.Team] > limit+1e-6 {
		audit.recordViolation(OverQuota, "%s: %s uses %g of %g", task, job.Team, audit.usage[job.Team], limit)
	}
	if !job.startedTasks[task] {
		job.startedTasks[task] = true
		job.TasksStarted++
		job.LastTaskStartedAt = time.Now()
	}
	if job.TerminalState == api.Cancelled && time.Since(job.TerminalStateAt) > audit.cancelWithin {
		audit.recordViolation(RanAfterCancel, "%s started %v after its cancellation was reported", task, time.Since(job.TerminalStateAt).Round(time.Millisecond))
	}
}

// IneffectiveStarts counts the start commands that had no effect because the worker already had that attempt or another
// one of the task. This happens when a start command and the heartbeat that reports an exit, or a start command and a
// kill command, pass each other in transit. The fields are written out under their Go names.
type IneffectiveStarts struct {
	// Repeated counts starts of attempts that had not exited, Late those of attempts that had, and Busy those that
	// arrived while another attempt of the task had not exited.
	Repeated, Late, Busy int
}

// Sum returns the number of start commands without effect of all kinds.
func (counts IneffectiveStarts) Sum() int { return counts.Repeated + counts.Late + counts.Busy }

// RecordIneffectiveStart records a start command that had no effect at a worker.
func (audit *Audit) RecordIneffectiveStart(kind fake.IneffectiveStart) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	switch kind {
	case fake.RepeatedStart:
		audit.ineffectiveStarts.Repeated++
	case fake.LateStart:
		audit.ineffectiveStarts.Late++
	case fake.BusyStart:
		audit.ineffectiveStarts.Busy++
	}
}

// IneffectiveStarts returns the number of start commands that had no effect, by kind.
func (audit *Audit) IneffectiveStarts() IneffectiveStarts {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	return audit.ineffectiveStarts
}

// Ended records that a task no longer runs on a machine, and whether it completed.
func (audit *Audit) Ended(task, machine string, done bool) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	job := audit.jobOf(task)
	if audit.placements.End(task, machine) && job != nil {
		audit.usage[job.Team] -= job.CPUs
	}
	if job == nil || !done || job.doneTasks[task] {
		return
	}
	job.doneTasks[task] = true
	if job.TasksDone++; job.TasksDone == job.Tasks {
		job.finished = time.Now()
	}
}

// CheckCancelledJobs checks that no task of a cancelled job still runs after the time that the protocol allows.
func (audit *Audit) CheckCancelledJobs() {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	for task, machine := range audit.placements.All() {
		if job := audit.jobOf(task); job != nil && job.TerminalState == api.Cancelled && time.Since(job.TerminalStateAt) > audit.cancelWithin {
			audit.recordViolation(RanAfterCancel, "%s is on %s %v after its cancellation was reported", task, machine, time.Since(job.TerminalStateAt).Round(time.Millisecond))
		}
	}
}

// Violations returns the number of violations by rule, and explanations of the first maxExplanations.
func (audit *Audit) Violations() (counts map[string]int, explanations []string) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	return maps.Clone(audit.violations), slices.Clone(audit.explanations)
}

// Jobs calls f for each job with the audit's lock held. f must not call the audit.
func (audit *Audit) Jobs(f func(job *AuditedJob)) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	for _, job := range audit.jobs {
		f(job)
	}
}

// RunningOn returns the tasks that run on the given machines, in no order.
func (audit *Audit) RunningOn(machines map[string]bool) (tasks []string) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	for task, machine := range audit.placements.All() {
		if machines[machine] {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// StartedSince returns, for each of the tasks that last started after the given time, the time from then to that start.
func (audit *Audit) StartedSince(at time.Time, tasks []string) (after []time.Duration) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	for _, task := range tasks {
		if started := audit.startedAt[task]; started.After(at) {
			after = append(after, started.Sub(at))
		}
	}
	return after
}

// FirstStart returns when the first task started under a term higher than the given one, zero if none did.
func (audit *Audit) FirstStart(term uint64) (first time.Time) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	for startTerm, at := range audit.firstStarts {
		if startTerm > term && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// Estimate returns the run time that the task's job declares for its tasks, 0 if the job is unknown.
func (audit *Audit) Estimate(task string) time.Duration {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	if job := audit.jobOf(task); job != nil {
		return seconds(job.EstimateS)
	}
	return 0
}

// Starts returns the number of task starts so far, repeated starts of a task included.
func (audit *Audit) Starts() int {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	return audit.starts
}

// maxExplanations is the maximum number of violations that are explained.
const maxExplanations = 20

// recordViolation counts a violation of a rule, and records an explanation of the first maxExplanations. The caller
// holds mu.
func (audit *Audit) recordViolation(rule, format string, args ...any) {
	audit.violations[rule]++
	if len(audit.explanations) < maxExplanations {
		audit.explanations = append(audit.explanations, rule+": "+fmt.Sprintf(format, args...))
	}
}

// jobOf returns the job of a task, nil if it is unknown. The caller holds mu.
func (audit *Audit) jobOf(task string) *AuditedJob {
	jobID, _, _ := strings.Cut(task, "/")
	return audit.jobs[jobID]
}
