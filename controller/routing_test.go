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

// If the leader does not respond, submissions and status requests are served without it before their users time out.
func TestUnresponsiveLeaderDoesNotDelayUsers(t *testing.T) {
	ctx := t.Context()
	var unresponsive atomic.Bool
	controller, clock, state := newFollower(t, &unresponsive, neverAnswer)
	unresponsive.Store(true)
	for index, testCase := range []struct {
		request     peer.Request
		userTimeout time.Duration
		status      int
		timeout     time.Duration
	}{
		{peer.Request{Verb: VerbSubmit, Body: []byte(sampleJob)}, 200 * time.Millisecond, 201, tuning.SubmitPeerTimeout},
		{peer.Request{Verb: VerbStatus, Job: "run-000001"}, 2*time.Second - tuning.StateTimeout, 200, tuning.StatusPeerTimeout},
	} {
		if testCase.timeout > testCase.userTimeout {
			t.Errorf("%s waits %v for the leader, which exceeds its user's timeout of %v", testCase.request.Verb, testCase.timeout, testCase.userTimeout)
		}
		got := make(chan peer.Response, 1)
		go func() { got <- controller.Handle(ctx, testCase.request, false) }()
		// The waiting timers are the hello timer, the two timeouts of the forwarded request and, in the second round, one
		// that is left from the first request.
		if err := clock.BlockUntilContext(ctx, 3+index); err != nil {
			t.Fatal(err)
		}
		clock.Advance(testCase.timeout)
		if response := <-got; response.Status != testCase.status {
			t.Errorf("%s: %d %s, want %d", testCase.request.Verb, response.Status, response.Body, testCase.status)
		}
	}
	if state.Get(store.InboxKey("run-000001")) == nil {
		t.Error("there is no inbox entry from which the leader learns of the job")
	}
}

// A leader that has just lost its term refuses forwarded requests before its next hello reports the loss. These
// requests are served without it, and their users need not retry.
func TestFormerLeaderIsBypassed(t *testing.T) {
	ctx := t.Context()
	controller, _, state := newFollower(t, new(atomic.Bool), func(context.Context, peer.Request) peer.Response { return peer.RetryLater(notLeading) })
	if response := controller.Handle(ctx, peer.Request{Verb: VerbSubmit, Body: []byte(sampleJob)}, false); response.Status != 201 || state.Get(store.InboxKey("run-000001")) == nil {
		t.Errorf("submission: %d %s", response.Status, response.Body)
	}
	if response := controller.Handle(ctx, peer.Request{Verb: VerbStatus, Job: "run-000001"}, false); response.Status != 200 {
		t.Errorf("status request: %d %s", response.Status, response.Body)
	}
}

// A submission that waits in a busy leader because of the write limit is not also stored by the follower: that would
// double the writes while the write limit is already used up.
func TestBusyLeaderIsNotBypassed(t *testing.T) {
	ctx := t.Context()
	var unresponsive atomic.Bool
	received := make(chan struct{})
	controller, clock, state := newFollower(t, &unresponsive, func(ctx context.Context, request peer.Request) peer.Response {
		close(received)
		return neverAnswer(ctx, request)
	})
	got := make(chan peer.Response, 1)
	before := state.Requests
	go func() { got <- controller.Handle(ctx, peer.Request{Verb: VerbSubmit, Body: []byte(sampleJob)}, false) }()
	// The hello was sent before the request and is answered before it.
	<-received
	if err := clock.BlockUntilContext(ctx, 3); err != nil {
		t.Fatal(err)
	}
	for controller.peers.ReceivedFrames("n0") < 2 {
		// Wait for the response to the hello.
	}
	clock.Advance(tuning.SubmitPeerTimeout)
	clock.Advance(tuning.PeerTimeout - tuning.SubmitPeerTimeout)
	if response := <-got; response.Status != 503 || response.RetryAfterS == 0 || state.Requests != before {
		t.Errorf("status %d, retry after %d s, %d requests to the state service", response.Status, response.RetryAfterS, state.Requests-before)
	}
}

