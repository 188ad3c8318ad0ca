package scheduler

import (
	"encoding/json"
	"log/slog"
	"strings"

	"switchferry/api"
	"switchferry/relay"
)

// relayedReport is what the leader has put into the mail for an agent behind a sibling.
type relayedReport struct {
	member         string
	incarnation    uint64
	order, version uint64
}

// HandleRelayedStageHeartbeat takes in an agent's report that a sibling passed on.
func (s *Scheduler) HandleRelayedStageHeartbeat(member string, r *api.StageHeartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.datasets
	if _, gone := s.releasedAt[r.Machine]; gone || d == nil || r.Term > s.term {
		return
	}
	if !d.planner.ApplyHeartbeat(r, s.now()) {
		return
	}
	s.wakePlacer()
	was := d.relayedReports[r.Machine]
	if was == nil || was.member != member {
		slog.Info("agent reports through a sibling", "machine", r.Machine, "sibling", member)
		s.agentReachedDirectly(r.Machine)
		d.relayedReports[r.Machine] = &relayedReport{member: member}
	}
	s.relayStageOrder(r.Machine)
}

// agentReachedDirectly notes that an agent reports without help.
func (s *Scheduler) agentReachedDirectly(machine string) {
	d := s.datasets
	was := d.relayedReports[machine]
	if was == nil {
		return
	}
	delete(d.relayedReports, machine)
	d.orderMailboxes.Remove(was.member, machine, true)
}

// relayStageOrder puts an agent's order into the mail, if it is not there as it stands.
func (s *Scheduler) relayStageOrder(machine string) {
	d := s.datasets
	x := d.relayedReports[machine]
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
func (s *Scheduler) AcceptAgentMessage(member string, m relay.Message) {
	var r api.StageHeartbeat
	err := json.Unmarshal(m.Body, &r)
	if err == nil {
		err = r.Check()
	}
	if err != nil {
		slog.Error("malformed report of an agent", "through", member, "agent", strings.ToValidUTF8(m.Name, "?"), "err", err)
		return
	}
	s.HandleRelayedStageHeartbeat(member, &r)
}
