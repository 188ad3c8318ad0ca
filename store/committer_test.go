package store

import (
	"encoding/json"
	"fmt"
	"maps"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/internal/fake"
	"switchferry/settings"
	"switchferry/tuning"
)

// fakeSource is a RecordSource whose records the test sets.
type fakeSource struct {
	values map[string]any
	// conditions has the extra conditions of each key.
	conditions map[string][]Condition
	leader     Condition
	deposed    bool
	conflicts  []string
	// onConflict is called with the key of each conflict, unless it is nil.
	onConflict func(key string)
	// onRecord is called with the key of each record that is built for a transaction, unless it is nil.
	onRecord func(key string)
}

func (s *fakeSource) Record(key string) (any, bool, []Condition) {
	if s.onRecord != nil {
		s.onRecord(key)
	}
	v, ok := s.values[key]
	return v, ok, s.conditions[key]
}
func (s *fakeSource) Condition() (Condition, bool) { return s.leader, true }
func (s *fakeSource) Conflict(key string, _ *Item) {
	s.conflicts = append(s.conflicts, key)
	if s.onConflict != nil {
		s.onConflict(key)
	}
}
func (s *fakeSource) Committed() {}
func (s *fakeSource) Deposed()   { s.deposed = true }

// newTestCommitter returns a fake state service, a source of records, and a committer of the leader that uses both.
func newTestCommitter() (*fake.State, *fakeSource, *Committer) {
	return newTestCommitterAt(clockwork.NewFakeClock())
}

func newTestCommitterAt(clock clockwork.Clock) (*fake.State, *fakeSource, *Committer) {
	return newTestCommitterWithin(clock, settings.StateLimits{WriteRPS: 60, TxnOps: 12, ValueKB: 16})
}

// newTestCommitterWithin is newTestCommitter with a committer that stays within limits. The state service does not
// enforce any limits.
func newTestCommitterWithin(clock clockwork.Clock, limits settings.StateLimits) (*fake.State, *fakeSource, *Committer) {
	state := fake.NewState(clock)
	source := &fakeSource{values: map[string]any{}}
	source.leader = Condition{LeaderKey, state.Put(LeaderKey, LeaderRecord{Member: "a"})}
	return state, source, NewCommitter(NewClient("state:1", state), source, clock, limits, map[string]uint64{})
}

// decodeString decodes a stored string. It returns an empty string for a missing value.
func decodeString(t *testing.T, encoded json.RawMessage) (v string) {
	t.Helper()
	if encoded != nil && json.Unmarshal(encoded, &v) != nil {
		t.Fatalf("stored value %s is not a JSON string", encoded)
	}
	return v
}

// When the write limit is used up, an accepted job is stored as soon as the limit allows one change. It does not wait
// until the limit allows all pending changes.
func TestUrgentRecordWaitsOnlyForItsOwnChange(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state, source, committer := newTestCommitterAt(clock)
	for i := range 200 {
		key := Shard{"run-1", i, 400}.Key()
		source.values[key] = "x"
		committer.MarkDirty(key, Ordinary, nil)
	}
	ctx := t.Context()
	for range 20 {
		committer.Step(ctx)
	}
	if pending := committer.Pending(); pending != 200-48 {
		t.Fatalf("%d records are pending, want all but those of one second", pending)
	}
	source.values[JobKey("run-2")] = "job"
	committer.MarkDirty(JobKey("run-2"), Urgent, nil)
	wait := committer.Step(ctx)
	if wait <= 0 || wait > time.Second/40 {
		t.Fatalf("Step waits %v, want the time for one change", wait)
	}
	clock.Advance(wait + time.Millisecond)
	committer.Step(ctx)
	if state.Get(JobKey("run-2")) == nil {
		t.Error("the accepted job was not stored before ordinary records")
	}
}

// A deposed leader that is not aware of it cannot write, because its transactions are conditional on the leader's key.
func TestDeposedLeaderCannotCommit(t *testing.T) {
	state, source, committer := newTestCommitter()
	state.Put(LeaderKey, LeaderRecord{Member: "b"})
	source.values["sf/t/run-1/0"] = "old"
	stored := false
	committer.MarkDirty("sf/t/run-1/0", Ordinary, func() { stored = true })
	committer.Step(t.Context())
	if state.Get("sf/t/run-1/0") != nil || stored || !source.deposed {
		t.Errorf("stored value %s, callback ran %v, deposed %v", state.Get("sf/t/run-1/0"), stored, source.deposed)
	}
}

