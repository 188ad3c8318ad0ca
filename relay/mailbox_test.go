package relay

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
)

// The leader's packets for the machines behind one peer keep within the size of a value, whatever
// the number of machines and the size of their messages. A message that is too large on its own is
// left out, and the others are delivered.
func TestMailboxStaysWithinLimits(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	mailbox := NewMailbox(limits)
	size := map[string]int{}
	for i := range 5000 {
		name := fmt.Sprintf("n-%06d", i)
		size[name] = 100 + random.IntN(3000)
		mailbox.AssignPacket(name)
	}
	size["n-000007"] = 200 << 10
	var reader Reader
	revision := uint64(10)
	large := 0
	for index := 0; index < len(mailbox.packets); index++ { //nolint:intrange // BuildPacket adds packets.
		packet, _, tooLarge, err := mailbox.BuildPacket(7, index, func(name string) json.RawMessage { return messageBody(random, size[name]) })
		if err != nil {
			t.Fatal(err)
		}
		requireWithinLimits(t, Batch{Packets: []Packet{packet}})
		large += len(tooLarge)
		revision++
		if err := reader.Apply(fmt.Sprint(index), revision, &packet); err != nil {
			t.Fatal(err)
		}
	}
	if large != 1 {
		t.Errorf("%d set aside", large)
	}
	for name := range size {
		if delivered := reader.MessageFor(7, name); (delivered == nil) != (name == "n-000007") {
			t.Errorf("%s has a message of %d bytes", name, len(delivered))
		}
	}
}
