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

// invariantChecker records the responses that users received and the tasks that each machine runs, and checks both
// against the rules of the protocol. It never locks sim.mu while it holds its own mu.
type invariantChecker struct {
	sim *simulation

	// mu guards the fields below and the tracked jobs.
	mu   sync.Mutex
	jobs map[string]*trackedJob
	// jobsInOrder holds the same jobs in the order of their submission.
	jobsInOrder []*trackedJob
	placements  fake.Placements[*simulatedMachine]
	// startedTasks holds the tasks that started at least once.
	startedTasks map[string]bool
	// overdueTasks holds the tasks of cancelled jobs for which checkOverdueTasks recorded a violation.
	overdueTasks map[string]bool
	// faultsOverAt is the time at which the last fault ended; zero before that.
	faultsOverAt time.Time
	// undeliveredStarts holds the starts that were sent to a machine which had received nothing for a lease or longer.
	undeliveredStarts map[string]bool
	// unreachableLeases is the time for which machines received nothing from controllers, summed over the machines, in
	// leases.
	unreachableLeases float64
	result            Result
}

// trackedJob is the state of one job as its user and the checker know it. The checker's mu guards its fields. Times are
// zero until the event has happened.
type trackedJob struct {
	api.Submission
	// acceptedAt is when a controller accepted the job, cancelledAt when it was first reported as cancelled.
	acceptedAt, cancelledAt time.Time
	// doneAt is when the last task completed, whether that was reported or not.
	doneAt time.Time
	// terminalState is the terminal state that was reported to the user, first at terminalAt; empty before.
	terminalState string
	terminalAt    time.Time
	// answeredAt is when the user last received a response about the job.
	answeredAt time.Time
	// startedAt is when the first task started.
	startedAt time.Time
	// readyAt is when the last dependency was done, or when the job was accepted if none was done before that.
	readyAt time.Time
	// doneTasks holds the indices of the completed tasks.
	doneTasks map[int]bool
	// cancelRequested is set once the user has requested the cancellation, whether that was answered or not.
	cancelRequested bool
	// orphanedAt is when a dependency was first reported as cancelled.
	orphanedAt time.Time
	// starvedSince is when the job began to wait although free resources fit it; zero while it does not.
	starvedSince time.Time
	// starved is set once the job was counted in Result.StarvedJobs.
	starved bool
}

func newInvariantChecker(sim *simulation) *invariantChecker {
	return &invariantChecker{
		sim:               sim,
		jobs:              map[string]*trackedJob{},
		placements:        fake.Placements[*simulatedMachine]{},
		undeliveredStarts: map[string]bool{},
		overdueTasks:      map[string]bool{},
		startedTasks:      map[string]bool{},
		result:            Result{Violations: map[string]int{}},
	}
}

// recordViolation counts a violation of a rule and adds an explanation to the result; checker.mu is held.
func (checker *invariantChecker) recordViolation(rule, format string, args ...any) {
	checker.result.Violations[rule]++
	checker.explain("%s", rule+": "+fmt.Sprintf(format, args...))
}

