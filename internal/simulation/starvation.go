package simulation

import (
	"time"

	"switchferry/api"
)

// freeCPUs holds the number of free processors of each healthy machine.
type freeCPUs map[*simulatedMachine]float64

// checkStarvation counts, once all faults are over, the jobs that wait longer than maxStarvationTime while free
// resources fit them. The time starts over whenever no free resources fit the job, or a task of it starts.
func (checker *invariantChecker) checkStarvation() {
	free := checker.healthyMachines()
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if checker.faultsOverAt.IsZero() {
		return
	}
	now := time.Now()
	usage, running := checker.usageByTeam()
	for _, job := range checker.jobsInOrder {
		waiting := job.Tasks - len(job.doneTasks) - running[job.ID]
		if !checker.couldStart(job, waiting, free, usage[job.Team]) {
			job.starvedSince = time.Time{}
			continue
		}
		if job.starvedSince.IsZero() {
			job.starvedSince = now
		}
		if now.Sub(job.starvedSince) > maxStarvationTime && !job.starved {
			job.starved = true
			checker.result.StarvedJobs++
			checker.explain("starved: %s %s, %d of %d tasks wait, %g processors each", job.ID, job.Class, waiting, job.Tasks, job.CPUs)
		}
	}
}

// healthyMachines returns the machines that no fault affects, with their free processors.
func (checker *invariantChecker) healthyMachines() freeCPUs {
	checker.sim.mu.Lock()
	var healthy []*simulatedMachine
	for _, machine := range checker.sim.machines {
		if machine.healthy() {
			healthy = append(healthy, machine)
		}
	}
	checker.sim.mu.Unlock()
	free := freeCPUs{}
	for _, machine := range healthy {
		free[machine] = machineType.CPUs - machine.worker.UnfinishedUse(checker.taskCPUs)
	}
	return free
}

// usageByTeam returns the number of processors that each team uses, and the number of running tasks of each job;
// checker.mu is held.
func (checker *invariantChecker) usageByTeam() (usage map[string]float64, running map[string]int) {
	usage, running = map[string]float64{}, map[string]int{}
	for task := range checker.placements.All() {
		job := checker.jobOf(task)
		usage[job.Team] += job.CPUs
		running[job.ID]++
	}
	return usage, running
}

// couldStart reports whether a job may start and both the free processors and its team's limit suffice for one of its
// waiting tasks, or for all of them if it is a service; usage is the number of processors that the team uses.
// checker.mu is held.
func (checker *invariantChecker) couldStart(job *trackedJob, waiting int, free freeCPUs, usage float64) bool {
	if job.acceptedAt.IsZero() || job.terminalState != "" || job.cancelRequested || !job.orphanedAt.IsZero() || waiting <= 0 || checker.awaitsDependency(job) {
		return false
	}
	fits := 0
	for machine, cpus := range free {
		if job.Zone == "" || job.Zone == machine.Zone {
			fits += int((cpus + 1e-9) / job.CPUs)
		}
	}
	needed := 1
	if job.Shape == api.Service {
		needed = waiting
	}
	return fits >= needed && usage+float64(needed)*job.CPUs <= checker.sim.teamLimit()+1e-9
}
