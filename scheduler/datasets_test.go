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

var inventory = &dataset.Summary{Name: "inv", Bytes: 8e9, PartCount: 8, CommonPartBytes: 1e9}

// dataHarness is a leader with datasets on and simulated data agents.
type dataHarness struct {
	*harness
	placement string
	agents    map[string]*fakeAgent
}

func newDataHarness(t *testing.T, placement string) *dataHarness {
	h := &dataHarness{harness: newHarness(t), placement: placement, agents: map[string]*fakeAgent{}}
	h.enable()
	return h
}

// enable turns datasets on in the current term.
func (h *dataHarness) enable() {
	h.UseData(features.Data{On: true, Placement: h.placement, CacheGB: 50, LinkMBs: 125, StoreMBs: 1000, CopiesPerLink: 2, CopiesAtStore: 8, AheadTasks: 4})
	h.sendStageOrder = func(name string, o api.StageOrder) {
		if agent := h.agents[name]; agent != nil {
			agent.apply(o)
		}
	}
	h.AddDatasets(&dataset.Entry{Summary: *inventory})
}

// reelect starts a new term and keeps the agents and machines.
func (h *dataHarness) reelect() {
	h.elect()
	h.enable()
}

// addAgent adds a machine and its agent, which holds the given parts.
func (h *dataHarness) addAgent(name string, parts ...uint32) *fakeAgent {
	h.heartbeat(name, 1)
	agent := &fakeAgent{name: name, heldParts: roaring.BitmapOf(parts...)}
	h.agents[name] = agent
	h.agentHeartbeat(agent)
	return agent
}

func (h *dataHarness) agentHeartbeat(agent *fakeAgent) {
	h.Helper()
	agent.seq++
	if order, _, refused := h.HandleStageHeartbeat(agent.heartbeat()); !refused {
		agent.apply(order)
	}
}

// round sends the heartbeats of all agents, runs a placement round, commits, and answers the commands.
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

// workerHeartbeat sends the heartbeat of a machine's worker with the tasks that it runs.
func (h *dataHarness) workerHeartbeat(name string, tasks ...api.TaskReport) {
	h.heartbeat(name, 1, tasks...)
}

// fakeAgent simulates a data agent. It refuses stale orders, and completes the ordered copies when the test calls
// finishCopies.
type fakeAgent struct {
	name                string
	seq                 uint64
	term, orderSequence uint64
	sets                []api.StageSet
	heldParts           *roaring.Bitmap
	cacheFull           bool
	refusedOrders       int
	// version is the version of the agent's holdings.
	version uint64
	// knownVersion is the version that the leader knows according to its last order.
	knownVersion      uint64
	manifestsToDelete []string
}

func (a *fakeAgent) apply(order api.StageOrder) {
	if order.Term < a.term || order.Term == a.term && order.Sequence < a.orderSequence {
		a.refusedOrders++
		return
	}
	a.term, a.orderSequence, a.sets, a.knownVersion, a.manifestsToDelete = order.Term, order.Sequence, order.Sets, order.KnownVersion, order.DropManifests
}

func (a *fakeAgent) mustKeep(part uint32) bool {
	return slices.ContainsFunc(a.sets, func(x api.StageSet) bool { return x.Parts.Contains(part) })
}

func (a *fakeAgent) orderedCopies() (out []int) {
	for _, x := range a.sets {
		for _, c := range x.Copies {
			out = append(out, c.Part)
		}
	}
	return out
}

// finishCopies completes all copies that the agent was ordered to make.
func (a *fakeAgent) finishCopies() {
	for _, k := range a.orderedCopies() {
		a.heldParts.Add(uint32(k))
	}
}