// A transaction that got no response and is executed late does not overwrite the result of a newer one.
func TestLateTransactionCannotOverwriteNewerOne(t *testing.T) {
	state, source, committer := newTestCommitter()
	const key = "sf/t/run-1/0"
	source.values[key] = "first"
	committer.MarkDirty(key, Ordinary, nil)
	state.HoldNextTransaction = true
	committer.Step(t.Context())
	source.values[key] = "second"
	committer.Step(t.Context())
	if got := decodeString(t, state.Get(key)); got != "second" {
		t.Fatalf("stored %q, want the second value", got)
	}
	state.ExecuteHeld()
	if got := decodeString(t, state.Get(key)); got != "second" {
		t.Errorf("a late transaction wrote %q", got)
	}
}

// If a transaction was executed and its response was lost, the committer finds this by reading the key back, and runs
// the callbacks once.
func TestLostResponseRunsCallbackOnce(t *testing.T) {
	state, source, committer := newTestCommitter()
	source.values["sf/j/run-1"] = "job"
	stored := 0
	committer.MarkDirty("sf/j/run-1", Urgent, func() { stored++ })
	state.LoseNextAnswer = true
	committer.Step(t.Context())
	if stored != 0 {
		t.Fatal("callback ran before the outcome was known")
	}
	committer.Step(t.Context())
	if stored != 1 || len(source.conflicts) != 1 {
		t.Errorf("callback ran %d times, conflicts %v", stored, source.conflicts)
	}
}

func TestUrgentRecordsGoFirstWithinTransactionLimit(t *testing.T) {
	state, source, committer := newTestCommitter()
	for _, k := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m"} {
		source.values["sf/t/"+k] = k
		committer.MarkDirty("sf/t/"+k, Lazy, nil)
	}
	source.values["sf/j/run-9"] = "job"
	committer.MarkDirty("sf/j/run-9", Urgent, nil)
	committer.Step(t.Context())
	if state.Get("sf/j/run-9") == nil || state.LargestTransaction.Ops > 12 {
		t.Errorf("the accepted job was not written first, or a transaction had %d changes", state.LargestTransaction.Ops)
	}
	for range 10 {
		committer.Step(t.Context())
	}
	// The clock does not advance. The write limit allows all changes of this test within one second.
	if committer.Pending() != 0 {
		t.Errorf("%d records are still pending", committer.Pending())
	}
}

func TestOutageKeepsRecordsPending(t *testing.T) {
	state, source, committer := newTestCommitter()
	source.values["sf/j/run-1"] = "job"
	committer.MarkDirty("sf/j/run-1", Urgent, nil)
	state.Down = true
	if committer.Step(t.Context()) == 0 || committer.Pending() != 1 {
		t.Error("the record is not pending during the outage")
	}
	state.Down = false
	committer.Step(t.Context())
	if state.Get("sf/j/run-1") == nil {
		t.Error("the record was not written after the outage")
	}
}

// A transaction whose response is late is resent, and its callbacks run as soon as either attempt is answered. Only one
// of the two takes effect. Without resending, one response in 25 took 240 ms on one day in production and delayed all
// records behind it.
func TestLateResponseDoesNotDelayCommit(t *testing.T) {
	for _, executed := range []bool{true, false} {
		t.Run(fmt.Sprintf("executed %v", executed), func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			state, source, committer := newTestCommitterWithin(clock, settings.StateLimits{WriteRPS: 100, TxnOps: 12, ValueKB: 16})
			stored := 0
			source.values[JobKey("run-1")] = "job"
			committer.MarkDirty(JobKey("run-1"), Urgent, func() { stored++ })
			late := state.DelayNextTransaction(executed)
			var read *fake.DelayedAnswer
			if executed {
				// The response to the read that verifies the first attempt is late as well.
				read = state.DelayNextRead(false)
			}
			done := make(chan struct{})
			go func() {
				committer.Step(t.Context())
				close(done)
			}()
			<-late.Received
			if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
				t.Fatal(err)
			}
			clock.Advance(40 * time.Millisecond)
			// If the first attempt was executed, the second one fails with a conflict. The committer then reads
			// the key and does not wait for the first response.
			if executed {
				<-read.Received
			}
			advanceUntil(clock, done)
			if stored != 1 || decodeString(t, state.Get(JobKey("run-1"))) != "job" {
				t.Errorf("callback ran %d times", stored)
			}
			late.Release()
			if executed {
				read.Release()
			}
			source.values[JobKey("run-1")] = "newer"
			committer.MarkDirty(JobKey("run-1"), Urgent, nil)
			committer.Step(t.Context())
			if len(source.conflicts) > 0 || decodeString(t, state.Get(JobKey("run-1"))) != "newer" {
				t.Errorf("conflicts %v, want none and the newer value stored", source.conflicts)
			}
		})
	}
}

