package relay

import (
	"encoding/json"
)

// Reader is the receiving end of a Mailbox: it has the newest message for each machine, out of all
// packets of the leader of the newest term. The zero value is ready for use. It is not safe for
// concurrent use.
type Reader struct {
	term uint64
	// packets is the last packet that was applied of each key of the state service.
	packets map[string]appliedPacket
	// messages is the newest message for each machine.
	messages map[string]currentMessage
}

// appliedPacket is a packet whose messages are in a Reader.
type appliedPacket struct {
	// revision is the state service's revision of the packet.
	revision uint64
	machines []string
}

// currentMessage is the newest message for a machine, and the packet that it came in.
type currentMessage struct {
	key      string
	revision uint64
	body     json.RawMessage
}

// Apply takes in a packet as it is stored under a key at a revision of the state service, in
// whatever order packets are read. It ignores packets of a term that is older than the newest one,
// and of a revision that is not newer than the last one of that key. The error tells that the packet
// is corrupt; it is then not applied.
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

// MessageFor returns the newest message for a machine from the leader of a term; nil: none.
func (r *Reader) MessageFor(term uint64, name string) json.RawMessage {
	if r.term != term {
		return nil
	}
	return r.messages[name].body
}
