package httpapi

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"switchferry/api"
	"switchferry/connlimit"
	"switchferry/peer"
)

type fakeController struct {
	lastRequest peer.Request
	dataOn      bool
}

func (fake *fakeController) TopologyOn() bool      { return false }
func (fake *fakeController) MembersOn() bool       { return false }
func (fake *fakeController) ConfigurationOn() bool { return false }
func (fake *fakeController) DataOn() bool          { return fake.dataOn }
func (fake *fakeController) HandleStageHeartbeat(_ context.Context, heartbeat *api.StageHeartbeat, _ []byte) (int, any) {
	return 200, api.StageOrder{Term: 4, Sequence: heartbeat.Sequence}
}

func (fake *fakeController) Ready() bool { return false }
func (fake *fakeController) HandleHeartbeat(context.Context, *api.Heartbeat, []byte) (int, any) {
	return 421, api.Redirect{Controller: "n1"}
}
func (fake *fakeController) Handle(_ context.Context, request peer.Request, _ bool) peer.Response {
	fake.lastRequest = request
	return peer.Response{Status: 503, Body: []byte(`{"error":"later"}`), RetryAfterS: 1}
}

func TestHandlerValidatesAndForwardsRequests(t *testing.T) {
	backend := &fakeController{}
	handler := New(backend, connlimit.NewLimiter(0))
	for _, test := range []struct {
		method, path, body string
		status             int
		text               string
	}{
		{"POST", "/submissions", "{}", 503, "later"},
		{"POST", "/submissions", strings.Repeat("x", 65<<10), 400, "body"},
		{"GET", "/submissions/run-1", "", 503, "later"},
		{"GET", "/ready", "", 503, ""},
		{"POST", "/v1/report", "{", 400, "error"},
		{"POST", "/v1/report", `{"watch":1}`, 400, "host"},
		{"POST", "/v1/report", `{"host":"m","watch":1}`, 421, `"harbor":"n1"`},
		{"GET", "/elsewhere", "", 404, "error"},
		// The paths of a feature that is off do not exist.
		{"GET", "/datasets", "", 404, "Not Found"},
		{"POST", "/v1/staging", "{}", 404, "Not Found"},
		{"DELETE", "/submissions/run-1", "", 405, "error"},
	} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), test.method, test.path, strings.NewReader(test.body)))
		if w.Code != test.status || !strings.Contains(w.Body.String(), test.text) {
			t.Errorf("%s %s: status %d, body %s", test.method, test.path, w.Code, w.Body)
		}
		// Only a request that can be retried is answered with Retry-After.
		if retry := w.Header().Get("Retry-After"); (test.text == "later") != (retry == "1") {
			t.Errorf("%s %s: Retry-After %q", test.method, test.path, retry)
		}
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "POST", "/submissions/run-7/cancel", nil))
	if backend.lastRequest.Verb != "cancel" || backend.lastRequest.Job != "run-7" {
		t.Errorf("controller received %+v, want verb cancel of run-7", backend.lastRequest)
	}
}

func TestDatasetPathsExistWhenFeatureIsOn(t *testing.T) {
	handler := New(&fakeController{dataOn: true}, connlimit.NewLimiter(0))
	for _, test := range []struct {
		method, path, body string
		status             int
		text               string
	}{
		{"GET", "/datasets", "", 503, "later"},
		{"POST", "/v1/staging", "{", 400, "error"},
		{"POST", "/v1/staging", `{"host":"m","address":"a:1"}`, 400, "session"},
		{"POST", "/v1/staging", `{"host":"m","address":"a:1","session":1,"order":9}`, 200, `"helm":4`},
		{"POST", "/v1/staging", strings.Repeat("x", 2<<20), 400, "1 MiB"},
	} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), test.method, test.path, strings.NewReader(test.body)))
		if w.Code != test.status || !strings.Contains(w.Body.String(), test.text) {
			t.Errorf("%s %s: status %d, body %s", test.method, test.path, w.Code, w.Body)
		}
	}
}
