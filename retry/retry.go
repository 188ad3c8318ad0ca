// Package retry decides when users who were refused come back. It knows how many wait and
// how fast they can be taken, not why they were refused; it has no clock.
//
// Told all the same, they come back together: at the end of an outage more at once than can
// be stored, and most are refused again. So each is told a time of its own, spread over as long
// as it takes to store all that wait.
package retry

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Spread is what one controller knows of those it refused. It is not safe for use from several
// goroutines at once.
type Spread struct {
	rate                   float64
	minSeconds, maxSeconds int
	forgetAfter            time.Duration
	waiting                *simplelru.LRU[string, time.Time]
	phase                  float64
}

// New makes a spread for a controller that can take so many submissions a second. Answers lie
// between least and most, in whole seconds; whoever has not come back after keep has given up;
// at most limit are remembered.
func New(rate float64, minSeconds, most int, forgetAfter time.Duration, limit int) (*Spread, error) {
	waiting, err := simplelru.NewLRU[string, time.Time](limit, nil)
	return &Spread{rate: math.Max(rate, 1e-3), minSeconds: minSeconds, maxSeconds: most, forgetAfter: forgetAfter, waiting: waiting}, err
}

// Refused is after how many seconds the user of a job that cannot be taken now shall come back.
func (s *Spread) Refused(now time.Time, id string) int {
	for {
		_, at, ok := s.waiting.GetOldest()
		if !ok || now.Sub(at) < s.forgetAfter {
			break
		}
		s.waiting.RemoveOldest()
	}
	s.waiting.Add(id, now)
	span := math.Min(float64(s.maxSeconds-s.minSeconds), float64(s.waiting.Len())/s.rate)
	// Multiples of the golden ratio fill the span evenly, whatever their number.
	_, s.phase = math.Modf(s.phase + math.Phi)
	return s.minSeconds + int(math.Round(span*s.phase))
}

// Taken forgets a job that was taken, or refused for good.
func (s *Spread) Taken(id string) { s.waiting.Remove(id) }

// Waiting is how many are to come back.
func (s *Spread) Waiting() int { return s.waiting.Len() }
