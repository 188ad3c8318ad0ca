package simulation

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/internal/fake"
)

// invariantChecker knows what users were told and what each machine really runs, and compares the two with the
// rules of the protocol. It locks sim.mu never while it holds its own mu.
type invariantChecker struct {
	sim *simulation

	// mu guards the fields below and the tracked jobs.
	mu   sync.Mutex
	jobs map[string]*trackedJob
	// jobsInOrder are the same jobs in the order of their submission.
	jobsInOrder []*trackedJob
	placements  fake.Placements[*simulatedMachine]
	// startedTasks are the tasks that started at least once.
	startedTasks map[string]bool
	// overdueTasks are tasks of cancelled jobs whose late presence on a machine was recorded.
	overdueTasks map[string]bool
	// faultsOverAt is when the last fault ended; zero before.
	faultsOverAt time.Time
	// wastedStarts are starts sent to machines that did not hear them; lostLeases is for how many leases
	// machines, added up, did not hear controllers.
	wastedStarts map[string]bool
	lostLeases   float64
	result       Result
}

// trackedJob is one job as its user and the checker know it. Times are zero until the event happened.
type trackedJob struct {
	api.Submission
	acceptedAt, cancelledAt time.Time
	// doneAt is when its last task ended, whether that was reported or not.
	doneAt time.Time
	// finalState is the terminal state that was reported at finalAt; empty before.
	finalState string
	finalAt    time.Time
	// answeredAt is when its user last got an answer.
	answeredAt time.Time
	startedAt  time.Time
	// readyAt is when the last job that it awaits was done, or when it was accepted.
	readyAt   time.Time
	doneTasks map[int]bool
	// cancelRequested is set once its user has asked to cancel it, whether that was answered or not.
	cancelRequested bool
	// orphanedAt is when a job that it awaits was reported as cancelled.
	orphanedAt time.Time
	// starvedSince is since when it waits beside free resources without a break; starved is set once that
	// was recorded.
	starvedSince time.Time
	starved      bool
}

func newInvariantChecker(sim *simulation) *invariantChecker {
	return &invariantChecker{
		sim:          sim,
		jobs:         map[string]*trackedJob{},
		placements:   fake.Placements[*simulatedMachine]{},
		wastedStarts: map[string]bool{},
		overdueTasks: map[string]bool{},
		startedTasks: map[string]bool{},
		result:       Result{Rules: map[string]int{}},
	}
}

// recordViolation counts a violation of a rule and explains it; checker.mu is held.
func (checker *invariantChecker) recordViolation(rule, format string, args ...any) {
	checker.result.Rules[rule]++
	checker.explain("%s", rule+": "+fmt.Sprintf(format, args...))
}

