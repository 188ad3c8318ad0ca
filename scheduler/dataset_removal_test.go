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
	var entry dataset.Entry
	if err := json.Unmarshal(h.state.Get(store.DatasetKey("inv")), &entry); err != nil {
		h.Fatal(err)
	}
	return entry.State
}

// register stores the record of the dataset inv in state listed and adds it to the leader.
func (h *dataHarness) register() {
	entry := &dataset.Entry{Summary: *inventory}
	entry.Revision = h.state.Put(store.DatasetKey("inv"), entry)
	h.AddDatasets(entry)
}

// unlist stores the record of the dataset inv in state removing, as any controller can. If notifyLeader is true, the
// leader receives the change at once, as through its watch of the records.
func (h *dataHarness) unlist(notifyLeader bool) *dataset.Entry {
	entry := &dataset.Entry{Summary: *inventory, State: dataset.Removing}
	entry.Revision = h.state.Put(store.DatasetKey("inv"), entry)
	if notifyLeader {
		h.AddDatasets(entry)
	}
	return entry
}

// Checks that a dataset is removed only once no job needs it. Tasks that wait, are being staged or run are not affected.
// After the removal the machines delete the parts, including machines that join later.
func TestDatasetIsRemovedOnceNoJobNeedsIt(t *testing.T) {
	h := newDataHarness(t, features.PlacementStaged)
	h.register()
	agent := h.addAgent("a1", 0, 5)
	h.submit("run-000001", 2, withInputs(api.UseOwnPart))
	h.round()
	h.round()
	firstStart := h.starts("run-000001/0")[0].response.Commands[0]
	h.unlist(true)
	h.InboxSeen(1 << 40)
	h.MaintainFleet()
	h.commit()
	if got := agent.orderedCopies(); h.recordedState() != dataset.Removing || len(got) != 1 || got[0] != 1 {
		t.Fatalf("state %q, copies %v: staging for the job that needs the dataset must continue", h.recordedState(), got)
	}
	agent.finishCopies()
	h.workerHeartbeat("a1", taskReport("run-000001/0", firstStart.Attempt, api.TaskRunning, ""))
	h.round()
	h.round()
	second := h.jobs["run-000001"].allocations[1]
	if second == nil {
		t.Fatal("task 1 did not start although its inputs are staged")
	}
	end := func(task int, attempt uint64) api.TaskReport {
		return taskReport(taskKey("run-000001", task), attempt, api.TaskExited, api.CauseDone)
	}
	h.workerHeartbeat("a1", end(0, firstStart.Attempt), end(1, second.attempt))
	h.round()
	if len(agent.manifestsToDelete) != 0 {
		t.Fatal("the agent was ordered to delete the dataset before its record was stored as removed")
	}
	for range 3 {
		h.MaintainFleet()
		h.commit()
		h.round()
	}
	if h.recordedState() != dataset.Removed || len(agent.manifestsToDelete) != 1 || agent.manifestsToDelete[0] != inventory.ManifestDigest.String() {
		t.Fatalf("state %q, the agent must delete the manifests %v", h.recordedState(), agent.manifestsToDelete)
	}
	agent.heldParts.Clear()
	h.round()
	h.round()
	other := h.addAgent("b1", 3)
	h.round()
	if len(agent.manifestsToDelete) != 0 || len(other.manifestsToDelete) != 1 {
		t.Errorf("a1 must delete %v, want nothing; b1, which joined later, must delete %v, want one manifest", agent.manifestsToDelete, other.manifestsToDelete)
	}
}

// Checks that a dataset is not removed before the leader knows every job that peers accepted until the dataset was
// unlisted. The record of such a job may be stored before the leader has read it.
func TestRemovalWaitsForJobsAcceptedByPeers(t *testing.T) {
	h := newDataHarness(t, features.PlacementStaged)
	h.register()
	record := store.JobRecord{Job: api.Submission{ID: "run-000007", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img",
		Inputs: []api.Input{{Dataset: "inv", Use: api.UseOwnPart}}}, AcceptedAt: h.clock.Now().UnixMilli()}
	revision := h.state.Put(store.JobKey("run-000007"), record)
	unlistedEntry := h.unlist(true)
	for range 3 {
		h.InboxSeen(revision)
		h.MaintainFleet()
		h.commit()
	}
	if h.recordedState() != dataset.Removing {
		t.Fatal("removed although a stored job needs the dataset")
	}
	item, err := h.client().Get(context.Background(), store.JobKey("run-000007"))
	if err != nil {
		t.Fatal(err)
	}
	h.Conflict(item.Key, &item)
	h.InboxSeen(unlistedEntry.Revision)
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
func TestManyInputsStayWithinConditionLimit(t *testing.T) {
	h := newDataHarness(t, features.PlacementStaged)
	var inputs []api.Input
	for i := range 16 {
		entry := &dataset.Entry{Summary: *inventory}
		entry.Name = fmt.Sprintf("set-%02d", i)
		entry.Revision = h.state.Put(store.DatasetKey(entry.Name), entry)
		h.AddDatasets(entry)
		inputs = append(inputs, api.Input{Dataset: entry.Name, Use: api.UseOwnPart})
	}
	for i := range 20 {
		submission := api.Submission{ID: fmt.Sprintf("run-%06d", i), Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img", Inputs: inputs}
		h.Submit(cancelledContext(), &submission, h.clock.Now())
	}
	h.commit()
	for i := range 20 {
		if !h.Presence(fmt.Sprintf("run-%06d", i)).Accepted {
			t.Fatalf("job %d is not accepted", i)
		}
	}
	if len(h.state.Refused) > 0 {
		t.Errorf("the state service refused requests: %v", h.state.Refused)
	}
}

// Checks that a job whose submission races with the removal of its dataset is either accepted, and the dataset is kept,
// or refused with the reason. The result must not depend on whether the controller knows of the removal.
func TestSubmissionRacesWithRemoval(t *testing.T) {
	for _, leaderNotified := range []bool{false, true} {
		h := newDataHarness(t, features.PlacementStaged)
		h.register()
		submission := api.Submission{ID: "run-000001", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img",
			Inputs: []api.Input{{Dataset: "inv", Use: api.UseOwnPart}}}
		h.Submit(cancelledContext(), &submission, h.clock.Now())
		h.unlist(leaderNotified)
		h.commit()
		if h.state.Get(store.JobKey("run-000001")) != nil || h.Presence("run-000001").Accepted || h.jobs["run-000001"] != nil {
			t.Errorf("controller knew of the removal: %v: job accepted after its dataset was unlisted", leaderNotified)
		}
		h.InboxSeen(1 << 40)
		for range 2 {
			h.MaintainFleet()
			h.commit()
		}
		if h.recordedState() != dataset.Removed {
			t.Errorf("controller knew of the removal: %v: dataset has state %q, want removed", leaderNotified, h.recordedState())
		}
	}
}
