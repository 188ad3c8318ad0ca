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

// The compression ratio is the number of uncompressed message bytes per byte of Packet.Packed.
const (
	// initialCompressionRatio is the estimate before the first packet is built.
	initialCompressionRatio = 2
	// minCompressionRatio is the lower bound of the estimate.
	minCompressionRatio = 0.5
	// compressionRatioMargin is the factor from the ratio of the last packet to the estimate for the next
	// one. It is below 1 so that the next packet usually fits at the first attempt.
	compressionRatioMargin = 0.9
)

// Outbox holds the latest message of each sender, to be relayed to the leader of one term. It is not
// safe for concurrent use.
type Outbox struct {
	limits Limits
	term   uint64
	// entries has the latest message of each sender, by the sender's name.
	entries map[string]*outboxEntry
	// fragments are the fragments of large messages that are not sent yet. They are sent before messages.
	fragments []Packet
	// lastMessageID is the ID of the last payload that was fragmented.
	lastMessageID uint64
	// compressionRatio is the estimated compression ratio of the next packet.
	compressionRatio float64
}

// outboxEntry is the latest message of one sender.
type outboxEntry struct {
	body json.RawMessage
	// changed is true if the message differs from the one that was last sent.
	changed bool
	// changedAt is when changed last became true.
	changedAt time.Time
	// sentAt is when Next last returned the sender's message, or zero if it never did.
	sentAt time.Time
	// updatedAt is when Put was last called for the sender.
	updatedAt time.Time
}

// NewOutbox returns an empty outbox for term 0. The IDs of fragmented messages increase from
// firstMessageID, which must be higher than the IDs that earlier processes of this member used. A
// timestamp is suitable.
func NewOutbox(limits Limits, firstMessageID uint64) *Outbox {
	return &Outbox{limits: limits, entries: map[string]*outboxEntry{}, lastMessageID: firstMessageID, compressionRatio: initialCompressionRatio}
}

// Reset empties the outbox and addresses it to the leader of term. It does nothing if the outbox is
// already addressed to that leader.
func (o *Outbox) Reset(term uint64) {
	if o.term != term {
		o.term, o.entries, o.fragments = term, map[string]*outboxEntry{}, nil
	}
}

// Term returns the term of the leader that the outbox is addressed to.
func (o *Outbox) Term() uint64 { return o.term }

// Put replaces the message of a sender. If changed is false, the message only shows that the sender is
// alive, and it is relayed only at the refresh interval of Next.
func (o *Outbox) Put(sender string, body json.RawMessage, changed bool, now time.Time) {
	entry := o.entries[sender]
	if entry == nil {
		entry = &outboxEntry{changed: true, changedAt: now}
		o.entries[sender] = entry
	}
	if changed && !entry.changed {
		entry.changed, entry.changedAt = true, now
	}
	entry.body, entry.updatedAt = body, now
}

// Len returns the number of senders.
func (o *Outbox) Len() int { return len(o.entries) }

// Expire removes the senders for which Put has not been called for longer than maxIdle, and returns
// their names in no particular order.
func (o *Outbox) Expire(now time.Time, maxIdle time.Duration) (expired []string) {
	for name, entry := range o.entries {
		if now.Sub(entry.updatedAt) > maxIdle {
			delete(o.entries, name)
			expired = append(expired, name)
		}
	}
	return expired
}

// Batch is the set of packets that one transaction writes.
type Batch struct {
	Packets []Packet
	// senders are the senders whose messages are in Packets, or in fragments that were queued for a later
	// batch. Requeue marks their messages as changed.
	senders []string
	// fragments are those of Packets that are fragments. Requeue puts them back into the queue.
	fragments []Packet
}

// Next returns the packets that are due: at most maxPackets, and never more than fit into one
// transaction. Fragments come first, then messages that changed, in the order of their changes, then
// unchanged messages that were last sent at least refreshEvery ago and whose sender has called Put since.
// They count as sent unless the batch is passed to Requeue. The batch is empty if nothing is due.
//
// The error names the senders whose messages cannot be encoded. They are removed from the outbox, and
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
			// If the message stayed in the outbox, it would block all other messages forever.
			err = errors.Join(err, fmt.Errorf("packing the message of %s: %w", senders[0], packErr))
			delete(o.entries, senders[0])
			senders = senders[1:]
			continue
		}
		if len(packed) > o.limits.maxPackedBytes() {
			o.queueFragments(packed)
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

// dueSenders returns the senders whose messages are due, in the order in which they are sent.
func (o *Outbox) dueSenders(now time.Time, refreshEvery time.Duration) []string {
	var senders []string
	for name, entry := range o.entries {
		refresh := entry.updatedAt.After(entry.sentAt) && now.Sub(entry.sentAt) >= refreshEvery
		if entry.changed || refresh {
			senders = append(senders, name)
		}
	}
	slices.SortFunc(senders, func(a, b string) int {
		return cmp.Or(o.entries[a].compareUrgency(o.entries[b]), cmp.Compare(a, b))
	})
	return senders
}

// compareUrgency orders entries by urgency: changed entries before unchanged ones, then the one that has
// waited longest first.
func (e *outboxEntry) compareUrgency(other *outboxEntry) int {
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

// packNext packs messages of the first senders into the payload of one packet: at least one message, and
// no more than are estimated to fit. It returns their count and the payload, which exceeds the size of a
// packet only if count is 1. The error is that of encoding the first sender's message.
func (o *Outbox) packNext(senders []string) (count int, packed string, err error) {
	count = o.estimateCount(senders)
	for {
		messages := make([]Message, 0, count)
		uncompressedBytes := 0
		for _, name := range senders[:count] {
			messages = append(messages, Message{name, o.entries[name].body})
			uncompressedBytes += o.uncompressedBytes(name)
		}
		packed, err = compress.EncodeFast(messages)
		if err != nil && count == 1 {
			return count, "", err
		}
		if err != nil {
			count = 1
			continue
		}
		ratio := compressionRatioMargin * float64(uncompressedBytes) / float64(len(packed))
		o.compressionRatio = max(minCompressionRatio, min(tuning.PacketCompressionRatio, ratio))
		if count == 1 || len(packed) <= o.limits.maxPackedBytes() {
			return count, packed, nil
		}
		count /= 2
	}
}

// estimateCount returns the number of messages of the first senders that are likely to fit into one
// packet, at least 1.
func (o *Outbox) estimateCount(senders []string) int {
	maxUncompressedBytes := o.compressionRatio * float64(o.limits.maxPackedBytes())
	uncompressedBytes := 0
	for i, name := range senders {
		uncompressedBytes += o.uncompressedBytes(name)
		if i > 0 && float64(uncompressedBytes) > maxUncompressedBytes {
			return i
		}
	}
	return len(senders)
}

// uncompressedBytes returns the size of a sender's message in bytes before compression.
func (o *Outbox) uncompressedBytes(sender string) int {
	return len(o.entries[sender].body) + len(sender)
}

// queueFragments splits a payload that is too large for one packet into fragments and queues them.
func (o *Outbox) queueFragments(packed string) {
	o.lastMessageID++
	size := o.limits.maxPackedBytes()
	total := (len(packed) + size - 1) / size
	for index := range total {
		o.fragments = append(o.fragments, Packet{
			Term:          o.term,
			Packed:        packed[index*size : min(len(packed), (index+1)*size)],
			MessageID:     o.lastMessageID,
			FragmentIndex: index,
			FragmentCount: total,
		})
	}
}

// Requeue puts a batch that may not have been written back into the outbox. Fragments that are addressed
// to the leader of another term are dropped.
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
