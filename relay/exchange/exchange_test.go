package exchange

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/internal/compress"
	"switchferry/internal/fake"
	"switchferry/relay"
	"switchferry/settings"
	"switchferry/store"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	// The compressor is created on first use, which must not happen inside a synctest bubble.
	if _, err := compress.EncodeFast(0); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var stateLimits = settings.StateLimits{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12}

// testPartition is a controller "y" and a leader "x" that can reach the state service but not each other.
type testPartition struct {
	state  *fake.State
	client *store.Client
	clock  clockwork.Clock
	term   uint64
	// exchange is the exchange of the controller.
	exchange *Exchange

	mu sync.Mutex
	// termEndedCalls counts the calls of TermEnded.
	termEndedCalls int
}

func newPartition(t *testing.T) *testPartition {
	t.Helper()
	clock := clockwork.NewRealClock()
	partition := &testPartition{state: fake.NewState(clock), clock: clock}
	partition.client = store.NewClient("state:1", partition.state)
	partition.elect()
	partition.exchange = &Exchange{
		Member:         "y",
		Client:         partition.client,
		Clock:          clock,
		WriteLimiter:   NewWriteLimiter(stateLimits),
		UplinkKey:      store.RelayKey,
		DownlinkPrefix: store.RelayResponsePrefix + "y/",
		RefreshEvery:   time.Hour,
		Lock:           &partition.mu,
		Outbox:         relay.NewOutbox(PacketLimits(stateLimits), 1),
		Reader:         &relay.Reader{},
		Expire:         func(time.Time) {},
		TermEnded:      func() { partition.termEndedCalls++ },
	}
	partition.exchange.Outbox.Reset(partition.term)
	return partition
}

// elect begins a new term of the leader.
func (p *testPartition) elect() {
	p.term = p.state.Put(store.LeaderKey, store.LeaderRecord{Member: "x"})
}

// put puts a message of a machine into the controller's outbox.
func (p *testPartition) put(machine, body string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exchange.Outbox.Put(machine, json.RawMessage(body), true, p.clock.Now())
}

// messageFor returns the newest message from the leader for a machine.
func (p *testPartition) messageFor(machine string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return string(p.exchange.Reader.MessageFor(p.term, machine))
}

// messageRecorder collects the messages that the leader receives, in the form "member machine body".
type messageRecorder struct {
	mu       sync.Mutex
	messages []string
}

func (r *messageRecorder) deliver(member string, message relay.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, fmt.Sprintf("%s %s %s", member, message.Name, message.Body))
}

func (r *messageRecorder) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprint(r.messages)
}

// packetOf returns a packet to the leader of a term that contains one message of a machine.
func packetOf(t *testing.T, term uint64, machine, body string) relay.Packet {
	t.Helper()
	outbox := relay.NewOutbox(PacketLimits(stateLimits), 1)
	outbox.Reset(term)
	outbox.Put(machine, json.RawMessage(body), true, time.Unix(1_800_000_000, 0))
	batch, err := outbox.Next(time.Unix(1_800_000_000, 0), time.Hour, 1)
	if err != nil || len(batch.Packets) != 1 {
		t.Fatalf("%d packets, %v", len(batch.Packets), err)
	}
	return batch.Packets[0]
}

