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

// externalServices carries calls to the state service and the cloud; the latter is unreachable at first.
type externalServices struct {
	state          http.RoundTripper
	cloud          http.RoundTripper
	cloudReachable atomic.Bool
}

// RoundTrip carries a call.
func (s *externalServices) RoundTrip(request *http.Request) (*http.Response, error) {
	switch {
	case strings.HasPrefix(request.URL.Host, "state"):
		return s.state.RoundTrip(request)
	case !s.cloudReachable.Load():
		return nil, errors.New("the cloud is out of reach")
	}
	return s.cloud.RoundTrip(request)
}

// silentListener is a listener for peers to which none connects.
type silentListener chan struct{}

// Accept blocks until the channel is closed.
func (listener silentListener) Accept() (net.Conn, error) { <-listener; return nil, net.ErrClosed }

// Close does nothing.
func (silentListener) Close() error { return nil }

// Addr returns an address that nobody looks at.
func (silentListener) Addr() net.Addr { return &net.TCPAddr{} }

const validBody = `{"name_id":"run-000001","jobclass":"c","owner":"t","shape":"sweep","rank":"normal","parts":2,"cores":1,"cards":0,"ram_gb":1,
 "hulls":null,"berth":null,"together":false,"apart":false,"standby":true,"bundle":"i","size_gb":1,"expect_s":1,"snapshot_s":0,"stow_s":0,"due_s":null}`

// bodyWith returns the valid body with one field changed; nil leaves the field out.
func bodyWith(field string, value any) string {
	m := map[string]any{}
	if json.Unmarshal([]byte(validBody), &m) != nil {
		panic("the valid body is not")
	}
	m[field] = value
	if value == nil {
		delete(m, field)
	}
	raw, _ := json.Marshal(m)
	return string(raw)
}

// Submissions go through the port to a controller that leads. One that lacks a field or can never run is refused with
// the field and a remedy. A known job is never refused, whatever the body says by now. A job that cannot be decided yet
// is put off with Retry-After.
func TestSubmissionsAreRefusedOrPutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		clock := clockwork.NewRealClock()
		set := &settings.Settings{Member: "n0", Zone: "a"}
		set.External = settings.External{State: "state:1", Cloud: "cloud:1"}
		set.Facts = settings.Facts{Nodes: 1, Zones: []string{"a", "b"}, Workers: settings.Workers{ReportS: 1, LeaseS: 10, CancelS: 40}, Teams: []settings.Team{{Name: "t", CPUsMax: 40}},
			State: settings.State{RPS: 400, WriteRPS: 400, ValueKB: 16, TxnOps: 12}, Cloud: settings.Cloud{RPS: 20, ListLagS: 1}}
		types := []api.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 32, CacheGB: 20, PullGBs: 1, BootS: 10, Zones: []string{"a", "b"}}}
		state := fake.NewState(clock)
		out := &externalServices{state: state, cloud: fake.NewCloud(clock, types, 20)}
		n := controller.New(ctx, set, policy.Default(), clock, out)
		back := make(silentListener)
		done := make(chan struct{})
		go func() { n.Run(back); close(done) }()
		handler := httpapi.New(n, connlimit.NewLimiter(0))
		ask := func(method, path, body string) (int, string, string) {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), method, path, bytes.NewReader([]byte(body))))
			return w.Code, w.Body.String(), w.Header().Get("Retry-After")
		}
		check := func(method, path, body string, status int, words ...string) {
			t.Helper()
			code, text, retry := ask(method, path, body)
			for _, word := range words {
				if !strings.Contains(text, word) {
					t.Errorf("%s %s %.200s: %s, want %q in it", method, path, body, text, word)
				}
			}
			if code != status || (code == http.StatusServiceUnavailable) != (retry != "") {
				t.Errorf("%s %s %.200s: %d %s, Retry-After %q, want %d", method, path, body, code, text, retry, status)
			}
		}
		time.Sleep(5 * time.Second)
		// The machine types are not known yet: a new job is put off, a known one is answered.
		check("POST", "/submissions", validBody, 503, "machine types are not known")
		var known api.Submission
		if err := json.Unmarshal([]byte(strings.Replace(validBody, "run-000001", "run-000009", 1)), &known); err != nil {
			t.Fatal(err)
		}
		state.Put(store.JobKey(known.ID), store.JobRecord{Job: known})
		check("POST", "/submissions", strings.Replace(validBody, "run-000001", "run-000009", 1), 200, `"status":"pending"`)
		out.cloudReachable.Store(true)
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

		// A repeated submission is answered with the job's state whatever its body says, before and after the job ends.
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

		// In an outage, a job that cannot be looked up is put off; the state of a job that is over is answered.
		state.Outage(true)
		time.Sleep(3 * time.Second)
		check("POST", "/submissions", bodyWith("name_id", "run-000002"), 503)
		check("POST", "/submissions", strings.Replace(bodyWith("cores", 1000), "run-000001", "run-000002", 1), 503)
		check("POST", "/submissions", bodyWith("cores", 1000), 200, `"status":"withdrawn"`)
		state.Outage(false)
		stop()
		close(back)
		<-done
		time.Sleep(time.Minute)
	})
}
