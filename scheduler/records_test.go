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

func TestLargestJobWithinStateLimits(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", api.MaxTasks, func(x *api.Submission) { x.CPUs, x.MemoryGB, x.Team = 0.01, 0.01, "t" })
	h.mu.Lock()
	job := h.jobs["run-000001"]
	machine := h.machineNamed("n-999999")
	for i := range api.MaxTasks {
		h.allocate(job, i, machine, h.nextAttempt()+1<<40)
		h.markShardDirty(job, i, nil)
	}
	h.mu.Unlock()
	h.commit()
	l := h.state.Largest
	if l.Value > 16<<10 || l.Bytes > 64<<10 || l.Ops > 12 {
		t.Errorf("largest transaction %+v", l)
	}
	if h.committer.Pending() > 0 {
		t.Errorf("%d records wait", h.committer.Pending())
	}
	h.elect()
	if n := len(h.jobs["run-000001"].allocations); n != api.MaxTasks {
		t.Errorf("%d tasks read back", n)
	}
}

// An accept whose answer from the state service is lost: the job is there once,
// and the user's retry gets 200.
func TestAcceptWithLostAnswer(t *testing.T) {
	h := newHarness(t)
	sub := &api.Submission{ID: "run-000001", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 2, CPUs: 1}
	h.state.LoseAnswer = true
	h.Submit(cancelledContext(), sub, h.clock.Now())
	h.committer.Step(context.Background())
	h.commit()
	if a, ok := h.Submit(context.Background(), sub, h.clock.Now()); !ok || a.Status != 200 {
		t.Errorf("retry: %+v", a)
	}
	if n := len(h.jobs["run-000001"].pending); n != 2 {
		t.Errorf("%d tasks wait", n)
	}
}

// A damaged record, of a job or of its tasks, costs a new leader that job alone, and nothing more of it: no leader
// could begin before, and none must write over what it cannot read.
func TestDamagedRecordsCostTheirJobAlone(t *testing.T) {
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
			t.Fatalf("no record of the task of %s", id)
		}
	}
	h.state.Put(store.JobKey("run-000001"), "damaged")
	h.state.Put(shards["run-000002"], "damaged")
	h.elect()
	h.heartbeat("a1", 1)
	h.Place()
	h.commit()
	if _, ok := h.JobStatus("run-000003"); !ok {
		t.Error("a job whose records are sound is not known")
	}
	for _, id := range []string{"run-000001", "run-000002"} {
		if _, ok := h.JobStatus(id); ok {
			t.Errorf("%s is answered for", id)
		}
		sub := api.Submission{ID: id, Class: "c", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, EstimateS: 30}
		if a, ok := h.Submit(cancelledContext(), &sub, h.clock.Now()); !ok || a.Status != 503 || a.RetryAfterS < 1 {
			t.Errorf("%s submitted again: %d", id, a.Status)
		}
	}
	h.commit()
	if string(h.state.Get(store.JobKey("run-000001"))) != `"damaged"` || string(h.state.Get(shards["run-000002"])) != `"damaged"` || h.state.Get(shards["run-000001"]) == nil || h.state.Get(store.JobKey("run-000002")) == nil {
		t.Error("records that could not be read, or those beside them, were written over or deleted")
	}
}

// The records of a job that the first version wrote, larger than values may be by now, are read,
// and written anew in sizes that fit; a transaction of the old leader that comes late changes
// nothing.
func TestLargeRecordsAreSplit(t *testing.T) {
	h := newHarness(t)
	for i := range 30 {
		h.heartbeat(fmt.Sprintf("a%02d", i), 1)
	}
	h.submit("run-000001", 150, func(x *api.Submission) { x.CPUs, x.MemoryGB = 1, 1 })
	h.Place()
	h.state.HoldNext = true // the old leader's last write of them comes late
	h.committer.Step(context.Background())
	h.commit()
	old := store.ShardOf("run-000001", 0, tuning.ShardTasks)
	if n := len(h.state.Get(old.Key())); n < 2048 {
		t.Fatalf("the record has %d bytes only", n)
	}
	placed := len(h.jobs["run-000001"].allocations)
	h.limits.Next = settings.NextState{ValueKB: 2, TxnOps: 8}
	h.elect()
	h.UseCurrentFormat()
	h.commit()
	h.state.Limit(fake.Limits{ValueKB: 2, TxnOps: 8})
	h.state.Deliver()
	if h.state.Get(old.Key()) != nil {
		t.Error("the large record still stands")
	}
	h.elect()
	if n := len(h.jobs["run-000001"].allocations); n != placed || placed == 0 {
		t.Errorf("%d tasks are on machines, want %d", n, placed)
	}
	if len(h.state.Refused) > 0 {
		t.Error("refused:", h.state.Refused)
	}
}