// A leader that was paused beyond the end of its term answers from the state service, where its successor has cancelled
// the job, and not from memory.
func TestDeposedLeaderDoesNotAnswerFromMemory(t *testing.T) {
	leader := newLeader(t)
	job := smallJob("run-000001")
	leader.submit(job)
	controller := New(context.Background(), testSettings(), policy.Default(), leader.clock, leader.state)
	controller.term.begin(&leaderTerm{controller: controller, scheduler: leader.Scheduler})
	requestStatus := func() peer.Response {
		return controller.Handle(context.Background(), peer.Request{Verb: VerbStatus, Job: "run-000001"}, false)
	}
	if response := requestStatus(); response.Status != 200 || !strings.Contains(string(response.Body), api.Pending) {
		t.Fatalf("%d %s", response.Status, response.Body)
	}
	if _, err := controller.client.Get(context.Background(), store.LeaderKey); err != nil {
		t.Fatal(err)
	}
	leader.leading = false
	leader.state.Put(store.JobKey("run-000001"), store.JobRecord{Job: *job, FinalState: api.Cancelled})
	if _, ok := leader.JobStatus("run-000001"); ok {
		t.Error("the scheduler answers from memory without leading")
	}
	if response := requestStatus(); response.Status != 200 || !strings.Contains(string(response.Body), api.Cancelled) {
		t.Errorf("%d %s, want the state in the state service", response.Status, response.Body)
	}
}

// Repeated status requests for unknown jobs do not use up the state service requests that are needed for the leader's
// key and for records. Requests that exceed the read limit are refused with a retry time.
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
	for received := 0; received < 1000; {
		select {
		case response := <-answers:
			received++
			count[response.Status]++
			if response.Status == 503 && response.RetryAfterS == 0 {
				t.Fatal("refused without a retry time")
			}
		case <-time.After(time.Millisecond):
			clock.Advance(10 * time.Millisecond)
		}
	}
	// A single controller has all of the read share, which is half of the request limit, for the burst and while requests
	// wait. An unknown id takes two reads.
	if limit := int(2 * tuning.ReadShare * set.Facts.State.RPS * (1 + 3*tuning.StatusQueueTimeout.Seconds())); state.Requests > limit || count[404] == 0 || count[404]+count[503] != 1000 {
		t.Errorf("%d requests, want %d at most; answers %v", state.Requests, limit, count)
	}
}

// A status that was read before the job was cancelled is not sent after the cancellation was acknowledged, whether it
// was read from the state service or returned by the leader. Such a job used to be reported as pending again.
func TestStatusReadBeforeCancellationIsNotAnsweredAfterIt(t *testing.T) {
	statusRequest, cancel := peer.Request{Verb: VerbStatus, Job: "run-000001"}, peer.Request{Verb: VerbCancel, Job: "run-000001"}
	state := func(response peer.Response) string {
		var job api.JobStatus
		if json.Unmarshal(response.Body, &job) != nil || response.Status != 200 {
			return string(response.Body)
		}
		return job.State
	}
	for name, begin := range map[string]func(t *testing.T) (controller *Controller, received, release chan struct{}){
		"read from the state service": func(t *testing.T) (*Controller, chan struct{}, chan struct{}) {
			clock := clockwork.NewFakeClock()
			stateService := fake.NewState(clock)
			controller := New(t.Context(), testSettings(), policy.Default(), clock, stateService)
			stateService.Put(store.JobKey("run-000001"), store.JobRecord{Job: api.Submission{ID: "run-000001"}})
			held, release := stateService.DelayNextRead(true), make(chan struct{})
			go func() {
				<-release
				held.Release()
			}()
			return controller, held.Received, release
		},
		"forwarded to the leader": func(t *testing.T) (*Controller, chan struct{}, chan struct{}) {
			received, release := make(chan struct{}), make(chan struct{})
			controller, _, _ := newFollower(t, new(atomic.Bool), func(_ context.Context, request peer.Request) peer.Response {
				if request.Verb == VerbCancel {
					return peer.JSONResponse(200, api.JobStatus{ID: request.Job, State: api.Cancelled})
				}
				response := peer.JSONResponse(200, api.JobStatus{ID: request.Job, State: api.Running, Running: 1})
				close(received)
				<-release
				return response
			})
			return controller, received, release
		},
	} {
		t.Run(name, func(t *testing.T) {
			ctx := t.Context()
			controller, received, release := begin(t)
			got := make(chan peer.Response, 1)
			go func() { got <- controller.Handle(ctx, statusRequest, false) }()
			<-received
			if response := controller.Handle(ctx, cancel, false); state(response) != api.Cancelled {
				t.Fatalf("cancellation answered %d %s", response.Status, response.Body)
			}
			close(release)
			if response := <-got; state(response) != api.Cancelled {
				t.Errorf("status request that ends after the cancellation answered %d %s", response.Status, response.Body)
			}
		})
	}
}
