package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"switchferry/api"
	"switchferry/dataset"
	"switchferry/features"
	"switchferry/store"
)

// recordedState returns the state in the stored record of the dataset inv.
func (h *dataHarness) recordedState() string {
	h.Helper()
	var x dataset.Entry
	if err := json.Unmarshal(h.state.Get(store.DatasetKey("inv")), &x); err != nil {
		h.Fatal(err)
	}
	return x.State
}

// register stores the record of the dataset inv in state listed and adds it to the leader.
func (h *dataHarness) register() {
	x := &dataset.Entry{Summary: *inventory}
	x.Stamp = h.state.Put(store.DatasetKey("inv"), x)
	h.AddDatasets(x)
}

// unlist stores the record of the dataset inv in state removing, as any controller can. If told is true, the leader
// receives the change at once, as by its watch.
func (h *dataHarness) unlist(told bool) *dataset.Entry {
	x := &dataset.Entry{Summary: *inventory, State: dataset.Removing}
	x.Stamp = h.state.Put(store.DatasetKey("inv"), x)
	if told {
		h.AddDatasets(x)
	}
	return x
}

// Checks that a dataset is removed only once no job needs it. Tasks that wait, are being staged or run are not affected.
// After the removal the machines delete the parts, including machines that join later.
func TestRemovedWithoutHarm(t *testing.T) {
	h := newDataHarness(t, features.Staged)
	h.register()
	agent := h.addAgent("a1", 0, 5)
	h.submit("run-000001", 2, withInputs(api.UseOwn))
	h.round()
	h.round()
	starts := h.starts("run-000001/0")[0].response.Commands[0]
	h.unlist(true)
	h.InboxSeen(1 << 40)
	h.MaintainFleet()
	h.commit()
	if got := agent.copies(); h.recordedState() != dataset.Removing || len(got) != 1 || got[0] != 1 {
		t.Fatalf("state %q, copies %v: staging for the job that needs the dataset must continue", h.recordedState(), got)
	}
	agent.finishCopies()
	h.workerHeartbeat("a1", taskReport("run-000001/0", starts.Attempt, api.TaskRunning, ""))
	h.round()
	h.round()
	second := h.jobs["run-000001"].allocations[1]
	if second == nil {
		t.Fatal("task 1 did not start although its inputs are staged")
	}
	end := func(k int, at uint64) api.TaskReport {
		return taskReport(taskKey("run-000001", k), at, api.TaskExited, api.CauseDone)
	}
	h.workerHeartbeat("a1", end(0, starts.Attempt), end(1, second.attempt))
	h.round()
	if len(agent.drop) != 0 {
		t.Fatal("the agent was told to delete the dataset before its record was stored as removed")
	}
	for range 3 {
		h.MaintainFleet()
		h.commit()
		h.round()
	}
	if h.recordedState() != dataset.Removed || len(agent.drop) != 1 || agent.drop[0] != inventory.Manifest.String() {
		t.Fatalf("state %q, the agent is to delete %v", h.recordedState(), agent.drop)
	}
	agent.held.Clear()
	h.round()
	h.round()
	b := h.addAgent("b1", 3)
	h.round()
	if len(agent.drop) != 0 || len(b.drop) != 1 {
		t.Errorf("a1 is to delete %v, b1, which joined later, %v", agent.drop, b.drop)
	}
}

// Checks that a dataset is not removed before the leader knows every job that peers accepted until the dataset was
// unlisted. The record of such a job may be stored before the leader has read it.
func TestRemovalWaitsForWhatSiblingsAccepted(t *testing.T) {
	h := newDataHarness(t, features.Staged)
	h.register()
	rec := store.JobRecord{Job: api.Submission{ID: "run-000007", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img",
		Inputs: []api.Input{{Dataset: "inv", Use: api.UseOwn}}}, AcceptedAt: h.clock.Now().UnixMilli()}
	at := h.state.Put(store.JobKey("run-000007"), rec)
	x := h.unlist(true)
	for range 3 {
		h.InboxSeen(at)
		h.MaintainFleet()
		h.commit()
	}
	if h.recordedState() != dataset.Removing {
		t.Fatal("removed although a stored job needs the dataset")
	}
	it, err := h.client().Get(context.Background(), store.JobKey("run-000007"))
	if err != nil {
		t.Fatal(err)
	}
	h.Conflict(it.Key, &it)
	h.InboxSeen(x.Stamp)
	h.MaintainFleet()
	h.commit()
	if h.recordedState() != dataset.Removing || h.JobsUsing("inv") != 1 {
		t.Fatal("removed although a job that a peer accepted needs the dataset")
	}
	h.Cancel(cancelledContext(), "run-000007")
	for range 3 {
		h.commit()
		h.MaintainFleet()
		h.commit()
	}
	if h.recordedState() != dataset.Removed {
		t.Error("not removed although no job needs the dataset")
	}
}

// Checks that jobs with many inputs are stored in transactions that stay within the limit on conditions.
func TestManyInputsKeepTheLimitOfConditions(t *testing.T) {
	h := newDataHarness(t, features.Staged)
	var in []api.Input
	for i := range 16 {
		x := &dataset.Entry{Summary: *inventory}
		x.Name = fmt.Sprintf("set-%02d", i)
		x.Stamp = h.state.Put(store.DatasetKey(x.Name), x)
		h.AddDatasets(x)
		in = append(in, api.Input{Dataset: x.Name, Use: api.UseOwn})
	}
	for i := range 20 {
		sub := api.Submission{ID: fmt.Sprintf("run-%06d", i), Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img", Inputs: in}
		h.Submit(cancelledContext(), &sub, h.clock.Now())
	}
	h.commit()
	for i := range 20 {
		if !h.Presence(fmt.Sprintf("run-%06d", i)).Accepted {
			t.Fatalf("job %d is not accepted", i)
		}
	}
	if len(h.state.Refused) > 0 {
		t.Error(h.state.Refused)
	}
}

// Checks that a job whose submission races with the removal of its dataset is either accepted, and the dataset is kept,
// or refused with the reason. The result must not depend on whether the controller knows of the removal.
func TestSubmissionRacesWithRemoval(t *testing.T) {
	for _, told := range []bool{false, true} {
		h := newDataHarness(t, features.Staged)
		h.register()
		sub := api.Submission{ID: "run-000001", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img",
			Inputs: []api.Input{{Dataset: "inv", Use: api.UseOwn}}}
		h.Submit(cancelledContext(), &sub, h.clock.Now())
		h.unlist(told)
		h.commit()
		if h.state.Get(store.JobKey("run-000001")) != nil || h.Presence("run-000001").Accepted || h.jobs["run-000001"] != nil {
			t.Errorf("controller knew of the removal: %v: job accepted after its dataset was unlisted", told)
		}
		h.InboxSeen(1 << 40)
		for range 2 {
			h.MaintainFleet()
			h.commit()
		}
		if h.recordedState() != dataset.Removed {
			t.Errorf("controller knew of the removal: %v: state %q", told, h.recordedState())
		}
	}
}
