package topology

import (
	"slices"
	"time"

	"switchferry/tuning"
)

// Reservation keeps a domain that drains for a job that must run in it as a whole.
type Reservation struct {
	Job string
	// Rank is the job's priority; higher is more important.
	Rank   int
	Domain *Domain
	// At is when the last of its tasks could start there.
	At time.Time

	expiresAt time.Time
}

// blocks reports whether the reservation, if it has not expired, keeps a task of another job out of a domain.
func (r *Reservation) blocks(now time.Time, domain *Domain, job string, rank int, endsAt time.Time) bool {
	if r.Job == job || rank > r.Rank || !now.Before(r.expiresAt) || !domain.Within(r.Domain) {
		return false
	}
	return endsAt.IsZero() || endsAt.After(r.At)
}

// Reservations are those of one leadership term. They are not persisted: they follow from what runs, so that a new leader
// comes to the same ones within a scheduling round, apart from estimates. The zero value holds none. It is not safe for
// concurrent use.
type Reservations struct {
	reservations []Reservation
}

// Reserve makes or renews the reservation of a job for tuning.ReservedFor; expiresAt of the request is ignored. It returns
// false if another job has reserved the domain, one within it or one around it, or if tuning.ReservedMost are held.
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
	request.expiresAt = now.Add(tuning.ReservedFor)
	if own < 0 {
		if len(r.reservations) >= tuning.ReservedMost {
			return false
		}
		r.reservations = append(r.reservations, request)
		return true
	}
	if previous := r.reservations[own]; previous.Domain == request.Domain {
		// The start is not put off because other jobs use the domain meanwhile.
		request.At = latest(now, earliest(request.At, previous.At))
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

// Expire drops the reservations that were not renewed in time.
func (r *Reservations) Expire(now time.Time) {
	r.reservations = slices.DeleteFunc(r.reservations, func(held Reservation) bool { return !now.Before(held.expiresAt) })
}

// Blocks reports whether a reservation of another job keeps a task of a job from starting in a domain now: unless the
// task ends by the time the reserved domain is needed, or its job is of a higher rank. EndsAt is when the task would end;
// zero: never. A nil domain is never reserved.
func (r *Reservations) Blocks(now time.Time, domain *Domain, job string, rank int, endsAt time.Time) bool {
	return slices.ContainsFunc(r.reservations, func(held Reservation) bool {
		return held.blocks(now, domain, job, rank, endsAt)
	})
}

// Any reports whether there are reservations, including ones that have expired since the last call of Reserve, Expire or
// All.
func (r *Reservations) Any() bool { return len(r.reservations) > 0 }

// All returns the reservations at a time. The slice is valid until the next call of another method and must not be
// changed.
func (r *Reservations) All(now time.Time) []Reservation {
	r.Expire(now)
	return r.reservations
}
