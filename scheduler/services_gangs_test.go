package scheduler

import (
	"testing"

	"switchferry/api"
)

// Checks that a gang starts as a whole or not at all.
func TestGangStartsTogether(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 3, func(x *api.Submission) { x.Shape, x.OneZone = api.Gang, true })
	h.heartbeat("b1", 1)
	h.Place()
	if n := len(h.jobs["run-000001"].allocations); n != 0 || h.machines["a1"].used.CPUs != 0 {
		t.Fatalf("%d of 3 tasks placed although each zone has resources for only 2", n)
	}
	h.heartbeat("b2", 1)
	h.Place()
	h.commit()
	for i := range 3 {
		if got := h.starts(taskKey("run-000001", i)); len(got) != 1 || got[0].machine[0] != 'b' {
			t.Errorf("starts of task %d: %+v, want one in zone b", i, got)
		}
	}
}
