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
		t.Errorf("%d tasks of 4 CPUs started within a limit of 8 CPUs, want 2", n)
	}
}

// Checks that for a job that waits within its team's guarantee, allocations of the same rank that another team runs
// beyond its own guarantee are preempted, but not at once, and that production is never preempted.
func TestGuaranteePreemptsBorrowedWork(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 1, nil)
	h.submit("run-000002", 1, func(x *api.Submission) { x.Shape, x.Rank = api.Service, "prod" })
	h.Place()
	h.commit()
	h.answerCommands()
	var runningTasks []api.TaskReport
	for _, k := range []string{"run-000001/0", "run-000002/0"} {
		runningTasks = append(runningTasks, taskReport(k, h.starts(k)[0].response.Commands[0].Attempt, api.TaskRunning, ""))
	}
	h.heartbeat("a1", 1, runningTasks...)
	h.submit("run-000003", 2, func(x *api.Submission) { x.Team = "sure" })
	h.Place()
	if h.jobs["run-000001"].allocations[0].stopping {
		t.Fatal("an allocation was preempted at once")
	}
	for range 7 {
		h.clock.Advance(time.Second)
		h.heartbeat("a1", 1, runningTasks...)
	}
	h.Place()
	if !h.jobs["run-000001"].allocations[0].stopping || len(h.jobs["run-000003"].allocations) != 1 {
		t.Error("the borrowed resources were not freed for the guaranteed job")
	}
	if h.jobs["run-000002"].allocations[0].stopping {
		t.Error("a production task was preempted")
	}
}

// Checks that a guaranteed job preempts no more of another team's allocations than that team borrowed, even when many
// tasks wait at once and none of the preempted tasks has exited yet.
func TestGuaranteePreemptsNoMoreThanWasBorrowed(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		h.heartbeat(fmt.Sprintf("a%d", i), 1)
	}
	// Team "lent" uses 24 CPUs and has a guarantee of 16.
	h.submit("run-000001", 6, func(x *api.Submission) { x.Team = "lent" })
	h.settleStarts()
	h.submit("run-000002", 4, func(x *api.Submission) { x.Team = "sure" })
	for range 8 {
		h.clock.Advance(time.Second)
		for i := range 3 {
			h.repeatHeartbeat(fmt.Sprintf("a%d", i))
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
		t.Errorf("%d tasks preempted, want the 2 beyond the guarantee", stopped)
	}
}

// Checks that a guaranteed job does not preempt allocations of a higher rank. Otherwise these would preempt its tasks in
// turn; in a simulated day two jobs preempted each other more than a thousand times.
func TestGuaranteeAndRankDoNotPreemptEachOther(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 2, func(x *api.Submission) { x.Rank = "high" })
	h.Place()
	h.commit()
	h.answerCommands()
	var runningTasks []api.TaskReport
	for i := range 2 {
		k := taskKey("run-000001", i)
		runningTasks = append(runningTasks, taskReport(k, h.starts(k)[0].response.Commands[0].Attempt, api.TaskRunning, ""))
	}
	h.submit("run-000002", 2, func(x *api.Submission) { x.Team = "sure" })
	for range 12 {
		h.clock.Advance(time.Second)
		h.heartbeat("a1", 1, runningTasks...)
		h.Place()
		h.commit()
	}
	for _, alloc := range h.jobs["run-000001"].allocations {
		if alloc.stopping {
			t.Errorf("%s was preempted for a job of lower rank", alloc.key)
		}
	}
}

