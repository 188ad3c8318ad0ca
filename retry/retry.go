// Package retry computes Retry-After delays that spread out the retries of users whose requests were refused.
//
// If all users were given the same delay, they would retry at the same time. At the end of an outage those would be
// more requests than can be stored, and most would be refused again. Each user is therefore given a different delay,
// and the delays are spread evenly over the time that it takes to store the requests of all users who wait. The package
// knows how many users wait and how fast their requests can be stored, but not why they were refused. It has no clock.
package retry

import (
	"fmt"
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// minRate is the lowest rate that a Spread uses, in requests per second. New raises lower rates to it.
const minRate = 1e-3

// Spread computes the retry delays of one controller. It is not safe for concurrent use and must be created by New.
type Spread struct {
	// rate is the number of requests that can be stored per second.
	rate                   float64
	minSeconds, maxSeconds int
	expireAfter            time.Duration
	// refusedAt maps the ID of each refused job to the time when it was last refused, the earliest first.
	refusedAt *simplelru.LRU[string, time.Time]
	// phase is the position of the latest delay within the range of delays, from 0 to 1.
	phase float64
}

// New returns a Spread for a controller that can store rate requests per second. Delays are between minSeconds and
// maxSeconds. A user who has not retried within expireAfter is assumed to have given up. At most limit users are
// tracked; New returns an error if limit is below 1.
func New(rate float64, minSeconds, maxSeconds int, expireAfter time.Duration, limit int) (*Spread, error) {
	refusedAt, err := simplelru.NewLRU[string, time.Time](limit, nil)
	if err != nil {
		return nil, fmt.Errorf("retry: track %d users: %w", limit, err)
	}
	return &Spread{rate: math.Max(rate, minRate), minSeconds: minSeconds, maxSeconds: maxSeconds, expireAfter: expireAfter, refusedAt: refusedAt}, nil
}

// Refused records that a job was refused temporarily, and returns the number of seconds after which its user should
// retry.
func (s *Spread) Refused(now time.Time, id string) int {
	s.removeExpired(now)
	s.refusedAt.Add(id, now)
	span := math.Min(float64(s.maxSeconds-s.minSeconds), float64(s.refusedAt.Len())/s.rate)
	// The fractional parts of multiples of the golden ratio are evenly distributed, however many there are.
	_, s.phase = math.Modf(s.phase + math.Phi)
	return s.minSeconds + int(math.Round(span*s.phase))
}

// removeExpired removes the users who are assumed to have given up.
func (s *Spread) removeExpired(now time.Time) {
	for {
		_, refusedAt, ok := s.refusedAt.GetOldest()
		if !ok || now.Sub(refusedAt) < s.expireAfter {
			return
		}
		s.refusedAt.RemoveOldest()
	}
}

// Remove removes a job that was accepted or refused permanently.
func (s *Spread) Remove(id string) { s.refusedAt.Remove(id) }

// Waiting returns the number of users who are expected to retry.
func (s *Spread) Waiting() int { return s.refusedAt.Len() }
