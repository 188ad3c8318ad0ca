package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/peer"
	"switchferry/policy"
	"switchferry/store"
	"switchferry/tuning"
)

const sampleJob = `{"name_id":"run-000001","jobclass":"c","owner":"t","shape":"sweep","rank":"normal","parts":1,"cores":1,"cards":0,"ram_gb":1,
 "hulls":null,"berth":null,"together":false,"apart":false,"standby":true,"bundle":"i","size_gb":1,"expect_s":1,"snapshot_s":0,"stow_s":0,"due_s":null}`

// Submissions and status requests are served without a leader that does not answer, before their users give up.
func TestUnresponsiveLeaderDoesNotDelayUsers(t *testing.T) {
	ctx := t.Context()
	var unresponsive atomic.Bool
	controller, clock, state := newFollower(t, &unresponsive, neverAnswer)
	unresponsive.Store(true)
	for index, testCase := range []struct {
		r       peer.Request
		within  time.Duration
		status  int
		patient time.Duration
	}{
		{peer.Request{Verb: VerbSubmit, Body: []byte(sampleJob)}, 200 * time.Millisecond, 201, tuning.AcceptPatience},
		{peer.Request{Verb: VerbStatus, Job: "run-000001"}, 2*time.Second - tuning.StateTimeout, 200, tuning.PollPatience},
	} {
		if testCase.patient > testCase.within {
			t.Errorf("%s waits %v for the leader, its user %v", testCase.r.Verb, testCase.patient, testCase.within)
		}
		got := make(chan peer.Response, 1)
		go func() { got <- controller.Handle(ctx, testCase.r, false) }()
		// Waiting: the timer of hellos, the two ends of patience, what is left of
		// the question before.
		if err := clock.BlockUntilContext(ctx, 3+index); err != nil {
			t.Fatal(err)
		}
		clock.Advance(testCase.patient)
		if response := <-got; response.Status != testCase.status {
			t.Errorf("%s: %d %s, want %d", testCase.r.Verb, response.Status, response.Body, testCase.status)
		}
	}
	if state.Get(store.InboxKey("run-000001")) == nil {
		t.Error("the leader is not told of the job when it goes on")
	}
}

// A leader that has just handed over says so before its next hello does. Requests that were forwarded to it are served
// without it, and their users need not retry.
func TestFormerLeaderIsBypassed(t *testing.T) {
	ctx := t.Context()
	controller, _, state := newFollower(t, new(atomic.Bool), func(context.Context, peer.Request) peer.Response { return peer.RetryLater(notLeading) })
	if response := controller.Handle(ctx, peer.Request{Verb: VerbSubmit, Body: []byte(sampleJob)}, false); response.Status != 201 || state.Get(store.InboxKey("run-000001")) == nil {
		t.Errorf("%d %s", response.Status, response.Body)
	}
	if response := controller.Handle(ctx, peer.Request{Verb: VerbStatus, Job: "run-000001"}, false); response.Status != 200 {
		t.Errorf("%d %s", response.Status, response.Body)
	}
}

// A submission that waits in a busy leader for the limit of writes is not stored beside it as well: that once took twice
// the writes that the leader lacked.
func TestBusyLeaderIsNotBypassed(t *testing.T) {
	ctx := t.Context()
	var unresponsive atomic.Bool
	asked := make(chan struct{})
	controller, clock, state := newFollower(t, &unresponsive, func(ctx context.Context, request peer.Request) peer.Response {
		close(asked)
		return neverAnswer(ctx, request)
	})
	got := make(chan peer.Response, 1)
	before := state.Requests
	go func() { got <- controller.Handle(ctx, peer.Request{Verb: VerbSubmit, Body: []byte(sampleJob)}, false) }()
	// The hello was sent before the request, and is answered before it.
	<-asked
	if err := clock.BlockUntilContext(ctx, 3); err != nil {
		t.Fatal(err)
	}
	for controller.peers.ReceivedCount("n0") < 2 {
		// Its answer is on its way.
	}
	clock.Advance(tuning.AcceptPatience)
	clock.Advance(tuning.PeerTimeout - tuning.AcceptPatience)
	if response := <-got; response.Status != 503 || response.RetryAfterS == 0 || state.Requests != before {
		t.Errorf("%d, again after %d s, %d requests to the state service", response.Status, response.RetryAfterS, state.Requests-before)
	}
}

