package controller

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
