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

// Submissions beyond what the committer can store in time are refused at once with a Retry-After time. The leader does
// not keep refused jobs in memory.
func TestSubmissionsBeyondWriteCapacityAreRefused(t *testing.T) {
	h := newHarness(t)
	h.committer = store.NewCommitter(store.NewClient("state:1", h.state), harnessSource{h.Scheduler, h}, h.clock, settings.StateLimits{WriteRPS: 25, TxnOps: 12, ValueKB: 16}, map[string]uint64{})
	refused, longest := 0, 0
	for i := range 500 {
		submission := &api.Submission{ID: fmt.Sprintf("run-%06d", i), Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: 1}
		if response, _ := h.Submit(cancelledContext(), submission, h.clock.Now()); h.jobs[submission.ID] == nil {
			refused++
			longest = max(longest, response.RetryAfterS)
			if response.Status != 503 || response.RetryAfterS < 2 {
				t.Fatalf("refused with status %d and Retry-After %d s", response.Status, response.RetryAfterS)
			}
		}
	}
	// One second's worth of writes, and what is written within the time that a submission waits.
	if kept := 500 - refused; kept < 40 || kept > 60 {
		t.Errorf("%d of 500 submissions kept at 20 writes per second, want 40 to 60", kept)
	}
	if longest > tuning.MaxRetryAfterS {
		t.Errorf("Retry-After of %d s, want at most %d s", longest, tuning.MaxRetryAfterS)
	}
	for range 200 {
		h.committer.Step(context.Background())
		h.clock.Advance(50 * time.Millisecond)
	}
	if d := h.committer.Delay(); d > 0 {
		t.Errorf("the write backlog is still %v", d)
	}
}
