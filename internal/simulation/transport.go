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
// delays, drops or refuses them according to the active faults. A transaction may be executed late, even if the process
// that sent it has stopped.
type controllerTransport struct {
	sim  *simulation
	from string

	// mu guards rng.
	mu  sync.Mutex
	rng *rand.Rand
}

// stateTransport returns the transport to the state service, which records starts of tasks if there are operators.
func (sim *simulation) stateTransport() http.RoundTripper {
	if sim.operators != nil {
		return startRecorder{sim.operators}
	}
	return sim.state
}

// RoundTrip carries one request. While the process is paused, it neither sends the request nor receives the response.
func (t *controllerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.sim.waitWhilePaused(t.from)
	defer t.sim.waitWhilePaused(t.from)
	return t.send(request)
}

// send carries a request, subject to the links that are cut and the active faults.
func (t *controllerTransport) send(request *http.Request) (*http.Response, error) {
	host, transport := t.target(request)
	if transport == nil {
		return t.awaitTimeout(request)
	}
	if cut, _ := t.sim.partitions.isCut(t.from, host); cut {
		return t.failOverCutLink(request, transport)
	}
	if resp, refused, err := t.stateRefusal(request, host); refused {
		return resp, err
	}
	if host == cloudHost && t.cloudIsDown() {
		return unavailable(), nil
	}
	if healed := t.heldUntil(host); healed != nil {
		return t.sendDelayed(request, transport, requestDelay{healed: healed})
	}
	if delay, delayed := t.delay(request, host, transport); delayed {
		return t.sendDelayed(request, transport, delay)
	}
	resp, err := transport.RoundTrip(request)
	if cut, _ := t.sim.partitions.isCut(host, t.from); cut {
		return t.awaitTimeout(request)
	}
	return resp, err
}

// target returns the name of the host that a request is sent to, and the transport that serves it there; transport is
// nil if no running machine has the address.
func (t *controllerTransport) target(request *http.Request) (host string, transport http.RoundTripper) {
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

// awaitTimeout blocks until the context of a request that gets no response ends, and returns the context's error.
func (t *controllerTransport) awaitTimeout(request *http.Request) (*http.Response, error) {
	<-request.Context().Done()
	return nil, request.Context().Err()
}

// failOverCutLink fails a request over a cut link: half of the requests while connecting, the others when their context
// ends.
func (t *controllerTransport) failOverCutLink(request *http.Request, transport http.RoundTripper) (*http.Response, error) {
	if endpoint, ok := transport.(workerEndpoint); ok {
		var response api.HeartbeatResponse
		if json.NewDecoder(request.Body).Decode(&response) == nil {
			t.sim.checker.recordLostCommands(endpoint.machine, response.Commands)
		}
	}
	if t.oneIn(2) {
		// This request needs a new connection.
		t.sim.sleep(request.Context(), dialTimeout)
		return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	}
	return t.awaitTimeout(request)
}

// oneIn reports true with a probability of 1/n.
func (t *controllerTransport) oneIn(n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.IntN(n) == 0
}

// randomBelow draws a duration that is not negative and less than the given one.
func (t *controllerTransport) randomBelow(duration time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.rng.Int64N(int64(duration)))
}

// stateRefusal returns the response of the state service while it refuses this controller; refused is false if the
// request is not refused.
func (t *controllerTransport) stateRefusal(request *http.Request, host string) (resp *http.Response, refused bool, err error) {
	if host != stateHost {
		return nil, false, nil
	}
	t.sim.mu.Lock()
	mode := t.sim.stateRefusals[t.from]
	t.sim.mu.Unlock()
	switch mode {
	case refusalUnanswered:
		resp, err = t.awaitTimeout(request)
		return resp, true, err
	case refusalUnavailable:
		return unavailable(), true, nil
	}
	return nil, false, nil
}

// cloudIsDown reports whether a CloudOutage fault is active.
func (t *controllerTransport) cloudIsDown() bool {
	t.sim.mu.Lock()
	defer t.sim.mu.Unlock()
	return t.sim.cloudOutageFaults > 0
}

// unavailable returns the response of a service during an outage.
func unavailable() *http.Response {
	return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("{}"))}
}

// heldUntil returns a channel that is closed when a HeldCommands fault on the path to a host ends, nil without one.
func (t *controllerTransport) heldUntil(host string) chan struct{} {
	t.sim.mu.Lock()
	defer t.sim.mu.Unlock()
	return t.sim.heldPaths[[2]string{t.from, host}]
}

// requestDelay is the delay of a request: before it is executed, and between its execution and the response. If healed is
// not nil, the request is executed only after it is closed.
type requestDelay struct {
	before, after time.Duration
	healed        chan struct{}
}

