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

var facts = settings.State{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12}

// partition is a controller "y" and a leader "x" that can reach the state service but not each other.
type partition struct {
	state  *fake.State
	client *store.Client
	clock  clockwork.Clock
	term   uint64
	// exchange is the exchange of the controller.
	exchange *Exchange

	mu sync.Mutex
	// ended counts the calls of TermEnded.
	ended int
}

func newPartition(t *testing.T) *partition {
	t.Helper()
	clock := clockwork.NewRealClock()
	link := &partition{state: fake.NewState(clock), clock: clock}
	link.client = store.NewClient("state:1", link.state)
	link.elect()
	link.exchange = &Exchange{
		Member:         "y",
		Client:         link.client,
		Clock:          clock,
		Rate:           WriteRate(facts),
		UplinkKey:      store.RelayKey,
		DownlinkPrefix: store.RelayResponsePrefix + "y/",
		RefreshEvery:   time.Hour,
		Lock:           &link.mu,
		Outbox:         relay.NewOutbox(PacketLimits(facts), 1),
		Reader:         &relay.Reader{},
		Expire:         func(time.Time) {},
		TermEnded:      func() { link.ended++ },
	}
	link.exchange.Outbox.Reset(link.term)
	return link
}

// elect begins a new term of the leader.
func (p *partition) elect() {
	p.term = p.state.Put(store.LeaderKey, store.LeaderRecord{Member: "x"})
}

// put puts a message of a machine into the controller's outbox.
func (p *partition) put(machine, body string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exchange.Outbox.Put(machine, json.RawMessage(body), true, p.clock.Now())
}

// messageFor returns the newest message from the leader for a machine.
func (p *partition) messageFor(machine string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return string(p.exchange.Reader.MessageFor(p.term, machine))
}

// received collects the messages that the leader receives, in the form "member machine body".
type received struct {
	mu       sync.Mutex
	messages []string
}

func (r *received) deliver(member string, message relay.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, fmt.Sprintf("%s %s %s", member, message.Name, message.Body))
}

func (r *received) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprint(r.messages)
}

// packetOf returns a packet to the leader of a term that contains one message of a machine.
func packetOf(t *testing.T, term uint64, machine, body string) relay.Packet {
	t.Helper()
	outbox := relay.NewOutbox(PacketLimits(facts), 1)
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
func TestMessagesCrossInBothDirections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := newPartition(t)
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { link.exchange.Run(ctx) })
		var got received
		running.Go(func() { Follow(ctx, link.client, link.clock, store.RelayPrefix, link.term, link.term, got.deliver) })
		mailboxes := &Mailboxes{
			Term:   link.term,
			Limits: PacketLimits(facts),
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
			link.state.Put(key, packet)
		}

		link.put("n1", `"from n1"`)
		mailboxes.Update("y", "n1")
		link.state.Put(store.RelayKey("y", 8), "corrupt")
		link.state.Put(store.RelayKey("y", 9), packetOf(t, link.term+1, "n9", `"for another leader"`))
		link.state.Put(store.RelayResponsePrefix+"y/!", "corrupt") // is read before the packet of key 0
		time.Sleep(10 * time.Second)
		if want := `[y n1 "from n1"]`; got.String() != want {
			t.Errorf("the leader received %s, want %s", &got, want)
		}
		if body, want := link.messageFor("n1"), `"to n1 by y"`; body != want {
			t.Errorf("the message for n1 is %s, want %s", body, want)
		}
		mailboxes.Update("y", "n2")
		time.Sleep(10 * time.Second)
		if body, want := link.messageFor("n2"), `"to n2 by y"`; body != want {
			t.Errorf("the message for n2 is %s, want %s", body, want)
		}
		stop()
		running.Wait()
	})
}

// Packets are written only while the leader to which they are addressed leads. After a change of leader
// nothing is written, and TermEnded is called.
func TestWriteStopsWhenTermHasEnded(t *testing.T) {
	link := newPartition(t)
	link.put("n1", `1`)
	link.elect()
	if link.exchange.Write(t.Context()) || link.ended != 1 || link.state.Under(store.RelayPrefix) != 0 {
		t.Errorf("TermEnded called %d times, %d packets written", link.ended, link.state.Under(store.RelayPrefix))
	}
}

// Messages whose write failed in an outage are written on the next attempt.
func TestWriteRetriesAfterOutage(t *testing.T) {
	link := newPartition(t)
	link.put("n1", `1`)
	link.state.Outage(true)
	if link.exchange.Write(t.Context()) || link.ended != 0 {
		t.Errorf("TermEnded called %d times in an outage", link.ended)
	}
	link.state.Outage(false)
	if !link.exchange.Write(t.Context()) || link.state.Under(store.RelayPrefix) != 1 {
		t.Errorf("%d packets written after an outage", link.state.Under(store.RelayPrefix))
	}
	if link.exchange.Write(t.Context()) {
		t.Error("an unchanged message is written again at once")
	}
}

// When a machine is removed, its packet is written again if and only if the stored packet contains its message.
func TestMailboxesWritePacketOfRemovedMachine(t *testing.T) {
	var dirty []string
	mailboxes := &Mailboxes{
		Term:      7,
		Limits:    PacketLimits(facts),
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
