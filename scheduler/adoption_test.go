package scheduler

import (
	"context"
	"slices"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/invariant"
	"switchferry/store"
)

func TestAdoptionIsDecidedByWhatTheTermKnows(t *testing.T) {
	fresh := adoptionFacts{loaded: true, archivedCovered: true}
	cases := []struct {
		name   string
		change func(*adoptionFacts)
		want   Adoption
	}{
		{"a new job", func(*adoptionFacts) {}, Adopted},
		{"before the records are read", func(f *adoptionFacts) { f.loaded = false }, RecordsNotLoaded},
		{"a job with a damaged record", func(f *adoptionFacts) { f.damaged = true }, RecordDamaged},
		{"a job in memory", func(f *adoptionFacts) { f.accepted = true }, AlreadyInMemory},
		{"a job in a terminal state, in memory", func(f *adoptionFacts) { f.accepted, f.terminal = true, true }, AlreadyInMemory},
		{"a job in a terminal state, archived", func(f *adoptionFacts) { f.terminal = true }, JobEnded},
		{"a read older than the list of archived jobs covers", func(f *adoptionFacts) { f.archivedCovered = false }, ReadOutdated},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			facts := fresh
			tc.change(&facts)
			if got := decideAdoption(facts); got != tc.want {
				t.Errorf("%q, want %q", got, tc.want)
			}
		})
	}
}

// The list of archived jobs is bounded. Reads that are not newer than the oldest dropped entry count as not covered.
func TestArchivedJobsCoverReadsSinceTheOldestDropped(t *testing.T) {
	start := time.Unix(1000, 0)
	jobs := newArchivedJobs(2)
	for second, id := range []string{"run-000001", "run-000002", "run-000001", "run-000003"} {
		jobs.add(id, start.Add(time.Duration(second)*time.Second))
	}
	if _, known := jobs.at("run-000001"); known {
		t.Error("run-000001 is still remembered, although the limit is two jobs")
	}
	if at, known := jobs.at("run-000002"); !known || !at.Equal(start.Add(time.Second)) {
		t.Errorf("run-000002 archived at %v, remembered %v", at, known)
	}
	if jobs.covers(start) || !jobs.covers(start.Add(time.Millisecond)) {
		t.Errorf("covers a read at the time of the dropped entry: %v, want false; a later read: %v, want true", jobs.covers(start), jobs.covers(start.Add(time.Millisecond)))
	}
}

// A leader that does not know that a job ended accepts a repeated submission as a new job until the state service
// refuses its record. If the job is submitted again before the committer's callback for the refused record has run,
// that callback must not mark the new job as accepted, because the new job's record is not stored.
func TestCallbackOfRefusedRecordDoesNotAcceptResubmittedJob(t *testing.T) {
	h := newHarness(t)
	h.state.Put(store.FinalKey("run-000001"), store.FinalRecord{State: api.Done, Tasks: 1})
	submission := &api.Submission{ID: "run-000001", Class: "c", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: 4, MemoryGB: 8, Image: "img", EstimateS: 30}
	h.Submit(cancelledContext(), submission, h.clock.Now())
	h.committer.Step(t.Context())
	if h.jobs["run-000001"] != nil {
		t.Fatal("the job was kept in memory although it has a final record")
	}
	other := *submission
	other.ID = "run-000002"
	h.Submit(cancelledContext(), &other, h.clock.Now())
	late := h.state.DelayNextTransaction(true)
	written := make(chan struct{})
	go func() {
		defer close(written)
		h.committer.Step(context.Background())
	}()
	<-late.Received
	// Meanwhile this term has forgotten that the job ended.
	delete(h.terminalStates, "run-000001")
	h.archived = newArchivedJobs(1)
	h.Submit(cancelledContext(), submission, h.clock.Now())
	late.Release()
	<-written
	if status, ok := h.JobStatus("run-000001"); ok {
		t.Errorf("the final record says %s, but the job is reported as %s", api.Done, status.State)
	}
	h.heartbeat("a1", 1)
	h.Place()
	h.commit()
	if starts := h.starts("run-000001/0"); len(starts) > 0 || h.state.Get(store.JobKey("run-000001")) != nil {
		t.Errorf("%d starts of a job that is done, want 0; job record %q, want none", len(starts), h.state.Get(store.JobKey("run-000001")))
	}
}

