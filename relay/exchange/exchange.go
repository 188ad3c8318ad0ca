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
func Follow(ctx context.Context, client *store.Client, clock clockwork.Clock, prefix string, after uint64, term uint64, take func(member string, m relay.Message)) {
	var joiner relay.Reassembler
	for ctx.Err() == nil {
		log, epoch, err := client.Watch(ctx, prefix, after, tuning.InboxBlock)
		if errors.Is(err, store.ErrCompacted) {
			// What senders say comes again and again: only the revision matters.
			_, epoch, err = client.List(ctx, prefix)
		}
		if err != nil {
			sleep(ctx, clock, tuning.ElectRetry)
			continue
		}
		UnpackEvents(log, prefix, term, &joiner, take)
		after = max(after, epoch)
	}
}

// ClaimPackets lets letters of earlier terms be written over, or go.
func ClaimPackets(ctx context.Context, client *store.Client, clock clockwork.Clock, committer *store.Committer, prefix string) {
	for {
		old, _, err := client.List(ctx, prefix)
		for _, it := range old {
			committer.SetRevision(it.Key, it.Revision)
			committer.MarkDirty(it.Key, store.Lazy, nil)
		}
		if err == nil || ctx.Err() != nil {
			return
		}
		sleep(ctx, clock, tuning.ElectRetry)
	}
}

func sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(d):
	}
}

// PacketLimits are what letters through the state service must keep.
func PacketLimits(f settings.State) relay.Limits {
	least := f.Least()
	return relay.Limits{Value: least.ValueBytes(), Request: tuning.LetterRequest, Ops: least.TxnOps}
}

// WriteRate is what a controller writes of letters, all kinds together: the leader's records come first.
func WriteRate(f settings.State) *rate.Limiter {
	share := tuning.RelayShare * f.Least().WriteRPS
	return rate.NewLimiter(rate.Limit(share), max(PacketLimits(f).MaxPackets(), int(share)))
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
func (x *Exchange) Run(ctx context.Context) {
	go x.read(ctx)
	for ctx.Err() == nil {
		sleep(ctx, x.Clock, tuning.RelayEvery)
		for x.Write(ctx) {
		}
	}
}

func (x *Exchange) active() bool {
	x.Lock.Lock()
	defer x.Lock.Unlock()
	x.Expire(x.Clock.Now())
	return x.Outbox.Len() > 0
}

// Write passes on one transaction of letters. True: there may be more.
func (x *Exchange) Write(ctx context.Context) bool {
	if !x.active() {
		return false
	}
	now := x.Clock.Now()
	most := int(x.Rate.TokensAt(now))
	if most < 1 {
		return false
	}
	x.Lock.Lock()
	batch, err := x.Outbox.Next(now, x.RefreshEvery, most)
	term := x.Outbox.Term()
	x.Lock.Unlock()
	if err != nil {
		slog.Error("a report cannot be passed on", "err", err)
	}
	if len(batch.Packets) == 0 {
		return false
	}
	var ops []store.Operation
	for i, l := range batch.Packets {
		ops = append(ops, store.Operation{Set: x.UplinkKey(x.Member, i), Value: l})
	}
	x.Rate.AllowN(now, len(ops))
	// Only the leader that they are meant for may be told.
	_, _, err = x.Client.Transact(ctx, []store.Condition{{Key: store.LeaderKey, Revision: term}}, ops)
	if err == nil {
		return true
	}
	slog.Info("reports not passed on", "letters", len(ops), "err", err)
	x.Lock.Lock()
	defer x.Lock.Unlock()
	if errors.Is(err, store.ErrConflict) {
		x.TermEnded()
		return false
	}
	x.Outbox.Requeue(batch)
	return false
}

// read follows the leader's letters.
func (x *Exchange) read(ctx context.Context) {
	after := uint64(0)
	for ctx.Err() == nil {
		if !x.active() {
			after = 0
		} else if next, err := x.Fetch(ctx, after); err == nil {
			after = next
			continue
		} else {
			after = 0
		}
		sleep(ctx, x.Clock, tuning.RelayEvery)
	}
}

// Fetch takes in the leader's letters: all that stand, or, after a revision, those that
// are new. It gives the revision to go on from.
func (x *Exchange) Fetch(ctx context.Context, after uint64) (uint64, error) {
	var log []store.Event
	var epoch uint64
	var err error
	if after > 0 {
		log, epoch, err = x.Client.Watch(ctx, x.DownlinkPrefix, after, tuning.WatchBlock)
	} else {
		var all []store.Item
		all, epoch, err = x.Client.List(ctx, x.DownlinkPrefix)
		for _, it := range all {
			log = append(log, store.Event{Set: it.Key, Value: it.Value, Revision: it.Revision})
		}
	}
	if err != nil {
		return 0, err
	}
	x.Lock.Lock()
	defer x.Lock.Unlock()
	for _, e := range log {
		if e.Set == "" {
			continue
		}
		var l relay.Packet
		err := json.Unmarshal(e.Value, &l)
		if err == nil {
			err = x.Reader.Apply(e.Set, e.Revision, &l)
		}
		if err != nil {
			slog.Error("a letter of the leader is damaged", "key", e.Set, "err", err)
		}
	}
	return max(after, epoch), nil
}

// UnpackEvents takes the messages out of letters for the leader of a term.
func UnpackEvents(log []store.Event, prefix string, term uint64, joiner *relay.Reassembler, take func(member string, m relay.Message)) {
	for _, e := range log {
		if e.Set == "" {
			continue
		}
		member := store.RelaySender(prefix, e.Set)
		var l relay.Packet
		err := json.Unmarshal(e.Value, &l)
		if err == nil && l.Term != term {
			continue
		}
		var ms []relay.Message
		if err == nil {
			ms, err = joiner.Unpack(member, &l)
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
