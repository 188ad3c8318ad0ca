package scheduler

import (
	"encoding/json"
	"log/slog"
	"strings"

	"switchferry/api"
	"switchferry/relay"
)

// relayedOrder identifies the order that was last put into the packets for an agent whose heartbeats a peer relays.
type relayedOrder struct {
	// member is the peer that relays.
	member string
	// incarnation, order and version are those of the order; all are 0 before the first one.
	incarnation    uint64
	order, version uint64
}

// HandleRelayedStageHeartbeat handles an agent's heartbeat that came in a packet of the peer called member. The orders
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

// stopRelayingOrders stops relaying orders to an agent, because its heartbeats come directly or through another peer, or
// because its machine is gone. Datasets must be on, and s.mu must be held.
func (s *Scheduler) stopRelayingOrders(machine string) {
	datasets := s.datasets
	previous := datasets.relayedOrders[machine]
	if previous == nil {
		return
	}
	delete(datasets.relayedOrders, machine)
	datasets.orderMailboxes.Remove(previous.member, machine, true)
}

// relayStageOrder has the current order of a relayed agent written into the packets of its peer, unless they hold it
// already. s.mu must be held.
func (s *Scheduler) relayStageOrder(machine string) {
	order, _, ok := s.datasets.planner.Order(machine)
	if !ok || !s.loaded || !s.hooks.Leading() {
		return
	}
	relayed := s.datasets.relayedOrders[machine]
	current := relayedOrder{member: relayed.member, incarnation: order.Incarnation, order: order.Order, version: order.Known}
	if *relayed == current {
		return
	}
	*relayed = current
	s.datasets.orderMailboxes.Update(relayed.member, machine)
}

// stageOrderBody returns the current order of a machine's agent as a packet holds it, or nil without one. s.mu must be
// held.
func (s *Scheduler) stageOrderBody(_, machine string) json.RawMessage {
	order, _, ok := s.datasets.planner.Order(machine)
	if !ok {
		return nil
	}
	raw, err := json.Marshal(order)
	if err != nil {
		slog.Error("encoding order failed", "machine", machine, "err", err)
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
