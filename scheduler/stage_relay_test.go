package scheduler

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/features"
	"switchferry/internal/fake"
	"switchferry/relay/exchange"
	"switchferry/relay/proxy"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
)

// partitionHarness is a leader and a peer y that cannot reach each other. Agents send their heartbeats to y's proxy,
// and all messages are relayed through the state service, whose limits are enforced.
type partitionHarness struct {
	*dataHarness
	proxy   *proxy.Agents
	packets *packetCarrier
}

func newPartitionHarness(t *testing.T) *partitionHarness {
	h := &partitionHarness{dataHarness: newDataHarness(t, features.PlacementStaged)}
	h.state.SetLimits(fake.Limits{RPS: 800, WriteRPS: 250, ValueKB: 16, TxnOps: 12})
	limits := settings.StateLimits{RPS: 800, WriteRPS: 250, ValueKB: 16, TxnOps: 12}
	h.proxy = proxy.NewAgents(proxy.Options{Member: "y", Client: h.client(), Clock: h.clock, WriteLimiter: exchange.NewWriteLimiter(limits), StateLimits: limits})
	h.packets = &packetCarrier{harness: h.harness, exchange: h.proxy.Exchange, prefix: store.AgentRelayPrefix}
	h.readPacketsOfCurrentTerm()
	return h
}

// readPacketsOfCurrentTerm makes the harness read relayed packets from the start of the current term.
func (h *partitionHarness) readPacketsOfCurrentTerm() { h.packets.after = h.term }

// agentHeartbeatThroughPeer sends an agent's heartbeat to y and applies the order in the response.
func (h *partitionHarness) agentHeartbeatThroughPeer(agent *fakeAgent) api.StageOrder {
	h.Helper()
	agent.seq++
	r := agent.heartbeat()
	o, err := h.proxy.HandleHeartbeat(r, h.term)
	if err != nil {
		h.Fatalf("heartbeat of %s failed: %v", agent.name, err)
	}
	agent.apply(o)
	return o
}

// exchangePackets carries packets once to the leader and once back, with a placement round in between.
func (h *partitionHarness) exchangePackets() {
	h.Helper()
	h.clock.Advance(tuning.RelayInterval)
	h.packets.toLeader(h.AcceptAgentMessage)
	h.Place()
	h.commit()
	h.packets.toFollower()
}

// Checks that inputs are staged and tasks start during a network partition, with agent heartbeats and orders relayed
// through the state service. When agents sent heartbeats only to the leader, no task with inputs started until the
// partition ended.
func TestInputsAreStagedAcrossPartition(t *testing.T) {
	h := newPartitionHarness(t)
	h.workerHeartbeat("a1")
	agent := &fakeAgent{name: "a1", heldParts: roaring.New()}
	h.agentHeartbeatThroughPeer(agent)
	h.exchangePackets()
	h.submit("run-000001", 2, withInputs(api.UseOwnPart))
	h.exchangePackets()
	h.agentHeartbeatThroughPeer(agent)
	if got := agent.orderedCopies(); !slices.Equal(got, []int{0, 1}) {
		t.Fatalf("copies ordered: %v", got)
	}
	agent.finishCopies()
	if h.exchangePackets(); len(h.starts("run-000001/0")) != 0 {
		t.Fatal("a task was started before its inputs were confirmed")
	}
	h.workerHeartbeat("a1")
	h.agentHeartbeatThroughPeer(agent)
	h.exchangePackets()
	if len(h.starts("run-000001/0")) != 1 || len(h.starts("run-000001/1")) != 1 {
		t.Fatal("a task did not start although its inputs are staged")
	}
	// An outdated heartbeat must be ignored.
	outdated := agent.heartbeat()
	outdated.Seq, outdated.Pinned = 1, nil
	h.HandleRelayedStageHeartbeat("y", outdated)
	if !h.datasets.planner.Confirmed("a1", inventory, 0) {
		t.Error("an outdated heartbeat revoked the confirmation of an input")
	}
	// Once the agent reaches the leader directly, its orders are no longer relayed.
	h.agentHeartbeat(agent)
	h.commit()
	if h.datasets.relayedOrders["a1"] != nil || len(h.datasets.orderMailboxes.Machines("y", 0)) != 0 {
		t.Error("orders are still relayed to an agent that reaches the leader directly")
	}
}