// heartbeat returns the agent's current heartbeat.
func (a *fakeAgent) heartbeat() *api.StageHeartbeat {
	heartbeat := &api.StageHeartbeat{Machine: a.name, Address: a.name + ":2", Incarnation: 1, Seq: a.seq, Term: a.term, Sequence: a.orderSequence, Quota: 50e9, HoldingsComplete: true, Version: a.version,
		Holdings: []api.StageHolding{{Dataset: "inv", Manifest: inventory.ManifestDigest.String(), PartCount: inventory.PartCount, Parts: api.PartSet{Bitmap: a.heldParts.Clone()}}}}
	for _, x := range a.sets {
		heartbeat.Pinned = append(heartbeat.Pinned, api.StageHolding{Dataset: x.Dataset, Manifest: x.Manifest, Parts: api.PartSet{Bitmap: roaring.And(a.heldParts, x.Parts.Bitmap)}})
		for _, c := range x.Copies {
			heartbeat.Copies = append(heartbeat.Copies, api.StageProgress{Dataset: x.Dataset, Part: c.Part, TotalBytes: 1e9, Source: c.Sources[0], CacheFull: a.cacheFull})
		}
	}
	return heartbeat
}

func withInputs(use string) func(*api.Submission) {
	return func(x *api.Submission) { x.Inputs = []api.Input{{Dataset: "inv", Use: use}} }
}

// Checks that a task is started only once its inputs are confirmed on its machine, and that it is allocated no resources
// while it waits for them, so that other tasks can use these. The inputs stay pinned while the task runs.
func TestTasksStartOnlyOnceInputsAreStaged(t *testing.T) {
	h := newDataHarness(t, features.PlacementStaged)
	agent := h.addAgent("a1")
	h.submit("run-000001", 2, withInputs(api.UseOwnPart))
	for range 3 {
		h.round()
	}
	if len(h.starts("run-000001/0")) != 0 || len(h.machines["a1"].allocations) != 0 {
		t.Fatal("a task was started or allocated resources without its inputs")
	}
	if got := agent.orderedCopies(); !slices.Equal(got, []int{0, 1}) {
		t.Fatalf("copies ordered: %v", got)
	}
	h.submit("run-000002", 2, nil)
	h.round()
	if len(h.starts("run-000002/0")) != 1 || len(h.starts("run-000002/1")) != 1 {
		t.Fatal("a task that waits for its inputs prevents other tasks from starting")
	}
	agent.finishCopies()
	h.round()
	h.round()
	if len(h.starts("run-000001/0")) != 0 {
		t.Fatal("a task was started on a machine without free resources")
	}
	var ended []api.TaskReport
	for k := range 2 {
		at := h.starts(taskKey("run-000002", k))[0].response.Commands[0].Attempt
		ended = append(ended, taskReport(taskKey("run-000002", k), at, api.TaskExited, api.CauseDone))
	}
	h.workerHeartbeat("a1", ended...)
	h.round()
	firstAllocation := h.jobs["run-000001"].allocations[0]
	if firstAllocation == nil || h.jobs["run-000001"].allocations[1] == nil {
		t.Fatal("a task did not start although its inputs are staged")
	}
	// The inputs of a running task stay pinned, and may be evicted after it exits.
	h.workerHeartbeat("a1", taskReport("run-000001/0", firstAllocation.attempt, api.TaskRunning, ""))
	h.round()
	if !agent.mustKeep(0) {
		t.Fatal("a running task's input may be evicted")
	}
	h.workerHeartbeat("a1", taskReport("run-000001/0", firstAllocation.attempt, api.TaskExited, api.CauseDone))
	h.round()
	if agent.mustKeep(0) {
		t.Fatal("the input of an exited task is still pinned")
	}
}

// Checks that each task is placed on the machine that holds its part, although another machine has as many free
// resources.
func TestTasksArePlacedOnHoldersOfTheirInputs(t *testing.T) {
	h := newDataHarness(t, features.PlacementStaged)
	h.addAgent("a1", 0, 3)
	h.addAgent("a2", 1, 2)
	h.submit("run-000001", 4, withInputs(api.UseOwnPart))
	h.round()
	h.round()
	for part, want := range map[string]string{"0": "a1", "3": "a1", "1": "a2", "2": "a2"} {
		if starts := h.starts("run-000001/" + part); len(starts) != 1 || starts[0].machine != want {
			t.Errorf("starts of task %s: %+v, want one on %s", part, starts, want)
		}
	}
}

