package scheduler

import (
	"encoding/json"
	"fmt"
	"testing"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/relay"
	"switchferry/relay/exchange"
	"switchferry/relay/proxy"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
)

// A relay may deliver a start in the response to any of the next tuning.RelayedCommandHeartbeats heartbeats, on
// whatever path they or copies of them reach the leader. Only a later heartbeat that does not list the task proves its
// absence.
func TestRelayedHeartbeatDoesNotDisproveRelayedStart(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("b1", 1)
	h.relayHeartbeats("peer", "b1")
	h.submit("run-000001", 1, nil)
	h.Place()
	h.commit()
	commands := h.relayedCommandsFor("peer", "b1")
	if len(commands.Commands) != 1 || commands.Commands[0].Verb != api.CommandRun || len(h.starts("run-000001/0")) != 0 {
		t.Fatalf("relayed commands %+v, want one start; direct starts %d, want 0", commands, len(h.starts("run-000001/0")))
	}
	h.Cancel(cancelledContext(), "run-000001")
	h.commit()
	h.relayHeartbeats("peer", "b1")
	if len(h.jobs["run-000001"].allocations) != 1 {
		t.Fatal("a relayed heartbeat was taken as proof that the task is absent")
	}
	h.heartbeat("b1", 1)
	if commands := h.relayedCommandsFor("peer", "b1"); len(commands.Commands) != 0 {
		t.Errorf("commands are still relayed after a direct heartbeat: %+v", commands)
	}
	for h.seq["b1"] < commands.Seq+tuning.RelayedCommandHeartbeats {
		h.heartbeat("b1", 1)
	}
	h.commit()
	if h.jobs["run-000001"] == nil || len(h.jobs["run-000001"].allocations) != 1 {
		t.Fatal("a heartbeat whose response may contain the relayed start was taken as proof that the task is absent")
	}
	h.heartbeat("b1", 1)
	h.commit()
	if h.jobs["run-000001"] != nil {
		t.Error("the first heartbeat whose response cannot contain the relayed start was not taken as proof that the task is absent")
	}
	if commands := h.relayedCommandsFor("peer", "b1"); len(commands.Commands) != 0 {
		t.Errorf("commands are still relayed: %+v", commands)
	}
	// Packets for the leader of another term must be ignored.
	raw, _ := json.Marshal(relay.Packet{Term: h.term - 1, Packed: "x"})
	exchange.UnpackEvents([]store.Event{{Set: store.RelayKey("peer", 0), Value: raw}}, store.RelayPrefix, h.term, &relay.Reassembler{}, func(string, relay.Message) {
		t.Error("a packet of another term was unpacked")
	})
}

// For any number of workers that can reach only a follower, each heartbeat reaches the leader and each command its
// worker within the limits of the state service.
func TestManyWorkersRelayWithinStateLimits(t *testing.T) {
	for _, workerCount := range []int{50, 500, 2500} {
		h := newHarness(t)
		h.state.SetLimits(fake.Limits{RPS: 800, WriteRPS: 250, ValueKB: 16, TxnOps: 12})
		limits := settings.StateLimits{RPS: 800, WriteRPS: 250, ValueKB: 16, TxnOps: 12}
		follower := proxy.NewWorkers(proxy.Options{Member: "y", Client: h.client(), Clock: h.clock, WriteLimiter: exchange.NewWriteLimiter(limits), StateLimits: limits})
		workerName := func(i int) string { return fmt.Sprintf("b%04d", i) }
		startedOn := map[string]string{}
		seq := uint64(0)
		sendHeartbeats := func() {
			seq++
			for i := range workerCount {
				heartbeat := &api.Heartbeat{Machine: workerName(i), Address: workerName(i) + ":1", Type: "m8", Zone: "b", Incarnation: 1, Seq: seq, Term: h.term}
				if response := follower.HandleHeartbeat(heartbeat, h.term); len(response.Commands) > 0 {
					startedOn[response.Commands[0].Task] = workerName(i)
				}
			}
		}
		packets := newWorkerPackets(h, follower.Exchange)
		exchangePackets := func() {
			h.clock.Advance(tuning.RelayInterval)
			packets.toLeader(h.AcceptWorkerMessage)
			h.Place()
			h.commit()
			packets.toFollower()
		}
		sendHeartbeats()
		for range 2 + workerCount/500 {
			exchangePackets()
		}
		if len(h.machines) != workerCount {
			t.Fatalf("%d of %d workers reached the leader", len(h.machines), workerCount)
		}
		h.submit("run-000001", min(workerCount, 100), func(submission *api.Submission) { submission.Team, submission.CPUs, submission.MemoryGB = "left", 8, 8 })
		for range 4 {
			sendHeartbeats()
			exchangePackets()
		}
		sendHeartbeats()
		if len(startedOn) != min(workerCount, 100) {
			t.Errorf("%d workers: %d starts arrived, want one for each task", workerCount, len(startedOn))
		}
		for key, machineName := range startedOn {
			if alloc := h.jobs["run-000001"].allocations[taskNumber(key)]; alloc == nil || alloc.machine.Name != machineName {
				t.Fatalf("the start of %s arrived at %s, which does not hold its allocation", key, machineName)
			}
		}
		if len(h.state.Refused) != 0 {
			t.Errorf("%d workers: the state service refused %v", workerCount, h.state.Refused)
		}
	}
}

func taskNumber(key string) int {
	_, number, _ := parseTaskKey(key)
	return number
}
