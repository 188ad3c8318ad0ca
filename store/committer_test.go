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
	values    map[string]any
	lead      Condition
	deposed   bool
	conflicts []string
}

func (s *fakeSource) Record(key string) (any, bool, []Condition) {
	v, ok := s.values[key]
	return v, ok, nil
}
func (s *fakeSource) Condition() (Condition, bool) { return s.lead, true }
func (s *fakeSource) Conflict(key string, _ *Item) { s.conflicts = append(s.conflicts, key) }
func (s *fakeSource) Committed()                   {}
func (s *fakeSource) Deposed()                     { s.deposed = true }

// newTestCommitter returns a committer that leads, with its state service and the source of its records.
func newTestCommitter() (*fake.State, *fakeSource, *Committer) {
	return newTestCommitterAt(clockwork.NewFakeClock())
}

func newTestCommitterAt(clock clockwork.Clock) (*fake.State, *fakeSource, *Committer) {
	return newTestCommitterWithin(clock, settings.State{WriteRPS: 60, TxnOps: 12, ValueKB: 16})
}

// newTestCommitterWithin returns a committer that leads and keeps to limits; its state service does not enforce
// any.
func newTestCommitterWithin(clock clockwork.Clock, limits settings.State) (*fake.State, *fakeSource, *Committer) {
	state := fake.NewState(clock)
	source := &fakeSource{values: map[string]any{}}
	source.lead = Condition{LeaderKey, state.Put(LeaderKey, LeaderRecord{Member: "a"})}
	return state, source, NewCommitter(NewClient("state:1", state), source, clock, limits, map[string]uint64{})
}

// decodeString decodes a stored string; a missing value is the empty one.
func decodeString(t *testing.T, encoded json.RawMessage) (v string) {
	t.Helper()
	if encoded != nil && json.Unmarshal(encoded, &v) != nil {
		t.Fatalf("value %s", encoded)
	}
	return v
}

// With the write limit used up, an accepted job is stored as soon as the limit allows one change, and not
// only when it allows all pending ones.
func TestUrgentRecordNeedsCapacityForItselfOnly(t *testing.T) {
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
	if left := committer.Pending(); left != 200-48 {
		t.Fatalf("%d records wait, want all but a second's worth", left)
	}
	source.values[JobKey("run-2")] = "job"
	committer.MarkDirty(JobKey("run-2"), Urgent, nil)
	wait := committer.Step(ctx)
	if wait <= 0 || wait > time.Second/40 {
		t.Fatalf("waits %v for one change", wait)
	}
	clock.Advance(wait + time.Millisecond)
	committer.Step(ctx)
	if state.Get(JobKey("run-2")) == nil {
		t.Error("the accepted job waits behind ordinary records")
	}
}

// A leader that continues after it was deposed must not write: its transactions are conditional on the
// leader's key.
func TestDeposedLeaderCannotCommit(t *testing.T) {
	state, source, committer := newTestCommitter()
	state.Put(LeaderKey, LeaderRecord{Member: "b"})
	source.values["sf/t/run-1/0"] = "old"
	stored := false
	committer.MarkDirty("sf/t/run-1/0", Ordinary, func() { stored = true })
	committer.Step(t.Context())
	if state.Get("sf/t/run-1/0") != nil || stored || !source.deposed {
		t.Errorf("written %s, callback run %v, deposed %v", state.Get("sf/t/run-1/0"), stored, source.deposed)
	}
}

// A transaction without a response that is executed late must not undo a newer one.
func TestLateTransactionCannotUndoNewerOne(t *testing.T) {
	state, source, committer := newTestCommitter()
	const key = "sf/t/run-1/0"
	source.values[key] = "first"
	committer.MarkDirty(key, Ordinary, nil)
	state.HoldNext = true
	committer.Step(t.Context())
	source.values[key] = "second"
	committer.Step(t.Context())
	if got := decodeString(t, state.Get(key)); got != "second" {
		t.Fatalf("stored %q", got)
	}
	state.Deliver()
	if got := decodeString(t, state.Get(key)); got != "second" {
		t.Errorf("a late transaction wrote %q", got)
	}
}

