package scheduler

import (
	"log/slog"
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// A job that was submitted with a mistake fails on every machine, at once, until its user cancels it. Its failures are
// no evidence against machines, and it gets one machine at a time, with a growing backoff, until a task of it works.

// failsEverywhere reports whether a job failed on tuning.MistakeMachines machines, with no task complete and none that
// has run for tuning.MistakeRun. A job whose first tasks were on faulty machines is so only until another of its tasks
// has run that long. s.mu must be held.
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

// faulty reports whether a machine fails tasks of jobs that work elsewhere. s.mu must be held.
func (s *Scheduler) faulty(machine *machineState) bool {
	return machine.Faulty(func(id string) bool {
		job := s.jobs[id]
		return job == nil || !s.failsEverywhere(job)
	})
}

// recordTaskFailure counts a failure of a job's task on a machine, and makes the job avoid the machine for a while. Only
// the first of several failures on one machine counts against the job. s.mu must be held.
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
	if job.failures >= tuning.BackoffErrors {
		pause := min(tuning.BackoffMax, tuning.BackoffBase<<min(job.failures-tuning.BackoffErrors, 6))
		job.pausedUntil = now.Add(pause)
		slog.Debug("job paused", "job", job.id, "errors", job.failures, "for", pause)
	}
	if !failedEverywhere && s.failsEverywhere(job) {
		slog.Info("job fails on every machine", "job", job.id, "class", job.Job.Class, "team", job.Job.Team, "machines", len(job.failedOn))
		s.reclaimQueued(job)
	}
}

// clearFailures ends a job's backoff: a task of it completed, so the failures were not the job's. s.mu must be held.
func (j *jobState) clearFailures() {
	if j.failures > 0 {
		j.failures, j.pausedUntil = 0, time.Time{}
	}
}

// clearMachineFailures removes the failures of a job that fails everywhere from the machines when it is over: they would
// count against these once the job is forgotten. s.mu must be held.
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

// demandedTasks returns how many tasks a job needs machines for. s.mu must be held.
func (s *Scheduler) demandedTasks(job *jobState) int {
	if s.failsEverywhere(job) && job.Job.Shape != api.Gang {
		return max(1, len(job.allocations))
	}
	return job.taskCount - job.completedCount
}
