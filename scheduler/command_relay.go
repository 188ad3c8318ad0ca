package scheduler

import (
	"encoding/json"
	"fmt"
	"log/slog"

	"switchferry/api"
	"switchferry/relay"
	"switchferry/relay/exchange"
	"switchferry/store"
)

// newMailboxes returns the leader's mailboxes for one kind of packet. key returns the key of a member's packet with the
// given number, which begins with prefix. body returns the packet's content for a machine, or nil; it is called with
// Scheduler.mu held.
func newMailboxes(sched *Scheduler, prefix string, key func(string, int) string, body func(member, machine string) json.RawMessage) *exchange.Mailboxes {
	return &exchange.Mailboxes{
		Term:   sched.term,
		Limits: exchange.PacketLimits(sched.settings.Facts.State),
		Prefix: prefix,
		Key:    key,
		Body:   body,
		MarkDirty: func(key string, urgency int, after func()) {
			sched.records.MarkDirty(key, urgency, after)
		},
	}
}

// HandleRelayedHeartbeat handles a worker's heartbeat that arrived in a packet of the peer named member. Commands for
// the worker are relayed through the same peer. Heartbeats with a later leader's token, of released machines, and copies
// are ignored.
func (s *Scheduler) HandleRelayedHeartbeat(member string, heartbeat *api.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.FromLaterTerm(heartbeat.Term) {
		return
	}
	if _, released := s.releasedAt[heartbeat.Machine]; released {
		return
	}
	machine := s.getOrAddMachine(heartbeat.Machine)
	if !s.acceptHeartbeat(machine, heartbeat, member, true) || !machine.Newer(heartbeat) || !s.loaded {
		return
	}
	if machine.relayPeer != member {
		slog.Debug("worker heartbeats relayed by a peer", "machine", heartbeat.Machine, "sibling", member)
		s.stopRelayingCommands(machine)
	}
	machine.relayPeer = member
	s.reconcile(machine, heartbeat, byRelay)
	s.relayCommands(machine)
}

// AcceptWorkerMessage handles a relayed message that contains a worker's heartbeat. A malformed message is logged and
// ignored.
func (s *Scheduler) AcceptWorkerMessage(member string, message relay.Message) {
	var heartbeat api.Heartbeat
	if err := decodeRelayed(message, &heartbeat); err != nil {
		slog.Error("malformed relayed heartbeat", "through", member, "err", err)
		return
	}
	s.HandleRelayedHeartbeat(member, &heartbeat)
}

// decodeRelayed decodes the body of a relayed message and validates it like a heartbeat that was sent directly.
func decodeRelayed(message relay.Message, heartbeat interface{ Check() error }) error {
	if err := json.Unmarshal(message.Body, heartbeat); err != nil {
		return fmt.Errorf("decoding a relayed message: %w", err)
	}
	if err := heartbeat.Check(); err != nil {
		return fmt.Errorf("checking a relayed message: %w", err)
	}
	return nil
}

// stopRelayingCommands stops relaying commands to a machine whose heartbeats arrive directly or through another peer,
// or which no longer exists. s.mu must be held.
func (s *Scheduler) stopRelayingCommands(machine *machineState) {
	if machine.relayPeer == "" {
		return
	}
	s.commandMailboxes.Remove(machine.relayPeer, machine.Name, machine.relayedCommands != nil)
	machine.relayPeer, machine.relayedCommands = "", nil
}

// relayCommands updates the commands for a machine in the packets of the peer that relays its heartbeats. The commands
// are derived from the machine's newest heartbeat and carry its incarnation and sequence number. s.mu must be held.
func (s *Scheduler) relayCommands(machine *machineState) {
	commands := s.commands(machine, byRelay)
	if len(commands) == 0 && machine.relayedCommands == nil {
		return
	}
	machine.relayedCommands = nil
	if len(commands) > 0 {
		raw, err := json.Marshal(store.RelayedCommands{Incarnation: machine.Incarnation, Seq: machine.Seq, Commands: commands})
		if err != nil {
			slog.Error("encoding commands failed", "machine", machine.Name, "err", err)
			return
		}
		machine.relayedCommands = raw
	}
	s.commandMailboxes.Update(machine.relayPeer, machine.Name)
}

// relayedCommandBody returns the commands for a machine in a packet for the peer named member, or nil. s.mu must be
// held.
func (s *Scheduler) relayedCommandBody(member, name string) json.RawMessage {
	if machine := s.machines[name]; machine != nil && machine.relayPeer == member {
		return machine.relayedCommands
	}
	return nil
}