// What fits is counted with the names of the machines, and a service that is over says so.
func TestRecordsFitWhateverTheNames(t *testing.T) {
	h := newHarness(t)
	h.limits.Next = settings.NextState{ValueKB: 2, TxnOps: 4}
	h.elect()
	h.UseCurrentFormat()
	h.committer.SetValueLimit(2048)
	h.state.Limit(fake.Limits{ValueKB: 2, TxnOps: 4})
	for i := range 10 {
		h.heartbeat(fmt.Sprintf("a%0100d", i), 1)
	}
	h.submit("run-000001", 80, func(x *api.Submission) { x.CPUs, x.MemoryGB = 1, 1 })
	h.submit("run-000002", 1, func(x *api.Submission) { smallJob(x); x.Shape, x.Rank = api.Service, "prod" })
	h.Place()
	h.commit()
	if n := h.committer.Pending(); n > 0 || len(h.state.Refusals()) > 0 || h.state.Largest.Value > 2048 {
		t.Errorf("%d records wait, refused %v, the largest value has %d bytes", n, h.state.Refusals(), h.state.Largest.Value)
	}
	h.Cancel(cancelledContext(), "run-000002")
	h.commit()
	if x, err := h.records().Read(context.Background(), "run-000002"); err != nil || !x.Service || x.Final.State != api.Cancelled {
		t.Errorf("%+v %v", x, err)
	}
}

// Whichever of a job's records a crash left behind, and in whatever order they were written, the highest attempt
// answer where a task is, and what is done stays done. A record's first transaction, carried out once more after
// the record was replaced and deleted, made the oldest placement the newest revision: the task would have been
// looked for on its former machine, found missing there, and started a second time. So a record that has the
// task nowhere does not speak against one that has it: its machine does.
func TestHighestAttemptOfATaskCounts(t *testing.T) {
	for _, late := range []bool{false, true} {
		h := newHarness(t)
		h.submit("run-000001", 100, smallJob)
		put := func(size, index int, done []int, runningOn ...store.PlacedTask) {
			b := store.NewTaskBitmap(100)
			for _, i := range done {
				b.Set(i)
			}
			sh := store.Shard{Job: "run-000001", Index: index, Size: size}
			h.state.Put(sh.Key(), store.ShardRecord{Done: b.Pack(sh), On: runningOn})
		}
		first := func() {
			put(400, 0, []int{3}, store.PlacedTask{Task: 1, Machine: "a1", Attempt: 5}, store.PlacedTask{Task: 50, Machine: "a1", Attempt: 6}, store.PlacedTask{Task: 2, Machine: "a1", Attempt: 7})
		}
		second := func() { put(40, 0, []int{4}, store.PlacedTask{Task: 1, Machine: "a2", Attempt: 9}) }
		if late {
			second()
			first()
		} else {
			first()
			second()
		}
		h.elect()
		job := h.jobs["run-000001"]
		if !job.completed.Has(3) || !job.completed.Has(4) || job.completedCount != 2 {
			t.Errorf("late %v: an end is lost", late)
		}
		if alloc := job.allocations[1]; alloc == nil || alloc.machine.Name != "a2" || alloc.attempt != 9 {
			t.Errorf("late %v: an older attempt tells where task 1 is: %+v", late, alloc)
		}
		if alloc := job.allocations[50]; alloc == nil || alloc.machine.Name != "a1" {
			t.Errorf("late %v: task 50, which stands in one record alone, is lost", late)
		}
		if alloc := job.allocations[2]; alloc == nil || alloc.machine.Name != "a1" {
			t.Fatalf("late %v: task 2 is nowhere, though its machine has not been heard", late)
		}
		h.heartbeat("a1", 1)
		h.heartbeat("a1", 1)
		if job.allocations[2] != nil || job.allocations[1] == nil {
			t.Errorf("late %v: the machine's word does not free task 2, or frees task 1", late)
		}
	}
}

// A guest's array of thousands of short tasks keeps dozens of records waiting to be
// written; an owner's start waited behind all of them. The limit of writes allows one
// transaction here.
func TestOwnersRecordsGoBeforeGuests(t *testing.T) {
	h := newHarness(t)
	for i := range 12 {
		h.heartbeat("a1"+string(rune('a'+i)), 1)
	}
	h.submit("run-000001", 40*tuning.ShardTasks, func(x *api.Submission) { x.Rank, x.CPUs, x.MemoryGB = "low", 0.1, 0.1 })
	guest := h.jobs["run-000001"]
	for shard := range 40 {
		h.markShardDirty(guest, shard*tuning.ShardTasks, nil)
	}
	h.submit("run-000002", 1, func(x *api.Submission) { x.Rank = "prod" })
	for h.committer.Pending() > 0 {
		h.commit()
	}
	for shard := range 40 {
		h.markShardDirty(guest, shard*tuning.ShardTasks, nil)
	}
	owner := h.jobs["run-000002"]
	stored := false
	h.markShardDirty(owner, 0, func() { stored = true })
	accepted := false
	h.committer.MarkDirty(store.JobKey("run-000002"), store.Urgent, func() { accepted = true })
	h.committer.Step(context.Background())
	if !stored || !accepted {
		t.Errorf("after one of many transactions the owner's start is stored: %v, the accept: %v", stored, accepted)
	}
}