// Checks a failover while inputs are being copied. The new leader must not start tasks on the basis of the old leader's
// state, must keep the inputs of running tasks pinned from its first order on, and orders of the old leader must be
// refused.
func TestLeaderChangesDuringStaging(t *testing.T) {
	h := newDataHarness(t, features.PlacementStaged)
	agent := h.addAgent("a1", 0)
	h.submit("run-000001", 2, withInputs(api.UseOwnPart))
	h.round()
	h.round()
	if len(h.starts("run-000001/0")) != 1 || len(h.starts("run-000001/1")) != 0 {
		t.Fatal("want task 0 started and task 1 waiting")
	}
	startCommand := h.starts("run-000001/0")[0].response.Commands[0]
	old, _, _ := h.datasets.planner.Order("a1")
	h.reelect()
	// The agent sends a heartbeat before the new leader knows which tasks run; nothing may be evicted.
	h.agentHeartbeat(agent)
	if !agent.mustKeep(0) {
		t.Fatal("the input of a task that may be running was unpinned")
	}
	h.workerHeartbeat("a1", taskReport("run-000001/0", startCommand.Attempt, api.TaskRunning, ""))
	h.round()
	if !agent.mustKeep(0) || !agent.mustKeep(1) || agent.term != h.term {
		t.Fatalf("the new leader's order: %+v", agent.sets)
	}
	before := agent.refusedOrders
	agent.apply(old)
	if agent.refusedOrders != before+1 {
		t.Fatal("the agent accepted an order of the old leader")
	}
	agent.finishCopies()
	h.workerHeartbeat("a1", taskReport("run-000001/0", startCommand.Attempt, api.TaskRunning, ""))
	h.round()
	h.round()
	if len(h.starts("run-000001/1")) != 1 || len(h.starts("run-000001/0")) != 0 {
		t.Fatal("want task 1 started once and task 0 not started again")
	}
}

// Checks that a job that is cancelled while its inputs are being copied never starts, and that its copies are stopped.
func TestJobCancelledDuringStaging(t *testing.T) {
	h := newDataHarness(t, features.PlacementStaged)
	agent := h.addAgent("a1")
	h.submit("run-000001", 2, withInputs(api.UseOwnPart))
	h.submit("run-000002", 1, withInputs(api.UseOwnPart))
	h.round()
	h.round()
	h.Cancel(cancelledContext(), "run-000001")
	h.commit()
	h.round()
	if got := agent.orderedCopies(); !slices.Equal(got, []int{0}) {
		t.Fatalf("copies ordered: %v, want only that of the job that was not cancelled", got)
	}
	agent.finishCopies()
	h.round()
	h.round()
	if len(h.starts("run-000001/0")) != 0 || len(h.starts("run-000002/0")) != 1 {
		t.Fatal("want only the job that was not cancelled started")
	}
}

// Checks that tasks are placed on another machine if theirs is released while inputs are being copied to it.
func TestMachineReleasedDuringStaging(t *testing.T) {
	h := newDataHarness(t, features.PlacementStaged)
	h.addAgent("a1")
	h.submit("run-000001", 1, withInputs(api.UseOwnPart))
	h.round()
	other := h.addAgent("a2")
	h.InstancesReleased([]string{"a1"}, nil)
	delete(h.agents, "a1")
	h.round()
	h.round()
	other.finishCopies()
	h.workerHeartbeat("a2")
	h.round()
	h.round()
	if starts := h.starts("run-000001/0"); len(starts) != 1 || starts[0].machine != "a2" {
		t.Fatalf("starts of the task: %+v, want one on a2", starts)
	}
}

// Checks that a task is requeued from a machine whose cache stays full or whose agent is silent, and starts on another.
func TestStuckStagingRequeuesTask(t *testing.T) {
	for _, kind := range []string{"full", "silent"} {
		h := newDataHarness(t, features.PlacementStaged)
		agent := h.addAgent("a1")
		h.submit("run-000001", 1, withInputs(api.UseOwnPart))
		h.round()
		other := h.addAgent("a2")
		agent.cacheFull = kind == "full"
		if kind == "silent" {
			delete(h.agents, "a1")
		}
		for range int(2 * tuning.StageMoveDelay / (300 * time.Millisecond)) {
			h.workerHeartbeat("a1")
			h.workerHeartbeat("a2")
			h.round()
			other.finishCopies()
		}
		if starts := h.starts("run-000001/0"); len(starts) != 1 || starts[0].machine != "a2" {
			t.Errorf("agent or cache %s: starts of the task: %+v, want one on a2", kind, starts)
		}
	}
}