// Messages are relayed in both directions while both sides run, and both sides stop when their contexts
// end. Packets that are corrupt or of another term are skipped.
func TestMessagesAreRelayedInBothDirections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		partition := newPartition(t)
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { partition.exchange.Run(ctx) })
		var messages messageRecorder
		running.Go(func() {
			Follow(ctx, partition.client, partition.clock, store.RelayPrefix, partition.term, partition.term, messages.deliver)
		})
		mailboxes := &Mailboxes{
			Term:   partition.term,
			Limits: PacketLimits(stateLimits),
			Prefix: store.RelayResponsePrefix,
			Key:    store.RelayResponseKey,
			Body: func(member, machine string) json.RawMessage {
				return json.RawMessage(`"to ` + machine + ` by ` + member + `"`)
			},
		}
		mailboxes.MarkDirty = func(key string, _ int, _ func()) {
			packet, ok := mailboxes.Packet(key)
			if !ok {
				t.Errorf("no packet of key %s", key)
			}
			partition.state.Put(key, packet)
		}

		partition.put("n1", `"from n1"`)
		mailboxes.Update("y", "n1")
		partition.state.Put(store.RelayKey("y", 8), "corrupt")
		partition.state.Put(store.RelayKey("y", 9), packetOf(t, partition.term+1, "n9", `"for another leader"`))
		partition.state.Put(store.RelayResponsePrefix+"y/!", "corrupt") // is read before the packet of key 0
		time.Sleep(10 * time.Second)
		if want := `[y n1 "from n1"]`; messages.String() != want {
			t.Errorf("the leader received %s, want %s", &messages, want)
		}
		if body, want := partition.messageFor("n1"), `"to n1 by y"`; body != want {
			t.Errorf("the message for n1 is %s, want %s", body, want)
		}
		mailboxes.Update("y", "n2")
		time.Sleep(10 * time.Second)
		if body, want := partition.messageFor("n2"), `"to n2 by y"`; body != want {
			t.Errorf("the message for n2 is %s, want %s", body, want)
		}
		stop()
		running.Wait()
	})
}

// Packets are written only while the leader to which they are addressed leads. After a change of leader
// nothing is written, and TermEnded is called.
func TestWriteStopsWhenTermHasEnded(t *testing.T) {
	partition := newPartition(t)
	partition.put("n1", `1`)
	partition.elect()
	if partition.exchange.Write(t.Context()) || partition.termEndedCalls != 1 || partition.state.CountPrefix(store.RelayPrefix) != 0 {
		t.Errorf("TermEnded called %d times, %d packets written", partition.termEndedCalls, partition.state.CountPrefix(store.RelayPrefix))
	}
}

// Messages whose write failed in an outage are written on the next attempt.
func TestWriteRetriesAfterOutage(t *testing.T) {
	partition := newPartition(t)
	partition.put("n1", `1`)
	partition.state.SetDown(true)
	if partition.exchange.Write(t.Context()) || partition.termEndedCalls != 0 {
		t.Errorf("TermEnded called %d times in an outage", partition.termEndedCalls)
	}
	partition.state.SetDown(false)
	if !partition.exchange.Write(t.Context()) || partition.state.CountPrefix(store.RelayPrefix) != 1 {
		t.Errorf("%d packets written after an outage", partition.state.CountPrefix(store.RelayPrefix))
	}
	if partition.exchange.Write(t.Context()) {
		t.Error("an unchanged message is written again at once")
	}
}

// When a machine is removed, its packet is written again if and only if the stored packet contains its message.
func TestMailboxesWritePacketOfRemovedMachine(t *testing.T) {
	var dirty []string
	mailboxes := &Mailboxes{
		Term:      7,
		Limits:    PacketLimits(stateLimits),
		Prefix:    store.RelayResponsePrefix,
		Key:       store.RelayResponseKey,
		MarkDirty: func(key string, _ int, _ func()) { dirty = append(dirty, key) },
		Body:      func(_, machine string) json.RawMessage { return json.RawMessage(`"` + machine + `"`) },
	}
	mailboxes.Update("y", "n1")
	mailboxes.Update("y", "n2")
	key := store.RelayResponseKey("y", 0)
	mailboxes.Remove("y", "n1", true)
	if got, want := fmt.Sprint(dirty), fmt.Sprint([]string{key, key, key}); got != want {
		t.Errorf("packets to be written: %s, want %s", got, want)
	}
	if got := fmt.Sprint(mailboxes.Machines("y", 0)); got != "[n2]" {
		t.Errorf("machines: %s", got)
	}
	mailboxes.Remove("y", "n2", false)
	mailboxes.Remove("z", "n1", true)
	if len(dirty) != 3 {
		t.Errorf("packets to be written: %v", dirty)
	}
	for _, unknown := range []string{store.RelayResponseKey("z", 0), store.RelayResponsePrefix + "y/x"} {
		if _, ok := mailboxes.Packet(unknown); ok {
			t.Errorf("%s has a packet", unknown)
		}
	}
}
