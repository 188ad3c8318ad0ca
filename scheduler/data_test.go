package scheduler

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/features"
	"switchferry/store"
	"switchferry/tuning"
)

var inv = &dataset.Summary{Name: "inv", Bytes: 8e9, Parts: 8, Usual: 1e9}

// dataStage is a leader with datasets on; the test plays the agents as well.
type dataStage struct {
	*stage
	place  string
	agents map[string]*played
}

// played is an agent: it refuses old orders, and copies what it is ordered to when the
// test lets it.
type played struct {
	name        string
	seq         uint64
	term, order uint64
	sets        []api.StageSet
	has         *roaring.Bitmap
	full        bool
	refused     int
	// version is that of what it holds, known the one that it was told is known.
	version, known uint64
	drop           []string
}

func newDataStage(t *testing.T, place string) *dataStage {
	s := &dataStage{stage: newStage(t), place: place, agents: map[string]*played{}}
	s.on()
	return s
}

// on switches datasets on in the present term.
func (s *dataStage) on() {
	s.UseData(features.Data{On: true, Placement: s.place, CacheGB: 50, LinkMBs: 125, StoreMBs: 1000, PerLink: 2, AtStore: 8, Ahead: 4})
	s.hooks.SendStageOrder = func(name, _ string, o api.StageOrder) {
		if p := s.agents[name]; p != nil {
			p.apply(o)
		}
	}
	s.AddDatasets(&dataset.Entry{Summary: *inv})
}

// reelect begins a new term, with agents and machines as they are.
func (s *dataStage) reelect() {
	s.elect()
	s.on()
}

func (p *played) apply(o api.StageOrder) {
	if o.Term < p.term || o.Term == p.term && o.Order < p.order {
		p.refused++
		return
	}
	p.term, p.order, p.sets, p.known, p.drop = o.Term, o.Order, o.Sets, o.Known, o.Drop
}

func (p *played) wants(part uint32) bool {
	return slices.ContainsFunc(p.sets, func(x api.StageSet) bool { return x.Parts.Contains(part) })
}

func (p *played) copies() (out []int) {
	for _, x := range p.sets {
		for _, c := range x.Copies {
			out = append(out, c.Part)
		}
	}
	return out
}

// copied lets the agent finish what it is to copy.
func (p *played) copied() {
	for _, k := range p.copies() {
		p.has.Add(uint32(k))
	}
}

// up brings up a machine and its agent, which holds some parts.
func (s *dataStage) up(name string, parts ...uint32) *played {
	s.report(name, 1)
	p := &played{name: name, has: roaring.BitmapOf(parts...)}
	s.agents[name] = p
	s.tell(p)
	return p
}

func (s *dataStage) tell(p *played) {
	s.Helper()
	p.seq++
	if o, _, refused := s.HandleStageHeartbeat(p.stageReport()); !refused {
		p.apply(o)
	}
}

// stageReport is what the agent says now.
func (p *played) stageReport() *api.StageHeartbeat {
	r := &api.StageHeartbeat{Machine: p.name, Address: p.name + ":2", Incarnation: 1, Seq: p.seq, Term: p.term, Order: p.order, Quota: 50e9, All: true, Version: p.version,
		Holds: []api.StageHeld{{Dataset: "inv", Manifest: inv.Manifest.String(), Of: inv.Parts, Parts: api.PartSet{Bitmap: p.has.Clone()}}}}
	for _, x := range p.sets {
		r.Pinned = append(r.Pinned, api.StageHeld{Dataset: x.Dataset, Manifest: x.Manifest, Parts: api.PartSet{Bitmap: roaring.And(p.has, x.Parts.Bitmap)}})
		for _, c := range x.Copies {
			r.Copies = append(r.Copies, api.StageProgress{Dataset: x.Dataset, Part: c.Part, Of: 1e9, From: c.From[0], Full: p.full})
		}
	}
	return r
}

// round lets everybody report, and places.
func (s *dataStage) round() {
	s.clock.Advance(300 * time.Millisecond)
	for _, name := range []string{"a1", "a2", "b1"} {
		if p := s.agents[name]; p != nil {
			s.tell(p)
		}
	}
	s.Place()
	s.commit()
}

// alive keeps a machine heard, with what it runs.
func (s *dataStage) alive(name string, tasks ...api.TaskReport) { s.report(name, 1, tasks...) }

