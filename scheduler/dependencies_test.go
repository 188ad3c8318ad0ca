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

// What a pipeline's last job must keep reaches those before it: the rank below production's, and a
// latest start that leaves time for what lies between, in waves where the fleet is small. It does
// so again whenever something of that changes.
func TestDependenciesInheritUrgency(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 1, func(x *api.Submission) { smallJob(x); x.Rank = "low" })
	h.submit("run-000002", 4, func(x *api.Submission) { x.Awaits, x.Rank = []string{"run-000001"}, "low" })
	h.submit("run-000003", 1, func(x *api.Submission) {
		awaiting("run-000002")(x)
		x.Rank, x.EstimateS, x.DeadlineS, x.ImageGB = "prod", 10, 200, 0
	})
	h.sortQueues()
	first, second, last := h.jobs["run-000001"], h.jobs["run-000002"], h.jobs["run-000003"]
	if first.rank != api.RankProduction-1 || second.rank != api.RankProduction-1 || last.rank != api.RankProduction {
		t.Errorf("ranks %d, %d, %d", first.rank, second.rank, last.rank)
	}
	// 10 s for the last; 16 processors' worth of the second on 8 take two waves of 30 s, its
	// fetch of 1 GB 2 s.
	due := last.AcceptedAt + 200_000 - tuning.StageGapMS - 10_000
	if got := second.inherited.DuesMS; len(got) != 1 || got[0] != due {
		t.Errorf("the second is due at %v, want %d", got, due)
	}
	if got := first.inherited.DuesMS; len(got) != 1 || got[0] != due-tuning.StageGapMS-62_000 {
		t.Errorf("the first is due at %v, want %d", got, due-tuning.StageGapMS-62_000)
	}
	h.Cancel(cancelledContext(), "run-000003")
	h.commit()
	h.sortQueues()
	if first.rank != api.RankLow || len(first.inherited.DuesMS) > 0 {
		t.Errorf("it is still pressed: rank %d, due at %v", first.rank, first.inherited.DuesMS)
	}
}

// records reads the records alone, as another controller does; it remembers what is over.
func (h *harness) records() *lookup.Jobs {
	states := lookup.NewTerminalStates()
	unlimited := rate.NewLimiter(rate.Inf, 1)
	return &lookup.Jobs{Client: store.NewClient("state:1", h.state), Recall: states.Get, Remember: states.Remember, Queue: lookup.NewFairQueue(h.clock, unlimited)}
}

// statusOnRecord is what the records say of a job.
func statusOnRecord(records *lookup.Jobs, id string) (starts api.JobStatus, found bool, err error) {
	x, err := records.Read(context.Background(), id)
	if err != nil || !x.Found {
		return starts, false, err
	}
	starts, err = records.Status(context.Background(), id, x, id)
	return starts, err == nil, err
}

// lookUpDependencies looks up what the leader does not know of awaited jobs.
func (h *harness) lookUpDependencies() {
	h.LookUpDependencies(context.Background(), h.records(), h.UnresolvedDependencies())
}

// A job waits until the done of all that it awaits is on record: not when the last task ends,
// and not when the leader has decided it.
func TestDependentStartsAfterCompletionIsRecorded(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 1, smallJob)
	h.submit("run-000002", 1, awaiting("run-000001"))
	if h.status("run-000002") != api.Pending || h.usage["t"].CPUs != 0 || !h.jobs["run-000002"].waitsForDependencies {
		t.Fatal("it does not wait")
	}
	if all, _ := h.demand(); all > 0.2 {
		t.Errorf("machines for %.1f processors are asked for", all)
	}
	h.heartbeat("a1", 1)
	h.Place()
	h.commit()
	starts := h.starts("run-000001/0")[0].response.Commands[0]
	h.heartbeat("a1", 1, taskReport("run-000001/0", starts.Attempt, api.TaskRunning, ""))
	h.heartbeat("a1", 1, taskReport("run-000001/0", starts.Attempt, api.TaskExited, api.CauseDone))
	if h.jobs["run-000001"].FinalState != api.Done {
		t.Fatal("not decided")
	}
	h.Place()
	if len(h.jobs["run-000002"].allocations) > 0 {
		t.Fatal("it was placed before the record")
	}
	if state, _ := h.dependencies.terminalState("run-000001"); state != "" {
		t.Fatalf("one that is accepted now would take it for %s", state)
	}
	h.commit()
	h.Place()
	if len(h.jobs["run-000002"].allocations) != 1 {
		t.Error("it does not start after the record")
	}
}

