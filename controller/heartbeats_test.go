package controller

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/policy"
	"switchferry/scheduler"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
)

// A duplicate heartbeat does not count as evidence that workers reach a follower, and is not relayed. The response to
// it neither renews the lease nor redirects the worker.
func TestDuplicateHeartbeatsAreIgnoredByFollower(t *testing.T) {
	controller, clock := newIsolatedController()
	term := uint64(9)
	heartbeat := api.Heartbeat{Machine: "b1", Zone: "b", Incarnation: 2, Seq: 10, Term: term}
	controller.HandleHeartbeat(context.Background(), &heartbeat, nil)
	heartbeat.Seq = 11
	clock.Advance(settings.Seconds(2 * tuning.RecentHeartbeatIntervals * controller.settings.Facts.Workers.HeartbeatIntervalS))
	duplicate := heartbeat
	duplicate.Seq = 10
	status, body := controller.HandleHeartbeat(context.Background(), &duplicate, nil)
	if response, ok := body.(api.HeartbeatResponse); !ok || status != http.StatusOK || response.Term != 0 {
		t.Errorf("a duplicate was answered %d %+v", status, body)
	}
	if controller.heartbeats.receivesHeartbeats() {
		t.Error("a duplicate counts as evidence that workers reach this controller")
	}
}

// A worker that reports a fencing token that was never issued does not end the term: while the leader's key is
// certainly valid, the heartbeat is refused. Such a worker used to end every term.
func TestUnissuedFencingTokenDoesNotEndTerm(t *testing.T) {
	controller, _ := newIsolatedController()
	valid := true
	sched := scheduler.New(7, controller.clock, controller.settings, controller.policy, testTypes, testCollaborators(func() bool { return valid }))
	heartbeat := &api.Heartbeat{Machine: "a1", Zone: "a", Incarnation: 1, Seq: 1, Term: 1<<64 - 1}
	if answer := controller.answerAsLeader(sched, heartbeat, ""); answer.status != http.StatusBadRequest {
		t.Errorf("a heartbeat with a token that was never issued: status %d, want 400", answer.status)
	}
	valid = false
	if !controller.resignIfDeposed(sched) {
		t.Error("a leader whose key may have expired does not resign on a higher token")
	}
}

// A controller that reaches neither the state service nor a peer redirects a worker to the previous controller. A
// worker that returns has got no response there and is not redirected again; otherwise it would lose its lease while
// trying unreachable controllers in turn.
func TestIsolatedControllerKeepsReturningWorkers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state := fake.NewState(clock)
	set := &settings.Settings{Member: "n1", Zone: "b", Peers: []settings.Peer{{Member: "n0", Zone: "a", Address: "127.0.0.1:1"}, {Member: "n2", Zone: "a", Address: "127.0.0.1:1"}}}
	set.Facts.Workers = settings.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 40}
	controller := New(context.Background(), set, policy.Default(), clock, state)
	state.Put(store.LeaderKey, store.LeaderRecord{Member: "n2"})
	if controller.elector.Campaign(context.Background()) {
		t.Fatal("two leaders")
	}
	_, term := controller.elector.Leader()
	controller.leases.watermark.MarkCurrent(clock.Now())
	state.Down = true
	clock.Advance(time.Second)
	controller.jobs.AnswerStatus(context.Background(), nil, "run-1", true)
	heartbeat := &api.Heartbeat{Machine: "b1", Zone: "b", Incarnation: 1, Seq: 1, Term: term}
	status, body := controller.HandleHeartbeat(context.Background(), heartbeat, nil)
	if status != 421 || body.(api.Redirect).Controller != "n0" {
		t.Fatalf("first heartbeat: %d %+v", status, body)
	}
	clock.Advance(6 * time.Second)
	heartbeat.Seq++
	status, body = controller.HandleHeartbeat(context.Background(), heartbeat, nil)
	if response, ok := body.(api.HeartbeatResponse); status != 200 || !ok || response.Term != term || len(response.Commands) != 0 {
		t.Errorf("heartbeat of a worker that returned: %d %+v", status, body)
	}
}

// While the leader is unreachable, and between two leaders, a follower answers a worker whose token the leader has raised
// under that token, so that the lease is renewed.
func TestFollowerRenewsLeaseUnderRaisedToken(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state := fake.NewState(clock)
	set := &settings.Settings{Member: "n1", Zone: "b", Peers: []settings.Peer{{Member: "n0", Zone: "a", Address: "127.0.0.1:1"}}}
	set.Facts.Workers = settings.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 40}
	controller := New(context.Background(), set, policy.Default(), clock, state)
	term := state.Put(store.LeaderKey, store.LeaderRecord{Member: "n0"})
	if controller.elector.Campaign(context.Background()) {
		t.Fatal("two leaders")
	}
	controller.leases.watermark.MarkCurrent(clock.Now())
	raised := term + 5
	heartbeat := &api.Heartbeat{Machine: "b1", Zone: "b", Incarnation: 2, Seq: 10, Term: raised}
	clock.Advance(time.Second)
	controller.health.recordResponse(false)
	answers := map[string]answer{
		"unreachable leader": controller.answerForUnreachableLeader(heartbeat, term, controller.workerProxy.HandleHeartbeat),
		"no leader":          controller.answerWithoutLeader(heartbeat),
	}
	for when, got := range answers {
		if response, ok := got.body.(api.HeartbeatResponse); !ok || got.status != http.StatusOK || response.Term != raised || len(response.Commands) != 0 {
			t.Errorf("%s: %d %+v", when, got.status, got.body)
		}
	}
	required := raised + 5
	controller.leases.watermark.RequireToken(required)
	heartbeat.Seq++
	answers = map[string]answer{
		"unreachable leader": controller.answerForUnreachableLeader(heartbeat, term, controller.workerProxy.HandleHeartbeat),
		"no leader":          controller.answerWithoutLeader(heartbeat),
	}
	for when, got := range answers {
		if response, ok := got.body.(api.HeartbeatResponse); !ok || got.status != http.StatusOK || response.Term != required {
			t.Errorf("%s, with token %d required: %d %+v", when, required, got.status, got.body)
		}
	}
}
