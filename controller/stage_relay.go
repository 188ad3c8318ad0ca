package controller

import (
	"encoding/json"
	"log/slog"
	"strings"

	"switchferry/api"
	"switchferry/relay"
)

// relayedOrder is what the leader has put into the mail for an agent behind a sibling.
type relayedOrder struct {
	member         string
	incarnation    uint64
	order, version uint64
}

// HandleRelayedStageHeartbeat takes in an agent's report that a sibling passed on.
func (s *Scheduler) HandleRelayedStageHeartbeat(member string, heartbeat *api.StageHeartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.datasets
	if _, gone := s.releasedAt[heartbeat.Machine]; gone || d == nil || heartbeat.Term > s.term {
		return
	}
	if !d.planner.ApplyHeartbeat(heartbeat, s.now()) {
		return
	}
	s.wakePlacer()
	was := d.relayedOrders[heartbeat.Machine]
	if was == nil || was.member != member {
		slog.Info("agent reports through a sibling", "machine", heartbeat.Machine, "sibling", member)
		s.agentReachedDirectly(heartbeat.Machine)
		d.relayedOrders[heartbeat.Machine] = &relayedOrder{member: member}
	}
	s.relayStageOrder(heartbeat.Machine)
}

// agentReachedDirectly notes that an agent reports without help.
func (s *Scheduler) agentReachedDirectly(machine string) {
	d := s.datasets
	was := d.relayedOrders[machine]
	if was == nil {
		return
	}
	delete(d.relayedOrders, machine)
	d.orderMailboxes.Remove(was.member, machine, true)
}

// relayStageOrder puts an agent's order into the mail, if it is not there as it stands.
func (s *Scheduler) relayStageOrder(machine string) {
	d := s.datasets
	x := d.relayedOrders[machine]
	o, _, ok := d.planner.Order(machine)
	if !ok || !s.loaded || !s.hooks.Leading() || x.order == o.Order && x.version == o.Known && x.incarnation == o.Incarnation {
		return
	}
	x.order, x.version, x.incarnation = o.Order, o.Known, o.Incarnation
	d.orderMailboxes.Update(x.member, machine)
}

// stageOrderBody is what stands in the mail for an agent: its order as it stands now.
func (s *Scheduler) stageOrderBody(_, machine string) json.RawMessage {
	o, _, ok := s.datasets.planner.Order(machine)
	if !ok {
		return nil
	}
	raw, err := json.Marshal(o)
	if err != nil {
		slog.Error("an order cannot be encoded", "machine", machine, "err", err)
		return nil
	}
	return raw
}

// AcceptAgentMessage takes in one message about an agent.
func (s *Scheduler) AcceptAgentMessage(member string, message relay.Message) {
	var heartbeat api.StageHeartbeat
	err := json.Unmarshal(message.Body, &heartbeat)
	if err == nil {
		err = heartbeat.Check()
	}
	if err != nil {
		slog.Error("malformed report of an agent", "through", member, "agent", strings.ToValidUTF8(message.Name, "?"), "err", err)
		return
	}
	s.HandleRelayedStageHeartbeat(member, &heartbeat)
}
