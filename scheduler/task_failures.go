package scheduler

import (
	"log/slog"
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// A job that was submitted with a mistake fails at once on every machine until its user cancels it. Its failures do not
// count against machines, and it runs one task at a time, with exponential backoff, until one of its tasks runs for
// long enough or completes.

// failsEverywhere reports whether a job has failed on at least tuning.BrokenJobMachines machines while none of its
// tasks has completed or is running for longer than tuning.BrokenJobRunTime. A job whose first tasks were placed on
// faulty machines meets this only until another of its tasks has run that long. s.mu must be held.
func (s *Scheduler) failsEverywhere(job *jobState) bool {
	if len(job.failedOn) < tuning.BrokenJobMachines || job.completedCount > 0 {
		return false
	}
	for _, alloc := range job.allocations {
		if !alloc.runningSince.IsZero() && s.since(alloc.runningSince) > tuning.BrokenJobRunTime {
			return false
		}
	}
	return true
}

// faulty reports whether a machine is faulty, not counting failures of jobs that fail everywhere. s.mu must be held.
func (s *Scheduler) faulty(machine *machineState) bool {
	return machine.Faulty(func(id string) bool {
		job := s.jobs[id]
		return job == nil || !s.failsEverywhere(job)
	})
}

// recordTaskFailure counts a failure of a job's task on a machine, and makes the job avoid the machine for
// tuning.BackoffMax. Repeated failures on the same machine within that time do not count against the job again.
// s.mu must be held.
func (s *Scheduler) recordTaskFailure(job *jobState, machine *machineState, now time.Time) {
	machine.RecordFailure(job.id)
	if !machine.faultLogged && s.faulty(machine) {
		machine.faultLogged = true
		slog.Info("machine faulty", "machine", machine.Name, "errors", machine.Failures)
	}
	repeated := now.Before(job.avoidUntil[machine.Name])
	job.avoidUntil[machine.Name] = now.Add(tuning.BackoffMax)
	if repeated {
		return
	}
	failedEverywhere := s.failsEverywhere(job)
	job.failedOn[machine.Name] = true
	job.failures++
	if job.failures >= tuning.BackoffMachines {
		pause := min(tuning.BackoffMax, tuning.BackoffBase<<min(job.failures-tuning.BackoffMachines, 6))
		job.pausedUntil = now.Add(pause)
		slog.Debug("job paused", "job", job.id, "errors", job.failures, "for", pause)
	}
	if !failedEverywhere && s.failsEverywhere(job) {
		slog.Info("job fails on every machine", "job", job.id, "class", job.Job.Class, "team", job.Job.Team, "machines", len(job.failedOn))
		s.reclaimQueued(job)
	}
}

// clearFailures ends a job's backoff after one of its tasks completed, which shows that the job itself is not the cause
// of the failures. s.mu must be held.
func (j *jobState) clearFailures() {
	if j.failures > 0 {
		j.failures, j.pausedUntil = 0, time.Time{}
	}
}

// clearMachineFailures removes the failures of a job that fails everywhere from the machines when the job reaches a
// terminal state. Otherwise they would count against the machines once the job is removed from memory.
// s.mu must be held.
func (s *Scheduler) clearMachineFailures(job *jobState) {
	if !s.failsEverywhere(job) {
		return
	}
	for name := range job.failedOn {
		if machine := s.machines[name]; machine != nil {
			machine.ClearJobFailures(job.id)
		}
	}
}

// placeableTasks returns how many of a job's pending tasks may be placed now. s.mu must be held.
func (s *Scheduler) placeableTasks(job *jobState) int {
	if s.failsEverywhere(job) {
		return max(0, 1-len(job.allocations)-job.queued)
	}
	return len(job.pending)
}

// demandedTasks returns the number of a job's tasks for which machines are needed. s.mu must be held.
func (s *Scheduler) demandedTasks(job *jobState) int {
	if s.failsEverywhere(job) && job.Job.Shape != api.Gang {
		return max(1, len(job.allocations))
	}
	return job.taskCount - job.completedCount
}
