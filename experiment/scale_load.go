package experiment

import (
	"fmt"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/internal/cluster"
)

// adjustableRate is a rate per second that can be read and changed concurrently.
type adjustableRate struct {
	mu        sync.Mutex // guards perSecond
	perSecond float64
}

func (r *adjustableRate) set(rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perSecond = rate
}

func (r *adjustableRate) get() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.perSecond
}

// returnCounts counts the machines that controllers returned to the cloud and the tasks that ran on them.
type returnCounts struct {
	// mu guards the fields below.
	mu sync.Mutex
	// killed counts the tasks that had been killed on these machines, before their return, because a lease expired.
	machines, tasks, killed int
}

func (r *returnCounts) add(w *cluster.Worker, running int) {
	_, _, killed, _ := w.Status()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machines++
	r.tasks += running
	r.killed += killed - running
}

func (r *returnCounts) get() (machines, tasks, killed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machines, r.tasks, r.killed
}

// baseJobTasks is the number of tasks of an array of the base load.
const baseJobTasks = 200

func (run *scaleRun) newJob(team, tasks int, rank string, estimateS float64) api.Submission {
	return api.Submission{Class: rank, Team: fmt.Sprintf("team-%03d", team), Shape: api.JobArray, Rank: rank, Tasks: tasks, CPUs: 1, MemoryGB: 1,
		Image: "image", ImageGB: 0.1, Spot: true, EstimateS: estimateS}
}

// submitBaseLoad submits jobs of the base load so that the given number of additional tasks can run. The first call
// submits, for each team that uses up its limit, one and a half times as many tasks as the limit allows; only those
// within the limit count as able to run. The other teams submit the rest in turn.
func (run *scaleRun) submitBaseLoad(tasks int) {
	if len(run.baseJobs) == 0 {
		for team := range run.Teams {
			if run.usesUpLimit(team) {
				tasks -= limitedCPUs
				run.baseJobs = append(run.baseJobs, run.users.startUser(run.ctx, run.newJob(team, limitedCPUs+limitedCPUs/2, "normal", baseRunS), neverCancels))
			}
		}
	}
	for i := 0; tasks > 0; i++ {
		team := run.unlimitedTeam(len(run.baseJobs) + i)
		n := min(baseJobTasks, tasks)
		tasks -= n
		run.baseJobs = append(run.baseJobs, run.users.startUser(run.ctx, run.newJob(team, n, "normal", baseRunS), neverCancels))
	}
}

// unlimitedTeam returns one of the teams that do not reach their limit, except the last one; n selects it.
func (run *scaleRun) unlimitedTeam(n int) int {
	first := 0
	for run.usesUpLimit(first) {
		first++
	}
	return first + n%max(1, run.Teams-1-first)
}

// fillFleet submits jobs of rank low that need more than the remaining capacity of the fleet, and returns their IDs.
func (run *scaleRun) fillFleet(workers int) (ids []string) {
	for left := int((slotsPerWorker-run.TasksPerWorker)*float64(workers)) + 10*workers/8; left > 0; left -= baseJobTasks {
		ids = append(ids, run.users.startUser(run.ctx, run.newJob(run.Teams-1, baseJobTasks, "low", baseRunS), neverCancels))
	}
	return ids
}

// drawArrayTasks draws the number of tasks of a short array: most are small, a few have hundreds of tasks.
func (run *scaleRun) drawArrayTasks() int {
	switch n := run.users.randomInt(20); {
	case n < 14:
		return 12
	case n < 19:
		return 100
	}
	return 400
}

// submitArrivals submits short arrays at the current rate, and an urgent job every urgentInterval.
func (run *scaleRun) submitArrivals() {
	const step = 100 * time.Millisecond
	dueTasks := 0.0
	nextUrgent := time.Now()
	for number := 0; run.cluster.Sleep(step); {
		dueTasks += run.arrivals.get() * step.Seconds()
		for dueTasks > 0 {
			tasks := run.drawArrayTasks()
			dueTasks -= float64(tasks)
			cancelAfter := neverCancels
			if run.users.randomInt(cancelOneIn) == 0 {
				cancelAfter = 3 * time.Second
			}
			run.users.startUser(run.ctx, run.newJob(run.unlimitedTeam(number), tasks, "normal", arrivalRunS), cancelAfter)
			number++
		}
		if run.arrivals.get() > 0 && time.Now().After(nextUrgent) {
			nextUrgent = time.Now().Add(urgentInterval)
			run.users.startUser(run.ctx, run.newJob(run.unlimitedTeam(number), 4, "high", 5), neverCancels)
		}
	}
}
