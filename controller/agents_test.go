package controller

import (
	"context"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/features"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/store"
)

// Without a leader, an agent's heartbeat is refused at once.
func TestAgentHeartbeatIsRefusedWithoutLeader(t *testing.T) {
	controller, _ := newDataController(true)
	if status, _ := controller.HandleStageHeartbeat(context.Background(), &api.StageHeartbeat{Machine: "n-1", Address: "a:1", Incarnation: 1}, nil); status != 503 {
		t.Errorf("heartbeat: status %d, want 503", status)
	}
	if response := controller.sendRequest(VerbData, ""); response.Status != 503 || response.RetryAfterS == 0 {
		t.Errorf("list of datasets: status %d, want 503 with a retry time", response.Status)
	}
}

// newAgentFollower returns a controller y with datasets on, and the leader x, which y does not reach.
func newAgentFollower(t *testing.T) (follower *Controller, leader *testLeader) {
	t.Helper()
	leader = newLeader(t)
	set := &settings.Settings{Member: "y", Peers: []settings.Peer{{Member: "x", Address: "127.0.0.1:1"}}}
	set.Facts.State = settings.StateLimits{RPS: 800, WriteRPS: 250, ValueKB: 16, TxnOps: 12}
	follower = New(context.Background(), set, policy.Default(), leader.clock, leader.state)
	follower.Enable(&features.Features{Data: features.Data{On: true}})
	if follower.elector.Campaign(context.Background()) {
		t.Fatal("two leaders")
	}
	return follower, leader
}

// An agent that sends its heartbeats to a controller which does not reach the leader gets a response from the proxy,
// and its heartbeat is relayed through the state service.
func TestAgentHeartbeatsAreRelayedWhenLeaderIsUnreachable(t *testing.T) {
	follower, leader := newAgentFollower(t)
	status, body := follower.HandleStageHeartbeat(context.Background(), &api.StageHeartbeat{Machine: "a1", Address: "a:1", Incarnation: 1, Seq: 1}, nil)
	if _, ok := body.(api.StageOrder); status != 200 || !ok {
		t.Fatalf("answered %d %+v", status, body)
	}
	if leader.state.CountPrefix(store.AgentRelayPrefix) != 0 {
		t.Fatal("the heartbeat is stored before the exchange writes it")
	}
	for follower.agents.proxy.Exchange.Write(context.Background()) {
	}
	if leader.state.CountPrefix(store.AgentRelayPrefix) == 0 {
		t.Error("the heartbeat is not stored for the leader")
	}
}

// A controller that reaches neither the leader nor the state service refuses agents' heartbeats at once.
func TestAgentHeartbeatIsRefusedWithoutStateService(t *testing.T) {
	follower, leader := newAgentFollower(t)
	leader.state.Down = true
	leader.clock.Advance(time.Second)
	_, _ = follower.client.Get(context.Background(), "k")
	if status, _ := follower.HandleStageHeartbeat(context.Background(), &api.StageHeartbeat{Machine: "a1", Address: "a:1", Incarnation: 1, Seq: 1}, nil); status != 503 {
		t.Errorf("status %d, want 503", status)
	}
}
