package golden_test

import (
	"encoding/json"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/configuration"
	"switchferry/fleet"
	"switchferry/relay"
	"switchferry/replicas"
	"switchferry/softstate"
	"switchferry/store"
)

// maxValueBytes is a maximum size of a value in bytes at which the packed test data needs several values.
const maxValueBytes = 400

// incompressibleText returns text that compresses poorly.
func incompressibleText() string {
	random := rand.New(rand.NewPCG(1, 2))
	text := make([]byte, 900)
	for i := range text {
		text[i] = byte('a' + random.IntN(26))
	}
	return string(text)
}

// A configuration revision is encoded into several parts and decoded from them.
func TestPackedConfigurationMatchesGolden(t *testing.T) {
	revision := filled[configuration.Revision]()
	revision.Document = incompressibleText()
	head, parts, err := configuration.Encode(&revision, maxValueBytes)
	if err != nil || len(parts) < 2 {
		t.Fatalf("%d parts, %v; want several", len(parts), err)
	}
	compare(t, "packed/configuration-head.json", encode(t, head))
	compare(t, "packed/configuration-parts.json", encode(t, parts))

	head, err = configuration.ParseHead(golden(t, "packed/configuration-head.json"))
	if err != nil {
		t.Fatal(err)
	}
	var storedParts []json.RawMessage
	decode(t, golden(t, "packed/configuration-parts.json"), &storedParts)
	parts = nil
	for _, raw := range storedParts {
		part, err := configuration.ParsePart(raw)
		if err != nil {
			t.Fatal(err)
		}
		parts = append(parts, part)
	}
	decoded, err := configuration.Decode(head.Number, head.Digest, parts)
	if err != nil || *decoded != revision {
		t.Errorf("decoded as %+v, %v; want %+v", decoded, err, revision)
	}
}

// Relayed messages are packed into packets: several messages in one packet, or one message in several fragments.
func TestRelayPacketsMatchGolden(t *testing.T) {
	long, err := json.Marshal(incompressibleText())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		file     string
		messages []relay.Message
	}{
		{"packed/letters-whole.json", []relay.Message{{Name: "n-1", Body: json.RawMessage(`{"host":"n-1"}`)}, {Name: "n-2", Body: json.RawMessage(`{"host":"n-2"}`)}}},
		{"packed/letters-pieces.json", []relay.Message{{Name: "n-3", Body: long}}},
	} {
		t.Run(c.file, func(t *testing.T) {
			compare(t, c.file, encode(t, packMessages(t, c.messages)))
			var stored []relay.Packet
			decode(t, golden(t, c.file), &stored)
			if unpacked := unpackMessages(t, stored); !reflect.DeepEqual(unpacked, c.messages) {
				t.Errorf("unpacked as %s, want %s", unpacked, c.messages)
			}
		})
	}
}

// packMessages packs messages into packets.
func packMessages(t *testing.T, all []relay.Message) []relay.Packet {
	t.Helper()
	now := time.Date(2026, 9, 21, 14, 0, 0, 0, time.UTC)
	outbox := relay.NewOutbox(relay.Limits{MaxValueBytes: maxValueBytes, MaxRequestBytes: 60_000, MaxOperations: 12}, 7)
	outbox.Reset(1873)
	for _, m := range all {
		outbox.Put(m.Name, m.Body, true, now)
	}
	batch, err := outbox.Next(now, time.Second, 12)
	if err != nil {
		t.Fatal(err)
	}
	return batch.Packets
}

// unpackMessages unpacks packets into messages.
func unpackMessages(t *testing.T, all []relay.Packet) (out []relay.Message) {
	t.Helper()
	var reassembler relay.Reassembler
	for _, packet := range all {
		found, err := reassembler.Unpack("n1", &packet)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, found...)
	}
	return out
}

// A controller reads the packets in which the leader sends responses to machines behind that controller.
func TestRelayedCommandsMatchGolden(t *testing.T) {
	body := json.RawMessage(encode(t, filled[store.RelayedCommands]()))
	mailbox := relay.NewMailbox(relay.Limits{MaxValueBytes: 4096, MaxRequestBytes: 60_000, MaxOperations: 12})
	packet, _, _, err := mailbox.BuildPacket(1873, mailbox.AssignPacket("n-1"), func(string) json.RawMessage { return body })
	if err != nil {
		t.Fatal(err)
	}
	compare(t, "packed/leaders-mail.json", encode(t, packet))

	var stored relay.Packet
	decode(t, golden(t, "packed/leaders-mail.json"), &stored)
	var reader relay.Reader
	if err := reader.Apply(store.RelayResponseKey("n1", 0), 5, &stored); err != nil {
		t.Fatal(err)
	}
	var commands store.RelayedCommands
	decode(t, reader.MessageFor(1873, "n-1"), &commands)
	if want := filled[store.RelayedCommands](); !reflect.DeepEqual(commands, want) {
		t.Errorf("decoded as %+v, want %+v", commands, want)
	}
}

// The index of dataset parts on machines is encoded into a hint for the next leader and decoded from it.
func TestReplicaHintMatchesGolden(t *testing.T) {
	index := replicas.New()
	parts := roaring.BitmapOf(1, 2, 7)
	index.Set("n-1", map[string]replicas.Replica{"inventory-7": {Parts: parts, PartCount: 9}})
	number := func(name string) (replicas.MachineID, bool) { return index.ID(name), true }
	hint, machines, err := replicas.EncodeHint(index.Snapshot(), []string{"n-1"}, number, 4096)
	if err != nil || machines != 1 {
		t.Fatalf("%d machines in the hint, %v", machines, err)
	}
	compare(t, "packed/holdings.json", encode(t, hint))

	var stored replicas.Hint
	decode(t, golden(t, "packed/holdings.json"), &stored)
	decoded, err := stored.Decode()
	if err != nil {
		t.Fatal(err)
	}
	if replica := decoded["n-1"]["inventory-7"]; replica.PartCount != 9 || !replica.Parts.Equals(parts) {
		t.Errorf("decoded as %d of %d parts, want 3 of 9", replica.Parts.GetCardinality(), replica.PartCount)
	}
}

// The images on machines are encoded into a record that holds each image name once, and decoded from it.
func TestImagesRecordMatchesGolden(t *testing.T) {
	machines := []softstate.Machine{
		{Name: "n-1", Images: []fleet.Image{{Name: "img-07", GB: 6.5}, {Name: "img-08", GB: 2}}},
		{Name: "n-2", Images: []fleet.Image{{Name: "img-08", GB: 2}}},
	}
	compare(t, "packed/images.json", encode(t, softstate.EncodeImages(machines, 4096)))
	decoded, err := softstate.DecodeImages(golden(t, "packed/images.json"))
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range machines {
		if !reflect.DeepEqual(decoded[m.Name], m.Images) {
			t.Errorf("images of %s decoded as %v, want %v", m.Name, decoded[m.Name], m.Images)
		}
	}
}
