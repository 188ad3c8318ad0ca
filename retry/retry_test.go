package retry

import (
	"fmt"
	"testing"
	"time"
)

// simulateOutage plays an outage of 20 s in which so many users are refused, and then what can be
// stored, rate a second; the others are refused again. It gives how many tries were in vain
// simulateOutage the outage, and when the last was taken.
func simulateOutage(t *testing.T, users int, rate float64, spread bool) (vain int, last time.Duration) {
	s, err := New(rate, 1, 30, 60*time.Second, 100_000)
	if err != nil {
		t.Fatal(err)
	}
	due := map[int]int{} // user by the tenth of a second of the next try
	for u := range users {
		due[u] = u * 200 / users
	}
	begin := time.Unix(0, 0)
	room := 0.0
	for tick := 0; len(due) > 0 && tick < 3000; tick++ {
		now := begin.Add(time.Duration(tick) * 100 * time.Millisecond)
		room = min(rate, room+rate/10)
		for u := range users {
			if at, ok := due[u]; !ok || at > tick {
				continue
			}
			id := fmt.Sprint(u)
			if tick >= 200 && room >= 1 {
				room--
				s.Taken(id)
				delete(due, u)
				last = now.Sub(begin) - 20*time.Second
				continue
			}
			if tick >= 200 {
				vain++
			}
			wait := 1
			if spread {
				wait = s.Refused(now, id)
			}
			due[u] = tick + 10*wait
		}
	}
	if len(due) > 0 || s.Waiting() != 0 {
		t.Fatalf("%d never taken, %d remembered", len(due), s.Waiting())
	}
	return vain, last
}

// Spread out, users who were refused come back as they can be taken: few tries are in vain, and
// all are taken about as soon.
func TestRetriesAreSpread(t *testing.T) {
	for _, users := range []int{50, 500, 2000} {
		plain, first := simulateOutage(t, users, 80, false)
		spread, then := simulateOutage(t, users, 80, true)
		t.Logf("%d users, 80 a second: told 1 s %d tries in vain, last after %v; spread %d, last after %v", users, plain, first, spread, then)
		if spread > plain/2+5 || then > 2*first+2*time.Second {
			t.Errorf("%d users: %d tries in vain and %v, %d and %v without", users, spread, then, plain, first)
		}
	}
}

// Few who wait are told the least; never more than what users heed.
func TestDelayStaysWithinBounds(t *testing.T) {
	s, err := New(100, 1, 30, time.Minute, 1000)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(0, 0)
	if got := s.Refused(now, "a"); got != 1 {
		t.Errorf("alone: %d s", got)
	}
	most := 0
	for i := range 5000 {
		most = max(most, s.Refused(now, fmt.Sprint(i)))
	}
	if most > 30 || most < 9 || s.Waiting() != 1000 {
		t.Errorf("most %d s, %d remembered", most, s.Waiting())
	}
	if s.Refused(now.Add(2*time.Minute), "b"); s.Waiting() != 1 {
		t.Errorf("%d remembered after all gave up", s.Waiting())
	}
}
