package simulation

import (
	"strings"
	"time"

	"switchferry/api"
)

// checkStarvation looks for jobs that wait although a machine has room for them. One moment without room, or a start,
// and the time counts anew. A service has to have room for all its tasks at once.
func (checker *invariantChecker) checkStarvation() {
	checker.sim.mu.Lock()
	sound := map[string]*simulatedMachine{}
	for _, machine := range checker.sim.machines {
		if !machine.dead && machine.outboundLostSince.IsZero() && machine.inboundLossCount+machine.hangCount == 0 {
			sound[machine.Name] = machine
		}
	}
	checker.sim.mu.Unlock()
	taken := map[string]float64{}
	for _, machine := range sound {
		taken[machine.Name] = machine.worker.Taken(checker.taskCPUs)
	}
	checker.mu.Lock()
	defer checker.mu.Unlock()
	now := time.Now()
	if checker.faultsOverAt.IsZero() {
		return
	}
	use, placed := map[string]float64{}, map[string]int{}
	for task := range checker.machineByTask {
		id, _, _ := strings.Cut(task, "/")
		job := checker.jobs[id]
		use[job.Team] += job.CPUs
		placed[id]++
	}
	for _, job := range checker.jobsInOrder {
		left := job.Tasks - len(job.doneTasks) - placed[job.ID]
		fits := 0
		for _, machine := range sound {
			if job.Zone == "" || job.Zone == machine.Zone {
				fits += int((machineType.CPUs - taken[machine.Name] + 1e-9) / job.CPUs)
			}
		}
		need := 1
		if job.Shape == api.Service {
			need = left
		}
		if job.acceptedAt.IsZero() || job.finalState != "" || job.cancelRequested || !job.orphanedAt.IsZero() || left <= 0 || checker.awaitsDependency(job) || fits < need ||
			use[job.Team]+float64(need)*job.CPUs > checker.sim.teamLimit()+1e-9 {
			job.starvedSince = time.Time{}
			continue
		}
		if job.starvedSince.IsZero() {
			job.starvedSince = now
		}
		if now.Sub(job.starvedSince) > starvationLimit && !job.starved {
			job.starved = true
			checker.result.StarvedJobs++
			checker.explain("waits in vain: %s %s, %d of %d tasks, %g processors each", job.ID, job.Class, left, job.Tasks, job.CPUs)
		}
	}
}
