package scheduler

import (
	"log/slog"
	"time"

	"switchferry/ageing"
	"switchferry/api"
	"switchferry/settings"
	"switchferry/tuning"
)

// reserveForStarved reserves machines for starved jobs that find no free resources, so that the machines drain.
// Otherwise smaller tasks would use all resources as soon as they become free, and as long as such tasks keep arriving,
// a gang or a task that needs a whole machine would never start. s.mu must be held.
func (s *Scheduler) reserveForStarved() {
	now := s.now()
	jobsWithReservations, reservedMachines := s.currentReservations()
	// The limit is at least 1 and is checked before a job reserves machines, so one job can always reserve as many as it
	// needs.
	limit := max(1, int(tuning.MaxReservedShare*float64(len(s.machines))))
	for _, job := range s.jobOrder {
		if !job.starved || now.Before(job.nextMachineReservation) || reservedMachines >= limit && !jobsWithReservations[job] {
			continue
		}
		if !s.withinQuota(job) || len(job.inputs) > 0 || job.site != nil {
			continue
		}
		job.nextMachineReservation = now.Add(tuning.StarvationReserveInterval)
		names, drainTime := s.soonestMachines(job)
		for _, machine := range s.machines {
			if machine.reservedFor == job {
				machine.reservedFor = nil
				reservedMachines--
			}
		}
		if len(names) == 0 || drainTime <= 0 {
			// The job cannot start on any machine, or it can start at once.
			continue
		}
		if !jobsWithReservations[job] {
			slog.Info("machines reserved for starved job", "job", job.id, "machines", len(names), "in", drainTime.Round(time.Second),
				"waited", now.Sub(job.waitingSince).Round(time.Second))
			jobsWithReservations[job] = true
		}
		for _, name := range names {
			machine := s.machines[name]
			machine.reservedFor, machine.reservedUntil = job, now.Add(drainTime)
		}
		reservedMachines += len(names)
	}
}

// currentReservations removes the reservations of jobs that are no longer starved. It returns the jobs that have
// reservations and the number of reserved machines. s.mu must be held.
func (s *Scheduler) currentReservations() (jobsWithReservations map[*jobState]bool, reservedMachines int) {
	jobsWithReservations = map[*jobState]bool{}
	for _, machine := range s.machines {
		job := machine.reservedFor
		if job == nil {
			continue
		}
		if !job.starved || s.jobs[job.id] != job {
			machine.reservedFor = nil
			continue
		}
		jobsWithReservations[job] = true
		reservedMachines++
	}
	return jobsWithReservations, reservedMachines
}

// soonestMachines returns the machines on which one task of an array or service, or a whole gang, can start soonest
// according to the estimates of the running tasks, and the time until these machines have drained. It returns no
// machines if the job cannot start on any. s.mu must be held.
func (s *Scheduler) soonestMachines(job *jobState) (names []string, drainTime time.Duration) {
	tasks := 1
	if job.Job.Shape == api.Gang {
		tasks = len(job.pending)
	}
	var machines []ageing.Machine
	for _, machine := range s.sortedMachines() {
		if machine.reservedFor != nil && machine.reservedFor != job || !s.eligible(job, machine) || !satisfiesSpread(job, machine) {
			continue
		}
		available := ageing.Machine{Name: machine.Name, Zone: machine.Zone}
		for _, delayMS := range s.startDelays(job, machine, tasks) {
			available.StartDelays = append(available.StartDelays, time.Duration(delayMS)*time.Millisecond)
		}
		machines = append(machines, available)
	}
	return ageing.EarliestMachines(machines, tasks, job.Job.OneZone)
}

// reservedForStarved reports whether a job must not use a machine because the machine is reserved for another job that
// is starved. Production jobs ignore the reservation, and tasks of arrays may run there if they end before the machine
// is expected to have drained. s.mu must be held.
func (s *Scheduler) reservedForStarved(job *jobState, machine *machineState) bool {
	if machine.reservedFor == nil || machine.reservedFor == job || job.rank == api.RankProduction {
		return false
	}
	if job.Job.Shape != api.JobArray {
		return true
	}
	end := s.now().Add(settings.Seconds(estimate(job) + machine.fetchSeconds(job)))
	return end.After(machine.reservedUntil)
}
