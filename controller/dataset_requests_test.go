package controller

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"switchferry/dataset"
	"switchferry/peer"
	"switchferry/store"
)

// A controller that accepts jobs without the leader refuses a job whose dataset is being removed, even if it has cached
// the dataset before the removal.
func TestSubmissionWithoutLeaderIsRefusedDuringDatasetRemoval(t *testing.T) {
	controller, state := newDataController(true)
	controller.sendRequest(VerbRegister, datasetSummary("inv", 8, 1e8))
	body := submissionBody("run-000001", 1, `,"inputs":[{"dataset":"inv","use":"own"}]`)
	if response := controller.sendRequest(VerbSubmit, strings.Replace(body, "000001", "000002", 1)); response.Status != 201 {
		t.Fatalf("%d %s", response.Status, response.Body)
	}
	var entry dataset.Entry
	_ = json.Unmarshal(state.Get(store.DatasetKey("inv")), &entry)
	entry.State = dataset.Removing
	state.Put(store.DatasetKey("inv"), entry)
	if response := controller.sendRequest(VerbSubmit, body); response.Status != 422 || !strings.Contains(string(response.Body), "removing") || state.Get(store.JobKey("run-000001")) != nil {
		t.Errorf("a new job during the removal: %d %s", response.Status, response.Body)
	}
	if response := controller.sendRequest(VerbSubmit, strings.Replace(body, "000001", "000002", 1)); response.Status != 200 {
		t.Errorf("a known job: %d %s", response.Status, response.Body)
	}
}

// The removal of a dataset can be requested repeatedly. The name of a removed dataset cannot be registered again.
func TestDatasetRemovalIsIdempotent(t *testing.T) {
	controller, state := newDataController(true)
	remove := func(name string) peer.Response {
		controller.readLimiter.SetLimit(1e9)
		controller.readLimiter.SetBurst(1 << 30)
		return controller.Handle(context.Background(), peer.Request{Verb: VerbRemove, Job: name}, false)
	}
	controller.sendRequest(VerbRegister, datasetSummary("inv", 8, 1))
	for index, testCase := range []struct {
		name   string
		status int
		text   string
	}{{"inv", 200, "removing"}, {"inv", 200, "removing"}, {"none", 404, "no such dataset"}, {"Bad Name", 404, "no such dataset"}} {
		if response := remove(testCase.name); response.Status != testCase.status || !strings.Contains(string(response.Body), testCase.text) {
			t.Errorf("removal %d: %d %s", index, response.Status, response.Body)
		}
	}
	if response := controller.sendRequest(VerbRegister, datasetSummary("inv", 8, 1)); response.Status != 409 || !strings.Contains(string(response.Body), "not used again") {
		t.Errorf("registration of a removed name: %d %s", response.Status, response.Body)
	}
	state.Down = true
	if response := remove("inv"); response.Status != 503 || response.RetryAfterS == 0 {
		t.Errorf("removal in an outage: status %d, want 503 with a retry time", response.Status)
	}
	state.Down = false
	state.Put(store.DatasetKey("odd"), map[string]any{"name": "odd", "parts": 1, "part_bytes": 1, "bytes": 1, "state": "paused"})
	if response := remove("odd"); response.Status != 500 {
		t.Errorf("a record with an unknown state: %d %s", response.Status, response.Body)
	}
	off, _ := newDataController(false)
	if response := off.Handle(context.Background(), peer.Request{Verb: VerbRemove, Job: "inv"}, false); response.Status != 404 {
		t.Errorf("with datasets off: %d", response.Status)
	}
}

// The content of a registered name never changes. Registering the same name and content again succeeds.
func TestRegisteredDatasetsAreImmutable(t *testing.T) {
	controller, _ := newDataController(true)
	for _, testCase := range []struct {
		body   string
		status int
	}{
		{datasetSummary("inv", 8, 1e9), 201}, {datasetSummary("inv", 8, 1e9), 200}, {datasetSummary("inv", 9, 1e9), 409},
		{datasetSummary("Bad Name", 9, 1e9), 400}, {`{`, 400}, {`{"name":"a","parts":3,"part_bytes":5,"bytes":16}`, 400},
	} {
		if response := controller.sendRequest(VerbRegister, testCase.body); response.Status != testCase.status {
			t.Errorf("%s: %d %s", testCase.body, response.Status, response.Body)
		}
	}
}
