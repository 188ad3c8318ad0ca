package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/internal/fake"
	"switchferry/settings"
	"switchferry/tuning"
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

// conflictingState is a state service that answers each transaction that writes key with a conflict on failed, whatever
// its conditions.
type conflictingState struct {
	*fake.State
	key    string
	failed []string
	// conflicts counts these answers; onConflict is called before each of them.
	conflicts  int
	onConflict func()
}

func (s *conflictingState) RoundTrip(request *http.Request) (*http.Response, error) {
	if s.key == "" || request.URL.Path != "/multi" {
		return s.State.RoundTrip(request)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	if !bytes.Contains(body, []byte(`"set":"`+s.key+`"`)) {
		return s.State.RoundTrip(request)
	}
	s.conflicts++
	s.onConflict()
	answer, err := json.Marshal(map[string]any{"failed": s.failed, "epoch": 1})
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusConflict, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(answer))}, nil
}

// Guards against one record whose condition never holds and that blocked all others, retried without a pause for the rest
// of the term (docs/incidents/leader-stopped-storing.md). The other records of its transactions are stored at once, it is
// retried ever more rarely, although it is marked as dirty again during each attempt, and it is stored soon after the
// cause is gone. The same holds if the state service does not say which condition failed.
func TestRecordWithLastingConflictDoesNotBlockOthers(t *testing.T) {
	const blocked, others = "run-000000", 30
	// In the first minute the record is tried a few times in quick succession, and then at most every 10 s.
	const maxConflicts = 20
	for name, failed := range map[string][]string{"failed condition named": {FinalKey(blocked)}, "failed condition not named": {}} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			limits := settings.StateLimits{WriteRPS: 100, TxnOps: 12, ValueKB: 16}
			state, source, _ := newTestCommitterWithin(clock, limits)
			conflicting := &conflictingState{State: state, key: JobKey(blocked), failed: failed}
			committer := NewCommitter(NewClient("state:1", conflicting), source, clock, limits, map[string]uint64{})
			source.conditions = map[string][]Condition{JobKey(blocked): {{Key: FinalKey(blocked)}}}
			conflicting.onConflict = func() { committer.MarkDirty(JobKey(blocked), Urgent, nil) }
			storedAfter, start := map[string]time.Duration{}, clock.Now()
			markDirty := func(key string) {
				source.values[key] = "job"
				committer.MarkDirty(key, Urgent, func() { storedAfter[key] = clock.Since(start) })
			}
			runFor := func(d time.Duration) {
				for end := clock.Now().Add(d); clock.Now().Before(end); {
					clock.Advance(max(time.Millisecond, committer.Step(t.Context())))
				}
			}
			markDirty(JobKey(blocked))
			for number := range others {
				markDirty(JobKey(fmt.Sprintf("run-%06d", 100+number)))
			}
			runFor(time.Minute)
			for number := range others {
				if at, stored := storedAfter[JobKey(fmt.Sprintf("run-%06d", 100+number))]; !stored || at > time.Second {
					t.Fatalf("record %d of the others was stored %v, after %v; want within 1 s", number, stored, at)
				}
			}
			if conflicting.conflicts > maxConflicts || committer.Pending() != 1 {
				t.Errorf("the record was tried %d times in a minute, want at most %d; %d records pending, want 1", conflicting.conflicts, maxConflicts, committer.Pending())
			}
			conflicting.key = ""
			runFor(tuning.QuarantineTime + time.Second)
			if _, stored := storedAfter[JobKey(blocked)]; !stored {
				t.Error("the record was not stored after its condition held")
			}
		})
	}
}

// Guards against a stream of repeated submissions of ended jobs that stops all writes while it lasts: with a fresh conflict
// in each transaction, no transaction was committed, although each conflict was resolved. A record that a transaction
// failed without a fault of its own is written before records that were not tried yet, also if it changes meanwhile. Nor
// is such a stream a stall, with other records or without.
func TestStreamOfFreshConflictsDoesNotBlockOthers(t *testing.T) {
	const conflicts, interval, otherEvery = 1000, 20 * time.Millisecond, 25
	for name, others := range map[string]int{"with other records": conflicts / otherEvery, "without other records": 0} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			limits := settings.StateLimits{WriteRPS: 1000, TxnOps: 12, ValueKB: 16}
			state, source, committer := newTestCommitterWithin(clock, limits)
			source.conditions = map[string][]Condition{}
			source.onConflict = func(key string) { delete(source.values, JobKey(strings.TrimPrefix(key, FinalPrefix))) }
			source.onRecord = func(key string) {
				if strings.HasPrefix(key, ShardPrefix) {
					committer.MarkDirty(key, Lazy, nil)
				}
			}
			settled, stored := 0, 0
			for number := range conflicts {
				id := fmt.Sprintf("run-%06d", number)
				state.Put(FinalKey(id), FinalRecord{State: "done"})
				source.values[JobKey(id)] = "job"
				source.conditions[JobKey(id)] = []Condition{{Key: FinalKey(id)}}
				committer.MarkDirty(JobKey(id), Urgent, func() { settled++ })
				if others > 0 && number%otherEvery == 0 {
					key, markedAt := Shard{"run-900000", number, 400}.Key(), clock.Now()
					source.values[key] = "tasks"
					committer.MarkDirty(key, Lazy, func() {
						stored++
						if waited := clock.Since(markedAt); waited > time.Second {
							t.Errorf("%s was stored after %v, want within 1 s", key, waited)
						}
					})
				}
				committer.Step(t.Context())
				clock.Advance(interval)
				if committer.Stalled() {
					t.Fatalf("stalled after %d conflicts, each of which was resolved", number)
				}
			}
			if inFlight := 12; settled < conflicts-inFlight || stored < others-1 {
				t.Errorf("%d of %d conflicts were settled and %d of %d other records stored", settled, conflicts, stored, others)
			}
		})
	}
}

// Records that wait after repeated conflicts do not count for the delay of a new job. Otherwise, enough of them would have
// the leader refuse all submissions.
func TestDeferredRecordsDoNotDelayNewJobs(t *testing.T) {
	clock := clockwork.NewFakeClock()
	limits := settings.StateLimits{WriteRPS: 100, TxnOps: 12, ValueKB: 16}
	state, source, committer := newTestCommitterWithin(clock, limits)
	source.conditions = map[string][]Condition{}
	for number := range 200 {
		id := fmt.Sprintf("run-%06d", number)
		state.Put(FinalKey(id), "damaged")
		addEndedJob(source, committer, id)
	}
	for end := clock.Now().Add(time.Minute); clock.Now().Before(end); {
		clock.Advance(max(time.Millisecond, committer.Step(t.Context())))
	}
	if delay := committer.Delay(); delay > time.Second {
		t.Errorf("a new job would wait %v behind %d records that wait after conflicts", delay, committer.Pending())
	}
	source.values[JobKey("run-900000")] = "job"
	stored := false
	committer.MarkDirty(JobKey("run-900000"), Urgent, func() { stored = true })
	for end := clock.Now().Add(time.Second); clock.Now().Before(end); {
		clock.Advance(max(time.Millisecond, committer.Step(t.Context())))
	}
	if !stored {
		t.Error("a new job was not stored within 1 s")
	}
}
