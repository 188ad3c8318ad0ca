package relay

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"
)

// A lost fragment loses only the message that it belongs to. Corrupt packets cause errors.
func TestLostFragmentLosesOnlyItsMessage(t *testing.T) {
	outbox := NewOutbox(limits, 1)
	outbox.Reset(7)
	random := rand.New(rand.NewPCG(3, 3))
	var reassembler Reassembler
	send := func(lostPacket int) (received []Message) {
		outbox.Put("big", messageBody(random, 200<<10), true, start)
		outbox.Put("small", json.RawMessage(`1`), true, start)
		for i := 0; ; {
			batch, _ := outbox.Next(start, time.Minute, 3)
			if len(batch.Packets) == 0 {
				return received
			}
			requireWithinLimits(t, batch)
			for k := range batch.Packets {
				if i++; i == lostPacket {
					continue
				}
				messages, err := reassembler.Unpack("y", &batch.Packets[k])
				if err != nil {
					t.Fatal(err)
				}
				received = append(received, messages...)
			}
		}
	}
	if received := send(2); len(received) != 1 || received[0].Name != "small" {
		t.Fatalf("with a lost fragment: %d messages, want only the small one", len(received))
	}
	if received := send(0); len(received) != 2 {
		t.Errorf("without a lost fragment: %d messages, want 2", len(received))
	}
	for _, packet := range []Packet{{Packed: "!"}, {Packed: "AAAA"}, {FragmentCount: 3, FragmentIndex: 3}, {FragmentCount: -1}, {FragmentCount: 1 << 30}} {
		if _, err := reassembler.Unpack("y", &packet); err == nil {
			t.Errorf("corrupt packet %+v was accepted", packet)
		}
	}
}
