package store

import (
	"slices"
	"testing"
)

// Changes that were refused are not counted as written: a leader that stored nothing used to log them every 10 s.
func TestRefusedChangesAreNotCountedAsWritten(t *testing.T) {
	state, source, committer := newTestCommitter()
	state.Put(FinalKey("run-1"), FinalRecord{State: "done"})
	source.values[JobKey("run-1")] = "job"
	source.conditions = map[string][]Condition{JobKey("run-1"): {{Key: FinalKey("run-1")}}}
	committer.MarkDirty(JobKey("run-1"), Urgent, nil)
	committer.Step(t.Context())
	if len(committer.writes.countByKind) > 0 {
		t.Errorf("written by kind: %v, want nothing", committer.writes.countByKind)
	}
	if got := committer.writes.countByResult[conflicted]; got != 1 {
		t.Errorf("%d conflicts, want 1", got)
	}
	if want := []string{FinalKey("run-1")}; !slices.Equal(committer.writes.lastConflict, want) {
		t.Errorf("keys of the last conflict %v, want %v", committer.writes.lastConflict, want)
	}
	delete(source.conditions, JobKey("run-1"))
	committer.Step(t.Context())
	if got := committer.writes.countByKind["j"]; got != 1 || committer.writes.countByResult[committed] != 1 {
		t.Errorf("%d job records written, want 1; transactions %v", got, committer.writes.countByResult)
	}
}
