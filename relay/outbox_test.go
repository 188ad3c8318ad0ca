package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	limits = Limits{MaxValueBytes: 16 << 10, MaxRequestBytes: 56 << 10, MaxOperations: 12}
	start  = time.Unix(1_800_000_000, 0)
)

// messageBody returns a body of the given size with about the compression ratio of a heartbeat.
func messageBody(random *rand.Rand, size int) json.RawMessage {
	b := []byte(`{"host":"n-`)
	for len(b) < size-2 {
		b = fmt.Appendf(b, "%06d running ", random.IntN(1_000_000))
	}
	return append(b[:size-2], `"}`...)
}

// requireWithinLimits fails the test if a batch exceeds a limit of the state service.
func requireWithinLimits(t *testing.T, batch Batch) {
	t.Helper()
	totalBytes := 0
	for _, packet := range batch.Packets {
		raw, err := json.Marshal(packet)
		if err != nil || len(raw) > limits.MaxValueBytes {
			t.Fatalf("packet of %d bytes: %v", len(raw), err)
		}
		totalBytes += len(raw)
	}
	if totalBytes > limits.MaxRequestBytes || len(batch.Packets) > limits.MaxOperations {
		t.Fatalf("%d packets of %d bytes in one transaction", len(batch.Packets), totalBytes)
	}
}

// The heartbeats of up to 5,000 machines are relayed within all limits of the state service. When all of
// them went into one transaction, the state service refused it from about 400 machines on, for as long as
// the partition lasted (docs/incidents/fleet-relay-too-long.md).
func TestRelayedHeartbeatsStayWithinLimits(t *testing.T) {
	for _, count := range []int{50, 500, 2500, 5000} {
		random := rand.New(rand.NewPCG(1, uint64(count)))
		outbox, received := NewOutbox(limits, 1), map[string][]byte{}
		outbox.Reset(7)
		want := map[string][]byte{}
		for i := range count {
			name := fmt.Sprintf("n-%06d", i)
			want[name] = messageBody(random, 200+random.IntN(800))
			if i == count/2 {
				want[name] = messageBody(random, 300<<10)
			}
			outbox.Put(name, want[name], true, start)
		}
		var reassembler Reassembler
		packetCount := 0
		for {
			batch, err := outbox.Next(start.Add(time.Second), time.Minute, limits.MaxPackets())
			if err != nil {
				t.Fatal(err)
			}
			if len(batch.Packets) == 0 {
				break
			}
			requireWithinLimits(t, batch)
			packetCount += len(batch.Packets)
			for i := range batch.Packets {
				messages, err := reassembler.Unpack("y", &batch.Packets[i])
				if err != nil {
					t.Fatal(err)
				}
				for _, message := range messages {
					received[message.Name] = message.Body
				}
			}
		}
		for name := range want {
			if !bytes.Equal(received[name], want[name]) {
				t.Fatalf("%d machines: the message of %s was lost or altered", count, name)
			}
		}
		t.Logf("%d machines: %d packets", count, packetCount)
		if limit := 25 + count/15; packetCount > limit {
			t.Errorf("%d machines took %d packets, want at most %d", count, packetCount, limit)
		}
	}
}

// If not all messages fit into a batch, those that have waited longest are sent first. Requeued messages
// are sent again, with the latest content.
func TestOutboxSendsOldestFirstAndResendsRequeuedMessages(t *testing.T) {
	outbox := NewOutbox(limits, 1)
	outbox.Reset(7)
	random := rand.New(rand.NewPCG(2, 2))
	for i := range 400 {
		outbox.Put(fmt.Sprintf("n-%03d", i), messageBody(random, 900), true, start.Add(time.Duration(i)*time.Millisecond))
	}
	batch, _ := outbox.Next(start.Add(time.Second), time.Minute, 1)
	requireWithinLimits(t, batch)
	if len(batch.senders) < 10 || batch.senders[0] != "n-000" || batch.senders[1] != "n-001" {
		t.Fatalf("first packet has the messages of %v, want the oldest first", batch.senders)
	}
	outbox.Requeue(batch)
	outbox.Put("n-000", json.RawMessage(`"newer"`), false, start.Add(2*time.Second))
	received := map[string]json.RawMessage{}
	var reassembler Reassembler
	for range 100 {
		batch, _ := outbox.Next(start.Add(2*time.Second), time.Minute, 2)
		for i := range batch.Packets {
			messages, _ := reassembler.Unpack("y", &batch.Packets[i])
			for _, message := range messages {
				received[message.Name] = message.Body
			}
		}
	}
	if len(received) != 400 || string(received["n-000"]) != `"newer"` {
		t.Fatalf("%d senders, message of n-000 is %s; want 400 senders and the latest message", len(received), received["n-000"])
	}
	// An unchanged message is sent again only after the refresh interval.
	outbox.Put("n-001", messageBody(random, 100), false, start.Add(3*time.Second))
	if batch, _ := outbox.Next(start.Add(4*time.Second), time.Minute, 2); len(batch.Packets) != 0 {
		t.Error("an unchanged message was sent again before the refresh interval")
	}
	if batch, _ := outbox.Next(start.Add(2*time.Minute), time.Minute, 2); len(batch.senders) != 1 {
		t.Errorf("senders after the refresh interval: %v, want one", batch.senders)
	}
}