func withInputs(use string) func(*api.Submission) {
	return func(x *api.Submission) { x.Inputs = []api.Input{{Dataset: "inv", Use: use}} }
}

// A start goes out only once the inputs are proved to be there. While it waits for bytes a
// task holds no room: others take it.
func TestNothingStartsBeforeItsInputs(t *testing.T) {
	s := newDataStage(t, features.Staged)
	a := s.up("a1")
	s.submit("run-000001", 2, withInputs(api.UseOwn))
	for range 3 {
		s.round()
	}
	if len(s.starts("run-000001/0")) != 0 || len(s.machines["a1"].allocations) != 0 {
		t.Fatal("started, or room held, without inputs")
	}
	if got := a.copies(); !slices.Equal(got, []int{0, 1}) {
		t.Fatalf("copies ordered: %v", got)
	}
	s.submit("run-000002", 2, nil)
	s.round()
	if len(s.starts("run-000002/0")) != 1 || len(s.starts("run-000002/1")) != 1 {
		t.Fatal("a task that waits for bytes keeps others out")
	}
	a.copied()
	s.round()
	s.round()
	if len(s.starts("run-000001/0")) != 0 {
		t.Fatal("started on a machine that is full")
	}
	var ended []api.TaskReport
	for k := range 2 {
		at := s.starts(taskKey("run-000002", k))[0].o.Commands[0].Attempt
		ended = append(ended, task(taskKey("run-000002", k), at, api.TaskExited, api.CauseDone))
	}
	s.alive("a1", ended...)
	s.round()
	st := s.jobs["run-000001"].allocations[0]
	if st == nil || s.jobs["run-000001"].allocations[1] == nil {
		t.Fatal("not started though its inputs are there")
	}
	// What a task runs on stays pinned, and may go when it is over.
	s.alive("a1", task("run-000001/0", st.attempt, api.TaskRunning, ""))
	s.round()
	if !a.wants(0) {
		t.Fatal("a running task's input may be evicted")
	}
	s.alive("a1", task("run-000001/0", st.attempt, api.TaskExited, api.CauseDone))
	s.round()
	if a.wants(0) {
		t.Fatal("pinned for ever")
	}
}

// Tasks go where their parts are, each to its own holder, though another machine has as
// much room.
func TestTasksGoToTheirHolders(t *testing.T) {
	s := newDataStage(t, features.Staged)
	s.up("a1", 0, 3)
	s.up("a2", 1, 2)
	s.submit("run-000001", 4, withInputs(api.UseOwn))
	s.round()
	s.round()
	for part, want := range map[string]string{"0": "a1", "3": "a1", "1": "a2", "2": "a2"} {
		if st := s.starts("run-000001/" + part); len(st) != 1 || st[0].name != want {
			t.Errorf("task %s: %+v, want %s", part, st, want)
		}
	}
}

// The leader changes while inputs are copied. The new one starts nothing on the old one's
// word, keeps what runs pinned from its first order on, and the old one's orders are void.
func TestLeaderChangesDuringStaging(t *testing.T) {
	s := newDataStage(t, features.Staged)
	a := s.up("a1", 0)
	s.submit("run-000001", 2, withInputs(api.UseOwn))
	s.round()
	s.round()
	if len(s.starts("run-000001/0")) != 1 || len(s.starts("run-000001/1")) != 0 {
		t.Fatal("want task 0 running, task 1 waiting")
	}
	st := s.starts("run-000001/0")[0].o.Commands[0]
	old, _, _ := s.datasets.planner.Order("a1")
	s.reelect()
	// The agent reports before anything else is known; nothing may be let go.
	s.tell(a)
	if !a.wants(0) {
		t.Fatal("the pin of a task that may run was lost")
	}
	s.alive("a1", task("run-000001/0", st.Attempt, api.TaskRunning, ""))
	s.round()
	if !a.wants(0) || !a.wants(1) || a.term != s.term {
		t.Fatalf("the new leader's order: %+v", a.sets)
	}
	before := a.refused
	a.apply(old)
	if a.refused != before+1 {
		t.Fatal("an old leader's order was taken")
	}
	a.copied()
	s.alive("a1", task("run-000001/0", st.Attempt, api.TaskRunning, ""))
	s.round()
	s.round()
	if len(s.starts("run-000001/1")) != 1 || len(s.starts("run-000001/0")) != 0 {
		t.Fatal("want task 1 started once, task 0 not again")
	}
}

