package cluster

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/settings"
)

// Rules that an Audit finds broken, by the protocol's names.
const (
	RanTwice     = "ran_twice"
	OverQuota    = "quota"
	RanCancelled = "ran_cancelled"
	NotDone      = "not_done"
	WentBack     = "went_back"
	Forgotten    = "forgotten"
)

// Audit records what runs where and what users were told, and finds what the protocol's rules forbid. It is safe for
// use from several goroutines at once.
type Audit struct {
	cancelWithin time.Duration

	mu     sync.Mutex
	limits map[string]float64
	used   map[string]float64
	jobs   map[string]*AuditedJob
	on     map[string]string // task -> machine
	// started is when each task last started; terms when a leader's first start came, by its term.
	started map[string]time.Time
	terms   map[uint64]time.Time
	starts  int
	broken  map[string]int
	why     []string
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

	begun, done map[string]bool
	finished    time.Time
}

// Finished is when the last task completed; zero: not yet.
func (j *AuditedJob) Finished() time.Time { return j.finished }

// NewAudit makes the record of a deployment. A team without a limit is not bounded.
func NewAudit(teams []settings.Team, workers settings.Workers) *Audit {
	a := &Audit{cancelWithin: seconds(workers.CancelS), limits: map[string]float64{}, used: map[string]float64{}, jobs: map[string]*AuditedJob{}, on: map[string]string{}, started: map[string]time.Time{}, terms: map[uint64]time.Time{}, broken: map[string]int{}}
	for _, t := range teams {
		if t.CPUsMax > 0 {
			a.limits[t.Name] = t.CPUsMax
		}
	}
	return a
}

// Submit notes a job before it is submitted; it must be done once.
func (a *Audit) Submit(s api.Submission) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.jobs[s.ID] = &AuditedJob{Submission: s, Submitted: time.Now(), begun: map[string]bool{}, done: map[string]bool{}}
}

// Accept notes that a job's user was told that it is accepted.
func (a *Audit) Accept(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.jobs[id].Accepted = time.Now()
}

// Answered takes in a job's state as its user was told, or that there is no such job. A true result: it is over.
func (a *Audit) Answered(id string, found bool, state string) (over bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j := a.jobs[id]
	switch {
	case !found:
		a.breaks(Forgotten, "%s: no such job", id)
		return false
	case j.Told != "" && state != j.Told:
		a.breaks(WentBack, "%s was %s, now %s", id, j.Told, state)
	case state == api.Done && j.Done < j.Tasks:
		a.breaks(NotDone, "%s with %d of %d tasks done", id, j.Done, j.Tasks)
	}
	if state != api.Done && state != api.Cancelled {
		return false
	}
	if j.Told == "" {
		j.Told, j.ToldAt = state, time.Now()
	}
	return true
}

// Started takes in that a task runs on a machine.
func (a *Audit) Started(task, machine string, term uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.starts++
	a.started[task] = now
	if a.terms[term].IsZero() {
		a.terms[term] = now
	}
	if on, ok := a.on[task]; ok && on != machine {
		a.breaks(RanTwice, "%s on %s and %s", task, on, machine)
	}
	a.on[task] = machine
	j := a.jobOf(task)
	if j == nil {
		return
	}
	a.used[j.Team] += j.CPUs
	if limit, ok := a.limits[j.Team]; ok && a.used[j.Team] > limit+1e-6 {
		a.breaks(OverQuota, "%s: %s uses %g of %g", task, j.Team, a.used[j.Team], limit)
	}
	if !j.begun[task] {
		j.begun[task] = true
		j.Begun++
		j.LastBegun = time.Now()
	}
	if j.Told == api.Cancelled && time.Since(j.ToldAt) > a.cancelWithin {
		a.breaks(RanCancelled, "%s started %v after its cancellation was told", task, time.Since(j.ToldAt).Round(time.Millisecond))
	}
}

// Ended takes in that a task is no longer on a machine.
func (a *Audit) Ended(task, machine string, done bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j := a.jobOf(task)
	if a.on[task] == machine {
		delete(a.on, task)
		if j != nil {
			a.used[j.Team] -= j.CPUs
		}
	}
	if j == nil || !done || j.done[task] {
		return
	}
	j.done[task] = true
	if j.Done++; j.Done == j.Tasks {
		j.finished = time.Now()
	}
}

// Sweep looks for tasks of cancelled jobs that are still on a machine.
func (a *Audit) Sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for task, machine := range a.on {
		if j := a.jobOf(task); j != nil && j.Told == api.Cancelled && time.Since(j.ToldAt) > a.cancelWithin {
			a.breaks(RanCancelled, "%s is on %s %v after its cancellation was told", task, machine, time.Since(j.ToldAt).Round(time.Millisecond))
		}
	}
}

// Broken are the rules found broken, how often each, and the first few cases.
func (a *Audit) Broken() (counts map[string]int, why []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts = map[string]int{}
	for rule, n := range a.broken {
		counts[rule] = n
	}
	return counts, append([]string(nil), a.why...)
}

// Jobs calls f for each job, with the record locked.
func (a *Audit) Jobs(f func(j *AuditedJob)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, j := range a.jobs {
		f(j)
	}
}

// RunningOn are the tasks that run on some machines.
func (a *Audit) RunningOn(machines map[string]bool) (tasks []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for task, machine := range a.on {
		if machines[machine] {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// StartedSince tells how long after a moment each of some tasks that started since then last did.
func (a *Audit) StartedSince(at time.Time, tasks []string) (after []time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, task := range tasks {
		if started := a.started[task]; started.After(at) {
			after = append(after, started.Sub(at))
		}
	}
	return after
}

// FirstStart is when the first task started under a term higher than one; zero: none did.
func (a *Audit) FirstStart(above uint64) (first time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for term, at := range a.terms {
		if term > above && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// Estimate is how long a task's job says that it runs.
func (a *Audit) Estimate(task string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if j := a.jobOf(task); j != nil {
		return seconds(j.EstimateS)
	}
	return 0
}

// Starts is how many tasks were started so far, each start counted.
func (a *Audit) Starts() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.starts
}

// whyKept is how many cases are kept word for word.
const whyKept = 20

func (a *Audit) breaks(rule, format string, args ...any) {
	a.broken[rule]++
	if len(a.why) < whyKept {
		a.why = append(a.why, rule+": "+fmt.Sprintf(format, args...))
	}
}

func (a *Audit) jobOf(task string) *AuditedJob {
	id, _, _ := strings.Cut(task, "/")
	return a.jobs[id]
}
