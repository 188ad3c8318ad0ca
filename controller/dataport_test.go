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

// dataNode is a controller without a leader, with datasets on or off.
func dataNode(on bool) (*Controller, *fake.State) {
	clock := clockwork.NewFakeClock()
	st := fake.NewState(clock)
	set := userSettings()
	set.Facts.Teams = []settings.Team{{Name: "team"}}
	n := New(context.Background(), set, policy.Default(), clock, st)
	n.machineTypes = testTypes
	n.Enable(&features.Features{Data: features.Data{On: on, Placement: features.Staged, CacheGB: 5, LinkMBs: 100, StoreMBs: 100, PerLink: 1, AtStore: 8}})
	return n, st
}

func (c *Controller) ask(verb, body string) peer.Response {
	// The share of reads that questions may take is another test's matter.
	c.readLimiter.SetLimit(1e9)
	c.readLimiter.SetBurst(1 << 30)
	return c.Handle(context.Background(), peer.Request{Verb: verb, Body: []byte(body)}, false)
}

func summary(name string, parts int, each int64) string {
	raw, _ := json.Marshal(dataset.Summary{Name: name, Parts: parts, Usual: each, Bytes: each * int64(parts)})
	return string(raw)
}

func submission(id string, tasks int, more string) string {
	return fmt.Sprintf(`{"name_id":%q,"jobclass":"c","owner":%q,"shape":"sweep","rank":"normal","parts":%d,"cores":1,"cards":0,"ram_gb":1,
		"bundle":"img","size_gb":1,"hulls":null,"berth":null,"together":false,"apart":false,"standby":true,
		"expect_s":10,"snapshot_s":0,"stow_s":0,"due_s":null%s}`, id, "team", tasks, more)
}

// What can never run is refused at once, with the field and the remedy; whatever can, is
// stored with its inputs.
func TestInputsThatCanNeverBe(t *testing.T) {
	n, st := dataNode(true)
	if a := n.ask(VerbRegister, summary("inv", 8, 1e9)); a.Status != 201 {
		t.Fatalf("%d %s", a.Status, a.Body)
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
		a := n.ask(VerbSubmit, submission(fmt.Sprintf("run-00000%d", i), c.tasks, `,"inputs":`+c.inputs))
		if a.Status != c.status || !strings.Contains(string(a.Body), c.text) {
			t.Errorf("%s: %d %s", c.inputs, a.Status, a.Body)
		}
	}
	if rec := string(st.Get(store.JobKey("run-000000"))); !strings.Contains(rec, `"inputs":[{"dataset":"inv","use":"own"}]`) {
		t.Errorf("the record lost the inputs: %s", rec)
	}
	// Without the state service nothing is decided, and that is said at once.
	st.Down = true
	if a := n.ask(VerbSubmit, submission("run-000009", 1, `,"inputs":[{"dataset":"new","use":"own"}]`)); a.Status != 503 || a.RetryAfterS == 0 {
		t.Errorf("%d %s", a.Status, a.Body)
	}
}

// A name stands for the same content for ever; to register it again is no mistake.
func TestDatasetsDoNotChange(t *testing.T) {
	n, _ := dataNode(true)
	for _, c := range []struct {
		body   string
		status int
	}{
		{summary("inv", 8, 1e9), 201}, {summary("inv", 8, 1e9), 200}, {summary("inv", 9, 1e9), 409},
		{summary("Bad Name", 9, 1e9), 400}, {`{`, 400}, {`{"name":"a","parts":3,"part_bytes":5,"bytes":16}`, 400},
	} {
		if a := n.ask(VerbRegister, c.body); a.Status != c.status {
			t.Errorf("%s: %d %s", c.body, a.Status, a.Body)
		}
	}
}

// Off, a submission with inputs is the one that it was before there were any: unknown
// fields are ignored, as the protocol says, whatever is in them.
func TestOffInputsAreAnUnknownField(t *testing.T) {
	n, st := dataNode(false)
	a := n.ask(VerbSubmit, submission("run-000001", 4, `,"inputs":[{"nonsense":true}]`))
	b := n.ask(VerbSubmit, submission("run-000002", 4, ""))
	if a.Status != 201 || strings.ReplaceAll(string(a.Body), "000001", "000002") != string(b.Body) {
		t.Errorf("%d %s, %s", a.Status, a.Body, b.Body)
	}
	x, y := string(st.Get(store.JobKey("run-000001"))), string(st.Get(store.JobKey("run-000002")))
	if strings.ReplaceAll(x, "000001", "000002") != y || strings.Contains(x, "inputs") {
		t.Errorf("records differ: %s %s", x, y)
	}
	if a := n.ask(VerbRegister, summary("inv", 8, 1)); a.Status != 404 || st.Get(store.DatasetKey("inv")) != nil {
		t.Errorf("registered: %d", a.Status)
	}
	var sub api.Submission
	if raw, err := json.Marshal(sub); err != nil || strings.Contains(string(raw), "inputs") {
		t.Errorf("%s", raw)
	}
}

// Without a leader an agent is told so at once, and reads nothing into it.
func TestAgentsWithoutALeader(t *testing.T) {
	n, _ := dataNode(true)
	if status, _ := n.HandleStageHeartbeat(context.Background(), &api.StageHeartbeat{Machine: "n-1", Address: "a:1", Incarnation: 1}, nil); status != 503 {
		t.Error(status)
	}
	if a := n.ask(VerbData, ""); a.Status != 503 || a.RetryAfterS == 0 {
		t.Error(a.Status)
	}
}
