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

var inventory = &dataset.Summary{Name: "inv", Bytes: 8e9, Parts: 8, Usual: 1e9}

// dataHarness is a leader with datasets on; the test plays the agents as well.
type dataHarness struct {
	*harness
	place  string
	agents map[string]*fakeAgent
}

func newDataHarness(t *testing.T, place string) *dataHarness {
	h := &dataHarness{harness: newHarness(t), place: place, agents: map[string]*fakeAgent{}}
	h.enable()
	return h
}

// enable switches datasets on in the present term.
func (h *dataHarness) enable() {
	h.UseData(features.Data{On: true, Placement: h.place, CacheGB: 50, LinkMBs: 125, StoreMBs: 1000, PerLink: 2, AtStore: 8, Ahead: 4})
	h.sendStageOrder = func(name string, o api.StageOrder) {
		if agent := h.agents[name]; agent != nil {
			agent.apply(o)
		}
	}
	h.AddDatasets(&dataset.Entry{Summary: *inventory})
}

// reelect begins a new term, with agents and machines as they are.
func (h *dataHarness) reelect() {
	h.elect()
	h.enable()
}

// addAgent brings up a machine and its agent, which holds some parts.
func (h *dataHarness) addAgent(name string, parts ...uint32) *fakeAgent {
	h.heartbeat(name, 1)
	agent := &fakeAgent{name: name, held: roaring.BitmapOf(parts...)}
	h.agents[name] = agent
	h.agentHeartbeat(agent)
	return agent
}

func (h *dataHarness) agentHeartbeat(agent *fakeAgent) {
	h.Helper()
	agent.seq++
	if o, _, refused := h.HandleStageHeartbeat(agent.stageReport()); !refused {
		agent.apply(o)
	}
}

// round lets everybody report, and places.
func (h *dataHarness) round() {
	h.clock.Advance(300 * time.Millisecond)
	for _, name := range []string{"a1", "a2", "b1"} {
		if agent := h.agents[name]; agent != nil {
			h.agentHeartbeat(agent)
		}
	}
	h.Place()
	h.commit()
	h.answerCommands()
}

// workerHeartbeat keeps a machine heard, with what it runs.
func (h *dataHarness) workerHeartbeat(name string, tasks ...api.TaskReport) {
	h.heartbeat(name, 1, tasks...)
}

// fakeAgent is an agent: it refuses old orders, and copies what it is ordered to when the
// test lets it.
type fakeAgent struct {
	name        string
	seq         uint64
	term, order uint64
	sets        []api.StageSet
	held        *roaring.Bitmap
	full        bool
	refused     int
	// version is that of what it holds, known the one that it was told is known.
	version, known uint64
	drop           []string
}

func (a *fakeAgent) apply(o api.StageOrder) {
	if o.Term < a.term || o.Term == a.term && o.Order < a.order {
		a.refused++
		return
	}
	a.term, a.order, a.sets, a.known, a.drop = o.Term, o.Order, o.Sets, o.Known, o.Drop
}

func (a *fakeAgent) wants(part uint32) bool {
	return slices.ContainsFunc(a.sets, func(x api.StageSet) bool { return x.Parts.Contains(part) })
}

func (a *fakeAgent) copies() (out []int) {
	for _, x := range a.sets {
		for _, c := range x.Copies {
			out = append(out, c.Part)
		}
	}
	return out
}

// finishCopies lets the agent finish what it is to copy.
func (a *fakeAgent) finishCopies() {
	for _, k := range a.copies() {
		a.held.Add(uint32(k))
	}
}

// stageReport is what the agent says now.
func (a *fakeAgent) stageReport() *api.StageHeartbeat {
	r := &api.StageHeartbeat{Machine: a.name, Address: a.name + ":2", Incarnation: 1, Seq: a.seq, Term: a.term, Order: a.order, Quota: 50e9, All: true, Version: a.version,
		Holds: []api.StageHeld{{Dataset: "inv", Manifest: inventory.Manifest.String(), Of: inventory.Parts, Parts: api.PartSet{Bitmap: a.held.Clone()}}}}
	for _, x := range a.sets {
		r.Pinned = append(r.Pinned, api.StageHeld{Dataset: x.Dataset, Manifest: x.Manifest, Parts: api.PartSet{Bitmap: roaring.And(a.held, x.Parts.Bitmap)}})
		for _, c := range x.Copies {
			r.Copies = append(r.Copies, api.StageProgress{Dataset: x.Dataset, Part: c.Part, Of: 1e9, From: c.From[0], Full: a.full})
		}
	}
	return r
}

