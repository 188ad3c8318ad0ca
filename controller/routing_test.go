package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/peer"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
)

const sampleJob = `{"name_id":"run-000001","jobclass":"c","owner":"t","shape":"sweep","rank":"normal","parts":1,"cores":1,"cards":0,"ram_gb":1,
 "hulls":null,"berth":null,"together":false,"apart":false,"standby":true,"bundle":"i","size_gb":1,"expect_s":1,"snapshot_s":0,"stow_s":0,"due_s":null}`

// newFollower is a controller that has greeted its leader n0. The leader falls silent once
// mute is set: connections stand, and nothing is answered.
func newFollower(t *testing.T, ctx context.Context, unresponsive *atomic.Bool, handle peer.Handler) (*Controller, *clockwork.FakeClock, *fake.State) {
	clock := clockwork.NewFakeClock()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	leader := peer.New(nil, clock, func() peer.Hello {
		if unresponsive.Load() {
			<-ctx.Done()
		}
		return peer.Hello{Member: "n0", Term: 5, StateOK: true}
	}, handle)
	go func() { _ = leader.Serve(ctx, l) }()
	set := testSettings()
	set.Facts.Teams = []settings.Team{{Name: "t"}}
	set.Peers = []settings.Peer{{Member: "n0", Address: l.Addr().String()}}
	state := fake.NewState(clock)
	controller := New(ctx, set, policy.Default(), clock, state)
	controller.catalog.types = testTypes
	controller.peers.Run(ctx)
	for !controller.peers.Reachable("n0") {
		// The greeting is on its way.
	}
	return controller, clock, state
}

// neverAnswer does not answer a request before its context ends.
func neverAnswer(ctx context.Context, _ peer.Request) peer.Response {
	<-ctx.Done()
	return peer.Response{}
}

// A leader that fell silent held submissions and questions back until their users had
// given up: they are served without it, in time.
func TestUnresponsiveLeaderDoesNotDelayUsers(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var unresponsive atomic.Bool
	controller, clock, state := newFollower(t, ctx, &unresponsive, neverAnswer)
	unresponsive.Store(true)
	for i, c := range []struct {
		r       peer.Request
		within  time.Duration
		status  int
		patient time.Duration
	}{
		{peer.Request{Verb: VerbSubmit, Body: []byte(sampleJob)}, 200 * time.Millisecond, 201, tuning.AcceptPatience},
		{peer.Request{Verb: VerbStatus, Job: "run-000001"}, 2*time.Second - tuning.StateTimeout, 200, tuning.PollPatience},
	} {
		if c.patient > c.within {
			t.Errorf("%s waits %v for the leader, its user %v", c.r.Verb, c.patient, c.within)
		}
		got := make(chan peer.Response, 1)
		go func() { got <- controller.Handle(ctx, c.r, false) }()
		// Waiting: the greetings' pace, the two ends of patience, what is left of
		// the question before.
		if err := clock.BlockUntilContext(ctx, 3+i); err != nil {
			t.Fatal(err)
		}
		clock.Advance(c.patient)
		if response := <-got; response.Status != c.status {
			t.Errorf("%s: %d %s, want %d", c.r.Verb, response.Status, response.Body, c.status)
		}
	}
	if state.Get(store.InboxKey("run-000001")) == nil {
		t.Error("the leader is not told of the job when it goes on")
	}
}

// A leader that has just handed over says so, before its next greeting does: what it was asked
// is served without it, and its users are not sent away.
func TestFormerLeaderIsBypassed(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	controller, _, state := newFollower(t, ctx, new(atomic.Bool), func(context.Context, peer.Request) peer.Response { return peer.RetryLater(notLeading) })
	if response := controller.Handle(ctx, peer.Request{Verb: VerbSubmit, Body: []byte(sampleJob)}, false); response.Status != 201 || state.Get(store.InboxKey("run-000001")) == nil {
		t.Errorf("%d %s", response.Status, response.Body)
	}
	if response := controller.Handle(ctx, peer.Request{Verb: VerbStatus, Job: "run-000001"}, false); response.Status != 200 {
		t.Errorf("%d %s", response.Status, response.Body)
	}
}

