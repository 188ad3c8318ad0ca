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
	Body    func(member, machine string) json.RawMessage
	shelves map[string]*relay.Mailbox
}

// Update asks for a machine's letter to be written as it stands then.
func (r *Mailboxes) Update(member, machine string) {
	s := r.shelves[member]
	if s == nil {
		s = relay.NewMailbox(r.Limits)
		if r.shelves == nil {
			r.shelves = map[string]*relay.Mailbox{}
		}
		r.shelves[member] = s
	}
	r.MarkDirty(r.Key(member, s.PacketOf(machine)), store.Ordinary, nil)
}

// Remove takes a machine out of its letter. Stands: there is something of it in the letter, which
// is to be written without it.
func (r *Mailboxes) Remove(member, machine string, stands bool) {
	s := r.shelves[member]
	if s == nil {
		return
	}
	if p := s.Remove(machine); p >= 0 && stands {
		r.MarkDirty(r.Key(member, p), store.Lazy, nil)
	}
}

// Packet builds one letter; false: there is none of that number. Of the same kind, those that
// took machines over from it are asked for.
func (r *Mailboxes) Packet(key string) (relay.Packet, bool) {
	member, part, ok := store.ParseRelayKey(r.Prefix, key)
	if !ok || r.shelves[member] == nil {
		return relay.Packet{}, false
	}
	l, touched, tooLarge, err := r.shelves[member].BuildPacket(r.Term, part, func(name string) json.RawMessage { return r.Body(member, name) })
	for _, p := range touched {
		r.MarkDirty(r.Key(member, p), store.Ordinary, nil)
	}
	for _, m := range tooLarge {
		slog.Error("mail is too large for one letter; it waits until the machine reports directly", "key", key, "machine", m)
	}
	if err != nil {
		slog.Error("mail not packed", "key", key, "err", err)
	}
	return l, l.Packed != ""
}

// Machines are the machines with something in one letter to those behind a sibling.
func (r *Mailboxes) Machines(member string, part int) []string {
	if s := r.shelves[member]; s != nil {
		return s.Machines(part)
	}
	return nil
}
