package controller

import (
	"fmt"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/store"
	"switchferry/tuning"
)

// Guards against a leader that stores nothing for the rest of its term after the submission of an ended job was
// repeated a second time (docs/incidents/leader-stopped-storing.md). Between the two repeats the leader forgets that
// the job is over, because enough other jobs ended or were repeated.
func TestRepeatedSubmissionsOfEndedJobDoNotStopWrites(t *testing.T) {
	leader, _ := newLeaderProcess(t)
	repeat := func(id string) {
		leader.Submit(cancelledContext(), smallJob(id), leader.clock.Now())
		leader.commit()
		if got := leader.status(id); got != api.Done {
			t.Fatalf("after a repeated submission of %s the leader knows it as %q, want %s", id, got, api.Done)
		}
	}
	const first = "run-000000"
	otherCount := max(tuning.ArchivedJobsCapacity, tuning.TerminalJobsCapacity)
	for number := range otherCount + 1 {
		leader.state.Put(store.FinalKey(fmt.Sprintf("run-%06d", number)), store.FinalRecord{State: api.Done, Tasks: 1})
	}
	for number := range otherCount + 1 {
		repeat(fmt.Sprintf("run-%06d", number))
	}
	if got := leader.status(first); got != "" {
		t.Fatalf("the leader still knows the first job as %q", got)
	}
	repeat(first)
	leader.submit(smallJob("run-900000"))
	leader.heartbeat()
	leader.Place()
	leader.commit()
	leader.clock.Advance(time.Second)
	if got := leader.starts("run-900000/0"); got != 1 {
		t.Errorf("the task of a job accepted later was started %d times, want once", got)
	}
}