// A job that is cancelled while its inputs are copied never starts, and its copies end.
func TestCancelledDuringStaging(t *testing.T) {
	s := newDataStage(t, features.Staged)
	a := s.up("a1")
	s.submit("run-000001", 2, withInputs(api.UseOwn))
	s.submit("run-000002", 1, withInputs(api.UseOwn))
	s.round()
	s.round()
	s.Cancel(gaveUp(), "run-000001")
	s.commit()
	s.round()
	if got := a.copies(); !slices.Equal(got, []int{0}) {
		t.Fatalf("copies: %v; the other job's must go on, this one's not", got)
	}
	a.copied()
	s.round()
	s.round()
	if len(s.starts("run-000001/0")) != 0 || len(s.starts("run-000002/0")) != 1 {
		t.Fatal("want the other job alone started")
	}
}

// The machine is taken back while inputs are copied to it: the tasks go elsewhere.
func TestMachineGoesDuringStaging(t *testing.T) {
	s := newDataStage(t, features.Staged)
	s.up("a1")
	s.submit("run-000001", 1, withInputs(api.UseOwn))
	s.round()
	b := s.up("a2")
	s.InstancesReleased([]string{"a1"}, nil)
	delete(s.agents, "a1")
	s.round()
	s.round()
	b.copied()
	s.alive("a2")
	s.round()
	s.round()
	if st := s.starts("run-000001/0"); len(st) != 1 || st[0].name != "a2" {
		t.Fatalf("%+v", st)
	}
}

// A cache that stays full, or an agent that falls silent, does not keep a task for ever.
func TestStuckInputsMoveOn(t *testing.T) {
	for _, kind := range []string{"full", "silent"} {
		s := newDataStage(t, features.Staged)
		a := s.up("a1")
		s.submit("run-000001", 1, withInputs(api.UseOwn))
		s.round()
		b := s.up("a2")
		a.full = kind == "full"
		if kind == "silent" {
			delete(s.agents, "a1")
		}
		for range int(2 * tuning.StageMove / (300 * time.Millisecond)) {
			s.alive("a1")
			s.alive("a2")
			s.round()
			b.copied()
		}
		if st := s.starts("run-000001/0"); len(st) != 1 || st[0].name != "a2" {
			t.Errorf("%s: %+v", kind, st)
		}
	}
}

// Services and gangs hold no room and stop nobody while their inputs are copied, and a
// gang starts whole.
func TestServicesAndGangsWaitForTheirInputs(t *testing.T) {
	for _, shape := range []string{api.Service, api.Gang} {
		s := newDataStage(t, features.Staged)
		a := s.up("a1")
		var low []api.TaskReport
		if shape == api.Service {
			s.submit("run-000009", 2, func(x *api.Submission) { x.Rank = "low" })
			s.round()
			for k := range 2 {
				low = append(low, task(taskKey("run-000009", k), s.jobs["run-000009"].allocations[k].attempt, api.TaskRunning, ""))
			}
		}
		s.submit("run-000001", 2, func(x *api.Submission) {
			withInputs(api.UseAll)(x)
			x.Shape, x.Rank = shape, "prod"
			if shape == api.Service {
				x.EstimateS = 0
			}
		})
		for i := range 8 {
			s.alive("a1", low...)
			s.round()
			if len(s.starts("run-000001/0")) != 0 {
				t.Fatalf("%s: started without its inputs", shape)
			}
			for _, x := range s.machines["a1"].allocations {
				if x.job.id == "run-000001" || x.stopping {
					t.Fatalf("%s: %s holds room, or others are stopped, for bytes", shape, x.key)
				}
			}
			if i < 3 {
				a.copied() // two parts a round, of eight
			}
		}
		for range 8 {
			a.copied()
			s.alive("a1", low...)
			s.round()
		}
		placed := 0
		for _, x := range s.machines["a1"].allocations {
			if x.job.id == "run-000001" {
				placed++
			}
		}
		if placed != 2 {
			t.Errorf("%s: %d placed once the inputs were there", shape, placed)
		}
	}
}

