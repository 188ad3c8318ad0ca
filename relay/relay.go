// Package relay carries messages between a controller and a leader that do not reach
// each other, in values of the state service. It knows names, sizes, order and budgets; it
// does not know what the messages say, and does no I/O.
//
// Both ways only the newest message for a name counts. Towards the leader goes what
// changed, in letters that hold as many messages as fit, and what did not change once in
// a while (Outbox). From the leader comes all that stands, in as many letters as it needs
// (Mailbox), so that whoever begins to read later misses nothing. MaxPackets are JSON lists
// packed with zstd; a message larger than a letter crosses in pieces.
package relay

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"switchferry/internal/compress"
	"switchferry/tuning"
)

// Packet is one value in the state service.
type Packet struct {
	// Term is that of the leader that it is for, or from.
	Term uint64 `json:"term"`
	// Packed is a list of messages, or a piece of one: base64 of a zstd frame.
	Packed string `json:"z"`
	// Of pieces, one with its number and which message they make up.
	ID    uint64 `json:"id,omitempty"`
	Piece int    `json:"piece,omitempty"`
	Of    int    `json:"of,omitempty"`
}

// Message is what one sender says, or what one is told.
type Message struct {
	Name string          `json:"n"`
	Body json.RawMessage `json:"b"`
}

// Limits are those of the state service that letters must keep.
type Limits struct {
	// Value is the most bytes of a value, Request those of a whole transaction, Ops the
	// most changes of one.
	Value, Request, Ops int
}

// MaxPackets is how many full letters one transaction carries.
func (l Limits) MaxPackets() int { return max(1, min(l.Ops, l.Request/max(1, l.Value))) }

// fragments is how many bytes of base64 a letter holds.
func (l Limits) packedBytes() int { return l.Value - tuning.LetterMargin }

// Outbox is what is to be passed on to the leader of a term. It is not safe for use from
// several goroutines at once.
type Outbox struct {
	limits  Limits
	term    uint64
	entries map[string]*outboxEntry
	// fragments are pieces of large messages that go before all else.
	fragments []Packet
	lastID    uint64
	// compressionRatio is how many bytes of messages the last letter held a byte of text.
	compressionRatio float64
}

type outboxEntry struct {
	body json.RawMessage
	// changed: it differs from what was passed on last, since when.
	changed   bool
	changedAt time.Time
	// sentAt and heard are when it was last passed on and put here.
	sentAt, updatedAt time.Time
}

// NewOutbox makes an empty box. First is a number that no earlier process of this member
// used for the pieces of a message: a time will do.
func NewOutbox(limits Limits, firstID uint64) *Outbox {
	return &Outbox{limits: limits, entries: map[string]*outboxEntry{}, lastID: firstID, compressionRatio: 2}
}

// Reset empties the box for the leader of a term, unless it is for that one already.
func (o *Outbox) Reset(term uint64) {
	if o.term != term {
		o.term, o.entries, o.fragments = term, map[string]*outboxEntry{}, nil
	}
}

// Term is that of the leader that letters are for.
func (o *Outbox) Term() uint64 { return o.term }

// Put takes in what a sender says now. Changed: it says something new, and not only that
// it is still there.
func (o *Outbox) Put(name string, body json.RawMessage, changed bool, now time.Time) {
	entry := o.entries[name]
	if entry == nil {
		entry = &outboxEntry{changed: true, changedAt: now}
		o.entries[name] = entry
	}
	if changed && !entry.changed {
		entry.changed, entry.changedAt = true, now
	}
	entry.body, entry.updatedAt = body, now
}

// Len is the number of senders.
func (o *Outbox) Len() int { return len(o.entries) }

// Expire drops senders that have said nothing for so long.
func (o *Outbox) Expire(now time.Time, maxIdle time.Duration) (expired []string) {
	for name, entry := range o.entries {
		if now.Sub(entry.updatedAt) > maxIdle {
			delete(o.entries, name)
			expired = append(expired, name)
		}
	}
	return expired
}

// Batch is what one transaction passes on.
type Batch struct {
	Packets   []Packet
	senders   []string
	fragments []Packet
}