func TestSubmissionOfEndedJobIsNotAccepted(t *testing.T) {
	h := newHarness(t)
	h.terminalStates["run-000001"] = store.FinalRecord{State: api.Done}
	submission := &api.Submission{ID: "run-000001", Tasks: 1, Shape: api.JobArray, Team: "t"}
	if response, ok := h.Submit(cancelledContext(), submission, h.clock.Now()); ok || h.jobs["run-000001"] != nil {
		t.Errorf("accepted %v, status %d, in memory %v", ok, response.Status, h.jobs["run-000001"] != nil)
	}
}

// A job with a damaged shard record must not be started again, even if its job record can be read.
func TestJobWithDamagedShardIsNotAdopted(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 1, nil)
	h.heartbeat("a1", 1)
	h.Place()
	h.commit()
	items, _, err := h.client().List(t.Context(), store.ShardPrefix)
	if err != nil || len(items) != 1 {
		t.Fatalf("%d shard records, want 1; error %v", len(items), err)
	}
	h.state.Put(items[0].Key, "damaged")
	h.elect()
	record, err := h.client().Get(t.Context(), store.JobKey("run-000001"))
	if err != nil {
		t.Fatal(err)
	}
	if got := h.AdoptJob(&record, h.clock.Now()); got != RecordDamaged || h.Presence("run-000001").Accepted {
		t.Errorf("outcome %q, in memory %v", got, h.Presence("run-000001").Accepted)
	}
}

// A stored final record is never replaced: it overrides a different terminal state in the leader's memory, and the
// difference is reported as an invariant violation.
func TestFinalRecordIsNotReplaced(t *testing.T) {
	for _, inMemory := range []string{api.Done, api.Cancelled} {
		onRecord := map[string]string{api.Done: api.Cancelled, api.Cancelled: api.Done}[inMemory]
		t.Run(onRecord+" on record", func(t *testing.T) {
			h := newHarness(t)
			h.submit("run-000001", 1, nil)
			final := string(mustJSON(t, store.FinalRecord{State: onRecord, Tasks: 1}))
			h.state.Put(store.FinalKey("run-000001"), store.FinalRecord{State: onRecord, Tasks: 1})
			invariant.ResetViolations()
			if inMemory == api.Done {
				h.complete("run-000001", "b1")
			} else {
				h.Cancel(cancelledContext(), "run-000001")
			}
			h.commit()
			if got := h.status("run-000001"); got != onRecord {
				t.Errorf("job reported as %s, not as in its final record", got)
			}
			if got := string(h.state.Get(store.FinalKey("run-000001"))); got != final {
				t.Errorf("final record %s, want %s", got, final)
			}
			if invariant.ResetViolations() != 1 {
				t.Error("the invariant violation was not reported")
			}
			if h.committer.Pending() > 0 {
				t.Errorf("%d records are still to be written", h.committer.Pending())
			}
		})
	}
}

// Every write of a job record carries the condition that the job has no final record.
func TestJobRecordIsWrittenOnlyWithoutFinalRecord(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 1, nil)
	h.Cancel(cancelledContext(), "run-000001")
	if _, exists, conditions := h.Record(store.JobKey("run-000001")); !exists || !slices.Contains(conditions, store.Condition{Key: store.FinalKey("run-000001")}) {
		t.Errorf("record exists %v, conditions %v", exists, conditions)
	}
}

// A record without a terminal state that was read after the job was archived is an invariant violation.
func TestOutdatedRecordOfArchivedJobIsReported(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 1, nil)
	record, err := h.client().Get(t.Context(), store.JobKey("run-000001"))
	if err != nil {
		t.Fatal(err)
	}
	readAt := h.clock.Now()
	h.clock.Advance(time.Millisecond)
	h.Cancel(cancelledContext(), "run-000001")
	h.commit()
	invariant.ResetViolations()
	if got := h.AdoptJob(&record, readAt); got != JobEnded || invariant.ResetViolations() != 0 {
		t.Errorf("record read before the end: outcome %q, or an invariant violation was reported", got)
	}
	h.clock.Advance(time.Second)
	if got := h.AdoptJob(&record, h.clock.Now()); got != JobEnded || invariant.ResetViolations() != 1 {
		t.Errorf("record read after the end: outcome %q, or not exactly one invariant violation was reported", got)
	}
}
