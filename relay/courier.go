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

// text is how many bytes of base64 a letter holds.
func (l Limits) text() int { return l.Value - tuning.LetterMargin }

// Outbox is what is to be passed on to the leader of a term. It is not safe for use from
// several goroutines at once.
type Outbox struct {
	limits Limits
	term   uint64
	items  map[string]*item
	// split are pieces of large messages that go before all else.
	split []Packet
	ids   uint64
	// ratio is how many bytes of messages the last letter held a byte of text.
	ratio float64
}

type item struct {
	body json.RawMessage
	// changed: it differs from what was passed on last, since when.
	changed bool
	since   time.Time
	// written and heard are when it was last passed on and put here.
	written, heard time.Time
}

// NewOutbox makes an empty box. First is a number that no earlier process of this member
// used for the pieces of a message: a time will do.
func NewOutbox(limits Limits, first uint64) *Outbox {
	return &Outbox{limits: limits, items: map[string]*item{}, ids: first, ratio: 2}
}

// Reset empties the box for the leader of a term, unless it is for that one already.
func (o *Outbox) Reset(term uint64) {
	if o.term != term {
		o.term, o.items, o.split = term, map[string]*item{}, nil
	}
}

// Term is that of the leader that letters are for.
func (o *Outbox) Term() uint64 { return o.term }

// Put takes in what a sender says now. Changed: it says something new, and not only that
// it is still there.
func (o *Outbox) Put(name string, body json.RawMessage, changed bool, now time.Time) {
	x := o.items[name]
	if x == nil {
		x = &item{changed: true, since: now}
		o.items[name] = x
	}
	if changed && !x.changed {
		x.changed, x.since = true, now
	}
	x.body, x.heard = body, now
}

// Len is the number of senders.
func (o *Outbox) Len() int { return len(o.items) }

// Expire drops senders that have said nothing for so long.
func (o *Outbox) Expire(now time.Time, after time.Duration) (gone []string) {
	for name, x := range o.items {
		if now.Sub(x.heard) > after {
			delete(o.items, name)
			gone = append(gone, name)
		}
	}
	return gone
}

// Batch is what one transaction passes on.
type Batch struct {
	Packets []Packet
	names   []string
	split   []Packet
}

// Next takes out what is due: what changed, the longest waiting first, then what was not
// passed on for as long as keep, in at most so many letters. It counts as passed on unless
// Requeue says otherwise. An empty batch: nothing is due.
func (o *Outbox) Next(now time.Time, keep time.Duration, most int) (b Batch, err error) {
	most = min(most, o.limits.MaxPackets())
	names := o.due(now, keep)
	for len(b.Packets) < most {
		if len(o.split) > 0 {
			l := o.split[0]
			o.split = o.split[1:]
			b.Packets, b.split = append(b.Packets, l), append(b.split, l)
			continue
		}
		if len(names) == 0 {
			break
		}
		n, text, perr := o.fill(names)
		if perr != nil {
			// What cannot be encoded would stand before all else for ever.
			err = errors.Join(err, fmt.Errorf("%s: %w", names[0], perr))
			delete(o.items, names[0])
			names = names[1:]
			continue
		}
		if len(text) > o.limits.text() {
			o.cut(text)
		} else {
			b.Packets = append(b.Packets, Packet{Term: o.term, Packed: text})
		}
		for _, name := range names[:n] {
			x := o.items[name]
			x.changed, x.written = false, now
		}
		b.names = append(b.names, names[:n]...)
		names = names[n:]
	}
	return b, err
}

func (o *Outbox) due(now time.Time, keep time.Duration) []string {
	var names []string
	for name, x := range o.items {
		if x.changed || x.heard.After(x.written) && now.Sub(x.written) >= keep {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := o.items[a], o.items[b]
		if x.changed != y.changed {
			if x.changed {
				return -1
			}
			return 1
		}
		if x.changed {
			return cmp.Or(x.since.Compare(y.since), cmp.Compare(a, b))
		}
		return cmp.Or(x.written.Compare(y.written), cmp.Compare(a, b))
	})
	return names
}

