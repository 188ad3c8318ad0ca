package scheduler

import (
	"context"
	"fmt"
	"testing"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
)

// The records of a job with the maximum number of tasks are written within the limits of the state service, and a new
// leader reads all of its allocations.
func TestLargestJobWithinStateLimits(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", api.MaxTasks, func(x *api.Submission) { x.CPUs, x.MemoryGB, x.Team = 0.01, 0.01, "t" })
	h.mu.Lock()
	job := h.jobs["run-000001"]
	machine := h.getOrAddMachine("n-999999")
	for i := range api.MaxTasks {
		h.allocate(job, i, machine, h.nextAttempt()+1<<40)
		h.markShardDirty(job, i, nil)
	}
	h.mu.Unlock()
	h.commit()
	largest := h.state.LargestTransaction
	if largest.Value > 16<<10 || largest.Bytes > 64<<10 || largest.Ops > 12 {
		t.Errorf("largest transaction %+v", largest)
	}
	if h.committer.Pending() > 0 {
		t.Errorf("%d records are not written", h.committer.Pending())
	}
	h.elect()
	if n := len(h.jobs["run-000001"].allocations); n != api.MaxTasks {
		t.Errorf("%d allocations restored, want %d", n, api.MaxTasks)
	}
}

// If the state service's response to the acceptance of a job is lost, the job exists exactly once and the user's retry
// gets status 200.
func TestAcceptanceWithLostResponse(t *testing.T) {
	h := newHarness(t)
	submission := &api.Submission{ID: "run-000001", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 2, CPUs: 1}
	h.state.LoseNextAnswer = true
	h.Submit(cancelledContext(), submission, h.clock.Now())
	h.committer.Step(context.Background())
	h.commit()
	if response, ok := h.Submit(context.Background(), submission, h.clock.Now()); !ok || response.Status != 200 {
		t.Errorf("retry: %+v", response)
	}
	if n := len(h.jobs["run-000001"].pending); n != 2 {
		t.Errorf("%d tasks are pending, want 2", n)
	}
}

// A new leader that reads a damaged job record or shard record leaves out only that job, and neither overwrites nor
// deletes the job's records. Before, one damaged record kept every new leader from scheduling anything.
func TestDamagedRecordsAffectOnlyTheirJob(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	for _, id := range []string{"run-000001", "run-000002", "run-000003"} {
		h.submit(id, 1, smallJob)
	}
	h.Place()
	h.commit()
	shards := map[string]string{}
	for _, id := range []string{"run-000001", "run-000002"} {
		shards[id] = store.ShardOf(id, 0, h.tasksPerShard).Key()
		if h.state.Get(shards[id]) == nil {
			t.Fatalf("no shard record of %s", id)
		}
	}
	h.state.Put(store.JobKey("run-000001"), "damaged")
	h.state.Put(shards["run-000002"], "damaged")
	h.elect()
	h.heartbeat("a1", 1)
	h.Place()
	h.commit()
	if _, ok := h.JobStatus("run-000003"); !ok {
		t.Error("a job with intact records is not loaded")
	}
	for _, id := range []string{"run-000001", "run-000002"} {
		if _, ok := h.JobStatus(id); ok {
			t.Errorf("the status of %s is given from memory although a record is damaged", id)
		}
		submission := api.Submission{ID: id, Class: "c", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, EstimateS: 30}
		if response, ok := h.Submit(cancelledContext(), &submission, h.clock.Now()); !ok || response.Status != 503 || response.RetryAfterS < 1 {
			t.Errorf("%s submitted again: status %d, want 503", id, response.Status)
		}
	}
	h.commit()
	if string(h.state.Get(store.JobKey("run-000001"))) != `"damaged"` || string(h.state.Get(shards["run-000002"])) != `"damaged"` || h.state.Get(shards["run-000001"]) == nil || h.state.Get(store.JobKey("run-000002")) == nil {
		t.Error("records of a damaged job were overwritten or deleted")
	}
}