// A cancellation is decided by one record. Whatever of what follows was written when the leader
// dies, every job behind it is withdrawn for whoever is asked, and for the next leader.
func TestCancellationReachesAllAfterOneRecord(t *testing.T) {
	for steps := range 12 {
		h := newHarness(t)
		h.submit("run-000000", 1, smallJob)
		for i := 1; i < 30; i++ {
			// A chain of ten, and twenty that await its first and its last.
			runningOn := []string{fmt.Sprintf("run-%06d", i-1)}
			if i > 10 {
				runningOn = []string{"run-000001", "run-000010"}
			}
			h.submit(fmt.Sprintf("run-%06d", i), 1, awaiting(runningOn...))
		}
		h.Cancel(cancelledContext(), "run-000000")
		h.committer.Step(context.Background())
		if rec := string(h.state.Get(store.JobKey("run-000000"))); !strings.Contains(rec, api.Cancelled) {
			t.Fatalf("the cancellation is not the first record: %s", rec)
		}
		for range steps {
			h.committer.Step(context.Background())
		}
		check := func(who string, says func(id string) string) {
			for i := 1; i < 30; i++ {
				if id := fmt.Sprintf("run-%06d", i); says(id) != api.Cancelled {
					t.Fatalf("%s, after %d further writes: %s is %q", who, steps, id, says(id))
				}
			}
		}
		check("the leader", h.status)
		records := h.records()
		check("a node alone", func(id string) string {
			starts, _, err := statusOnRecord(records, id)
			if err != nil {
				t.Fatal(err)
			}
			return starts.State
		})
		h.elect()
		for range 5 {
			h.lookUpDependencies()
		}
		check("the next leader", func(id string) string {
			if starts := h.status(id); starts != "" {
				return starts
			}
			starts, _, _ := statusOnRecord(h.records(), id)
			return starts.State
		})
		h.commit()
		if left := h.jobs; len(left) > 0 {
			t.Fatalf("%d jobs are left", len(left))
		}
	}
}

// A thousand jobs behind one are withdrawn as one, and written within the limits.
func TestThousandDependentsOfOneJob(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000000", 1, smallJob)
	for i := 1; i <= 1000; i++ {
		h.submit(fmt.Sprintf("run-%06d", i), 1, awaiting("run-000000"))
	}
	h.Cancel(cancelledContext(), "run-000000")
	h.committer.Step(context.Background())
	for i := 1; i <= 1000; i++ {
		if starts := h.status(fmt.Sprintf("run-%06d", i)); starts != api.Cancelled {
			t.Fatalf("run-%06d is %q", i, starts)
		}
	}
	h.commit()
	if h.state.Largest.Ops > 12 || len(h.state.Refused) > 0 || len(h.jobs) > 0 {
		t.Errorf("%d changes at once, refused %v, %d jobs left", h.state.Largest.Ops, h.state.Refused, len(h.jobs))
	}
}

// A cancellation that comes too late, and is answered with done, stops nothing behind the job.
func TestCancelOfADoneJobStopsNothing(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 1, smallJob)
	h.submit("run-000002", 1, awaiting("run-000001"))
	h.complete("run-000001", "a1")
	if a, ok := h.Cancel(cancelledContext(), "run-000001"); ok {
		t.Fatalf("%d %s: it is still in memory", a.Status, a.Body)
	}
	h.complete("run-000002", "a1")
	if starts := h.status("run-000002"); starts != api.Done {
		t.Errorf("%q", starts)
	}
}
