package httpapi

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/configuration"
	"switchferry/configuration/revisions"
	"switchferry/internal/compress"
	"switchferry/internal/fake"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/upgrade"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	// The compressor is created on first use, which must not happen inside a synctest bubble.
	if _, err := compress.EncodeSmall(0); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// soleLeader is a leader without peers that makes no decisions.
type soleLeader struct{ term uint64 }

func (l soleLeader) Condition() (store.Condition, bool) {
	return store.Condition{Key: store.LeaderKey, Revision: l.term}, true
}

func (soleLeader) Adopt(*configuration.Active) (unpersistedCount func() int) {
	return func() int { return 0 }
}

func (soleLeader) Peers() []string { return nil }

func (soleLeader) RefreshPeer(context.Context, string, uint64) (uint64, error) { return 0, nil }

// newLeadingHandler returns the handler and the applier of a leading controller, and the state service
// that it uses.
func newLeadingHandler(t *testing.T) (*Handler, *revisions.Applier, *fake.State) {
	t.Helper()
	clock := clockwork.NewRealClock()
	state := fake.NewState(clock)
	state.Put(upgrade.RecordPrefix+"n0", upgrade.VersionRecord{Data: upgrade.DataVersion, Configuration: true})
	client := store.NewClient("state:1", state)
	files := configuration.FromFiles([]settings.Team{{Name: "team"}}, policy.Default())
	handler := &Handler{
		Store:    revisions.New(client, clock, files, settings.StateLimits{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12}),
		Versions: upgrade.NewVersionRegistry("n0", []string{"n0"}, client, clock),
	}
	applier := revisions.NewApplier(t.Context(), handler.Store, soleLeader{state.Put(store.LeaderKey, store.LeaderRecord{Member: "n0"})})
	if err := applier.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	return handler, applier, state
}

// changeBody returns the JSON body of a change request.
func changeBody(t *testing.T, request api.ConfigurationRequest) []byte {
	t.Helper()
	body, err := json.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// requireAnswer fails the test unless the status is as wanted and the JSON of the answer contains each
// wanted text.
func requireAnswer(t *testing.T, name string, status int, answer any, wantStatus int, want ...string) {
	t.Helper()
	body, err := json.Marshal(answer)
	if err != nil {
		t.Fatal(err)
	}
	if status != wantStatus {
		t.Errorf("%s: status %d, want %d: %s", name, status, wantStatus, body)
	}
	for _, text := range want {
		if !strings.Contains(string(body), text) {
			t.Errorf("%s: no %q in %s", name, text, body)
		}
	}
}

func TestChangeAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handler, applier, state := newLeadingHandler(t)
		revisionZero := uint64(0)
		first := api.ConfigurationRequest{Document: "[[teams]]\nname = \"team\"\ncpus_max = 40\n", Operator: "ann", Reason: "less"}
		for _, test := range []struct {
			name   string
			body   []byte
			status int
			want   []string
		}{
			{"body is not JSON", []byte("x"), http.StatusBadRequest, []string{`"field":"body"`}},
			{"wrong type", changeBody(t, api.ConfigurationRequest{Document: "teams = 1\n"}), http.StatusBadRequest,
				[]string{`"mistakes":[{"line":1,"field":"teams","remedy":"must be a list of tables, [[teams]], not an integer"}]`}},
			{"features are off", changeBody(t, api.ConfigurationRequest{Document: "[topology]\nversion = 1\n[features]\nahead_tasks = 3\n"}), http.StatusBadRequest,
				[]string{`"field":"topology"`, `"field":"features.ahead_tasks"`}},
			{"new document", changeBody(t, first), http.StatusOK, []string{`"revision":1`, `"in_force":true`}},
			{"same document again", changeBody(t, first), http.StatusOK, []string{`"revision":1`, `"unchanged":true`}},
			{"another revision expected", changeBody(t, api.ConfigurationRequest{Document: "# empty\n", ExpectedRevision: &revisionZero}), http.StatusConflict,
				[]string{`"revision":1`, `"by":"ann"`, `"differences":["teams.team: 0 guaranteed, 40 at most`}},
		} {
			status, answer := handler.Change(t.Context(), applier, test.body)
			requireAnswer(t, test.name, status, answer, test.status, test.want...)
		}
		state.Put(upgrade.RecordPrefix+"n0", upgrade.VersionRecord{Data: upgrade.DataVersion})
		status, answer := handler.Change(t.Context(), applier, changeBody(t, first))
		requireAnswer(t, "a controller runs with the feature off", status, answer, http.StatusServiceUnavailable, "not seen yet of n0")
		state.SetDown(true)
		status, answer = handler.Change(t.Context(), applier, changeBody(t, first))
		requireAnswer(t, "outage", status, answer, http.StatusServiceUnavailable, revisions.ErrUnavailable.Error())
	})
}

func TestRevisionAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handler, applier, state := newLeadingHandler(t)
		view := handler.Current(applier)
		requireAnswer(t, "no revision stored", http.StatusOK, view, http.StatusOK, `"revision":0`, `"in_force":true`, `"leader":true`)
		body := changeBody(t, api.ConfigurationRequest{Document: "# first\n", Operator: "ann", Reason: "trial"})
		if status, answer := handler.Change(t.Context(), applier, body); status != http.StatusOK {
			t.Fatalf("status %d: %+v", status, answer)
		}
		view = handler.Current(nil)
		requireAnswer(t, "a controller that does not lead", http.StatusOK, view, http.StatusOK, `"revision":1`, `"newest":1`, `"in_force":false`, `"leader":false`)
		for _, test := range []struct {
			which  string
			status int
			want   []string
		}{
			{"1", http.StatusOK, []string{`"revision":1`, `"by":"ann"`, `"why":"trial"`, `# first`}},
			{History, http.StatusOK, []string{`[{"revision":1,"by":"ann"`}},
			{"2", http.StatusNotFound, []string{"part 0 of revision 2 is missing; the last 50 revisions are kept"}},
			{"0", http.StatusBadRequest, []string{"revisions are numbered from 1"}},
			{"first", http.StatusBadRequest, []string{"is no revision"}},
		} {
			status, answer := handler.Revision(t.Context(), test.which)
			requireAnswer(t, test.which, status, answer, test.status, test.want...)
		}
		state.SetDown(true)
		time.Sleep(time.Second)
		for _, which := range []string{"1", History} {
			status, answer := handler.Revision(t.Context(), which)
			requireAnswer(t, which+" in an outage", status, answer, http.StatusServiceUnavailable, stateUnreachable)
		}
	})
}
