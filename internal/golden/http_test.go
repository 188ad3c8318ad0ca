package golden_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/connlimit"
	"switchferry/controller"
	"switchferry/features"
	"switchferry/httpapi"
	"switchferry/internal/compress"
	"switchferry/internal/fake"
	"switchferry/peer"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/topology"
)

// Addresses of the services in the controller's settings file.
const (
	cloudHost = "127.0.0.1:9001"
	stateHost = "127.0.0.1:9002"
)

// termPattern matches the leader's fencing token in an answer. Its value depends on the number of earlier writes to the
// state service.
var termPattern = regexp.MustCompile(`"helm":[1-9][0-9]*`)

// cloudReachableAfter is how long after the controller's start the cloud becomes reachable. The controller leads by
// then, so that the order of both events is the same in each run.
const cloudReachableAfter = 2 * time.Second

// serviceTransport is the transport of a controller's requests to the state service and the cloud. No other host is
// reachable.
type serviceTransport struct {
	state, cloud http.RoundTripper
	// cloudReachableAt is when the cloud becomes reachable.
	cloudReachableAt time.Time
}

// RoundTrip forwards a request to the service at its host.
func (s serviceTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	switch r.URL.Host {
	case stateHost:
		return s.state.RoundTrip(r)
	case cloudHost:
		if !time.Now().Before(s.cloudReachableAt) {
			return s.cloud.RoundTrip(r)
		}
	}
	return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
}

// idleListener is a listener for controllers to which no controller connects.
type idleListener chan struct{}

// Accept waits until the port is closed.
func (listener idleListener) Accept() (net.Conn, error) { <-listener; return nil, net.ErrClosed }

// Close does nothing. The creator of the listener closes the channel.
func (listener idleListener) Close() error { return nil }

// Addr returns a placeholder that no code reads.
func (listener idleListener) Addr() net.Addr { return &net.TCPAddr{} }

// verbRecorder records the verb and the job of the last request to a controller.
type verbRecorder struct {
	httpapi.Controller
	last string
}

// Handle records the request and passes it to the controller.
func (r *verbRecorder) Handle(ctx context.Context, request peer.Request, forwarded bool) peer.Response {
	r.last = strings.TrimSpace(request.Verb + " " + request.Job)
	return r.Controller.Handle(ctx, request, forwarded)
}

// startController runs a controller with all features enabled against fakes, until stop is called.
func startController(t *testing.T) (node *controller.Controller, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	clock := clockwork.NewRealClock()
	controllerSettings, err := settings.Parse(golden(t, "http/controller.toml"))
	if err != nil {
		t.Fatal(err)
	}
	featureSettings, err := features.Load("testdata/http/features.toml")
	if err != nil {
		t.Fatal(err)
	}
	topologyFile, err := topology.Open(featureSettings.Topology.File)
	if err != nil {
		t.Fatal(err)
	}
	var types []api.MachineType
	decode(t, golden(t, "http/catalog.json"), &types)
	cloud := fake.NewCloud(clock, types, 20)
	cloud.Add("m8", "a", false)
	node = controller.New(ctx, controllerSettings, policy.Default(), clock, serviceTransport{fake.NewState(clock), cloud, time.Now().Add(cloudReachableAfter)})
	node.Enable(featureSettings)
	node.UseTopologyFile(topologyFile)
	listener, done := make(idleListener), make(chan struct{})
	go func() { node.Run(listener); close(done) }()
	return node, func() {
		cancel()
		close(listener)
		<-done
		time.Sleep(time.Minute)
	}
}

// createSharedEncoders creates the encoders that the whole process shares. An encoder that is created in a synctest
// bubble could not be used outside it.
func createSharedEncoders(t *testing.T) {
	t.Helper()
	for _, encode := range []func(any) (string, error){compress.EncodeFast, compress.EncodeSmall} {
		if _, err := encode(nil); err != nil {
			t.Fatal(err)
		}
	}
}

// sendRequest sends a request to a handler and returns the request, its verb between controllers and the answer as
// text.
func sendRequest(handler http.Handler, recorder *verbRecorder, method, path, body string) string {
	recorder.last = ""
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body)))
	var out strings.Builder
	fmt.Fprintf(&out, "%s %s %s\n", method, path, body)
	if recorder.last != "" {
		fmt.Fprintf(&out, "  verb %s\n", recorder.last)
	}
	fmt.Fprintf(&out, "  %d", w.Code)
	for _, name := range []string{"Content-Type", "Retry-After"} {
		if value := w.Header().Get(name); value != "" {
			fmt.Fprintf(&out, " %s: %s", name, value)
		}
	}
	answer := termPattern.ReplaceAllString(strings.TrimSpace(w.Body.String()), `"helm":TERM`)
	fmt.Fprintf(&out, "\n  %s\n", answer)
	return out.String()
}

// A controller that leads gives the same answers to requests on all paths as the version in production.
func TestLeaderAnswersMatchGolden(t *testing.T) {
	createSharedEncoders(t)
	synctest.Test(t, func(t *testing.T) {
		node, stop := startController(t)
		defer stop()
		recorder := &verbRecorder{Controller: node}
		handler := httpapi.New(recorder, connlimit.NewLimiter(0))
		var transcript bytes.Buffer
		for line := range strings.Lines(string(golden(t, "http/requests.txt"))) {
			line = strings.TrimSuffix(line, "\n")
			verb, rest, _ := strings.Cut(line, " ")
			switch verb {
			case "#":
				fmt.Fprintln(&transcript, line)
			case "wait":
				pause, err := time.ParseDuration(rest)
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(pause)
			default:
				path, body, _ := strings.Cut(rest, " ")
				transcript.WriteString(sendRequest(handler, recorder, verb, path, body))
			}
		}
		compare(t, "http/answers.txt", transcript.Bytes())
	})
}
