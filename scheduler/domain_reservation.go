package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"switchferry/api"
	"switchferry/fleet"
	"switchferry/settings"
	"switchferry/topology"
	"switchferry/tuning"
)

// reserveDomain reserves the domain that drains soonest for a job that has found none, provided that it drains before a
// new machine could boot. It returns a description of the reservation for operators and users, or "" if there is none.
// The function allowed reports whether the job's tasks may run on the named machine. s.mu must be held.
func (s *Scheduler) reserveDomain(job *jobState, allowed func(string) bool) string {
	if s.now().Before(job.nextDomainReservation) {
		return job.reservedDomain
	}
	job.reservedDomain = ""
	job.nextDomainReservation = s.now().Add(tuning.DomainSearchInterval)
	shortestBootS := 0.0
	for _, machineType := range s.machineTypes {
		if machineType.Fits(&job.Job) && (shortestBootS == 0 || machineType.BootS < shortestBootS) {
			shortestBootS = machineType.BootS
		}
	}
	delays := func(name string) []int64 { return s.startDelays(job, s.machines[name], len(job.pending)) }
	domain, delayMS := job.site.SoonestDomain(job.request, len(job.pending), allowed, delays)
	if domain == nil || float64(delayMS) > shortestBootS*1000 {
		return ""
	}
	drainedAt := s.now().Add(time.Duration(delayMS) * time.Millisecond)
	if s.topology.reservations.Reserve(s.now(), topology.Reservation{Job: job.id, Rank: job.rank, Domain: domain, NeededAt: drainedAt}) {
		job.reservedDomain = fmt.Sprintf("%s %q is reserved for the job until it drains", domain.Level, domain.Name)
	}
	return job.reservedDomain
}

// startDelays returns the times in ms after which each of the given number of further tasks of a job could start on a
// machine, ascending, provided that the tasks running there end as estimated. It returns fewer delays if not all of the
// tasks fit even then. s.mu must be held.
func (s *Scheduler) startDelays(job *jobState, machine *machineState, tasks int) (delays []int64) {
	free := machine.free()
	type release struct {
		delayMS   int64
		resources fleet.Resources
	}
	var releases []release
	for _, alloc := range machine.allocations {
		switch {
		case alloc.stopping:
			releases = append(releases, release{0, alloc.job.request})
		case alloc.job.Job.Shape == api.Service:
			// A replica of a service ends only when its job is cancelled.
		default:
			secondsLeft := estimate(alloc.job)
			if !alloc.runningSince.IsZero() {
				secondsLeft = max(tuning.MinRunTimeS, secondsLeft-s.since(alloc.runningSince).Seconds())
			}
			releases = append(releases, release{int64(secondsLeft * 1000), alloc.job.request})
		}
	}
	slices.SortFunc(releases, func(a, b release) int { return cmp.Compare(a.delayMS, b.delayMS) })
	delayMS := int64(0)
	for len(delays) < tasks {
		switch {
		case free.Fits(job.request):
			free = free.Sub(job.request)
			delays = append(delays, delayMS)
		case len(releases) > 0:
			delayMS, free = releases[0].delayMS, free.Add(releases[0].resources)
			releases = releases[1:]
		default:
			return delays
		}
	}
	return delays
}

// reservedForOthers reports whether a job must not use a machine because the machine's domain is reserved for another
// job and a task started now would not end before the reservation starts. s.mu must be held.
func (s *Scheduler) reservedForOthers(job *jobState, machine *machineState) bool {
	if s.topology == nil || !s.topology.reservations.Any() {
		return false
	}
	var end time.Time
	if job.Job.Shape != api.Service {
		end = s.now().Add(settings.Seconds(estimate(job) + s.startCost(job, 0, machine).Seconds()))
	}
	return s.topology.reservations.Blocks(s.now(), s.topology.tree.DomainOf(machine.Name), job.id, job.rank, end)
}

// preemptionCosts returns the work in ms that preemption would lose for each pending task of a job that could start on a
// machine, in the order of the starts. It returns fewer costs if not all pending tasks fit there. s.mu must be held.
func (s *Scheduler) preemptionCosts(job *jobState, machine *machineState) (costs []int64) {
	free, _ := machine.freeAfterStops()
	preemptible := s.preemptible(job, machine)
	s.sortByLoss(preemptible)
	cost := int64(0)
	for len(costs) < len(job.pending) {
		switch {
		case free.Fits(job.request):
			free = free.Sub(job.request)
			costs = append(costs, cost)
			cost = 0
		case len(preemptible) > 0:
			free, cost = free.Add(preemptible[0].job.request), cost+s.preemptionLoss(preemptible[0])
			preemptible = preemptible[1:]
		default:
			return costs
		}
	}
	return costs
}
