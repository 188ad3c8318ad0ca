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

// body is a message that packs about as well as a report does.
func body(r *rand.Rand, size int) json.RawMessage {
	b := []byte(`{"host":"n-`)
	for len(b) < size-2 {
		b = fmt.Appendf(b, "%06d running ", r.IntN(1_000_000))
	}
	return append(b[:size-2], `"}`...)
}

// check fails unless a batch keeps every limit of the state service.
func check(t *testing.T, b Batch) {
	t.Helper()
	sum := 0
	for _, l := range b.Packets {
		raw, err := json.Marshal(l)
		if err != nil || len(raw) > limits.Value {
			t.Fatalf("a letter of %d bytes: %v", len(raw), err)
		}
		sum += len(raw)
	}
	if sum > limits.Request || len(b.Packets) > limits.Ops {
		t.Fatalf("%d letters of %d bytes in one transaction", len(b.Packets), sum)
	}
}

// Reports of 50, 500, 2,500 and 5,000 machines go through within every limit. A relay that
// put all into one transaction was refused at some 400 machines, to the end of the cut
// (docs/incidents/fleet-relay-too-long.md).
func TestAnyFleetFitsThroughTheLimits(t *testing.T) {
	for _, n := range []int{50, 500, 2500, 5000} {
		r := rand.New(rand.NewPCG(1, uint64(n)))
		o, got := NewOutbox(limits, 1), map[string][]byte{}
		o.Reset(7)
		want := map[string][]byte{}
		for i := range n {
			name := fmt.Sprintf("n-%06d", i)
			want[name] = body(r, 200+r.IntN(800))
			if i == n/2 {
				want[name] = body(r, 300<<10)
			}
			o.Put(name, want[name], true, start)
		}
		var j Reassembler
		writes := 0
		for {
			b, err := o.Next(start.Add(time.Second), time.Minute, limits.MaxPackets())
			if err != nil {
				t.Fatal(err)
			}
			if len(b.Packets) == 0 {
				break
			}
			check(t, b)
			writes += len(b.Packets)
			for i := range b.Packets {
				ms, err := j.Unpack("y", &b.Packets[i])
				if err != nil {
					t.Fatal(err)
				}
				for _, m := range ms {
					got[m.Name] = m.Body
				}
			}
		}
		for name := range want {
			if !bytes.Equal(got[name], want[name]) {
				t.Fatalf("%d machines: %s lost or changed", n, name)
			}
		}
		t.Logf("%d machines: %d letters", n, writes)
		if most := 25 + n/15; writes > most {
			t.Errorf("%d machines took %d letters, want at most %d", n, writes, most)
		}
	}
}

// Under a budget the longest waiting go first; what failed goes again, and what a sender
// says meanwhile is what goes.
func TestOldestFirstAndFailuresAgain(t *testing.T) {
	o := NewOutbox(limits, 1)
	o.Reset(7)
	r := rand.New(rand.NewPCG(2, 2))
	for i := range 400 {
		o.Put(fmt.Sprintf("n-%03d", i), body(r, 900), true, start.Add(time.Duration(i)*time.Millisecond))
	}
	b, _ := o.Next(start.Add(time.Second), time.Minute, 1)
	check(t, b)
	if len(b.names) < 10 || b.names[0] != "n-000" || b.names[1] != "n-001" {
		t.Fatalf("first letter: %v", b.names)
	}
	o.Requeue(b)
	o.Put("n-000", json.RawMessage(`"newer"`), false, start.Add(2*time.Second))
	seen := map[string]json.RawMessage{}
	var j Reassembler
	for range 100 {
		b, _ := o.Next(start.Add(2*time.Second), time.Minute, 2)
		for i := range b.Packets {
			ms, _ := j.Unpack("y", &b.Packets[i])
			for _, m := range ms {
				seen[m.Name] = m.Body
			}
		}
	}
	if len(seen) != 400 || string(seen["n-000"]) != `"newer"` {
		t.Fatalf("%d senders, n-000 says %s", len(seen), seen["n-000"])
	}
	// Unchanged, nothing goes before its time; then it does, if its sender still speaks.
	o.Put("n-001", body(r, 100), false, start.Add(3*time.Second))
	if b, _ := o.Next(start.Add(4*time.Second), time.Minute, 2); len(b.Packets) != 0 {
		t.Error("what did not change went again at once")
	}
	if b, _ := o.Next(start.Add(2*time.Minute), time.Minute, 2); len(b.names) != 1 {
		t.Errorf("after the pause: %v", b.names)
	}
}

