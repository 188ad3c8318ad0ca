package relay

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
)

// The packets of a Mailbox do not exceed the maximum size of a value, whatever the number of machines and
// the sizes of their messages. A message that alone exceeds a packet is omitted, and all others are
// delivered.
func TestMailboxStaysWithinLimits(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	mailbox := NewMailbox(limits)
	messageBytes := map[string]int{}
	for i := range 5000 {
		name := fmt.Sprintf("n-%06d", i)
		messageBytes[name] = 100 + random.IntN(3000)
		mailbox.AssignPacket(name)
	}
	messageBytes["n-000007"] = 200 << 10
	var reader Reader
	revision := uint64(10)
	tooLargeCount := 0
	for index := 0; index < len(mailbox.packets); index++ { //nolint:intrange // BuildPacket adds packets.
		packet, _, tooLarge, err := mailbox.BuildPacket(7, index, func(name string) json.RawMessage { return messageBody(random, messageBytes[name]) })
		if err != nil {
			t.Fatal(err)
		}
		requireWithinLimits(t, Batch{Packets: []Packet{packet}})
		tooLargeCount += len(tooLarge)
		revision++
		if err := reader.Apply(fmt.Sprint(index), revision, &packet); err != nil {
			t.Fatal(err)
		}
	}
	if tooLargeCount != 1 {
		t.Errorf("%d messages omitted as too large, want 1", tooLargeCount)
	}
	for name := range messageBytes {
		if delivered := reader.MessageFor(7, name); (delivered == nil) != (name == "n-000007") {
			t.Errorf("%s received a message of %d bytes; want one for every machine but n-000007", name, len(delivered))
		}
	}
}
