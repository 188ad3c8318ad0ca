package exchange

import (
	"encoding/json"
	"log/slog"

	"switchferry/relay"
	"switchferry/store"
)

// Mailboxes builds the leader's packets of one kind, either for workers or for data agents. It has a
// mailbox for each peer, with the machines whose messages that peer relays. It is not safe for
// concurrent use. Its exported fields are set before the first call and not changed afterwards.
type Mailboxes struct {
	// Term is the leader's term.
	Term uint64
	// Limits are the limits that packets must observe.
	Limits relay.Limits
	// Prefix is the common prefix of the packets' keys. Key returns the key of one packet for a peer.
	Prefix string
	Key    func(member string, part int) string
	// MarkDirty requests that the packet with the given key is built by Packet and written.
	MarkDirty func(key string, urgency int, after func())
	// Body returns the message for a machine that a peer relays, or nil if there is none.
	Body func(member, machine string) json.RawMessage

	// mailboxes maps the names of peers to their mailboxes.
	mailboxes map[string]*relay.Mailbox
}

// Update requests that a machine's packet is written, with the message that Body returns at that time.
// It adds the machine to the peer's mailbox if it is not in it yet.
func (m *Mailboxes) Update(member, machine string) {
	mailbox := m.mailboxes[member]
	if mailbox == nil {
		mailbox = relay.NewMailbox(m.Limits)
		if m.mailboxes == nil {
			m.mailboxes = map[string]*relay.Mailbox{}
		}
		m.mailboxes[member] = mailbox
	}
	m.MarkDirty(m.Key(member, mailbox.AssignPacket(machine)), store.Ordinary, nil)
}

// Remove removes a machine from a peer's mailbox. If stored is set, the stored packet contains the
// machine's message, and Remove requests that the packet is written without it.
func (m *Mailboxes) Remove(member, machine string, stored bool) {
	mailbox := m.mailboxes[member]
	if mailbox == nil {
		return
	}
	if index := mailbox.Remove(machine); index >= 0 && stored {
		m.MarkDirty(m.Key(member, index), store.Lazy, nil)
	}
}

// Packet builds the packet with the given key. If machines had to be moved to other packets, it requests
// that those are written. It returns false if there is no packet with that key; the caller must then
// delete the stored one.
func (m *Mailboxes) Packet(key string) (relay.Packet, bool) {
	member, index, ok := store.ParsePacketKey(m.Prefix, key)
	if !ok || m.mailboxes[member] == nil {
		return relay.Packet{}, false
	}
	body := func(machine string) json.RawMessage { return m.Body(member, machine) }
	packet, newPackets, tooLarge, err := m.mailboxes[member].BuildPacket(m.Term, index, body)
	for _, other := range newPackets {
		m.MarkDirty(m.Key(member, other), store.Ordinary, nil)
	}
	for _, machine := range tooLarge {
		slog.Error("relayed message too large", "key", key, "machine", machine)
	}
	if err != nil {
		slog.Error("relayed packet cannot be encoded", "key", key, "err", err)
	}
	return packet, packet.Packed != ""
}

// Machines returns the machines that are assigned to a peer's packet, sorted by name.
func (m *Mailboxes) Machines(member string, index int) []string {
	if mailbox := m.mailboxes[member]; mailbox != nil {
		return mailbox.Machines(index)
	}
	return nil
}