// fill packs as many of the first names into one letter as fit, one at least.
func (o *Outbox) fill(names []string) (n int, text string, err error) {
	raw := 0
	for n = 0; n < len(names); n++ {
		raw += len(o.items[names[n]].body) + len(names[n])
		if n > 0 && float64(raw) > o.ratio*float64(o.limits.text()) {
			break
		}
	}
	for {
		ms := make([]Message, 0, n)
		raw = 0
		for _, name := range names[:n] {
			ms = append(ms, Message{name, o.items[name].body})
			raw += len(o.items[name].body) + len(name)
		}
		if text, err = compress.EncodeFast(ms); err != nil {
			if n > 1 {
				n = 1
				continue
			}
			return n, "", err
		}
		// A little less than it was, so that the next letter is filled at the first try.
		o.ratio = max(0.5, min(tuning.LetterRatio, 0.9*float64(raw)/float64(len(text))))
		if n == 1 || len(text) <= o.limits.text() {
			return n, text, nil
		}
		n /= 2
	}
}

// cut makes pieces of a text that is too long for a letter.
func (o *Outbox) cut(text string) {
	o.ids++
	size := o.limits.text()
	of := (len(text) + size - 1) / size
	for i := range of {
		o.split = append(o.split, Packet{Term: o.term, Packed: text[i*size : min(len(text), (i+1)*size)], ID: o.ids, Piece: i, Of: of})
	}
}

// Requeue puts back what was not passed on for certain.
func (o *Outbox) Requeue(b Batch) {
	for _, name := range b.names {
		if x := o.items[name]; x != nil && !x.changed {
			x.changed, x.since = true, x.written
		}
	}
	if len(b.split) > 0 && b.split[0].Term == o.term {
		o.split = append(slices.Clone(b.split), o.split...)
	}
}

// Reassembler opens letters and puts pieces together, by sender. The zero value is ready.
type Reassembler struct {
	parts map[string]*pieces
}

type pieces struct {
	id   uint64
	text []string
	left int
}

// Unpack gives the messages of a letter, none while pieces are missing. From names the
// sender's box. A message of which a piece is lost is given up when the next comes.
func (j *Reassembler) Unpack(from string, l *Packet) ([]Message, error) {
	var ms []Message
	if l.Of == 0 {
		err := compress.Decode(l.Packed, &ms)
		return ms, err
	}
	if l.Of < 0 || l.Of > tuning.LetterPieces || l.Piece < 0 || l.Piece >= l.Of {
		return nil, fmt.Errorf("letter: piece %d of %d", l.Piece, l.Of)
	}
	if j.parts == nil {
		j.parts = map[string]*pieces{}
	}
	p := j.parts[from]
	if p == nil || p.id != l.ID || len(p.text) != l.Of {
		if p != nil && l.ID < p.id {
			return nil, nil
		}
		p = &pieces{l.ID, make([]string, l.Of), l.Of}
		j.parts[from] = p
	}
	if p.text[l.Piece] == "" {
		p.text[l.Piece] = l.Packed
		p.left--
	}
	if p.left > 0 {
		return nil, nil
	}
	delete(j.parts, from)
	whole := ""
	for _, t := range p.text {
		whole += t
	}
	err := compress.Decode(whole, &ms)
	return ms, err
}

// Mailbox is what the leader has for the machines behind one sibling, spread over letters of
// bounded size. A machine stands in one of them, and moves when that one gets too large.
type Mailbox struct {
	limits  Limits
	at      map[string]int
	members []map[string]bool
}

// NewMailbox makes an empty shelf.
func NewMailbox(limits Limits) *Mailbox { return &Mailbox{limits: limits, at: map[string]int{}} }