// A damaged final record costs its own job alone, whose submission is answered with 503. Before, the repeated submission of
// one such job stopped all writes of the leader (docs/incidents/leader-stopped-storing.md).
func TestDamagedFinalRecordAffectsOnlyItsJob(t *testing.T) {
	h := newHarness(t)
	h.state.Put(store.FinalKey("run-000001"), "damaged")
	damaged := api.Submission{ID: "run-000001", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: 1}
	if response, ok := h.Submit(cancelledContext(), &damaged, h.clock.Now()); !ok || response.Status != 503 {
		t.Errorf("status %d, want 503", response.Status)
	}
	h.commit()
	h.submit("run-000002", 1, smallJob)
	if _, ok := h.JobStatus("run-000002"); !ok {
		t.Error("another job was not accepted")
	}
	h.heartbeat("a1", 1)
	h.Place()
	h.commit()
	if len(h.jobs["run-000002"].allocations) != 1 || h.state.Get(store.ShardOf("run-000002", 0, h.tasksPerShard).Key()) == nil {
		t.Error("the task of another job was not placed and stored")
	}
	if h.state.Get(store.JobKey("run-000001")) != nil || string(h.state.Get(store.FinalKey("run-000001"))) != `"damaged"` {
		t.Error("a record of the damaged job was written")
	}
}

// Shard records of the first version that are larger than the current value limit are read and rewritten in a size that
// fits. A delayed transaction of the old leader changes nothing.
func TestLargeShardRecordsAreRewrittenInSmallerShards(t *testing.T) {
	h := newHarness(t)
	for i := range 30 {
		h.heartbeat(fmt.Sprintf("a%02d", i), 1)
	}
	h.submit("run-000001", 150, func(submission *api.Submission) { submission.CPUs, submission.MemoryGB = 1, 1 })
	h.Place()
	h.state.HoldNextTransaction = true // delays a transaction of the old leader until ExecuteHeld
	h.committer.Step(context.Background())
	h.commit()
	oldShard := store.ShardOf("run-000001", 0, tuning.TasksPerShard)
	if n := len(h.state.Get(oldShard.Key())); n < 2048 {
		t.Fatalf("the record has only %d bytes", n)
	}
	placedCount := len(h.jobs["run-000001"].allocations)
	h.limits.Announced = settings.AnnouncedStateLimits{ValueKB: 2, TxnOps: 8}
	h.elect()
	h.UseCurrentFormat()
	h.commit()
	h.state.SetLimits(fake.Limits{ValueKB: 2, TxnOps: 8})
	h.state.ExecuteHeld()
	if h.state.Get(oldShard.Key()) != nil {
		t.Error("the large record was not deleted")
	}
	h.elect()
	if n := len(h.jobs["run-000001"].allocations); n != placedCount || placedCount == 0 {
		t.Errorf("%d allocations restored, want %d", n, placedCount)
	}
	if len(h.state.Refused) > 0 {
		t.Error("refused transactions:", h.state.Refused)
	}
}

// The shard size accounts for the length of machine names, so that records with long names still fit into a value. The
// final record of a cancelled service marks it as a service.
func TestShardSizeAccountsForMachineNames(t *testing.T) {
	h := newHarness(t)
	h.limits.Announced = settings.AnnouncedStateLimits{ValueKB: 2, TxnOps: 4}
	h.elect()
	h.UseCurrentFormat()
	h.committer.SetValueLimit(2048)
	h.state.SetLimits(fake.Limits{ValueKB: 2, TxnOps: 4})
	for i := range 10 {
		h.heartbeat(fmt.Sprintf("a%0100d", i), 1)
	}
	h.submit("run-000001", 80, func(submission *api.Submission) { submission.CPUs, submission.MemoryGB = 1, 1 })
	h.submit("run-000002", 1, func(submission *api.Submission) {
		smallJob(submission)
		submission.Shape, submission.Rank = api.Service, "prod"
	})
	h.Place()
	h.commit()
	if n := h.committer.Pending(); n > 0 || len(h.state.Refusals()) > 0 || h.state.LargestTransaction.Value > 2048 {
		t.Errorf("%d records are not written, refused %v, the largest value has %d bytes", n, h.state.Refusals(), h.state.LargestTransaction.Value)
	}
	h.Cancel(cancelledContext(), "run-000002")
	h.commit()
	if found, err := h.records().Read(context.Background(), "run-000002"); err != nil || !found.Service || found.Final.State != api.Cancelled {
		t.Errorf("final record %+v, error %v, want a cancelled service", found, err)
	}
}

