package scheduler

import (
	"switchferry/api"
	"switchferry/tuning"
)

// satisfiesConstraints reports whether a machine meets the static constraints of a job: its type fits, it is in the
// job's zone, and it is not a spot machine unless the job allows these. The machine's type must be known.
func satisfiesConstraints(job *jobState, machine *machineState) bool {
	return machine.Spec.Fits(&job.Job) && (job.Job.Zone == "" || job.Job.Zone == machine.Zone) && (!machine.Spot || job.Job.Spot)
}

// satisfiesSpread reports whether one more task of a job may start on a machine, given where the job's other tasks run
// or may run. A job may require that all its tasks are in one zone, that no zone has more than half of them, rounded
// up, or that they are spread over domains. s.mu must be held.
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
			// The machine is known only from a stored record. Its zone is unknown and may be this one.
			inZone++
		}
	}
	return !job.Job.Spread || inZone < (job.taskCount+1)/2
}

// eligible reports whether tasks of a job may be assigned to a machine now. It does not consider free resources, the
// spread over zones and domains, inputs or quota. s.mu must be held.
func (s *Scheduler) eligible(job *jobState, machine *machineState) bool {
	if !s.schedulable(machine) || !satisfiesConstraints(job, machine) {
		return false
	}
	until, avoided := job.avoidUntil[machine.Name]
	return (!avoided || s.now().After(until)) && !s.reservedForStarved(job, machine) && !s.reservedForOthers(job, machine)
}

// startableNow reports whether tasks of a job may start now, irrespective of the machine: its record is stored, it is
// not in a terminal state or paused, and its input datasets are known. A job that fails on every machine may run only
// one task at a time, unless it is a gang. s.mu must be held.
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

// heartbeatFull reports whether the machine has as many tasks as one heartbeat can report. Exited tasks count until they
// are cleared.
func (m *machineState) heartbeatFull() bool {
	return len(m.allocations)+len(m.exited) >= tuning.MaxReportedTasks
}
