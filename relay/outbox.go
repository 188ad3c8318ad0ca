package relay

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"switchferry/internal/compress"
	"switchferry/tuning"
)

// The compression ratio is the number of bytes of messages for each byte of Packet.Packed. It is
// estimated from the packets that were made before.
const (
	initialCompressionRatio = 2
	minCompressionRatio     = 0.5
	// compressionRatioMargin lowers the measured ratio, so that the next packet fits at the
	// first attempt.
	compressionRatioMargin = 0.9
)

// Outbox holds the newest message of each sender, to be relayed to the leader of one term. It is
// not safe for concurrent use.
type Outbox struct {
	limits Limits
	term   uint64
	// entries has the newest message of each sender, by its name.
	entries map[string]*outboxEntry
	// fragments are those of large messages that are still to be sent. They go first.
	fragments []Packet
	// lastID is the ID of the message that was fragmented last.
	lastID           uint64
	compressionRatio float64
}

// outboxEntry is the newest message of one sender.
type outboxEntry struct {
	body json.RawMessage
	// changed tells that the message differs from the one that was sent last, and changedAt
	// since when.
	changed   bool
	changedAt time.Time
	// sentAt is when the message was last handed out by Next; zero: never.
	sentAt time.Time
	// updatedAt is when the sender last called Put.
	updatedAt time.Time
}

// NewOutbox returns an empty outbox for term 0. The IDs of fragmented messages count up from
// firstID, which must be above any that an earlier process of this member used; a timestamp does.
func NewOutbox(limits Limits, firstID uint64) *Outbox {
	return &Outbox{limits: limits, entries: map[string]*outboxEntry{}, lastID: firstID, compressionRatio: initialCompressionRatio}
}

// Reset empties the outbox and addresses it to the leader of term. It does nothing if the outbox
// is addressed to that one already.
func (o *Outbox) Reset(term uint64) {
	if o.term != term {
		o.term, o.entries, o.fragments = term, map[string]*outboxEntry{}, nil
	}
}

// Term returns the term of the leader that the outbox is addressed to.
func (o *Outbox) Term() uint64 { return o.term }

// Put replaces the message of a sender. If changed is false, the message only shows that the sender
// is still alive; it is then relayed at the pace of refreshes.
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

// Len returns the number of senders.
func (o *Outbox) Len() int { return len(o.entries) }

// Expire removes the senders that have not called Put for longer than maxIdle, and returns their
// names in no particular order.
func (o *Outbox) Expire(now time.Time, maxIdle time.Duration) (expired []string) {
	for name, entry := range o.entries {
		if now.Sub(entry.updatedAt) > maxIdle {
			delete(o.entries, name)
			expired = append(expired, name)
		}
	}
	return expired
}

// Batch is what one transaction sends.
type Batch struct {
	Packets []Packet
	// senders are those whose messages are in Packets, and fragments the Packets that are
	// fragments: what Requeue puts back.
	senders   []string
	fragments []Packet
}

// Next takes out the packets that are due, at most maxPackets and never more than one transaction
// carries. Fragments go first, then messages that changed, those that have waited longest first,
// then messages that have not been sent for refreshEvery although their sender is alive. They count
// as sent unless Requeue puts them back. The batch is empty if nothing is due.
//
// The error names senders whose messages cannot be encoded. They are removed from the outbox, and
// the batch is valid without them.
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
			// Kept, it would block all other messages for ever.
			err = errors.Join(err, fmt.Errorf("packing the message of %s: %w", senders[0], packErr))
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

// dueSenders returns the senders whose messages are to be sent now, in the order of sending.
func (o *Outbox) dueSenders(now time.Time, refreshEvery time.Duration) []string {
	var senders []string
	for name, entry := range o.entries {
		refresh := entry.updatedAt.After(entry.sentAt) && now.Sub(entry.sentAt) >= refreshEvery
		if entry.changed || refresh {
			senders = append(senders, name)
		}
	}
	slices.SortFunc(senders, func(a, b string) int {
		return cmp.Or(o.entries[a].compare(o.entries[b]), cmp.Compare(a, b))
	})
	return senders
}

// compare orders entries by the time at which they are due: changed before unchanged, then the
// longest waiting first.
func (e *outboxEntry) compare(other *outboxEntry) int {
	switch {
	case e.changed && !other.changed:
		return -1
	case !e.changed && other.changed:
		return 1
	case e.changed:
		return e.changedAt.Compare(other.changedAt)
	}
	return e.sentAt.Compare(other.sentAt)
}

// packNext packs as many messages of the first senders as fit into one packet, and at least one. It
// returns how many, and the payload, which exceeds a packet only if count is 1. The error is that
// of the first sender's message.
func (o *Outbox) packNext(senders []string) (count int, packed string, err error) {
	count = o.estimateCount(senders)
	for {
		messages := make([]Message, 0, count)
		rawBytes := 0
		for _, name := range senders[:count] {
			messages = append(messages, Message{name, o.entries[name].body})
			rawBytes += o.rawBytes(name)
		}
		packed, err = compress.EncodeFast(messages)
		if err != nil && count == 1 {
			return count, "", err
		}
		if err != nil {
			count = 1
			continue
		}
		ratio := compressionRatioMargin * float64(rawBytes) / float64(len(packed))
		o.compressionRatio = max(minCompressionRatio, min(tuning.PacketRatio, ratio))
		if count == 1 || len(packed) <= o.limits.packedBytes() {
			return count, packed, nil
		}
		count /= 2
	}
}

// estimateCount returns how many messages of the first senders are likely to fit into one packet,
// at least 1.
func (o *Outbox) estimateCount(senders []string) int {
	maxRawBytes := o.compressionRatio * float64(o.limits.packedBytes())
	rawBytes := 0
	for i, name := range senders {
		rawBytes += o.rawBytes(name)
		if i > 0 && float64(rawBytes) > maxRawBytes {
			return i
		}
	}
	return len(senders)
}

// rawBytes returns the size of a sender's message before compression.
func (o *Outbox) rawBytes(name string) int { return len(o.entries[name].body) + len(name) }

// fragment queues a payload that is too large for one packet in fragments.
func (o *Outbox) fragment(packed string) {
	o.lastID++
	size := o.limits.packedBytes()
	total := (len(packed) + size - 1) / size
	for piece := range total {
		o.fragments = append(o.fragments, Packet{
			Term:   o.term,
			Packed: packed[piece*size : min(len(packed), (piece+1)*size)],
			ID:     o.lastID,
			Piece:  piece,
			Of:     total,
		})
	}
}

// Requeue puts back a batch that may not have been sent. Fragments for the leader of an earlier
// term are dropped.
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
