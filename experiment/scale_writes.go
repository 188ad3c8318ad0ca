package experiment

import (
	"fmt"
	"time"

	"switchferry/api"
	"switchferry/capacity"
	"switchferry/internal/cluster"
)

// jobKeyPrefixes are the key prefixes of the records that belong to a job. Records under other keys also change when no
// job does.
var jobKeyPrefixes = []string{"sf/j", "sf/t", "sf/f", "sf/in"}

// writesTimeout is the timeout for one job, from its submission to the removal of its records.
const writesTimeout = time.Minute

// measureWrites submits one job of each shape to an idle fleet and counts the changes in the state service from its
// acceptance to the removal of its records.
func (run *scaleRun) measureWrites(res *ScaleResult) error {
	service := run.newJob(run.unlimitedTeam(0), 3, "prod", 0)
	service.Shape = api.Service
	atLimit := run.newJob(0, 3*limitedCPUs, "normal", 1)
	for _, shape := range []struct {
		name   string
		job    api.Submission
		cancel time.Duration
	}{
		{"array of 1", run.newJob(run.unlimitedTeam(0), 1, "normal", 1), neverCancels},
		{"array of 12", run.newJob(run.unlimitedTeam(0), 12, "normal", 1), neverCancels},
		{"array of 200", run.newJob(run.unlimitedTeam(0), 200, "normal", 1), neverCancels},
		{"array of 10,000", run.newJob(run.unlimitedTeam(0), 10_000, "normal", 1), neverCancels},
		{"service of 3, cancelled", service, time.Second},
		{fmt.Sprintf("array of %d in a team with room for %d at once", atLimit.Tasks, limitedCPUs), atLimit, neverCancels},
	} {
		if shape.job.Tasks > 100*run.Sizes[0] {
			continue // The job would take minutes on a small fleet.
		}
		before := run.cluster.State.Changes()
		id := run.users.startUser(run.ctx, shape.job, shape.cancel)
		if err := run.cluster.WaitUntil(writesTimeout, func() bool { return run.recordsRemoved(id) }); err != nil {
			return fmt.Errorf("%s: %w", shape.name, err)
		}
		cost := capacity.JobCost{Shape: shape.name, Tasks: shape.job.Tasks, ChangesByKind: map[string]int{}}
		after := run.cluster.State.Changes()
		for _, kind := range jobKeyPrefixes {
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

// recordsRemoved reports whether a job was accepted and its records have been removed.
func (run *scaleRun) recordsRemoved(id string) (accepted bool) {
	run.audit.Jobs(func(j *cluster.AuditedJob) {
		if j.ID == id {
			accepted = !j.Accepted.IsZero()
		}
	})
	return accepted && run.cluster.State.Get("sf/j/"+id) == nil && run.cluster.State.CountPrefix("sf/t/"+id+"/") == 0
}
