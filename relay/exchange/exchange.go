// Package exchange relays messages between a controller and a leader that cannot reach each other,
// by writing the packets of package relay to the state service and reading them. It decides when and
// how much is written; what the messages say is up to its users.
//
// An Exchange is the side of a controller that does not reach the leader. Follow and Mailboxes are
// the leader's side.
package exchange

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/internal/sleep"
	"switchferry/relay"
	"switchferry/store"
	"switchferry/tuning"
)

// Exchange relays messages of one kind between this controller, Member, and a leader that it does
// not reach. Its fields are set before the first call and not changed after.
type Exchange struct {
	Member string
	Client *store.Client
	Clock  clockwork.Clock
	// Rate limits the packets that this controller writes, of all its exchanges together.
	Rate *rate.Limiter
	// UplinkKey returns the key of the i-th packet to the leader. DownlinkPrefix is the prefix of
	// the keys of the leader's packets.
	UplinkKey      func(member string, i int) string
	DownlinkPrefix string
	// RefreshEvery is the interval at which an unchanged message is written again.
	RefreshEvery time.Duration

	// Lock guards Outbox and Reader, which the owner shares.
	Lock   *sync.Mutex
	Outbox *relay.Outbox
	Reader *relay.Reader
	// Expire removes senders that are no longer relayed. It is called with Lock held.
	Expire func(now time.Time)
	// TermEnded is called with Lock held when the term that the outbox is addressed to has ended.
	TermEnded func()
}

// Run writes and reads packets while the outbox has senders. It returns once the context has ended
// and its reader has stopped.
func (e *Exchange) Run(ctx context.Context) {
	var reader sync.WaitGroup
	reader.Go(func() { e.read(ctx) })
	defer reader.Wait()
	for ctx.Err() == nil {
		sleep.For(ctx, e.Clock, tuning.RelayEvery)
		for e.Write(ctx) {
		}
	}
}

// active expires senders, and tells whether there are any left.
func (e *Exchange) active() bool {
	e.Lock.Lock()
	defer e.Lock.Unlock()
	e.Expire(e.Clock.Now())
	return e.Outbox.Len() > 0
}

// Write sends the packets that are due, as many as one transaction and Rate allow. It returns true
// if there may be more to send.
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
		slog.Error("relayed message cannot be encoded", "err", err)
	}
	if len(batch.Packets) == 0 {
		return false
	}
	var operations []store.Operation
	for i, packet := range batch.Packets {
		operations = append(operations, store.Operation{Set: e.UplinkKey(e.Member, i), Value: packet})
	}
	e.Rate.AllowN(now, len(operations))
	// The condition holds for the addressed leader only: a later one must not read these packets.
	addressed := []store.Condition{{Key: store.LeaderKey, Revision: term}}
	_, _, err = e.Client.Transact(ctx, addressed, operations)
	if err == nil {
		return true
	}
	slog.Info("relay write failed", "letters", len(operations), "err", err)
	e.Lock.Lock()
	defer e.Lock.Unlock()
	if errors.Is(err, store.ErrConflict) {
		e.TermEnded()
		return false
	}
	e.Outbox.Requeue(batch)
	return false
}

// read follows the leader's packets until the context ends. It starts with a full reading after each
// error, and each time that there are senders again.
func (e *Exchange) read(ctx context.Context) {
	after := uint64(0)
	for ctx.Err() == nil {
		if e.active() {
			next, err := e.Fetch(ctx, after)
			if err == nil {
				after = next
				continue
			}
		}
		after = 0
		sleep.For(ctx, e.Clock, tuning.RelayEvery)
	}
}

// Fetch applies the leader's packets to Reader: all of them if after is 0, otherwise those that
// changed after that revision of the state service, for which it waits. It returns the revision to
// continue from. The error is that of the state service; packets that are corrupt are logged.
func (e *Exchange) Fetch(ctx context.Context, after uint64) (uint64, error) {
	events, revision, err := e.downlinkEvents(ctx, after)
	if err != nil {
		return 0, err
	}
	e.Lock.Lock()
	defer e.Lock.Unlock()
	for _, event := range events {
		if event.Set == "" {
			continue
		}
		packet, err := parsePacket(event.Value)
		if err == nil {
			err = e.Reader.Apply(event.Set, event.Revision, &packet)
		}
		if err != nil {
			logCorruptPacket(event.Set, err)
		}
	}
	return max(after, revision), nil
}

// downlinkEvents returns the leader's packets as events, and the revision that they are as of.
func (e *Exchange) downlinkEvents(ctx context.Context, after uint64) ([]store.Event, uint64, error) {
	if after > 0 {
		return e.Client.Watch(ctx, e.DownlinkPrefix, after, tuning.WatchBlock)
	}
	items, revision, err := e.Client.List(ctx, e.DownlinkPrefix)
	var events []store.Event
	for _, item := range items {
		events = append(events, store.Event{Set: item.Key, Value: item.Value, Revision: item.Revision})
	}
	return events, revision, err
}

// parsePacket parses a value of the state service.
func parsePacket(raw json.RawMessage) (packet relay.Packet, err error) {
	if err := json.Unmarshal(raw, &packet); err != nil {
		return packet, fmt.Errorf("parsing a relayed packet: %w", err)
	}
	return packet, nil
}

// logCorruptPacket logs that the packet under a key is skipped.
func logCorruptPacket(key string, err error) {
	slog.Error("corrupt relayed message", "key", key, "err", err)
}