// Next takes out what is due: what changed, the longest waiting first, then what was not
// passed on for as long as keep, in at most so many letters. It counts as passed on unless
// Requeue says otherwise. An empty batch: nothing is due.
func (o *Outbox) Next(now time.Time, refreshEvery time.Duration, maxPackets int) (batch Batch, err error) {
	maxPackets = min(maxPackets, o.limits.MaxPackets())
	senders := o.dueSenders(now, refreshEvery)
	for len(batch.Packets) < maxPackets {
		if len(o.fragments) > 0 {
			packet := o.fragments[0]
			o.fragments = o.fragments[1:]
			batch.Packets, batch.fragments = append(batch.Packets, packet), append(batch.fragments, packet)
			continue
		}
		if len(senders) == 0 {
			break
		}
		count, packed, packErr := o.packNext(senders)
		if packErr != nil {
			// What cannot be encoded would stand before all else for ever.
			err = errors.Join(err, fmt.Errorf("%s: %w", senders[0], packErr))
			delete(o.entries, senders[0])
			senders = senders[1:]
			continue
		}
		if len(packed) > o.limits.packedBytes() {
			o.fragment(packed)
		} else {
			batch.Packets = append(batch.Packets, Packet{Term: o.term, Packed: packed})
		}
		for _, name := range senders[:count] {
			entry := o.entries[name]
			entry.changed, entry.sentAt = false, now
		}
		batch.senders = append(batch.senders, senders[:count]...)
		senders = senders[count:]
	}
	return batch, err
}

func (o *Outbox) dueSenders(now time.Time, refreshEvery time.Duration) []string {
	var senders []string
	for name, entry := range o.entries {
		if entry.changed || entry.updatedAt.After(entry.sentAt) && now.Sub(entry.sentAt) >= refreshEvery {
			senders = append(senders, name)
		}
	}
	slices.SortFunc(senders, func(a, b string) int {
		first, second := o.entries[a], o.entries[b]
		if first.changed != second.changed {
			if first.changed {
				return -1
			}
			return 1
		}
		if first.changed {
			return cmp.Or(first.changedAt.Compare(second.changedAt), cmp.Compare(a, b))
		}
		return cmp.Or(first.sentAt.Compare(second.sentAt), cmp.Compare(a, b))
	})
	return senders
}

// packNext packs as many of the first names into one letter as fit, one at least.
func (o *Outbox) packNext(senders []string) (count int, packed string, err error) {
	rawBytes := 0
	for count = 0; count < len(senders); count++ {
		rawBytes += len(o.entries[senders[count]].body) + len(senders[count])
		if count > 0 && float64(rawBytes) > o.compressionRatio*float64(o.limits.packedBytes()) {
			break
		}
	}
	for {
		messages := make([]Message, 0, count)
		rawBytes = 0
		for _, name := range senders[:count] {
			messages = append(messages, Message{name, o.entries[name].body})
			rawBytes += len(o.entries[name].body) + len(name)
		}
		if packed, err = compress.EncodeFast(messages); err != nil {
			if count > 1 {
				count = 1
				continue
			}
			return count, "", err
		}
		// A little less than it was, so that the next letter is filled at the first try.
		o.compressionRatio = max(0.5, min(tuning.LetterRatio, 0.9*float64(rawBytes)/float64(len(packed))))
		if count == 1 || len(packed) <= o.limits.packedBytes() {
			return count, packed, nil
		}
		count /= 2
	}
}

// fragment makes pieces of a text that is too long for a letter.
func (o *Outbox) fragment(packed string) {
	o.lastID++
	size := o.limits.packedBytes()
	total := (len(packed) + size - 1) / size
	for piece := range total {
		o.fragments = append(o.fragments, Packet{Term: o.term, Packed: packed[piece*size : min(len(packed), (piece+1)*size)], ID: o.lastID, Piece: piece, Of: total})
	}
}

// Requeue puts back what was not passed on for certain.
func (o *Outbox) Requeue(batch Batch) {
	for _, name := range batch.senders {
		if entry := o.entries[name]; entry != nil && !entry.changed {
			entry.changed, entry.changedAt = true, entry.sentAt
		}
	}
	if len(batch.fragments) > 0 && batch.fragments[0].Term == o.term {
		o.fragments = append(slices.Clone(batch.fragments), o.fragments...)
	}
}

// Reassembler opens letters and puts pieces together, by sender. The zero value is ready.
type Reassembler struct {
	partial map[string]*partialMessage
}

type partialMessage struct {
	id        uint64
	fragments []string
	missing   int
}

// Unpack gives the messages of a letter, none while pieces are missing. From names the
// sender's box. A message of which a piece is lost is given up when the next comes.
func (r *Reassembler) Unpack(sender string, packet *Packet) ([]Message, error) {
	var messages []Message
	if packet.Of == 0 {
		err := compress.Decode(packet.Packed, &messages)
		return messages, err
	}
	if packet.Of < 0 || packet.Of > tuning.LetterPieces || packet.Piece < 0 || packet.Piece >= packet.Of {
		return nil, fmt.Errorf("letter: piece %d of %d", packet.Piece, packet.Of)
	}
	if r.partial == nil {
		r.partial = map[string]*partialMessage{}
	}
	partial := r.partial[sender]
	if partial == nil || partial.id != packet.ID || len(partial.fragments) != packet.Of {
		if partial != nil && packet.ID < partial.id {
			return nil, nil
		}
		partial = &partialMessage{packet.ID, make([]string, packet.Of), packet.Of}
		r.partial[sender] = partial
	}
	if partial.fragments[packet.Piece] == "" {
		partial.fragments[packet.Piece] = packet.Packed
		partial.missing--
	}
	if partial.missing > 0 {
		return nil, nil
	}
	delete(r.partial, sender)
	packed := ""
	for _, fragment := range partial.fragments {
		packed += fragment
	}
	err := compress.Decode(packed, &messages)
	return messages, err
}

