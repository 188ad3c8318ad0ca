package topology

import (
	"slices"
	"time"

	"switchferry/tuning"
)

// Reservation reserves a domain for a job all of whose tasks must run in it. While the tasks of other jobs there end,
// Reservations.Blocks limits which new ones may start.
type Reservation struct {
	Job string
	// Rank is the job's priority; higher is more important.
	Rank   int
	Domain *Domain
	// NeededAt is when the domain is needed: the time at which the last of the job's tasks could start there.
	NeededAt time.Time

	// expiresAt is when the reservation ends unless it is renewed.
	expiresAt time.Time
}

// blocks reports whether the reservation prevents a task of a job from starting in a domain, as defined at
// Reservations.Blocks.
func (r *Reservation) blocks(now time.Time, domain *Domain, job string, rank int, endsAt time.Time) bool {
	if r.Job == job || rank > r.Rank || !now.Before(r.expiresAt) || !domain.Within(r.Domain) {
		return false
	}
	return endsAt.IsZero() || endsAt.After(r.NeededAt)
}

// Reservations holds the reservations of one leadership term. They are not persisted: they are derived from the running
// tasks, so a new leader makes the same ones within one placement round, except for differences in estimates. The zero
// value holds no reservations. Reservations is not safe for concurrent use.
type Reservations struct {
	reservations []Reservation
}

// Reserve makes or renews the reservation of a job, which then expires after tuning.DomainReservationTTL; expiresAt of
// the request is ignored. A job has at most one reservation. Reserve returns false if another job has reserved the
// domain, a domain within it or one that contains it, or if there are already tuning.MaxDomainReservations
// reservations.
func (r *Reservations) Reserve(now time.Time, request Reservation) bool {
	r.Expire(now)
	own := -1
	for i, held := range r.reservations {
		switch {
		case held.Job == request.Job:
			own = i
		case held.Domain.Within(request.Domain) || request.Domain.Within(held.Domain):
			return false
		}
	}
	request.expiresAt = now.Add(tuning.DomainReservationTTL)
	if own < 0 {
		if len(r.reservations) >= tuning.MaxDomainReservations {
			return false
		}
		r.reservations = append(r.reservations, request)
		return true
	}
	if previous := r.reservations[own]; previous.Domain == request.Domain {
		// A renewal does not postpone the time at which the domain is needed, so other jobs that use it meanwhile do
		// not delay the job.
		request.NeededAt = latest(now, earliest(request.NeededAt, previous.NeededAt))
	}
	r.reservations[own] = request
	return true
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Expire removes the reservations that were not renewed in time.
func (r *Reservations) Expire(now time.Time) {
	r.reservations = slices.DeleteFunc(r.reservations, func(held Reservation) bool { return !now.Before(held.expiresAt) })
}

// Blocks reports whether a reservation of another job prevents a task of a job from starting in a domain now. It does
// not if the task would end by the time at which the reserved domain is needed, or if the task's job has a higher rank.
// The parameter endsAt is when the task would end; the zero time means never. A nil domain is never reserved.
func (r *Reservations) Blocks(now time.Time, domain *Domain, job string, rank int, endsAt time.Time) bool {
	return slices.ContainsFunc(r.reservations, func(held Reservation) bool {
		return held.blocks(now, domain, job, rank, endsAt)
	})
}

// Any reports whether there are reservations. Ones that have expired since the last call of Reserve, Expire or All are
// included.
func (r *Reservations) Any() bool { return len(r.reservations) > 0 }

// All returns the reservations that have not expired. The slice is valid until the next call of another method, and the
// caller must not change it.
func (r *Reservations) All(now time.Time) []Reservation {
	r.Expire(now)
	return r.reservations
}
