package relay

import (
	"encoding/json"
	"maps"
	"slices"

	"switchferry/internal/compress"
	"switchferry/tuning"
)

// Mailbox distributes the leader's messages for the machines that one peer serves over packets of
// bounded size. Each machine is assigned to one packet, and is reassigned to another if that one grows
// too large. A Mailbox is not safe for concurrent use.
type Mailbox struct {
	limits Limits
	// packetIndex is the index in packets of each machine's packet.
	packetIndex map[string]int
	// packets has the set of machines that are assigned to each packet. Packets are never removed.
	packets []map[string]bool
}

// NewMailbox returns an empty mailbox.
func NewMailbox(limits Limits) *Mailbox {
	return &Mailbox{limits: limits, packetIndex: map[string]int{}}
}

// AssignPacket returns the index of the packet that a machine is assigned to. A machine without a packet
// is first assigned to the first one with fewer than tuning.MachinesPerPacket machines, or to a new one.
func (m *Mailbox) AssignPacket(machine string) int {
	if index, ok := m.packetIndex[machine]; ok {
		return index
	}
	index := slices.IndexFunc(m.packets, func(machines map[string]bool) bool { return len(machines) < tuning.MachinesPerPacket })
	if index < 0 {
		index = m.addEmptyPacket()
	}
	m.packetIndex[machine] = index
	m.packets[index][machine] = true
	return index
}

// addEmptyPacket adds a packet without machines and returns its index.
func (m *Mailbox) addEmptyPacket() int {
	m.packets = append(m.packets, map[string]bool{})
	return len(m.packets) - 1
}

// Remove removes a machine from the mailbox and returns the index of the packet that it was assigned to,
// or -1 if it was assigned to none.
func (m *Mailbox) Remove(machine string) int {
	index, ok := m.packetIndex[machine]
	if !ok {
		return -1
	}
	delete(m.packetIndex, machine)
	delete(m.packets[index], machine)
	return index
}

// Machines returns the names of the machines that are assigned to a packet, sorted. It returns none for
// an unknown index.
func (m *Mailbox) Machines(index int) []string {
	if index < 0 || index >= len(m.packets) {
		return nil
	}
	return slices.Sorted(maps.Keys(m.packets[index]))
}

// BuildPacket builds the packet at index from the messages that messageFor returns for its machines. It
// omits machines for which messageFor returns nil. While the packet is too large, the second half of its
// messages is reassigned to a new packet; newPackets has the indices of these packets, which the caller
// must build as well. tooLarge has the machines whose message alone exceeds a packet; it is omitted, so that
// the other messages are delivered. The packet of an unknown index is empty. The error is that of
// encoding the messages.
func (m *Mailbox) BuildPacket(term uint64, index int, messageFor func(name string) json.RawMessage) (packet Packet, newPackets []int, tooLarge []string, err error) {
	if index < 0 || index >= len(m.packets) {
		return Packet{Term: term}, nil, nil, nil
	}
	var messages []Message
	for _, name := range m.Machines(index) {
		if body := messageFor(name); body != nil {
			messages = append(messages, Message{name, body})
		}
	}
	for {
		packed, err := compress.EncodeFast(messages)
		if err != nil || len(packed) <= m.limits.maxPackedBytes() {
			return Packet{Term: term, Packed: packed}, newPackets, tooLarge, err
		}
		if len(messages) == 1 {
			tooLarge = append(tooLarge, messages[0].Name)
			messages = nil
			continue
		}
		half := len(messages) / 2
		newPackets = append(newPackets, m.moveToNewPacket(messages[half:], index))
		messages = messages[:half]
	}
}

// moveToNewPacket reassigns the recipients of messages from the packet at index to a new packet, and
// returns the index of the new packet.
func (m *Mailbox) moveToNewPacket(messages []Message, index int) int {
	newIndex := m.addEmptyPacket()
	for _, message := range messages {
		delete(m.packets[index], message.Name)
		m.packets[newIndex][message.Name], m.packetIndex[message.Name] = true, newIndex
	}
	return newIndex
}