// Checks that services and gangs are allocated no resources and preempt nothing while their inputs are being copied, and
// that a gang starts as a whole.
func TestServicesAndGangsWaitForInputs(t *testing.T) {
	for _, shape := range []string{api.Service, api.Gang} {
		h := newDataHarness(t, features.PlacementStaged)
		agent := h.addAgent("a1")
		var lowRankTasks []api.TaskReport
		if shape == api.Service {
			h.submit("run-000009", 2, func(x *api.Submission) { x.Rank = "low" })
			h.round()
			for k := range 2 {
				lowRankTasks = append(lowRankTasks, taskReport(taskKey("run-000009", k), h.jobs["run-000009"].allocations[k].attempt, api.TaskRunning, ""))
			}
		}
		h.submit("run-000001", 2, func(x *api.Submission) {
			withInputs(api.UseAllParts)(x)
			x.Shape, x.Rank = shape, "prod"
			if shape == api.Service {
				x.EstimateS = 0
			}
		})
		for i := range 8 {
			h.workerHeartbeat("a1", lowRankTasks...)
			h.round()
			if len(h.starts("run-000001/0")) != 0 {
				t.Fatalf("%s: task started without its inputs", shape)
			}
			for _, x := range h.machines["a1"].allocations {
				if x.job.id == "run-000001" || x.stopping {
					t.Fatalf("%s: %s is allocated or being stopped while inputs are still being copied", shape, x.key)
				}
			}
			if i < 3 {
				agent.finishCopies() // two of the eight parts per round
			}
		}
		for range 8 {
			agent.finishCopies()
			h.workerHeartbeat("a1", lowRankTasks...)
			h.round()
		}
		placed := 0
		for _, x := range h.machines["a1"].allocations {
			if x.job.id == "run-000001" {
				placed++
			}
		}
		if placed != 2 {
			t.Errorf("%s: %d of 2 tasks placed after the inputs were staged", shape, placed)
		}
	}
}

// Checks that a job that was accepted with inputs does not start without them on a controller that has datasets off or
// does not know the dataset.
func TestJobWithInputsDoesNotStartWithDatasetsOff(t *testing.T) {
	h := newDataHarness(t, features.PlacementStaged)
	h.addAgent("a1", 0)
	h.submit("run-000001", 1, withInputs(api.UseOwnPart))
	h.elect()
	for range 3 {
		h.heartbeat("a1", 1)
		h.Place()
		h.commit()
	}
	if len(h.starts("run-000001/0")) != 0 {
		t.Fatal("a task was started without its inputs")
	}
	var rec store.JobRecord
	if raw, err := json.Marshal(h.jobs["run-000001"].JobRecord); err != nil || json.Unmarshal(raw, &rec) != nil || len(rec.Job.Inputs) != 1 {
		t.Fatal("the job's record does not contain its inputs")
	}
}

// Checks the other placement modes: without locality awareness parts are copied only from the store, and all tasks start
// in every mode.
func TestPlacementModesWithoutLocalityCopyFromStore(t *testing.T) {
	for _, placement := range []string{features.PlacementBlind, features.PlacementImages, features.PlacementLocal} {
		h := newDataHarness(t, placement)
		holder := h.addAgent("a1", 0, 1)
		other := h.addAgent("a2")
		h.submit("run-000001", 4, withInputs(api.UseOwnPart))
		for range 12 {
			h.workerHeartbeat("a1")
			h.workerHeartbeat("a2")
			h.round()
			for _, agent := range []*fakeAgent{holder, other} {
				for _, x := range agent.sets {
					for _, c := range x.Copies {
						if placement != features.PlacementLocal && !c.Sources[0].Store {
							t.Fatalf("%s: copied from %v", placement, c.Sources)
						}
					}
				}
				agent.finishCopies()
			}
		}
		for k := range 4 {
			if len(h.starts(taskKey("run-000001", k))) != 1 {
				t.Errorf("%s: task %d not started", placement, k)
			}
		}
	}
}

