package scheduler

import (
	"encoding/json"
	"log/slog"
	"strings"

	"switchferry/api"
	"switchferry/relay"
)

// relayedOrder identifies the staging order that was last written to the packets for an agent whose heartbeats are
// relayed by a peer.
type relayedOrder struct {
	// member is the name of the peer.
	member string
	// incarnation, order and version identify the order. All are 0 before the first order.
	incarnation    uint64
	order, version uint64
}

// HandleRelayedStageHeartbeat handles a data agent's heartbeat that arrived in a packet of the peer named member. Orders
// for the agent are relayed through the same peer.
func (s *Scheduler) HandleRelayedStageHeartbeat(member string, heartbeat *api.StageHeartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	datasets := s.datasets
	if _, released := s.releasedAt[heartbeat.Machine]; released || datasets == nil || heartbeat.Term > s.term {
		return
	}
	if !datasets.planner.ApplyHeartbeat(heartbeat, s.now()) {
		return
	}
	s.wakePlacer()
	if previous := datasets.relayedOrders[heartbeat.Machine]; previous == nil || previous.member != member {
		slog.Info("agent heartbeats relayed by a peer", "machine", heartbeat.Machine, "sibling", member)
		s.stopRelayingOrders(heartbeat.Machine)
		datasets.relayedOrders[heartbeat.Machine] = &relayedOrder{member: member}
	}
	s.relayStageOrder(heartbeat.Machine)
}

// stopRelayingOrders stops relaying orders to an agent whose heartbeats now arrive directly or through another peer, or
// whose machine was released. Datasets must be on, and s.mu must be held.
func (s *Scheduler) stopRelayingOrders(machine string) {
	datasets := s.datasets
	previous := datasets.relayedOrders[machine]
	if previous == nil {
		return
	}
	delete(datasets.relayedOrders, machine)
	datasets.orderMailboxes.Remove(previous.member, machine, true)
}

// relayStageOrder schedules the current order of a relayed agent to be written to the packets for its peer, unless they
// already contain it. s.mu must be held.
func (s *Scheduler) relayStageOrder(machine string) {
	order, _, ok := s.datasets.planner.Order(machine)
	if !ok || !s.loaded || !s.leadership.Leading() {
		return
	}
	relayed := s.datasets.relayedOrders[machine]
	current := relayedOrder{member: relayed.member, incarnation: order.Incarnation, order: order.Sequence, version: order.KnownVersion}
	if *relayed == current {
		return
	}
	*relayed = current
	s.datasets.orderMailboxes.Update(relayed.member, machine)
}

// stageOrderBody returns the current order for a machine's agent as encoded in a packet, or nil if there is none.
// s.mu must be held.
func (s *Scheduler) stageOrderBody(_, machine string) json.RawMessage {
	order, _, ok := s.datasets.planner.Order(machine)
	if !ok {
		return nil
	}
	raw, err := json.Marshal(order)
	if err != nil {
		slog.Error("encoding staging order failed", "machine", machine, "err", err)
		return nil
	}
	return raw
}

// AcceptAgentMessage handles a relayed message that contains an agent's heartbeat. A malformed one is logged and
// ignored.
func (s *Scheduler) AcceptAgentMessage(member string, message relay.Message) {
	var heartbeat api.StageHeartbeat
	if err := decodeRelayed(message, &heartbeat); err != nil {
		slog.Error("malformed relayed heartbeat of an agent", "through", member, "agent", strings.ToValidUTF8(message.Name, "?"), "err", err)
		return
	}
	s.HandleRelayedStageHeartbeat(member, &heartbeat)
}
