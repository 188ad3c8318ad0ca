// Package relay implements the store-and-forward protocol by which a controller and a leader that
// cannot reach each other exchange messages through values of the state service. It packs messages into
// packets of bounded size, determines their order and reassembles them. It does no I/O and does not
// interpret message bodies. Package exchange reads and writes the packets.
//
// In both directions, only the latest message of each machine matters. Towards the leader, an Outbox
// sends messages that changed and resends unchanged ones at intervals, and a Reassembler unpacks its
// packets. From the leader, a Mailbox distributes the current message of each machine over as many
// packets as necessary, so that a Reader that starts late still receives every message.
//
// The payload of a packet is a JSON list of messages, compressed with zstd. An Outbox sends a message
// that is larger than a packet in fragments.
package relay

import (
	"encoding/json"

	"switchferry/tuning"
)

// Packet is the content of one value in the state service.
type Packet struct {
	// Term is the term of the leader that the packet is addressed to or comes from.
	Term uint64 `json:"term"`
	// Packed is the payload, a zstd frame in base64, or a fragment of it.
	Packed string `json:"z"`
	// MessageID identifies the fragmented message; later messages have higher IDs. MessageID, FragmentIndex and
	// FragmentCount are set only in fragments.
	MessageID uint64 `json:"id,omitempty"`
	// FragmentIndex is the zero-based index of the fragment.
	FragmentIndex int `json:"piece,omitempty"`
	// FragmentCount is the number of fragments of the message.
	FragmentCount int `json:"of,omitempty"`
}

// Message is the latest message of a sender, or the latest message for a recipient.
type Message struct {
	// Name is the name of the machine that sent the message or that is its recipient.
	Name string          `json:"n"`
	Body json.RawMessage `json:"b"`
}

// Limits are the limits of the state service that apply to packets.
type Limits struct {
	// MaxValueBytes is the maximum size of a value, in bytes.
	MaxValueBytes int
	// MaxRequestBytes is the maximum size of a transaction, in bytes.
	MaxRequestBytes int
	// MaxOperations is the maximum number of operations in a transaction.
	MaxOperations int
}

// MaxPackets returns the maximum number of full packets in one transaction, at least 1.
func (l Limits) MaxPackets() int {
	return max(1, min(l.MaxOperations, l.MaxRequestBytes/max(1, l.MaxValueBytes)))
}

// maxPackedBytes returns the maximum length of Packet.Packed, in bytes.
func (l Limits) maxPackedBytes() int { return l.MaxValueBytes - tuning.PacketMarginBytes }
