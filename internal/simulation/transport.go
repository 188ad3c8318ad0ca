package simulation

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"switchferry/api"
)

// controllerTransport carries the HTTP requests of one controller to the state service, the cloud and the workers, and
// delays, loses or refuses them as the active faults say. A transaction may be executed late, even if the process that
// sent it has ended.
type controllerTransport struct {
	sim  *simulation
	from string

	// mu guards rng.
	mu  sync.Mutex
	rng *rand.Rand
}

// stateTransport is the state service as controllers reach it, with the operators' recorder before it if there are
// operators.
func (sim *simulation) stateTransport() http.RoundTripper {
	if sim.operators != nil {
		return startRecorder{sim.operators}
	}
	return sim.state
}

// RoundTrip carries one request. A paused process neither sends nor learns anything until it continues.
func (t *controllerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.sim.waitWhilePaused(t.from)
	defer t.sim.waitWhilePaused(t.from)
	return t.send(request)
}

// send carries a request as the cuts of the network and the active faults allow.
func (t *controllerTransport) send(request *http.Request) (*http.Response, error) {
	host, via := t.target(request)
	if via == nil {
		return t.awaitTimeout(request)
	}
	if cut, _ := t.sim.partitions.isCut(t.from, host); cut {
		return t.unreachable(request, via)
	}
	if resp, refused, err := t.stateRefusal(request, host); refused {
		return resp, err
	}
	if delay, delayed := t.delay(request, host, via); delayed {
		return t.sendDelayed(request, via, delay)
	}
	resp, err := via.RoundTrip(request)
	if cut, _ := t.sim.partitions.isCut(host, t.from); cut {
		return t.awaitTimeout(request)
	}
	return resp, err
}

// target is the host that a request goes to, by its name on the network, and who serves it there; via is nil if nobody
// does.
func (t *controllerTransport) target(request *http.Request) (host string, via http.RoundTripper) {
	host, _, _ = strings.Cut(request.URL.Host, ":")
	switch host {
	case stateHost:
		return host, t.sim.stateTransport()
	case cloudHost:
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

// awaitTimeout waits for the end of a request that gets no answer.
func (t *controllerTransport) awaitTimeout(request *http.Request) (*http.Response, error) {
	<-request.Context().Done()
	return nil, request.Context().Err()
}

// unreachable fails a request over a link that is cut: half of them while connecting, the others by timeout.
func (t *controllerTransport) unreachable(request *http.Request, via http.RoundTripper) (*http.Response, error) {
	if endpoint, ok := via.(workerEndpoint); ok {
		var response api.HeartbeatResponse
		if json.NewDecoder(request.Body).Decode(&response) == nil {
			t.sim.checker.recordLostCommands(endpoint.machine, response.Commands)
		}
	}
	if t.chance(2) {
		// There was no connection yet.
		t.sim.sleep(request.Context(), dialTimeout)
		return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	}
	return t.awaitTimeout(request)
}

// chance is true once in so many draws, on average.
func (t *controllerTransport) chance(in int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.IntN(in) == 0
}

// randomBelow draws a duration from zero to below the given one.
func (t *controllerTransport) randomBelow(duration time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.rng.Int64N(int64(duration)))
}

// stateRefusal is the answer of the state service while it refuses this controller; refused is false while it does not.
func (t *controllerTransport) stateRefusal(request *http.Request, host string) (resp *http.Response, refused bool, err error) {
	if host != stateHost {
		return nil, false, nil
	}
	t.sim.mu.Lock()
	how := t.sim.stateRefusals[t.from]
	t.sim.mu.Unlock()
	switch how {
	case refusalUnanswered:
		resp, err = t.awaitTimeout(request)
		return resp, true, err
	case refusalUnavailable:
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("{}"))}, true, nil
	}
	return nil, false, nil
}

// requestDelay is how long a request waits before it is carried out, and its answer afterwards.
type requestDelay struct {
	before, after time.Duration
}