func withInputs(use string) func(*api.Submission) {
	return func(x *api.Submission) { x.Inputs = []api.Input{{Dataset: "inv", Use: use}} }
}

// A start goes out only once the inputs are proved to be there. While it waits for bytes a
// task holds no room: others take it.
func TestNothingStartsBeforeItsInputs(t *testing.T) {
	h := newDataHarness(t, features.Staged)
	agent := h.addAgent("a1")
	h.submit("run-000001", 2, withInputs(api.UseOwn))
	for range 3 {
		h.round()
	}
	if len(h.starts("run-000001/0")) != 0 || len(h.machines["a1"].allocations) != 0 {
		t.Fatal("started, or room held, without inputs")
	}
	if got := agent.copies(); !slices.Equal(got, []int{0, 1}) {
		t.Fatalf("copies ordered: %v", got)
	}
	h.submit("run-000002", 2, nil)
	h.round()
	if len(h.starts("run-000002/0")) != 1 || len(h.starts("run-000002/1")) != 1 {
		t.Fatal("a task that waits for bytes keeps others out")
	}
	agent.finishCopies()
	h.round()
	h.round()
	if len(h.starts("run-000001/0")) != 0 {
		t.Fatal("started on a machine that is full")
	}
	var ended []api.TaskReport
	for k := range 2 {
		at := h.starts(taskKey("run-000002", k))[0].response.Commands[0].Attempt
		ended = append(ended, taskReport(taskKey("run-000002", k), at, api.TaskExited, api.CauseDone))
	}
	h.workerHeartbeat("a1", ended...)
	h.round()
	starts := h.jobs["run-000001"].allocations[0]
	if starts == nil || h.jobs["run-000001"].allocations[1] == nil {
		t.Fatal("not started though its inputs are there")
	}
	// What a task runs on stays pinned, and may go when it is over.
	h.workerHeartbeat("a1", taskReport("run-000001/0", starts.attempt, api.TaskRunning, ""))
	h.round()
	if !agent.wants(0) {
		t.Fatal("a running task's input may be evicted")
	}
	h.workerHeartbeat("a1", taskReport("run-000001/0", starts.attempt, api.TaskExited, api.CauseDone))
	h.round()
	if agent.wants(0) {
		t.Fatal("pinned for ever")
	}
}

// Tasks go where their parts are, each to its own holder, though another machine has as
// much room.
func TestTasksGoToTheirHolders(t *testing.T) {
	h := newDataHarness(t, features.Staged)
	h.addAgent("a1", 0, 3)
	h.addAgent("a2", 1, 2)
	h.submit("run-000001", 4, withInputs(api.UseOwn))
	h.round()
	h.round()
	for part, want := range map[string]string{"0": "a1", "3": "a1", "1": "a2", "2": "a2"} {
		if starts := h.starts("run-000001/" + part); len(starts) != 1 || starts[0].machine != want {
			t.Errorf("task %s: %+v, want %s", part, starts, want)
		}
	}
}

// The leader changes while inputs are copied. The new one starts nothing on the old one's
// word, keeps what runs pinned from its first order on, and the old one's orders are void.
func TestLeaderChangesDuringStaging(t *testing.T) {
	h := newDataHarness(t, features.Staged)
	agent := h.addAgent("a1", 0)
	h.submit("run-000001", 2, withInputs(api.UseOwn))
	h.round()
	h.round()
	if len(h.starts("run-000001/0")) != 1 || len(h.starts("run-000001/1")) != 0 {
		t.Fatal("want task 0 running, task 1 waiting")
	}
	starts := h.starts("run-000001/0")[0].response.Commands[0]
	old, _, _ := h.datasets.planner.Order("a1")
	h.reelect()
	// The agent reports before anything else is known; nothing may be let go.
	h.agentHeartbeat(agent)
	if !agent.wants(0) {
		t.Fatal("the pin of a task that may run was lost")
	}
	h.workerHeartbeat("a1", taskReport("run-000001/0", starts.Attempt, api.TaskRunning, ""))
	h.round()
	if !agent.wants(0) || !agent.wants(1) || agent.term != h.term {
		t.Fatalf("the new leader's order: %+v", agent.sets)
	}
	before := agent.refused
	agent.apply(old)
	if agent.refused != before+1 {
		t.Fatal("an old leader's order was taken")
	}
	agent.finishCopies()
	h.workerHeartbeat("a1", taskReport("run-000001/0", starts.Attempt, api.TaskRunning, ""))
	h.round()
	h.round()
	if len(h.starts("run-000001/1")) != 1 || len(h.starts("run-000001/0")) != 0 {
		t.Fatal("want task 1 started once, task 0 not again")
	}
}

