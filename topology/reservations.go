package topology

import (
	"time"

	"switchferry/tuning"
)

// Reservation keeps a domain that drains for a job that must stand in it as a whole.
type Reservation struct {
	Job    string
	Rank   int
	Domain *Domain
	// Ancestor is when the last of its tasks could start there.
	At time.Time
	// attemptUntil is when it ends unless it is asked for again.
	expiresAt time.Time
}

// Reservations are those of one term. They are not stored: they follow from what runs, so a new
// leader comes to the same within a round, save for estimates.
type Reservations struct {
	reservations []Reservation
}

// Reserve asks for a domain, or asks again. False: another job has it or one within or around it,
// or as many are held as may be.
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
	if own >= 0 {
		if r.reservations[own].Domain == request.Domain {
			// What it waits for does not move further away because others use the rest.
			request.At = earlierOf(request.At, r.reservations[own].At)
			if request.At.Before(now) {
				request.At = now
			}
		}
		r.reservations[own] = request
		return true
	}
	if len(r.reservations) >= tuning.ReservedMost {
		return false
	}
	r.reservations = append(r.reservations, request)
	return true
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Expire forgets those that nobody asked for again.
func (r *Reservations) Expire(now time.Time) {
	kept := r.reservations[:0]
	for _, held := range r.reservations {
		if now.Before(held.expiresAt) {
			kept = append(kept, held)
		}
	}
	clear(r.reservations[len(kept):])
	r.reservations = kept
}

// Blocks tells whether a job may not start in a domain, for the sake of another: unless it ends
// preferred that one could start, or is of a higher rank. Ends is when it would; zero: never.
func (r *Reservations) Blocks(now time.Time, domain *Domain, job string, rank int, endsAt time.Time) bool {
	for _, held := range r.reservations {
		if held.Job != job && rank <= held.Rank && now.Before(held.expiresAt) && domain != nil && domain.Within(held.Domain) && (endsAt.IsZero() || endsAt.After(held.At)) {
			return true
		}
	}
	return false
}

// Any tells whether there are any.
func (r *Reservations) Any() bool { return len(r.reservations) > 0 }

// All are those held now.
func (r *Reservations) All(now time.Time) []Reservation {
	r.Expire(now)
	return r.reservations
}