// Mailbox is what the leader has for the machines behind one sibling, spread over letters of
// bounded size. A machine stands in one of them, and moves when that one gets too large.
type Mailbox struct {
	limits      Limits
	packetIndex map[string]int
	packets     []map[string]bool
}

// NewMailbox makes an empty shelf.
func NewMailbox(limits Limits) *Mailbox {
	return &Mailbox{limits: limits, packetIndex: map[string]int{}}
}

// PacketOf is the number of the letter that a machine stands in.
func (m *Mailbox) PacketOf(name string) int {
	if index, ok := m.packetIndex[name]; ok {
		return index
	}
	index := slices.IndexFunc(m.packets, func(machines map[string]bool) bool { return len(machines) < tuning.LetterMachines })
	if index < 0 {
		index = len(m.packets)
		m.packets = append(m.packets, map[string]bool{})
	}
	m.packetIndex[name] = index
	m.packets[index][name] = true
	return index
}

// Remove takes a machine off, and gives the number of the letter that it stood in; -1: none.
func (m *Mailbox) Remove(name string) int {
	index, ok := m.packetIndex[name]
	if !ok {
		return -1
	}
	delete(m.packetIndex, name)
	delete(m.packets[index], name)
	return index
}

// Machines are the machines that stand in a letter, in the order of their names.
func (m *Mailbox) Machines(index int) []string {
	if index < 0 || index >= len(m.packets) {
		return nil
	}
	return slices.Sorted(maps.Keys(m.packets[index]))
}

// BuildPacket makes a letter of what body gives for its machines; nil: nothing. Touched are
// packets that got machines from this one, which no longer holds them, and are to be
// built as well. TooLarge are machines whose message alone is larger than a letter: it is
// missing out, so that the others' go.
func (m *Mailbox) BuildPacket(term uint64, index int, body func(name string) json.RawMessage) (packet Packet, touched []int, tooLarge []string, err error) {
	if index < 0 || index >= len(m.packets) {
		return Packet{Term: term}, nil, nil, nil
	}
	var messages []Message
	for _, name := range m.Machines(index) {
		if b := body(name); b != nil {
			messages = append(messages, Message{name, b})
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
		// The second half moves to a letter of its own.
		newIndex := len(m.packets)
		m.packets = append(m.packets, map[string]bool{})
		for _, message := range messages[len(messages)/2:] {
			delete(m.packets[index], message.Name)
			m.packets[newIndex][message.Name], m.packetIndex[message.Name] = true, newIndex
		}
		messages, touched = messages[:len(messages)/2], append(touched, newIndex)
	}
}

// Reader is the other end of a shelf: what each machine is told, of all letters.
type Reader struct {
	term     uint64
	packets  map[string]appliedPacket
	messages map[string]currentMessage
}

type appliedPacket struct {
	revision uint64
	machines []string
}

type currentMessage struct {
	key      string
	revision uint64
	body     json.RawMessage
}

// Apply takes in a letter as it stands under a key at a revision. MaxPackets of another term
// than the newest, and older states of a key, count for nothing.
func (r *Reader) Apply(key string, revision uint64, packet *Packet) error {
	if packet.Term < r.term {
		return nil
	}
	if packet.Term > r.term || r.packets == nil {
		r.term, r.packets, r.messages = packet.Term, map[string]appliedPacket{}, map[string]currentMessage{}
	}
	if revision <= r.packets[key].revision {
		return nil
	}
	messages := []Message{}
	if packet.Packed != "" {
		if err := compress.Decode(packet.Packed, &messages); err != nil {
			return err
		}
	}
	for _, name := range r.packets[key].machines {
		if r.messages[name].key == key {
			delete(r.messages, name)
		}
	}
	applied := appliedPacket{revision: revision}
	for _, message := range messages {
		applied.machines = append(applied.machines, message.Name)
		if current, ok := r.messages[message.Name]; !ok || current.revision < revision {
			r.messages[message.Name] = currentMessage{key, revision, message.Body}
		}
	}
	r.packets[key] = applied
	return nil
}

// MessageFor is what a machine is told by the leader of a term; nil: nothing.
func (r *Reader) MessageFor(term uint64, name string) json.RawMessage {
	if r.term != term {
		return nil
	}
	return r.messages[name].body
}
