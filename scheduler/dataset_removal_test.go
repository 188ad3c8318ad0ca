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

// recordedState is the state of the dataset inv on record.
func (h *dataHarness) recordedState() string {
	h.Helper()
	var x dataset.Entry
	if err := json.Unmarshal(h.state.Get(store.DatasetKey("inv")), &x); err != nil {
		h.Fatal(err)
	}
	return x.State
}

// register puts inv on record, as registered.
func (h *dataHarness) register() {
	x := &dataset.Entry{Summary: *inventory}
	x.Stamp = h.state.Put(store.DatasetKey("inv"), x)
	h.AddDatasets(x)
}

// unlist takes inv off the list, as any controller does; the leader hears of it by its
// watch, now or later.
func (h *dataHarness) unlist(told bool) *dataset.Entry {
	x := &dataset.Entry{Summary: *inventory, State: dataset.Removing}
	x.Stamp = h.state.Put(store.DatasetKey("inv"), x)
	if told {
		h.AddDatasets(x)
	}
	return x
}

// A dataset is removed only when nothing needs it: what waits, is copied or runs goes on
// as ever, and then the machines let its bytes go, those that come back later as well.
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
		t.Fatalf("state %q, copies %v: the job that needs it must go on", h.recordedState(), got)
	}
	agent.finishCopies()
	h.workerHeartbeat("a1", taskReport("run-000001/0", starts.Attempt, api.TaskRunning, ""))
	h.round()
	h.round()
	second := h.jobs["run-000001"].allocations[1]
	if second == nil {
		t.Fatal("not started though its inputs are there")
	}
	end := func(k int, at uint64) api.TaskReport {
		return taskReport(taskKey("run-000001", k), at, api.TaskExited, api.CauseDone)
	}
	h.workerHeartbeat("a1", end(0, starts.Attempt), end(1, second.attempt))
	h.round()
	if len(agent.drop) != 0 {
		t.Fatal("let go before it is on record as removed")
	}
	for range 3 {
		h.MaintainFleet()
		h.commit()
		h.round()
	}
	if h.recordedState() != dataset.Removed || len(agent.drop) != 1 || agent.drop[0] != inventory.Manifest.String() {
		t.Fatalf("state %q, agents let go %v", h.recordedState(), agent.drop)
	}
	agent.held.Clear()
	h.round()
	h.round()
	b := h.addAgent("b1", 3)
	h.round()
	if len(agent.drop) != 0 || len(b.drop) != 1 {
		t.Errorf("a1 is to let go %v, b1 that came back %v", agent.drop, b.drop)
	}
}

// Nothing is removed before all is known that siblings accepted until it was taken off the
// list: such a job stands on record, though the leader has not seen it.
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
		t.Fatal("removed under a job that is on record")
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
		t.Fatal("removed under a job that a sibling accepted")
	}
	h.Cancel(cancelledContext(), "run-000007")
	for range 3 {
		h.commit()
		h.MaintainFleet()
		h.commit()
	}
	if h.recordedState() != dataset.Removed {
		t.Error("not removed though nothing needs it")
	}
}

// Jobs with many inputs are stored in transactions that keep the limit of conditions.
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

// A job that races with the removal of its dataset is on one side of it: it is accepted
// and the dataset stays, or it is refused with the reason. It does not matter whether the
// controller that takes it has heard of the removal.
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
			t.Errorf("told %v: accepted after its dataset was taken off the list", told)
		}
		h.InboxSeen(1 << 40)
		for range 2 {
			h.MaintainFleet()
			h.commit()
		}
		if h.recordedState() != dataset.Removed {
			t.Errorf("told %v: %q", told, h.recordedState())
		}
	}
}
