package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"switchferry/internal/fake"
	"switchferry/settings"
	"switchferry/tuning"
)

// fakeSource is a term whose records are what the test says.
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

func newTestCommitter() (*fake.State, *fakeSource, *Committer) {
	return newTestCommitterAt(clockwork.NewFakeClock())
}

func newTestCommitterAt(clock clockwork.Clock) (*fake.State, *fakeSource, *Committer) {
	state := fake.NewState(clock)
	source := &fakeSource{values: map[string]any{}}
	source.lead = Condition{LeaderKey, state.Put(LeaderKey, LeaderRecord{Member: "a"})}
	committer := NewCommitter(NewClient("x:1", state), source, clock, settings.State{WriteRPS: 60, TxnOps: 12, ValueKB: 16}, map[string]uint64{})
	return state, source, committer
}

func decodeString(t *testing.T, encoded json.RawMessage) (v string) {
	t.Helper()
	if encoded != nil && json.Unmarshal(encoded, &v) != nil {
		t.Fatalf("value %s", encoded)
	}
	return v
}

// With the limit of writes used up, an accept goes out as soon as there is room
// for one change, and not when there is room for all that waits with it.
func TestUrgentRecordNeedsCapacityForItselfOnly(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state, source, committer := newTestCommitterAt(clock)
	for i := range 200 {
		key := Shard{"run-1", i, 400}.Key()
		source.values[key] = "x"
		committer.MarkDirty(key, Ordinary, nil)
	}
	ctx := context.Background()
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
		t.Error("the accept waits behind ordinary records")
	}
}

// A leader that wakes up late must not write: its transactions are conditional
// on the leader's key.
func TestDeposedLeaderCannotCommit(t *testing.T) {
	state, source, committer := newTestCommitter()
	state.Put(LeaderKey, LeaderRecord{Member: "b"})
	source.values["sf/t/run-1/0"] = "old"
	stored := false
	committer.MarkDirty("sf/t/run-1/0", Ordinary, func() { stored = true })
	committer.Step(context.Background())
	if state.Get("sf/t/run-1/0") != nil || stored || !source.deposed {
		t.Errorf("written %s, told %v, deposed %v", state.Get("sf/t/run-1/0"), stored, source.deposed)
	}
}

// A transaction without an answer that is applied late must not undo a newer
// one.
func TestLateTransactionCannotUndoNewerOne(t *testing.T) {
	state, source, committer := newTestCommitter()
	const key = "sf/t/run-1/0"
	source.values[key] = "first"
	committer.MarkDirty(key, Ordinary, nil)
	state.HoldNext = true
	committer.Step(context.Background())
	source.values[key] = "second"
	committer.Step(context.Background())
	if got := decodeString(t, state.Get(key)); got != "second" {
		t.Fatalf("stored %q", got)
	}
	state.Deliver()
	if got := decodeString(t, state.Get(key)); got != "second" {
		t.Errorf("a late transaction wrote %q", got)
	}
}

