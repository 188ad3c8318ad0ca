package controller

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"

	"switchferry/api"
	"switchferry/peer"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
	"switchferry/upgrade"
)

// An accept and a cancellation of what it awaits that cross, in both orders of their records,
// decided by the leader or by a controller alone.
func TestConcurrentAcceptAndDependencyCancellationCancelsJob(t *testing.T) {
	for _, first := range []string{"accept", "cancel"} {
		for _, alone := range []bool{false, true} {
			leader := newLeader(t)
			leader.submit(smallJob("run-000001"))
			submission := *smallJob("run-000002")
			submission.Awaits = []string{"run-000001"}
			accept := func() {
				if alone {
					leader.beside().submissions.submitWithoutLeader(context.Background(), &submission, nil)
				} else {
					leader.Submit(cancelledContext(), &submission, leader.clock.Now())
				}
			}
			if first == "accept" {
				accept()
			}
			leader.Cancel(cancelledContext(), "run-000001")
			if first == "cancel" {
				if alone {
					leader.commit()
				}
				accept()
			}
			leader.commit()
			if alone {
				item, err := leader.beside().client.Get(context.Background(), store.JobKey("run-000002"))
				if err != nil {
					t.Fatal(err)
				}
				leader.committer.SetRevision(item.Key, item.Revision)
				leader.Conflict(item.Key, &item)
			}
			if st := leader.status("run-000002"); st != api.Cancelled {
				t.Errorf("%s first, alone %v: %q", first, alone, st)
			}
			job, _, err := leader.beside().jobs.lookUp(context.Background(), nil, "run-000002", true)
			if err != nil || job.State != api.Cancelled {
				t.Errorf("%s first, alone %v, from the records: %v %v", first, alone, job, err)
			}
			leader.Place()
			leader.commit()
			if leader.starts("run-000002/0") > 0 {
				t.Error("it started")
			}
		}
	}
}

// What a submission may await, and that anything else is refused with the field and changes
// nothing. A repetition of an accepted job is answered with its state whatever it names.
func TestInvalidDependenciesAreRefused(t *testing.T) {
	leader := newLeader(t)
	leader.submit(smallJob("run-000001"))
	service := smallJob("run-000002")
	service.Shape, service.Rank = api.Service, "prod"
	leader.submit(service)
	controller := leader.beside()
	leader.leading = false // all is told from the records
	var long []string
	for i := range tuning.MaxDependencies + 1 {
		long = append(long, fmt.Sprintf(`"run-%06d"`, 100+i))
	}
	ask := func(awaits string) peer.Response {
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
		says   string
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
		if response := ask(awaits); response.Status != want.status || !strings.Contains(string(response.Body), want.says) || !strings.Contains(string(response.Body), `"field":"awaits"`) {
			t.Errorf("%.60s: %d %.200s", awaits, response.Status, response.Body)
		}
	}
	if leader.state.Get(store.JobKey("run-000009")) != nil || leader.state.Requests-before > 100 {
		t.Errorf("something was stored, or asked %d times", leader.state.Requests-before)
	}
	if response := ask(`["run-000001"]`); response.Status != 201 {
		t.Errorf("%d %s", response.Status, response.Body)
	}
	if response := ask(`["run-000404"]`); response.Status != 200 {
		t.Errorf("a repetition that names another job: %d %s", response.Status, response.Body)
	}
}

// While a process of the first version may come back, no job that awaits others is accepted:
// it would start them at once.
func TestDependenciesAreRefusedWhileAnOlderVersionMayRun(t *testing.T) {
	leader := newLeader(t)
	leader.submit(smallJob("run-000001"))
	controller := leader.beside()
	controller.submissions.versions = upgrade.NewVersionRegistry("y", []string{"y", "z"}, controller.client, leader.clock)
	controller.submissions.versions.Observe("y", upgrade.VersionMark{Data: upgrade.DataVersion})
	body := strings.Replace(submissionBody("run-000009", 1, `,"awaits":["run-000001"]`), `"team"`, `"t"`, 1)
	ask := func() peer.Response {
		return controller.Handle(context.Background(), peer.Request{Verb: VerbSubmit, Body: []byte(body)}, false)
	}
	if response := ask(); response.Status != 503 || response.RetryAfterS == 0 || !strings.Contains(string(response.Body), "not seen yet of z") {
		t.Errorf("%d %s", response.Status, response.Body)
	}
	controller.submissions.versions.Observe("z", upgrade.VersionMark{Data: 1})
	if response := ask(); response.Status != 503 {
		t.Errorf("beside data of version 1: %d", response.Status)
	}
	controller.submissions.versions.Observe("z", upgrade.VersionMark{Data: upgrade.DataVersion})
	if response := ask(); response.Status != 201 {
		t.Errorf("%d %s", response.Status, response.Body)
	}
}

// A controller marks its version once, and knows that no older process can come back only when
// every member's mark stands; one that begins anew learns it from the records.
func TestVersionMarksShowWhenNoOlderProcessCanReturn(t *testing.T) {
	leader := newLeader(t)
	set := &settings.Settings{Member: "y", Peers: []settings.Peer{{Member: "z", Address: "127.0.0.1:1"}}}
	set.Facts.State = settings.State{RPS: 1e6, WriteRPS: 1e6, ValueKB: 16, TxnOps: 24, Next: settings.NextState{ValueKB: 2}}
	begin := func() *Controller {
		return New(context.Background(), set, policy.Default(), leader.clock, leader.state)
	}
	controller := begin()
	if controller.versions.RecordOwn(context.Background()) || string(leader.state.Get("sf/version/y")) != `{"data":2}` {
		t.Fatalf("marked %s", leader.state.Get("sf/version/y"))
	}
	stamp := leader.state.Put("sf/test", 1)
	if !controller.versions.RecordOwn(context.Background()) || leader.state.Put("sf/test", 1) != stamp+1 {
		t.Error("its mark was written again")
	}
	if old := controller.versions.Older(); !slices.Equal(old, []string{"z"}) {
		t.Errorf("older %v", old)
	}
	leader.state.Put("sf/version/z", upgrade.VersionMark{Data: upgrade.DataVersion})
	again := begin()
	again.markVersion(context.Background()) // returns once it has seen all
	if old := again.versions.Older(); len(old) > 0 {
		t.Errorf("older %v", old)
	}
}
