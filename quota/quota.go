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
func Excess(limit Limit, use fleet.Resources, held []Usage) (stop []int) {
	order := make([]int, len(held))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(held[a].Rank, held[b].Rank), cmp.Compare(held[a].Loss, held[b].Loss))
	})
	for _, i := range order {
		if limit.Allows(use) {
			break
		}
		stop = append(stop, i)
		use = use.Sub(held[i].Resources)
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
	held map[string]Reservation
	// rests is until when a team's limit is not reserved.
	rests map[string]time.Time
}

// Reserve takes in all claims, in the order of the queues: of each team the first that can be met holds. A team
// without one holds no reservation from then on.
func (b *Ledger) Reserve(now time.Time, claims []Demand) {
	held := map[string]Reservation{}
	for _, c := range claims {
		if _, ok := held[c.Team]; ok || now.Before(b.rests[c.Team]) || c.Limit.Allows(c.Use.Add(c.Request)) || !c.Limit.Allows(c.Permanent.Add(c.Request)) {
			continue
		}
		r := Reservation{c.ID, c.Request, now}
		if was, ok := b.held[c.Team]; ok {
			// Also for another job the team's others have been held up since then.
			r.since = was.since
		}
		if now.Sub(r.since) >= tuning.QuotaReserved {
			if b.rests == nil {
				b.rests = map[string]time.Time{}
			}
			b.rests[c.Team] = now.Add(tuning.QuotaRests)
			continue
		}
		held[c.Team] = r
	}
	b.held = held
}

// Reservation is the team's reservation.
func (b *Ledger) Reservation(team string) (Reservation, bool) {
	r, ok := b.held[team]
	return r, ok
}