// A transaction that was executed although its response was lost counts once its key is read back, and its
// callbacks run once.
func TestLostResponseRunsCallbackOnce(t *testing.T) {
	state, source, committer := newTestCommitter()
	source.values["sf/j/run-1"] = "job"
	stored := 0
	committer.MarkDirty("sf/j/run-1", Urgent, func() { stored++ })
	state.LoseAnswer = true
	committer.Step(t.Context())
	if stored != 0 {
		t.Fatal("callback run before the outcome was known")
	}
	committer.Step(t.Context())
	if stored != 1 || len(source.conflicts) != 1 {
		t.Errorf("callback run %d times, conflicts %v", stored, source.conflicts)
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
	if state.Get("sf/j/run-9") == nil || state.Largest.Ops > 12 {
		t.Errorf("accepted job not first, or %d changes", state.Largest.Ops)
	}
	for range 10 {
		committer.Step(t.Context())
	}
	// While the clock is stopped, no more than the changes of one second are written.
	if committer.Pending() != 0 {
		t.Errorf("%d records wait", committer.Pending())
	}
}

func TestOutageKeepsRecordsWaiting(t *testing.T) {
	state, source, committer := newTestCommitter()
	source.values["sf/j/run-1"] = "job"
	committer.MarkDirty("sf/j/run-1", Urgent, nil)
	state.Down = true
	if committer.Step(t.Context()) == 0 || committer.Pending() != 1 {
		t.Error("the record does not wait for the service")
	}
	state.Down = false
	committer.Step(t.Context())
	if state.Get("sf/j/run-1") == nil {
		t.Error("not written after the outage")
	}
}

// A transaction whose response is late is sent once more, and its callbacks run as soon as either is answered.
// Only one of the two takes effect. One response in 25 took 240 ms on a day of the fleet, and held up all
// records behind it.
func TestLateAnswersAreNotWaitedFor(t *testing.T) {
	for _, executed := range []bool{true, false} {
		t.Run(fmt.Sprintf("executed %v", executed), func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			state, source, committer := newTestCommitterWithin(clock, settings.State{WriteRPS: 100, TxnOps: 12, ValueKB: 16})
			stored := 0
			source.values[JobKey("run-1")] = "job"
			committer.MarkDirty(JobKey("run-1"), Urgent, func() { stored++ })
			late := state.LateNext(executed)
			var read *fake.Late
			if executed {
				// The read that finds the effect of the first is late as well.
				read = state.LateRead(false)
			}
			done := make(chan struct{})
			go func() {
				committer.Step(t.Context())
				close(done)
			}()
			<-late.Asked
			if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
				t.Fatal(err)
			}
			clock.Advance(40 * time.Millisecond)
			// If the first was executed, the second fails; its effect is read back, its response is not
			// waited for.
			if executed {
				<-read.Asked
			}
			advanceUntil(clock, done)
			if stored != 1 || decodeString(t, state.Get(JobKey("run-1"))) != "job" {
				t.Errorf("callback run %d times", stored)
			}
			late.Answer()
			if executed {
				read.Answer()
			}
			source.values[JobKey("run-1")] = "newer"
			committer.MarkDirty(JobKey("run-1"), Urgent, nil)
			committer.Step(t.Context())
			if len(source.conflicts) > 0 || decodeString(t, state.Get(JobKey("run-1"))) != "newer" {
				t.Errorf("conflicts %v", source.conflicts)
			}
		})
	}
}

// advanceUntil advances the clock until done is closed.
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

// A record that the state service rejects, whether that is known beforehand or not, is quarantined and logged
// with its key. All others are written, and so is it once it is accepted.
func TestPoisonedRecordIsSetAside(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state, source, committer := newTestCommitterWithin(clock, settings.State{WriteRPS: 1000, TxnOps: 12, ValueKB: 16})
	large, spaced := JobKey("run-000001"), JobKey("with space")
	source.values[large], source.values[spaced] = strings.Repeat("x", 17<<10), "job"
	stored := map[string]bool{}
	touch := func(key string) { committer.MarkDirty(key, Urgent, func() { stored[key] = true }) }
	touch(large)
	touch(spaced)
	var others []string
	for i := range 30 {
		key := JobKey(fmt.Sprintf("run-%06d", 100+i))
		source.values[key] = "job"
		others = append(others, key)
		touch(key)
	}
	for range 40 {
		committer.Step(t.Context())
	}
	for _, key := range others {
		if !stored[key] {
			t.Fatalf("%s waits behind what cannot be stored", key)
		}
	}
	if stored[large] || stored[spaced] || committer.Pending() != 2 {
		t.Fatalf("stored %v %v, %d wait", stored[large], stored[spaced], committer.Pending())
	}
	if count := state.Requests; committer.Step(t.Context()) <= 0 || state.Requests != count {
		t.Error("what is set aside is tried again at once")
	}
	source.values[large] = "short now"
	clock.Advance(tuning.QuarantineTime + time.Second)
	for range 3 {
		committer.Step(t.Context())
	}
	if !stored[large] || stored[spaced] {
		t.Errorf("after the pause: stored %v %v", stored[large], stored[spaced])
	}
}

