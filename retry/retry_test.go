package retry

import (
	"fmt"
	"testing"
	"time"
)

// simulateOutage simulates an outage of 20 s in which the requests of all users are refused. After it, rate requests
// per second are stored and the others refused again. If spread is false, every refused user retries after 1 s. It
// returns how many requests were refused after the outage, and how long after its end the last request was stored.
func simulateOutage(t *testing.T, users int, rate float64, spread bool) (refused int, lastStored time.Duration) {
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
	nextTry := map[int]int{} // user to the tick of the user's next request
	for user := range users {
		nextTry[user] = user * outageTicks / users
	}
	start := time.Unix(0, 0)
	capacity := 0.0
	for tick := 0; len(nextTry) > 0 && tick < lastTick; tick++ {
		now := start.Add(time.Duration(tick) * time.Second / ticksPerSecond)
		capacity = min(rate, capacity+rate/ticksPerSecond)
		for user := range users {
			if nextTick, ok := nextTry[user]; !ok || nextTick > tick {
				continue
			}
			job := fmt.Sprint(user)
			if tick >= outageTicks && capacity >= 1 {
				capacity--
				delays.Remove(job)
				delete(nextTry, user)
				lastStored = now.Sub(start) - 20*time.Second
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
		t.Fatalf("%d users were never served, %d are still tracked", len(nextTry), delays.Waiting())
	}
	return refused, lastStored
}

// With spread delays, users retry at the rate at which they can be served: at most about half as many requests are
// refused as with a constant delay of 1 s, and the last request is stored at most about twice as late.
func TestRetriesAreSpread(t *testing.T) {
	for _, users := range []int{50, 500, 2000} {
		plain, plainLast := simulateOutage(t, users, 80, false)
		spread, spreadLast := simulateOutage(t, users, 80, true)
		t.Logf("%d users, 80 requests per second: %d refused and the last stored after %v with a delay of 1 s, %d and %v with spread delays", users, plain, plainLast, spread, spreadLast)
		if spread > plain/2+5 || spreadLast > 2*plainLast+2*time.Second {
			t.Errorf("%d users: %d refused and the last stored after %v with spread delays, %d and %v with a delay of 1 s", users, spread, spreadLast, plain, plainLast)
		}
	}
}

// A single user is given the minimum delay, and no user more than the maximum. No more users than the limit are
// tracked, and none who are assumed to have given up.
func TestDelaysAndTrackedUsersStayWithinBounds(t *testing.T) {
	delays, err := New(100, 1, 30, time.Minute, 1000)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(0, 0)
	if got := delays.Refused(now, "a"); got != 1 {
		t.Errorf("delay of a single user is %d s, want 1 s", got)
	}
	longest := 0
	for i := range 5000 {
		longest = max(longest, delays.Refused(now, fmt.Sprint(i)))
	}
	if longest > 30 || longest < 9 || delays.Waiting() != 1000 {
		t.Errorf("maximum delay %d s, %d users tracked; want 9 to 30 s, 1000 users", longest, delays.Waiting())
	}
	if delays.Refused(now.Add(2*time.Minute), "b"); delays.Waiting() != 1 {
		t.Errorf("%d users tracked after all but one gave up", delays.Waiting())
	}
}
