package exchange

import (
	"context"
	"errors"

	"github.com/jonboulle/clockwork"

	"switchferry/internal/sleep"
	"switchferry/relay"
	"switchferry/store"
	"switchferry/tuning"
)

// Follow passes the messages that peers relay to the leader to deliver, until the context ends. It reads
// the packets whose keys have the prefix and that changed after the given revision of the state
// service. Packets that are not addressed to the leader of term are ignored. Follow calls deliver only
// from the goroutine in which it runs.
func Follow(ctx context.Context, client *store.Client, clock clockwork.Clock, prefix string, after uint64, term uint64, deliver func(member string, message relay.Message)) {
	var reassembler relay.Reassembler
	for ctx.Err() == nil {
		events, revision, err := client.Watch(ctx, prefix, after, tuning.InboxWatchTimeout)
		if errors.Is(err, store.ErrCompacted) {
			// Only the revision is needed, since senders repeat their messages.
			_, revision, err = client.List(ctx, prefix)
		}
		if err != nil {
			sleep.For(ctx, clock, tuning.ErrorRetryDelay)
			continue
		}
		UnpackEvents(events, prefix, term, &reassembler, deliver)
		after = max(after, revision)
	}
}

// UnpackEvents passes the messages in the packets that the events set to deliver, each with the name of
// the member that relayed it. Packets that are not addressed to the leader of term are ignored; corrupt
// packets are logged and skipped.
func UnpackEvents(events []store.Event, prefix string, term uint64, reassembler *relay.Reassembler, deliver func(member string, message relay.Message)) {
	for _, event := range events {
		if event.Set == "" {
			continue
		}
		member := store.PacketKeyMember(prefix, event.Set)
		packet, err := parsePacket(event.Value)
		if err == nil && packet.Term != term {
			continue
		}
		var messages []relay.Message
		if err == nil {
			messages, err = reassembler.Unpack(member, &packet)
		}
		if err != nil {
			logCorruptPacket(event.Set, err)
			continue
		}
		for _, message := range messages {
			deliver(member, message)
		}
	}
}

// ClaimPackets registers the packets of earlier leaders with the committer, which then overwrites or
// deletes them. It retries until the packets have been listed or the context ends.
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
		sleep.For(ctx, clock, tuning.ErrorRetryDelay)
	}
}
