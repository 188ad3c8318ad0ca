package experiment

import (
	"fmt"
	"sync"
	"time"

	"switchferry/api"
	"switchferry/internal/cluster"
)

// rateSwitch is a rate a second that may be changed while it is used.
type rateSwitch struct {
	mu  sync.Mutex
	now float64
}

func (r *rateSwitch) set(perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now = perSecond
}

func (r *rateSwitch) get() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now
}

// returns counts the machines that controllers gave back, and the tasks that ran on them.
type returns struct {
	mu sync.Mutex
	// killed are tasks that leases had ended on them before.
	machines, tasks, killed int
}

func (r *returns) add(w *cluster.Worker, running int) {
	_, _, killed, _ := w.Status()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machines++
	r.tasks += running
	r.killed += killed - running
}

func (r *returns) counts() (machines, tasks, killed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machines, r.tasks, r.killed
}

// longJobTasks is how many tasks an array of the base load has.
const longJobTasks = 200

func (run *scaleRun) job(team, tasks int, rank string, estimateS float64) api.Submission {
	return api.Submission{Class: rank, Team: fmt.Sprintf("team-%03d", team), Shape: api.JobArray, Rank: rank, Tasks: tasks, CPUs: 1, MemoryGB: 1,
		Image: "image", ImageGB: 0.1, Spot: true, EstimateS: estimateS}
}

// submitLong submits so many more tasks of the base load: what the limited teams may use, and more of theirs than
// that, comes first, the rest from the other teams in turn.
func (run *scaleRun) submitLong(tasks int) {
	if len(run.longJobs) == 0 {
		for team := range run.Teams {
			if run.limited(team) {
				tasks -= limitedCPUs
				run.longJobs = append(run.longJobs, run.users.begin(run.ctx, run.job(team, limitedCPUs+limitedCPUs/2, "normal", longRunS), neverCancels))
			}
		}
	}
	for i := 0; tasks > 0; i++ {
		team := run.free(len(run.longJobs) + i)
		n := min(longJobTasks, tasks)
		tasks -= n
		run.longJobs = append(run.longJobs, run.users.begin(run.ctx, run.job(team, n, "normal", longRunS), neverCancels))
	}
}

// free is a team below its limit, and not the last, chosen by a number.
func (run *scaleRun) free(n int) int {
	first := 0
	for run.limited(first) {
		first++
	}
	return first + n%max(1, run.Teams-1-first)
}

// fill submits work of rank low until the fleet has no room left, and some more.
func (run *scaleRun) fill(workers int) (ids []string) {
	for left := int((slotsPerWorker-run.TasksPerWorker)*float64(workers)) + 10*workers/8; left > 0; left -= longJobTasks {
		ids = append(ids, run.users.begin(run.ctx, run.job(run.Teams-1, longJobTasks, "low", longRunS), neverCancels))
	}
	return ids
}

// arrayTasks is how many tasks an array that comes and goes has: most are small, a few have hundreds.
func (run *scaleRun) arrayTasks() int {
	switch n := run.users.random(20); {
	case n < 14:
		return 12
	case n < 19:
		return 100
	}
	return 400
}

// arrive has users submit short arrays at the present rate, and an urgent one every two seconds.
func (run *scaleRun) arrive() {
	const step = 100 * time.Millisecond
	owed := 0.0
	next := time.Now()
	for number := 0; run.cluster.Sleep(step); {
		owed += run.arrivals.get() * step.Seconds()
		for owed > 0 {
			tasks := run.arrayTasks()
			owed -= float64(tasks)
			cancelAfter := neverCancels
			if run.users.random(cancelledShare) == 0 {
				cancelAfter = 3 * time.Second
			}
			run.users.begin(run.ctx, run.job(run.free(number), tasks, "normal", arrivalRunS), cancelAfter)
			number++
		}
		if run.arrivals.get() > 0 && time.Now().After(next) {
			next = time.Now().Add(urgentEvery)
			run.users.begin(run.ctx, run.job(run.free(number), 4, "high", 5), neverCancels)
		}
	}
}
