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

// Seen: at some 4,000 machines, under faults, a job that was over was called something else (went_back).
// How: a read of the job's record is slow, as the state service's occasionally are. Meanwhile the job is cancelled, its user
// is told, and its records are archived, so the leader has it in memory no more. Then the read ends.
// Cause: the leader took for news what the read said, since it looked only at whether the job was in memory. The job was
// pending again, its task was started, and its end replaced the cancellation that its user had been told.
// Proof: here each path that reads a record for the leader gets such a read; the job is then started and answered as done. A
// path that asks the memory of ended jobs first does so too once more jobs have ended since than that memory holds.
func TestRecordReadBeforeTheEndDoesNotBringAJobBack(t *testing.T) {
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
		{"question", func(ctx context.Context, _ *testLeader, process *Controller) {
			process.Handle(ctx, peer.Request{Verb: VerbStatus, Job: id}, true)
		}},
	}
	for _, path := range paths {
		for _, remembered := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, end remembered %v", path.name, remembered), func(t *testing.T) {
				leader, process := newLeaderProcess(t)
				if _, err := process.client.Get(t.Context(), store.LeaderKey); err != nil {
					t.Fatal(err)
				}
				if got := leader.beside().submissions.SubmitWithoutLeader(t.Context(), smallJob(id), nil).Status; got != 201 {
					t.Fatalf("accepted without the leader: %d", got)
				}
				late := leader.state.LateRead(true)
				ctx, stop := context.WithCancel(t.Context())
				readEnded := make(chan struct{})
				go func() {
					defer close(readEnded)
					path.read(ctx, leader, process)
				}()
				<-late.Asked
				cancelAndArchive(t, leader, process, id)
				if !remembered {
					for number := range tuning.FinalCache {
						leader.terminal.Remember(fmt.Sprintf("run-9%05d", number), store.FinalRecord{State: api.Done})
					}
				}
				late.Answer()
				if path.name == "inbox" {
					// The follower waits for more of the inbox; it is done with this entry once it has that deleted.
					waitFor(t, func() bool { return leader.committer.Pending() > 0 })
					stop()
				}
				<-readEnded
				stop()
				finishAnyTask(leader, id)
				if starts := leader.starts(id + "/0"); starts > 0 {
					t.Errorf("a task of the cancelled job was started %d times", starts)
				}
				if got := statusOf(t, process); got != api.Cancelled {
					t.Errorf("its user was told %s, the leader answers %v", api.Cancelled, got)
				}
				if got := statusOf(t, leader.beside()); got != api.Cancelled {
					t.Errorf("its user was told %s, another controller answers %v", api.Cancelled, got)
				}
			})
		}
	}
}

// cancelAndArchive has the leader learn of a job by a question, and the job's user cancel it; then the job's records are
// archived.
func cancelAndArchive(t *testing.T, leader *testLeader, process *Controller, id string) {
	t.Helper()
	if got := statusOf(t, process); got != api.Pending {
		t.Fatalf("accepted, and answered as %v", got)
	}
	leader.Cancel(cancelledContext(), id)
	leader.commit()
	if got := statusOf(t, process); got != api.Cancelled {
		t.Fatalf("cancelled, and answered as %v", got)
	}
	if leader.Presence(id).InMemory {
		t.Fatal("not archived")
	}
}

// finishAnyTask has a machine report, run what it is told to run of a job's first task, and report that as done.
func finishAnyTask(leader *testLeader, id string) {
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

// waitFor waits until a condition holds that another goroutine brings about.
func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("does not come about")
		}
	}
}
