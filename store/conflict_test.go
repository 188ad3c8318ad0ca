package store

import (
	"fmt"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"

	"switchferry/internal/fake"
	"switchferry/settings"
)

// newConflictingSource returns a committer and its source. Whenever the source learns that a job has a final record, it
// drops the job, as the scheduler does.
func newConflictingSource() (*fake.State, *fakeSource, *Committer) {
	limits := settings.StateLimits{WriteRPS: 1000, TxnOps: 12, ValueKB: 16}
	state, source, committer := newTestCommitterWithin(clockwork.NewFakeClock(), limits)
	source.conditions = map[string][]Condition{}
	source.onConflict = func(key string) {
		if id, ok := strings.CutPrefix(key, FinalPrefix); ok {
			delete(source.values, JobKey(id))
		}
	}
	return state, source, committer
}

// addEndedJob marks the record of a job as dirty that the source takes for new, and which has a final record.
func addEndedJob(source *fakeSource, committer *Committer, id string) {
	source.values[JobKey(id)] = "job"
	source.conditions[JobKey(id)] = []Condition{{Key: FinalKey(id)}}
	committer.MarkDirty(JobKey(id), Urgent, nil)
}

// Guards against a leader that stores nothing more (docs/incidents/leader-stopped-storing.md): the second conflict on the
// same final record is reported like the first one, so that the source drops the job again.
func TestEachConflictWithFinalRecordIsReported(t *testing.T) {
	state, source, committer := newConflictingSource()
	state.Put(FinalKey("run-1"), FinalRecord{State: "done"})
	for repeat := range 3 {
		addEndedJob(source, committer, "run-1")
		for range 2 {
			committer.Step(t.Context())
		}
		if len(source.conflicts) != repeat+1 || committer.Pending() != 0 {
			t.Fatalf("repeat %d: conflicts %v, %d records pending; want one more conflict and none pending", repeat, source.conflicts, committer.Pending())
		}
	}
}

// A record that another goroutine made known between the building of a transaction and its conflict is reported.
func TestConflictIsReportedAlthoughRevisionIsKnown(t *testing.T) {
	state, source, committer := newTestCommitter()
	source.values[JobKey("run-1")] = "job"
	committer.MarkDirty(JobKey("run-1"), Urgent, nil)
	batch, _ := committer.takeBatch(1)
	transaction := committer.buildTransaction(source.leader, batch)
	revision := state.Put(JobKey("run-1"), "job of a peer")
	committer.SetRevision(JobKey("run-1"), revision)
	if _, stored := committer.commit(t.Context(), transaction); stored {
		t.Fatal("the transaction was committed over a newer record")
	}
	if len(source.conflicts) != 1 {
		t.Errorf("conflicts %v, want the job's record", source.conflicts)
	}
}

// The memory of a committer does not grow with the number of jobs that are over: neither with those whose submission is
// repeated, nor with those whose final record is stored by a transaction without a response.
func TestRevisionsOfFinalRecordsAreNotKept(t *testing.T) {
	state, source, committer := newConflictingSource()
	for number := range 20 {
		id := fmt.Sprintf("run-%d", number)
		state.Put(FinalKey(id), FinalRecord{State: "done"})
		addEndedJob(source, committer, id)
		committer.Step(t.Context())
		committer.Step(t.Context())
	}
	for number := range 20 {
		key := FinalKey(fmt.Sprintf("run-1%02d", number))
		source.values[key] = FinalRecord{State: "done"}
		committer.MarkDirty(key, Lazy, nil)
		state.LoseNextAnswer = true
		committer.Step(t.Context())
		committer.Step(t.Context())
		if state.Get(key) == nil || committer.Pending() != 0 {
			t.Fatalf("%s stored %v, %d records pending", key, state.Get(key) != nil, committer.Pending())
		}
	}
	if len(committer.revisions) > 0 {
		t.Errorf("%d revisions are kept, want none: %v", len(committer.revisions), committer.revisions)
	}
}
