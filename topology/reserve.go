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
	// until is when it ends unless it is asked for again.
	until time.Time
}

// Reservations are those of one term. They are not stored: they follow from what runs, so a new
// leader comes to the same within a round, save for estimates.
type Reservations struct {
	held []Reservation
}

// Reserve asks for a domain, or asks again. False: another job has it or one within or around it,
// or as many are held as may be.
func (r *Reservations) Reserve(now time.Time, x Reservation) bool {
	r.Expire(now)
	mine := -1
	for i, h := range r.held {
		switch {
		case h.Job == x.Job:
			mine = i
		case h.Domain.Within(x.Domain) || x.Domain.Within(h.Domain):
			return false
		}
	}
	x.until = now.Add(tuning.ReservedFor)
	if mine >= 0 {
		if r.held[mine].Domain == x.Domain {
			// What it waits for does not move further away because others use the rest.
			x.At = earlier(x.At, r.held[mine].At)
			if x.At.Before(now) {
				x.At = now
			}
		}
		r.held[mine] = x
		return true
	}
	if len(r.held) >= tuning.ReservedMost {
		return false
	}
	r.held = append(r.held, x)
	return true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Expire forgets those that nobody asked for again.
func (r *Reservations) Expire(now time.Time) {
	kept := r.held[:0]
	for _, h := range r.held {
		if now.Before(h.until) {
			kept = append(kept, h)
		}
	}
	clear(r.held[len(kept):])
	r.held = kept
}

// Blocks tells whether a job may not start in a domain, for the sake of another: unless it ends
// before that one could start, or is of a higher rank. Ends is when it would; zero: never.
func (r *Reservations) Blocks(now time.Time, d *Domain, job string, rank int, ends time.Time) bool {
	for _, h := range r.held {
		if h.Job != job && rank <= h.Rank && now.Before(h.until) && d != nil && d.Within(h.Domain) && (ends.IsZero() || ends.After(h.At)) {
			return true
		}
	}
	return false
}

// Any tells whether there are any.
func (r *Reservations) Any() bool { return len(r.held) > 0 }

// All are those held now.
func (r *Reservations) All(now time.Time) []Reservation {
	r.Expire(now)
	return r.held
}
