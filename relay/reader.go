package relay

import (
	"encoding/json"
)

// Reader is the receiver of a Mailbox's packets: it holds the latest message for each machine from the
// packets of the newest term. The zero value is ready for use. A Reader is not safe for concurrent use.
type Reader struct {
	term uint64
	// packets has the last packet that was applied for each key of the state service.
	packets map[string]appliedPacket
	// messages has the latest message for each machine.
	messages map[string]currentMessage
}

// appliedPacket is a packet whose messages a Reader has applied.
type appliedPacket struct {
	// revision is the revision of the packet's key in the state service.
	revision uint64
	machines []string
}

// currentMessage is the latest message for a machine, with the key and revision of the packet that contained it.
type currentMessage struct {
	key      string
	revision uint64
	body     json.RawMessage
}

// Apply applies the packet that is stored under a key at a revision of the state service. Packets may be
// applied in any order. Apply ignores a packet of an earlier term than the newest one, and a packet whose
// revision is not newer than the last one applied for its key. It returns an error, and does not apply
// the packet, if the packet is corrupt.
func (r *Reader) Apply(key string, revision uint64, packet *Packet) error {
	if packet.Term < r.term {
		return nil
	}
	if packet.Term > r.term || r.packets == nil {
		r.term, r.packets, r.messages = packet.Term, map[string]appliedPacket{}, map[string]currentMessage{}
	}
	if revision <= r.packets[key].revision {
		return nil
	}
	var messages []Message
	if packet.Packed != "" {
		var err error
		if messages, err = decodeMessages(packet.Packed); err != nil {
			return err
		}
	}
	for _, name := range r.packets[key].machines {
		if r.messages[name].key == key {
			delete(r.messages, name)
		}
	}
	applied := appliedPacket{revision: revision}
	for _, message := range messages {
		applied.machines = append(applied.machines, message.Name)
		if current, ok := r.messages[message.Name]; !ok || current.revision < revision {
			r.messages[message.Name] = currentMessage{key, revision, message.Body}
		}
	}
	r.packets[key] = applied
	return nil
}

// MessageFor returns the latest message for a machine from the leader of a term, or nil if there is none.
func (r *Reader) MessageFor(term uint64, machine string) json.RawMessage {
	if r.term != term {
		return nil
	}
	return r.messages[machine].body
}