// advanceUntil advances the clock in steps of 1 ms until done is closed.
func advanceUntil(clock *clockwork.FakeClock, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
			clock.Advance(time.Millisecond)
			runtime.Gosched()
		}
	}
}

// A record that is too large or that the state service rejects is quarantined, and all other records are written. The
// quarantined record is written after the quarantine if it is acceptable by then.
func TestRejectedRecordIsQuarantined(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state, source, committer := newTestCommitterWithin(clock, settings.StateLimits{WriteRPS: 1000, TxnOps: 12, ValueKB: 16})
	tooLarge, invalid := JobKey("run-000001"), JobKey("with space")
	source.values[tooLarge], source.values[invalid] = strings.Repeat("x", 17<<10), "job"
	stored := map[string]bool{}
	markDirty := func(key string) { committer.MarkDirty(key, Urgent, func() { stored[key] = true }) }
	markDirty(tooLarge)
	markDirty(invalid)
	var others []string
	for i := range 30 {
		key := JobKey(fmt.Sprintf("run-%06d", 100+i))
		source.values[key] = "job"
		others = append(others, key)
		markDirty(key)
	}
	for range 40 {
		committer.Step(t.Context())
	}
	for _, key := range others {
		if !stored[key] {
			t.Fatalf("%s is blocked by a record that cannot be stored", key)
		}
	}
	if stored[tooLarge] || stored[invalid] || committer.Pending() != 2 {
		t.Fatalf("too large record stored %v, invalid record stored %v, %d pending; want neither stored and both pending", stored[tooLarge], stored[invalid], committer.Pending())
	}
	if count := state.Requests; committer.Step(t.Context()) <= 0 || state.Requests != count {
		t.Error("quarantined records were retried at once")
	}
	source.values[tooLarge] = "short now"
	clock.Advance(tuning.QuarantineTime + time.Second)
	for range 3 {
		committer.Step(t.Context())
	}
	if !stored[tooLarge] || stored[invalid] {
		t.Errorf("after the quarantine: shortened record stored %v, invalid record stored %v; want only the shortened one", stored[tooLarge], stored[invalid])
	}
}

// The committer lowers its rate to the announced one at the first refusal, in the middle of a burst. After that the
// state service refuses nothing, and accepted jobs are still written before other pending records.
func TestRateIsLoweredAtFirstRefusal(t *testing.T) {
	clock := clockwork.NewFakeClock()
	limits := settings.StateLimits{WriteRPS: 60, TxnOps: 12, ValueKB: 16, Announced: settings.AnnouncedStateLimits{WriteRPS: 42, ValueKB: 2, TxnOps: 4}}
	state, source, committer := newTestCommitterWithin(clock, limits)
	state.SetLimits(fake.Limits{WriteRPS: 60, ValueKB: 16, TxnOps: 12})
	markDirtyRange := func(from, to int) {
		for i := from; i < to; i++ {
			key := Shard{"run-1", i, 40}.Key()
			source.values[key] = "x"
			committer.MarkDirty(key, Lazy, nil)
		}
	}
	ctx := t.Context()
	runFor := func(d time.Duration) {
		for end := clock.Now().Add(d); clock.Now().Before(end); {
			clock.Advance(max(time.Millisecond, committer.Step(ctx)))
		}
	}
	markDirtyRange(0, 900)
	runFor(2 * time.Second)
	state.SetLimits(fake.Limits{WriteRPS: 42, ValueKB: 2, TxnOps: 4})
	runFor(9 * time.Second)
	if count := state.Refusals()["too many changes"]; count < 1 || count > 2 {
		t.Fatalf("%d refusals, want one or two", count)
	}
	before := state.Refusals()
	markDirtyRange(900, 1400)
	stored := false
	source.values[JobKey("run-2")] = "job"
	committer.MarkDirty(JobKey("run-2"), Urgent, func() { stored = true })
	if committer.Step(ctx); !stored {
		t.Error("an accepted job was not written although a part of the limit is reserved for it")
	}
	runFor(5 * time.Second)
	if after := state.Refusals(); !maps.Equal(before, after) || state.LargestTransaction.Ops > 4 {
		t.Errorf("refusals %v, then %v; %d changes in one transaction", before, after, state.LargestTransaction.Ops)
	}
	if committer.Pending() > 800 {
		t.Errorf("%d records are still pending", committer.Pending())
	}
}

