package httpapi_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/connlimit"
	"switchferry/controller"
	"switchferry/httpapi"
	"switchferry/internal/fake"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/store"
)

// externalServices is a transport to the fake state service and the fake cloud. The cloud is unreachable until
// cloudReachable is set.
type externalServices struct {
	state          http.RoundTripper
	cloud          http.RoundTripper
	cloudReachable atomic.Bool
}

// RoundTrip passes the request to the service that its host names.
func (s *externalServices) RoundTrip(request *http.Request) (*http.Response, error) {
	switch {
	case strings.HasPrefix(request.URL.Host, "state"):
		return s.state.RoundTrip(request)
	case !s.cloudReachable.Load():
		return nil, errors.New("cloud unreachable")
	}
	return s.cloud.RoundTrip(request)
}

// idleListener is a listener for peers that accepts no connections.
type idleListener chan struct{}

// Accept blocks until the channel is closed, and then returns net.ErrClosed.
func (listener idleListener) Accept() (net.Conn, error) { <-listener; return nil, net.ErrClosed }

// Close does nothing.
func (idleListener) Close() error { return nil }

// Addr returns an empty address, which the tests do not use.
func (idleListener) Addr() net.Addr { return &net.TCPAddr{} }

const validBody = `{"name_id":"run-000001","jobclass":"c","owner":"t","shape":"sweep","rank":"normal","parts":2,"cores":1,"cards":0,"ram_gb":1,
 "hulls":null,"berth":null,"together":false,"apart":false,"standby":true,"bundle":"i","size_gb":1,"expect_s":1,"snapshot_s":0,"stow_s":0,"due_s":null}`

// bodyWith returns validBody with one field set to value, or removed if value is nil.
func bodyWith(field string, value any) string {
	fields := map[string]any{}
	if json.Unmarshal([]byte(validBody), &fields) != nil {
		panic("validBody is not valid JSON")
	}
	fields[field] = value
	if value == nil {
		delete(fields, field)
	}
	raw, _ := json.Marshal(fields)
	return string(raw)
}