// A piece that is lost loses its message and nothing else.
func TestLostPiece(t *testing.T) {
	o := NewOutbox(limits, 1)
	o.Reset(7)
	r := rand.New(rand.NewPCG(3, 3))
	var j Reassembler
	send := func(lose int) (out []Message) {
		o.Put("big", body(r, 200<<10), true, start)
		o.Put("small", json.RawMessage(`1`), true, start)
		for i := 0; ; {
			b, _ := o.Next(start, time.Minute, 3)
			if len(b.Packets) == 0 {
				return out
			}
			check(t, b)
			for k := range b.Packets {
				if i++; i == lose {
					continue
				}
				ms, err := j.Unpack("y", &b.Packets[k])
				if err != nil {
					t.Fatal(err)
				}
				out = append(out, ms...)
			}
		}
	}
	if out := send(2); len(out) != 1 || out[0].Name != "small" {
		t.Fatalf("with a lost piece: %d messages", len(out))
	}
	if out := send(0); len(out) != 2 {
		t.Errorf("afterwards: %d messages", len(out))
	}
	for _, l := range []Packet{{Packed: "!"}, {Packed: "AAAA"}, {Of: 3, Piece: 3}, {Of: -1}, {Of: 1 << 30}} {
		if _, err := j.Unpack("y", &l); err == nil {
			t.Errorf("%+v opened", l)
		}
	}
}

// The leader's letters to the machines behind one sibling stay within one value each
// however many there are and whatever they are told; one that alone is too large is set
// aside, and the others' go.
func TestShelfStaysWithinItsLimits(t *testing.T) {
	r := rand.New(rand.NewPCG(4, 4))
	s := NewMailbox(limits)
	size := map[string]int{}
	for i := range 5000 {
		name := fmt.Sprintf("n-%06d", i)
		size[name] = 100 + r.IntN(3000)
		s.PacketOf(name)
	}
	size["n-000007"] = 200 << 10
	var read Reader
	stamp := uint64(10)
	large := 0
	for part := 0; part < len(s.members); part++ {
		l, _, tooLarge, err := s.BuildPacket(7, part, func(name string) json.RawMessage { return body(r, size[name]) })
		if err != nil {
			t.Fatal(err)
		}
		check(t, Batch{Packets: []Packet{l}})
		large += len(tooLarge)
		stamp++
		if err := read.Apply(fmt.Sprint(part), stamp, &l); err != nil {
			t.Fatal(err)
		}
	}
	if large != 1 {
		t.Errorf("%d set aside", large)
	}
	for name := range size {
		if told := read.MessageFor(7, name); (told == nil) != (name == "n-000007") {
			t.Errorf("%s is told %d bytes", name, len(told))
		}
	}
}

// A machine that moves from one letter to another is told what stands in the newer one,
// in whichever order the letters are read; another term's, or an older state of a key,
// count for nothing.
func TestNewestStateCounts(t *testing.T) {
	letter := func(term uint64, ms ...Message) *Packet {
		text, err := compress.EncodeFast(ms)
		if err != nil {
			t.Fatal(err)
		}
		return &Packet{Term: term, Packed: text}
	}
	say := func(name, what string) Message { return Message{name, json.RawMessage(what)} }
	var r Reader
	steps := []struct {
		key   string
		stamp uint64
		l     *Packet
		want  string
	}{
		{"k/0", 5, letter(7, say("a", `"run"`)), `"run"`},
		{"k/1", 9, letter(7, say("a", `"clear"`)), `"clear"`},
		{"k/0", 8, letter(7, say("b", `1`)), `"clear"`},
		{"k/0", 6, letter(7, say("a", `"late"`)), `"clear"`},
		{"k/1", 12, letter(7), ``},
		{"k/0", 13, letter(6, say("a", `"deposed"`)), ``},
		{"k/0", 14, letter(7, say("a", `"again"`)), `"again"`},
	}
	for i, x := range steps {
		if err := r.Apply(x.key, x.stamp, x.l); err != nil {
			t.Fatal(err)
		}
		if got := string(r.MessageFor(7, "a")); got != x.want {
			t.Errorf("step %d: told %s, want %s", i, got, x.want)
		}
	}
	if err := r.Apply("k/0", 20, letter(9, say("a", `"new"`))); err != nil || r.MessageFor(7, "a") != nil || string(r.MessageFor(9, "a")) != `"new"` {
		t.Error("terms are mixed up")
	}
}