// The announced rate applies from the first refusal on, in the middle of a burst: nothing is refused after
// that, and accepted jobs still go before other pending records.
func TestRateSinksAtTheFirstRefusal(t *testing.T) {
	clock := clockwork.NewFakeClock()
	limits := settings.State{WriteRPS: 60, TxnOps: 12, ValueKB: 16, Next: settings.NextState{WriteRPS: 42, ValueKB: 2, TxnOps: 4}}
	state, source, committer := newTestCommitterWithin(clock, limits)
	state.Limit(fake.Limits{WriteRPS: 60, ValueKB: 16, TxnOps: 12})
	burst := func(from, to int) {
		for i := from; i < to; i++ {
			key := Shard{"run-1", i, 40}.Key()
			source.values[key] = "x"
			committer.MarkDirty(key, Lazy, nil)
		}
	}
	ctx := t.Context()
	play := func(d time.Duration) {
		for end := clock.Now().Add(d); clock.Now().Before(end); {
			clock.Advance(max(time.Millisecond, committer.Step(ctx)))
		}
	}
	burst(0, 900)
	play(2 * time.Second)
	state.Limit(fake.Limits{WriteRPS: 42, ValueKB: 2, TxnOps: 4})
	play(9 * time.Second)
	if count := state.Refusals()["too many changes"]; count < 1 || count > 2 {
		t.Fatalf("%d refusals, want one or two", count)
	}
	before := state.Refusals()
	burst(900, 1400)
	stored := false
	source.values[JobKey("run-2")] = "job"
	committer.MarkDirty(JobKey("run-2"), Urgent, func() { stored = true })
	if committer.Step(ctx); !stored {
		t.Error("an accepted job waits though a part of the limit is reserved for it")
	}
	play(5 * time.Second)
	if after := state.Refusals(); !maps.Equal(before, after) || state.Largest.Ops > 4 {
		t.Errorf("refused %v, then %v; %d changes at once", before, after, state.Largest.Ops)
	}
	if committer.Pending() > 800 {
		t.Errorf("%d still wait", committer.Pending())
	}
}

// Ends of tasks wait for other changes of their record; a start in the same record is written together with
// them, and an accepted job does not wait for them.
func TestDelayedRecordsWaitForOtherChanges(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state, source, committer := newTestCommitterAt(clock)
	ctx := t.Context()
	shard, other := Shard{"run-1", 0, 40}.Key(), Shard{"run-1", 1, 40}.Key()
	source.values[shard], source.values[other], source.values[JobKey("run-2")] = "ends", "ends", "job"
	ends, accepted := 0, false
	committer.MarkDirtyWithin(shard, Ordinary+2, 2*time.Second, func() { ends++ })
	committer.MarkDirtyWithin(other, Ordinary+2, 2*time.Second, func() { ends++ })
	if committer.Step(ctx) == 0 || ends > 0 {
		t.Fatal("written at once")
	}
	committer.MarkDirty(JobKey("run-2"), Urgent, func() { accepted = true })
	committer.Step(ctx)
	if !accepted || ends > 0 || state.Get(shard) != nil {
		t.Fatal("an accepted job waits, or is written with ends that wait for other changes")
	}
	committer.MarkDirtyWithin(shard, Ordinary+2, 2*time.Second, func() { ends++ })
	committer.MarkDirty(shard, Ordinary+2, nil)
	committer.Step(ctx)
	if ends != 2 || state.Get(other) != nil {
		t.Fatalf("%d callbacks of ends run after a start in their record", ends)
	}
	clock.Advance(2 * time.Second)
	committer.Step(ctx)
	if ends != 3 {
		t.Error("not written when its time has come")
	}
}

// While records of a higher rank arrive faster than the limit allows, those of lower ranks get a share of the
// changes once they have waited 5 s, oldest first. Accepted jobs still go first.
func TestRecordsOfLowRanksDoNotWaitForEver(t *testing.T) {
	clock := clockwork.NewFakeClock()
	_, source, committer := newTestCommitterAt(clock)
	written := map[string]time.Duration{}
	from, count := clock.Now(), 0
	put := func(key string, urgency int) {
		source.values[key] = "v"
		committer.MarkDirty(key, urgency, func() { written[key] = clock.Since(from) })
	}
	for i := range 60 {
		put(fmt.Sprintf("sf/t/low-%02d", i), Ordinary+3)
	}
	for clock.Since(from) < 20*time.Second {
		for range 10 {
			count++
			put(fmt.Sprintf("sf/t/high-%d", count), Ordinary)
		}
		accepted := JobKey(fmt.Sprintf("run-%d", count))
		put(accepted, Urgent)
		for range 10 {
			committer.Step(t.Context())
			clock.Advance(10 * time.Millisecond)
		}
		if at, ok := written[accepted]; !ok || clock.Since(from)-at > 150*time.Millisecond {
			t.Fatalf("an accepted job waits: %v", at)
		}
	}
	for i := range 60 {
		if at, ok := written[fmt.Sprintf("sf/t/low-%02d", i)]; !ok || at > 10*time.Second {
			t.Errorf("record %d of a low rank was written after %v, %v", i, at, ok)
		}
	}
}
