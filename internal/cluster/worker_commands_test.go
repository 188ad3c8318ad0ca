package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/internal/fake"
)

// sendAndGiveUp sends a command to a worker whose sender has given up by then, and reports whether it was answered.
func sendAndGiveUp(t *testing.T, worker *Worker, verb string) (answered bool) {
	t.Helper()
	body, err := json.Marshal(api.HeartbeatResponse{Term: 3, Incarnation: 1, Commands: []api.Command{{Verb: verb, Task: "run-000001/0", Attempt: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	defer func() {
		if reason := recover(); reason != nil {
			if err, ok := reason.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(reason)
			}
		}
	}()
	worker.serveCommand(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodPost, "/orders", bytes.NewReader(body)))
	return true
}

// Commands on an interrupted path get no answer, and are executed in order once the path is restored.
func TestHeldCommandsAreExecutedWhenThePathIsRestored(t *testing.T) {
	started := 0
	worker := &Worker{cluster: &Cluster{network: newNetwork()}, changed: make(chan struct{})}
	worker.Worker = fake.NewWorker(fake.WorkerOptions{Clock: clockwork.NewFakeClock(), HeartbeatInterval: time.Second, Lease: 10 * time.Second,
		TaskDuration: func(string) time.Duration { return time.Hour }, OnStart: func(string, uint64, time.Time) { started++ }, OnEnd: func(string, bool) {}})
	worker.HoldCommands(true)
	if sendAndGiveUp(t, worker, api.CommandRun) || sendAndGiveUp(t, worker, api.CommandKill) {
		t.Error("a held command was answered")
	}
	if started != 0 {
		t.Error("a held command was executed while the path was interrupted")
	}
	worker.HoldCommands(false)
	if heartbeat := worker.NextHeartbeat(); started != 1 || len(heartbeat.Tasks) != 1 || heartbeat.Tasks[0].Cause != api.CauseStopped {
		t.Errorf("%d starts, tasks %+v; want the task to be started and then stopped", started, heartbeat.Tasks)
	}
}
