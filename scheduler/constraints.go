package scheduler

import (
	"switchferry/api"
	"switchferry/tuning"
)

// satisfiesConstraints tells whether a job's tasks may ever run on a machine.
func satisfiesConstraints(job *jobState, machine *machineState) bool {
	return machine.Spec.Fits(&job.Job) && (job.Job.Zone == "" || job.Job.Zone == machine.Zone) && (!machine.Spot || job.Job.Spot)
}

// satisfiesSpread tells whether one more task may start in a machine's zone, given
// where the others are or may be.
func satisfiesSpread(job *jobState, machine *machineState) bool {
	if job.site != nil && !job.site.Allows(machine.Name) {
		return false
	}
	if !job.Job.OneZone && !job.Job.Spread {
		return true
	}
	here := 0
	for _, alloc := range job.allocations {
		switch {
		case alloc.machine.Zone == machine.Zone:
			here++
		case job.Job.OneZone:
			return false
		case alloc.machine.Zone == "":
			// JobStatus from a record only, it may be in this zone.
			here++
		}
	}
	return !job.Job.Spread || here < (job.taskCount+1)/2
}

func (s *Scheduler) eligible(job *jobState, machine *machineState) bool {
	if !s.schedulable(machine) || !satisfiesConstraints(job, machine) {
		return false
	}
	until, ok := job.avoidUntil[machine.Name]
	return (!ok || s.now().After(until)) && !s.reservedForStarved(job, machine) && !s.reservedForOthers(job, machine)
}

func (s *Scheduler) startableNow(job *jobState) bool {
	return job.accepted && job.FinalState == "" && !s.now().Before(job.pausedUntil) && s.inputsReady(job) && (len(job.allocations) == 0 || job.Job.Shape == api.Gang || !s.failsEverywhere(job))
}

// canStart tells whether a task of the job can start on the machine now.
func (s *Scheduler) canStart(job *jobState, machine *machineState) bool {
	return s.startableNow(job) && machine.free().Fits(job.request) && len(machine.allocations)+len(machine.exited) < tuning.ReportTasks && s.eligible(job, machine) && satisfiesSpread(job, machine) && s.withinQuota(job)
}
