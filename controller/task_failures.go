package controller

import (
	"log/slog"
	"time"

	"switchferry/api"
	"switchferry/tuning"
)

// A job that was submitted with a mistake fails on every machine, at once, until its
// user cancels it. Its errors say nothing of the machines; and it fails again and
// again, so it gets one machine at a time, now and then, until a task of it works.

// failsEverywhere tells whether a job fails wherever it goes: on several machines, with
// nothing done and nothing that has been running for a while. A job whose first tasks
// met faulty machines is so only until another of its tasks has run that long.
func (s *Scheduler) failsEverywhere(job *jobState) bool {
	if len(job.failedOn) < tuning.MistakeMachines || job.completedCount > 0 {
		return false
	}
	for _, alloc := range job.allocations {
		if !alloc.runningSince.IsZero() && s.since(alloc.runningSince) > tuning.MistakeRun {
			return false
		}
	}
	return true
}

// faulty tells whether a machine fails what works elsewhere.
func (s *Scheduler) faulty(machine *machineState) bool {
	return machine.Faulty(func(id string) bool {
		job := s.jobs[id]
		return job == nil || !s.failsEverywhere(job)
	})
}

// recordTaskFailure notes an error of a job's task on a machine. Several tasks that fail on one
// machine are one sign.
func (s *Scheduler) recordTaskFailure(job *jobState, machine *machineState, now time.Time) {
	machine.RecordFailure(job.id)
	if !machine.faultLogged && s.faulty(machine) {
		machine.faultLogged = true
		slog.Info("machine suspect", "machine", machine.Name, "errors", machine.Failures)
	}
	again := now.Before(job.avoidUntil[machine.Name])
	job.avoidUntil[machine.Name] = now.Add(tuning.BackoffMax)
	if again {
		return
	}
	was := s.failsEverywhere(job)
	job.failedOn[machine.Name] = true
	job.failures++
	if job.failures >= tuning.BackoffErrors {
		d := min(tuning.BackoffMax, tuning.BackoffBase<<min(job.failures-tuning.BackoffErrors, 6))
		job.pausedUntil = now.Add(d)
		slog.Debug("job paused", "job", job.id, "errors", job.failures, "for", d)
	}
	if !was && s.failsEverywhere(job) {
		slog.Info("job fails on every machine", "job", job.id, "class", job.Job.Class, "team", job.Job.Team, "machines", len(job.failedOn))
		s.reclaimQueued(job)
	}
}

// clearFailures: a task of the job completed, so whatever failed was not the job.
func (j *jobState) clearFailures() {
	if j.failures > 0 {
		j.failures, j.pausedUntil = 0, time.Time{}
	}
}

// clearMachineFailures takes a mistaken job's errors off the machines when it is over: they would
// count against these once nobody remembers the job.
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

// placeableTasks is how many of a job's tasks may be given to machines now.
func (s *Scheduler) placeableTasks(job *jobState) int {
	if s.failsEverywhere(job) {
		return max(0, 1-len(job.allocations)-job.queued)
	}
	return len(job.pending)
}

// demandedTasks is how many tasks a job needs machines for.
func (s *Scheduler) demandedTasks(job *jobState) int {
	if s.failsEverywhere(job) && job.Job.Shape != api.Gang {
		return max(1, len(job.allocations))
	}
	return job.taskCount - job.completedCount
}
