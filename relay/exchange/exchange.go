// Package exchange carries letters (package courier) through the state service: a controller's to a leader that it does
// not reach, and the leader's to those behind each sibling. It knows when and how much is written, not what is said.
package exchange

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/relay"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
)

// Follow is the leader's side: it takes in what siblings pass on under a prefix, after a
// revision, until the context ends.
func Follow(ctx context.Context, client *store.Client, clock clockwork.Clock, prefix string, after uint64, term uint64, deliver func(member string, message relay.Message)) {
	var reassembler relay.Reassembler
	for ctx.Err() == nil {
		events, revision, err := client.Watch(ctx, prefix, after, tuning.InboxBlock)
		if errors.Is(err, store.ErrCompacted) {
			// What senders say comes again and again: only the revision matters.
			_, revision, err = client.List(ctx, prefix)
		}
		if err != nil {
			sleep(ctx, clock, tuning.ElectRetry)
			continue
		}
		UnpackEvents(events, prefix, term, &reassembler, deliver)
		after = max(after, revision)
	}
}

// ClaimPackets lets letters of earlier terms be written over, or go.
func ClaimPackets(ctx context.Context, client *store.Client, clock clockwork.Clock, committer *store.Committer, prefix string) {
	for {
		items, _, err := client.List(ctx, prefix)
		for _, item := range items {
			committer.SetRevision(item.Key, item.Revision)
			committer.MarkDirty(item.Key, store.Lazy, nil)
		}
		if err == nil || ctx.Err() != nil {
			return
		}
		sleep(ctx, clock, tuning.ElectRetry)
	}
}

func sleep(ctx context.Context, clock clockwork.Clock, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(duration):
	}
}

// PacketLimits are what letters through the state service must keep.
func PacketLimits(facts settings.State) relay.Limits {
	least := facts.Least()
	return relay.Limits{Value: least.ValueBytes(), Request: tuning.LetterRequest, Ops: least.TxnOps}
}

// WriteRate is what a controller writes of letters, all kinds together: the leader's records come first.
func WriteRate(facts settings.State) *rate.Limiter {
	writesPerSecond := tuning.RelayShare * facts.Least().WriteRPS
	return rate.NewLimiter(rate.Limit(writesPerSecond), max(PacketLimits(facts).MaxPackets(), int(writesPerSecond)))
}

// Exchange carries letters of one kind between this controller, Member, and a leader that it does not
// reach. What they say is for whoever made it.
type Exchange struct {
	Member string
	Client *store.Client
	Clock  clockwork.Clock
	Rate   *rate.Limiter
	// UplinkKey names the value that a letter to the leader goes into; DownlinkPrefix is the prefix of
	// the leader's.
	UplinkKey      func(member string, i int) string
	DownlinkPrefix string
	// RefreshEvery is how long an unchanged message is not written again.
	RefreshEvery time.Duration
	// Lock guards Box and Reader, which stand in what the owner keeps.
	Lock   *sync.Mutex
	Outbox *relay.Outbox
	Reader *relay.Reader
	// Expire drops senders that went elsewhere; TermEnded: the term that letters were for has
	// ended. Both are called with the lock held.
	Expire    func(now time.Time)
	TermEnded func()
}

// Run writes and reads while there is somebody to carry letters for.
func (e *Exchange) Run(ctx context.Context) {
	go e.read(ctx)
	for ctx.Err() == nil {
		sleep(ctx, e.Clock, tuning.RelayEvery)
		for e.Write(ctx) {
		}
	}
}

func (e *Exchange) active() bool {
	e.Lock.Lock()
	defer e.Lock.Unlock()
	e.Expire(e.Clock.Now())
	return e.Outbox.Len() > 0
}

// Write passes on one transaction of letters. True: there may be more.
func (e *Exchange) Write(ctx context.Context) bool {
	if !e.active() {
		return false
	}
	now := e.Clock.Now()
	maxPackets := int(e.Rate.TokensAt(now))
	if maxPackets < 1 {
		return false
	}
	e.Lock.Lock()
	batch, err := e.Outbox.Next(now, e.RefreshEvery, maxPackets)
	term := e.Outbox.Term()
	e.Lock.Unlock()
	if err != nil {
		slog.Error("a report cannot be passed on", "err", err)
	}
	if len(batch.Packets) == 0 {
		return false
	}
	var ops []store.Operation
	for i, packet := range batch.Packets {
		ops = append(ops, store.Operation{Set: e.UplinkKey(e.Member, i), Value: packet})
	}
	e.Rate.AllowN(now, len(ops))
	// Only the leader that they are meant for may be told.
	_, _, err = e.Client.Transact(ctx, []store.Condition{{Key: store.LeaderKey, Revision: term}}, ops)
	if err == nil {
		return true
	}
	slog.Info("reports not passed on", "letters", len(ops), "err", err)
	e.Lock.Lock()
	defer e.Lock.Unlock()
	if errors.Is(err, store.ErrConflict) {
		e.TermEnded()
		return false
	}
	e.Outbox.Requeue(batch)
	return false
}

// read follows the leader's letters.
func (e *Exchange) read(ctx context.Context) {
	after := uint64(0)
	for ctx.Err() == nil {
		if !e.active() {
			after = 0
		} else if next, err := e.Fetch(ctx, after); err == nil {
			after = next
			continue
		} else {
			after = 0
		}
		sleep(ctx, e.Clock, tuning.RelayEvery)
	}
}

// Fetch takes in the leader's letters: all that stand, or, after a revision, those that
// are new. It gives the revision to go on from.
func (e *Exchange) Fetch(ctx context.Context, after uint64) (uint64, error) {
	var events []store.Event
	var revision uint64
	var err error
	if after > 0 {
		events, revision, err = e.Client.Watch(ctx, e.DownlinkPrefix, after, tuning.WatchBlock)
	} else {
		var items []store.Item
		items, revision, err = e.Client.List(ctx, e.DownlinkPrefix)
		for _, item := range items {
			events = append(events, store.Event{Set: item.Key, Value: item.Value, Revision: item.Revision})
		}
	}
	if err != nil {
		return 0, err
	}
	e.Lock.Lock()
	defer e.Lock.Unlock()
	for _, event := range events {
		if event.Set == "" {
			continue
		}
		var packet relay.Packet
		err := json.Unmarshal(event.Value, &packet)
		if err == nil {
			err = e.Reader.Apply(event.Set, event.Revision, &packet)
		}
		if err != nil {
			slog.Error("a letter of the leader is damaged", "key", event.Set, "err", err)
		}
	}
	return max(after, revision), nil
}

// UnpackEvents takes the messages out of letters for the leader of a term.
func UnpackEvents(events []store.Event, prefix string, term uint64, reassembler *relay.Reassembler, deliver func(member string, message relay.Message)) {
	for _, event := range events {
		if event.Set == "" {
			continue
		}
		member := store.RelaySender(prefix, event.Set)
		var packet relay.Packet
		err := json.Unmarshal(event.Value, &packet)
		if err == nil && packet.Term != term {
			continue
		}
		var messages []relay.Message
		if err == nil {
			messages, err = reassembler.Unpack(member, &packet)
		}
		if err != nil {
			slog.Error("a letter of a sibling is damaged", "key", event.Set, "err", err)
			continue
		}
		for _, message := range messages {
			deliver(member, message)
		}
	}
}
