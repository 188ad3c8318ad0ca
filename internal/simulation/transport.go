package simulation

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"switchferry/api"
)

// controllerTransport carries a controller's calls. A transaction may be executed late, also when the process that
// sent it has died.
type controllerTransport struct {
	sim        *simulation
	from, name string

	mu  sync.Mutex
	rng *rand.Rand
}

// stateTransport is the state service as controllers reach it.
func (sim *simulation) stateTransport() http.RoundTripper {
	if sim.operators != nil {
		return startRecorder{sim.operators}
	}
	return sim.state
}

// RoundTrip carries one call. A process that stands still neither sends nor learns anything meanwhile.
func (t *controllerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.sim.waitWhilePaused(t.name)
	defer t.sim.waitWhilePaused(t.name)
	return t.send(request)
}

func (t *controllerTransport) send(request *http.Request) (*http.Response, error) {
	host, via := t.target(request)
	if via == nil {
		return t.awaitTimeout(request)
	}
	if cut, _ := t.sim.partitions.isCut(t.from, host); cut {
		return t.unreachable(request, via)
	}
	if resp, err, refused := t.stateRefusal(request, host); refused {
		return resp, err
	}
	if before, after, held := t.delays(request, host, via); held {
		return t.sendDelayed(request, via, before, after)
	}
	resp, err := via.RoundTrip(request)
	if cut, _ := t.sim.partitions.isCut(host, t.from); cut {
		return t.awaitTimeout(request)
	}
	return resp, err
}

// target is who is called, by its name on the network; nil: nobody is there.
func (t *controllerTransport) target(request *http.Request) (host string, via http.RoundTripper) {
	host, _, _ = strings.Cut(request.URL.Host, ":")
	switch host {
	case "state":
		return host, t.sim.stateTransport()
	case "cloud":
		return host, t.sim.cloud
	}
	t.sim.mu.Lock()
	defer t.sim.mu.Unlock()
	machine := t.sim.machines[request.URL.Host]
	if machine == nil || machine.dead {
		return host, nil
	}
	return machine.Name, workerEndpoint{t.sim, machine}
}

// awaitTimeout is a call that gets no answer.
func (t *controllerTransport) awaitTimeout(request *http.Request) (*http.Response, error) {
	<-request.Context().Done()
	return nil, request.Context().Err()
}

// unreachable is a call over a way that is cut: there is no connection, or no answer.
func (t *controllerTransport) unreachable(request *http.Request, via http.RoundTripper) (*http.Response, error) {
	if d, ok := via.(workerEndpoint); ok {
		var response api.HeartbeatResponse
		if json.NewDecoder(request.Body).Decode(&response) == nil {
			t.sim.checker.recordLostCommands(d.machine, response.Commands)
		}
	}
	if t.chance(2) {
		// There was no connection yet.
		t.sim.sleep(request.Context(), dialTimeout)
		return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	}
	return t.awaitTimeout(request)
}

// chance is true once in so many times.
func (t *controllerTransport) chance(in int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.IntN(in) == 0
}

// randomBelow is a random time below that.
func (t *controllerTransport) randomBelow(duration time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.rng.Int64N(int64(duration)))
}

// recordRefusal is what the state service answers while it refuses this controller.
func (t *controllerTransport) stateRefusal(request *http.Request, host string) (resp *http.Response, err error, refused bool) {
	if host != "state" {
		return nil, nil, false
	}
	t.sim.mu.Lock()
	how := t.sim.stateRefusals[t.from]
	t.sim.mu.Unlock()
	switch how {
	case refusalUnanswered:
		resp, err = t.awaitTimeout(request)
		return resp, err, true
	case refusalUnavailable:
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("{}"))}, nil, true
	}
	return nil, nil, false
}

// delays tells whether a call is held up, and for how long before and after it is carried out.
func (t *controllerTransport) delays(request *http.Request, host string, via http.RoundTripper) (before, after time.Duration, held bool) {
	t.sim.mu.Lock()
	lateWrites, heldCommands := t.sim.lateWriteFaults > 0, t.sim.delayedCommandFaults > 0
	slow := host == "state" && (t.sim.slowStateFaults[""] > 0 || t.sim.slowStateFaults[t.from] > 0)
	hung := false
	if d, ok := via.(workerEndpoint); ok {
		hung = d.machine.hangCount > 0
	}
	t.sim.mu.Unlock()
	if request.URL.Path == "/multi" {
		late, wait := t.chance(200), t.randomBelow(maxRegularWriteDelay)
		if lateWrites {
			late, wait = t.chance(5), 2*time.Second+t.randomBelow(10*time.Second)
		}
		if late {
			return wait, 0, true
		}
	}
	if slow {
		wait := t.randomBelow(maxSlowDelay)
		if t.chance(2) {
			return 0, wait, true
		}
		return wait, 0, true
	}
	if _, ok := via.(workerEndpoint); !ok {
		return 0, 0, false
	}
	if hung {
		return 0, 0, true
	}
	if heldCommands {
		switch wait := t.randomBelow(8 * time.Second); {
		case t.chance(6):
			return wait, 0, true
		case t.chance(5):
			return 0, wait, true
		}
	}
	return 0, 0, false
}

// How the state service refuses a controller.
const (
	refusalUnavailable = "503"
	refusalUnanswered  = "hang"
)

// maxRegularWriteDelay is how late a transaction is executed at most while no trouble is on; latest, ever.
const (
	maxRegularWriteDelay = 4 * time.Second
	maxWriteDelay        = 12 * time.Second
)

// sendDelayed carries a call out after a while, whoever still waits for it, and lets its answer go after another.
func (t *controllerTransport) sendDelayed(request *http.Request, via http.RoundTripper, before, after time.Duration) (*http.Response, error) {
	var body []byte
	if request.Body != nil {
		var err error
		if body, err = io.ReadAll(request.Body); err != nil {
			return nil, err
		}
	}
	type outcome struct {
		resp *http.Response
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		time.Sleep(before)
		again := request.Clone(context.Background())
		again.Body = io.NopCloser(bytes.NewReader(body))
		resp, err := via.RoundTrip(again)
		time.Sleep(after)
		done <- outcome{resp, err}
	}()
	select {
	case o := <-done:
		return o.resp, o.err
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
}

// workerEndpoint serves a worker's own port.
type workerEndpoint struct {
	sim     *simulation
	machine *simulatedMachine
}

// RoundTrip serves one command.
func (endpoint workerEndpoint) RoundTrip(request *http.Request) (*http.Response, error) {
	var response api.HeartbeatResponse
	if err := json.NewDecoder(request.Body).Decode(&response); err != nil {
		return nil, err
	}
	heartbeat, ok := endpoint.machine.worker.Direct(response)
	raw, err := json.Marshal(heartbeat)
	code := http.StatusOK
	if !ok {
		code = http.StatusConflict
	}
	return &http.Response{StatusCode: code, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(raw))}, err
}