// delay draws whether a request is delayed, and by how much. A delayed request is executed even if its caller has given
// up, also with a delay of zero.
func (t *controllerTransport) delay(request *http.Request, host string, transport http.RoundTripper) (delay requestDelay, delayed bool) {
	endpoint, toWorker := transport.(workerEndpoint)
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
		wait := t.randomBelow(maxSlowStateDelay)
		if t.oneIn(2) {
			return requestDelay{after: wait}, true
		}
		return requestDelay{before: wait}, true
	case hung:
		return requestDelay{}, true
	case toWorker && delayedCommands:
		return t.commandDelay()
	case toWorker && slowHeartbeats:
		return requestDelay{before: t.randomBelow(maxDirectCommandDelay)}, true
	}
	return requestDelay{}, false
}

// writeDelay draws whether a transaction is delayed, and by how much: one in 200, or one in five and for longer while a
// LateWrites fault is active.
func (t *controllerTransport) writeDelay(lateWrites bool) (wait time.Duration, late bool) {
	late, wait = t.oneIn(200), t.randomBelow(maxRegularWriteDelay)
	if lateWrites {
		late, wait = t.oneIn(5), minLateWriteDelay+t.randomBelow(maxWriteDelay-minLateWriteDelay)
	}
	return wait, late
}

// commandDelay draws whether a request with commands to a worker, or its response, is delayed while a DelayedCommands
// fault is active, and by how much.
func (t *controllerTransport) commandDelay() (delay requestDelay, delayed bool) {
	wait := t.randomBelow(maxDelayedCommandDelay)
	if t.oneIn(6) {
		return requestDelay{before: wait}, true
	}
	if t.oneIn(5) {
		return requestDelay{after: wait}, true
	}
	return requestDelay{}, false
}

// Addresses of the simulated services.
const (
	// stateHost is the host name of the state service.
	stateHost = "state"
	// cloudHost is the host name of the cloud.
	cloudHost = "cloud"
	// transactionPath is the URL path of transactions at the state service.
	transactionPath = "/multi"
)

// Ways in which the state service refuses the requests of a controller.
const (
	// refusalUnavailable means that it answers with status 503.
	refusalUnavailable = "503"
	// refusalUnanswered means that it does not answer.
	refusalUnanswered = "hang"
)

// Bounds of delays.
const (
	// maxRegularWriteDelay bounds the delay of a transaction while no fault is active.
	maxRegularWriteDelay = 4 * time.Second
	// minLateWriteDelay is the shortest delay of a delayed transaction during a LateWrites fault.
	minLateWriteDelay = 2 * time.Second
	// maxWriteDelay bounds the delay of a transaction during a LateWrites fault.
	maxWriteDelay = 12 * time.Second
	// maxDelayedCommandDelay bounds the delay of commands to workers, or of their responses, during a DelayedCommands
	// fault.
	maxDelayedCommandDelay = 8 * time.Second
	// minRepeatedCommandDelay and maxRepeatedCommandDelay bound the time after which a RepeatedCommands fault executes a
	// request once more.
	minRepeatedCommandDelay = 300 * time.Millisecond
	maxRepeatedCommandDelay = 90 * time.Second
)

// sendDelayed executes a request after a delay, whether or not its caller still waits, and delays the response.
func (t *controllerTransport) sendDelayed(request *http.Request, transport http.RoundTripper, delay requestDelay) (*http.Response, error) {
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
	// The request may outlive its caller; Run waits for the longest such delay at its end.
	go func() { //nolint:contextcheck // A delayed request is executed even if its caller has given up.
		time.Sleep(delay.before)
		if delay.healed != nil {
			<-delay.healed
		}
		again := request.Clone(context.WithoutCancel(request.Context()))
		again.Body = io.NopCloser(bytes.NewReader(body))
		resp, err := transport.RoundTrip(again) //nolint:bodyclose // The caller closes it, as any answer of a transport.
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

// RoundTrip executes the commands of one request. A worker that rejects them answers with status 409.
func (endpoint workerEndpoint) RoundTrip(request *http.Request) (*http.Response, error) {
	var response api.HeartbeatResponse
	if err := json.NewDecoder(request.Body).Decode(&response); err != nil {
		return nil, fmt.Errorf("decoding commands for %s: %w", endpoint.machine.Name, err)
	}
	heartbeat, ok := endpoint.machine.worker.ExecuteCommands(response)
	if ok {
		endpoint.sim.repeatCommands(endpoint.machine, response)
	}
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

// repeatCommands executes one request in three once more, after a random time, while a RepeatedCommands fault is active.
func (sim *simulation) repeatCommands(machine *simulatedMachine, response api.HeartbeatResponse) {
	sim.mu.Lock()
	repeat := sim.repeatedCommandFaults > 0 && sim.repeatRNG.IntN(3) == 0
	delay := minRepeatedCommandDelay + time.Duration(sim.repeatRNG.Int64N(int64(maxRepeatedCommandDelay-minRepeatedCommandDelay)))
	sim.mu.Unlock()
	if repeat {
		sim.actors.Go(func() {
			time.Sleep(delay)
			machine.worker.ExecuteCommands(response)
		})
	}
}
