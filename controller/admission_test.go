package controller

import (
	"context"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/peer"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/store"
)

// A job that is accepted while one of its dependencies is being cancelled is cancelled too, regardless of which record
// is written first and of whether the leader or another controller accepts the job.
func TestConcurrentAcceptAndDependencyCancellationCancelsJob(t *testing.T) {
	for _, first := range []string{"accept", "cancel"} {
		for _, withoutLeader := range []bool{false, true} {
			leader := newLeader(t)
			leader.submit(smallJob("run-000001"))
			submission := *smallJob("run-000002")
			submission.Awaits = []string{"run-000001"}
			accept := func() {
				if withoutLeader {
					leader.otherController().submissions.SubmitWithoutLeader(context.Background(), &submission, nil)
				} else {
					leader.Submit(cancelledContext(), &submission, leader.clock.Now())
				}
			}
			if first == "accept" {
				accept()
			}
			leader.Cancel(cancelledContext(), "run-000001")
			if first == "cancel" {
				if withoutLeader {
					leader.commit()
				}
				accept()
			}
			leader.commit()
			if withoutLeader {
				item, err := leader.otherController().client.Get(context.Background(), store.JobKey("run-000002"))
				if err != nil {
					t.Fatal(err)
				}
				leader.committer.SetRevision(item.Key, item.Revision)
				leader.Conflict(item.Key, &item)
			}
			if state := leader.status("run-000002"); state != api.Cancelled {
				t.Errorf("%s first, without leader %v: %q", first, withoutLeader, state)
			}
			job, _, err := leader.otherController().jobs.LookUp(context.Background(), nil, "run-000002", true)
			if err != nil || job.State != api.Cancelled {
				t.Errorf("%s first, without leader %v, from the records: %v %v", first, withoutLeader, job, err)
			}
			leader.Place()
			leader.commit()
			if leader.starts("run-000002/0") > 0 {
				t.Error("the dependent job started")
			}
		}
	}
}

// A submission with a known job id is never answered with 400, 404 or 422, whatever the body of the retry. An invalid
// submission with an unknown id is refused at once.
func TestKnownJobIsNeverRefused(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state := fake.NewState(clock)
	controller := New(context.Background(), testSettings(), policy.Default(), clock, state)
	controller.catalog.types = testTypes
	submit := func(body string) int {
		return controller.serveJobRequest(context.Background(), nil, peer.Request{Verb: VerbSubmit, Body: []byte(body)}).Status
	}
	invalidBody := `{"name_id":"run-000001","parts":-4}`
	if got := submit(invalidBody); got != 400 {
		t.Errorf("unknown id: status %d, want 400", got)
	}
	state.Put(store.JobKey("run-000001"), store.JobRecord{Job: api.Submission{ID: "run-000001", Tasks: 1}})
	if got := submit(invalidBody); got != 200 {
		t.Errorf("known id: status %d, want 200", got)
	}
	state.Put(store.FinalKey("run-000002"), store.FinalRecord{State: api.Done, Tasks: 3})
	if got := submit(`{"name_id":"run-000002"}`); got != 200 {
		t.Errorf("id of a job in a terminal state: status %d, want 200", got)
	}
	state.Down = true
	if got := submit(`{"name_id":"run-000003"}`); got != 503 {
		t.Errorf("unknown id in an outage of the state service: status %d, want 503", got)
	}
}

// A job whose record exceeds the value size limit of the state service is refused at once with the reason. Its record
// could never be written, and its user would retry forever.
func TestJobTooLargeToStoreIsRefused(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state := fake.NewState(clock)
	set := testSettings()
	set.Facts.Teams = []settings.Team{{Name: "team"}}
	controller := New(context.Background(), set, policy.Default(), clock, state)
	controller.catalog.types = testTypes
	body := submissionBody("run-000001", 4, `,"x":1`)
	long := strings.Replace(body, `"bundle":"img"`, `"bundle":"`+strings.Repeat("i", 17<<10)+`"`, 1)
	if response := controller.Handle(context.Background(), peer.Request{Verb: VerbSubmit, Body: []byte(long)}, false); response.Status != 400 || !strings.Contains(string(response.Body), "at most 16384") {
		t.Errorf("a job that is too large: %d %.200s", response.Status, response.Body)
	}
	if response := controller.Handle(context.Background(), peer.Request{Verb: VerbSubmit, Body: []byte(body)}, false); response.Status != 201 {
		t.Errorf("a job that can be stored: %d %s", response.Status, response.Body)
	}
}