// Whichever shard records of a job a crash leaves behind, and in whatever order they were written, the highest attempt
// decides where a task is placed, and a completed task stays completed. The revisions of the records cannot decide
// this: when the first transaction of a record was executed again after the record had been replaced and deleted, the
// oldest placement got the newest revision. The leader would have looked for the task on its former machine, found it
// missing there and started it a second time. A record in which a task has no placement does not override one in which
// it has: only a heartbeat of the machine can show that the task is not there.
func TestHighestAttemptDeterminesAllocation(t *testing.T) {
	for _, olderWrittenLast := range []bool{false, true} {
		h := newHarness(t)
		h.submit("run-000001", 100, smallJob)
		put := func(size, index int, done []int, placed ...store.PlacedTask) {
			bitmap := store.NewTaskBitmap(100)
			for _, i := range done {
				bitmap.Set(i)
			}
			shard := store.Shard{Job: "run-000001", Index: index, Size: size}
			h.state.Put(shard.Key(), store.ShardRecord{Done: bitmap.Pack(shard), Placed: placed})
		}
		writeOlder := func() {
			put(400, 0, []int{3}, store.PlacedTask{Task: 1, Machine: "a1", Attempt: 5}, store.PlacedTask{Task: 50, Machine: "a1", Attempt: 6}, store.PlacedTask{Task: 2, Machine: "a1", Attempt: 7})
		}
		writeNewer := func() { put(40, 0, []int{4}, store.PlacedTask{Task: 1, Machine: "a2", Attempt: 9}) }
		if olderWrittenLast {
			writeNewer()
			writeOlder()
		} else {
			writeOlder()
			writeNewer()
		}
		h.elect()
		job := h.jobs["run-000001"]
		if !job.completed.Has(3) || !job.completed.Has(4) || job.completedCount != 2 {
			t.Errorf("older records written last %v: a completion is lost", olderWrittenLast)
		}
		if alloc := job.allocations[1]; alloc == nil || alloc.machine.Name != "a2" || alloc.attempt != 9 {
			t.Errorf("older records written last %v: task 1 is not placed by its highest attempt: %+v", olderWrittenLast, alloc)
		}
		if alloc := job.allocations[50]; alloc == nil || alloc.machine.Name != "a1" {
			t.Errorf("older records written last %v: task 50, which is in only one record, is lost", olderWrittenLast)
		}
		if alloc := job.allocations[2]; alloc == nil || alloc.machine.Name != "a1" {
			t.Fatalf("older records written last %v: task 2 has no allocation although its machine has sent no heartbeat yet", olderWrittenLast)
		}
		h.heartbeat("a1", 1)
		h.heartbeat("a1", 1)
		if job.allocations[2] != nil || job.allocations[1] == nil {
			t.Errorf("older records written last %v: the machine's heartbeats do not release task 2, or release task 1", olderWrittenLast)
		}
	}
}

// The shard record of a production task's start is written before the many waiting records of a low-rank job array.
// Before, the start waited until all of these were written. The test runs a single transaction.
func TestProductionRecordsAreWrittenBeforeLowRank(t *testing.T) {
	h := newHarness(t)
	for i := range 12 {
		h.heartbeat("a1"+string(rune('a'+i)), 1)
	}
	h.submit("run-000001", 40*tuning.TasksPerShard, func(x *api.Submission) { x.Rank, x.CPUs, x.MemoryGB = "low", 0.1, 0.1 })
	lowRank := h.jobs["run-000001"]
	for shard := range 40 {
		h.markShardDirty(lowRank, shard*tuning.TasksPerShard, nil)
	}
	h.submit("run-000002", 1, func(x *api.Submission) { x.Rank = "prod" })
	for h.committer.Pending() > 0 {
		h.commit()
	}
	for shard := range 40 {
		h.markShardDirty(lowRank, shard*tuning.TasksPerShard, nil)
	}
	production := h.jobs["run-000002"]
	stored := false
	h.markShardDirty(production, 0, func() { stored = true })
	accepted := false
	h.committer.MarkDirty(store.JobKey("run-000002"), store.Urgent, func() { accepted = true })
	h.committer.Step(context.Background())
	if !stored || !accepted {
		t.Errorf("after the first transaction, the production start is stored: %v, the acceptance: %v, want both", stored, accepted)
	}
}