// A job that is cancelled while its inputs are copied never starts, and its copies end.
func TestCancelledDuringStaging(t *testing.T) {
	h := newDataHarness(t, features.Staged)
	agent := h.addAgent("a1")
	h.submit("run-000001", 2, withInputs(api.UseOwn))
	h.submit("run-000002", 1, withInputs(api.UseOwn))
	h.round()
	h.round()
	h.Cancel(cancelledContext(), "run-000001")
	h.commit()
	h.round()
	if got := agent.copies(); !slices.Equal(got, []int{0}) {
		t.Fatalf("copies: %v; the other job's must go on, this one's not", got)
	}
	agent.finishCopies()
	h.round()
	h.round()
	if len(h.starts("run-000001/0")) != 0 || len(h.starts("run-000002/0")) != 1 {
		t.Fatal("want the other job alone started")
	}
}

// The machine is taken back while inputs are copied to it: the tasks go elsewhere.
func TestMachineGoesDuringStaging(t *testing.T) {
	h := newDataHarness(t, features.Staged)
	h.addAgent("a1")
	h.submit("run-000001", 1, withInputs(api.UseOwn))
	h.round()
	b := h.addAgent("a2")
	h.InstancesReleased([]string{"a1"}, nil)
	delete(h.agents, "a1")
	h.round()
	h.round()
	b.finishCopies()
	h.workerHeartbeat("a2")
	h.round()
	h.round()
	if starts := h.starts("run-000001/0"); len(starts) != 1 || starts[0].machine != "a2" {
		t.Fatalf("%+v", starts)
	}
}

// A cache that stays full, or an agent that falls silent, does not keep a task for ever.
func TestStuckInputsMoveOn(t *testing.T) {
	for _, kind := range []string{"full", "silent"} {
		h := newDataHarness(t, features.Staged)
		agent := h.addAgent("a1")
		h.submit("run-000001", 1, withInputs(api.UseOwn))
		h.round()
		b := h.addAgent("a2")
		agent.full = kind == "full"
		if kind == "silent" {
			delete(h.agents, "a1")
		}
		for range int(2 * tuning.StageMove / (300 * time.Millisecond)) {
			h.workerHeartbeat("a1")
			h.workerHeartbeat("a2")
			h.round()
			b.finishCopies()
		}
		if starts := h.starts("run-000001/0"); len(starts) != 1 || starts[0].machine != "a2" {
			t.Errorf("%s: %+v", kind, starts)
		}
	}
}

