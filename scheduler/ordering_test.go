package scheduler

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"switchferry/api"
)

// A job within its team's guarantee goes before another team's that came first.
func TestGuaranteedJobsGoFirst(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 4, nil)
	h.clock.Advance(time.Second)
	h.submit("run-000002", 2, func(x *api.Submission) { x.Team = "sure" })
	h.submit("run-000003", 3, func(x *api.Submission) { x.Team = "sure" })
	h.heartbeat("a1", 1)
	h.Place()
	if live := len(h.jobs["run-000002"].allocations); live != 2 {
		t.Errorf("%d of 2 guaranteed tasks placed", live)
	}
	// The third does not fit into the guarantee with the second.
	if h.jobs["run-000003"].overQuota != 1 || h.jobs["run-000001"].overQuota != 1 {
		t.Error("counted as guaranteed")
	}
}

// A machine with work of its own queue first serves an earlier job that waits
// elsewhere: on the grown deployments a job's last task waited up to 160 s in the
// queue of one machine while later jobs started on others.
func TestEarlierJobIsServedBeforeOwnQueue(t *testing.T) {
	h := newHarness(t)
	for _, m := range []string{"a1", "a2"} {
		h.heartbeat(m, 1)
	}
	h.submit("run-000001", 4, nil)
	h.settleStarts()
	h.clock.Advance(time.Second)
	h.submit("run-000002", 1, nil)
	h.clock.Advance(time.Second)
	h.submit("run-000003", 1, nil)
	// The earlier job's task waits at one machine, the later one's at the other.
	for i, id := range []string{"run-000002", "run-000003"} {
		job := h.jobs[id]
		h.machines[[]string{"a1", "a2"}[i]].enqueue(job, job.pending)
		job.pending, job.queued = nil, 1
	}
	var ended []api.TaskReport
	for _, r := range h.machines["a2"].Attempts {
		ended = append(ended, taskReport(r.Task, r.Attempt, api.TaskExited, api.CauseDone))
		break
	}
	for _, r := range h.machines["a2"].Attempts {
		if r.Task != ended[0].Task {
			ended = append(ended, r)
		}
	}
	h.again("a1")
	h.heartbeat("a2", 1, ended...)
	h.Place()
	if alloc := h.jobs["run-000002"].allocations[0]; alloc == nil || alloc.machine.Name != "a2" {
		t.Errorf("the earlier job did not start on the machine with room: %+v", alloc)
	}
	if len(h.jobs["run-000003"].allocations) != 0 {
		t.Error("the later job went first")
	}
}

// Of two jobs as urgent the one that takes less of the fleet goes first, but one
// that is much more urgent goes before it: on overloaded days one job of 70 tasks
// made several small ones late.
func TestSmallJobsGoFirstWhenAsUrgent(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	due := func(d float64) func(*api.Submission) {
		return func(x *api.Submission) { x.DeadlineS = d }
	}
	h.submit("run-000001", 30, due(4000))
	h.submit("run-000002", 2, due(4000))
	h.submit("run-000003", 30, due(400))
	h.submit("run-000004", api.MaxTasks, func(x *api.Submission) { x.DeadlineS, x.EstimateS = 1e15, 1e14 })
	h.sortQueues()
	var got []string
	for _, job := range h.jobOrder {
		got = append(got, job.id)
	}
	if want := []string{"run-000002", "run-000003", "run-000001", "run-000004"}; !slices.Equal(got, want) {
		t.Errorf("order %v", got)
	}
}

// A job that missed its deadline does not wait behind all others while it can
// still meet the multiple of it that its class has an aim for.
func TestLateJobHasItsNextAim(t *testing.T) {
	h := newHarness(t)
	h.deadlineMultiples["c"] = []float64{2}
	due := func(x *api.Submission) { x.DeadlineS = 60 }
	h.submit("run-000001", 1, due)
	job := h.jobs["run-000001"]
	at := func(after float64) int64 {
		return h.latestStart(job, job.AcceptedAt+int64(after*1000)) - job.AcceptedAt
	}
	if at(0) != 30_000 || at(31) != 90_000 || at(91) != math.MaxInt64-job.AcceptedAt {
		t.Errorf("latest starts %d, %d, %d", at(0), at(31), at(91))
	}
}

// A job that comes within its team's guarantee only as earlier ones end goes
// first in the queues, but nothing is stopped for it: two teams above their
// guarantees stopped each other's arrays over and over.
func TestNothingIsPreemptedForJobsBeyondGuarantee(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		h.heartbeat(fmt.Sprintf("a%d", i), 1)
	}
	h.submit("run-000001", 6, func(x *api.Submission) { x.Team = "lent" })
	h.settleStarts()
	h.submit("run-000002", 4, func(x *api.Submission) { x.Team = "sure" })
	h.submit("run-000003", 4, func(x *api.Submission) { x.Team = "sure" })
	h.sortQueues()
	// The first one ends somewhere else: the second now fits.
	h.finish(h.jobs["run-000002"], api.Cancelled)
	h.commit()
	for range 8 {
		h.clock.Advance(time.Second)
		for i := range 3 {
			h.again(fmt.Sprintf("a%d", i))
		}
		h.Place()
	}
	job := h.jobs["run-000003"]
	if job.overQuota != 0 || job.guaranteed {
		t.Fatalf("beyond %d, entitled %v", job.overQuota, job.guaranteed)
	}
	for _, alloc := range h.jobs["run-000001"].allocations {
		if alloc.stopping {
			t.Errorf("%s was stopped", alloc.key)
		}
	}
}

// Under a backlog many times a team's guarantee, its oldest jobs come to lie within it. They must
// not go before younger ones that can still be in time: queues went by arrival then. One that came
// within the guarantee does (docs/incidents/fleet-guarantee-by-arrival.md).
func TestGuaranteeIsNotByArrival(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	sure := func(x *api.Submission) { x.Team, x.DeadlineS, x.EstimateS = "sure", 60, 30 }
	h.submit("run-000001", 4, sure)
	h.Place()
	h.submit("run-000002", 2, sure) // overQuota the 16 processors, as the first takes them all
	h.Place()
	h.Cancel(cancelledContext(), "run-000001")
	h.commit()
	h.clock.Advance(40 * time.Second)
	h.submit("run-000003", 4, sure)
	h.heartbeat("a1", 1)
	h.Place()
	order := func() (out []string) {
		for _, job := range h.jobOrder {
			if job.FinalState == "" {
				out = append(out, job.id)
			}
		}
		return out
	}
	if got := order(); !slices.Equal(got, []string{"run-000003", "run-000002"}) {
		t.Errorf("order %v: the one that is late has come within the guarantee, the other can be in time", got)
	}
	h.Cancel(cancelledContext(), "run-000002")
	h.submit("run-000004", 1, func(x *api.Submission) { x.Team, x.Rank = "left", "normal" })
	h.Place()
	if got := order(); len(got) != 2 || got[0] != "run-000004" {
		t.Errorf("order %v: one that came within its team's guarantee goes first", got)
	}
}
