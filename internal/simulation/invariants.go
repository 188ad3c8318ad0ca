package simulation

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"

	"switchferry/api"
)

// invariantChecker is what users and an all-seeing observer know.
type invariantChecker struct {
	sim *simulation

	mu            sync.Mutex
	jobs          map[string]*trackedJob
	jobsInOrder   []*trackedJob
	machineByTask map[string]*simulatedMachine
	faultsOverAt  time.Time
	// starved are starts for half-deaf machines, deaf how long machines were so, in leases.
	wastedStarts map[string]bool
	lostLeases   float64
	// overdueTasks are tasks of cancelled jobs that were found on machines too late.
	overdueTasks map[string]bool
	// startedTasks are the tasks that began.
	startedTasks map[string]bool
	result       Result
}

// trackedJob is one job as its user knows it.
type trackedJob struct {
	api.Submission
	acceptedAt, cancelledAt, doneAt time.Time
	// finalState is the last state that a user was told for good; answered is when a question was.
	finalState string
	finalAt    time.Time
	answeredAt time.Time
	startedAt  time.Time
	// readyAt is when the last job that it awaits was done.
	readyAt   time.Time
	doneTasks map[int]bool
	// cancelRequested: its user has asked to cancel it, whether that was answered or not.
	cancelRequested bool
	// orphanedAt is when a job before it was told to be cancelled.
	orphanedAt time.Time
	// starvedSince is since when it waits in vain, with no break; vain: that was noted.
	starvedSince time.Time
	starved      bool
}

func newInvariantChecker(sim *simulation) *invariantChecker {
	return &invariantChecker{sim: sim, jobs: map[string]*trackedJob{}, machineByTask: map[string]*simulatedMachine{}, wastedStarts: map[string]bool{}, overdueTasks: map[string]bool{}, startedTasks: map[string]bool{}, result: Result{Rules: map[string]int{}}}
}

// recordViolation notes a broken rule; the lock is held.
func (checker *invariantChecker) recordViolation(rule, format string, a ...any) {
	checker.result.Rules[rule]++
	if len(checker.result.Explanations) < 20 {
		checker.result.Explanations = append(checker.result.Explanations, time.Now().Format("15:04:05.000 ")+rule+": "+fmt.Sprintf(format, a...))
	}
}

// taskRunTime is how long a task runs, which its name fixes.
func (checker *invariantChecker) taskRunTime(task string) time.Duration {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	return checker.taskRunTimeLocked(task)
}

// taskRunTimeLocked is runs with the lock held.
func (checker *invariantChecker) taskRunTimeLocked(task string) time.Duration {
	id, _, _ := strings.Cut(task, "/")
	job := checker.jobs[id]
	if job == nil || job.Shape == api.Service {
		return time.Hour
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	return time.Duration((0.5 + float64(h.Sum32()%1000)/1000) * job.EstimateS * float64(time.Second))
}

// checkStart checks a start.
func (checker *invariantChecker) taskStarted(task string, machine *simulatedMachine) {
	id, num, _ := strings.Cut(task, "/")
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.result.Tasks++
	if checker.startedTasks[task] {
		checker.result.TasksRestarted++
	}
	checker.startedTasks[task] = true
	now := time.Now()
	if on := checker.machineByTask[task]; on != nil && on != machine {
		checker.recordViolation("ran_twice", "%s on %s and %s", task, on.Name, machine.Name)
	}
	checker.machineByTask[task] = machine
	job := checker.jobs[id]
	if job == nil {
		checker.recordViolation("invented", "%s was started", task)
		return
	}
	job.starvedSince = time.Time{}
	if !job.cancelledAt.IsZero() {
		checker.result.StartedAfterCancel++
		checker.explain("%s began on %s %v after its cancellation was told", task, machine.Name, now.Sub(job.cancelledAt))
	}
	if job.Zone != "" && job.Zone != machine.Zone {
		checker.recordViolation("wrong_place", "%s of zone %s in %s", task, job.Zone, machine.Zone)
	}
	if checker.sim.cancelsAtEnd(job) && len(job.doneTasks) == job.Tasks-1 {
		checker.sim.actors.Go(func() { checker.sim.requestAroundEnd(job, checker.taskRunTime(task)) })
	}
	if job.startedAt.IsZero() {
		job.startedAt = now
	}
	if !job.cancelledAt.IsZero() && now.Sub(job.cancelledAt) > seconds(checker.sim.Workers.CancelS) {
		checker.recordViolation("ran_cancelled", "%s was started %v after its cancellation was told", task, now.Sub(job.cancelledAt))
	}
	for _, a := range job.Awaits {
		if other := checker.jobs[a]; other != nil && len(other.doneTasks) < other.Tasks {
			checker.recordViolation("too_early", "%s before %s, of which %d of %d tasks are done", task, a, len(other.doneTasks), other.Tasks)
		}
	}
	use, here := 0.0, 0
	for t := range checker.machineByTask {
		id, _, _ := strings.Cut(t, "/")
		if other := checker.jobs[id]; other != nil && other.Team == job.Team {
			use += other.CPUs
		}
		if id == job.ID && checker.machineByTask[t].Zone == machine.Zone {
			here++
		}
	}
	if use > checker.sim.teamLimit()+1e-6 {
		checker.recordViolation("quota", "%s uses %.0f", job.Team, use)
	}
	if checker.sim.operators != nil {
		if why := checker.sim.operators.checkStart(task, job.Team, use); why != "" {
			checker.recordViolation("older_revision", "%s", why)
		}
	}
	if job.Spread && here > (job.Tasks+1)/2 {
		checker.recordViolation("wrong_place", "%d of %d of %s in %s, with %s", here, job.Tasks, job.ID, machine.Zone, num)
	}
}

// taskEnded notes that a task is no longer on a machine.
func (checker *invariantChecker) taskEnded(task string, machine *simulatedMachine, done bool) {
	id, num, _ := strings.Cut(task, "/")
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if checker.machineByTask[task] == machine {
		delete(checker.machineByTask, task)
	}
	job := checker.jobs[id]
	if job == nil {
		return
	}
	if now := time.Now(); !job.cancelledAt.IsZero() && now.Sub(job.cancelledAt) > seconds(checker.sim.Workers.CancelS)+time.Second {
		checker.recordViolation("ran_cancelled", "%s on %s until %v after it was told", task, machine.Name, now.Sub(job.cancelledAt))
	}
	var n int
	if _, err := fmt.Sscan(num, &n); err == nil && done {
		job.doneTasks[n] = true
		if len(job.doneTasks) == job.Tasks && job.doneAt.IsZero() {
			job.doneAt = time.Now()
			for _, other := range checker.jobsInOrder {
				if slices.Contains(other.Awaits, id) {
					other.readyAt = job.doneAt
				}
			}
		}
	}
}

// explain adds to what is said of the day; the lock is held.
func (checker *invariantChecker) explain(format string, a ...any) {
	if len(checker.result.Explanations) < 20 {
		checker.result.Explanations = append(checker.result.Explanations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, a...))
	}
}

