package scheduler

import (
	"fmt"
	"testing"

	"switchferry/api"
	"switchferry/configuration"
	"switchferry/policy"
	"switchferry/settings"
)

// fullFleet returns a leader with the given number of machines, all busy, and a backlog of two teams with guarantees:
// arrays of rank normal, and arrays of rank high with many small tasks.
func fullFleet(t *testing.T, machines int) *harness {
	h := newHarness(t)
	for i := range machines {
		h.heartbeat(fmt.Sprintf("a%03d", i), 1)
	}
	team := func(i int) func(*api.Submission) {
		return func(x *api.Submission) {
			x.Team = []string{"left", "right"}[i%2]
			x.Image = fmt.Sprintf("img-%d", i%8)
		}
	}
	for i := range machines / 7 {
		h.submit(fmt.Sprintf("run-%06d", i), 16, team(i))
	}
	h.settleStarts()
	for i := range machines / 5 {
		h.submit(fmt.Sprintf("run-1%05d", i), 12, team(i))
	}
	for i := range 4 {
		h.submit(fmt.Sprintf("run-2%05d", i), 50, func(x *api.Submission) {
			team(i)(x)
			x.Rank, x.CPUs = "high", 1
		})
	}
	return h
}

// lowRankFleet returns a leader whose machines are filled with small tasks of rank low, of one array and of many jobs,
// with more of them waiting, next to jobs of rank normal of another team.
func lowRankFleet(t *testing.T, machines int) *harness {
	h := newHarness(t)
	for i := range machines {
		h.heartbeat(fmt.Sprintf("a%03d", i), 1)
	}
	smallLowRank := func(x *api.Submission) { x.Team, x.Rank, x.CPUs, x.MemoryGB, x.EstimateS = "lent", "low", 0.25, 0.9, 4 }
	for i := range machines / 7 {
		h.submit(fmt.Sprintf("run-%06d", i), 4, func(x *api.Submission) { x.Team, x.Image = "left", fmt.Sprintf("img-%d", i%8) })
	}
	h.submit("run-900000", 25000, smallLowRank)
	for i := range 400 {
		h.submit(fmt.Sprintf("run-8%05d", i), 1, smallLowRank)
	}
	for range 3 {
		h.settleStarts()
	}
	return h
}

// BenchmarkPlace measures one placement round on a full fleet with a backlog: 40 machines, 60 small jobs and an array of
// api.MaxTasks tasks.
func BenchmarkPlace(b *testing.B) {
	h := newHarness(&testing.T{})
	for i := range 40 {
		h.heartbeat(fmt.Sprintf("a%02d", i), 1)
	}
	h.submit("run-900000", api.MaxTasks, nil)
	for i := range 60 {
		h.submit(fmt.Sprintf("run-%06d", i), 5, nil)
	}
	h.Place()
	h.commit()
	b.ReportAllocs()
	for b.Loop() {
		h.Place()
	}
}

// BenchmarkPlaceFull measures one placement round on a fleet of 280 busy machines.
func BenchmarkPlaceFull(b *testing.B) {
	h := fullFleet(&testing.T{}, 280)
	h.Place()
	h.commit()
	b.ReportAllocs()
	for b.Loop() {
		h.Place()
	}
}

// BenchmarkHandleHeartbeat measures the handling of one worker heartbeat with ten tasks.
func BenchmarkHandleHeartbeat(b *testing.B) {
	h := newHarness(&testing.T{})
	var tasks []api.TaskReport
	for i := range 10 {
		h.submit(fmt.Sprintf("run-%06d", i), 1, nil)
		tasks = append(tasks, taskReport(fmt.Sprintf("run-%06d/0", i), 7, api.TaskRunning, ""))
	}
	b.ReportAllocs()
	for b.Loop() {
		h.heartbeat("a1", 1, tasks...)
	}
}

// BenchmarkPlaceLowRank measures one placement round on a fleet filled with tasks of rank low.
func BenchmarkPlaceLowRank(b *testing.B) {
	h := lowRankFleet(&testing.T{}, 280)
	b.ReportAllocs()
	for b.Loop() {
		h.Place()
	}
}

// BenchmarkPlaceTeams measures one placement round on 280 busy machines with a backlog. The same jobs are owned by one
// team, by 110 teams with limits and guarantees, or by 110 teams of which a tenth are at their limit.
func BenchmarkPlaceTeams(b *testing.B) {
	for _, c := range []struct {
		name  string
		teams int
		// tenthTeamLimit is the CPU limit of every tenth team.
		tenthTeamLimit float64
	}{{"1 team", 1, 1e6}, {"110 teams", 110, 1e6}, {"110 teams, 11 at their limit", 110, 1}} {
		b.Run(c.name, func(b *testing.B) {
			h := newHarness(&testing.T{})
			var teams []settings.Team
			for i := range c.teams {
				t := settings.Team{Name: fmt.Sprintf("team-%03d", i), CPUs: 20, CPUsMax: 1e6}
				if i%10 == 0 {
					t.CPUsMax = c.tenthTeamLimit
				}
				teams = append(teams, t)
			}
			h.configuration = configuration.FromFiles(teams, policy.Default())
			for i := range 280 {
				h.heartbeat(fmt.Sprintf("a%03d", i), 1)
			}
			team := func(i int) func(*api.Submission) {
				return func(x *api.Submission) { x.Team, x.Image = teams[i%len(teams)].Name, fmt.Sprintf("img-%d", i%8) }
			}
			for i := range 40 {
				h.submit(fmt.Sprintf("run-%06d", i), 16, team(i))
			}
			h.settleStarts()
			for i := range 220 {
				h.submit(fmt.Sprintf("run-1%05d", i), 12, team(i))
			}
			h.Place()
			h.commit()
			b.ReportAllocs()
			for b.Loop() {
				h.Place()
			}
		})
	}
}

// BenchmarkAdmit measures the admission check of one submission against its team, the team's limit and the machine
// types.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{1, 110} {
		b.Run(fmt.Sprint(n, " teams"), func(b *testing.B) {
			var teams []settings.Team
			for i := range n {
				teams = append(teams, settings.Team{Name: fmt.Sprintf("team-%03d", i), CPUsMax: 1e6})
			}
			active := configuration.FromFiles(teams, nil)
			submission := &api.Submission{Team: teams[n-1].Name, Shape: api.JobArray, Tasks: 1, CPUs: 1}
			for b.Loop() {
				if !admits(active, submission) {
					b.Fatal("not admitted")
				}
			}
		})
	}
}