// explain adds a line with the current time to the result's explanations, of which it keeps maxExplanations; checker.mu
// is held.
func (checker *invariantChecker) explain(format string, args ...any) {
	if len(checker.result.Explanations) < maxExplanations {
		checker.result.Explanations = append(checker.result.Explanations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// taskRunTime returns how long a task runs: 0.5 to 1.5 times its job's estimate, chosen by a hash of the task's name.
// Tasks of services and of unknown jobs run for an hour.
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

// jobOf returns the job of a task, nil if no user submitted it; checker.mu is held.
func (checker *invariantChecker) jobOf(task string) *trackedJob {
	jobID, _, _ := strings.Cut(task, "/")
	return checker.jobs[jobID]
}

// taskStarted records that a machine started a task, and checks the start against the rules.
func (checker *invariantChecker) taskStarted(task string, machine *simulatedMachine) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.result.TaskStarts++
	if checker.startedTasks[task] {
		checker.result.TaskRestarts++
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

// checkStartAfterCancel counts a start of a task after its job was reported as cancelled. The start is a violation if
// it is later than the time within which the protocol requires the tasks of cancelled jobs to stop; checker.mu is held.
func (checker *invariantChecker) checkStartAfterCancel(job *trackedJob, task string, machine *simulatedMachine) {
	if job.cancelledAt.IsZero() {
		return
	}
	elapsed := time.Since(job.cancelledAt)
	checker.result.StartsAfterCancel++
	checker.explain("%s started on %s %v after its job was reported as cancelled", task, machine.Name, elapsed)
	if elapsed > seconds(checker.sim.Workers.CancelDeadlineS) {
		checker.recordViolation("ran_cancelled", "%s was started %v after its job was reported as cancelled", task, elapsed)
	}
}

// checkDependencies checks that all dependencies of a started task's job are done; checker.mu is held.
func (checker *invariantChecker) checkDependencies(job *trackedJob, task string) {
	for _, awaited := range job.Awaits {
		if other := checker.jobs[awaited]; other != nil && len(other.doneTasks) < other.Tasks {
			checker.recordViolation("too_early", "%s was started before its dependency %s was done, of which %d of %d tasks are done", task, awaited, len(other.doneTasks), other.Tasks)
		}
	}
}

// checkTeamLimit checks the processors that the team of a started task uses against the team's limit in the settings
// and, if there are operators, in the configuration in force; checker.mu is held.
func (checker *invariantChecker) checkTeamLimit(job *trackedJob, task string) {
	usage := 0.0
	for running := range checker.placements.All() {
		if other := checker.jobOf(running); other != nil && other.Team == job.Team {
			usage += other.CPUs
		}
	}
	if usage > checker.sim.teamLimit()+cpuTolerance {
		checker.recordViolation("quota", "team %s uses %.0f processors", job.Team, usage)
	}
	if checker.sim.operators != nil {
		if violation := checker.sim.operators.checkStart(task, job.Team, usage); violation != "" {
			checker.recordViolation("older_revision", "%s", violation)
		}
	}
}

// checkZones checks that a started task runs in the zone that its job is bound to, and that no zone has more than half
// of the tasks, rounded up, of a job whose tasks must be spread; checker.mu is held.
func (checker *invariantChecker) checkZones(job *trackedJob, task string, machine *simulatedMachine) {
	if job.Zone != "" && job.Zone != machine.Zone {
		checker.recordViolation("wrong_place", "%s is bound to zone %s and runs in %s", task, job.Zone, machine.Zone)
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
		checker.recordViolation("wrong_place", "%d of %d tasks of %s run in zone %s, the last one started is %s", inZone, job.Tasks, job.ID, machine.Zone, number)
	}
}

// taskEnded records that a task ended on a machine, and whether it completed, and checks that a task of a cancelled job
// ended in time.
func (checker *invariantChecker) taskEnded(task string, machine *simulatedMachine, done bool) {
	_, number, _ := strings.Cut(task, "/")
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.placements.End(task, machine)
	job := checker.jobOf(task)
	if job == nil {
		return
	}
	if now := time.Now(); !job.cancelledAt.IsZero() && now.Sub(job.cancelledAt) > seconds(checker.sim.Workers.CancelDeadlineS) {
		checker.recordViolation("ran_cancelled", "%s ran on %s until %v after its job was reported as cancelled", task, machine.Name, now.Sub(job.cancelledAt))
	}
	if index, err := strconv.Atoi(number); err == nil && done {
		checker.taskDone(job, index)
	}
}

// taskDone records that a task of a job completed, and that the job is done if it was the last one; checker.mu is held.
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

// taskImage returns the image that a task needs, empty for an unknown task.
func (checker *invariantChecker) taskImage(task string) string {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if job := checker.jobOf(task); job != nil {
		return job.Image
	}
	return ""
}

// machineOf returns the machine that runs a task of a job, the first by name if there are several, nil if there is
// none.
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

// taskCPUs returns how many processors a task uses, 0 for an unknown task.
func (checker *invariantChecker) taskCPUs(task string) float64 {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if job := checker.jobOf(task); job != nil {
		return job.CPUs
	}
	return 0
}

// checkOverdueTasks records a violation for each task of a cancelled job that still runs after the time that the
// protocol allows, also on machines that no controller can reach.
func (checker *invariantChecker) checkOverdueTasks() {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	for task, machine := range checker.placements.All() {
		job := checker.jobOf(task)
		if job == nil || job.cancelledAt.IsZero() || machine.dead {
			continue
		}
		if elapsed := time.Since(job.cancelledAt); elapsed > seconds(checker.sim.Workers.CancelDeadlineS) && !checker.overdueTasks[task] {
			checker.overdueTasks[task] = true
			checker.recordViolation("ran_cancelled", "%s still runs on %s %v after its job was reported as cancelled", task, machine.Name, elapsed)
		}
	}
}

// recordLostCommands records the starts among commands that were sent to a machine which has received nothing from
// controllers for a lease or longer.
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
			checker.undeliveredStarts[fmt.Sprint(machine.Name, command.Task, command.Attempt)] = true
		}
	}
}

// machineReturned records that a machine was returned to the cloud. It counts the machine in
// Result.BusyMachinesReturned if it ran tasks and no fault affected it within the last minute.
func (checker *invariantChecker) machineReturned(machine *simulatedMachine) {
	_, _, _, running := machine.worker.Status()
	checker.sim.mu.Lock()
	healthy := machine.healthy() && (machine.lastFaultAt.IsZero() || time.Since(machine.lastFaultAt) > time.Minute)
	since := machine.outboundLostSince
	checker.sim.mu.Unlock()
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if healthy && running > 0 {
		checker.result.BusyMachinesReturned++
	}
	if !since.IsZero() {
		checker.unreachableLeases += time.Since(since).Seconds() / checker.sim.Workers.LeaseS
	}
}

// machineReachableAgain records that a machine receives messages from controllers again, for the first time since the
// given time.
func (checker *invariantChecker) machineReachableAgain(since time.Time) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.unreachableLeases += time.Since(since).Seconds() / checker.sim.Workers.LeaseS
}

// faultsOver records that all faults have ended. From then on the checker measures how long users wait for a response.
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
