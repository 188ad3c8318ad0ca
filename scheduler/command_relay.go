package scheduler

import (
	"encoding/json"
	"log/slog"

	"switchferry/api"
	"switchferry/relay"
	"switchferry/relay/exchange"
	"switchferry/store"
)

// newMailboxes holds a leader's letters of one kind.
func newMailboxes(sched *Scheduler, prefix string, key func(string, int) string, body func(member, machine string) json.RawMessage) *exchange.Mailboxes {
	return &exchange.Mailboxes{Term: sched.term, Limits: exchange.PacketLimits(sched.settings.Facts.State), Prefix: prefix, Key: key, Body: body,
		MarkDirty: func(key string, urgency int, after func()) { sched.hooks.MarkDirty(key, urgency, after) }}
}

// HandleRelayedHeartbeat takes in a report that a sibling passed on.
func (s *Scheduler) HandleRelayedHeartbeat(member string, r *api.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Term > s.term {
		return
	}
	if _, ok := s.releasedAt[r.Machine]; ok {
		return
	}
	machine := s.machineNamed(r.Machine)
	if !s.acceptHeartbeat(machine, r, member, true) || !machine.Newer(r) || !s.loaded {
		return
	}
	if machine.relayPeer != member {
		slog.Debug("machine reports through a sibling", "machine", r.Machine, "sibling", member)
		s.reachedDirectly(machine)
	}
	machine.relayPeer = member
	s.reconcile(machine, r, byRelay)
	s.relayCommands(machine)
}

// AcceptWorkerMessage takes in one report that a sibling passed on.
func (s *Scheduler) AcceptWorkerMessage(member string, m relay.Message) {
	var r api.Heartbeat
	err := json.Unmarshal(m.Body, &r)
	if err == nil {
		err = r.Check()
	}
	if err != nil {
		slog.Error("malformed report", "through", member, "err", err)
		return
	}
	s.HandleRelayedHeartbeat(member, &r)
}

// reachedDirectly notes that a machine reports without a relay, or through another one.
func (s *Scheduler) reachedDirectly(machine *machineState) {
	if machine.relayPeer == "" {
		return
	}
	s.commandMailboxes.Remove(machine.relayPeer, machine.Name, machine.relayedCommands != nil)
	machine.relayPeer, machine.relayedCommands = "", nil
}

// relayCommands puts the commands for a machine behind a sibling into its letter. They are derived
// from its newest report, which Session and Seq name.
func (s *Scheduler) relayCommands(machine *machineState) {
	cmds := s.commands(machine, byRelay)
	if len(cmds) == 0 && machine.relayedCommands == nil {
		return
	}
	machine.relayedCommands = nil
	if len(cmds) > 0 {
		raw, err := json.Marshal(store.RelayedCommands{Incarnation: machine.Incarnation, Seq: machine.Seq, Commands: cmds})
		if err != nil {
			slog.Error("commands cannot be encoded", "machine", machine.Name, "err", err)
			return
		}
		machine.relayedCommands = raw
	}
	s.commandMailboxes.Update(machine.relayPeer, machine.Name)
}

// relayedCommandBody is what stands in the mail for a machine behind a sibling.
func (s *Scheduler) relayedCommandBody(member, name string) json.RawMessage {
	if machine := s.machines[name]; machine != nil && machine.relayPeer == member {
		return machine.relayedCommands
	}
	return nil
}
