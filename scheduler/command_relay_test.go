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

// A relay may deliver a start in the response to any of the next tuning.RelayedCommandsSpan heartbeats, on whatever
// path they or copies of them reach the leader. Only a later heartbeat that does not list the task proves its absence.
func TestRelayedHeartbeatDoesNotDisproveRelayedStart(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("b1", 1)
	h.heartbeatsThrough("sib", "b1")
	h.submit("run-000001", 1, nil)
	h.Place()
	h.commit()
	m := h.relayedCommandsFor("sib", "b1")
	if len(m.Commands) != 1 || m.Commands[0].Verb != api.CommandRun || len(h.starts("run-000001/0")) != 0 {
		t.Fatalf("relayed commands %+v, want one start; direct starts %d, want 0", m, len(h.starts("run-000001/0")))
	}
	h.Cancel(cancelledContext(), "run-000001")
	h.commit()
	h.heartbeatsThrough("sib", "b1")
	if len(h.jobs["run-000001"].allocations) != 1 {
		t.Fatal("a relayed heartbeat was taken as proof that the task is absent")
	}
	h.heartbeat("b1", 1)
	if m := h.relayedCommandsFor("sib", "b1"); len(m.Commands) != 0 {
		t.Errorf("commands are still relayed after a direct heartbeat: %+v", m)
	}
	for h.seq["b1"] < m.Seq+tuning.RelayedCommandsSpan {
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
	if m := h.relayedCommandsFor("sib", "b1"); len(m.Commands) != 0 {
		t.Errorf("commands are still relayed: %+v", m)
	}
	// Packets for the leader of another term must be ignored.
	raw, _ := json.Marshal(relay.Packet{Term: h.term - 1, Packed: "x"})
	exchange.UnpackEvents([]store.Event{{Set: store.RelayKey("sib", 0), Value: raw}}, store.RelayPrefix, h.term, &relay.Reassembler{}, func(string, relay.Message) {
		t.Error("a packet of another term was unpacked")
	})
}

// For any number of workers that can reach only a follower, each heartbeat reaches the leader and each command its
// worker within the limits of the state service.
func TestManyWorkersRelayWithinStateLimits(t *testing.T) {
	for _, many := range []int{50, 500, 2500} {
		h := newHarness(t)
		h.state.Limit(fake.Limits{RPS: 800, WriteRPS: 250, ValueKB: 16, TxnOps: 12})
		limits := settings.State{RPS: 800, WriteRPS: 250, ValueKB: 16, TxnOps: 12}
		y := proxy.NewWorkers(proxy.Options{Member: "y", Client: h.client(), Clock: h.clock, WriteLimit: exchange.WriteRate(limits), State: limits})
		name := func(i int) string { return fmt.Sprintf("b%04d", i) }
		told := map[string]string{}
		seq := uint64(0)
		say := func() {
			seq++
			for i := range many {
				r := &api.Heartbeat{Machine: name(i), Address: name(i) + ":1", Type: "m8", Zone: "b", Incarnation: 1, Seq: seq, Term: h.term}
				if o := y.HandleHeartbeat(r, h.term); len(o.Commands) > 0 {
					told[o.Commands[0].Task] = name(i)
				}
			}
		}
		packets := newWorkerPackets(h, y.Exchange)
		carry := func() {
			h.clock.Advance(tuning.RelayEvery)
			packets.toLeader(h.AcceptWorkerMessage)
			h.Place()
			h.commit()
			packets.toFollower()
		}
		say()
		for range 2 + many/500 {
			carry()
		}
		if len(h.machines) != many {
			t.Fatalf("%d of %d workers reached the leader", len(h.machines), many)
		}
		h.submit("run-000001", min(many, 100), func(x *api.Submission) { x.Team, x.CPUs, x.MemoryGB = "left", 8, 8 })
		for range 4 {
			say()
			carry()
		}
		say()
		if len(told) != min(many, 100) {
			t.Errorf("%d workers: %d starts arrived, want %d", many, len(told), min(many, 100))
		}
		for key, n := range told {
			if alloc := h.jobs["run-000001"].allocations[taskNumber(key)]; alloc == nil || alloc.machine.Name != n {
				t.Fatalf("the start of %s arrived at %s, which does not hold its allocation", key, n)
			}
		}
		if len(h.state.Refused) != 0 {
			t.Errorf("%d workers: the state service refused %v", many, h.state.Refused)
		}
	}
}

func taskNumber(key string) int {
	_, n, _ := parseTaskKey(key)
	return n
}
