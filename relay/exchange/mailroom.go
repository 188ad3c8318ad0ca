package exchange

import (
	"encoding/json"
	"log/slog"

	"switchferry/relay"
	"switchferry/store"
)

// Mailroom holds the leader's letters of one kind, for workers or agents, to what stands behind
// each sibling. It is not safe for use from several goroutines at once.
type Mailroom struct {
	// Term is the leader's, Limits what letters must keep.
	Term   uint64
	Limits relay.Limits
	// Prefix and Key name the letters, Touch asks for one to be written.
	Prefix string
	Key    func(member string, part int) string
	Touch  func(key string, urgency int, after func())
	// Body is what a machine behind a sibling is told; nil: nothing.
	Body    func(member, machine string) json.RawMessage
	shelves map[string]*relay.Shelf
}

// Put asks for a machine's letter to be written as it stands then.
func (r *Mailroom) Put(member, machine string) {
	s := r.shelves[member]
	if s == nil {
		s = relay.NewShelf(r.Limits)
		if r.shelves == nil {
			r.shelves = map[string]*relay.Shelf{}
		}
		r.shelves[member] = s
	}
	r.Touch(r.Key(member, s.Part(machine)), store.Ordinary, nil)
}

// Drop takes a machine out of its letter. Stands: there is something of it in the letter, which
// is to be written without it.
func (r *Mailroom) Drop(member, machine string, stands bool) {
	s := r.shelves[member]
	if s == nil {
		return
	}
	if p := s.Drop(machine); p >= 0 && stands {
		r.Touch(r.Key(member, p), store.Lazy, nil)
	}
}

// Letter builds one letter; false: there is none of that number. Of the same kind, those that
// took machines over from it are asked for.
func (r *Mailroom) Letter(key string) (relay.Letter, bool) {
	member, part, ok := store.ParseLetterKey(r.Prefix, key)
	if !ok || r.shelves[member] == nil {
		return relay.Letter{}, false
	}
	l, touched, tooLarge, err := r.shelves[member].Build(r.Term, part, func(name string) json.RawMessage { return r.Body(member, name) })
	for _, p := range touched {
		r.Touch(r.Key(member, p), store.Ordinary, nil)
	}
	for _, m := range tooLarge {
		slog.Error("mail is too large for one letter; it waits until the machine reports directly", "key", key, "machine", m)
	}
	if err != nil {
		slog.Error("mail not packed", "key", key, "err", err)
	}
	return l, l.Packed != ""
}

// Members are the machines with something in one letter to those behind a sibling.
func (r *Mailroom) Members(member string, part int) []string {
	if s := r.shelves[member]; s != nil {
		return s.Members(part)
	}
	return nil
}