// Services and gangs hold no room and stop nobody while their inputs are copied, and a
// gang starts whole.
func TestServicesAndGangsWaitForTheirInputs(t *testing.T) {
	for _, shape := range []string{api.Service, api.Gang} {
		h := newDataHarness(t, features.Staged)
		agent := h.addAgent("a1")
		var low []api.TaskReport
		if shape == api.Service {
			h.submit("run-000009", 2, func(x *api.Submission) { x.Rank = "low" })
			h.round()
			for k := range 2 {
				low = append(low, taskReport(taskKey("run-000009", k), h.jobs["run-000009"].allocations[k].attempt, api.TaskRunning, ""))
			}
		}
		h.submit("run-000001", 2, func(x *api.Submission) {
			withInputs(api.UseAll)(x)
			x.Shape, x.Rank = shape, "prod"
			if shape == api.Service {
				x.EstimateS = 0
			}
		})
		for i := range 8 {
			h.workerHeartbeat("a1", low...)
			h.round()
			if len(h.starts("run-000001/0")) != 0 {
				t.Fatalf("%s: started without its inputs", shape)
			}
			for _, x := range h.machines["a1"].allocations {
				if x.job.id == "run-000001" || x.stopping {
					t.Fatalf("%s: %s holds room, or others are stopped, for bytes", shape, x.key)
				}
			}
			if i < 3 {
				agent.finishCopies() // two parts a round, of eight
			}
		}
		for range 8 {
			agent.finishCopies()
			h.workerHeartbeat("a1", low...)
			h.round()
		}
		placed := 0
		for _, x := range h.machines["a1"].allocations {
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
	h := newDataHarness(t, features.Staged)
	h.addAgent("a1", 0)
	h.submit("run-000001", 1, withInputs(api.UseOwn))
	h.elect()
	for range 3 {
		h.heartbeat("a1", 1)
		h.Place()
		h.commit()
	}
	if len(h.starts("run-000001/0")) != 0 {
		t.Fatal("started without inputs")
	}
	var rec store.JobRecord
	if raw, err := json.Marshal(h.jobs["run-000001"].JobRecord); err != nil || json.Unmarshal(raw, &rec) != nil || len(rec.Job.Inputs) != 1 {
		t.Fatal("the record lost the inputs")
	}
}

// Blind placement, for comparison, copies from the store alone; none starts early.
func TestPlacementsForComparison(t *testing.T) {
	for _, place := range []string{features.Blind, features.Images, features.Local} {
		h := newDataHarness(t, place)
		a := h.addAgent("a1", 0, 1)
		b := h.addAgent("a2")
		h.submit("run-000001", 4, withInputs(api.UseOwn))
		for range 12 {
			h.workerHeartbeat("a1")
			h.workerHeartbeat("a2")
			h.round()
			for _, agent := range []*fakeAgent{a, b} {
				for _, x := range agent.sets {
					for _, c := range x.Copies {
						if place != features.Local && !c.From[0].Store {
							t.Fatalf("%s: copied from %v", place, c.From)
						}
					}
				}
				agent.finishCopies()
			}
		}
		for k := range 4 {
			if len(h.starts(taskKey("run-000001", k))) != 1 {
				t.Errorf("%s: task %d not started", place, k)
			}
		}
	}
}

// A new leader that has heard only one agent yet gives tasks to the machines that hold
// their inputs, as the last leader knew them; but nothing starts there on that word.
func TestReplicaHintsOutliveTheLeader(t *testing.T) {
	h := newDataHarness(t, features.Staged)
	h.addAgent("a1")
	h.addAgent("a2", 0, 1)
	h.storeReplicaHints(h.clock.Now().Add(tuning.ReplicaHintsEvery))
	h.commit()
	it := h.state.Get(store.ReplicasKey(0))
	if it == nil {
		t.Fatal("not on record")
	}
	h.reelect()
	h.LoadReplicaHints([]store.Item{{Key: store.ReplicasKey(0), Value: it}})
	h.workerHeartbeat("a1")
	h.workerHeartbeat("a2")
	h.agentHeartbeat(h.agents["a1"])
	h.submit("run-000001", 2, withInputs(api.UseOwn))
	h.Place()
	h.commit()
	if n := len(h.machines["a2"].queues); n != 1 || len(h.machines["a1"].queues) != 0 {
		t.Fatalf("queued on a2: %d, on a1: %d", n, len(h.machines["a1"].queues))
	}
	if len(h.starts("run-000001/0")) != 0 {
		t.Fatal("started on a hint")
	}
	h.round()
	h.round()
	if starts := h.starts("run-000001/0"); len(starts) != 1 || starts[0].machine != "a2" {
		t.Fatalf("%+v", starts)
	}
}

// A task that waits for its copy goes to a holder that became free meanwhile, instead of
// waiting on: found in the experiment, where tasks waited 10 s for a copy of what idle
// machines held.
func TestFreedHoldersTakeTasksThatWaitForBytes(t *testing.T) {
	h := newDataHarness(t, features.Staged)
	h.addAgent("a1", 0, 1)
	h.submit("run-000002", 2, nil)
	h.round()
	busy := []api.TaskReport{}
	for k := range 2 {
		busy = append(busy, taskReport(taskKey("run-000002", k), h.jobs["run-000002"].allocations[k].attempt, api.TaskRunning, ""))
	}
	h.workerHeartbeat("a1", busy...)
	h.addAgent("a2")
	h.submit("run-000001", 1, withInputs(api.UseOwn))
	h.round()
	if len(h.machines["a2"].queues) != 1 {
		t.Fatal("want it to wait for a copy on the idle machine")
	}
	for i := range busy {
		busy[i].State, busy[i].Cause = api.TaskExited, api.CauseDone
	}
	h.workerHeartbeat("a1", busy...)
	h.workerHeartbeat("a2")
	for range 3 {
		h.round()
	}
	if alloc := h.jobs["run-000001"].allocations[0]; alloc == nil || alloc.machine.Name != "a1" {
		t.Fatalf("not taken by the holder: %+v", alloc)
	}
}

// A setting that a later revision leaves out is as the files have it again.
func TestAheadTasksOfAConfigurationCount(t *testing.T) {
	h := newDataHarness(t, features.Staged)
	for _, ahead := range []int{9, 5} {
		active := configured(t, "")
		active.AheadTasks = &ahead
		h.ApplyConfiguration(active)
		if h.datasets.settings.Ahead != ahead {
			t.Errorf("ahead %d with %d configured", h.datasets.settings.Ahead, ahead)
		}
	}
}
