package retry

import (
	"fmt"
	"testing"
	"time"
)

// simulateOutage simulates an outage of 20 s in which so many users are refused, after which rate requests a second are
// stored and the others refused again. Without spread, refused users are told to come back after 1 s. It returns how many
// requests were refused after the outage, and how long after it the last one was stored.
func simulateOutage(t *testing.T, users int, rate float64, spread bool) (refused int, last time.Duration) {
	t.Helper()
	const (
		ticksPerSecond = 10
		outageTicks    = 20 * ticksPerSecond
		lastTick       = 300 * ticksPerSecond
	)
	delays, err := New(rate, 1, 30, 60*time.Second, 100_000)
	if err != nil {
		t.Fatal(err)
	}
	nextTry := map[int]int{} // the tick of each user's next request
	for user := range users {
		nextTry[user] = user * outageTicks / users
	}
	start := time.Unix(0, 0)
	capacity := 0.0
	for tick := 0; len(nextTry) > 0 && tick < lastTick; tick++ {
		now := start.Add(time.Duration(tick) * time.Second / ticksPerSecond)
		capacity = min(rate, capacity+rate/ticksPerSecond)
		for user := range users {
			if at, ok := nextTry[user]; !ok || at > tick {
				continue
			}
			job := fmt.Sprint(user)
			if tick >= outageTicks && capacity >= 1 {
				capacity--
				delays.Taken(job)
				delete(nextTry, user)
				last = now.Sub(start) - 20*time.Second
				continue
			}
			if tick >= outageTicks {
				refused++
			}
			delay := 1
			if spread {
				delay = delays.Refused(now, job)
			}
			nextTry[user] = tick + ticksPerSecond*delay
		}
	}
	if len(nextTry) > 0 || delays.Waiting() != 0 {
		t.Fatalf("%d users were never served, %d are remembered", len(nextTry), delays.Waiting())
	}
	return refused, last
}

// With spread delays, users come back as they can be served: few requests are refused, and all are stored about as soon.
func TestRetriesAreSpread(t *testing.T) {
	for _, users := range []int{50, 500, 2000} {
		plain, plainLast := simulateOutage(t, users, 80, false)
		spread, spreadLast := simulateOutage(t, users, 80, true)
		t.Logf("%d users, 80 a second: with a delay of 1 s %d refused, last stored after %v; with spread delays %d, after %v", users, plain, plainLast, spread, spreadLast)
		if spread > plain/2+5 || spreadLast > 2*plainLast+2*time.Second {
			t.Errorf("%d users: %d refused and the last stored after %v, without spread %d and %v", users, spread, spreadLast, plain, plainLast)
		}
	}
}

// A single user is told the least delay, and none more than the greatest. At most the limit of users are remembered, and
// none after they are assumed to have given up.
func TestDelayStaysWithinBounds(t *testing.T) {
	delays, err := New(100, 1, 30, time.Minute, 1000)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(0, 0)
	if got := delays.Refused(now, "a"); got != 1 {
		t.Errorf("a single user is told %d s, want 1 s", got)
	}
	most := 0
	for i := range 5000 {
		most = max(most, delays.Refused(now, fmt.Sprint(i)))
	}
	if most > 30 || most < 9 || delays.Waiting() != 1000 {
		t.Errorf("greatest delay %d s, %d users remembered; want 9 to 30 s, 1000 users", most, delays.Waiting())
	}
	if delays.Refused(now.Add(2*time.Minute), "b"); delays.Waiting() != 1 {
		t.Errorf("%d users remembered after all but one gave up", delays.Waiting())
	}
}
