package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/features"
	"switchferry/internal/fake"
	"switchferry/relay"
	"switchferry/relay/exchange"
	"switchferry/relay/proxy"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
)

// cutStage is a leader, and a peer y that does not reach it: agents report to y's proxy, and
// all goes through the state service, whose limits are kept.
type cutStage struct {
	*dataStage
	client  *store.Client
	proxy   *proxy.Agents
	packets relay.Reassembler
	after   uint64
}

func newCutStage(t *testing.T) *cutStage {
	s := &cutStage{dataStage: newDataStage(t, features.Staged)}
	s.state.Limit(fake.Limits{RPS: 800, WriteRPS: 250, ValueKB: 16, TxnOps: 12})
	limits := settings.State{RPS: 800, WriteRPS: 250, ValueKB: 16, TxnOps: 12}
	s.client = store.NewClient("state:1", s.state)
	s.proxy = proxy.NewAgents(proxy.Options{Member: "y", Client: s.client, Clock: s.clock, WriteLimit: exchange.WriteRate(limits), State: limits})
	s.follow()
	return s
}

// follow has the relayed packets read from the beginning of the present term.
func (s *cutStage) follow() { s.after = s.term }

// say lets an agent report to y and take the answer.
func (s *cutStage) say(p *played) api.StageOrder {
	s.Helper()
	p.seq++
	r := p.stageReport()
	o, err := s.proxy.HandleHeartbeat(r, s.term)
	if err != nil {
		s.Fatalf("%s is answered %v", p.name, err)
	}
	p.apply(o)
	return o
}

// carry takes letters both ways once.
func (s *cutStage) carry() {
	s.Helper()
	ctx := context.Background()
	s.clock.Advance(tuning.RelayEvery)
	for s.proxy.Exchange.Write(ctx) {
	}
	log, epoch, err := s.client.Watch(ctx, store.StageRelayPrefix, s.after, 0)
	if err != nil {
		s.Fatal(err)
	}
	s.after = max(s.after, epoch)
	exchange.UnpackEvents(log, store.StageRelayPrefix, s.term, &s.packets, s.AcceptAgentMessage)
	s.Place()
	s.commit()
	if _, err = s.proxy.Exchange.Fetch(ctx, 0); err != nil {
		s.Fatal(err)
	}
}

// Behind a cut a job's inputs are copied and its tasks start: the agent's reports go to
// the leader, and its orders come back, through the state service. Agents reported to the
// leader alone before, and no task with inputs started until the cut ended.
func TestInputsBehindACut(t *testing.T) {
	s := newCutStage(t)
	s.alive("a1")
	a := &played{name: "a1", has: roaring.New()}
	s.say(a)
	s.carry()
	s.submit("run-000001", 2, withInputs(api.UseOwn))
	s.carry()
	s.say(a)
	if got := a.copies(); !slices.Equal(got, []int{0, 1}) {
		t.Fatalf("copies ordered: %v", got)
	}
	a.copied()
	if s.carry(); len(s.starts("run-000001/0")) != 0 {
		t.Fatal("started before its inputs were proved there")
	}
	s.alive("a1")
	s.say(a)
	s.carry()
	if len(s.starts("run-000001/0")) != 1 || len(s.starts("run-000001/1")) != 1 {
		t.Fatal("not started though its inputs are there")
	}
	// A report that was overtaken proves nothing.
	late := a.stageReport()
	late.Seq, late.Pinned = 1, nil
	s.HandleRelayedStageHeartbeat("y", late)
	if !s.datasets.planner.Confirmed("a1", inv, 0) {
		t.Error("an old report took a proof back")
	}
	// Once the agent reaches the leader itself, the mail ends.
	s.tell(a)
	s.commit()
	if s.datasets.relayedOrders["a1"] != nil || len(s.datasets.orderMailboxes.Machines("y", 0)) != 0 {
		t.Error("mail for an agent that is within reach")
	}
}

// The leader changes behind the cut. The old one's order is not told any more, what the
// agent holds is told to the new one, and what may run there stays pinned.
func TestLeaderChangesBehindACut(t *testing.T) {
	s := newCutStage(t)
	s.alive("a1")
	a := &played{name: "a1", has: roaring.BitmapOf(0), version: 3}
	s.say(a)
	s.submit("run-000001", 1, withInputs(api.UseOwn))
	for range 3 {
		s.carry()
		s.say(a)
	}
	s.carry()
	st := s.starts("run-000001/0")
	if len(st) != 1 || !a.wants(0) || a.known != 3 {
		t.Fatalf("%d starts, order %+v, known %d", len(st), a.sets, a.known)
	}
	old := s.term
	s.reelect()
	s.follow()
	s.AddDatasets(&dataset.Entry{Summary: *inv})
	if o := s.say(a); o.Order != 0 || !a.wants(0) {
		t.Fatalf("told %+v", o)
	}
	s.carry()
	s.alive("a1", task("run-000001/0", st[0].o.Commands[0].Attempt, api.TaskRunning, ""))
	s.carry()
	s.say(a)
	if a.term != s.term || a.term == old || !a.wants(0) {
		t.Fatalf("the new leader's order: term %d of %d, %+v", a.term, s.term, a.sets)
	}
	id, _ := s.datasets.planner.ID("a1")
	if !s.datasets.index.Snapshot().Has(id, "inv", 0) {
		t.Error("the new leader was not told what the agent holds")
	}
}

// An agent that holds very much, and a thousand agents at once, go through the limits of
// the state service; so do their orders.
func TestManyAgentsBehindACut(t *testing.T) {
	s := newCutStage(t)
	var sets []*dataset.Entry
	for i := range 2000 {
		d := dataset.Entry{Summary: *inv}
		d.Name, d.Manifest = fmt.Sprintf("set-%04d", i), dataset.Sum([]byte{byte(i), byte(i >> 8)})
		sets = append(sets, &d)
	}
	s.AddDatasets(sets...)
	var all []*played
	for i := range 1000 {
		p := &played{name: fmt.Sprintf("b%04d", i), has: roaring.BitmapOf(uint32(i % 8)), version: 1}
		all = append(all, p)
		s.alive(p.name)
		s.say(p)
	}
	full := all[0].stageReport()
	for _, d := range sets {
		full.Holds = append(full.Holds, api.StageHeld{Dataset: d.Name, Manifest: d.Manifest.String(), Of: d.Parts, Parts: api.PartSet{Bitmap: roaring.BitmapOf(1, 2)}})
	}
	all[0].seq++
	full.Seq = all[0].seq
	if _, err := s.proxy.HandleHeartbeat(full, s.term); err != nil {
		t.Fatal(err)
	}
	for range 4 {
		s.carry()
	}
	for _, p := range all {
		s.say(p)
		if p.term != s.term {
			t.Fatalf("%s has no order after four rounds", p.name)
		}
	}
	id, _ := s.datasets.planner.ID("b0000")
	if !s.datasets.index.Snapshot().Has(id, "set-1999", 2) {
		t.Error("the long report did not arrive")
	}
	if len(s.state.Refused) != 0 {
		raw, _ := json.Marshal(s.state.Refused)
		t.Errorf("the state service refused: %s", raw)
	}
}