// A job that was accepted with inputs must not start without them on a controller that
// has the feature off, or does not know the dataset.
func TestOffNothingWithInputsStarts(t *testing.T) {
	s := newDataStage(t, features.Staged)
	s.up("a1", 0)
	s.submit("run-000001", 1, withInputs(api.UseOwn))
	s.elect()
	for range 3 {
		s.report("a1", 1)
		s.Place()
		s.commit()
	}
	if len(s.starts("run-000001/0")) != 0 {
		t.Fatal("started without inputs")
	}
	var rec store.JobRecord
	if raw, err := json.Marshal(s.jobs["run-000001"].JobRecord); err != nil || json.Unmarshal(raw, &rec) != nil || len(rec.Job.Inputs) != 1 {
		t.Fatal("the record lost the inputs")
	}
}

// Blind placement, for comparison, copies from the store alone; none starts early.
func TestPlacementsForComparison(t *testing.T) {
	for _, place := range []string{features.Blind, features.Images, features.Local} {
		s := newDataStage(t, place)
		a := s.up("a1", 0, 1)
		b := s.up("a2")
		s.submit("run-000001", 4, withInputs(api.UseOwn))
		for range 12 {
			s.alive("a1")
			s.alive("a2")
			s.round()
			for _, p := range []*played{a, b} {
				for _, x := range p.sets {
					for _, c := range x.Copies {
						if place != features.Local && !c.From[0].Store {
							t.Fatalf("%s: copied from %v", place, c.From)
						}
					}
				}
				p.copied()
			}
		}
		for k := range 4 {
			if len(s.starts(taskKey("run-000001", k))) != 1 {
				t.Errorf("%s: task %d not started", place, k)
			}
		}
	}
}

// A new leader that has heard only one agent yet gives tasks to the machines that hold
// their inputs, as the last leader knew them; but nothing starts there on that word.
func TestHoldingsOutliveTheLeader(t *testing.T) {
	s := newDataStage(t, features.Staged)
	s.up("a1")
	s.up("a2", 0, 1)
	s.storeReplicaHints(s.clock.Now().Add(tuning.HoldsEvery))
	s.commit()
	it := s.state.Get(store.ReplicasKey(0))
	if it == nil {
		t.Fatal("not on record")
	}
	s.reelect()
	s.LoadReplicaHints([]store.Item{{Key: store.ReplicasKey(0), Value: it}})
	s.alive("a1")
	s.alive("a2")
	s.tell(s.agents["a1"])
	s.submit("run-000001", 2, withInputs(api.UseOwn))
	s.Place()
	s.commit()
	if n := len(s.machines["a2"].queues); n != 1 || len(s.machines["a1"].queues) != 0 {
		t.Fatalf("queued on a2: %d, on a1: %d", n, len(s.machines["a1"].queues))
	}
	if len(s.starts("run-000001/0")) != 0 {
		t.Fatal("started on a hint")
	}
	s.round()
	s.round()
	if st := s.starts("run-000001/0"); len(st) != 1 || st[0].name != "a2" {
		t.Fatalf("%+v", st)
	}
}

// A task that waits for its copy goes to a holder that became free meanwhile, instead of
// waiting on: found in the experiment, where tasks waited 10 s for a copy of what idle
// machines held.
func TestFreedHoldersTakeTasksThatWaitForBytes(t *testing.T) {
	s := newDataStage(t, features.Staged)
	s.up("a1", 0, 1)
	s.submit("run-000002", 2, nil)
	s.round()
	busy := []api.TaskReport{}
	for k := range 2 {
		busy = append(busy, task(taskKey("run-000002", k), s.jobs["run-000002"].allocations[k].attempt, api.TaskRunning, ""))
	}
	s.alive("a1", busy...)
	s.up("a2")
	s.submit("run-000001", 1, withInputs(api.UseOwn))
	s.round()
	if len(s.machines["a2"].queues) != 1 {
		t.Fatal("want it to wait for a copy on the idle machine")
	}
	for i := range busy {
		busy[i].State, busy[i].Cause = api.TaskExited, api.CauseDone
	}
	s.alive("a1", busy...)
	s.alive("a2")
	for range 3 {
		s.round()
	}
	if alloc := s.jobs["run-000001"].allocations[0]; alloc == nil || alloc.machine.Name != "a1" {
		t.Fatalf("not taken by the holder: %+v", alloc)
	}
}
