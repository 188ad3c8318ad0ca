package relay

import (
	"fmt"
	"strings"

	"switchferry/internal/compress"
	"switchferry/tuning"
)

// Reassembler unpacks the packets of outboxes and reassembles fragmented messages, separately for each
// sending member. The zero value is ready for use. A Reassembler is not safe for concurrent use.
type Reassembler struct {
	// partial has, for each member, the message whose fragments have not all arrived.
	partial map[string]*partialMessage
}

// partialMessage is a fragmented message that is still incomplete.
type partialMessage struct {
	messageID uint64
	// fragments are the fragments by index; "" stands for a missing one.
	fragments []string
	// missing is the number of missing fragments.
	missing int
}

// Unpack returns the messages of a packet from a member. For a fragment, it returns the message if all
// others have arrived, and nothing otherwise. A message with a lost fragment is dropped when a fragment
// of a later one arrives. Unpack returns an error if the packet is corrupt.
func (r *Reassembler) Unpack(sender string, packet *Packet) ([]Message, error) {
	if packet.FragmentCount == 0 {
		return decodeMessages(packet.Packed)
	}
	if packet.FragmentCount < 0 || packet.FragmentCount > tuning.MaxMessageFragments || packet.FragmentIndex < 0 || packet.FragmentIndex >= packet.FragmentCount {
		return nil, fmt.Errorf("fragment %d of %d is out of range", packet.FragmentIndex, packet.FragmentCount)
	}
	partial := r.partial[sender]
	if partial == nil || partial.messageID != packet.MessageID || len(partial.fragments) != packet.FragmentCount {
		if partial != nil && packet.MessageID < partial.messageID {
			return nil, nil
		}
		partial = &partialMessage{packet.MessageID, make([]string, packet.FragmentCount), packet.FragmentCount}
		if r.partial == nil {
			r.partial = map[string]*partialMessage{}
		}
		r.partial[sender] = partial
	}
	if partial.fragments[packet.FragmentIndex] == "" {
		partial.fragments[packet.FragmentIndex] = packet.Packed
		partial.missing--
	}
	if partial.missing > 0 {
		return nil, nil
	}
	delete(r.partial, sender)
	return decodeMessages(strings.Join(partial.fragments, ""))
}

// decodeMessages decodes a payload that compress.EncodeFast encoded from a list of messages.
func decodeMessages(packed string) ([]Message, error) {
	var messages []Message
	if err := compress.Decode(packed, &messages); err != nil {
		return messages, fmt.Errorf("decoding a relayed packet: %w", err)
	}
	return messages, nil
}
