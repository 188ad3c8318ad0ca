package scheduler

import (
	"strings"
	"testing"

	"switchferry/api"
	"switchferry/configuration"
	"switchferry/policy"
)

// configured is a configuration of one team.
func configured(t *testing.T, text string) *configuration.Active {
	t.Helper()
	d, err := configuration.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return d.Over(configuration.FromFiles(nil, policy.Default()), 3)
}

func oneTeam(limit string) string { return "[[teams]]\nname = \"t\"\ncpus_max = " + limit + "\n" }

// A limit that sinks below what runs: nothing new starts, and what runs is left, or stopped if the document says so,
// the lowest rank first. explain says why others wait; a job that the limit can never serve stays known.
func TestLimitSinksBelowWhatRuns(t *testing.T) {
	for _, stop := range []bool{false, true} {
		s := newStage(t)
		s.configuration = configured(t, oneTeam("40"))
		s.report("a1", 1)
		s.submit("run-000001", 2, func(x *api.Submission) { tiny(x); x.Team, x.CPUs, x.Rank = "t", 1, "low" })
		s.submit("run-000002", 2, func(x *api.Submission) { tiny(x); x.Team, x.CPUs = "t", 1 })
		s.Place()
		s.commit()
		running := 0
		for _, id := range []string{"run-000001", "run-000002"} {
			for _, alloc := range s.jobs[id].allocations {
				alloc.reported, alloc.unansweredRuns = true, 0
				running++
			}
		}
		text := oneTeam("2")
		if stop {
			text = "[over_limit]\nrunning = \"stop\"\nstop_within_s = 1\n" + text
		}
		s.ApplyConfiguration(configured(t, text))
		s.submit("run-000003", 1, func(x *api.Submission) { tiny(x); x.Team, x.CPUs = "t", 1 })
		s.MaintainFleet()
		s.Place()
		stopped := map[string]int{}
		for id, job := range s.jobs {
			for _, alloc := range job.allocations {
				if alloc.stopping {
					stopped[id]++
				}
			}
		}
		if running != 4 || len(s.jobs["run-000003"].allocations) != 0 {
			t.Fatalf("%d ran, %d of the new job do", running, len(s.jobs["run-000003"].allocations))
		}
		if want := map[bool]int{false: 0, true: 2}[stop]; stopped["run-000001"] != want || stopped["run-000002"] != 0 {
			t.Errorf("stop %v: stopped %v", stop, stopped)
		}
		if x, _ := s.Explain("run-000003"); !strings.Contains(strings.Join(x.Why, " "), "as much as its limit allows") {
			t.Errorf("explained by %v", x.Why)
		}
		for text, why := range map[string]string{oneTeam("0.5"): "more at once than the limit of team t allows since revision 3", "[[teams]]\nname = \"u\"\n": "team t is not in the configuration any more (revision 3)"} {
			s.ApplyConfiguration(configured(t, text))
			if x, ok := s.Explain("run-000003"); !ok || !strings.Contains(strings.Join(x.Why, " "), why) {
				t.Errorf("explained by %v", x.Why)
			}
		}
	}
}

// A start whose answer is lost is not stopped for a limit before its task is seen: nothing would ever prove that it is
// gone, and it would hold the limit's room for as long as this leader leads.
func TestStartsUnderWayAreNotStoppedForALimit(t *testing.T) {
	s := newStage(t)
	s.configuration = configured(t, oneTeam("40"))
	s.report("a1", 1)
	s.submit("run-000001", 2, func(x *api.Submission) { tiny(x); x.Team, x.CPUs = "t", 1 })
	s.Place()
	s.commit()
	s.ApplyConfiguration(configured(t, "[over_limit]\nrunning = \"stop\"\n"+oneTeam("1")))
	s.MaintainFleet()
	stopped := func(then func(alloc *allocation)) (n int) {
		for _, alloc := range s.jobs["run-000001"].allocations {
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
	s.MaintainFleet()
	if n := stopped(func(alloc *allocation) { alloc.unansweredRuns = 0 }); n != 0 {
		t.Fatalf("%d tasks are stopped while their start may be executed once more", n)
	}
	s.MaintainFleet()
	if n := stopped(func(*allocation) {}); n != 1 {
		t.Errorf("%d of two tasks are stopped once nothing is open, one is over the limit", n)
	}
}

// What was decided before a change and is not on record is counted until it is.
func TestUndecidedStartsAreCounted(t *testing.T) {
	s := newStage(t)
	s.configuration = configured(t, oneTeam("40"))
	s.report("a1", 1)
	s.submit("run-000001", 2, func(x *api.Submission) { tiny(x); x.Team, x.CPUs = "t", 1 })
	s.Place()
	undecided := s.ApplyConfiguration(configured(t, oneTeam("2")))
	if n := undecided(); n != 2 {
		t.Fatalf("%d starts are not on record, want 2", n)
	}
	s.commit()
	if n := undecided(); n != 0 {
		t.Errorf("%d after the commit", n)
	}
}
