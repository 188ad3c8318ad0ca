package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/features"
	"switchferry/internal/fake"
	"switchferry/peer"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/store"
)

// newDataController is a controller without a leader, with datasets on or off.
func newDataController(on bool) (*Controller, *fake.State) {
	clock := clockwork.NewFakeClock()
	state := fake.NewState(clock)
	set := testSettings()
	set.Facts.Teams = []settings.Team{{Name: "team"}}
	controller := New(context.Background(), set, policy.Default(), clock, state)
	controller.catalog.types = testTypes
	controller.Enable(&features.Features{Data: features.Data{On: on, Placement: features.Staged, CacheGB: 5, LinkMBs: 100, StoreMBs: 100, PerLink: 1, AtStore: 8}})
	return controller, state
}

func (c *Controller) ask(verb, body string) peer.Response {
	// The share of reads that questions may take is another test's matter.
	c.readLimiter.SetLimit(1e9)
	c.readLimiter.SetBurst(1 << 30)
	return c.Handle(context.Background(), peer.Request{Verb: verb, Body: []byte(body)}, false)
}

func datasetSummary(name string, parts int, each int64) string {
	raw, _ := json.Marshal(dataset.Summary{Name: name, Parts: parts, Usual: each, Bytes: each * int64(parts)})
	return string(raw)
}

func submissionBody(id string, tasks int, more string) string {
	return fmt.Sprintf(`{"name_id":%q,"jobclass":"c","owner":%q,"shape":"sweep","rank":"normal","parts":%d,"cores":1,"cards":0,"ram_gb":1,
		"bundle":"img","size_gb":1,"hulls":null,"berth":null,"together":false,"apart":false,"standby":true,
		"expect_s":10,"snapshot_s":0,"stow_s":0,"due_s":null%s}`, id, "team", tasks, more)
}

// What can never run is refused at once, with the field and the remedy; whatever can, is
// stored with its inputs.
func TestInfeasibleInputsAreRefused(t *testing.T) {
	controller, state := newDataController(true)
	if response := controller.ask(VerbRegister, datasetSummary("inv", 8, 1e9)); response.Status != 201 {
		t.Fatalf("%d %s", response.Status, response.Body)
	}
	for i, c := range []struct {
		tasks  int
		inputs string
		status int
		text   string
	}{
		{4, `[{"dataset":"inv","use":"own"}]`, 201, "pending"},
		{4, `[]`, 201, "pending"},
		{4, `[{"dataset":"inv"}]`, 400, "inputs[0].use"},
		{4, `"inv"`, 400, "inputs"},
		{4, `[{"dataset":"gone","use":"own"}]`, 422, "data add"},
		{9, `[{"dataset":"inv","use":"own"}]`, 422, "9 tasks"},
		{4, `[{"dataset":"inv","use":"all"}]`, 422, "8.000 GB of data; the largest cache of an allowed machine type holds 5.000 GB"},
	} {
		response := controller.ask(VerbSubmit, submissionBody(fmt.Sprintf("run-00000%d", i), c.tasks, `,"inputs":`+c.inputs))
		if response.Status != c.status || !strings.Contains(string(response.Body), c.text) {
			t.Errorf("%s: %d %s", c.inputs, response.Status, response.Body)
		}
	}
	if rec := string(state.Get(store.JobKey("run-000000"))); !strings.Contains(rec, `"inputs":[{"dataset":"inv","use":"own"}]`) {
		t.Errorf("the record lost the inputs: %s", rec)
	}
	// Without the state service nothing is decided, and that is said at once.
	state.Down = true
	if response := controller.ask(VerbSubmit, submissionBody("run-000009", 1, `,"inputs":[{"dataset":"new","use":"own"}]`)); response.Status != 503 || response.RetryAfterS == 0 {
		t.Errorf("%d %s", response.Status, response.Body)
	}
}

// A name stands for the same content for ever; to register it again is no mistake.
func TestRegisteredDatasetsAreImmutable(t *testing.T) {
	controller, _ := newDataController(true)
	for _, c := range []struct {
		body   string
		status int
	}{
		{datasetSummary("inv", 8, 1e9), 201}, {datasetSummary("inv", 8, 1e9), 200}, {datasetSummary("inv", 9, 1e9), 409},
		{datasetSummary("Bad Name", 9, 1e9), 400}, {`{`, 400}, {`{"name":"a","parts":3,"part_bytes":5,"bytes":16}`, 400},
	} {
		if response := controller.ask(VerbRegister, c.body); response.Status != c.status {
			t.Errorf("%s: %d %s", c.body, response.Status, response.Body)
		}
	}
}

// Off, a submission with inputs is the one that it was before there were any: unknown
// fields are ignored, as the protocol says, whatever is in them.
func TestInputsAreIgnoredWithDatasetsOff(t *testing.T) {
	controller, state := newDataController(false)
	response := controller.ask(VerbSubmit, submissionBody("run-000001", 4, `,"inputs":[{"nonsense":true}]`))
	second := controller.ask(VerbSubmit, submissionBody("run-000002", 4, ""))
	if response.Status != 201 || strings.ReplaceAll(string(response.Body), "000001", "000002") != string(second.Body) {
		t.Errorf("%d %s, %s", response.Status, response.Body, second.Body)
	}
	x, y := string(state.Get(store.JobKey("run-000001"))), string(state.Get(store.JobKey("run-000002")))
	if strings.ReplaceAll(x, "000001", "000002") != y || strings.Contains(x, "inputs") {
		t.Errorf("records differ: %s %s", x, y)
	}
	if response := controller.ask(VerbRegister, datasetSummary("inv", 8, 1)); response.Status != 404 || state.Get(store.DatasetKey("inv")) != nil {
		t.Errorf("registered: %d", response.Status)
	}
	var decoded api.Submission
	if raw, err := json.Marshal(decoded); err != nil || strings.Contains(string(raw), "inputs") {
		t.Errorf("%s", raw)
	}
}

// Without a leader an agent is told so at once, and reads nothing into it.
func TestAgentHeartbeatIsRefusedWithoutLeader(t *testing.T) {
	controller, _ := newDataController(true)
	if status, _ := controller.HandleStageHeartbeat(context.Background(), &api.StageHeartbeat{Machine: "n-1", Address: "a:1", Incarnation: 1}, nil); status != 503 {
		t.Error(status)
	}
	if response := controller.ask(VerbData, ""); response.Status != 503 || response.RetryAfterS == 0 {
		t.Error(response.Status)
	}
}