// Checks what happens when a team's limit is lowered below its usage: no new tasks start, and running tasks continue or,
// if the configuration says so, are stopped, the lowest rank first. Explain returns why other jobs wait, and a job that
// can never start within the limit is kept.
func TestLimitLoweredBelowUsage(t *testing.T) {
	for _, stop := range []bool{false, true} {
		h := newHarness(t)
		h.configuration = parseConfiguration(t, oneTeamConfiguration("40"))
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
		text := oneTeamConfiguration("2")
		if stop {
			text = "[over_limit]\nrunning = \"stop\"\nstop_within_s = 1\n" + text
		}
		h.ApplyConfiguration(parseConfiguration(t, text))
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
			t.Fatalf("%d tasks ran before and %d of the new job run, want 4 and 0", running, len(h.jobs["run-000003"].allocations))
		}
		if want := map[bool]int{false: 0, true: 2}[stop]; stopped["run-000001"] != want || stopped["run-000002"] != 0 {
			t.Errorf("stop %v: stopped tasks by job %v", stop, stopped)
		}
		if x, _ := h.Explain("run-000003"); !strings.Contains(strings.Join(x.Reasons, " "), "as much as its limit allows") {
			t.Errorf("reasons %v, want that the team uses as much as its limit allows", x.Reasons)
		}
		for text, why := range map[string]string{oneTeamConfiguration("0.5"): "more at once than the limit of team t allows since revision 3", "[[teams]]\nname = \"u\"\n": "team t is not in the configuration any more (revision 3)"} {
			h.ApplyConfiguration(parseConfiguration(t, text))
			if x, ok := h.Explain("run-000003"); !ok || !strings.Contains(strings.Join(x.Reasons, " "), why) {
				t.Errorf("reasons %v, want %q among them", x.Reasons, why)
			}
		}
	}
}

// Checks that a task whose start command was not answered is not stopped for a limit before a worker reports it.
// Otherwise nothing could confirm that it is gone, and it would count towards the limit for the rest of the term.
func TestUnansweredStartsAreNotStoppedForALimit(t *testing.T) {
	h := newHarness(t)
	h.configuration = parseConfiguration(t, oneTeamConfiguration("40"))
	h.heartbeat("a1", 1)
	h.submit("run-000001", 2, func(x *api.Submission) { smallJob(x); x.Team, x.CPUs = "t", 1 })
	h.Place()
	h.commit()
	h.ApplyConfiguration(parseConfiguration(t, "[over_limit]\nrunning = \"stop\"\n"+oneTeamConfiguration("1")))
	h.MaintainFleet()
	stopped := func(then func(alloc *allocation)) (n int) {
		for _, alloc := range h.jobs["run-000001"].allocations {
			if !alloc.runSent {
				t.Fatal("a start command was not sent")
			}
			if alloc.stopping {
				n++
			}
			then(alloc)
		}
		return n
	}
	if n := stopped(func(alloc *allocation) { alloc.reported = true }); n != 0 {
		t.Fatalf("%d tasks are stopped before they are reported", n)
	}
	h.MaintainFleet()
	if n := stopped(func(alloc *allocation) { alloc.starts.direct = 0 }); n != 0 {
		t.Fatalf("%d tasks are stopped while their start command may still be executed", n)
	}
	h.MaintainFleet()
	if n := stopped(func(*allocation) {}); n != 1 {
		t.Errorf("%d of 2 tasks are stopped after all start commands were answered, want the one beyond the limit", n)
	}
}

// Checks that the function returned by ApplyConfiguration counts the starts that were decided before the change until
// they are stored.
func TestUnstoredStartsAreCounted(t *testing.T) {
	h := newHarness(t)
	h.configuration = parseConfiguration(t, oneTeamConfiguration("40"))
	h.heartbeat("a1", 1)
	h.submit("run-000001", 2, func(x *api.Submission) { smallJob(x); x.Team, x.CPUs = "t", 1 })
	h.Place()
	unstoredStarts := h.ApplyConfiguration(parseConfiguration(t, oneTeamConfiguration("2")))
	if n := unstoredStarts(); n != 2 {
		t.Fatalf("%d starts are not stored, want 2", n)
	}
	h.commit()
	if n := unstoredStarts(); n != 0 {
		t.Errorf("%d starts are not stored after the commit, want 0", n)
	}
}
