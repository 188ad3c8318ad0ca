package lookup

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// Users request the status of 1,000 jobs every 5 s, far more than the limiter allows. When requests were served in
// order of arrival, some jobs went unanswered for minutes. With the longest unanswered job first, each job must be
// answered within about the time that one read for every job takes, and the limit must be used up but not exceeded.
func TestFairQueueServesEveryJobUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs, perSecond = 1000, 20
		clock := clockwork.NewRealClock()
		queue := NewFairQueue(clock, rate.NewLimiter(perSecond, perSecond))
		rng := rand.New(rand.NewPCG(1, 1))
		began := time.Now()
		var mu sync.Mutex
		longest, answered := time.Duration(0), 0
		var users sync.WaitGroup
		for i := range jobs {
			id := fmt.Sprintf("run-%06d", i)
			firstRequest := time.Duration(rng.IntN(5000)) * time.Millisecond
			users.Go(func() {
				time.Sleep(firstRequest)
				lastAnswer := time.Now()
				for time.Since(began) < 3*time.Minute {
					ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
					if queue.Acquire(ctx, id) {
						queue.Answered(id)
						mu.Lock()
						answered++
						longest = max(longest, time.Since(lastAnswer))
						mu.Unlock()
						lastAnswer = time.Now()
					}
					cancel()
					time.Sleep(5 * time.Second)
				}
				mu.Lock()
				longest = max(longest, time.Since(lastAnswer)-10*time.Second)
				mu.Unlock()
			})
		}
		users.Wait()
		if allowed := int(perSecond * (time.Since(began).Seconds() + 1)); answered > allowed || answered < allowed*9/10 {
			t.Errorf("%d answers, want between 90%% and 100%% of the %d that the limit allows", answered, allowed)
		}
		if longest > 70*time.Second {
			t.Errorf("a job went unanswered for %v; one read for every job takes 50 s", longest)
		}
	})
}
