package scheduler

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"switchferry/api"
)

// Checks that a job within its team's guarantee is ordered before a job of another team that arrived earlier.
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
		t.Error("a job beyond its team's guarantee counts as guaranteed")
	}
}

// Checks that a machine serves an earlier job that is queued elsewhere before a later job in its own queue. Without
// this, the last task of a job waited up to 160 s in the queue of one machine while later jobs started on other
// machines.
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
	// The earlier job's task is queued on a1, the later job's task on a2.
	for i, id := range []string{"run-000002", "run-000003"} {
		job := h.jobs[id]
		h.machines[[]string{"a1", "a2"}[i]].enqueue(job, job.pending)
		job.pending, job.queued = nil, 1
	}
	var reports []api.TaskReport
	for _, r := range h.machines["a2"].Attempts {
		reports = append(reports, taskReport(r.Task, r.Attempt, api.TaskExited, api.CauseDone))
		break
	}
	for _, r := range h.machines["a2"].Attempts {
		if r.Task != reports[0].Task {
			reports = append(reports, r)
		}
	}
	h.repeatHeartbeat("a1")
	h.heartbeat("a2", 1, reports...)
	h.Place()
	if alloc := h.jobs["run-000002"].allocations[0]; alloc == nil || alloc.machine.Name != "a2" {
		t.Errorf("the earlier job did not start on the machine with free resources: %+v", alloc)
	}
	if len(h.jobs["run-000003"].allocations) != 0 {
		t.Error("the later job started first")
	}
}

// Checks that of two equally urgent jobs the one with less work is ordered first, and that a much more urgent job is
// ordered before a smaller one. Without this, under overload one job of 70 tasks made several small jobs late.
func TestSmallerJobGoesFirstAtEqualUrgency(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	withDeadline := func(d float64) func(*api.Submission) {
		return func(x *api.Submission) { x.DeadlineS = d }
	}
	h.submit("run-000001", 30, withDeadline(4000))
	h.submit("run-000002", 2, withDeadline(4000))
	h.submit("run-000003", 30, withDeadline(400))
	h.submit("run-000004", api.MaxTasks, func(x *api.Submission) { x.DeadlineS, x.EstimateS = 1e15, 1e14 })
	h.sortQueues()
	var got []string
	for _, job := range h.jobOrder {
		got = append(got, job.id)
	}
	if want := []string{"run-000002", "run-000003", "run-000001", "run-000004"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

// Checks that a job that missed its deadline is not ordered after all others while it can still meet a multiple of the
// deadline for which its class has an objective.
func TestLateJobIsOrderedByNextObjective(t *testing.T) {
	h := newHarness(t)
	h.deadlineMultiples["c"] = []float64{2}
	withDeadline := func(x *api.Submission) { x.DeadlineS = 60 }
	h.submit("run-000001", 1, withDeadline)
	job := h.jobs["run-000001"]
	latestStartAfter := func(after float64) int64 {
		return h.latestStart(job, job.AcceptedAt+int64(after*1000)) - job.AcceptedAt
	}
	if latestStartAfter(0) != 30_000 || latestStartAfter(31) != 90_000 || latestStartAfter(91) != math.MaxInt64-job.AcceptedAt {
		t.Errorf("latest starts %d, %d, %d ms after acceptance, want 30000, 90000 and none", latestStartAfter(0), latestStartAfter(31), latestStartAfter(91))
	}
}

// Checks that nothing is preempted for a job that comes within its team's guarantee only because earlier jobs end.
// Without this, two teams above their guarantees preempted each other's arrays without end.
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
	// Once the team's first job has ended, the second one fits into the guarantee.
	h.finish(h.jobs["run-000002"], api.Cancelled)
	h.commit()
	for range 8 {
		h.clock.Advance(time.Second)
		for i := range 3 {
			h.repeatHeartbeat(fmt.Sprintf("a%d", i))
		}
		h.Place()
	}
	job := h.jobs["run-000003"]
	if job.overQuota != 0 || job.guaranteed {
		t.Fatalf("overQuota %d, guaranteed %v, want 0 and false", job.overQuota, job.guaranteed)
	}
	for _, alloc := range h.jobs["run-000001"].allocations {
		if alloc.stopping {
			t.Errorf("%s was stopped", alloc.key)
		}
	}
}

// Checks the order within a backlog that exceeds a team's guarantee many times. The oldest jobs come within the
// guarantee as earlier ones end. They must not be ordered before younger jobs that can still meet their deadlines, or
// the queues would be ordered by arrival. Only a job that was within the guarantee on arrival is ordered first
// (docs/incidents/fleet-guarantee-by-arrival.md).
func TestGuaranteedBacklogIsNotOrderedByArrival(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	inSureTeam := func(x *api.Submission) { x.Team, x.DeadlineS, x.EstimateS = "sure", 60, 30 }
	h.submit("run-000001", 4, inSureTeam)
	h.Place()
	h.submit("run-000002", 2, inSureTeam) // beyond the guarantee of 16 CPUs, which the first job uses completely
	h.Place()
	h.Cancel(cancelledContext(), "run-000001")
	h.commit()
	h.clock.Advance(40 * time.Second)
	h.submit("run-000003", 4, inSureTeam)
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
		t.Errorf("order %v: want the job that can meet its deadline before the late one that has come within the guarantee", got)
	}
	h.Cancel(cancelledContext(), "run-000002")
	h.submit("run-000004", 1, func(x *api.Submission) { x.Team, x.Rank = "left", "normal" })
	h.Place()
	if got := order(); len(got) != 2 || got[0] != "run-000004" {
		t.Errorf("order %v: want the job that was within its team's guarantee on arrival first", got)
	}
}
