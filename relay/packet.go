// Package relay is the store-and-forward protocol by which a controller and a leader that cannot
// reach each other exchange messages through values of the state service. It packs messages into
// packets of bounded size, decides their order and reassembles them. It does no I/O and does not
// interpret message bodies; package exchange reads and writes the packets.
//
// In both directions only the newest message of a name matters. Towards the leader, an Outbox
// sends messages that changed, and repeats unchanged ones at intervals; a Reassembler opens its
// packets. From the leader, a Mailbox spreads the current message of each machine over as many
// packets as it takes, so that a Reader that starts late misses nothing.
//
// The payload of a packet is a JSON list of messages, compressed with zstd. A message that is
// larger than a packet crosses from an Outbox in fragments.
package relay

import (
	"encoding/json"

	"switchferry/tuning"
)

// Packet is one value in the state service.
type Packet struct {
	// Term is the term of the leader that the packet is addressed to or comes from.
	Term uint64 `json:"term"`
	// Packed is a list of messages, or a fragment of one: base64 of a zstd frame.
	Packed string `json:"z"`
	// ID, Piece and Of are set in fragments only: ID names the fragmented message and increases
	// from one to the next, Piece is the index of the fragment, from 0, and Of their number.
	ID    uint64 `json:"id,omitempty"`
	Piece int    `json:"piece,omitempty"`
	Of    int    `json:"of,omitempty"`
}

// Message is the newest statement of a sender, or the newest message for a recipient.
type Message struct {
	// Name is the machine that sent the message or is to receive it.
	Name string          `json:"n"`
	Body json.RawMessage `json:"b"`
}

// Limits are the limits of the state service that packets must keep.
type Limits struct {
	// Value is the largest value and Request the largest transaction, in bytes.
	Value, Request int
	// Ops is the largest number of operations in a transaction.
	Ops int
}

// MaxPackets returns how many full packets one transaction carries, at least 1.
func (l Limits) MaxPackets() int { return max(1, min(l.Ops, l.Request/max(1, l.Value))) }

// packedBytes returns the largest Packet.Packed, in bytes.
func (l Limits) packedBytes() int { return l.Value - tuning.PacketMargin }
