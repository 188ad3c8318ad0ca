package controller

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"switchferry/courier"
	"switchferry/store"
	"switchferry/tuning"
)

// letterRate is what this controller writes of letters, all kinds together: the leader's
// records come first.
func letterRate(n *Node) *rate.Limiter {
	share := tuning.RelayShare * n.set.Facts.State.Least().WriteRPS
	return rate.NewLimiter(rate.Limit(share), max(letterLimits(n.set.Facts.State).Letters(), int(share)))
}

// post carries letters of one kind between this controller and a leader that it does not
// reach. What they say is for whoever made it.
type post struct {
	n    *Node
	rate *rate.Limiter
	// up names the value that a letter to the leader goes into; down is the prefix of
	// the leader's.
	up   func(member string, i int) string
	down string
	keep time.Duration
	// mu guards box and reader, which stand in what the owner keeps.
	mu     *sync.Mutex
	box    *courier.Outbox
	reader *courier.Reader
	// forget drops senders that went elsewhere; over: the term that letters were for has
	// ended. Both are called with mu held.
	forget func(now time.Time)
	over   func()
}

// run writes and reads while there is somebody to carry letters for.
func (p *post) run(ctx context.Context) {
	go p.read(ctx)
	for ctx.Err() == nil {
		p.n.sleep(ctx, tuning.RelayEvery)
		for p.write(ctx) {
		}
	}
}

func (p *post) active() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(p.n.clock.Now())
	return p.box.Len() > 0
}

// write passes on one transaction of letters. True: there may be more.
func (p *post) write(ctx context.Context) bool {
	if !p.active() {
		return false
	}
	now := p.n.clock.Now()
	most := int(p.rate.TokensAt(now))
	if most < 1 {
		return false
	}
	p.mu.Lock()
	batch, err := p.box.Next(now, p.keep, most)
	term := p.box.Term()
	p.mu.Unlock()
	if err != nil {
		slog.Error("a report cannot be passed on", "err", err)
	}
	if len(batch.Letters) == 0 {
		return false
	}
	var ops []store.Op
	for i, l := range batch.Letters {
		ops = append(ops, store.Op{Set: p.up(p.n.set.Member, i), Value: l})
	}
	p.rate.AllowN(now, len(ops))
	// Only the leader that they are meant for may be told.
	_, _, err = p.n.client.Multi(ctx, []store.Cond{{Key: store.LeaderKey, Stamp: term}}, ops)
	if err == nil {
		return true
	}
	slog.Info("reports not passed on", "letters", len(ops), "err", err)
	p.mu.Lock()
	defer p.mu.Unlock()
	if errors.Is(err, store.ErrConflict) {
		p.over()
		return false
	}
	p.box.Failed(batch)
	return false
}

// read follows the leader's letters.
func (p *post) read(ctx context.Context) {
	after := uint64(0)
	for ctx.Err() == nil {
		if !p.active() {
			after = 0
		} else if next, err := p.fetch(ctx, after); err == nil {
			after = next
			continue
		} else {
			after = 0
		}
		p.n.sleep(ctx, tuning.RelayEvery)
	}
}

// fetch takes in the leader's letters: all that stand, or, after a revision, those that
// are new. It gives the revision to go on from.
func (p *post) fetch(ctx context.Context, after uint64) (uint64, error) {
	var log []store.Event
	var epoch uint64
	var err error
	if after > 0 {
		log, epoch, err = p.n.client.Watch(ctx, p.down, after, tuning.WatchBlock)
	} else {
		var all []store.Item
		all, epoch, err = p.n.client.List(ctx, p.down)
		for _, it := range all {
			log = append(log, store.Event{Set: it.Key, Value: it.Value, Stamp: it.Stamp})
		}
	}
	if err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range log {
		if e.Set == "" {
			continue
		}
		var l courier.Letter
		err := json.Unmarshal(e.Value, &l)
		if err == nil {
			err = p.reader.Take(e.Set, e.Stamp, &l)
		}
		if err != nil {
			slog.Error("a letter of the leader is damaged", "key", e.Set, "err", err)
		}
	}
	return max(after, epoch), nil
}

// letters is the leader's side: it takes in what siblings pass on under a prefix, after a
// revision, until the context ends.
func (n *Node) letters(ctx context.Context, prefix string, after uint64, term uint64, take func(member string, m courier.Message)) {
	var joiner courier.Joiner
	for ctx.Err() == nil {
		log, epoch, err := n.client.Watch(ctx, prefix, after, tuning.InboxBlock)
		if errors.Is(err, store.ErrTooOld) {
			// What senders say comes again and again: only the revision matters.
			_, epoch, err = n.client.List(ctx, prefix)
		}
		if err != nil {
			n.sleep(ctx, tuning.ElectRetry)
			continue
		}
		open(log, prefix, term, &joiner, take)
		after = max(after, epoch)
	}
}

// open takes the messages out of letters for the leader of a term.
func open(log []store.Event, prefix string, term uint64, joiner *courier.Joiner, take func(member string, m courier.Message)) {
	for _, e := range log {
		if e.Set == "" {
			continue
		}
		member := store.LetterFrom(prefix, e.Set)
		var l courier.Letter
		err := json.Unmarshal(e.Value, &l)
		if err == nil && l.Term != term {
			continue
		}
		var ms []courier.Message
		if err == nil {
			ms, err = joiner.Open(member, &l)
		}
		if err != nil {
			slog.Error("a letter of a sibling is damaged", "key", e.Set, "err", err)
			continue
		}
		for _, m := range ms {
			take(member, m)
		}
	}
}
