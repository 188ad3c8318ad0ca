package scheduler

import (
	"context"
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

// Workers behind a cut are carried whatever their number: each report reaches the leader,
// and each command its worker, within the limits of the state service.
func TestManyWorkersBehindACut(t *testing.T) {
	for _, many := range []int{50, 500, 2500} {
		s := newStage(t)
		s.state.Limit(fake.Limits{RPS: 800, WriteRPS: 250, ValueKB: 16, TxnOps: 12})
		limits := settings.State{RPS: 800, WriteRPS: 250, ValueKB: 16, TxnOps: 12}
		client := store.NewClient("state:1", s.state)
		y := proxy.NewWorkers(proxy.Options{Member: "y", Client: client, Clock: s.clock, WriteLimit: exchange.WriteRate(limits), State: limits})
		name := func(i int) string { return fmt.Sprintf("b%04d", i) }
		told := map[string]string{}
		seq := uint64(0)
		say := func() {
			seq++
			for i := range many {
				r := &api.Heartbeat{Machine: name(i), Address: name(i) + ":1", Type: "m8", Zone: "b", Incarnation: 1, Seq: seq, Term: s.term}
				if o := y.HandleHeartbeat(r, s.term); len(o.Commands) > 0 {
					told[o.Commands[0].Task] = name(i)
				}
			}
		}
		var joiner relay.Reassembler
		after := s.term
		carry := func() {
			s.clock.Advance(tuning.RelayEvery)
			for y.Exchange.Write(context.Background()) {
			}
			log, epoch, err := client.Watch(context.Background(), store.RelayPrefix, after, 0)
			if err != nil {
				t.Fatal(err)
			}
			after = max(after, epoch)
			exchange.UnpackEvents(log, store.RelayPrefix, s.term, &joiner, s.AcceptWorkerMessage)
			s.Place()
			s.commit()
			if _, err := y.Exchange.Fetch(context.Background(), 0); err != nil {
				t.Fatal(err)
			}
		}
		say()
		for range 2 + many/500 {
			carry()
		}
		if len(s.machines) != many {
			t.Fatalf("%d of %d workers reached the leader", len(s.machines), many)
		}
		s.submit("run-000001", min(many, 100), func(x *api.Submission) { x.Team, x.CPUs, x.MemoryGB = "left", 8, 8 })
		for range 4 {
			say()
			carry()
		}
		say()
		if len(told) != min(many, 100) {
			t.Errorf("%d workers: %d starts arrived", many, len(told))
		}
		for key, n := range told {
			if alloc := s.jobs["run-000001"].allocations[keyTask(key)]; alloc == nil || alloc.machine.Name != n {
				t.Fatalf("%s was told to %s", key, n)
			}
		}
		if len(s.state.Refused) != 0 {
			t.Errorf("%d workers: the state service refused %v", many, s.state.Refused)
		}
	}
}

func keyTask(key string) int {
	_, n, _ := parseTaskKey(key)
	return n
}