// Checks a failover during a network partition: the peer no longer returns the old leader's order, the new leader learns
// what the agent holds, and the inputs of tasks that may be running stay pinned.
func TestFailoverDuringRelayedStaging(t *testing.T) {
	h := newPartitionHarness(t)
	h.workerHeartbeat("a1")
	agent := &fakeAgent{name: "a1", heldParts: roaring.BitmapOf(0), version: 3}
	h.agentHeartbeatThroughPeer(agent)
	h.submit("run-000001", 1, withInputs(api.UseOwnPart))
	for range 3 {
		h.exchangePackets()
		h.agentHeartbeatThroughPeer(agent)
	}
	h.exchangePackets()
	starts := h.starts("run-000001/0")
	if len(starts) != 1 || !agent.mustKeep(0) || agent.knownVersion != 3 {
		t.Fatalf("%d starts, order %+v, known version %d, want 1 start, part 0 pinned and version 3", len(starts), agent.sets, agent.knownVersion)
	}
	oldTerm := h.term
	h.reelect()
	h.readPacketsOfCurrentTerm()
	h.AddDatasets(&dataset.Entry{Summary: *inventory})
	if o := h.agentHeartbeatThroughPeer(agent); o.Sequence != 0 || !agent.mustKeep(0) {
		t.Fatalf("the peer returned the order %+v, want one with sequence number 0", o)
	}
	h.exchangePackets()
	h.workerHeartbeat("a1", taskReport("run-000001/0", starts[0].response.Commands[0].Attempt, api.TaskRunning, ""))
	h.exchangePackets()
	h.agentHeartbeatThroughPeer(agent)
	if agent.term != h.term || agent.term == oldTerm || !agent.mustKeep(0) {
		t.Fatalf("the new leader's order: term %d of %d, %+v", agent.term, h.term, agent.sets)
	}
	id, _ := h.datasets.planner.ID("a1")
	if !h.datasets.index.Snapshot().Has(id, "inv", 0) {
		t.Error("the new leader did not learn what the agent holds")
	}
}

// Checks that the relayed heartbeats and orders of a thousand agents, one of which holds parts of 2,000 datasets, stay
// within the limits of the state service.
func TestManyAgentsRelayWithinStateLimits(t *testing.T) {
	h := newPartitionHarness(t)
	var sets []*dataset.Entry
	for i := range 2000 {
		d := dataset.Entry{Summary: *inventory}
		d.Name, d.ManifestDigest = fmt.Sprintf("set-%04d", i), dataset.Sum([]byte{byte(i), byte(i >> 8)})
		sets = append(sets, &d)
	}
	h.AddDatasets(sets...)
	var agents []*fakeAgent
	for i := range 1000 {
		agent := &fakeAgent{name: fmt.Sprintf("b%04d", i), heldParts: roaring.BitmapOf(uint32(i % 8)), version: 1}
		agents = append(agents, agent)
		h.workerHeartbeat(agent.name)
		h.agentHeartbeatThroughPeer(agent)
	}
	largeHeartbeat := agents[0].heartbeat()
	for _, d := range sets {
		largeHeartbeat.Holdings = append(largeHeartbeat.Holdings, api.StageHolding{Dataset: d.Name, Manifest: d.ManifestDigest.String(), PartCount: d.PartCount, Parts: api.PartSet{Bitmap: roaring.BitmapOf(1, 2)}})
	}
	agents[0].seq++
	largeHeartbeat.Seq = agents[0].seq
	if _, err := h.proxy.HandleHeartbeat(largeHeartbeat, h.term); err != nil {
		t.Fatal(err)
	}
	for range 4 {
		h.exchangePackets()
	}
	for _, agent := range agents {
		h.agentHeartbeatThroughPeer(agent)
		if agent.term != h.term {
			t.Fatalf("%s has no order of the current term after four exchanges", agent.name)
		}
	}
	id, _ := h.datasets.planner.ID("b0000")
	if !h.datasets.index.Snapshot().Has(id, "set-1999", 2) {
		t.Error("the large heartbeat did not arrive completely")
	}
	if len(h.state.Refused) != 0 {
		raw, _ := json.Marshal(h.state.Refused)
		t.Errorf("the state service refused requests: %s", raw)
	}
}
