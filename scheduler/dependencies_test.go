package scheduler

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"golang.org/x/time/rate"

	"switchferry/api"
	"switchferry/lookup"
	"switchferry/store"
	"switchferry/tuning"
)

// The rank and the deadline of the last job of a pipeline are inherited by the jobs before it: the rank is capped below
// the production rank, and the deadline is reduced by the expected duration of the jobs in between, which run in waves
// on a small fleet. The inherited values are recomputed when the last job is cancelled.
func TestDependenciesInheritUrgency(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 1, func(submission *api.Submission) { smallJob(submission); submission.Rank = "low" })
	h.submit("run-000002", 4, func(submission *api.Submission) { submission.Awaits, submission.Rank = []string{"run-000001"}, "low" })
	h.submit("run-000003", 1, func(submission *api.Submission) {
		dependingOn("run-000002")(submission)
		submission.Rank, submission.EstimateS, submission.DeadlineS, submission.ImageGB = "prod", 10, 200, 0
	})
	h.sortQueues()
	first, second, last := h.jobs["run-000001"], h.jobs["run-000002"], h.jobs["run-000003"]
	if first.rank != api.RankProduction-1 || second.rank != api.RankProduction-1 || last.rank != api.RankProduction {
		t.Errorf("ranks %d, %d, %d, want %d, %d, %d", first.rank, second.rank, last.rank, api.RankProduction-1, api.RankProduction-1, api.RankProduction)
	}
	// The last job takes 10 s. The second needs 16 CPUs and the fleet has 8, so it takes two waves of 30 s, and 2 s to
	// fetch its image of 1 GB.
	due := last.AcceptedAt + 200_000 - tuning.DependencyStartDelayMS - 10_000
	if got := second.inherited.DueTimesMS; len(got) != 1 || got[0] != due {
		t.Errorf("the second is due at %v, want %d", got, due)
	}
	if got := first.inherited.DueTimesMS; len(got) != 1 || got[0] != due-tuning.DependencyStartDelayMS-62_000 {
		t.Errorf("the first is due at %v, want %d", got, due-tuning.DependencyStartDelayMS-62_000)
	}
	h.Cancel(cancelledContext(), "run-000003")
	h.commit()
	h.sortQueues()
	if first.rank != api.RankLow || len(first.inherited.DueTimesMS) > 0 {
		t.Errorf("urgency is still inherited from a cancelled job: rank %d, due at %v", first.rank, first.inherited.DueTimesMS)
	}
}

// records returns a reader of the stored records, as another controller uses it. The reader caches terminal states.
func (h *harness) records() *lookup.Jobs {
	states := lookup.NewTerminalStates()
	unlimited := rate.NewLimiter(rate.Inf, 1)
	return &lookup.Jobs{Client: store.NewClient("state:1", h.state), CachedFinal: states.Get, CacheFinal: states.Remember, Queue: lookup.NewFairQueue(h.clock, unlimited)}
}

// statusOnRecord returns the status of a job according to the stored records.
func statusOnRecord(records *lookup.Jobs, id string) (status api.JobStatus, found bool, err error) {
	record, err := records.Read(context.Background(), id)
	if err != nil || !record.Found {
		return status, false, err
	}
	status, err = records.Status(context.Background(), id, record, id)
	return status, err == nil, err
}

// lookUpDependencies looks up the dependencies whose state the leader does not know.
func (h *harness) lookUpDependencies() {
	h.LookUpDependencies(context.Background(), h.records(), h.UnresolvedDependencies())
}

// A dependant starts only after the completion of its dependency is stored. That the last task of the dependency has
// exited, or that the leader has decided the terminal state, is not enough.
func TestDependantStartsAfterCompletionIsStored(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 1, smallJob)
	h.submit("run-000002", 1, dependingOn("run-000001"))
	if h.status("run-000002") != api.Pending || h.usage["t"].CPUs != 0 || !h.jobs["run-000002"].waitsForDependencies {
		t.Fatal("the dependant does not wait for its dependency")
	}
	if all, _ := h.demand(); all > 0.2 {
		t.Errorf("the demand is %.1f CPUs, want none for the waiting dependant", all)
	}
	h.heartbeat("a1", 1)
	h.Place()
	h.commit()
	runCommand := h.starts("run-000001/0")[0].response.Commands[0]
	h.heartbeat("a1", 1, taskReport("run-000001/0", runCommand.Attempt, api.TaskRunning, ""))
	h.heartbeat("a1", 1, taskReport("run-000001/0", runCommand.Attempt, api.TaskExited, api.CauseDone))
	if h.jobs["run-000001"].FinalState != api.Done {
		t.Fatal("the dependency has no terminal state after its last task exited")
	}
	h.Place()
	if len(h.jobs["run-000002"].allocations) > 0 {
		t.Fatal("the dependant was placed before the completion was stored")
	}
	if state, _ := h.dependencies.terminalState("run-000001"); state != "" {
		t.Fatalf("the terminal state %s is visible to new dependants before it is stored", state)
	}
	h.commit()
	h.Place()
	if len(h.jobs["run-000002"].allocations) != 1 {
		t.Error("the dependant does not start after the completion was stored")
	}
}