// A transaction that was applied although its answer was lost counts once the
// key is read again, and what waits for it runs once.
func TestLostResponseRunsCallbackOnce(t *testing.T) {
	state, source, committer := newTestCommitter()
	source.values["sf/j/run-1"] = "job"
	stored := 0
	committer.MarkDirty("sf/j/run-1", Urgent, func() { stored++ })
	state.LoseAnswer = true
	committer.Step(context.Background())
	if stored != 0 {
		t.Fatal("told before the outcome was known")
	}
	committer.Step(context.Background())
	if stored != 1 || len(source.conflicts) != 1 {
		t.Errorf("told %d times, conflicts %v", stored, source.conflicts)
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
	committer.Step(context.Background())
	if state.Get("sf/j/run-9") == nil || state.Largest.Ops > 12 {
		t.Errorf("accept not first, or %d changes", state.Largest.Ops)
	}
	for range 10 {
		committer.Step(context.Background())
	}
	// On a clock that stands still no more than one second's worth goes out.
	if committer.Pending() != 0 {
		t.Errorf("%d records wait", committer.Pending())
	}
}

func TestOutageKeepsRecordsWaiting(t *testing.T) {
	state, source, committer := newTestCommitter()
	source.values["sf/j/run-1"] = "job"
	committer.MarkDirty("sf/j/run-1", Urgent, nil)
	state.Down = true
	if committer.Step(context.Background()) == 0 || committer.Pending() != 1 {
		t.Error("the record does not wait for the service")
	}
	state.Down = false
	committer.Step(context.Background())
	if state.Get("sf/j/run-1") == nil {
		t.Error("not written after the outage")
	}
}

func TestTaskBitmapAndShardKeys(t *testing.T) {
	bitmap := NewTaskBitmap(1000)
	for _, i := range []int{0, 399, 400, 807, 999} {
		bitmap.Set(i)
	}
	got := NewTaskBitmap(1000)
	for s := range 3 {
		x := Shard{"run-1", s, 400}
		if err := got.Unpack(x, bitmap.Pack(x)); err != nil {
			t.Fatal(err)
		}
	}
	small := NewTaskBitmap(1000)
	for s := range 25 {
		x := Shard{"run-1", s, 40}
		if err := small.Unpack(x, bitmap.Pack(x)); err != nil {
			t.Fatal(err)
		}
	}
	if !slices.Equal(small, bitmap) {
		t.Error("in shards of 40 other tasks are done")
	}
	for i := range 1000 {
		if got.Has(i) != bitmap.Has(i) {
			t.Fatalf("bit %d", i)
		}
	}
	if got.Unpack(Shard{"run-1", 2, 400}, "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA") == nil {
		t.Error("a shard longer than its job was taken")
	}
	for _, x := range []Shard{{"run-000412", 17, 400}, {"run-000412", 17, 40}} {
		if got, ok := ParseShard(x.Key()); got != x || !ok {
			t.Error(got, ok)
		}
	}
	if old := (Shard{"run-000412", 17, 400}).Key(); old != "sf/t/run-000412/17" {
		t.Error("the first version does not know", old)
	}
	for _, bad := range []string{"sf/t/run-1", "sf/t/run-1/", "sf/t/run-1/-1", "sf/t/run-1/1.", "sf/t/run-1/1.0", "sf/t/run-1/1.7", "sf/t/run-1/999999999"} {
		if _, ok := ParseShard(bad); ok {
			t.Error("taken:", bad)
		}
	}
}

// A transaction whose answer is late is sent once more, and whoever waits for it is told as
// soon as either is answered. Only one of the two takes effect. One answer in 25 took
// 240 ms on a day of the fleet, and held up all that stood behind it.
func TestLateAnswersAreNotWaitedFor(t *testing.T) {
	for _, executed := range []bool{true, false} {
		clock := clockwork.NewFakeClock()
		state := fake.NewState(clock)
		leader := Condition{LeaderKey, state.Put(LeaderKey, LeaderRecord{Member: "a"})}
		source := &fakeSource{values: map[string]any{}, lead: leader}
		committer := NewCommitter(NewClient("state:1", state), source, clock, settings.State{WriteRPS: 100, TxnOps: 12, ValueKB: 16}, map[string]uint64{})
		stored := 0
		source.values[JobKey("run-1")] = "job"
		committer.MarkDirty(JobKey("run-1"), Urgent, func() { stored++ })
		late := state.LateNext(executed)
		var read *fake.Late
		if executed {
			// So is the reading that tells that the first took effect.
			read = state.LateRead(false)
		}
		done := make(chan struct{})
		go func() {
			committer.Step(context.Background())
			close(done)
		}()
		<-late.Asked
		if err := clock.BlockUntilContext(context.Background(), 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(40 * time.Millisecond)
		// Executed, the second fails; that the first took effect is read, not waited for.
		if executed {
			<-read.Asked
		}
		for waiting := true; waiting; {
			select {
			case <-done:
				waiting = false
			default:
				clock.Advance(time.Millisecond)
				runtime.Gosched()
			}
		}
		if stored != 1 || decodeString(t, state.Get(JobKey("run-1"))) != "job" {
			t.Errorf("executed %v: told %d times", executed, stored)
		}
		late.Answer()
		if executed {
			read.Answer()
		}
		source.values[JobKey("run-1")] = "newer"
		committer.MarkDirty(JobKey("run-1"), Urgent, nil)
		committer.Step(context.Background())
		if len(source.conflicts) > 0 || decodeString(t, state.Get(JobKey("run-1"))) != "newer" {
			t.Errorf("executed %v: conflicts %v", executed, source.conflicts)
		}
	}
}

// A transaction that was sent twice and failed, since another controller wrote one of its keys,
// must not be taken for one of which the first try took effect: a job that a sibling had
// cancelled would start.
func TestForeignWriteIsNoLateAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(state *fake.State)
		err    error
	}{
		{"executed", func(*fake.State) {}, nil},
		{"one key another's", func(state *fake.State) { state.Put(JobKey("run-2"), "withdrawn") }, ErrConflict},
		{"all written, by two", func(state *fake.State) { state.Put(JobKey("run-1"), "a"); state.Put(JobKey("run-2"), "b") }, ErrConflict},
		{"not deleted", func(state *fake.State) { state.Put(JobKey("run-3"), "again") }, ErrConflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			state := fake.NewState(clock)
			client := NewClient("state:1", state)
			gone := Condition{JobKey("run-3"), state.Put(JobKey("run-3"), "old")}
			hedged := NewHedgedClient(client, clock, rate.NewLimiter(10, 10), 10)
			late := state.LateNext(c.err == nil)
			done := make(chan error)
			go func() {
				_, _, err := hedged.Transact(context.Background(), []Condition{{Key: JobKey("run-1")}, {Key: JobKey("run-2")}, gone},
					[]Operation{{Set: JobKey("run-1"), Value: "a"}, {Set: JobKey("run-2"), Value: "b"}, {Delete: gone.Key}})
				done <- err
			}()
			<-late.Asked
			c.before(state)
			if err := clock.BlockUntilContext(context.Background(), 1); err != nil {
				t.Fatal(err)
			}
			clock.Advance(tuning.HedgeAfter)
			if err := <-done; !errors.Is(err, c.err) {
				t.Errorf("told %v, want %v", err, c.err)
			}
			late.Answer()
		})
	}
}

