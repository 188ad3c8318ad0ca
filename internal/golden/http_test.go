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

// Hosts of the services that the controller's settings name.
const (
	cloudHost = "127.0.0.1:9001"
	stateHost = "127.0.0.1:9002"
)

// term is a leader's token in an answer. Which number it has hangs on what else was stored before.
var term = regexp.MustCompile(`"helm":[1-9][0-9]*`)

// cloudOpens is how long after the controller's start the cloud can be reached: after it leads, so that the order of the
// two is the same each time.
const cloudOpens = 2 * time.Second

// services carries a controller's calls to the state service and the cloud; nobody else can be reached.
type services struct {
	state, cloud http.RoundTripper
	// opens is from when on the cloud can be reached.
	opens time.Time
}

// RoundTrip carries a call.
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

// silentPort is a back port on which nobody calls.
type silentPort chan struct{}

// Accept waits until the port is closed.
func (p silentPort) Accept() (net.Conn, error) { <-p; return nil, net.ErrClosed }

// Close is done by whoever made the port.
func (p silentPort) Close() error { return nil }

// Addr is not looked at.
func (p silentPort) Addr() net.Addr { return &net.TCPAddr{} }

// recorder notes which verb a path has between controllers.
type recorder struct {
	httpapi.Controller
	last string
}

// Handle passes the request on.
func (r *recorder) Handle(ctx context.Context, request peer.Request, forwarded bool) peer.Response {
	r.last = strings.TrimSpace(request.Verb + " " + request.Job)
	return r.Controller.Handle(ctx, request, forwarded)
}

// startController runs a controller with all features on against stand-ins. It ends with stop.
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

// warmCompression makes the encoders that the whole process shares: one that was made in a bubble of synctest cannot be
// used outside.
func warmCompression(t *testing.T) {
	t.Helper()
	for _, text := range []func(any) (string, error){compress.EncodeFast, compress.EncodeSmall} {
		if _, err := text(nil); err != nil {
			t.Fatal(err)
		}
	}
}

// exchange sends one request and gives what the transcript says of it.
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

// Requests on every path are answered by a controller that leads as the version in production answers them.
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