// Completions of tasks wait for other changes of their record. A start in the same record is written at once, together
// with them. An accepted job does not wait for them.
func TestDelayedRecordsWaitForOtherChanges(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state, source, committer := newTestCommitterAt(clock)
	ctx := t.Context()
	shard, other := Shard{"run-1", 0, 40}.Key(), Shard{"run-1", 1, 40}.Key()
	source.values[shard], source.values[other], source.values[JobKey("run-2")] = "ends", "ends", "job"
	completions, accepted := 0, false
	committer.MarkDirtyWithin(shard, Ordinary+2, 2*time.Second, func() { completions++ })
	committer.MarkDirtyWithin(other, Ordinary+2, 2*time.Second, func() { completions++ })
	if committer.Step(ctx) == 0 || completions > 0 {
		t.Fatal("a delayed record was written at once")
	}
	committer.MarkDirty(JobKey("run-2"), Urgent, func() { accepted = true })
	committer.Step(ctx)
	if !accepted || completions > 0 || state.Get(shard) != nil {
		t.Fatal("an accepted job was delayed, or was written together with delayed records")
	}
	committer.MarkDirtyWithin(shard, Ordinary+2, 2*time.Second, func() { completions++ })
	committer.MarkDirty(shard, Ordinary+2, nil)
	committer.Step(ctx)
	if completions != 2 || state.Get(other) != nil {
		t.Fatalf("after a start in their record, %d completions are stored, want 2", completions)
	}
	clock.Advance(2 * time.Second)
	committer.Step(ctx)
	if completions != 3 {
		t.Error("a delayed record was not written after its delay")
	}
}

// While records of a higher rank arrive faster than the write limit allows, records of lower ranks that have waited 5 s
// get a share of the changes, oldest first. Accepted jobs are still written first.
func TestOverdueRecordsOfLowerRanksAreWritten(t *testing.T) {
	clock := clockwork.NewFakeClock()
	_, source, committer := newTestCommitterAt(clock)
	writtenAfter := map[string]time.Duration{}
	startedAt, count := clock.Now(), 0
	markDirty := func(key string, urgency int) {
		source.values[key] = "v"
		committer.MarkDirty(key, urgency, func() { writtenAfter[key] = clock.Since(startedAt) })
	}
	for i := range 60 {
		markDirty(fmt.Sprintf("sf/t/low-%02d", i), Ordinary+3)
	}
	for clock.Since(startedAt) < 20*time.Second {
		for range 10 {
			count++
			markDirty(fmt.Sprintf("sf/t/high-%d", count), Ordinary)
		}
		acceptedKey := JobKey(fmt.Sprintf("run-%d", count))
		markDirty(acceptedKey, Urgent)
		for range 10 {
			committer.Step(t.Context())
			clock.Advance(10 * time.Millisecond)
		}
		if at, ok := writtenAfter[acceptedKey]; !ok || clock.Since(startedAt)-at > 150*time.Millisecond {
			t.Fatalf("an accepted job was delayed: stored %v after the start", at)
		}
	}
	for i := range 60 {
		if at, ok := writtenAfter[fmt.Sprintf("sf/t/low-%02d", i)]; !ok || at > 10*time.Second {
			t.Errorf("record %d of a lower rank was written after %v (written: %v)", i, at, ok)
		}
	}
}