// A record that the state service does not take, whether that can be told beforehand or not,
// is set aside with its name in the log; all others are written, and so is it once it can be.
func TestPoisonedRecordIsSetAside(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state := fake.NewState(clock)
	leader := Condition{LeaderKey, state.Put(LeaderKey, LeaderRecord{Member: "a"})}
	source := &fakeSource{values: map[string]any{}, lead: leader}
	committer := NewCommitter(NewClient("state:1", state), source, clock, settings.State{WriteRPS: 1000, TxnOps: 12, ValueKB: 16}, map[string]uint64{})
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
		committer.Step(context.Background())
	}
	for _, key := range others {
		if !stored[key] {
			t.Fatalf("%s waits behind what cannot be stored", key)
		}
	}
	if stored[large] || stored[spaced] || committer.Pending() != 2 {
		t.Fatalf("told %v %v, %d wait", stored[large], stored[spaced], committer.Pending())
	}
	if count := state.Requests; committer.Step(context.Background()) <= 0 || state.Requests != count {
		t.Error("what is set aside is tried again at once")
	}
	source.values[large] = "short now"
	clock.Advance(tuning.AsideFor + time.Second)
	for range 3 {
		committer.Step(context.Background())
	}
	if !stored[large] || stored[spaced] {
		t.Errorf("after the pause: told %v %v", stored[large], stored[spaced])
	}
}

// The announced rate is kept to from the first refusal on, in the middle of a burst: nothing is
// isolateRecords after that, and accepts still go before what waits.
func TestRateSinksAtTheFirstRefusal(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state, source := fake.NewState(clock), &fakeSource{values: map[string]any{}}
	state.Limit(fake.Limits{WriteRPS: 60, ValueKB: 16, TxnOps: 12})
	limits := settings.State{WriteRPS: 60, TxnOps: 12, ValueKB: 16, Next: settings.NextState{WriteRPS: 42, ValueKB: 2, TxnOps: 4}}
	source.lead = Condition{LeaderKey, state.Put(LeaderKey, LeaderRecord{Member: "a"})}
	committer := NewCommitter(NewClient("state:1", state), source, clock, limits, map[string]uint64{})
	burst := func(from, to int) {
		for i := from; i < to; i++ {
			key := Shard{"run-1", i, 40}.Key()
			source.values[key] = "x"
			committer.MarkDirty(key, Lazy, nil)
		}
	}
	ctx := context.Background()
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
		t.Error("an accept waits though a part of the limit is kept for it")
	}
	play(5 * time.Second)
	if after := state.Refusals(); !maps.Equal(before, after) || state.Largest.Ops > 4 {
		t.Errorf("refused %v, then %v; %d changes at once", before, after, state.Largest.Ops)
	}
	if committer.Pending() > 800 {
		t.Errorf("%d still wait", committer.Pending())
	}
}

// Ends of tasks wait for others of their record; a start of the same record takes them along,
// and an accept does not wait for them.
func TestDelayedRecordsWaitForOtherChanges(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state, source, committer := newTestCommitterAt(clock)
	ctx := context.Background()
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
		t.Fatal("an accept waits, or takes ends along that wait for others")
	}
	committer.MarkDirtyWithin(shard, Ordinary+2, 2*time.Second, func() { ends++ })
	committer.MarkDirty(shard, Ordinary+2, nil)
	committer.Step(ctx)
	if ends != 2 || state.Get(other) != nil {
		t.Fatalf("%d ends are told after a start of their record", ends)
	}
	clock.Advance(2 * time.Second)
	committer.Step(ctx)
	if ends != 3 {
		t.Error("not written when its time has come")
	}
}

// While records of a higher rank come faster than the limit lets them be written, those of lower ranks
// have a share of the changes once they waited 5 s, oldest first; accepts go first all the same.
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
		accept := JobKey(fmt.Sprintf("run-%d", count))
		put(accept, Urgent)
		for range 10 {
			committer.Step(context.Background())
			clock.Advance(10 * time.Millisecond)
		}
		if at, ok := written[accept]; !ok || clock.Since(from)-at > 150*time.Millisecond {
			t.Fatalf("an accept waits: %v", at)
		}
	}
	for i := range 60 {
		if at, ok := written[fmt.Sprintf("sf/t/low-%02d", i)]; !ok || at > 10*time.Second {
			t.Errorf("record %d of a low rank was written after %v, %v", i, at, ok)
		}
	}
}
