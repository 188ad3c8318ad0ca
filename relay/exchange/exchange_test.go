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
	// The compressor is made once, and must not be made within a bubble of synctest.
	if _, err := compress.EncodeFast(0); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var facts = settings.State{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12}

// partition is a controller "y" and a leader that reach the state service alone.
type partition struct {
	state  *fake.State
	client *store.Client
	clock  clockwork.Clock
	term   uint64
	// exchange is the controller's.
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

// elect begins a term of the leader.
func (p *partition) elect() {
	p.term = p.state.Put(store.LeaderKey, store.LeaderRecord{Member: "x"})
}

// put puts a message of a machine into the outbox.
func (p *partition) put(machine, body string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exchange.Outbox.Put(machine, json.RawMessage(body), true, p.clock.Now())
}

// messageFor returns the newest message for a machine.
func (p *partition) messageFor(machine string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return string(p.exchange.Reader.MessageFor(p.term, machine))
}

// received collects what the leader receives, as "member machine body".
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

// packetOf returns a packet for the leader of a term with a message of a machine.
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

// Messages cross in both directions while both sides run, and both stop with their contexts. A packet
// that is corrupt, or of another term, is skipped.
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

// Packets are written for the leader of their term alone. After a change of leader nothing is written,
// and TermEnded is called.
func TestWriteStopsWhenTermHasEnded(t *testing.T) {
	link := newPartition(t)
	link.put("n1", `1`)
	link.elect()
	if link.exchange.Write(t.Context()) || link.ended != 1 || link.state.Under(store.RelayPrefix) != 0 {
		t.Errorf("%d ends of the term, %d packets written", link.ended, link.state.Under(store.RelayPrefix))
	}
}

// Messages whose write was refused are written with the next attempt.
func TestWriteRetriesAfterOutage(t *testing.T) {
	link := newPartition(t)
	link.put("n1", `1`)
	link.state.Outage(true)
	if link.exchange.Write(t.Context()) || link.ended != 0 {
		t.Errorf("%d ends of the term in an outage", link.ended)
	}
	link.state.Outage(false)
	if !link.exchange.Write(t.Context()) || link.state.Under(store.RelayPrefix) != 1 {
		t.Errorf("%d packets written after an outage", link.state.Under(store.RelayPrefix))
	}
	if link.exchange.Write(t.Context()) {
		t.Error("an unchanged message is written again at once")
	}
}

// The packet of a machine that is removed is written again if it has the machine's message, and only then.
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