// delay draws whether a request is delayed, and by how much. A delayed request is carried out even if its caller has
// given up.
func (t *controllerTransport) delay(request *http.Request, host string, via http.RoundTripper) (delay requestDelay, delayed bool) {
	endpoint, toWorker := via.(workerEndpoint)
	t.sim.mu.Lock()
	lateWrites, delayedCommands, slowHeartbeats := t.sim.lateWriteFaults > 0, t.sim.delayedCommandFaults > 0, t.sim.slowHeartbeatFaults > 0
	slow := host == stateHost && (t.sim.slowStateFaults[""] > 0 || t.sim.slowStateFaults[t.from] > 0)
	hung := toWorker && endpoint.machine.hangCount > 0
	t.sim.mu.Unlock()
	if request.URL.Path == transactionPath {
		if wait, late := t.writeDelay(lateWrites); late {
			return requestDelay{before: wait}, true
		}
	}
	switch {
	case slow:
		wait := t.randomBelow(maxSlowDelay)
		if t.chance(2) {
			return requestDelay{after: wait}, true
		}
		return requestDelay{before: wait}, true
	case hung:
		return requestDelay{}, true
	case toWorker && delayedCommands:
		return t.commandDelay()
	case toWorker && slowHeartbeats:
		return requestDelay{before: t.randomBelow(maxQuickCommandDelay)}, true
	}
	return requestDelay{}, false
}

// writeDelay draws whether and how long a transaction is delayed: one in 200, or, while a LateWrites fault is active,
// one in five and for longer.
func (t *controllerTransport) writeDelay(lateWrites bool) (wait time.Duration, late bool) {
	late, wait = t.chance(200), t.randomBelow(maxRegularWriteDelay)
	if lateWrites {
		late, wait = t.chance(5), minLateWriteDelay+t.randomBelow(maxWriteDelay-minLateWriteDelay)
	}
	return wait, late
}

// commandDelay draws a delay of a command to a worker while a DelayedCommands fault is active.
func (t *controllerTransport) commandDelay() (delay requestDelay, delayed bool) {
	wait := t.randomBelow(maxCommandDelay)
	if t.chance(6) {
		return requestDelay{before: wait}, true
	}
	if t.chance(5) {
		return requestDelay{after: wait}, true
	}
	return requestDelay{}, false
}

// Names of the simulated services on the network, and the path of transactions at the state service.
const (
	stateHost       = "state"
	cloudHost       = "cloud"
	transactionPath = "/multi"
)

// How the state service refuses a controller.
const (
	refusalUnavailable = "503"
	refusalUnanswered  = "hang"
)

// Bounds of delays.
const (
	// maxRegularWriteDelay bounds the delay of a transaction while no fault is active.
	maxRegularWriteDelay = 4 * time.Second
	// minLateWriteDelay and maxWriteDelay bound it during a LateWrites fault.
	minLateWriteDelay = 2 * time.Second
	maxWriteDelay     = 12 * time.Second
	// maxCommandDelay bounds the delay of commands to workers during a DelayedCommands fault.
	maxCommandDelay = 8 * time.Second
)

// sendDelayed carries a request out after a delay, whether or not its caller still waits, and delays the answer.
func (t *controllerTransport) sendDelayed(request *http.Request, via http.RoundTripper, delay requestDelay) (*http.Response, error) {
	var body []byte
	if request.Body != nil {
		var err error
		if body, err = io.ReadAll(request.Body); err != nil {
			return nil, fmt.Errorf("reading the body of a request to %s: %w", request.URL.Host, err)
		}
	}
	type outcome struct {
		resp *http.Response
		err  error
	}
	done := make(chan outcome, 1)
	// The request outlives its caller; Run waits for the longest delay at its end.
	go func() { //nolint:contextcheck // A delayed request is executed even if its caller has given up.
		time.Sleep(delay.before)
		again := request.Clone(context.WithoutCancel(request.Context()))
		again.Body = io.NopCloser(bytes.NewReader(body))
		resp, err := via.RoundTrip(again) //nolint:bodyclose // The caller closes it, as any answer of a transport.
		time.Sleep(delay.after)
		done <- outcome{resp, err}
	}()
	select {
	case o := <-done:
		return o.resp, o.err
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
}

// workerEndpoint serves the commands that controllers send to a worker's own port.
type workerEndpoint struct {
	sim     *simulation
	machine *simulatedMachine
}

// RoundTrip executes the commands of one request. A worker that does not take them answers 409.
func (endpoint workerEndpoint) RoundTrip(request *http.Request) (*http.Response, error) {
	var response api.HeartbeatResponse
	if err := json.NewDecoder(request.Body).Decode(&response); err != nil {
		return nil, fmt.Errorf("decoding commands for %s: %w", endpoint.machine.Name, err)
	}
	heartbeat, ok := endpoint.machine.worker.Direct(response)
	raw, err := json.Marshal(heartbeat)
	if err != nil {
		return nil, fmt.Errorf("encoding the heartbeat of %s: %w", endpoint.machine.Name, err)
	}
	code := http.StatusOK
	if !ok {
		code = http.StatusConflict
	}
	return &http.Response{StatusCode: code, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(raw))}, nil
}
