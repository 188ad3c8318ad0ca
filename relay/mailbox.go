package relay

import (
	"encoding/json"
	"maps"
	"slices"

	"switchferry/internal/compress"
	"switchferry/tuning"
)

// Mailbox spreads the leader's messages for the machines behind one peer over packets of bounded
// size. Each machine is assigned to one packet, and moves to another when that one grows too
// large. It is not safe for concurrent use.
type Mailbox struct {
	limits Limits
	// packetIndex is the index in packets of each machine's packet.
	packetIndex map[string]int
	// packets has the machines that are assigned to each packet. It only grows.
	packets []map[string]bool
}

// NewMailbox returns an empty mailbox.
func NewMailbox(limits Limits) *Mailbox {
	return &Mailbox{limits: limits, packetIndex: map[string]int{}}
}

// AssignPacket returns the index of the packet that a machine is assigned to. A machine that has none
// is assigned to the first packet with room.
func (m *Mailbox) AssignPacket(name string) int {
	if index, ok := m.packetIndex[name]; ok {
		return index
	}
	index := slices.IndexFunc(m.packets, func(machines map[string]bool) bool { return len(machines) < tuning.PacketMachines })
	if index < 0 {
		index = m.addPacket()
	}
	m.packetIndex[name] = index
	m.packets[index][name] = true
	return index
}

// addPacket adds a packet without machines and returns its index.
func (m *Mailbox) addPacket() int {
	m.packets = append(m.packets, map[string]bool{})
	return len(m.packets) - 1
}

// Remove takes a machine out of the mailbox and returns the index of the packet that it was assigned
// to; -1: none.
func (m *Mailbox) Remove(name string) int {
	index, ok := m.packetIndex[name]
	if !ok {
		return -1
	}
	delete(m.packetIndex, name)
	delete(m.packets[index], name)
	return index
}

// Machines returns the machines that are assigned to a packet, sorted by name.
func (m *Mailbox) Machines(index int) []string {
	if index < 0 || index >= len(m.packets) {
		return nil
	}
	return slices.Sorted(maps.Keys(m.packets[index]))
}

// BuildPacket builds a packet of what body returns for its machines; a machine for which body
// returns nil is left out. A packet that grows too large hands half of its machines over to a new
// one: touched are the indices of the new packets, which the caller must build as well. tooLarge
// are the machines whose message alone exceeds a packet: it is left out, so that the others' are
// delivered. The packet of an unknown index is empty. The error is that of encoding the messages.
func (m *Mailbox) BuildPacket(term uint64, index int, body func(name string) json.RawMessage) (packet Packet, touched []int, tooLarge []string, err error) {
	if index < 0 || index >= len(m.packets) {
		return Packet{Term: term}, nil, nil, nil
	}
	var messages []Message
	for _, name := range m.Machines(index) {
		if raw := body(name); raw != nil {
			messages = append(messages, Message{name, raw})
		}
	}
	for {
		packed, err := compress.EncodeFast(messages)
		if err != nil || len(packed) <= m.limits.packedBytes() {
			return Packet{Term: term, Packed: packed}, touched, tooLarge, err
		}
		if len(messages) == 1 {
			tooLarge = append(tooLarge, messages[0].Name)
			messages = nil
			continue
		}
		half := len(messages) / 2
		touched = append(touched, m.moveToNewPacket(messages[half:], index))
		messages = messages[:half]
	}
}

// moveToNewPacket assigns the recipients of messages from the packet at index to a new one, and
// returns the new one's index.
func (m *Mailbox) moveToNewPacket(messages []Message, index int) int {
	newIndex := m.addPacket()
	for _, message := range messages {
		delete(m.packets[index], message.Name)
		m.packets[newIndex][message.Name], m.packetIndex[message.Name] = true, newIndex
	}
	return newIndex
}
