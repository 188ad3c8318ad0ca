package relay

import (
	"fmt"
	"strings"

	"switchferry/internal/compress"
	"switchferry/tuning"
)

// Reassembler opens the packets of outboxes and puts the fragments of large messages together, for
// each sending member apart. The zero value is ready for use. It is not safe for concurrent use.
type Reassembler struct {
	// partial has the message of each member of which fragments are missing.
	partial map[string]*partialMessage
}

// partialMessage is a fragmented message that is not complete.
type partialMessage struct {
	id uint64
	// fragments are in their order; "" is one that is missing.
	fragments []string
	missing   int
}

// Unpack returns the messages of a packet from a member. It returns none while fragments of the
// message are missing. A message of which a fragment is lost is dropped once a fragment of a later
// one arrives. The error tells that the packet is corrupt.
func (r *Reassembler) Unpack(sender string, packet *Packet) ([]Message, error) {
	if packet.Of == 0 {
		return decodeMessages(packet.Packed)
	}
	if packet.Of < 0 || packet.Of > tuning.MaxPacketPieces || packet.Piece < 0 || packet.Piece >= packet.Of {
		return nil, fmt.Errorf("fragment %d of %d is out of range", packet.Piece, packet.Of)
	}
	partial := r.partial[sender]
	if partial == nil || partial.id != packet.ID || len(partial.fragments) != packet.Of {
		if partial != nil && packet.ID < partial.id {
			return nil, nil
		}
		partial = &partialMessage{packet.ID, make([]string, packet.Of), packet.Of}
		if r.partial == nil {
			r.partial = map[string]*partialMessage{}
		}
		r.partial[sender] = partial
	}
	if partial.fragments[packet.Piece] == "" {
		partial.fragments[packet.Piece] = packet.Packed
		partial.missing--
	}
	if partial.missing > 0 {
		return nil, nil
	}
	delete(r.partial, sender)
	return decodeMessages(strings.Join(partial.fragments, ""))
}

// decodeMessages is the reverse of compress.EncodeFast for a list of messages.
func decodeMessages(packed string) ([]Message, error) {
	var messages []Message
	if err := compress.Decode(packed, &messages); err != nil {
		return messages, fmt.Errorf("decoding a relayed packet: %w", err)
	}
	return messages, nil
}
