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

// 1,000 jobs are asked about every 5 s, far more than the limit of reads allows. In order of arrival, some were
// not answered for minutes. With the job that has waited longest first, each is answered within the time that
// all of them take, and the limit is used up but not exceeded.
func TestNobodyIsShutOutByAFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs, perSecond = 1000, 20
		clock := clockwork.NewRealClock()
		queue := NewFairQueue(clock, rate.NewLimiter(perSecond, perSecond))
		rng := rand.New(rand.NewPCG(1, 1))
		began := time.Now()
		var mu sync.Mutex
		longest, answered := time.Duration(0), 0
		var all sync.WaitGroup
		for i := range jobs {
			id := fmt.Sprintf("run-%06d", i)
			first := time.Duration(rng.IntN(5000)) * time.Millisecond
			all.Go(func() {
				time.Sleep(first)
				last := time.Now()
				for time.Since(began) < 3*time.Minute {
					ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
					if queue.Acquire(ctx, id) {
						queue.Answered(id)
						mu.Lock()
						answered++
						longest = max(longest, time.Since(last))
						mu.Unlock()
						last = time.Now()
					}
					cancel()
					time.Sleep(5 * time.Second)
				}
				mu.Lock()
				longest = max(longest, time.Since(last)-10*time.Second)
				mu.Unlock()
			})
		}
		all.Wait()
		if most := int(perSecond * (time.Since(began).Seconds() + 1)); answered > most || answered < most*9/10 {
			t.Errorf("%d answers, the limit allows %d", answered, most)
		}
		if longest > 70*time.Second {
			t.Errorf("a job went unanswered for %v; all take 50 s", longest)
		}
	})
}
