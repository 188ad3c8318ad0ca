// Package quota enforces teams' resource limits and reserves quota for the job that is first in a team's queue.
//
// A team at its limit gets quota back one small task at a time, so a job that needs more than that would starve while
// small tasks keep arriving. A Ledger therefore reserves the missing quota for the first job, by priority or age, that
// only the limit keeps from starting: jobs behind it start only within the quota that is not reserved. Two rules bound
// the cost of a reservation to other jobs. No quota is reserved for a job that could not start even if all usage that
// ends by itself had ended. A reservation expires, and is not renewed for some time, after tuning.QuotaReservationTTL,
// so that other jobs do not wait long for one that cannot start.
//
// The package knows amounts, times and the order in which demands are passed to it, but no jobs or machines. It has no
// clock and no lock.
package quota

import (
	"cmp"
	"slices"
	"time"

	"switchferry/fleet"
	"switchferry/tuning"
)

// Limit is the maximum that a team may use at once. A zero field does not limit that resource.
type Limit struct{ CPUs, Cards float64 }

// Allows reports whether a usage is within the limit.
func (l Limit) Allows(usage fleet.Resources) bool {
	return (l.CPUs == 0 || usage.CPUs <= l.CPUs+tuning.ResourceSlack) && (l.Cards == 0 || usage.Cards <= l.Cards+tuning.ResourceSlack)
}

// Usage is one running task of a team.
type Usage struct {
	// Rank is the priority of the task's job; higher is more important.
	Rank int
	// Loss is the work that is lost if the task is stopped now. The unit is arbitrary but the same for all tasks.
	Loss int64
	// Resources is the amount that the task uses.
	Resources fleet.Resources
}

// Excess returns the indices of the running tasks to stop so that a team's usage is within its limit: tasks of the
// lowest rank first, and tasks of equal rank in ascending order of loss. The usage is the sum over all running tasks.
func Excess(limit Limit, usage fleet.Resources, running []Usage) (stop []int) {
	order := make([]int, len(running))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(running[a].Rank, running[b].Rank), cmp.Compare(running[a].Loss, running[b].Loss))
	})
	for _, i := range order {
		if limit.Allows(usage) {
			break
		}
		stop = append(stop, i)
		usage = usage.Sub(running[i].Resources)
	}
	return stop
}

// Demand is a job that is first in its team's queue and that only the team's limit may keep from starting.
type Demand struct {
	Team, ID string
	Limit    Limit
	// Request is the amount that the job needs at once, Usage what its team uses now, and Permanent the part of that
	// usage that does not end by itself, such as services.
	Request, Usage, Permanent fleet.Resources
}

// feasible reports whether the job could start once all usage that ends by itself has ended.
func (d Demand) feasible() bool { return d.Limit.Allows(d.Permanent.Add(d.Request)) }

// satisfied reports whether the limit allows the job to start now.
func (d Demand) satisfied() bool { return d.Limit.Allows(d.Usage.Add(d.Request)) }

// Reservation is quota that is reserved for one job.
type Reservation struct {
	ID        string
	Resources fleet.Resources
	// since is when the team's current uninterrupted sequence of reservations began, for this job or an earlier one.
	since time.Time
}

// Ledger holds at most one reservation for each team. The zero value holds none. It is not safe for concurrent use.
type Ledger struct {
	// reservations are the current reservations by team.
	reservations map[string]Reservation
	// pausedUntil is, by team, when quota may be reserved again after a reservation expired.
	pausedUntil map[string]time.Time
}

// Reserve replaces all reservations. Demands are given in queue order, and the first one of each team that is feasible
// but not satisfied gets the reservation; a team without such a demand has none. A reservation that has been held for
// tuning.QuotaReservationTTL expires, and no quota is reserved for the team for tuning.QuotaReservationPause.
func (l *Ledger) Reserve(now time.Time, demands []Demand) {
	reservations := map[string]Reservation{}
	for _, demand := range demands {
		_, reserved := reservations[demand.Team]
		if reserved || now.Before(l.pausedUntil[demand.Team]) || demand.satisfied() || !demand.feasible() {
			continue
		}
		reservation := Reservation{ID: demand.ID, Resources: demand.Request, since: now}
		if previous, ok := l.reservations[demand.Team]; ok {
			// Other jobs of the team have been delayed since then, whichever job the quota was reserved for.
			reservation.since = previous.since
		}
		if now.Sub(reservation.since) >= tuning.QuotaReservationTTL {
			l.pause(demand.Team, now.Add(tuning.QuotaReservationPause))
			continue
		}
		reservations[demand.Team] = reservation
	}
	l.reservations = reservations
}

// pause prevents reservations for a team until the given time.
func (l *Ledger) pause(team string, until time.Time) {
	if l.pausedUntil == nil {
		l.pausedUntil = map[string]time.Time{}
	}
	l.pausedUntil[team] = until
}

// Reservation returns a team's reservation, and false if it has none.
func (l *Ledger) Reservation(team string) (Reservation, bool) {
	reservation, ok := l.reservations[team]
	return reservation, ok
}
