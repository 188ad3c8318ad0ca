package scheduler

import (
	"fmt"
	"testing"

	"switchferry/api"
)

// BenchmarkPlace is one run of the placer on a full fleet with a backlog: 40
// machines, 60 small jobs and a guest's array of 100,000 tasks.
func BenchmarkPlace(b *testing.B) {
	s := newStage(&testing.T{})
	for i := range 40 {
		s.report(fmt.Sprintf("a%02d", i), 1)
	}
	s.submit("run-900000", api.MaxTasks, nil)
	for i := range 60 {
		s.submit(fmt.Sprintf("run-%06d", i), 5, nil)
	}
	s.Place()
	s.commit()
	b.ReportAllocs()
	for b.Loop() {
		s.Place()
	}
}

// fullFleet is a leader with many machines, all busy, and a backlog of two teams
// with guarantees: normal arrays, and urgent ones of many small tasks.
func fullFleet(t *testing.T, machines int) *stage {
	s := newStage(t)
	for i := range machines {
		s.report(fmt.Sprintf("a%03d", i), 1)
	}
	team := func(i int) func(*api.Submission) {
		return func(x *api.Submission) {
			x.Team = []string{"left", "right"}[i%2]
			x.Image = fmt.Sprintf("img-%d", i%8)
		}
	}
	for i := range machines / 7 {
		s.submit(fmt.Sprintf("run-%06d", i), 16, team(i))
	}
	s.settleStarts()
	for i := range machines / 5 {
		s.submit(fmt.Sprintf("run-1%05d", i), 12, team(i))
	}
	for i := range 4 {
		s.submit(fmt.Sprintf("run-2%05d", i), 50, func(x *api.Submission) {
			team(i)(x)
			x.Rank, x.CPUs = "high", 1
		})
	}
	return s
}

// settleStarts places what waits, and the workers report it as running.
func (s *stage) settleStarts() {
	s.Place()
	s.commit()
	on := map[string][]api.TaskReport{}
	for _, o := range s.sent {
		for _, c := range o.o.Commands {
			if c.Verb == api.CommandRun {
				on[o.name] = append(on[o.name], task(c.Task, c.Attempt, api.TaskRunning, ""))
			}
		}
	}
	sent := s.sent
	s.sent = nil
	for _, o := range sent {
		s.CommandsAnswered(o.name, o.o, nil, true)
	}
	for name, tasks := range on {
		s.report(name, 1, tasks...)
	}
}

// BenchmarkPlaceFull is one run of the placer on a fleet of 280 busy machines.
func BenchmarkPlaceFull(b *testing.B) {
	s := fullFleet(&testing.T{}, 280)
	s.Place()
	s.commit()
	b.ReportAllocs()
	for b.Loop() {
		s.Place()
	}
}

// BenchmarkReport is one worker's report with ten tasks.
func BenchmarkReport(b *testing.B) {
	s := newStage(&testing.T{})
	var tasks []api.TaskReport
	for i := range 10 {
		s.submit(fmt.Sprintf("run-%06d", i), 1, nil)
		tasks = append(tasks, task(fmt.Sprintf("run-%06d/0", i), 7, api.TaskRunning, ""))
	}
	b.ReportAllocs()
	for b.Loop() {
		s.report("a1", 1, tasks...)
	}
}

// guestFleet is a fleet that a guest has filled with tiny tasks of one array and of
// many jobs, with more of them waiting, and owners' jobs beside.
func guestFleet(t *testing.T, machines int) *stage {
	s := newStage(t)
	for i := range machines {
		s.report(fmt.Sprintf("a%03d", i), 1)
	}
	tiny := func(x *api.Submission) { x.Team, x.Rank, x.CPUs, x.MemoryGB, x.EstimateS = "lent", "low", 0.25, 0.9, 4 }
	for i := range machines / 7 {
		s.submit(fmt.Sprintf("run-%06d", i), 4, func(x *api.Submission) { x.Team, x.Image = "left", fmt.Sprintf("img-%d", i%8) })
	}
	s.submit("run-900000", 25000, tiny)
	for i := range 400 {
		s.submit(fmt.Sprintf("run-8%05d", i), 1, tiny)
	}
	for range 3 {
		s.settleStarts()
	}
	return s
}

// BenchmarkPlaceGuests is one run of the placer on such a fleet.
func BenchmarkPlaceGuests(b *testing.B) {
	s := guestFleet(&testing.T{}, 280)
	b.ReportAllocs()
	for b.Loop() {
		s.Place()
	}
}