// One stored record decides a cancellation. However many of the following writes are done when the leader fails, the
// leader, a controller that only reads records and the next leader all report every direct and transitive dependant as
// cancelled.
func TestCancellationReachesAllDependantsOnceStored(t *testing.T) {
	for steps := range 12 {
		h := newHarness(t)
		h.submit("run-000000", 1, smallJob)
		for i := 1; i < 30; i++ {
			// A chain of ten jobs, then jobs that depend on the first and the last of the chain.
			awaited := []string{fmt.Sprintf("run-%06d", i-1)}
			if i > 10 {
				awaited = []string{"run-000001", "run-000010"}
			}
			h.submit(fmt.Sprintf("run-%06d", i), 1, dependingOn(awaited...))
		}
		h.Cancel(cancelledContext(), "run-000000")
		h.committer.Step(context.Background())
		if record := string(h.state.Get(store.JobKey("run-000000"))); !strings.Contains(record, api.Cancelled) {
			t.Fatalf("the cancellation was not written first: %s", record)
		}
		for range steps {
			h.committer.Step(context.Background())
		}
		check := func(reader string, stateOf func(id string) string) {
			for i := 1; i < 30; i++ {
				if id := fmt.Sprintf("run-%06d", i); stateOf(id) != api.Cancelled {
					t.Fatalf("%s, after %d further writes: %s is %q", reader, steps, id, stateOf(id))
				}
			}
		}
		check("the leader", h.status)
		records := h.records()
		check("a reader of the records", func(id string) string {
			status, _, err := statusOnRecord(records, id)
			if err != nil {
				t.Fatal(err)
			}
			return status.State
		})
		h.elect()
		for range 5 {
			h.lookUpDependencies()
		}
		check("the next leader", func(id string) string {
			if status := h.status(id); status != "" {
				return status
			}
			status, _, _ := statusOnRecord(h.records(), id)
			return status.State
		})
		h.commit()
		if left := h.jobs; len(left) > 0 {
			t.Fatalf("%d jobs are left in memory", len(left))
		}
	}
}

// A thousand dependants of one job are cancelled with it by one transaction, and their final records are written within
// the limits of the state service.
func TestCancellationOfJobWithThousandDependants(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000000", 1, smallJob)
	for i := 1; i <= 1000; i++ {
		h.submit(fmt.Sprintf("run-%06d", i), 1, dependingOn("run-000000"))
	}
	h.Cancel(cancelledContext(), "run-000000")
	h.committer.Step(context.Background())
	for i := 1; i <= 1000; i++ {
		if state := h.status(fmt.Sprintf("run-%06d", i)); state != api.Cancelled {
			t.Fatalf("run-%06d is %q", i, state)
		}
	}
	h.commit()
	if h.state.LargestTransaction.Ops > 12 || len(h.state.Refused) > 0 || len(h.jobs) > 0 {
		t.Errorf("largest transaction %d operations, refused %v, %d jobs left", h.state.LargestTransaction.Ops, h.state.Refused, len(h.jobs))
	}
}

// The cancellation of a job that is already done has no effect on the job's dependants.
func TestCancelOfDoneJobDoesNotCancelDependants(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 1, smallJob)
	h.submit("run-000002", 1, dependingOn("run-000001"))
	h.complete("run-000001", "a1")
	if response, ok := h.Cancel(cancelledContext(), "run-000001"); ok {
		t.Fatalf("%d %s: the job is still in memory", response.Status, response.Body)
	}
	h.complete("run-000002", "a1")
	if state := h.status("run-000002"); state != api.Done {
		t.Errorf("the dependant is %q, want %s", state, api.Done)
	}
}
