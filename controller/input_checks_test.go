package controller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"switchferry/api"
	"switchferry/store"
)

// A job that can never run with its inputs is refused at once, with the field and a remedy. A feasible job is stored
// with its inputs.
func TestInfeasibleInputsAreRefused(t *testing.T) {
	controller, state := newDataController(true)
	if response := controller.sendRequest(VerbRegister, datasetSummary("inv", 8, 1e9)); response.Status != 201 {
		t.Fatalf("%d %s", response.Status, response.Body)
	}
	for index, testCase := range []struct {
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
		response := controller.sendRequest(VerbSubmit, submissionBody(fmt.Sprintf("run-00000%d", index), testCase.tasks, `,"inputs":`+testCase.inputs))
		if response.Status != testCase.status || !strings.Contains(string(response.Body), testCase.text) {
			t.Errorf("%s: %d %s", testCase.inputs, response.Status, response.Body)
		}
	}
	if rec := string(state.Get(store.JobKey("run-000000"))); !strings.Contains(rec, `"inputs":[{"dataset":"inv","use":"own"}]`) {
		t.Errorf("the record does not contain the inputs: %s", rec)
	}
	// Without the state service nothing can be decided, and the response asks the user at once to retry.
	state.Down = true
	if response := controller.sendRequest(VerbSubmit, submissionBody("run-000009", 1, `,"inputs":[{"dataset":"new","use":"own"}]`)); response.Status != 503 || response.RetryAfterS == 0 {
		t.Errorf("%d %s", response.Status, response.Body)
	}
}

// With datasets off, inputs are an unknown field, which the protocol requires to be ignored whatever it contains.
func TestInputsAreIgnoredWithDatasetsOff(t *testing.T) {
	controller, state := newDataController(false)
	response := controller.sendRequest(VerbSubmit, submissionBody("run-000001", 4, `,"inputs":[{"nonsense":true}]`))
	second := controller.sendRequest(VerbSubmit, submissionBody("run-000002", 4, ""))
	if response.Status != 201 || strings.ReplaceAll(string(response.Body), "000001", "000002") != string(second.Body) {
		t.Errorf("%d %s, %s", response.Status, response.Body, second.Body)
	}
	x, y := string(state.Get(store.JobKey("run-000001"))), string(state.Get(store.JobKey("run-000002")))
	if strings.ReplaceAll(x, "000001", "000002") != y || strings.Contains(x, "inputs") {
		t.Errorf("records differ: %s %s", x, y)
	}
	if response := controller.sendRequest(VerbRegister, datasetSummary("inv", 8, 1)); response.Status != 404 || state.Get(store.DatasetKey("inv")) != nil {
		t.Errorf("a dataset was registered: %d", response.Status)
	}
	var decoded api.Submission
	if raw, err := json.Marshal(decoded); err != nil || strings.Contains(string(raw), "inputs") {
		t.Errorf("%s", raw)
	}
}
