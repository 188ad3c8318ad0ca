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

// Rules that an Audit checks, by the protocol's names.
const (
	RanTwice     = "ran_twice"
	OverQuota    = "quota"
	RanCancelled = "ran_cancelled"
	NotDone      = "not_done"
	WentBack     = "went_back"
	Forgotten    = "forgotten"
	Invented     = "invented"
	TooEarly     = "too_early"
	Orphaned     = "orphaned"
)

// Audit records what runs where and what users were told, and checks it against the protocol's rules. It is safe for
// concurrent use.
type Audit struct {
	cancelWithin time.Duration

	mu         sync.Mutex
	limits     map[string]float64
	usage      map[string]float64
	jobs       map[string]*AuditedJob
	placements fake.Placements[string]
	// startedAt is when each task last started; terms when a leader's first start came, by its term.
	startedAt   map[string]time.Time
	firstStarts map[uint64]time.Time
	starts      int
	violations  map[string]int
	crossings   CrossedStarts
	// questions, answers, crossed and told are the fields of AuditCounts.
	questions, answers, crossed, told int
	explanations                      []string
}

// AuditedJob is a job as its user knows it.
type AuditedJob struct {
	api.Submission
	Submitted, Accepted time.Time
	// Begun counts tasks that started at least once; LastBegun is when the last of these did.
	Begun     int
	LastBegun time.Time
	Done      int
	// Told is the final state that its user was told, at ToldAt.
	Told   string
	ToldAt time.Time
	// AnsweredAt is when a question about it was last answered.
	AnsweredAt time.Time
	// cancelRequested is set before its user first asks for its cancellation.
	cancelRequested bool

	startedTasks, doneTasks map[string]bool
	finished                time.Time
}

// Finished is when the last task completed, zero before.
func (job *AuditedJob) Finished() time.Time { return job.finished }

// NewAudit makes an audit of a deployment that knows no jobs yet. A team without a limit is not bounded.
func NewAudit(teams []settings.Team, workers settings.Workers) *Audit {
	audit := &Audit{cancelWithin: seconds(workers.CancelS), limits: map[string]float64{}, usage: map[string]float64{}, jobs: map[string]*AuditedJob{}, placements: fake.Placements[string]{}, startedAt: map[string]time.Time{}, firstStarts: map[uint64]time.Time{}, violations: map[string]int{}}
	for _, team := range teams {
		if team.CPUsMax > 0 {
			audit.limits[team.Name] = team.CPUsMax
		}
	}
	return audit
}

// Submit records a job. It must be called once for each job, before the job is submitted.
func (audit *Audit) Submit(submission api.Submission) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	audit.jobs[submission.ID] = &AuditedJob{Submission: submission, Submitted: time.Now(), startedTasks: map[string]bool{}, doneTasks: map[string]bool{}}
}

// checkDependencies checks that the jobs that a started task's job awaits are done; mu is held.
func (audit *Audit) checkDependencies(job *AuditedJob, task string) {
	for _, id := range job.Awaits {
		if awaited := audit.jobs[id]; awaited != nil && awaited.Done < awaited.Tasks {
			audit.recordViolation(TooEarly, "%s before %s, of which %d of %d tasks are done", task, id, awaited.Done, awaited.Tasks)
		}
	}
}

// Started records that a machine started a task under a leader's term, and checks that it may.
func (audit *Audit) Started(task, machine string, term uint64) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	now := time.Now()
	audit.starts++
	audit.startedAt[task] = now
	if audit.firstStarts[term].IsZero() {
		audit.firstStarts[term] = now
	}
	elsewhere, again := audit.placements.Start(task, machine)
	for _, other := range elsewhere {
		audit.recordViolation(RanTwice, "%s on %s and %s", task, other, machine)
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
		job.Begun++
		job.LastBegun = time.Now()
	}
	if job.Told == api.Cancelled && time.Since(job.ToldAt) > audit.cancelWithin {
		audit.recordViolation(RanCancelled, "%s started %v after its cancellation was told", task, time.Since(job.ToldAt).Round(time.Millisecond))
	}
}

// CrossedStarts counts starts that reached a worker when it had the attempt already or another one of the task: starts
// and exits, or starts and stops, had crossed on the way.
type CrossedStarts struct {
	// Repeated came while the attempt had not ended, Late after it had, and Busy beside another attempt.
	Repeated, Late, Busy int
}

// Sum is how many starts crossed in any way.
func (c CrossedStarts) Sum() int { return c.Repeated + c.Late + c.Busy }

// StartCrossed records a start that changed nothing.
func (audit *Audit) StartCrossed(kind fake.CrossedStart) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	switch kind {
	case fake.RepeatedStart:
		audit.crossings.Repeated++
	case fake.LateStart:
		audit.crossings.Late++
	case fake.BusyStart:
		audit.crossings.Busy++
	}
}

// Crossings counts the starts that crossed with something on the way.
func (audit *Audit) Crossings() CrossedStarts {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	return audit.crossings
}

// Ended records that a task is no longer on a machine, and whether it completed.
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
	if job.Done++; job.Done == job.Tasks {
		job.finished = time.Now()
	}
}

// Sweep looks for tasks of cancelled jobs that still run after the time that the protocol allows.
func (audit *Audit) Sweep() {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	for task, machine := range audit.placements.All() {
		if job := audit.jobOf(task); job != nil && job.Told == api.Cancelled && time.Since(job.ToldAt) > audit.cancelWithin {
			audit.recordViolation(RanCancelled, "%s is on %s %v after its cancellation was told", task, machine, time.Since(job.ToldAt).Round(time.Millisecond))
		}
	}
}

// Broken counts the violations by rule and explains the first few.
func (audit *Audit) Broken() (counts map[string]int, why []string) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	return maps.Clone(audit.violations), slices.Clone(audit.explanations)
}

// Jobs calls f for each job, with the record locked.
func (audit *Audit) Jobs(f func(job *AuditedJob)) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	for _, job := range audit.jobs {
		f(job)
	}
}

// RunningOn are the tasks that run on some machines.
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

// StartedSince tells how long after a moment each of some tasks that started since then last did.
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

// FirstStart is when the first task started under a term higher than one; zero: none did.
func (audit *Audit) FirstStart(above uint64) (first time.Time) {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	for term, at := range audit.firstStarts {
		if term > above && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// Estimate is how long a task's job says that it runs.
func (audit *Audit) Estimate(task string) time.Duration {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	if job := audit.jobOf(task); job != nil {
		return seconds(job.EstimateS)
	}
	return 0
}

// Starts is how many tasks were started so far, each start counted.
func (audit *Audit) Starts() int {
	audit.mu.Lock()
	defer audit.mu.Unlock()
	return audit.starts
}

// maxExplanations is how many violations are explained.
const maxExplanations = 20

// recordViolation counts a violation of a rule and explains it unless many were; mu is held.
func (audit *Audit) recordViolation(rule, format string, args ...any) {
	audit.violations[rule]++
	if len(audit.explanations) < maxExplanations {
		audit.explanations = append(audit.explanations, rule+": "+fmt.Sprintf(format, args...))
	}
}

// jobOf is the job of a task, nil if it is unknown; mu is held.
func (audit *Audit) jobOf(task string) *AuditedJob {
	jobID, _, _ := strings.Cut(task, "/")
	return audit.jobs[jobID]
}
