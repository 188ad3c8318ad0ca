package failuredetector

import (
	"testing"
	"time"
)

// A machine that has not started is overdue only if another one that was requested at the same time or later has
// started, and only after a multiple of both the expected startup time and the other machine's. While no such
// machine has started, the deadline is twice as long.
func TestStartupIsOverdueOnlyIfLaterMachineStarted(t *testing.T) {
	const expected = 10 * time.Second
	requested := time.Unix(1_800_000_000, 0)
	var startups StartupTimes
	want := func(moment string, age time.Duration, overdue bool, deadline time.Duration) {
		t.Helper()
		if got, _ := startups.Overdue("g8", requested, age, expected); got != overdue {
			t.Errorf("%s: overdue %v after %v, want %v", moment, got, age, overdue)
		}
		if got := startups.Deadline("g8", requested, expected); got != deadline {
			t.Errorf("%s: deadline %v, want %v", moment, got, deadline)
		}
	}
	want("none has started", time.Hour, false, 60*time.Second)
	startups.RecordStartup("g8", requested.Add(-time.Second), expected)
	want("an earlier one has started", time.Hour, false, 60*time.Second)
	startups.RecordStartup("c32", requested, expected)
	want("one of another type has started", time.Hour, false, 60*time.Second)
	startups.RecordStartup("g8", requested, 20*time.Second)
	want("one requested with it has started", 32*time.Second, false, 30*time.Second)
	want("one requested with it has started", 33*time.Second, true, 30*time.Second)
	startups.RecordStartup("g8", requested.Add(-time.Minute), time.Minute)
	want("one requested long before has started", 33*time.Second, true, 30*time.Second)
}
