package fake

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
)

// Guards against a worker that notices the end of its lease only with its next heartbeat: its tasks then ran for up to
// 4 s longer than the protocol allows, and rules on the end of cancelled tasks seemed broken.
func TestWorkerEndsTasksWithItsLease(t *testing.T) {
	const lease = 10 * time.Second
	for _, test := range []struct {
		name string
		// interval is the time between heartbeats.
		interval time.Duration
		// respond answers the heartbeats after the first one, which renews the lease.
		respond func(ctx context.Context) (status int, body any)
		// suspendAt and suspendFor are when the machine hangs, and for how long.
		suspendAt, suspendFor time.Duration
	}{
		{name: "no response", interval: time.Second, respond: noResponse},
		{name: "responses without a token, long interval", interval: 7 * time.Second, respond: func(context.Context) (int, any) { return http.StatusOK, api.HeartbeatResponse{} }},
		{name: "refused", interval: 3 * time.Second, respond: func(context.Context) (int, any) { return http.StatusServiceUnavailable, nil }},
		{name: "no response, machine hangs and continues", interval: time.Second, respond: noResponse, suspendAt: 3 * time.Second, suspendFor: 5 * time.Second},
		{name: "no response, machine hangs beyond the lease", interval: time.Second, respond: noResponse, suspendAt: 3 * time.Second, suspendFor: 20 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var endedAfter, renewedAfter time.Duration
				worker := NewWorker(WorkerOptions{Host: Host{Name: "a1"}, Clock: clockwork.NewRealClock(), Controllers: []string{"n0", "n1"}, HeartbeatInterval: test.interval, Lease: lease,
					TaskDuration: func(string) time.Duration { return time.Hour },
					OnEnd:        func(string, bool) { endedAfter = time.Since(start) },
					Post: func(ctx context.Context, _ string, heartbeat *api.Heartbeat) (int, any) {
						if heartbeat.Seq > 1 {
							return test.respond(ctx)
						}
						renewedAfter = time.Since(start)
						return http.StatusOK, api.HeartbeatResponse{Term: 3, Commands: []api.Command{command(api.CommandRun, 1)}}
					}})
				go worker.Run(t.Context())
				if test.suspendFor > 0 {
					time.Sleep(test.suspendAt)
					worker.Suspend(true)
					time.Sleep(test.suspendFor)
					worker.Suspend(false)
				}
				time.Sleep(3 * lease)
				synctest.Wait()
				if want := renewedAfter + lease; endedAfter < want || endedAfter > want+time.Millisecond {
					t.Errorf("the task ended %v after the start of the worker, want %v, when its lease expired", endedAfter, want)
				}
			})
		})
	}
}

// The timer of the lease ends with Run, also if the worker restarts afterwards, as that of a returned machine does.
func TestLeaseTimerEndsWithRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expired := 0
		worker := NewWorker(WorkerOptions{Host: Host{Name: "a1"}, Clock: clockwork.NewRealClock(), Controllers: []string{"n0"}, HeartbeatInterval: time.Second, Lease: 10 * time.Second,
			TaskDuration: func(string) time.Duration { return time.Hour }, OnEnd: func(string, bool) { expired++ }, Post: func(ctx context.Context, _ string, _ *api.Heartbeat) (int, any) { return noResponse(ctx) }})
		ctx, stop := context.WithCancel(t.Context())
		go worker.Run(ctx)
		synctest.Wait()
		stop()
		synctest.Wait()
		worker.Restart()
		if _, executed := worker.ExecuteCommands(api.HeartbeatResponse{Term: 3, Incarnation: 2, Commands: []api.Command{command(api.CommandRun, 1)}}); !executed {
			t.Fatal("the worker rejected the start")
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if expired != 0 {
			t.Error("a worker that does not run has ended a task by a timer")
		}
	})
}

// noResponse waits until the worker gives up.
func noResponse(ctx context.Context) (status int, body any) {
	<-ctx.Done()
	return 0, nil
}
