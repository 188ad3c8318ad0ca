package scheduler

import (
	"log/slog"
	"time"

	"switchferry/ageing"
	"switchferry/api"
	"switchferry/settings"
	"switchferry/tuning"
)

// reserveForStarved reserves machines for starved jobs that find no free resources, so that they drain: else what
// ends there makes way for a smaller task at once, and a task that needs a whole machine, or a gang, never starts
// while these keep coming. s.mu must be held.
func (s *Scheduler) reserveForStarved() {
	now := s.now()
	reserving, reserved := s.currentReservations()
	// One job may always have reservations, however many machines it needs.
	limit := max(1, int(tuning.ReservedShare*float64(len(s.machines))))
	for _, job := range s.jobOrder {
		if !job.starved || now.Before(job.nextMachineReservation) || reserved >= limit && !reserving[job] {
			continue
		}
		if !s.withinQuota(job) || len(job.inputs) > 0 || job.site != nil {
			continue
		}
		job.nextMachineReservation = now.Add(tuning.StarvationReserveEvery)
		names, drained := s.soonestMachines(job)
		for _, machine := range s.machines {
			if machine.reservedFor == job {
				machine.reservedFor = nil
				reserved--
			}
		}
		if len(names) == 0 || drained <= 0 {
			// It can start nowhere, or at once.
			continue
		}
		if !reserving[job] {
			slog.Info("machines reserved for starved job", "job", job.id, "machines", len(names), "in", drained.Round(time.Second),
				"waited", now.Sub(job.waitingSince).Round(time.Second))
			reserving[job] = true
		}
		for _, name := range names {
			machine := s.machines[name]
			machine.reservedFor, machine.reservedUntil = job, now.Add(drained)
		}
		reserved += len(names)
	}
}

// currentReservations drops the reservations of jobs that are not starved any more, and returns the jobs that have
// any and how many machines are reserved. s.mu must be held.
func (s *Scheduler) currentReservations() (reserving map[*jobState]bool, reserved int) {
	reserving = map[*jobState]bool{}
	for _, machine := range s.machines {
		job := machine.reservedFor
		if job == nil {
			continue
		}
		if !job.starved || s.jobs[job.id] != job {
			machine.reservedFor = nil
			continue
		}
		reserving[job] = true
		reserved++
	}
	return reserving, reserved
}

// soonestMachines returns the machines on which a task of an array or service, or a whole gang, can start soonest by
// the estimates of what runs there, and in how long they have drained; none if it can start nowhere.
// s.mu must be held.
func (s *Scheduler) soonestMachines(job *jobState) (names []string, drained time.Duration) {
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
			available.At = append(available.At, time.Duration(delayMS)*time.Millisecond)
		}
		machines = append(machines, available)
	}
	return ageing.EarliestMachines(machines, tasks, job.Job.OneZone)
}

// reservedForStarved reports whether a job may not use a machine because it drains for another one. Production is not
// held up, and tasks of arrays that end by then may run there meanwhile. s.mu must be held.
func (s *Scheduler) reservedForStarved(job *jobState, machine *machineState) bool {
	if machine.reservedFor == nil || machine.reservedFor == job || job.rank == api.RankProduction {
		return false
	}
	if job.Job.Shape != api.JobArray {
		return true
	}
	ends := s.now().Add(settings.Seconds(estimate(job) + machine.fetchSeconds(job)))
	return ends.After(machine.reservedUntil)
}
