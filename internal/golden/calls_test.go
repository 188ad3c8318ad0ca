package golden_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/cloud"
	"switchferry/store"
	"switchferry/worker"
)

// recordingTransport is a transport that records each request and returns a fixed response.
type recordingTransport struct {
	requests bytes.Buffer
	status   int
	body     string
}

// RoundTrip records the request and returns the response.
func (transport *recordingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	var body []byte
	if request.Body != nil {
		body, _ = io.ReadAll(request.Body)
	}
	fmt.Fprintf(&transport.requests, "%s %s %s\n", request.Method, request.URL, body)
	return &http.Response{StatusCode: transport.status, Body: io.NopCloser(strings.NewReader(transport.body)), Header: http.Header{}, Request: request}, nil
}

// call is a call to another service, with the service's response.
type call struct {
	name   string
	status int
	body   string
	// send makes the call over a transport and returns the decoded response.
	send func(ctx context.Context, transport http.RoundTripper) (result any, err error)
}

// outcomes are the errors that callers distinguish. An error that wraps another one of the list comes before it.
var outcomes = []struct {
	name string
	err  error
}{
	{"condition failed", store.ErrConflict},
	{"not found", store.ErrNotFound},
	{"no lease", store.ErrNoLease},
	{"too many requests", store.ErrRateLimited},
	{"busy", store.ErrBusy},
	{"refused", store.ErrInvalidRequest},
	{"too old", store.ErrCompacted},
	{"unknown", store.ErrOutcomeUnknown},
	{"no capacity", cloud.ErrNoCapacity},
	{"cloud in trouble", cloud.ErrOutage},
	{"not sent", worker.ErrNotSent},
}

// outcome returns the name of an error in outcomes, so that golden files do not depend on error texts.
func outcome(err error) string {
	if err == nil {
		return "none"
	}
	for _, o := range outcomes {
		if errors.Is(err, o.err) {
			return o.name
		}
	}
	return "another"
}

// compareCalls makes the calls and compares the requests and the decoded responses with a golden file.
func compareCalls(t *testing.T, file string, calls []call) {
	t.Helper()
	var transcript bytes.Buffer
	for _, c := range calls {
		recorder := &recordingTransport{status: c.status, body: c.body}
		result, err := c.send(t.Context(), recorder)
		fmt.Fprintf(&transcript, "# %s\n%s  %d %s\n  %s  error: %s\n", c.name, recorder.requests.String(), c.status, c.body, encode(t, result), outcome(err))
	}
	compare(t, file, transcript.Bytes())
}

