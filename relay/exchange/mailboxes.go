package exchange

import (
	"encoding/json"
	"log/slog"

	"switchferry/relay"
	"switchferry/store"
)

// Mailboxes holds the leader's letters of one kind, for workers or agents, to what stands behind
// each sibling. It is not safe for use from several goroutines at once.
type Mailboxes struct {
	// Term is the leader's, PacketLimits what letters must keep.
	Term   uint64
	Limits relay.Limits
	// Prefix and Key name the letters, MarkDirty asks for one to be written.
	Prefix    string
	Key       func(member string, part int) string
	MarkDirty func(key string, urgency int, after func())
	// Body is what a machine behind a sibling is told; nil: nothing.
	Body      func(member, machine string) json.RawMessage
	mailboxes map[string]*relay.Mailbox
}

// Update asks for a machine's letter to be written as it stands then.
func (m *Mailboxes) Update(member, machine string) {
	mailbox := m.mailboxes[member]
	if mailbox == nil {
		mailbox = relay.NewMailbox(m.Limits)
		if m.mailboxes == nil {
			m.mailboxes = map[string]*relay.Mailbox{}
		}
		m.mailboxes[member] = mailbox
	}
	m.MarkDirty(m.Key(member, mailbox.PacketOf(machine)), store.Ordinary, nil)
}

// Remove takes a machine out of its letter. Stands: there is something of it in the letter, which
// is to be written without it.
func (m *Mailboxes) Remove(member, machine string, stands bool) {
	mailbox := m.mailboxes[member]
	if mailbox == nil {
		return
	}
	if index := mailbox.Remove(machine); index >= 0 && stands {
		m.MarkDirty(m.Key(member, index), store.Lazy, nil)
	}
}

// Packet builds one letter; false: there is none of that number. Of the same kind, those that
// took machines over from it are asked for.
func (m *Mailboxes) Packet(key string) (relay.Packet, bool) {
	member, index, ok := store.ParseRelayKey(m.Prefix, key)
	if !ok || m.mailboxes[member] == nil {
		return relay.Packet{}, false
	}
	packet, touched, tooLarge, err := m.mailboxes[member].BuildPacket(m.Term, index, func(name string) json.RawMessage { return m.Body(member, name) })
	for _, index := range touched {
		m.MarkDirty(m.Key(member, index), store.Ordinary, nil)
	}
	for _, machine := range tooLarge {
		slog.Error("mail is too large for one letter; it waits until the machine reports directly", "key", key, "machine", machine)
	}
	if err != nil {
		slog.Error("mail not packed", "key", key, "err", err)
	}
	return packet, packet.Packed != ""
}

// Machines are the machines with something in one letter to those behind a sibling.
func (m *Mailboxes) Machines(member string, index int) []string {
	if mailbox := m.mailboxes[member]; mailbox != nil {
		return mailbox.Machines(index)
	}
	return nil
}
