// Package exchange relays messages between a controller and a leader that cannot reach each other: each
// writes packets of package relay to the state service, from which the other reads them. The package
// decides when and how much is written; its users define the content of the messages.
//
// An Exchange is used by a controller that cannot reach the leader. Follow and Mailboxes are used by
// the leader.
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

// Exchange relays messages of one kind between this controller and a leader that it cannot reach. Its
// fields are set before the first call and not changed afterwards.
type Exchange struct {
	// Member is the name of this controller.
	Member string
	Client *store.Client
	Clock  clockwork.Clock
	// WriteLimiter limits the packets that all exchanges of this controller together write.
	WriteLimiter *rate.Limiter
	// UplinkKey returns the key of packet i to the leader, counted from 0. DownlinkPrefix is the
	// prefix of the keys of the leader's packets to this controller.
	UplinkKey      func(member string, i int) string
	DownlinkPrefix string
	// RefreshEvery is the interval at which an unchanged message is written again.
	RefreshEvery time.Duration

	// Lock guards Outbox and Reader, which the owner of the exchange uses too.
	Lock   *sync.Mutex
	Outbox *relay.Outbox
	Reader *relay.Reader
	// Expire removes senders that have sent nothing for too long. It is called with Lock held.
	Expire func(now time.Time)
	// TermEnded is called with Lock held when the term of the leader to which the outbox is addressed
	// has ended.
	TermEnded func()
}

// Run writes and reads packets while the outbox has senders. It returns once the context has ended and
// the goroutine that reads has stopped.
func (e *Exchange) Run(ctx context.Context) {
	var reader sync.WaitGroup
	reader.Go(func() { e.read(ctx) })
	defer reader.Wait()
	for ctx.Err() == nil {
		sleep.For(ctx, e.Clock, tuning.RelayInterval)
		for e.Write(ctx) {
		}
	}
}

// hasActiveSenders expires senders and reports whether any are left.
func (e *Exchange) hasActiveSenders() bool {
	e.Lock.Lock()
	defer e.Lock.Unlock()
	e.Expire(e.Clock.Now())
	return e.Outbox.Len() > 0
}

// Write writes the packets that are due, as many as one transaction and WriteLimiter allow. It returns
// true if more packets may be due.
func (e *Exchange) Write(ctx context.Context) bool {
	if !e.hasActiveSenders() {
		return false
	}
	now := e.Clock.Now()
	maxPackets := int(e.WriteLimiter.TokensAt(now))
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
	e.WriteLimiter.AllowN(now, len(operations))
	// The condition holds only while the addressed leader leads: a later leader must not read these
	// packets.
	addressedLeader := []store.Condition{{Key: store.LeaderKey, Revision: term}}
	_, _, err = e.Client.Transact(ctx, addressedLeader, operations)
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

// read applies the leader's packets as they change, until the context ends. It reads all packets first,
// and again after each error and each time that senders appear after there were none.
func (e *Exchange) read(ctx context.Context) {
	after := uint64(0)
	for ctx.Err() == nil {
		if e.hasActiveSenders() {
			next, err := e.Fetch(ctx, after)
			if err == nil {
				after = next
				continue
			}
		}
		after = 0
		sleep.For(ctx, e.Clock, tuning.RelayInterval)
	}
}

// Fetch applies the leader's packets to Reader: all of them if after is 0, otherwise those that
// changed after that revision of the state service, for which it waits up to tuning.WatchTimeout. It
// returns the revision to continue from. An error means that the state service could not be read;
// corrupt packets are logged and skipped.
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

// downlinkEvents returns the leader's packets as events, and the revision of the state service at which
// they were read.
func (e *Exchange) downlinkEvents(ctx context.Context, after uint64) ([]store.Event, uint64, error) {
	if after > 0 {
		return e.Client.Watch(ctx, e.DownlinkPrefix, after, tuning.WatchTimeout)
	}
	items, revision, err := e.Client.List(ctx, e.DownlinkPrefix)
	var events []store.Event
	for _, item := range items {
		events = append(events, store.Event{Set: item.Key, Value: item.Value, Revision: item.Revision})
	}
	return events, revision, err
}

// parsePacket parses a packet from a value of the state service.
func parsePacket(raw json.RawMessage) (packet relay.Packet, err error) {
	if err := json.Unmarshal(raw, &packet); err != nil {
		return packet, fmt.Errorf("parsing a relayed packet: %w", err)
	}
	return packet, nil
}

// logCorruptPacket logs that the packet with the given key is skipped as corrupt.
func logCorruptPacket(key string, err error) {
	slog.Error("corrupt relayed message", "key", key, "err", err)
}
