package controller

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

// reserveDomain reserves a domain that drains before a machine boots for a job that has none, and
// says so.
func (s *Scheduler) reserveDomain(job *jobState, may func(string) bool) string {
	if s.now().Before(job.nextDomainReservation) {
		return job.reservedDomain
	}
	job.reservedDomain = ""
	job.nextDomainReservation = s.now().Add(tuning.AimAgain)
	boot := 0.0
	for _, t := range s.machineTypes {
		if t.Fits(&job.Job) && (boot == 0 || t.BootS < boot) {
			boot = t.BootS
		}
	}
	d, ms := job.site.SoonestDomain(job.request, len(job.pending), may, func(name string) []int64 { return s.startDelays(job, s.machines[name], len(job.pending)) })
	if d == nil || float64(ms) > boot*1000 {
		return ""
	}
	at := s.now().Add(time.Duration(ms) * time.Millisecond)
	if s.topology.reservations.Reserve(s.now(), topology.Reservation{Job: job.id, Rank: job.rank, Domain: d, At: at}) {
		job.reservedDomain = fmt.Sprintf("%s %q is kept for it until it drains", d.Level, d.Name)
	}
	return job.reservedDomain
}

// startDelays is in how many ms each of so many further tasks of a job could start on a machine, as what
// runs there ends by its estimate.
func (s *Scheduler) startDelays(job *jobState, machine *machineState, tasks int) (at []int64) {
	free := machine.free()
	type ending struct {
		ms   int64
		room fleet.Resources
	}
	var ends []ending
	for _, alloc := range machine.allocations {
		switch {
		case alloc.stopping:
			ends = append(ends, ending{0, alloc.job.request})
		case alloc.job.Job.Shape == api.Service:
			// It ends only by its user.
		default:
			left := estimate(alloc.job)
			if !alloc.runningSince.IsZero() {
				left = max(tuning.MinRun, left-s.since(alloc.runningSince).Seconds())
			}
			ends = append(ends, ending{int64(left * 1000), alloc.job.request})
		}
	}
	slices.SortFunc(ends, func(a, b ending) int { return cmp.Compare(a.ms, b.ms) })
	now := int64(0)
	for len(at) < tasks {
		switch {
		case free.Fits(job.request):
			free = free.Sub(job.request)
			at = append(at, now)
		case len(ends) > 0:
			now, free = ends[0].ms, free.Add(ends[0].room)
			ends = ends[1:]
		default:
			return at
		}
	}
	return at
}

// reservedForOthers tells whether a machine stands in a domain that is kept for another job, in
// whose way this one would be.
func (s *Scheduler) reservedForOthers(job *jobState, machine *machineState) bool {
	if s.topology == nil || !s.topology.reservations.Any() {
		return false
	}
	var ends time.Time
	if job.Job.Shape != api.Service {
		ends = s.now().Add(settings.Seconds(estimate(job) + s.startCost(job, 0, machine).Seconds()))
	}
	return s.topology.reservations.Blocks(s.now(), s.topology.tree.Of(machine.Name), job.id, job.rank, ends)
}

// preemptionCosts is what each further task of a job costs on a machine, in work that is thrown away,
// until no more room can be made.
func (s *Scheduler) preemptionCosts(job *jobState, machine *machineState) (costs []int64) {
	free, _ := machine.freeAfterStops()
	can := s.preemptible(job, machine)
	s.sortByLoss(can)
	cost := int64(0)
	for len(costs) < len(job.pending) {
		switch {
		case free.Fits(job.request):
			free = free.Sub(job.request)
			costs = append(costs, cost)
			cost = 0
		case len(can) > 0:
			free, cost = free.Add(can[0].job.request), cost+s.preemptionLoss(can[0])
			can = can[1:]
		default:
			return costs
		}
	}
	return costs
}
