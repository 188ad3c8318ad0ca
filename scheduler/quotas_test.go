package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"switchferry/api"
)

func TestTeamStaysWithinItsLimit(t *testing.T) {
	h := newHarness(t)
	for i := range 4 {
		h.heartbeat(fmt.Sprintf("a%d", i), 1)
	}
	h.submit("run-000001", 6, func(x *api.Submission) { x.Team = "small" })
	h.Place()
	h.commit()
	n := 0
	for i := range 6 {
		n += len(h.starts(taskKey("run-000001", i)))
	}
	if n != 2 {
		t.Errorf("%d tasks of 4 processors within a limit of 8", n)
	}
}

// For a job that waits within its team's guarantee, work of the same rank that
// another team runs beyond its own is stopped, but not at once and never
// production.
func TestGuaranteePreemptsBorrowedWork(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 1, nil)
	h.submit("run-000002", 1, func(x *api.Submission) { x.Shape, x.Rank = api.Service, "prod" })
	h.Place()
	h.commit()
	h.answerCommands()
	var run []api.TaskReport
	for _, k := range []string{"run-000001/0", "run-000002/0"} {
		run = append(run, taskReport(k, h.starts(k)[0].response.Commands[0].Attempt, api.TaskRunning, ""))
	}
	h.heartbeat("a1", 1, run...)
	h.submit("run-000003", 2, func(x *api.Submission) { x.Team = "sure" })
	h.Place()
	if h.jobs["run-000001"].allocations[0].stopping {
		t.Fatal("stopped at once")
	}
	for range 7 {
		h.clock.Advance(time.Second)
		h.heartbeat("a1", 1, run...)
	}
	h.Place()
	if !h.jobs["run-000001"].allocations[0].stopping || len(h.jobs["run-000003"].allocations) != 1 {
		t.Error("no room for guaranteed work")
	}
	if h.jobs["run-000002"].allocations[0].stopping {
		t.Error("production was stopped")
	}
}

// Guaranteed work takes from another team no more than that one borrowed, also
// when many tasks wait at once and none of those being stopped is gone yet.
func TestGuaranteePreemptsNoMoreThanWasBorrowed(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		h.heartbeat(fmt.Sprintf("a%d", i), 1)
	}
	// "lent" runs 24 processors; 16 of them are its own.
	h.submit("run-000001", 6, func(x *api.Submission) { x.Team = "lent" })
	h.settleStarts()
	h.submit("run-000002", 4, func(x *api.Submission) { x.Team = "sure" })
	for range 8 {
		h.clock.Advance(time.Second)
		for i := range 3 {
			h.again(fmt.Sprintf("a%d", i))
		}
		h.Place()
	}
	stopped := 0
	for _, alloc := range h.jobs["run-000001"].allocations {
		if alloc.stopping {
			stopped++
		}
	}
	if stopped != 2 {
		t.Errorf("%d tasks stopped, want the 2 that were borrowed", stopped)
	}
}

// A guaranteed job must not stop work of a higher rank, which would stop its
// tasks in turn: on a drawn day the two did so over a thousand times.
func TestGuaranteeAndRankDoNotPreemptEachOther(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 2, func(x *api.Submission) { x.Rank = "high" })
	h.Place()
	h.commit()
	h.answerCommands()
	var run []api.TaskReport
	for i := range 2 {
		k := taskKey("run-000001", i)
		run = append(run, taskReport(k, h.starts(k)[0].response.Commands[0].Attempt, api.TaskRunning, ""))
	}
	h.submit("run-000002", 2, func(x *api.Submission) { x.Team = "sure" })
	for range 12 {
		h.clock.Advance(time.Second)
		h.heartbeat("a1", 1, run...)
		h.Place()
		h.commit()
	}
	for _, alloc := range h.jobs["run-000001"].allocations {
		if alloc.stopping {
			t.Errorf("%s was stopped by work of lower rank", alloc.key)
		}
	}
}

