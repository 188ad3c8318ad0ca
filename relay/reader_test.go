package relay

import (
	"encoding/json"
	"testing"

	"switchferry/internal/compress"
)

// A machine that was reassigned to another packet gets the message of the packet with the newer revision,
// in whatever order the packets are read. Packets of an earlier term, or of an older revision of a key,
// are ignored.
func TestReaderKeepsLatestMessage(t *testing.T) {
	packetOf := func(term uint64, messages ...Message) *Packet {
		packed, err := compress.EncodeFast(messages)
		if err != nil {
			t.Fatal(err)
		}
		return &Packet{Term: term, Packed: packed}
	}
	message := func(name, body string) Message { return Message{name, json.RawMessage(body)} }
	var reader Reader
	steps := []struct {
		key      string
		revision uint64
		packet   *Packet
		want     string
	}{
		{"k/0", 5, packetOf(7, message("a", `"run"`)), `"run"`},
		{"k/1", 9, packetOf(7, message("a", `"clear"`)), `"clear"`},
		{"k/0", 8, packetOf(7, message("b", `1`)), `"clear"`},
		{"k/0", 6, packetOf(7, message("a", `"late"`)), `"clear"`},
		{"k/1", 12, packetOf(7), ``},
		{"k/0", 13, packetOf(6, message("a", `"deposed"`)), ``},
		{"k/0", 14, packetOf(7, message("a", `"again"`)), `"again"`},
	}
	for i, step := range steps {
		if err := reader.Apply(step.key, step.revision, step.packet); err != nil {
			t.Fatal(err)
		}
		if got := string(reader.MessageFor(7, "a")); got != step.want {
			t.Errorf("step %d: message %s, want %s", i, got, step.want)
		}
	}
	if err := reader.Apply("k/0", 20, packetOf(9, message("a", `"new"`))); err != nil || reader.MessageFor(7, "a") != nil || string(reader.MessageFor(9, "a")) != `"new"` {
		t.Error("messages of different terms are confused")
	}
}