// Checks that a new leader that has received the heartbeat of only one agent queues tasks on the machines that hold
// their inputs according to the hints of the previous leader, but starts none there before the agent confirms the
// inputs.
func TestReplicaHintsGuidePlacementAfterFailover(t *testing.T) {
	h := newDataHarness(t, features.PlacementStaged)
	h.addAgent("a1")
	h.addAgent("a2", 0, 1)
	h.storeReplicaHints(h.clock.Now().Add(tuning.ReplicaHintsInterval))
	h.commit()
	value := h.state.Get(store.ReplicasKey(0))
	if value == nil {
		t.Fatal("the replica hints were not stored")
	}
	h.reelect()
	h.LoadReplicaHints([]store.Item{{Key: store.ReplicasKey(0), Value: value}})
	h.workerHeartbeat("a1")
	h.workerHeartbeat("a2")
	h.agentHeartbeat(h.agents["a1"])
	h.submit("run-000001", 2, withInputs(api.UseOwnPart))
	h.Place()
	h.commit()
	if queuesOnA2 := len(h.machines["a2"].queues); queuesOnA2 != 1 || len(h.machines["a1"].queues) != 0 {
		t.Fatalf("%d queues on a2 and %d on a1, want 1 and 0", queuesOnA2, len(h.machines["a1"].queues))
	}
	if len(h.starts("run-000001/0")) != 0 {
		t.Fatal("a task was started on the basis of a hint")
	}
	h.round()
	h.round()
	if starts := h.starts("run-000001/0"); len(starts) != 1 || starts[0].machine != "a2" {
		t.Fatalf("starts of the task: %+v, want one on a2", starts)
	}
}

// Checks that a task that waits for a copy moves to a machine that holds its inputs once that machine has free
// resources. Without this, tasks waited 10 s for copies of parts that idle machines already held.
func TestTaskAwaitingCopyMovesToFreedHolder(t *testing.T) {
	h := newDataHarness(t, features.PlacementStaged)
	h.addAgent("a1", 0, 1)
	h.submit("run-000002", 2, nil)
	h.round()
	runningTasks := []api.TaskReport{}
	for k := range 2 {
		runningTasks = append(runningTasks, taskReport(taskKey("run-000002", k), h.jobs["run-000002"].allocations[k].attempt, api.TaskRunning, ""))
	}
	h.workerHeartbeat("a1", runningTasks...)
	h.addAgent("a2")
	h.submit("run-000001", 1, withInputs(api.UseOwnPart))
	h.round()
	if len(h.machines["a2"].queues) != 1 {
		t.Fatal("want the task queued on the idle machine while its input is copied there")
	}
	for i := range runningTasks {
		runningTasks[i].State, runningTasks[i].Cause = api.TaskExited, api.CauseDone
	}
	h.workerHeartbeat("a1", runningTasks...)
	h.workerHeartbeat("a2")
	for range 3 {
		h.round()
	}
	if alloc := h.jobs["run-000001"].allocations[0]; alloc == nil || alloc.machine.Name != "a1" {
		t.Fatalf("the task did not move to the machine that holds its input: %+v", alloc)
	}
}

// Checks that the number of tasks staged ahead follows the applied configuration.
func TestConfigurationSetsAheadTasks(t *testing.T) {
	h := newDataHarness(t, features.PlacementStaged)
	for _, ahead := range []int{9, 5} {
		active := parseConfiguration(t, "")
		active.AheadTasks = &ahead
		h.ApplyConfiguration(active)
		if h.datasets.settings.AheadTasks != ahead {
			t.Errorf("the setting AheadTasks is %d, want the configured %d", h.datasets.settings.AheadTasks, ahead)
		}
	}
}
