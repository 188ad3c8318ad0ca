package controller

import (
	"log/slog"
	"time"

	"switchferry/ageing"
	"switchferry/api"
	"switchferry/settings"
	"switchferry/tuning"
)

// reserveForStarved lets machines drain for jobs whose turn has come and that find no room: else what ends there
// makes room for a smaller task at once, and a task that needs a whole machine, or a gang, never starts
// while these keep coming.
func (s *Scheduler) reserveForStarved() {
	now, kept, machines := s.now(), map[*jobState]bool{}, 0
	for _, machine := range s.machines {
		if job := machine.reservedFor; job != nil && (!job.starved || s.jobs[job.id] != job) {
			machine.reservedFor = nil
		} else if job != nil {
			kept[job] = true
			machines++
		}
	}
	// One job may always have them, however many it needs.
	most := max(1, int(tuning.KeptShare*float64(len(s.machines))))
	for _, job := range s.jobOrder {
		if !job.starved || now.Before(job.nextMachineReservation) || machines >= most && !kept[job] || !s.withinQuota(job) || len(job.inputs) > 0 || job.site != nil {
			continue
		}
		job.nextMachineReservation = now.Add(tuning.KeepRoomEvery)
		tasks := 1
		if job.Job.Shape == api.Gang {
			tasks = len(job.pending)
		}
		var ms []ageing.Machine
		for _, machine := range s.sortedMachines() {
			if machine.reservedFor != nil && machine.reservedFor != job || !s.eligible(job, machine) || !satisfiesSpread(job, machine) {
				continue
			}
			x := ageing.Machine{Name: machine.Name, Zone: machine.Zone}
			for _, ms := range s.startDelays(job, machine, tasks) {
				x.At = append(x.At, time.Duration(ms)*time.Millisecond)
			}
			ms = append(ms, x)
		}
		names, at := ageing.Keep(ms, tasks, job.Job.OneZone)
		for _, machine := range s.machines {
			if machine.reservedFor == job {
				machine.reservedFor = nil
				machines--
			}
		}
		if len(names) == 0 || at <= 0 {
			// There is none ever, or now.
			continue
		}
		if !kept[job] {
			slog.Info("machines drain for a job that has waited long", "job", job.id, "machines", len(names), "in", at.Round(time.Second),
				"waited", now.Sub(job.waitingSince).Round(time.Second))
			kept[job] = true
		}
		for _, n := range names {
			machine := s.machines[n]
			machine.reservedFor, machine.reservedUntil = job, now.Add(at)
		}
		machines += len(names)
	}
}

// reservedForStarved tells whether a machine drains for another job, in whose way this one would be:
// production is not held up, and what ends by then may run there meanwhile.
func (s *Scheduler) reservedForStarved(job *jobState, machine *machineState) bool {
	if machine.reservedFor == nil || machine.reservedFor == job || job.rank == api.RankProduction {
		return false
	}
	return job.Job.Shape != api.JobArray || s.now().Add(settings.Seconds(estimate(job)+machine.fetchSeconds(job))).After(machine.reservedUntil)
}
