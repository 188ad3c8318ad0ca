package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/controller/inbox"
	"switchferry/peer"
	"switchferry/store"
	"switchferry/tuning"
)

// Guards against a job that leaves its terminal state and becomes active again (the fault went_back, found with about
// 4,000 machines under injected faults). A read of the job's record is slow. Meanwhile the job is cancelled, the
// cancellation is acknowledged, and the job's records are archived, so that the leader no longer has the job in memory.
// Then the read returns. The leader used to adopt any record of a job that was not in memory: the job was pending
// again, its task was started, and the completion of the task replaced the acknowledged cancellation. The test delays a
// read on each path that reads a record for the leader. A path that checks the cache of terminal states first is
// affected once the cache has evicted the job, so each is tested with and without it.
func TestStaleRecordDoesNotReactivateEndedJob(t *testing.T) {
	const id = "run-000001"
	paths := []struct {
		name string
		read func(ctx context.Context, leader *testLeader, process *Controller)
	}{
		{"inbox", func(ctx context.Context, leader *testLeader, process *Controller) {
			inbox.NewFollower(leader.clock, process.client, leader.Scheduler, leader.committer, 0).Run(ctx)
		}},
		{"dependency", func(ctx context.Context, leader *testLeader, process *Controller) {
			leader.LookUpDependencies(ctx, process.jobs.Records, []string{id})
		}},
		{"status request", func(ctx context.Context, _ *testLeader, process *Controller) {
			process.Handle(ctx, peer.Request{Verb: VerbStatus, Job: id}, true)
		}},
	}
	for _, path := range paths {
		for _, cached := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, terminal state cached %v", path.name, cached), func(t *testing.T) {
				leader, process := newLeaderProcess(t)
				if _, err := process.client.Get(t.Context(), store.LeaderKey); err != nil {
					t.Fatal(err)
				}
				if got := leader.otherController().submissions.SubmitWithoutLeader(t.Context(), smallJob(id), nil).Status; got != 201 {
					t.Fatalf("accepted without the leader: %d", got)
				}
				delayedRead := leader.state.DelayNextRead(true)
				ctx, stop := context.WithCancel(t.Context())
				readEnded := make(chan struct{})
				go func() {
					defer close(readEnded)
					path.read(ctx, leader, process)
				}()
				<-delayedRead.Received
				cancelAndArchive(t, leader, process, id)
				if !cached {
					for number := range tuning.TerminalJobsCapacity {
						leader.terminal.Remember(fmt.Sprintf("run-9%05d", number), store.FinalRecord{State: api.Done})
					}
				}
				delayedRead.Release()
				if path.name == "inbox" {
					// The follower keeps watching the inbox; it has processed this entry once it has marked it for deletion.
					waitUntil(t, func() bool { return leader.committer.Pending() > 0 })
					stop()
				}
				<-readEnded
				stop()
				finishFirstTaskIfStarted(leader, id)
				if starts := leader.starts(id + "/0"); starts > 0 {
					t.Errorf("a task of the cancelled job was started %d times", starts)
				}
				if got := stateOfFirstJob(t, process); got != api.Cancelled {
					t.Errorf("acknowledged as %s, the leader answers %v", api.Cancelled, got)
				}
				if got := stateOfFirstJob(t, leader.otherController()); got != api.Cancelled {
					t.Errorf("acknowledged as %s, another controller answers %v", api.Cancelled, got)
				}
			})
		}
	}
}

// cancelAndArchive makes the leader adopt a job through a status request, cancels the job, and commits until the job's
// records are archived.
func cancelAndArchive(t *testing.T, leader *testLeader, process *Controller, id string) {
	t.Helper()
	if got := stateOfFirstJob(t, process); got != api.Pending {
		t.Fatalf("status after acceptance: %v", got)
	}
	leader.Cancel(cancelledContext(), id)
	leader.commit()
	if got := stateOfFirstJob(t, process); got != api.Cancelled {
		t.Fatalf("status after cancellation: %v", got)
	}
	if leader.Presence(id).InMemory {
		t.Fatal("the job's records are not archived")
	}
}

// finishFirstTaskIfStarted sends a heartbeat of machine a1. If the leader then starts the first task of a job there, it
// sends another one, which reports the task as done.
func finishFirstTaskIfStarted(leader *testLeader, id string) {
	leader.heartbeat()
	leader.Place()
	leader.commit()
	if commands := leader.commands[id+"/0"]; len(commands) > 0 {
		leader.seq++
		leader.HandleHeartbeat(&api.Heartbeat{Machine: "a1", Address: "a1:1", Type: "m8", Zone: "a", Incarnation: 1, Seq: leader.seq, Term: leader.Term(),
			Tasks: []api.TaskReport{{Task: id + "/0", Attempt: commands[0].Attempt, State: api.TaskExited, Cause: api.CauseDone}}}, "")
	}
	for range 3 {
		leader.commit()
		leader.clock.Advance(time.Second)
	}
}

// waitUntil waits up to 10 s until a condition holds, which another goroutine establishes.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition does not hold after 10 s")
		}
	}
}
