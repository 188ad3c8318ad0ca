package proxy

import (
	"encoding/json"
	"testing"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/relay"
	"switchferry/relay/exchange"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
)

// newWorkers returns the proxy of the controller y.
func newWorkers() *Workers {
	clock := clockwork.NewFakeClock()
	limits := settings.StateLimits{RPS: 120, WriteRPS: 30, ValueKB: 16, TxnOps: 24}
	client := store.NewClient("state:1", fake.NewState(clock))
	return NewWorkers(Options{Member: "y", Client: client, Clock: clock, WriteLimiter: exchange.NewWriteLimiter(limits), StateLimits: limits})
}

// relayedCommand describes a command for a task on machine b1 that the leader of term 7 derived from heartbeat seq and
// put into the given packet, which was written at the given revision of the state service.
type relayedCommand struct {
	packet        int
	revision, seq uint64
	verb          string
}

// relayCommand makes a proxy read a packet that contains a command.
func relayCommand(t *testing.T, workers *Workers, command relayedCommand) {
	t.Helper()
	mailbox := relay.NewMailbox(exchange.PacketLimits(settings.StateLimits{RPS: 120, WriteRPS: 30, ValueKB: 16, TxnOps: 24}))
	mailbox.AssignPacket("b1")
	raw, err := json.Marshal(store.RelayedCommands{Incarnation: 1, Seq: command.seq, Commands: []api.Command{{Verb: command.verb, Task: "run-1/0", Attempt: 3}}})
	if err != nil {
		t.Fatal(err)
	}
	packet, _, _, err := mailbox.BuildPacket(7, 0, func(string) json.RawMessage { return raw })
	if err == nil {
		err = workers.inbox.Apply(store.RelayResponseKey("y", command.packet), command.revision, &packet)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// relayStart makes a proxy read a start command in packet 0.
func relayStart(t *testing.T, workers *Workers, revision, seq uint64) {
	t.Helper()
	relayCommand(t, workers, relayedCommand{revision: revision, seq: seq, verb: api.CommandRun})
}

// Commands are delivered only while this proxy receives all of a worker's heartbeats: if heartbeats are missing,
// another controller may have cleared the attempt that the commands would start.
func TestStaleCommandsAreNotDelivered(t *testing.T) {
	workers := newWorkers()
	sendHeartbeat := func(seq uint64) api.HeartbeatResponse {
		return workers.HandleHeartbeat(&api.Heartbeat{Machine: "b1", Incarnation: 1, Seq: seq, Term: 7}, 7)
	}
	sendHeartbeat(10)
	relayCommand(t, workers, relayedCommand{packet: 0, revision: 50, seq: 10, verb: api.CommandRun})
	if response := sendHeartbeat(11); len(response.Commands) != 1 || response.Term != 7 {
		t.Fatalf("commands not delivered: %+v", response)
	}
	for _, seq := range []uint64{13, 14} {
		if response := sendHeartbeat(seq); len(response.Commands) != 0 {
			t.Errorf("commands from before a gap delivered for heartbeat %d", seq)
		}
	}
	// Commands that were derived from an earlier heartbeat than the last delivered ones are not delivered after them, even
	// from another packet: a start after a clear would run the task again.
	relayCommand(t, workers, relayedCommand{packet: 1, revision: 60, seq: 14, verb: api.CommandClear})
	if response := sendHeartbeat(15); len(response.Commands) != 1 || response.Commands[0].Verb != api.CommandClear {
		t.Fatalf("the newer commands: %+v", response)
	}
	relayCommand(t, workers, relayedCommand{packet: 0, revision: 70, seq: 13, verb: api.CommandRun})
	if response := sendHeartbeat(16); len(response.Commands) != 0 {
		t.Errorf("commands derived before those that were delivered last: %+v", response)
	}
	if response := workers.HandleHeartbeat(&api.Heartbeat{Machine: "b1", Incarnation: 1, Seq: 17, Term: 7}, 9); len(response.Commands) != 0 || response.Term != 9 {
		t.Errorf("commands of another term: %+v", response)
	}
}

// A delayed duplicate of a heartbeat does not replace a newer one.
func TestDuplicateHeartbeatIsIgnored(t *testing.T) {
	workers := newWorkers()
	term := uint64(9)
	heartbeat := api.Heartbeat{Machine: "b1", Zone: "b", Incarnation: 2, Seq: 10, Term: term}
	first := workers.HandleHeartbeat(&heartbeat, term)
	heartbeat.Seq = 11
	workers.HandleHeartbeat(&heartbeat, term)
	firstSeq := workers.workers["b1"].firstSeq
	duplicate := heartbeat
	duplicate.Seq = 10
	workers.HandleHeartbeat(&duplicate, term)
	if worker := workers.workers["b1"]; worker.firstSeq != firstSeq || worker.heartbeat.Seq != 11 || first.Term != term {
		t.Error("a duplicate heartbeat replaced the state from a newer one")
	}
}

// Commands are delivered for tuning.RelayedCommandHeartbeats heartbeats after the one from which they were derived.
// After that the leader may count a start among them as settled. The next heartbeat is sent at once, although the
// worker's status has not changed, so that the leader derives the commands again.
func TestOutdatedCommandsAreDerivedAgain(t *testing.T) {
	workers := newWorkers()
	sendHeartbeat := func(seq uint64) api.HeartbeatResponse {
		return workers.HandleHeartbeat(&api.Heartbeat{Machine: "b1", Incarnation: 1, Seq: seq, Term: 7}, 7)
	}
	const derivedFrom = 10
	sendHeartbeat(derivedFrom)
	relayStart(t, workers, 50, derivedFrom)
	for seq := uint64(derivedFrom + 1); seq <= derivedFrom+tuning.RelayedCommandHeartbeats; seq++ {
		if response := sendHeartbeat(seq); len(response.Commands) != 1 {
			t.Fatalf("not delivered for heartbeat %d: %+v", seq, response)
		}
	}
	packetsDue := func() int {
		batch, err := workers.outbox.Next(workers.clock.Now(), tuning.RelayRefreshInterval, 1)
		if err != nil {
			t.Fatal(err)
		}
		return len(batch.Packets)
	}
	if packetsDue() != 1 || packetsDue() != 0 {
		t.Fatal("packets due: want the first heartbeat only")
	}
	const outdatedAt = derivedFrom + tuning.RelayedCommandHeartbeats + 1
	if response := sendHeartbeat(outdatedAt); len(response.Commands) != 0 {
		t.Errorf("outdated commands were delivered: %+v", response)
	}
	if packetsDue() != 1 {
		t.Error("the heartbeat is not sent to the leader at once")
	}
	relayStart(t, workers, 51, outdatedAt)
	if response := sendHeartbeat(outdatedAt + 1); len(response.Commands) != 1 {
		t.Errorf("commands derived again are not delivered: %+v", response)
	}
}

// Once a heartbeat was forwarded to the leader directly without a reply, commands derived from earlier heartbeats are
// not delivered any more, neither in answer to it nor later: the leader may have handled it and started the task
// elsewhere.
func TestForwardedHeartbeatGetsNoEarlierCommands(t *testing.T) {
	workers := newWorkers()
	heartbeat := func(seq uint64) *api.Heartbeat {
		return &api.Heartbeat{Machine: "b1", Incarnation: 1, Seq: seq, Term: 7}
	}
	workers.HandleHeartbeat(heartbeat(10), 7)
	relayStart(t, workers, 50, 10)
	if response := workers.HandleForwardedHeartbeat(heartbeat(11), 7); len(response.Commands) > 0 || response.Term != 7 {
		t.Errorf("answer to a forwarded heartbeat: %+v", response)
	}
	if response := workers.HandleHeartbeat(heartbeat(12), 7); len(response.Commands) > 0 {
		t.Errorf("answer to the heartbeat after a forwarded one: %+v", response)
	}
	relayStart(t, workers, 51, 12)
	if response := workers.HandleHeartbeat(heartbeat(13), 7); len(response.Commands) != 1 {
		t.Errorf("commands derived from a later heartbeat are not delivered: %+v", response)
	}
}

// Commands are delivered under the token that the worker had when they were derived, and not once it has a newer one,
// which may be a later leader's.
func TestCommandsAreNotDeliveredUnderANewerToken(t *testing.T) {
	const raised, newer = 9, 12 // above the leader's term 7
	workers := newWorkers()
	sendHeartbeat := func(seq, token uint64) api.HeartbeatResponse {
		return workers.HandleHeartbeat(&api.Heartbeat{Machine: "b1", Incarnation: 1, Seq: seq, Term: token}, 7)
	}
	sendHeartbeat(10, raised)
	relayStart(t, workers, 50, 10)
	if response := sendHeartbeat(11, raised); len(response.Commands) != 1 || response.Term != raised {
		t.Errorf("under the token of the commands: %+v", response)
	}
	if response := sendHeartbeat(12, newer); len(response.Commands) != 0 || response.Term != newer {
		t.Errorf("under a newer token: %+v", response)
	}
	if response := sendHeartbeat(13, newer); len(response.Commands) != 0 || response.Term != newer {
		t.Errorf("under a newer token, the next heartbeat: %+v", response)
	}
}
