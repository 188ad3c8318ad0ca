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

// A relayed start may be delivered in the response to any of the next heartbeats, whichever way they or copies of them
// reach the leader; only a later one that lacks the task proves its absence.
func TestRelayedHeartbeatDoesNotDisproveRelayedStart(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("b1", 1)
	h.heartbeatsThrough("sib", "b1")
	h.submit("run-000001", 1, nil)
	h.Place()
	h.commit()
	m := h.relayedCommandsFor("sib", "b1")
	if len(m.Commands) != 1 || m.Commands[0].Verb != api.CommandRun || len(h.starts("run-000001/0")) != 0 {
		t.Fatalf("mail %+v, direct starts %d", m, len(h.starts("run-000001/0")))
	}
	h.Cancel(cancelledContext(), "run-000001")
	h.commit()
	h.heartbeatsThrough("sib", "b1")
	if len(h.jobs["run-000001"].allocations) != 1 {
		t.Fatal("a relayed report was taken for a proof")
	}
	h.heartbeat("b1", 1)
	if m := h.relayedCommandsFor("sib", "b1"); len(m.Commands) != 0 {
		t.Errorf("still in the mail after a direct heartbeat: %+v", m)
	}
	for h.seq["b1"] < m.Seq+tuning.RelayedCommandsSpan {
		h.heartbeat("b1", 1)
	}
	h.commit()
	if h.jobs["run-000001"] == nil || len(h.jobs["run-000001"].allocations) != 1 {
		t.Fatal("a heartbeat whose response may hold the relayed start was taken for a proof")
	}
	h.heartbeat("b1", 1)
	h.commit()
	if h.jobs["run-000001"] != nil {
		t.Error("a heartbeat after the last one that the relayed start may answer was not taken for a proof")
	}
	if m := h.relayedCommandsFor("sib", "b1"); len(m.Commands) != 0 {
		t.Errorf("still in the mail: %+v", m)
	}
	// Reports for another term's leader are not ours to use.
	raw, _ := json.Marshal(relay.Packet{Term: h.term - 1, Packed: "x"})
	exchange.UnpackEvents([]store.Event{{Set: store.RelayKey("sib", 0), Value: raw}}, store.RelayPrefix, h.term, &relay.Reassembler{}, func(string, relay.Message) {
		t.Error("took reports of another term")
	})
}

// Workers behind a cut are carried whatever their number: each report reaches the leader,
// and each command its worker, within the limits of the state service.
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
			t.Errorf("%d workers: %d starts arrived", many, len(told))
		}
		for key, n := range told {
			if alloc := h.jobs["run-000001"].allocations[taskNumber(key)]; alloc == nil || alloc.machine.Name != n {
				t.Fatalf("%s was told to %s", key, n)
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
