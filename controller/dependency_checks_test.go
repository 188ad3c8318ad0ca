package controller

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"switchferry/api"
	"switchferry/peer"
	"switchferry/store"
	"switchferry/tuning"
	"switchferry/upgrade"
)

// A submission with invalid dependencies is refused with the name of the field, and nothing is stored. A retry of an
// accepted job is answered with its state, whatever dependencies it names.
func TestInvalidDependenciesAreRefused(t *testing.T) {
	leader := newLeader(t)
	leader.submit(smallJob("run-000001"))
	service := smallJob("run-000002")
	service.Shape, service.Rank = api.Service, "prod"
	leader.submit(service)
	controller := leader.otherController()
	leader.leading = false // All answers come from the records.
	var long []string
	for index := range tuning.MaxDependencies + 1 {
		long = append(long, fmt.Sprintf(`"run-%06d"`, 100+index))
	}
	submit := func(awaits string) peer.Response {
		body := strings.Replace(submissionBody("run-000009", 1, `,"awaits":`+awaits), `"team"`, `"t"`, 1)
		got := make(chan peer.Response, 1)
		go func() {
			got <- controller.Handle(context.Background(), peer.Request{Verb: VerbSubmit, Body: []byte(body)}, false)
		}()
		for {
			select {
			case response := <-got:
				return response
			default:
				leader.clock.Advance(tuning.DependencyRetryDelay)
			}
		}
	}
	before := leader.state.Requests
	for awaits, want := range map[string]struct {
		status int
		text   string
	}{
		`["run-000404"]`:                         {422, "run-000404 was never accepted"},
		`["run-000002"]`:                         {422, "is a service"},
		`["run-000009"]`:                         {422, "is the job itself"},
		`[` + strings.Join(long, ",") + `]`:      {422, "at most 64"},
		`["run-000001","run-000001"]`:            {400, "stands twice"},
		`[]`:                                     {400, "one or more job ids"},
		`null`:                                   {400, "one or more job ids"},
		`"run-000001"`:                           {400, "one or more job ids"},
		`[1]`:                                    {400, "one or more job ids"},
		`{"a":1}`:                                {400, "one or more job ids"},
		`["` + strings.Repeat("9", 1<<10) + `"]`: {400, "is no job id"},
	} {
		if response := submit(awaits); response.Status != want.status || !strings.Contains(string(response.Body), want.text) || !strings.Contains(string(response.Body), `"field":"awaits"`) {
			t.Errorf("%.60s: %d %.200s", awaits, response.Status, response.Body)
		}
	}
	if leader.state.Get(store.JobKey("run-000009")) != nil || leader.state.Requests-before > 100 {
		t.Errorf("the job was stored, or the state service received %d requests", leader.state.Requests-before)
	}
	if response := submit(`["run-000001"]`); response.Status != 201 {
		t.Errorf("with a valid dependency: %d %s", response.Status, response.Body)
	}
	if response := submit(`["run-000404"]`); response.Status != 200 {
		t.Errorf("a retry that names another dependency: %d %s", response.Status, response.Body)
	}
}

// While a process of the first version may run, no job with dependencies is accepted, since that version would start
// the job without waiting for them.
func TestDependenciesAreRefusedWhileAnOlderVersionMayRun(t *testing.T) {
	leader := newLeader(t)
	leader.submit(smallJob("run-000001"))
	controller := leader.otherController()
	controller.submissions.Versions = upgrade.NewVersionRegistry("y", []string{"y", "z"}, controller.client, leader.clock)
	controller.submissions.Versions.Observe("y", upgrade.VersionRecord{Data: upgrade.DataVersion})
	body := strings.Replace(submissionBody("run-000009", 1, `,"awaits":["run-000001"]`), `"team"`, `"t"`, 1)
	submit := func() peer.Response {
		return controller.Handle(context.Background(), peer.Request{Verb: VerbSubmit, Body: []byte(body)}, false)
	}
	if response := submit(); response.Status != 503 || response.RetryAfterS == 0 || !strings.Contains(string(response.Body), "not seen yet of z") {
		t.Errorf("while z has no version record: %d %s", response.Status, response.Body)
	}
	controller.submissions.Versions.Observe("z", upgrade.VersionRecord{Data: 1})
	if response := submit(); response.Status != 503 {
		t.Errorf("while a member has data version 1: %d", response.Status)
	}
	controller.submissions.Versions.Observe("z", upgrade.VersionRecord{Data: upgrade.DataVersion})
	if response := submit(); response.Status != 201 {
		t.Errorf("once all members have the current version: %d %s", response.Status, response.Body)
	}
}
