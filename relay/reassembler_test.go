package relay

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"
)

// A fragment that is lost loses its message and no other. Corrupt packets are errors.
func TestLostFragmentLosesOnlyItsMessage(t *testing.T) {
	outbox := NewOutbox(limits, 1)
	outbox.Reset(7)
	random := rand.New(rand.NewPCG(3, 3))
	var reassembler Reassembler
	send := func(lose int) (out []Message) {
		outbox.Put("big", messageBody(random, 200<<10), true, start)
		outbox.Put("small", json.RawMessage(`1`), true, start)
		for i := 0; ; {
			batch, _ := outbox.Next(start, time.Minute, 3)
			if len(batch.Packets) == 0 {
				return out
			}
			requireWithinLimits(t, batch)
			for k := range batch.Packets {
				if i++; i == lose {
					continue
				}
				messages, err := reassembler.Unpack("y", &batch.Packets[k])
				if err != nil {
					t.Fatal(err)
				}
				out = append(out, messages...)
			}
		}
	}
	if out := send(2); len(out) != 1 || out[0].Name != "small" {
		t.Fatalf("with a lost fragment: %d messages", len(out))
	}
	if out := send(0); len(out) != 2 {
		t.Errorf("afterwards: %d messages", len(out))
	}
	for _, packet := range []Packet{{Packed: "!"}, {Packed: "AAAA"}, {Of: 3, Piece: 3}, {Of: -1}, {Of: 1 << 30}} {
		if _, err := reassembler.Unpack("y", &packet); err == nil {
			t.Errorf("%+v opened", packet)
		}
	}
}