// explain adds a line with the time to the result's explanations unless there are many; checker.mu is held.
func (checker *invariantChecker) explain(format string, args ...any) {
	if len(checker.result.Explanations) < maxExplanations {
		checker.result.Explanations = append(checker.result.Explanations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// taskRunTime is how long a task runs: half to one and a half times its job's estimate, as its name determines. Tasks
// of services run for an hour.
func (checker *invariantChecker) taskRunTime(task string) time.Duration {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	job := checker.jobOf(task)
	if job == nil || job.Shape == api.Service {
		return time.Hour
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(task))
	return seconds((0.5 + float64(hash.Sum32()%1000)/1000) * job.EstimateS)
}

// jobOf is the job of a task, nil if nobody submitted it; checker.mu is held.
func (checker *invariantChecker) jobOf(task string) *trackedJob {
	jobID, _, _ := strings.Cut(task, "/")
	return checker.jobs[jobID]
}

// taskStarted records that a machine started a task and checks that it may.
func (checker *invariantChecker) taskStarted(task string, machine *simulatedMachine) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.result.Tasks++
	if checker.startedTasks[task] {
		checker.result.TasksRestarted++
	}
	checker.startedTasks[task] = true
	elsewhere, _ := checker.placements.Start(task, machine)
	for _, other := range elsewhere {
		checker.recordViolation("ran_twice", "%s on %s and %s", task, other.Name, machine.Name)
	}
	job := checker.jobOf(task)
	if job == nil {
		checker.recordViolation("invented", "%s was started", task)
		return
	}
	job.starvedSince = time.Time{}
	if checker.sim.cancelsAtEnd(job) && len(job.doneTasks) == job.Tasks-1 {
		checker.sim.actors.Go(func() { checker.sim.requestAroundEnd(job, checker.taskRunTime(task)) })
	}
	if job.startedAt.IsZero() {
		job.startedAt = time.Now()
	}
	checker.checkStartAfterCancel(job, task, machine)
	checker.checkDependencies(job, task)
	checker.checkTeamLimit(job, task)
	checker.checkZones(job, task, machine)
}

// checkStartAfterCancel checks that a task of a cancelled job starts, if at all, within the time that the protocol
// gives workers to learn of the cancellation; checker.mu is held.
func (checker *invariantChecker) checkStartAfterCancel(job *trackedJob, task string, machine *simulatedMachine) {
	if job.cancelledAt.IsZero() {
		return
	}
	since := time.Since(job.cancelledAt)
	checker.result.StartedAfterCancel++
	checker.explain("%s began on %s %v after its cancellation was told", task, machine.Name, since)
	if since > seconds(checker.sim.Workers.CancelS) {
		checker.recordViolation("ran_cancelled", "%s was started %v after its cancellation was told", task, since)
	}
}

// checkDependencies checks that the jobs that a started one awaits are done; checker.mu is held.
func (checker *invariantChecker) checkDependencies(job *trackedJob, task string) {
	for _, awaited := range job.Awaits {
		if other := checker.jobs[awaited]; other != nil && len(other.doneTasks) < other.Tasks {
			checker.recordViolation("too_early", "%s before %s, of which %d of %d tasks are done", task, awaited, len(other.doneTasks), other.Tasks)
		}
	}
}

// checkTeamLimit checks the processors in use by a started task's team against its limit, by the settings and by
// the configuration in force; checker.mu is held.
func (checker *invariantChecker) checkTeamLimit(job *trackedJob, task string) {
	usage := 0.0
	for running := range checker.placements.All() {
		if other := checker.jobOf(running); other != nil && other.Team == job.Team {
			usage += other.CPUs
		}
	}
	if usage > checker.sim.teamLimit()+cpuTolerance {
		checker.recordViolation("quota", "%s uses %.0f", job.Team, usage)
	}
	if checker.sim.operators != nil {
		if violation := checker.sim.operators.checkStart(task, job.Team, usage); violation != "" {
			checker.recordViolation("older_revision", "%s", violation)
		}
	}
}

// checkZones checks that a started task runs in the zone that its job is bound to, and that no zone has more than
// half of a job whose tasks are to be spread; checker.mu is held.
func (checker *invariantChecker) checkZones(job *trackedJob, task string, machine *simulatedMachine) {
	if job.Zone != "" && job.Zone != machine.Zone {
		checker.recordViolation("wrong_place", "%s of zone %s in %s", task, job.Zone, machine.Zone)
	}
	if !job.Spread {
		return
	}
	inZone := 0
	for running, host := range checker.placements.All() {
		if checker.jobOf(running) == job && host.Zone == machine.Zone {
			inZone++
		}
	}
	if inZone > (job.Tasks+1)/2 {
		_, number, _ := strings.Cut(task, "/")
		checker.recordViolation("wrong_place", "%d of %d of %s in %s, with %s", inZone, job.Tasks, job.ID, machine.Zone, number)
	}
}

// taskEnded records that a task is no longer on a machine, and whether it completed, and checks that a cancelled
// one ended in time. A worker may act on its lease's end a second late.
func (checker *invariantChecker) taskEnded(task string, machine *simulatedMachine, done bool) {
	_, number, _ := strings.Cut(task, "/")
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.placements.End(task, machine)
	job := checker.jobOf(task)
	if job == nil {
		return
	}
	if now := time.Now(); !job.cancelledAt.IsZero() && now.Sub(job.cancelledAt) > seconds(checker.sim.Workers.CancelS)+time.Second {
		checker.recordViolation("ran_cancelled", "%s on %s until %v after it was told", task, machine.Name, now.Sub(job.cancelledAt))
	}
	if index, err := strconv.Atoi(number); err == nil && done {
		checker.taskDone(job, index)
	}
}

// taskDone records that a task of a job is done and, with its last one, the job; checker.mu is held.
func (checker *invariantChecker) taskDone(job *trackedJob, index int) {
	job.doneTasks[index] = true
	if len(job.doneTasks) < job.Tasks || !job.doneAt.IsZero() {
		return
	}
	job.doneAt = time.Now()
	for _, other := range checker.jobsInOrder {
		if slices.Contains(other.Awaits, job.ID) {
			other.readyAt = job.doneAt
		}
	}
}

// taskImage is the image that a task needs, empty for an unknown task.
func (checker *invariantChecker) taskImage(task string) string {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if job := checker.jobOf(task); job != nil {
		return job.Image
	}
	return ""
}

// machineOf is the first machine by name that runs a task of a job, nil if none does.
func (checker *invariantChecker) machineOf(jobID string) (found *simulatedMachine) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	for task, machine := range checker.placements.All() {
		if id, _, _ := strings.Cut(task, "/"); id == jobID && (found == nil || machine.Name < found.Name) {
			found = machine
		}
	}
	return found
}

// taskCPUs is how many processors a task takes, 0 for an unknown task.
func (checker *invariantChecker) taskCPUs(task string) float64 {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if job := checker.jobOf(task); job != nil {
		return job.CPUs
	}
	return 0
}

// checkOverdueTasks looks for tasks of cancelled jobs that still run after the time that the protocol allows, also on
// machines that no controller can reach.
func (checker *invariantChecker) checkOverdueTasks() {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	for task, machine := range checker.placements.All() {
		job := checker.jobOf(task)
		if job == nil || job.cancelledAt.IsZero() || machine.dead {
			continue
		}
		if over := time.Since(job.cancelledAt); over > seconds(checker.sim.Workers.CancelS) && !checker.overdueTasks[task] {
			checker.overdueTasks[task] = true
			checker.recordViolation("ran_cancelled", "%s is on %s %v after it was told", task, machine.Name, over)
		}
	}
}

// recordLostCommands records starts that were sent to a machine which has not heard controllers for a lease or more.
func (checker *invariantChecker) recordLostCommands(machine *simulatedMachine, commands []api.Command) {
	checker.sim.mu.Lock()
	since := machine.outboundLostSince
	checker.sim.mu.Unlock()
	if since.IsZero() || time.Since(since) < seconds(checker.sim.Workers.LeaseS) {
		return
	}
	checker.mu.Lock()
	defer checker.mu.Unlock()
	for _, command := range commands {
		if command.Verb == api.CommandRun {
			checker.wastedStarts[fmt.Sprint(machine.Name, command.Task, command.Attempt)] = true
		}
	}
}

// machineReturned records a machine that was given back, and whether that cost running work although no fault had met
// it in the last minute.
func (checker *invariantChecker) machineReturned(machine *simulatedMachine) {
	_, _, _, running := machine.worker.Seen()
	checker.sim.mu.Lock()
	healthy := machine.healthy() && (machine.lastFaultAt.IsZero() || time.Since(machine.lastFaultAt) > time.Minute)
	since := machine.outboundLostSince
	checker.sim.mu.Unlock()
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if healthy && running > 0 {
		checker.result.ReturnedInVain++
	}
	if !since.IsZero() {
		checker.lostLeases += time.Since(since).Seconds() / checker.sim.Workers.LeaseS
	}
}

// machineReachable records that a machine hears controllers again, which it did not since that time.
func (checker *invariantChecker) machineReachable(since time.Time) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.lostLeases += time.Since(since).Seconds() / checker.sim.Workers.LeaseS
}

// faultsOver records that all faults are over. From here on no request may go unanswered for long.
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