// Submissions are sent through the HTTP port to a leader. A submission that lacks a field or can never run is refused
// with the name of the field and a remedy. The submission of a known job is never refused, whatever its body. A
// submission that cannot be decided yet is answered with status 503 and Retry-After.
func TestSubmissionsAreRefusedOrDeferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		clock := clockwork.NewRealClock()
		config := &settings.Settings{Member: "n0", Zone: "a"}
		config.External = settings.External{State: "state:1", Cloud: "cloud:1"}
		config.Facts = settings.Facts{ControllerCount: 1, Zones: []string{"a", "b"}, Workers: settings.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 40}, Teams: []settings.Team{{Name: "t", CPUsMax: 40}},
			State: settings.StateLimits{RPS: 400, WriteRPS: 400, ValueKB: 16, TxnOps: 12}, Cloud: settings.CloudLimits{RPS: 20, ListLagS: 1}}
		types := []api.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 32, CacheGB: 20, PullGBs: 1, BootS: 10, Zones: []string{"a", "b"}}}
		state := fake.NewState(clock)
		services := &externalServices{state: state, cloud: fake.NewCloud(clock, types, 20)}
		leader := controller.New(ctx, config, policy.Default(), clock, services)
		peerListener := make(idleListener)
		done := make(chan struct{})
		go func() { leader.Run(peerListener); close(done) }()
		handler := httpapi.New(leader, connlimit.NewLimiter(0))
		send := func(method, path, body string) (int, string, string) {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), method, path, bytes.NewReader([]byte(body))))
			return w.Code, w.Body.String(), w.Header().Get("Retry-After")
		}
		check := func(method, path, body string, status int, words ...string) {
			t.Helper()
			code, text, retry := send(method, path, body)
			for _, word := range words {
				if !strings.Contains(text, word) {
					t.Errorf("%s %s %.200s: response %s, want %q in it", method, path, body, text, word)
				}
			}
			if code != status || (code == http.StatusServiceUnavailable) != (retry != "") {
				t.Errorf("%s %s %.200s: status %d, response %s, Retry-After %q; want status %d, and Retry-After only with 503", method, path, body, code, text, retry, status)
			}
		}
		time.Sleep(5 * time.Second)
		// While the machine types are not known, a new job is answered with 503 and a known one with its state.
		check("POST", "/submissions", validBody, 503, "machine types are not known")
		var known api.Submission
		if err := json.Unmarshal([]byte(strings.Replace(validBody, "run-000001", "run-000009", 1)), &known); err != nil {
			t.Fatal(err)
		}
		state.Put(store.JobKey(known.ID), store.JobRecord{Job: known})
		check("POST", "/submissions", strings.Replace(validBody, "run-000001", "run-000009", 1), 200, `"status":"pending"`)
		services.cloudReachable.Store(true)
		time.Sleep(time.Minute)

		for _, field := range []string{"name_id", "jobclass", "owner", "shape", "rank", "parts", "cores", "cards", "ram_gb", "bundle", "size_gb", "together", "apart", "standby", "expect_s", "snapshot_s", "stow_s"} {
			check("POST", "/submissions", bodyWith(field, nil), 400, `"field":"`+field+`"`, "is missing")
			check("POST", "/submissions", bodyWith(field, json.RawMessage("null")), 400, `"field":"`+field+`"`, "is missing")
			check("POST", "/submissions", bodyWith(field, []int{1}), 400, `"field":"`+field+`"`, "must ")
		}
		for _, c := range []struct {
			field string
			value any
			want  string
		}{{"name_id", "job 7", "must look like run-000412"}, {"name_id", "", "must not be empty"}, {"shape", "heap", "must be"}, {"rank", "urgent", "must be prod, high, normal or low"},
			{"parts", 0, "between 1 and 100000"}, {"parts", 100_001, "between 1 and 100000"}, {"parts", 1.5, "must be an integer"}, {"parts", -1, "between 1 and 100000"},
			{"cores", 0, "above 0"}, {"cores", -1, "between 0 and 1e9"}, {"ram_gb", 1e300, "between 0 and 1e9"}, {"expect_s", "long", "must be a number"}, {"due_s", -1, "between 0 and 1e9"},
			{"hulls", []string{}, "must not be an empty list"}, {"hulls", "m8", "must be a list"}, {"berth", 7, "must be a string or null"}, {"together", "no", "must be true or false"}} {
			check("POST", "/submissions", bodyWith(c.field, c.value), 400, `"field":"`+c.field+`"`, c.want)
		}
		for _, body := range []string{"", "{", "[]", "null", `"run-000001"`} {
			check("POST", "/submissions", body, 400, `"field":"body"`, "must be a JSON object")
		}
		for _, c := range []struct {
			field string
			value any
			names string
		}{{"owner", "nobody", "owner"}, {"cores", 9, "cores"}, {"ram_gb", 33, "cores"}, {"cards", 1, "cores"}, {"size_gb", 21, "cores"}, {"hulls", []string{"m9"}, "cores"}, {"berth", "c", "cores"}} {
			check("POST", "/submissions", bodyWith(c.field, c.value), 422, `"field":"`+c.names+`"`)
		}
		check("POST", "/submissions", strings.Replace(bodyWith("shape", "standing"), `"parts":2`, `"parts":41`, 1), 422, `"field":"parts"`, "limit")
		check("GET", "/submissions/run-000001", "", 404)
		check("POST", "/submissions/run-000001/cancel", "", 404)
		check("POST", "/submissions/nothing/cancel", "", 404)

		// A repeated submission is answered with the job's state whatever its body, before and after the job reaches a
		// terminal state.
		check("POST", "/submissions", validBody, 201, `"status":"pending"`)
		repeats := []string{validBody, bodyWith("owner", "nobody"), bodyWith("cores", nil), bodyWith("parts", 0), bodyWith("hulls", []string{"m9"}), bodyWith("cores", 1000)}
		for _, body := range repeats {
			check("POST", "/submissions", body, 200, `"status":"pending"`)
		}
		check("POST", "/submissions/run-000001/cancel", "", 200, `"status":"withdrawn"`)
		for _, body := range repeats {
			check("POST", "/submissions", body, 200, `"status":"withdrawn"`)
		}
		check("POST", "/submissions/run-000001/cancel", "", 200, `"status":"withdrawn"`)
		check("GET", "/submissions/run-000001", "", 200, `"status":"withdrawn"`)

		// During an outage of the state service, a submission of a job that cannot be looked up is answered with 503, and
		// one of a job in a terminal state with that state.
		state.SetDown(true)
		time.Sleep(3 * time.Second)
		check("POST", "/submissions", bodyWith("name_id", "run-000002"), 503)
		check("POST", "/submissions", strings.Replace(bodyWith("cores", 1000), "run-000001", "run-000002", 1), 503)
		check("POST", "/submissions", bodyWith("cores", 1000), 200, `"status":"withdrawn"`)
		state.SetDown(false)
		stop()
		close(peerListener)
		<-done
		time.Sleep(time.Minute)
	})
}