// A leader that was paused past its term answers from the state service, where its successor has cancelled the job, and
// not from memory.
func TestDeposedLeaderDoesNotAnswerFromMemory(t *testing.T) {
	leader := newLeader(t)
	job := smallJob("run-000001")
	leader.submit(job)
	controller := New(context.Background(), testSettings(), policy.Default(), leader.clock, leader.state)
	controller.term.begin(&leaderTerm{controller: controller, scheduler: leader.Scheduler})
	ask := func() peer.Response {
		return controller.Handle(context.Background(), peer.Request{Verb: VerbStatus, Job: "run-000001"}, false)
	}
	if response := ask(); response.Status != 200 || !strings.Contains(string(response.Body), api.Pending) {
		t.Fatalf("%d %s", response.Status, response.Body)
	}
	if _, err := controller.client.Get(context.Background(), store.LeaderKey); err != nil {
		t.Fatal(err)
	}
	leader.leading = false
	leader.state.Put(store.JobKey("run-000001"), store.JobRecord{Job: *job, FinalState: api.Cancelled})
	if _, ok := leader.JobStatus("run-000001"); ok {
		t.Error("memory answers without a term")
	}
	if response := ask(); response.Status != 200 || !strings.Contains(string(response.Body), api.Cancelled) {
		t.Errorf("%d %s, want what the state service holds", response.Status, response.Body)
	}
}

// Users who ask for unknown jobs again and again do not take the requests that the leader's key and the records need;
// what cannot be read is refused at once.
func TestStatusRequestsLeaveStateServiceCapacity(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state := fake.NewState(clock)
	set := testSettings()
	controller := New(context.Background(), set, policy.Default(), clock, state)
	count := map[int]int{}
	answers := make(chan peer.Response)
	for index := range 1000 {
		go func() {
			answers <- controller.Handle(context.Background(), peer.Request{Verb: VerbStatus, Job: fmt.Sprintf("run-%06d", index%20)}, false)
		}()
	}
	for got := 0; got < 1000; {
		select {
		case response := <-answers:
			got++
			count[response.Status]++
			if response.Status == 503 && response.RetryAfterS == 0 {
				t.Fatal("refused without a word on when to come back")
			}
		case <-time.After(time.Millisecond):
			clock.Advance(10 * time.Millisecond)
		}
	}
	// One controller alone has half of the limit, for the burst and while questions wait; an
	// unknown id takes two reads.
	if most := int(2 * tuning.ReadShare * set.Facts.State.RPS * (1 + 3*tuning.QuestionWait.Seconds())); state.Requests > most || count[404] == 0 || count[404]+count[503] != 1000 {
		t.Errorf("%d requests, want %d at most; answers %v", state.Requests, most, count)
	}
}

// A status that was read before the job was cancelled is not answered after the cancellation was acknowledged, whether
// it was read from the state service or by the leader. The job was once called pending again.
func TestStatusReadBeforeCancellationIsNotAnsweredAfterIt(t *testing.T) {
	poll, cancel := peer.Request{Verb: VerbStatus, Job: "run-000001"}, peer.Request{Verb: VerbCancel, Job: "run-000001"}
	state := func(response peer.Response) string {
		var job api.JobStatus
		if json.Unmarshal(response.Body, &job) != nil || response.Status != 200 {
			return string(response.Body)
		}
		return job.State
	}
	for name, begin := range map[string]func(t *testing.T) (controller *Controller, asked, release chan struct{}){
		"read in the state service": func(t *testing.T) (*Controller, chan struct{}, chan struct{}) {
			clock := clockwork.NewFakeClock()
			stateService := fake.NewState(clock)
			controller := New(t.Context(), testSettings(), policy.Default(), clock, stateService)
			stateService.Put(store.JobKey("run-000001"), store.JobRecord{Job: api.Submission{ID: "run-000001"}})
			held, release := stateService.LateRead(true), make(chan struct{})
			go func() {
				<-release
				held.Answer()
			}()
			return controller, held.Asked, release
		},
		"asked of the leader": func(t *testing.T) (*Controller, chan struct{}, chan struct{}) {
			asked, release := make(chan struct{}), make(chan struct{})
			controller, _, _ := newFollower(t, new(atomic.Bool), func(_ context.Context, request peer.Request) peer.Response {
				if request.Verb == VerbCancel {
					return peer.JSONResponse(200, api.JobStatus{ID: request.Job, State: api.Cancelled})
				}
				response := peer.JSONResponse(200, api.JobStatus{ID: request.Job, State: api.Running, Running: 1})
				close(asked)
				<-release
				return response
			})
			return controller, asked, release
		},
	} {
		t.Run(name, func(t *testing.T) {
			ctx := t.Context()
			controller, asked, release := begin(t)
			got := make(chan peer.Response, 1)
			go func() { got <- controller.Handle(ctx, poll, false) }()
			<-asked
			if response := controller.Handle(ctx, cancel, false); state(response) != api.Cancelled {
				t.Fatalf("the cancellation is answered %d %s", response.Status, response.Body)
			}
			close(release)
			if response := <-got; state(response) != api.Cancelled {
				t.Errorf("then the poll is answered %d %s", response.Status, response.Body)
			}
		})
	}
}
