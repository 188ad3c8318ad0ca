package scheduler

import (
	"context"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/store"
	"switchferry/tuning"
)

// A guest's array of thousands of short tasks keeps dozens of records waiting to be
// written; an owner's start waited behind all of them. The limit of writes allows one
// transaction here.
func TestOwnersRecordsGoBeforeGuests(t *testing.T) {
	s := newStage(t)
	for i := range 12 {
		s.report("a1"+string(rune('a'+i)), 1)
	}
	s.submit("run-000001", 40*tuning.ShardTasks, func(x *api.Submission) { x.Rank, x.CPUs, x.MemoryGB = "low", 0.1, 0.1 })
	guest := s.jobs["run-000001"]
	for shard := range 40 {
		s.markShardDirty(guest, shard*tuning.ShardTasks, nil)
	}
	s.submit("run-000002", 1, func(x *api.Submission) { x.Rank = "prod" })
	for s.com.Pending() > 0 {
		s.commit()
	}
	for shard := range 40 {
		s.markShardDirty(guest, shard*tuning.ShardTasks, nil)
	}
	owner := s.jobs["run-000002"]
	stored := false
	s.markShardDirty(owner, 0, func() { stored = true })
	accepted := false
	s.com.MarkDirty(store.JobKey("run-000002"), store.Urgent, func() { accepted = true })
	s.com.Step(context.Background())
	if !stored || !accepted {
		t.Errorf("after one of many transactions the owner's start is stored: %v, the accept: %v", stored, accepted)
	}
}

// What a machine reports must fit a record, however small the tasks are and however
// long their ends wait to be stored and cleared.
func TestSmallTasksDoNotOverfillAReport(t *testing.T) {
	s := newStage(t)
	s.report("a1", 1)
	s.submit("run-000001", 5000, func(x *api.Submission) { x.Rank, x.CPUs, x.MemoryGB, x.EstimateS = "low", 0.1, 0.1, 1 })
	most := 0
	for range 12 {
		s.Place()
		for s.com.Pending() > 0 {
			s.commit()
		}
		var tasks []api.TaskReport
		machine := s.machines["a1"]
		for key, alloc := range machine.allocations {
			if alloc.runSent {
				tasks = append(tasks, task(key, alloc.attempt, api.TaskExited, api.CauseDone))
			}
		}
		for key, e := range machine.exited {
			tasks = append(tasks, task(key, e.attempt, api.TaskExited, api.CauseDone))
		}
		most = max(most, len(tasks))
		// The worker does not hear what to clear; the ends stay in its reports.
		s.clock.Advance(time.Second)
		s.report("a1", 1, tasks...)
	}
	if most == 0 || most > tuning.ReportTasks {
		t.Errorf("a report of %d tasks, want some and %d at most", most, tuning.ReportTasks)
	}
}

// Jobs of rank low filled every gap, and each task of the owners had dozens of theirs
// stopped first: they leave a tenth of what the others use, and nothing when alone.
func TestLowRankLeavesAReserve(t *testing.T) {
	fill := func(owned int) (free float64) {
		s := newStage(t)
		for i := range 10 {
			s.report("a1"+string(rune('a'+i)), 1)
		}
		if owned > 0 {
			s.submit("run-000002", owned, nil)
			s.settleStarts()
		}
		s.submit("run-000001", 1000, func(x *api.Submission) { x.Rank, x.CPUs, x.MemoryGB = "low", 0.25, 0.1 })
		s.settleStarts()
		for _, machine := range s.machines {
			free += machine.free().CPUs
		}
		return free
	}
	if free := fill(10); free < 4 || free > 8 {
		t.Errorf("%v of 80 processors left free beside 40 that others use, want a tenth of these", free)
	}
	if free := fill(0); free > 0 {
		t.Errorf("%v processors left free though nobody else has work", free)
	}
}
