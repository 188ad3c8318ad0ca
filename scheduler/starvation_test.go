package scheduler

import (
	"fmt"
	"testing"
	"time"

	"switchferry/api"
)

// runUnderLoad runs the scheduler under a continuous backlog of small jobs, whose tasks have an estimate of 20 s, until
// the timeout has passed or stop returns true. The function modify changes each of these jobs. The result is the time
// after which the job with the given ID first had an allocation (for a gang, allocations of all tasks) or was no longer
// known. It is negative if neither happened.
func (h *harness) runUnderLoad(machines int, id string, timeout time.Duration, modify func(*api.Submission), stop func() bool) (startedAfter time.Duration) {
	start := h.clock.Now()
	type run struct {
		key     string
		attempt uint64
		ends    time.Time
	}
	runningTasks := map[string][]run{}
	for startedAfter = -1; h.clock.Since(start) < timeout && !stop(); {
		for h.waitingTasks("s") < 20*machines {
			h.submit(fmt.Sprintf("run-%06d", 1000+h.nextSeq("jobs")), 3, func(x *api.Submission) {
				x.Class, x.CPUs, x.MemoryGB, x.EstimateS, x.DeadlineS = "s", 1, 1, 20, 120
				modify(x)
			})
		}
		h.Place()
		h.commit()
		h.Committed()
		for ; h.answeredCommands < len(h.sent); h.answeredCommands++ {
			o := h.sent[h.answeredCommands]
			for _, c := range o.response.Commands {
				if c.Verb == api.CommandRun {
					runningTasks[o.machine] = append(runningTasks[o.machine], run{c.Task, c.Attempt, h.clock.Now().Add(time.Duration(15+c.Attempt*7%11) * time.Second)})
				}
			}
			h.HandleCommandOutcome(o.machine, o.response, nil, true)
		}
		h.clock.Advance(500 * time.Millisecond)
		for i := range machines {
			m, remaining := fmt.Sprintf("a%d", i), []run(nil)
			var reports []api.TaskReport
			for _, r := range runningTasks[m] {
				if h.clock.Now().After(r.ends) {
					reports = append(reports, taskReport(r.key, r.attempt, api.TaskExited, api.CauseDone))
				} else {
					remaining = append(remaining, r)
					reports = append(reports, taskReport(r.key, r.attempt, api.TaskRunning, ""))
				}
			}
			runningTasks[m] = remaining
			h.heartbeat(m, 1, reports...)
		}
		if job := h.jobs[id]; startedAfter < 0 && (job == nil || len(job.allocations) > 0 && (job.Job.Shape != api.Gang || len(job.allocations) == job.taskCount)) {
			startedAfter = h.clock.Since(start)
		}
	}
	return startedAfter
}

// waitingTasks returns the number of pending and queued tasks of a class.
func (h *harness) waitingTasks(class string) (n int) {
	for _, job := range h.jobOrder {
		if job.Job.Class == class {
			n += len(job.pending) + job.queued
		}
	}
	return n
}

// Checks that under a continuous stream of small jobs, other jobs start within four minutes, the longest wait that is
// acceptable to users: jobs that need a whole machine or many machines at once, large late jobs, and jobs of rank low.
// Without reservations and ageing they never started, because smaller tasks used all resources as soon as they became
// free, and jobs that could still meet their deadlines were ordered first.
func TestAllJobsStartUnderContinuousLoad(t *testing.T) {
	for _, c := range []struct {
		name string
		job  func(*api.Submission)
		// small modifies the jobs of the continuous stream.
		small func(*api.Submission)
		tasks int
	}{
		{"a task as large as a machine", func(x *api.Submission) { x.CPUs = 8 }, func(*api.Submission) {}, 2},
		{"rank low", func(x *api.Submission) { x.CPUs, x.Rank = 1, "low" }, func(*api.Submission) {}, 3},
		{"rank low among high, as large as a machine", func(x *api.Submission) { x.CPUs, x.Rank = 8, "low" }, func(x *api.Submission) { x.Rank = "high" }, 1},
		{"a huge array that is late", func(x *api.Submission) { x.CPUs, x.EstimateS, x.DeadlineS = 4, 100, 50 }, func(x *api.Submission) { x.DeadlineS = 300 }, 3000},
		{"a gang of most of the fleet", func(x *api.Submission) { x.Shape, x.CPUs = api.Gang, 8 }, func(*api.Submission) {}, 5},
	} {
		h := newHarness(t)
		for i := range 6 {
			h.heartbeat(fmt.Sprintf("a%d", i), 1)
		}
		h.runUnderLoad(6, "", 40*time.Second, c.small, func() bool { return false })
		h.submit("run-000001", c.tasks, func(x *api.Submission) { x.Class, x.EstimateS, x.MemoryGB = "l", 60, 1; c.job(x) })
		startedAfter := h.runUnderLoad(6, "run-000001", 300*time.Second, c.small, func() bool { j := h.jobs["run-000001"]; return j == nil || len(j.allocations) > 0 })
		if startedAfter < 0 || startedAfter > 240*time.Second {
			t.Errorf("%s: started after %v, want at most 4m0s", c.name, startedAfter)
		}
	}
}
