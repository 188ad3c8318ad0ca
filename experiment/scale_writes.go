package experiment

import (
	"fmt"
	"time"

	"switchferry/api"
	"switchferry/capacity"
	"switchferry/internal/cluster"
)

// Keys of records that a job has, by the first two parts; others change by time, whatever the jobs.
var jobRecords = []string{"sf/j", "sf/t", "sf/f", "sf/in"}

// writesMost is how long one job may take until its records are removed.
const writesMost = time.Minute

// writes submits one job of each shape to a fleet that has nothing else to do, and counts what it changes in the state
// service from accept until its records are removed.
func (run *scaleRun) writes(res *ScaleResult) error {
	service := run.job(run.free(0), 3, "prod", 0)
	service.Shape = api.Service
	atLimit := run.job(0, 3*limitedCPUs, "normal", 1)
	for _, shape := range []struct {
		name   string
		job    api.Submission
		cancel time.Duration
	}{
		{"array of 1", run.job(run.free(0), 1, "normal", 1), neverCancels},
		{"array of 12", run.job(run.free(0), 12, "normal", 1), neverCancels},
		{"array of 200", run.job(run.free(0), 200, "normal", 1), neverCancels},
		{"array of 10,000", run.job(run.free(0), 10_000, "normal", 1), neverCancels},
		{"service of 3, cancelled", service, time.Second},
		{fmt.Sprintf("array of %d in a team with room for %d at once", atLimit.Tasks, limitedCPUs), atLimit, neverCancels},
	} {
		if shape.job.Tasks > 100*run.Sizes[0] {
			continue // a small fleet would be at it for minutes
		}
		before := run.cluster.State.Changes()
		id := run.users.begin(run.ctx, shape.job, shape.cancel)
		if err := run.cluster.WaitUntil(writesMost, func() bool { return run.filed(id) }); err != nil {
			return fmt.Errorf("%s: %w", shape.name, err)
		}
		cost := capacity.JobCost{Shape: shape.name, Tasks: shape.job.Tasks, ChangesByKind: map[string]int{}}
		after := run.cluster.State.Changes()
		for _, kind := range jobRecords {
			if n := after[kind] - before[kind]; n > 0 {
				cost.ChangesByKind[kind] = n
				cost.Changes += n
			}
		}
		run.Progress("%s: %d changes in the state service %v", shape.name, cost.Changes, cost.ChangesByKind)
		res.Jobs = append(res.Jobs, cost)
	}
	return nil
}

// filed tells whether a job was accepted and its records are removed.
func (run *scaleRun) filed(id string) (accepted bool) {
	run.audit.Jobs(func(j *cluster.AuditedJob) {
		if j.ID == id {
			accepted = !j.Accepted.IsZero()
		}
	})
	return accepted && run.cluster.State.Get("sf/j/"+id) == nil && run.cluster.State.CountPrefix("sf/t/"+id+"/") == 0
}
