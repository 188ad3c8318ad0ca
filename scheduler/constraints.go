package scheduler

import (
	"switchferry/api"
	"switchferry/tuning"
)

// satisfiesConstraints reports whether a job's tasks may ever run on a machine: its type, zone and kind are allowed.
// The machine's type must be known.
func satisfiesConstraints(job *jobState, machine *machineState) bool {
	return machine.Spec.Fits(&job.Job) && (job.Job.Zone == "" || job.Job.Zone == machine.Zone) && (!machine.Spot || job.Job.Spot)
}

// satisfiesSpread reports whether one more task of a job may start on a machine, given where its other tasks are or
// may be: a job may have to be in one zone, or spread over zones or domains. s.mu must be held.
func satisfiesSpread(job *jobState, machine *machineState) bool {
	if job.site != nil && !job.site.Allows(machine.Name) {
		return false
	}
	if !job.Job.OneZone && !job.Job.Spread {
		return true
	}
	inZone := 0
	for _, alloc := range job.allocations {
		switch {
		case alloc.machine.Zone == machine.Zone:
			inZone++
		case job.Job.OneZone:
			return false
		case alloc.machine.Zone == "":
			// The machine is known from a record only, and may be in this zone.
			inZone++
		}
	}
	return !job.Job.Spread || inZone < (job.taskCount+1)/2
}

// eligible reports whether a machine may get tasks of a job now, free resources, zones, inputs and quota apart.
// s.mu must be held.
func (s *Scheduler) eligible(job *jobState, machine *machineState) bool {
	if !s.schedulable(machine) || !satisfiesConstraints(job, machine) {
		return false
	}
	until, avoided := job.avoidUntil[machine.Name]
	return (!avoided || s.now().After(until)) && !s.reservedForStarved(job, machine) && !s.reservedForOthers(job, machine)
}

// startableNow reports whether tasks of a job may start now, wherever: its record is stored, it is not over or
// paused, its inputs are known, and it has no task yet if it fails everywhere. s.mu must be held.
func (s *Scheduler) startableNow(job *jobState) bool {
	if !job.accepted || job.FinalState != "" || s.now().Before(job.pausedUntil) || !s.inputsReady(job) {
		return false
	}
	return len(job.allocations) == 0 || job.Job.Shape == api.Gang || !s.failsEverywhere(job)
}

// canStart reports whether a task of a job can start on a machine now. s.mu must be held.
func (s *Scheduler) canStart(job *jobState, machine *machineState) bool {
	return s.startableNow(job) && machine.free().Fits(job.request) && !machine.heartbeatFull() &&
		s.eligible(job, machine) && satisfiesSpread(job, machine) && s.withinQuota(job)
}

// heartbeatFull reports whether one more task might not fit into the machine's heartbeats.
func (m *machineState) heartbeatFull() bool {
	return len(m.allocations)+len(m.exited) >= tuning.ReportTasks
}
