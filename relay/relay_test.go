package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"switchferry/internal/compress"
)

var (
	limits = Limits{Value: 16 << 10, Request: 56 << 10, Ops: 12}
	start  = time.Unix(1_800_000_000, 0)
)

// messageBody is a message that packs about as well as a report does.
func messageBody(r *rand.Rand, size int) json.RawMessage {
	b := []byte(`{"host":"n-`)
	for len(b) < size-2 {
		b = fmt.Appendf(b, "%06d running ", r.IntN(1_000_000))
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
			t.Fatalf("a letter of %d bytes: %v", len(raw), err)
		}
		sum += len(raw)
	}
	if sum > limits.Request || len(batch.Packets) > limits.Ops {
		t.Fatalf("%d letters of %d bytes in one transaction", len(batch.Packets), sum)
	}
}

// Reports of 50, 500, 2,500 and 5,000 machines go through within every limit. A relay that
// put all into one transaction was refused at some 400 machines, to the end of the cut
// (docs/incidents/fleet-relay-too-long.md).
func TestFleetOfAnySizeIsRelayedWithinLimits(t *testing.T) {
	for _, count := range []int{50, 500, 2500, 5000} {
		r := rand.New(rand.NewPCG(1, uint64(count)))
		outbox, got := NewOutbox(limits, 1), map[string][]byte{}
		outbox.Reset(7)
		want := map[string][]byte{}
		for i := range count {
			name := fmt.Sprintf("n-%06d", i)
			want[name] = messageBody(r, 200+r.IntN(800))
			if i == count/2 {
				want[name] = messageBody(r, 300<<10)
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
		t.Logf("%d machines: %d letters", count, writes)
		if limit := 25 + count/15; writes > limit {
			t.Errorf("%d machines took %d letters, want at most %d", count, writes, limit)
		}
	}
}

// Under a budget the longest waiting go first; what failed goes again, and what a sender
// says meanwhile is what goes.
func TestOutboxSendsOldestFirstAndRetriesFailures(t *testing.T) {
	outbox := NewOutbox(limits, 1)
	outbox.Reset(7)
	r := rand.New(rand.NewPCG(2, 2))
	for i := range 400 {
		outbox.Put(fmt.Sprintf("n-%03d", i), messageBody(r, 900), true, start.Add(time.Duration(i)*time.Millisecond))
	}
	batch, _ := outbox.Next(start.Add(time.Second), time.Minute, 1)
	requireWithinLimits(t, batch)
	if len(batch.senders) < 10 || batch.senders[0] != "n-000" || batch.senders[1] != "n-001" {
		t.Fatalf("first letter: %v", batch.senders)
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
	// Unchanged, nothing goes before its time; then it does, if its sender still speaks.
	outbox.Put("n-001", messageBody(r, 100), false, start.Add(3*time.Second))
	if batch, _ := outbox.Next(start.Add(4*time.Second), time.Minute, 2); len(batch.Packets) != 0 {
		t.Error("what did not change went again at once")
	}
	if batch, _ := outbox.Next(start.Add(2*time.Minute), time.Minute, 2); len(batch.senders) != 1 {
		t.Errorf("after the pause: %v", batch.senders)
	}
}

// A piece that is lost loses its message and nothing else.
func TestLostFragmentLosesOnlyItsMessage(t *testing.T) {
	outbox := NewOutbox(limits, 1)
	outbox.Reset(7)
	r := rand.New(rand.NewPCG(3, 3))
	var reassembler Reassembler
	send := func(lose int) (out []Message) {
		outbox.Put("big", messageBody(r, 200<<10), true, start)
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
		t.Fatalf("with a lost piece: %d messages", len(out))
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

// The leader's letters to the machines behind one sibling stay within one value each
// however many there are and whatever they are told; one that alone is too large is set
// aside, and the others' go.
func TestMailboxStaysWithinLimits(t *testing.T) {
	r := rand.New(rand.NewPCG(4, 4))
	mailbox := NewMailbox(limits)
	size := map[string]int{}
	for i := range 5000 {
		name := fmt.Sprintf("n-%06d", i)
		size[name] = 100 + r.IntN(3000)
		mailbox.PacketOf(name)
	}
	size["n-000007"] = 200 << 10
	var reader Reader
	revision := uint64(10)
	large := 0
	for index := 0; index < len(mailbox.packets); index++ {
		packet, _, tooLarge, err := mailbox.BuildPacket(7, index, func(name string) json.RawMessage { return messageBody(r, size[name]) })
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
			t.Errorf("%s is told %d bytes", name, len(delivered))
		}
	}
}

// A machine that moves from one letter to another is told what stands in the newer one,
// in whichever order the letters are read; another term's, or an older state of a key,
// count for nothing.
func TestReaderKeepsNewestMessage(t *testing.T) {
	packetOf := func(term uint64, messages ...Message) *Packet {
		packed, err := compress.EncodeFast(messages)
		if err != nil {
			t.Fatal(err)
		}
		return &Packet{Term: term, Packed: packed}
	}
	message := func(name, what string) Message { return Message{name, json.RawMessage(what)} }
	var r Reader
	steps := []struct {
		key      string
		revision uint64
		l        *Packet
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
		if err := r.Apply(step.key, step.revision, step.l); err != nil {
			t.Fatal(err)
		}
		if got := string(r.MessageFor(7, "a")); got != step.want {
			t.Errorf("step %d: told %s, want %s", i, got, step.want)
		}
	}
	if err := r.Apply("k/0", 20, packetOf(9, message("a", `"new"`))); err != nil || r.MessageFor(7, "a") != nil || string(r.MessageFor(9, "a")) != `"new"` {
		t.Error("terms are mixed up")
	}
}