// taskImage is the image that a task needs.
func (checker *invariantChecker) taskImage(task string) string {
	id, _, _ := strings.Cut(task, "/")
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if job := checker.jobs[id]; job != nil {
		return job.Image
	}
	return ""
}

// machineOf is a machine that runs a task of a job, the first by name; nil: none does.
func (checker *invariantChecker) machineOf(id string) (found *simulatedMachine) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	for task, machine := range checker.machineByTask {
		if job, _, _ := strings.Cut(task, "/"); job == id && (found == nil || machine.Name < found.Name) {
			found = machine
		}
	}
	return found
}

// taskCPUs is what a task takes.
func (checker *invariantChecker) taskCPUs(task string) float64 {
	id, _, _ := strings.Cut(task, "/")
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if job := checker.jobs[id]; job != nil {
		return job.CPUs
	}
	return 0
}

// checkOverdueTasks looks for tasks of cancelled jobs that are on machines later than they may, also on silent ones.
func (checker *invariantChecker) checkOverdueTasks() {
	checker.checkStarvation()
	checker.mu.Lock()
	defer checker.mu.Unlock()
	for task, machine := range checker.machineByTask {
		id, _, _ := strings.Cut(task, "/")
		job := checker.jobs[id]
		if job == nil || job.cancelledAt.IsZero() || machine.dead {
			continue
		}
		if over := time.Since(job.cancelledAt); over > seconds(checker.sim.Workers.CancelS) && !checker.overdueTasks[task] {
			checker.overdueTasks[task] = true
			checker.recordViolation("ran_cancelled", "%s is on %s %v after it was told", task, machine.Name, over)
		}
	}
}

// recordLostCommands notes starts that were told a machine which hears nobody.
func (checker *invariantChecker) recordLostCommands(machine *simulatedMachine, cs []api.Command) {
	checker.sim.mu.Lock()
	since := machine.outboundLostSince
	checker.sim.mu.Unlock()
	if since.IsZero() || time.Since(since) < seconds(checker.sim.Workers.LeaseS) {
		return
	}
	checker.mu.Lock()
	defer checker.mu.Unlock()
	for _, c := range cs {
		if c.Verb == api.CommandRun {
			checker.wastedStarts[fmt.Sprint(machine.Name, c.Task, c.Attempt)] = true
		}
	}
}

// machineReturned notes a machine that was given back.
func (checker *invariantChecker) machineReturned(machine *simulatedMachine) {
	_, _, _, running := machine.worker.Seen()
	checker.sim.mu.Lock()
	sound := !machine.dead && machine.outboundLostSince.IsZero() && machine.inboundLossCount+machine.hangCount == 0 && (machine.lastFaultAt.IsZero() || time.Since(machine.lastFaultAt) > time.Minute)
	since := machine.outboundLostSince
	checker.sim.mu.Unlock()
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if sound && running > 0 {
		checker.result.ReturnedInVain++
	}
	if !since.IsZero() {
		checker.lostLeases += time.Since(since).Seconds() / checker.sim.Workers.LeaseS
	}
}

// machineReachable notes that a machine which was half-deaf hears again.
func (checker *invariantChecker) machineReachable(since time.Time) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.lostLeases += time.Since(since).Seconds() / checker.sim.Workers.LeaseS
}

// faultsOver: all troubles are over; from here on no question may go unanswered for long.
func (checker *invariantChecker) faultsOver() {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.faultsOverAt = time.Now()
	for _, job := range checker.jobsInOrder {
		if job.answeredAt.Before(checker.faultsOverAt) {
			job.answeredAt = checker.faultsOverAt
		}
	}
}
