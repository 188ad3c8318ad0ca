package controller

import (
	"encoding/json"
	"log/slog"

	"switchferry/courier"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
)

// letterLimits are what letters through the state service must keep.
func letterLimits(f settings.State) courier.Limits {
	least := f.Least()
	return courier.Limits{Value: least.ValueBytes(), Request: tuning.LetterRequest, Ops: least.TxnOps}
}

// mailroom holds the leader's letters of one kind, for workers or agents, to what stands behind
// each sibling. The core's lock is held.
type mailroom struct {
	core   *Core
	prefix string
	key    func(member string, part int) string
	// body is what a machine behind a sibling is told; nil: nothing.
	body    func(member, machine string) json.RawMessage
	shelves map[string]*courier.Shelf
}

func newMailroom(c *Core, prefix string, key func(string, int) string, body func(member, machine string) json.RawMessage) *mailroom {
	return &mailroom{core: c, prefix: prefix, key: key, body: body, shelves: map[string]*courier.Shelf{}}
}

// put asks for a machine's letter to be written as it stands then.
func (r *mailroom) put(member, machine string) {
	s := r.shelves[member]
	if s == nil {
		s = courier.NewShelf(letterLimits(r.core.set.Facts.State))
		r.shelves[member] = s
	}
	r.core.hooks.Touch(r.key(member, s.Part(machine)), store.Ordinary, nil)
}

// drop takes a machine out of its letter. Stands: there is something of it in the letter, which
// is to be written without it.
func (r *mailroom) drop(member, machine string, stands bool) {
	s := r.shelves[member]
	if s == nil {
		return
	}
	if p := s.Drop(machine); p >= 0 && stands {
		r.core.hooks.Touch(r.key(member, p), store.Lazy, nil)
	}
}

// letter builds one letter; false: there is none of that number. Of the same kind, those that
// took machines over from it are asked for.
func (r *mailroom) letter(key string) (courier.Letter, bool) {
	member, part, ok := store.ParseLetterKey(r.prefix, key)
	if !ok || r.shelves[member] == nil {
		return courier.Letter{}, false
	}
	l, touched, tooLarge, err := r.shelves[member].Build(r.core.term, part, func(name string) json.RawMessage { return r.body(member, name) })
	for _, p := range touched {
		r.core.hooks.Touch(r.key(member, p), store.Ordinary, nil)
	}
	for _, m := range tooLarge {
		slog.Error("mail is too large for one letter; it waits until the machine reports directly", "key", key, "machine", m)
	}
	if err != nil {
		slog.Error("mail not packed", "key", key, "err", err)
	}
	return l, l.Packed != ""
}
