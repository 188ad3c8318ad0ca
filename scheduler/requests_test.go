package scheduler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
)

// More submissions than can be stored in time are refused at once, and told when
// their turn may come; the leader does not keep what it cannot take.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.committer = store.NewCommitter(store.NewClient("state:1", h.state), harnessSource{h.Scheduler, h}, h.clock, settings.State{WriteRPS: 25, TxnOps: 12, ValueKB: 16}, map[string]uint64{})
	refused, longest := 0, 0
	for i := range 500 {
		sub := &api.Submission{ID: fmt.Sprintf("run-%06d", i), Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: 1}
		if a, _ := h.Submit(cancelledContext(), sub, h.clock.Now()); h.jobs[sub.ID] == nil {
			refused++
			longest = max(longest, a.RetryAfterS)
			if a.Status != 503 || a.RetryAfterS < 2 {
				t.Fatalf("refused with %d, come back after %d s", a.Status, a.RetryAfterS)
			}
		}
	}
	// A second's worth, and what is written within the time that users wait.
	if kept := 500 - refused; kept < 40 || kept > 60 {
		t.Errorf("%d of 500 taken at 20 writes a second", kept)
	}
	if longest > tuning.RetryAfterMost {
		t.Errorf("told to come back after %d s", longest)
	}
	for range 200 {
		h.committer.Step(context.Background())
		h.clock.Advance(50 * time.Millisecond)
	}
	if d := h.committer.Delay(); d > 0 {
		t.Errorf("still %v behind", d)
	}
}
