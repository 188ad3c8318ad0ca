package scheduler

import (
	"fmt"
	"testing"

	"switchferry/api"
)

// BenchmarkPlace is one run of the placer on a full fleet with a backlog: 40
// machines, 60 small jobs and a guest's array of 100,000 tasks.
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

// fullFleet is a leader with many machines, all busy, and a backlog of two teams
// with guarantees: normal arrays, and urgent ones of many small tasks.
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

// settleStarts places what waits, and the workers report it as running.
func (h *harness) settleStarts() {
	h.Place()
	h.commit()
	on := map[string][]api.TaskReport{}
	for _, o := range h.sent {
		for _, c := range o.response.Commands {
			if c.Verb == api.CommandRun {
				on[o.machine] = append(on[o.machine], taskReport(c.Task, c.Attempt, api.TaskRunning, ""))
			}
		}
	}
	sent := h.sent
	h.sent = nil
	for _, o := range sent {
		h.CommandsAnswered(o.machine, o.response, nil, true)
	}
	for name, tasks := range on {
		h.heartbeat(name, 1, tasks...)
	}
}

// BenchmarkPlaceFull is one run of the placer on a fleet of 280 busy machines.
func BenchmarkPlaceFull(b *testing.B) {
	h := fullFleet(&testing.T{}, 280)
	h.Place()
	h.commit()
	b.ReportAllocs()
	for b.Loop() {
		h.Place()
	}
}

// BenchmarkReport is one worker's report with ten tasks.
func BenchmarkReport(b *testing.B) {
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

// lowRankFleet is a fleet that a guest has filled with tiny tasks of one array and of
// many jobs, with more of them waiting, and owners' jobs beside.
func lowRankFleet(t *testing.T, machines int) *harness {
	h := newHarness(t)
	for i := range machines {
		h.heartbeat(fmt.Sprintf("a%03d", i), 1)
	}
	tiny := func(x *api.Submission) { x.Team, x.Rank, x.CPUs, x.MemoryGB, x.EstimateS = "lent", "low", 0.25, 0.9, 4 }
	for i := range machines / 7 {
		h.submit(fmt.Sprintf("run-%06d", i), 4, func(x *api.Submission) { x.Team, x.Image = "left", fmt.Sprintf("img-%d", i%8) })
	}
	h.submit("run-900000", 25000, tiny)
	for i := range 400 {
		h.submit(fmt.Sprintf("run-8%05d", i), 1, tiny)
	}
	for range 3 {
		h.settleStarts()
	}
	return h
}

// BenchmarkPlaceGuests is one run of the placer on such a fleet.
func BenchmarkPlaceGuests(b *testing.B) {
	h := lowRankFleet(&testing.T{}, 280)
	b.ReportAllocs()
	for b.Loop() {
		h.Place()
	}
}
