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

// newAgentFollower returns a controller with datasets on that does not reach the leader x, which has the term that is returned.
func newAgentFollower(t *testing.T) (y *Controller, leader *testLeader) {
	t.Helper()
	leader = newLeader(t)
	set := &settings.Settings{Member: "y", Peers: []settings.Peer{{Member: "x", Address: "127.0.0.1:1"}}}
	set.Facts.State = settings.State{RPS: 800, WriteRPS: 250, ValueKB: 16, TxnOps: 12}
	y = New(context.Background(), set, policy.Default(), leader.clock, leader.state)
	y.Enable(&features.Features{Data: features.Data{On: true}})
	if y.elector.Campaign(context.Background()) {
		t.Fatal("two leaders")
	}
	return y, leader
}

// An agent that reports to a controller which does not reach the leader is answered by the proxy, with the token of the
// leader's term, and its heartbeat goes to the state service.
func TestAgentHeartbeatsAreRelayedPastAnUnreachableLeader(t *testing.T) {
	y, leader := newAgentFollower(t)
	status, body := y.HandleStageHeartbeat(context.Background(), &api.StageHeartbeat{Machine: "a1", Address: "a:1", Incarnation: 1, Seq: 1}, nil)
	if _, ok := body.(api.StageOrder); status != 200 || !ok {
		t.Fatalf("answered %d %+v", status, body)
	}
	if leader.state.Under(store.AgentRelayPrefix) != 0 {
		t.Fatal("relayed before it was written")
	}
	for y.agents.proxy.Exchange.Write(context.Background()) {
	}
	if leader.state.Under(store.AgentRelayPrefix) == 0 {
		t.Error("the heartbeat is not relayed")
	}
}

// A controller that reaches neither leader nor state service keeps no agent waiting.
func TestAgentHeartbeatIsRefusedWithoutStateService(t *testing.T) {
	y, leader := newAgentFollower(t)
	leader.state.Down = true
	leader.clock.Advance(time.Second)
	_, _ = y.client.Get(context.Background(), "k")
	if status, _ := y.HandleStageHeartbeat(context.Background(), &api.StageHeartbeat{Machine: "a1", Address: "a:1", Incarnation: 1, Seq: 1}, nil); status != 503 {
		t.Error(status)
	}
}