// Requests to the state service, and how its responses are decoded, match the golden file.
func TestStateServiceCallsMatchGolden(t *testing.T) {
	client := func(transport http.RoundTripper) *store.Client { return store.NewClient("state:1", transport) }
	conditions, changes := []store.Condition{filled[store.Condition]()}, []store.Operation{filled[store.Operation]()}
	item := `{"k":"sf/j/run-000412","value":{"n":1},"stamp":7,"ticket":8}`
	transact := func(ctx context.Context, transport http.RoundTripper) (any, error) {
		stamp, failed, err := client(transport).Transact(ctx, conditions, changes)
		return []any{stamp, failed}, err
	}
	grant := func(ctx context.Context, transport http.RoundTripper) (any, error) {
		return client(transport).GrantLease(ctx, 2500*time.Millisecond)
	}
	renew := func(ctx context.Context, transport http.RoundTripper) (any, error) {
		return nil, client(transport).RenewLease(ctx, 8)
	}
	get := func(ctx context.Context, transport http.RoundTripper) (any, error) {
		return client(transport).Get(ctx, store.JobKey("run-000412"))
	}
	watch := func(ctx context.Context, transport http.RoundTripper) (any, error) {
		log, epoch, err := client(transport).Watch(ctx, store.InboxPrefix, 6, 1500*time.Millisecond)
		return []any{log, epoch}, err
	}
	list := func(ctx context.Context, transport http.RoundTripper) (any, error) {
		items, epoch, err := client(transport).List(ctx, store.JobPrefix)
		return []any{items, epoch}, err
	}
	revoke := func(ctx context.Context, transport http.RoundTripper) (any, error) {
		return nil, client(transport).RevokeLease(ctx, 8)
	}
	compareCalls(t, "calls/state.txt", []call{
		{"get", 200, item, get},
		{"get what is not there", 404, `{"error":"no such key"}`, get},
		{"get when it is busy", 429, `{"error":"too many requests"}`, get},
		{"get when it is down", 503, `{"error":"down"}`, get},
		{"list", 200, `{"rows":[` + item + `],"more":false,"epoch":9}`, list},
		{"transaction", 200, `{"epoch":10}`, transact},
		{"transaction whose condition fails", 409, `{"epoch":10,"failed":["sf/leader"]}`, transact},
		{"transaction with a lease that is over", 400, `{"error":"no such lease"}`, transact},
		{"transaction that is refused", 400, `{"error":"value too large"}`, transact},
		{"grant a lease", 200, `{"ticket":8}`, grant},
		{"renew a lease", 200, `{}`, renew},
		{"renew a lease that is over", 404, `{"error":"no such lease"}`, renew},
		{"end a lease", 200, `{}`, revoke},
		{"watch", 200, `{"epoch":9,"log":[{"set":"sf/in/run-000412","value":{},"stamp":7},{"delete":"sf/in/run-000411","stamp":8}]}`, watch},
		{"watch from what is no longer kept", 410, `{"error":"too old"}`, watch},
	})
}

// Requests to the cloud, and how its responses are decoded, match the golden file.
func TestCloudCallsMatchGolden(t *testing.T) {
	client := func(transport http.RoundTripper) *cloud.Client { return cloud.New("cloud:1", 20, transport) }
	catalog := func(ctx context.Context, transport http.RoundTripper) (any, error) {
		return client(transport).Catalog(ctx)
	}
	rent := func(ctx context.Context, transport http.RoundTripper) (any, error) {
		return client(transport).Rent(ctx, filled[api.InstanceRequest]())
	}
	returnMachines := func(ctx context.Context, transport http.RoundTripper) (any, error) {
		return nil, client(transport).Return(ctx, []string{"n-000001", "n-000002"})
	}
	list := func(ctx context.Context, transport http.RoundTripper) (any, error) {
		return client(transport).List(ctx)
	}
	compareCalls(t, "calls/cloud.txt", []call{
		{"catalog", 200, `{"hulls":[` + example(t, "machine-type") + `]}`, catalog},
		{"empty catalog", 200, `{"hulls":[]}`, catalog},
		{"rent", 200, `{"hosts":["n-000001"]}`, rent},
		{"rent what is not to be had", 503, `{"error":"no capacity"}`, rent},
		{"rent when it is in trouble", 503, `{"error":"down"}`, rent},
		{"rent what is malformed", 400, `{"error":"malformed rental"}`, rent},
		{"give back", 200, `{}`, returnMachines},
		{"list", 200, `{"hosts":[` + example(t, "cloud-machine") + `],"more":false}`, list},
	})
}

// Commands that are sent directly to a worker, and how its responses are decoded, match the golden file.
func TestWorkerCallsMatchGolden(t *testing.T) {
	send := func(ctx context.Context, transport http.RoundTripper) (any, error) {
		heartbeat, executed, err := worker.New(transport).Send(ctx, "worker-0:9000", filled[api.HeartbeatResponse]())
		return []any{heartbeat, executed}, err
	}
	compareCalls(t, "calls/worker.txt", []call{
		{"executed", 200, example(t, "report"), send},
		{"refused", 409, example(t, "report"), send},
		{"in trouble", 500, "", send},
		{"malformed", 200, "{", send},
	})
}