// PacketOf is the number of the letter that a machine stands in.
func (s *Mailbox) PacketOf(name string) int {
	if p, ok := s.at[name]; ok {
		return p
	}
	p := slices.IndexFunc(s.members, func(m map[string]bool) bool { return len(m) < tuning.LetterMachines })
	if p < 0 {
		p = len(s.members)
		s.members = append(s.members, map[string]bool{})
	}
	s.at[name] = p
	s.members[p][name] = true
	return p
}

// Remove takes a machine off, and gives the number of the letter that it stood in; -1: none.
func (s *Mailbox) Remove(name string) int {
	p, ok := s.at[name]
	if !ok {
		return -1
	}
	delete(s.at, name)
	delete(s.members[p], name)
	return p
}

// Machines are the machines that stand in a letter, in the order of their names.
func (s *Mailbox) Machines(part int) []string {
	if part < 0 || part >= len(s.members) {
		return nil
	}
	return slices.Sorted(maps.Keys(s.members[part]))
}

// BuildPacket makes a letter of what body gives for its machines; nil: nothing. Touched are
// letters that got machines from this one, which no longer holds them, and are to be
// built as well. TooLarge are machines whose message alone is larger than a letter: it is
// left out, so that the others' go.
func (s *Mailbox) BuildPacket(term uint64, part int, body func(name string) json.RawMessage) (l Packet, touched []int, tooLarge []string, err error) {
	if part < 0 || part >= len(s.members) {
		return Packet{Term: term}, nil, nil, nil
	}
	var ms []Message
	for _, name := range s.Machines(part) {
		if b := body(name); b != nil {
			ms = append(ms, Message{name, b})
		}
	}
	for {
		text, err := compress.EncodeFast(ms)
		if err != nil || len(text) <= s.limits.text() {
			return Packet{Term: term, Packed: text}, touched, tooLarge, err
		}
		if len(ms) == 1 {
			tooLarge = append(tooLarge, ms[0].Name)
			ms = nil
			continue
		}
		// The second half moves to a letter of its own.
		to := len(s.members)
		s.members = append(s.members, map[string]bool{})
		for _, m := range ms[len(ms)/2:] {
			delete(s.members[part], m.Name)
			s.members[to][m.Name], s.at[m.Name] = true, to
		}
		ms, touched = ms[:len(ms)/2], append(touched, to)
	}
}

// Reader is the other end of a shelf: what each machine is told, of all letters.
type Reader struct {
	term    uint64
	letters map[string]letter
	at      map[string]told
}

type letter struct {
	stamp uint64
	names []string
}

type told struct {
	key   string
	stamp uint64
	body  json.RawMessage
}

// Apply takes in a letter as it stands under a key at a revision. MaxPackets of another term
// than the newest, and older states of a key, count for nothing.
func (r *Reader) Apply(key string, stamp uint64, l *Packet) error {
	if l.Term < r.term {
		return nil
	}
	if l.Term > r.term || r.letters == nil {
		r.term, r.letters, r.at = l.Term, map[string]letter{}, map[string]told{}
	}
	if stamp <= r.letters[key].stamp {
		return nil
	}
	ms := []Message{}
	if l.Packed != "" {
		if err := compress.Decode(l.Packed, &ms); err != nil {
			return err
		}
	}
	for _, name := range r.letters[key].names {
		if r.at[name].key == key {
			delete(r.at, name)
		}
	}
	x := letter{stamp: stamp}
	for _, m := range ms {
		x.names = append(x.names, m.Name)
		if now, ok := r.at[m.Name]; !ok || now.stamp < stamp {
			r.at[m.Name] = told{key, stamp, m.Body}
		}
	}
	r.letters[key] = x
	return nil
}

// MessageFor is what a machine is told by the leader of a term; nil: nothing.
func (r *Reader) MessageFor(term uint64, name string) json.RawMessage {
	if r.term != term {
		return nil
	}
	return r.at[name].body
}
