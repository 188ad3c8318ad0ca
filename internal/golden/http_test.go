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

// term matches the leader's fencing token in an answer. Its value depends on the number of earlier writes to the state
// service.
var term = regexp.MustCompile(`"helm":[1-9][0-9]*`)

// cloudOpens is how long after the controller's start the cloud becomes reachable. The controller leads by then, so that the
// order of both events is the same in each run.
const cloudOpens = 2 * time.Second

// services is the transport of a controller's requests to the state service and the cloud. No other host is reachable.
type services struct {
	state, cloud http.RoundTripper
	// opens is when the cloud becomes reachable.
	opens time.Time
}

// RoundTrip forwards a request to the service at its host.
func (s services) RoundTrip(r *http.Request) (*http.Response, error) {
	switch r.URL.Host {
	case stateHost:
		return s.state.RoundTrip(r)
	case cloudHost:
		if !time.Now().Before(s.opens) {
			return s.cloud.RoundTrip(r)
		}
	}
	return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
}

// silentPort is a listener for controllers to which no controller connects.
type silentPort chan struct{}

// Accept waits until the port is closed.
func (p silentPort) Accept() (net.Conn, error) { <-p; return nil, net.ErrClosed }

// Close does nothing. The creator of the listener closes the channel.
func (p silentPort) Close() error { return nil }

// Addr returns a placeholder that no code reads.
func (p silentPort) Addr() net.Addr { return &net.TCPAddr{} }

// recorder records the verb and the job of the last request to a controller.
type recorder struct {
	httpapi.Controller
	last string
}

// Handle records the request and passes it to the controller.
func (r *recorder) Handle(ctx context.Context, request peer.Request, forwarded bool) peer.Response {
	r.last = strings.TrimSpace(request.Verb + " " + request.Job)
	return r.Controller.Handle(ctx, request, forwarded)
}

// startController runs a controller with all features enabled against fakes, until stop is called.
func startController(t *testing.T) (node *controller.Controller, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	clock := clockwork.NewRealClock()
	set, err := settings.Parse(golden(t, "http/controller.toml"))
	if err != nil {
		t.Fatal(err)
	}
	on, err := features.Load("testdata/http/features.toml")
	if err != nil {
		t.Fatal(err)
	}
	where, err := topology.Open(on.Topology.File)
	if err != nil {
		t.Fatal(err)
	}
	var types []api.MachineType
	decode(t, golden(t, "http/catalog.json"), &types)
	cloud := fake.NewCloud(clock, types, 20)
	cloud.Add("m8", "a", false)
	node = controller.New(ctx, set, policy.Default(), clock, services{fake.NewState(clock), cloud, time.Now().Add(cloudOpens)})
	node.Enable(on)
	node.UseTopologyFile(where)
	back, done := make(silentPort), make(chan struct{})
	go func() { node.Run(back); close(done) }()
	return node, func() {
		cancel()
		close(back)
		<-done
		time.Sleep(time.Minute)
	}
}

// warmCompression creates the encoders that the whole process shares. An encoder that is created in a synctest bubble could
// not be used outside it.
func warmCompression(t *testing.T) {
	t.Helper()
	for _, text := range []func(any) (string, error){compress.EncodeFast, compress.EncodeSmall} {
		if _, err := text(nil); err != nil {
			t.Fatal(err)
		}
	}
}

// exchange sends a request to a handler and returns the request, its verb between controllers and the answer as text.
func exchange(handler http.Handler, seen *recorder, method, path, body string) string {
	seen.last = ""
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body)))
	var out strings.Builder
	fmt.Fprintf(&out, "%s %s %s\n", method, path, body)
	if seen.last != "" {
		fmt.Fprintf(&out, "  verb %s\n", seen.last)
	}
	fmt.Fprintf(&out, "  %d", w.Code)
	for _, name := range []string{"Content-Type", "Retry-After"} {
		if value := w.Header().Get(name); value != "" {
			fmt.Fprintf(&out, " %s: %s", name, value)
		}
	}
	answer := term.ReplaceAllString(strings.TrimSpace(w.Body.String()), `"helm":TERM`)
	fmt.Fprintf(&out, "\n  %s\n", answer)
	return out.String()
}

// A controller that leads gives the same answers to requests on all paths as the version in production.
func TestAnswersStayOnTheWire(t *testing.T) {
	warmCompression(t)
	synctest.Test(t, func(t *testing.T) {
		node, stop := startController(t)
		defer stop()
		seen := &recorder{Controller: node}
		handler := httpapi.New(seen, connlimit.NewLimiter(0))
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
				transcript.WriteString(exchange(handler, seen, verb, path, body))
			}
		}
		compare(t, "http/answers.txt", transcript.Bytes())
	})
}