// A limit that sinks below what runs: nothing new starts, and what runs is left, or stopped if the document says so,
// the lowest rank first. explain says why others wait; a job that the limit can never serve stays known.
func TestLimitSinksBelowWhatRuns(t *testing.T) {
	for _, stop := range []bool{false, true} {
		h := newHarness(t)
		h.configuration = configured(t, oneTeam("40"))
		h.heartbeat("a1", 1)
		h.submit("run-000001", 2, func(x *api.Submission) { smallJob(x); x.Team, x.CPUs, x.Rank = "t", 1, "low" })
		h.submit("run-000002", 2, func(x *api.Submission) { smallJob(x); x.Team, x.CPUs = "t", 1 })
		h.Place()
		h.commit()
		running := 0
		for _, id := range []string{"run-000001", "run-000002"} {
			for _, alloc := range h.jobs[id].allocations {
				alloc.reported, alloc.starts.direct = true, 0
				running++
			}
		}
		text := oneTeam("2")
		if stop {
			text = "[over_limit]\nrunning = \"stop\"\nstop_within_s = 1\n" + text
		}
		h.ApplyConfiguration(configured(t, text))
		h.submit("run-000003", 1, func(x *api.Submission) { smallJob(x); x.Team, x.CPUs = "t", 1 })
		h.MaintainFleet()
		h.Place()
		stopped := map[string]int{}
		for id, job := range h.jobs {
			for _, alloc := range job.allocations {
				if alloc.stopping {
					stopped[id]++
				}
			}
		}
		if running != 4 || len(h.jobs["run-000003"].allocations) != 0 {
			t.Fatalf("%d ran, %d of the new job do", running, len(h.jobs["run-000003"].allocations))
		}
		if want := map[bool]int{false: 0, true: 2}[stop]; stopped["run-000001"] != want || stopped["run-000002"] != 0 {
			t.Errorf("stop %v: stopped %v", stop, stopped)
		}
		if x, _ := h.Explain("run-000003"); !strings.Contains(strings.Join(x.Why, " "), "as much as its limit allows") {
			t.Errorf("explained by %v", x.Why)
		}
		for text, why := range map[string]string{oneTeam("0.5"): "more at once than the limit of team t allows since revision 3", "[[teams]]\nname = \"u\"\n": "team t is not in the configuration any more (revision 3)"} {
			h.ApplyConfiguration(configured(t, text))
			if x, ok := h.Explain("run-000003"); !ok || !strings.Contains(strings.Join(x.Why, " "), why) {
				t.Errorf("explained by %v", x.Why)
			}
		}
	}
}

// A start whose answer is lost is not stopped for a limit before its task is seen: nothing would ever prove that it is
// gone, and it would hold the limit's room for as long as this leader leads.
func TestStartsUnderWayAreNotStoppedForALimit(t *testing.T) {
	h := newHarness(t)
	h.configuration = configured(t, oneTeam("40"))
	h.heartbeat("a1", 1)
	h.submit("run-000001", 2, func(x *api.Submission) { smallJob(x); x.Team, x.CPUs = "t", 1 })
	h.Place()
	h.commit()
	h.ApplyConfiguration(configured(t, "[over_limit]\nrunning = \"stop\"\n"+oneTeam("1")))
	h.MaintainFleet()
	stopped := func(then func(alloc *allocation)) (n int) {
		for _, alloc := range h.jobs["run-000001"].allocations {
			if !alloc.runSent {
				t.Fatal("a start was not sent")
			}
			if alloc.stopping {
				n++
			}
			then(alloc)
		}
		return n
	}
	if n := stopped(func(alloc *allocation) { alloc.reported = true }); n != 0 {
		t.Fatalf("%d tasks are stopped before they are seen", n)
	}
	h.MaintainFleet()
	if n := stopped(func(alloc *allocation) { alloc.starts.direct = 0 }); n != 0 {
		t.Fatalf("%d tasks are stopped while their start may be executed once more", n)
	}
	h.MaintainFleet()
	if n := stopped(func(*allocation) {}); n != 1 {
		t.Errorf("%d of two tasks are stopped once nothing is open, one is over the limit", n)
	}
}

// What was decided before a change and is not on record is counted until it is.
func TestUndecidedStartsAreCounted(t *testing.T) {
	h := newHarness(t)
	h.configuration = configured(t, oneTeam("40"))
	h.heartbeat("a1", 1)
	h.submit("run-000001", 2, func(x *api.Submission) { smallJob(x); x.Team, x.CPUs = "t", 1 })
	h.Place()
	undecided := h.ApplyConfiguration(configured(t, oneTeam("2")))
	if n := undecided(); n != 2 {
		t.Fatalf("%d starts are not on record, want 2", n)
	}
	h.commit()
	if n := undecided(); n != 0 {
		t.Errorf("%d after the commit", n)
	}
}