// A leader that is only busy, with more submissions than the limit of writes allows, had
// each of them stored beside it as well, which took twice the writes that it lacked.
func TestBusyLeaderIsNotBypassed(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var unresponsive atomic.Bool
	asked := make(chan struct{})
	controller, clock, state := newFollower(t, ctx, &unresponsive, func(ctx context.Context, request peer.Request) peer.Response {
		close(asked)
		return neverAnswer(ctx, request)
	})
	got := make(chan peer.Response, 1)
	before := state.Requests
	go func() { got <- controller.Handle(ctx, peer.Request{Verb: VerbSubmit, Body: []byte(sampleJob)}, false) }()
	// The greeting went before the question, and is answered in its place.
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

// A leader that stood still past its term answers from the state service, where its
// successor has cancelled the job, and not from its memory.
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

// Users who ask for jobs that nobody knows, again and again, do not take the requests
// that renewals and records need; what cannot be read is refused at once.
func TestStatusRequestsLeaveStateServiceCapacity(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state := fake.NewState(clock)
	set := testSettings()
	controller := New(context.Background(), set, policy.Default(), clock, state)
	count := map[int]int{}
	answers := make(chan peer.Response)
	for i := range 1000 {
		go func() {
			answers <- controller.Handle(context.Background(), peer.Request{Verb: VerbStatus, Job: fmt.Sprintf("run-%06d", i%20)}, false)
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

// A leader that stood still between deciding to return a machine and doing so may no
// longer lead, and the machine may be at work for another: nothing is returned.
func TestNoMachineIsReleasedAfterTheTerm(t *testing.T) {
	leader := newLeader(t)
	leader.heartbeat("a1")
	controller := New(context.Background(), testSettings(), policy.Default(), leader.clock, leader.state)
	// The leader decides to return the machine, which has had nothing to do for an hour.
	var release []string
	for i := 0; i < 3600 && len(release) == 0; i++ {
		leader.clock.Advance(time.Second)
		leader.heartbeat("a1")
		release = leader.MaintainFleet()
	}
	if !slices.Equal(release, []string{"a1"}) {
		t.Fatalf("to be returned: %v", release)
	}
	leader.submit(smallJob("run-000001"))
	leader.heartbeat("a1")
	leader.Place()
	leader.commit()
	if leader.starts("run-000001/0") != 0 {
		t.Fatal("a task starts on a machine that is being returned")
	}
	leader.leading = false
	before := leader.state.Requests
	(&leaderTerm{controller: controller, scheduler: leader.Scheduler}).releaseMachines(context.Background(), release)
	if leader.state.Requests != before {
		t.Error("the cloud was asked to take the machine back")
	}
	leader.leading = true
	leader.heartbeat("a1")
	leader.Place()
	leader.commit()
	if leader.starts("run-000001/0") != 1 {
		t.Error("the machine counts as returned")
	}
}

// A poll was read before its job was cancelled, and is answered after its user was told that: by whichever way it
// came, the cancellation stands. The job was called pending again.
func TestStatusReadBeforeCancellationIsNotAnsweredAfterIt(t *testing.T) {
	poll, cancel := peer.Request{Verb: VerbStatus, Job: "run-000001"}, peer.Request{Verb: VerbCancel, Job: "run-000001"}
	state := func(response peer.Response) string {
		var job api.JobStatus
		if json.Unmarshal(response.Body, &job) != nil || response.Status != 200 {
			return string(response.Body)
		}
		return job.State
	}
	for name, begin := range map[string]func(t *testing.T, ctx context.Context) (controller *Controller, asked, release chan struct{}){
		"read in the state service": func(t *testing.T, ctx context.Context) (*Controller, chan struct{}, chan struct{}) {
			clock := clockwork.NewFakeClock()
			stateService := fake.NewState(clock)
			controller := New(ctx, testSettings(), policy.Default(), clock, stateService)
			stateService.Put(store.JobKey("run-000001"), store.JobRecord{Job: api.Submission{ID: "run-000001"}})
			l, release := stateService.LateRead(true), make(chan struct{})
			go func() {
				<-release
				l.Answer()
			}()
			return controller, l.Asked, release
		},
		"asked of the leader": func(t *testing.T, ctx context.Context) (*Controller, chan struct{}, chan struct{}) {
			asked, release := make(chan struct{}), make(chan struct{})
			controller, _, _ := newFollower(t, ctx, new(atomic.Bool), func(_ context.Context, request peer.Request) peer.Response {
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
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			controller, asked, release := begin(t, ctx)
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
