// Package retry spreads out the retries of users whose requests were refused (load shedding with jittered Retry-After).
//
// Users who are all told the same delay come back together: at the end of an outage more at once than can be stored, so
// that most are refused again. Each user is therefore told a delay of its own, spread evenly over as long as it takes to
// store the requests of all who wait. The package knows how many wait and how fast they can be served, not why they were
// refused; it has no clock.
package retry

import (
	"fmt"
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// minRate is the least rate that is assumed, in requests a second.
const minRate = 1e-3

// Spread computes the delays of one controller. It is not safe for concurrent use; New makes one.
type Spread struct {
	// rate is in requests a second.
	rate                   float64
	minSeconds, maxSeconds int
	forgetAfter            time.Duration
	// waiting is when the user of each job that was refused was last told to come back, the longest ago first.
	waiting *simplelru.LRU[string, time.Time]
	// phase is where in the span of delays, from 0 to 1, the latest delay was.
	phase float64
}

// New returns a Spread for a controller that can store rate requests a second. Delays are from minSeconds to maxSeconds. A
// user who has not come back after forgetAfter is assumed to have given up, and at most limit users are remembered; a
// limit below one is an error.
func New(rate float64, minSeconds, maxSeconds int, forgetAfter time.Duration, limit int) (*Spread, error) {
	waiting, err := simplelru.NewLRU[string, time.Time](limit, nil)
	if err != nil {
		return nil, fmt.Errorf("retry: remember %d users: %w", limit, err)
	}
	return &Spread{rate: math.Max(rate, minRate), minSeconds: minSeconds, maxSeconds: maxSeconds, forgetAfter: forgetAfter, waiting: waiting}, nil
}

// Refused records that a job was refused for now, and returns after how many seconds its user should try again.
func (s *Spread) Refused(now time.Time, id string) int {
	s.forget(now)
	s.waiting.Add(id, now)
	span := math.Min(float64(s.maxSeconds-s.minSeconds), float64(s.waiting.Len())/s.rate)
	// The fractional parts of multiples of the golden ratio fill the span evenly, however many there are.
	_, s.phase = math.Modf(s.phase + math.Phi)
	return s.minSeconds + int(math.Round(span*s.phase))
}

// forget drops the users who are assumed to have given up.
func (s *Spread) forget(now time.Time) {
	for {
		_, refusedAt, ok := s.waiting.GetOldest()
		if !ok || now.Sub(refusedAt) < s.forgetAfter {
			return
		}
		s.waiting.RemoveOldest()
	}
}

// Taken forgets a job that was accepted, or refused for good.
func (s *Spread) Taken(id string) { s.waiting.Remove(id) }

// Waiting returns how many users are expected to try again.
func (s *Spread) Waiting() int { return s.waiting.Len() }
