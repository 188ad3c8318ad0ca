package scheduler

import (
	"fmt"
	"testing"

	"switchferry/api"
	"switchferry/configuration"
	"switchferry/policy"
	"switchferry/settings"
)

// BenchmarkPlaceTeams is one run of the placer on 280 busy machines with a backlog, the same jobs owned by one team, by
// 110 with limits and guarantees, and by 110 of which a tenth are at their limit.
func BenchmarkPlaceTeams(b *testing.B) {
	for _, c := range []struct {
		name       string
		teams      int
		everyTenth float64
	}{{"1 team", 1, 1e6}, {"110 teams", 110, 1e6}, {"110 teams, 11 at their limit", 110, 1}} {
		b.Run(c.name, func(b *testing.B) {
			s := newStage(&testing.T{})
			var teams []settings.Team
			for i := range c.teams {
				t := settings.Team{Name: fmt.Sprintf("team-%03d", i), CPUs: 20, CPUsMax: 1e6}
				if i%10 == 0 {
					t.CPUsMax = c.everyTenth
				}
				teams = append(teams, t)
			}
			s.configuration = configuration.FromFiles(teams, policy.Default())
			for i := range 280 {
				s.report(fmt.Sprintf("a%03d", i), 1)
			}
			team := func(i int) func(*api.Submission) {
				return func(x *api.Submission) { x.Team, x.Image = teams[i%len(teams)].Name, fmt.Sprintf("img-%d", i%8) }
			}
			for i := range 40 {
				s.submit(fmt.Sprintf("run-%06d", i), 16, team(i))
			}
			s.settleStarts()
			for i := range 220 {
				s.submit(fmt.Sprintf("run-1%05d", i), 12, team(i))
			}
			s.Place()
			s.commit()
			b.ReportAllocs()
			for b.Loop() {
				s.Place()
			}
		})
	}
}

// BenchmarkAdmit is what one submission's team, limit and machine types take to check.
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
