package exchange

import (
	"encoding/json"
	"log/slog"

	"switchferry/relay"
	"switchferry/store"
)

// Mailboxes holds the leader's packets of one kind, for workers or for data agents: a mailbox for
// each peer with those that are behind it. It is not safe for concurrent use. Its exported fields
// are set before the first call and not changed after.
type Mailboxes struct {
	// Term is the leader's term.
	Term uint64
	// Limits are those that packets keep.
	Limits relay.Limits
	// Prefix is the prefix of the packets' keys, and Key returns one of them.
	Prefix string
	Key    func(member string, part int) string
	// MarkDirty asks for the packet of a key to be built by Packet and written.
	MarkDirty func(key string, urgency int, after func())
	// Body returns the message for a machine behind a peer; nil: there is none.
	Body func(member, machine string) json.RawMessage

	// mailboxes are by the name of the peer.
	mailboxes map[string]*relay.Mailbox
}

// Update asks for a machine's packet to be written with its message as it is then. The machine is
// added to the peer's mailbox if it is new.
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

// Remove takes a machine out of a peer's mailbox. Stored tells that its message is in the stored
// packet, which is then written without it.
func (m *Mailboxes) Remove(member, machine string, stored bool) {
	mailbox := m.mailboxes[member]
	if mailbox == nil {
		return
	}
	if index := mailbox.Remove(machine); index >= 0 && stored {
		m.MarkDirty(m.Key(member, index), store.Lazy, nil)
	}
}

// Packet builds the packet of a key, and asks for the packets that took over machines from it to be
// written. It returns false if the key is not that of a packet, and what is stored is to be deleted.
func (m *Mailboxes) Packet(key string) (relay.Packet, bool) {
	member, index, ok := store.ParseRelayKey(m.Prefix, key)
	if !ok || m.mailboxes[member] == nil {
		return relay.Packet{}, false
	}
	body := func(machine string) json.RawMessage { return m.Body(member, machine) }
	packet, touched, tooLarge, err := m.mailboxes[member].BuildPacket(m.Term, index, body)
	for _, other := range touched {
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

// Machines returns the machines that are assigned to a packet for a peer, sorted by name.
func (m *Mailboxes) Machines(member string, index int) []string {
	if mailbox := m.mailboxes[member]; mailbox != nil {
		return mailbox.Machines(index)
	}
	return nil
}
