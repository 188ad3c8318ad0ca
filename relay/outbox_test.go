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
	limits = Limits{Value: 16 << 10, Request: 56 << 10, Ops: 12}
	start  = time.Unix(1_800_000_000, 0)
)

// messageBody returns a body that compresses about as well as a heartbeat does.
func messageBody(random *rand.Rand, size int) json.RawMessage {
	b := []byte(`{"host":"n-`)
	for len(b) < size-2 {
		b = fmt.Appendf(b, "%06d running ", random.IntN(1_000_000))
	}
	return append(b[:size-2], `"}`...)
}

// requireWithinLimits fails unless a batch keeps every limit of the state service.
func requireWithinLimits(t *testing.T, batch Batch) {
	t.Helper()
	sum := 0
	for _, packet := range batch.Packets {
		raw, err := json.Marshal(packet)
		if err != nil || len(raw) > limits.Value {
			t.Fatalf("a packet of %d bytes: %v", len(raw), err)
		}
		sum += len(raw)
	}
	if sum > limits.Request || len(batch.Packets) > limits.Ops {
		t.Fatalf("%d packets of %d bytes in one transaction", len(batch.Packets), sum)
	}
}

// The heartbeats of 50, 500, 2,500 and 5,000 machines are relayed within every limit. A relay that
// put all of them into one transaction was refused from some 400 machines on, for as long as the
// partition lasted (docs/incidents/fleet-relay-too-long.md).
func TestFleetOfAnySizeIsRelayedWithinLimits(t *testing.T) {
	for _, count := range []int{50, 500, 2500, 5000} {
		random := rand.New(rand.NewPCG(1, uint64(count)))
		outbox, got := NewOutbox(limits, 1), map[string][]byte{}
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
		writes := 0
		for {
			batch, err := outbox.Next(start.Add(time.Second), time.Minute, limits.MaxPackets())
			if err != nil {
				t.Fatal(err)
			}
			if len(batch.Packets) == 0 {
				break
			}
			requireWithinLimits(t, batch)
			writes += len(batch.Packets)
			for i := range batch.Packets {
				messages, err := reassembler.Unpack("y", &batch.Packets[i])
				if err != nil {
					t.Fatal(err)
				}
				for _, message := range messages {
					got[message.Name] = message.Body
				}
			}
		}
		for name := range want {
			if !bytes.Equal(got[name], want[name]) {
				t.Fatalf("%d machines: %s lost or changed", count, name)
			}
		}
		t.Logf("%d machines: %d packets", count, writes)
		if limit := 25 + count/15; writes > limit {
			t.Errorf("%d machines took %d packets, want at most %d", count, writes, limit)
		}
	}
}

// With few packets allowed, the messages that have waited longest go first. Messages that failed are
// sent again, as the sender has changed them meanwhile.
func TestOutboxSendsOldestFirstAndRetriesFailures(t *testing.T) {
	outbox := NewOutbox(limits, 1)
	outbox.Reset(7)
	random := rand.New(rand.NewPCG(2, 2))
	for i := range 400 {
		outbox.Put(fmt.Sprintf("n-%03d", i), messageBody(random, 900), true, start.Add(time.Duration(i)*time.Millisecond))
	}
	batch, _ := outbox.Next(start.Add(time.Second), time.Minute, 1)
	requireWithinLimits(t, batch)
	if len(batch.senders) < 10 || batch.senders[0] != "n-000" || batch.senders[1] != "n-001" {
		t.Fatalf("first packet: %v", batch.senders)
	}
	outbox.Requeue(batch)
	outbox.Put("n-000", json.RawMessage(`"newer"`), false, start.Add(2*time.Second))
	seen := map[string]json.RawMessage{}
	var reassembler Reassembler
	for range 100 {
		batch, _ := outbox.Next(start.Add(2*time.Second), time.Minute, 2)
		for i := range batch.Packets {
			messages, _ := reassembler.Unpack("y", &batch.Packets[i])
			for _, message := range messages {
				seen[message.Name] = message.Body
			}
		}
	}
	if len(seen) != 400 || string(seen["n-000"]) != `"newer"` {
		t.Fatalf("%d senders, n-000 says %s", len(seen), seen["n-000"])
	}
	// An unchanged message is sent again after the refresh interval, if its sender is alive.
	outbox.Put("n-001", messageBody(random, 100), false, start.Add(3*time.Second))
	if batch, _ := outbox.Next(start.Add(4*time.Second), time.Minute, 2); len(batch.Packets) != 0 {
		t.Error("an unchanged message was sent again at once")
	}
	if batch, _ := outbox.Next(start.Add(2*time.Minute), time.Minute, 2); len(batch.senders) != 1 {
		t.Errorf("after the refresh interval: %v", batch.senders)
	}
}
