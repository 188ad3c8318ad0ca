package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"switchferry/api"
)

// submitJobs generates jobs at random intervals until SubmitFor has passed since start, and starts a simulated user for
// each job. It drops a job whose random identifier is already in use.
func (sim *simulation) submitJobs(ctx context.Context, start time.Time) {
	rng := sim.actorRNG("users")
	for time.Since(start) < sim.SubmitFor {
		if !sim.sleep(ctx, time.Duration(rng.ExpFloat64()/sim.JobsPerSecond*float64(time.Second))) {
			return
		}
		job := &trackedJob{Submission: sim.randomSubmission(rng), doneTasks: map[int]bool{}}
		cancelAfter := sim.randomCancellation(rng, job)
		if sim.checker.addJob(job) {
			sim.actors.Go(func() { sim.followJob(ctx, job, cancelAfter) })
		}
	}
}

// randomSubmission draws a job. Most are small job arrays; the other classes are large (many tasks), whole (tasks that
// need a whole machine), guest (low priority), service, and piped (awaits other jobs).
func (sim *simulation) randomSubmission(rng *rand.Rand) api.Submission {
	job := api.Submission{ID: fmt.Sprintf("run-%06d", rng.IntN(1_000_000)), Team: teamNames[rng.IntN(len(teamNames))], Shape: api.JobArray, Rank: "normal",
		CPUs: 1, MemoryGB: 2, Image: "img", ImageGB: 0.1, Spot: true, Class: "small", Tasks: 1 + rng.IntN(4), EstimateS: 5 + 10*rng.Float64()}
	switch k := rng.IntN(20); {
	case k < 2:
		job.Class, job.Tasks, job.CPUs = "large", sim.Machines/4+rng.IntN(sim.Machines), 2
	case k < 4:
		job.Class, job.Tasks, job.CPUs, job.MemoryGB = "whole", 1+rng.IntN(2), 8, 16
	case k < 7:
		job.Class, job.Rank = "guest", "low"
	case k < 8:
		job.Class, job.Shape, job.Rank, job.Tasks, job.Spread, job.EstimateS = "service", api.Service, "prod", 2, true, 0
	case k < 11:
		job.Class, job.Awaits = "piped", sim.checker.randomDependencies(rng)
	}
	if sim.ImagePullS > 0 {
		job.Image = fmt.Sprint("img", rng.IntN(4))
	}
	if sim.ZoneBoundJobs && job.Shape == api.JobArray && job.Class != "large" && rng.IntN(3) == 0 {
		job.Zone = zoneNames[rng.IntN(len(zoneNames))]
	}
	if sim.TaskRunS > 0 && job.Shape == api.JobArray && job.Class != "large" && job.Class != "whole" {
		job.EstimateS = sim.TaskRunS
	}
	return job
}

// randomCancellation draws how long after the acceptance of a job its user cancels it; noCancellation means never.
func (sim *simulation) randomCancellation(rng *rand.Rand, job *trackedJob) time.Duration {
	share := sim.CancelShare
	if share == 0 {
		share = defaultCancelShare
	}
	if job.Shape == api.Service || rng.Float64() < share {
		return time.Duration(rng.IntN(60)) * time.Second
	}
	return noCancellation
}

// addJob adds a job that is about to be submitted; it reports false if the job's identifier is in use.
func (checker *invariantChecker) addJob(job *trackedJob) bool {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if checker.jobs[job.ID] != nil {
		return false
	}
	checker.jobs[job.ID] = job
	checker.jobsInOrder = append(checker.jobsInOrder, job)
	return true
}

// randomDependencies draws up to two accepted job arrays and returns their identifiers, as dependencies of a new job.
func (checker *invariantChecker) randomDependencies(rng *rand.Rand) (awaits []string) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	for _, other := range checker.jobsInOrder {
		if !other.acceptedAt.IsZero() && other.Shape == api.JobArray && len(awaits) < 2 && rng.IntN(4) == 0 {
			awaits = append(awaits, other.ID)
		}
	}
	return awaits
}
