// Package quota keeps teams within their limits, and reserves a limit's room for the job that goes first in its team.
// It knows amounts, times and the order in which jobs are given to it, not jobs or machines; it has no clock and no
// lock.
//
// A team that is at its limit has room for one small task each time one ends, and never for a task that needs more,
// while small ones keep coming: whatever is ahead of them in the queues is passed by for ever. So the first job in
// the queues that goes before others by rank or age, and for which the limit alone leaves no room, has that room
// reserved: what stands behind it starts only beside it. Two bounds keep a reservation from being held in vain: there
// is none where what never ends already takes too much, and it rests after a while, so that nobody waits long for a
// job whose room does not come.
package quota

import (
	"cmp"
	"slices"
	"time"

	"switchferry/fleet"
	"switchferry/tuning"
)

// Limit is what a team may use at most; 0 of something: as much as there is.
type Limit struct{ CPUs, Cards float64 }

// Allows tells whether a use is within the limit.
func (l Limit) Allows(use fleet.Resources) bool {
	return (l.CPUs == 0 || use.CPUs <= l.CPUs+tuning.RoomSlack) && (l.Cards == 0 || use.Cards <= l.Cards+tuning.RoomSlack)
}

// Usage is a task of a team that runs: its job's rank, what stopping it loses, and what it takes.
type Usage struct {
	Rank      int
	Loss      int64
	Resources fleet.Resources
}

// Excess are the tasks to stop, by their place in the list, so that a team's use is within its limit: those of the
// lowest rank first, of these the ones that lose the least.
func Excess(limit Limit, use fleet.Resources, running []Usage) (stop []int) {
	order := make([]int, len(running))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(running[a].Rank, running[b].Rank), cmp.Compare(running[a].Loss, running[b].Loss))
	})
	for _, i := range order {
		if limit.Allows(use) {
			break
		}
		stop = append(stop, i)
		use = use.Sub(running[i].Resources)
	}
	return stop
}

// Demand is a job that goes before others in its team's queue and could start but for the limit.
type Demand struct {
	Team, ID string
	Limit    Limit
	// Resources is what it needs at once; Use what the team uses, and Permanent the part of it that does not end by itself.
	Request, Use, Permanent fleet.Resources
}

// Reservation is room of a limit that is kept for a job.
type Reservation struct {
	ID        string
	Resources fleet.Resources
	since     time.Time
}

// Ledger has one reservation a team at most. The zero value has none.
type Ledger struct {
	reservations map[string]Reservation
	// pausedUntil is until when a team's limit is not reserved.
	pausedUntil map[string]time.Time
}

// Reserve takes in all claims, in the order of the queues: of each team the first that can be met holds. A team
// without one holds no reservation from then on.
func (l *Ledger) Reserve(now time.Time, demands []Demand) {
	reservations := map[string]Reservation{}
	for _, demand := range demands {
		if _, ok := reservations[demand.Team]; ok || now.Before(l.pausedUntil[demand.Team]) || demand.Limit.Allows(demand.Use.Add(demand.Request)) || !demand.Limit.Allows(demand.Permanent.Add(demand.Request)) {
			continue
		}
		reservation := Reservation{demand.ID, demand.Request, now}
		if previous, ok := l.reservations[demand.Team]; ok {
			// Also for another job the team's others have been held up since then.
			reservation.since = previous.since
		}
		if now.Sub(reservation.since) >= tuning.QuotaReserved {
			if l.pausedUntil == nil {
				l.pausedUntil = map[string]time.Time{}
			}
			l.pausedUntil[demand.Team] = now.Add(tuning.QuotaRests)
			continue
		}
		reservations[demand.Team] = reservation
	}
	l.reservations = reservations
}

// Usage is the team's reservation.
func (l *Ledger) Reservation(team string) (Reservation, bool) {
	reservation, ok := l.reservations[team]
	return reservation, ok
}
