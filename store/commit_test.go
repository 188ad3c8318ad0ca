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

// scripted is a term whose records are what the test says.
type scripted struct {
	values   map[string]any
	lead     Condition
	deposed  bool
	conflict []string
}

func (s *scripted) Record(key string) (any, bool, []Condition) {
	v, ok := s.values[key]
	return v, ok, nil
}
func (s *scripted) Condition() (Condition, bool) { return s.lead, true }
func (s *scripted) Conflict(key string, _ *Item) { s.conflict = append(s.conflict, key) }
func (s *scripted) Committed()                   {}
func (s *scripted) Deposed()                     { s.deposed = true }

func setUp() (*fake.State, *scripted, *Committer) {
	return setUpAt(clockwork.NewFakeClock())
}

func setUpAt(clock clockwork.Clock) (*fake.State, *scripted, *Committer) {
	st := fake.NewState(clock)
	src := &scripted{values: map[string]any{}}
	src.lead = Condition{LeaderKey, st.Put(LeaderKey, LeaderRecord{Member: "a"})}
	c := NewCommitter(NewClient("x:1", st), src, clock, settings.State{WriteRPS: 60, TxnOps: 12, ValueKB: 16}, map[string]uint64{})
	return st, src, c
}

func value(t *testing.T, raw json.RawMessage) (v string) {
	t.Helper()
	if raw != nil && json.Unmarshal(raw, &v) != nil {
		t.Fatalf("value %s", raw)
	}
	return v
}

// With the limit of writes used up, an accept goes out as soon as there is room
// for one change, and not when there is room for all that waits with it.
func TestAcceptNeedsRoomForItselfOnly(t *testing.T) {
	clock := clockwork.NewFakeClock()
	st, src, c := setUpAt(clock)
	for i := range 200 {
		key := Shard{"run-1", i, 400}.Key()
		src.values[key] = "x"
		c.MarkDirty(key, Ordinary, nil)
	}
	ctx := context.Background()
	for range 20 {
		c.Step(ctx)
	}
	if left := c.Pending(); left != 200-48 {
		t.Fatalf("%d records wait, want all but a second's worth", left)
	}
	src.values[JobKey("run-2")] = "job"
	c.MarkDirty(JobKey("run-2"), Urgent, nil)
	wait := c.Step(ctx)
	if wait <= 0 || wait > time.Second/40 {
		t.Fatalf("waits %v for one change", wait)
	}
	clock.Advance(wait + time.Millisecond)
	c.Step(ctx)
	if st.Get(JobKey("run-2")) == nil {
		t.Error("the accept waits behind ordinary records")
	}
}

// A leader that wakes up late must not write: its transactions are conditional
// on the leader's key.
func TestOldLeaderCannotCommit(t *testing.T) {
	st, src, c := setUp()
	st.Put(LeaderKey, LeaderRecord{Member: "b"})
	src.values["sf/t/run-1/0"] = "old"
	told := false
	c.MarkDirty("sf/t/run-1/0", Ordinary, func() { told = true })
	c.Step(context.Background())
	if st.Get("sf/t/run-1/0") != nil || told || !src.deposed {
		t.Errorf("written %s, told %v, deposed %v", st.Get("sf/t/run-1/0"), told, src.deposed)
	}
}

// A transaction without an answer that is applied late must not undo a newer
// one.
func TestLateTransactionCannotUndo(t *testing.T) {
	st, src, c := setUp()
	const key = "sf/t/run-1/0"
	src.values[key] = "first"
	c.MarkDirty(key, Ordinary, nil)
	st.HoldNext = true
	c.Step(context.Background())
	src.values[key] = "second"
	c.Step(context.Background())
	if got := value(t, st.Get(key)); got != "second" {
		t.Fatalf("stored %q", got)
	}
	st.Deliver()
	if got := value(t, st.Get(key)); got != "second" {
		t.Errorf("a late transaction wrote %q", got)
	}
}

// A transaction that was applied although its answer was lost counts once the
// key is read again, and what waits for it runs once.
func TestLostAnswer(t *testing.T) {
	st, src, c := setUp()
	src.values["sf/j/run-1"] = "job"
	told := 0
	c.MarkDirty("sf/j/run-1", Urgent, func() { told++ })
	st.LoseAnswer = true
	c.Step(context.Background())
	if told != 0 {
		t.Fatal("told before the outcome was known")
	}
	c.Step(context.Background())
	if told != 1 || len(src.conflict) != 1 {
		t.Errorf("told %d times, conflicts %v", told, src.conflict)
	}
}

func TestUrgentFirstAndBudget(t *testing.T) {
	st, src, c := setUp()
	for _, k := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m"} {
		src.values["sf/t/"+k] = k
		c.MarkDirty("sf/t/"+k, Lazy, nil)
	}
	src.values["sf/j/run-9"] = "job"
	c.MarkDirty("sf/j/run-9", Urgent, nil)
	c.Step(context.Background())
	if st.Get("sf/j/run-9") == nil || st.Largest.Ops > 12 {
		t.Errorf("accept not first, or %d changes", st.Largest.Ops)
	}
	for range 10 {
		c.Step(context.Background())
	}
	// On a clock that stands still no more than one second's worth goes out.
	if c.Pending() != 0 {
		t.Errorf("%d records wait", c.Pending())
	}
}

func TestOutageKeepsRecordsWaiting(t *testing.T) {
	st, src, c := setUp()
	src.values["sf/j/run-1"] = "job"
	c.MarkDirty("sf/j/run-1", Urgent, nil)
	st.Down = true
	if c.Step(context.Background()) == 0 || c.Pending() != 1 {
		t.Error("the record does not wait for the service")
	}
	st.Down = false
	c.Step(context.Background())
	if st.Get("sf/j/run-1") == nil {
		t.Error("not written after the outage")
	}
}

func TestBitsAndShards(t *testing.T) {
	b := NewTaskBitmap(1000)
	for _, i := range []int{0, 399, 400, 807, 999} {
		b.Set(i)
	}
	got := NewTaskBitmap(1000)
	for s := range 3 {
		x := Shard{"run-1", s, 400}
		if err := got.Unpack(x, b.Pack(x)); err != nil {
			t.Fatal(err)
		}
	}
	small := NewTaskBitmap(1000)
	for s := range 25 {
		x := Shard{"run-1", s, 40}
		if err := small.Unpack(x, b.Pack(x)); err != nil {
			t.Fatal(err)
		}
	}
	if !slices.Equal(small, b) {
		t.Error("in shards of 40 other tasks are done")
	}
	for i := range 1000 {
		if got.Has(i) != b.Has(i) {
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
		st := fake.NewState(clock)
		lead := Condition{LeaderKey, st.Put(LeaderKey, LeaderRecord{Member: "a"})}
		src := &scripted{values: map[string]any{}, lead: lead}
		c := NewCommitter(NewClient("state:1", st), src, clock, settings.State{WriteRPS: 100, TxnOps: 12, ValueKB: 16}, map[string]uint64{})
		told := 0
		src.values[JobKey("run-1")] = "job"
		c.MarkDirty(JobKey("run-1"), Urgent, func() { told++ })
		late := st.LateNext(executed)
		var read *fake.Late
		if executed {
			// So is the reading that tells that the first took effect.
			read = st.LateRead(false)
		}
		done := make(chan struct{})
		go func() {
			c.Step(context.Background())
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
		if told != 1 || value(t, st.Get(JobKey("run-1"))) != "job" {
			t.Errorf("executed %v: told %d times", executed, told)
		}
		late.Answer()
		if executed {
			read.Answer()
		}
		src.values[JobKey("run-1")] = "newer"
		c.MarkDirty(JobKey("run-1"), Urgent, nil)
		c.Step(context.Background())
		if len(src.conflict) > 0 || value(t, st.Get(JobKey("run-1"))) != "newer" {
			t.Errorf("executed %v: conflicts %v", executed, src.conflict)
		}
	}
}

// A transaction that was sent twice and failed, since another controller wrote one of its keys,
// must not be taken for one of which the first try took effect: a job that a sibling had
// cancelled would start.
func TestForeignWriteIsNoLateAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(st *fake.State)
		err    error
	}{
		{"executed", func(*fake.State) {}, nil},
		{"one key another's", func(st *fake.State) { st.Put(JobKey("run-2"), "withdrawn") }, ErrConflict},
		{"all written, by two", func(st *fake.State) { st.Put(JobKey("run-1"), "a"); st.Put(JobKey("run-2"), "b") }, ErrConflict},
		{"not deleted", func(st *fake.State) { st.Put(JobKey("run-3"), "again") }, ErrConflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			st := fake.NewState(clock)
			client := NewClient("state:1", st)
			gone := Condition{JobKey("run-3"), st.Put(JobKey("run-3"), "old")}
			h := NewHedgedClient(client, clock, rate.NewLimiter(10, 10), 10)
			late := st.LateNext(c.err == nil)
			done := make(chan error)
			go func() {
				_, _, err := h.Transact(context.Background(), []Condition{{Key: JobKey("run-1")}, {Key: JobKey("run-2")}, gone},
					[]Operation{{Set: JobKey("run-1"), Value: "a"}, {Set: JobKey("run-2"), Value: "b"}, {Delete: gone.Key}})
				done <- err
			}()
			<-late.Asked
			c.before(st)
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
	st := fake.NewState(clock)
	lead := Condition{LeaderKey, st.Put(LeaderKey, LeaderRecord{Member: "a"})}
	src := &scripted{values: map[string]any{}, lead: lead}
	c := NewCommitter(NewClient("state:1", st), src, clock, settings.State{WriteRPS: 1000, TxnOps: 12, ValueKB: 16}, map[string]uint64{})
	large, spaced := JobKey("run-000001"), JobKey("with space")
	src.values[large], src.values[spaced] = strings.Repeat("x", 17<<10), "job"
	told := map[string]bool{}
	touch := func(key string) { c.MarkDirty(key, Urgent, func() { told[key] = true }) }
	touch(large)
	touch(spaced)
	var others []string
	for i := range 30 {
		key := JobKey(fmt.Sprintf("run-%06d", 100+i))
		src.values[key] = "job"
		others = append(others, key)
		touch(key)
	}
	for range 40 {
		c.Step(context.Background())
	}
	for _, key := range others {
		if !told[key] {
			t.Fatalf("%s waits behind what cannot be stored", key)
		}
	}
	if told[large] || told[spaced] || c.Pending() != 2 {
		t.Fatalf("told %v %v, %d wait", told[large], told[spaced], c.Pending())
	}
	if n := st.Requests; c.Step(context.Background()) <= 0 || st.Requests != n {
		t.Error("what is set aside is tried again at once")
	}
	src.values[large] = "short now"
	clock.Advance(tuning.AsideFor + time.Second)
	for range 3 {
		c.Step(context.Background())
	}
	if !told[large] || told[spaced] {
		t.Errorf("after the pause: told %v %v", told[large], told[spaced])
	}
}

// The announced rate is kept to from the first refusal on, in the middle of a burst: nothing is
// refused after that, and accepts still go before what waits.
func TestRateSinksAtTheFirstRefusal(t *testing.T) {
	clock := clockwork.NewFakeClock()
	st, src := fake.NewState(clock), &scripted{values: map[string]any{}}
	st.Limit(fake.Limits{WriteRPS: 60, ValueKB: 16, TxnOps: 12})
	limits := settings.State{WriteRPS: 60, TxnOps: 12, ValueKB: 16, Next: settings.NextState{WriteRPS: 42, ValueKB: 2, TxnOps: 4}}
	src.lead = Condition{LeaderKey, st.Put(LeaderKey, LeaderRecord{Member: "a"})}
	c := NewCommitter(NewClient("state:1", st), src, clock, limits, map[string]uint64{})
	burst := func(from, to int) {
		for i := from; i < to; i++ {
			key := Shard{"run-1", i, 40}.Key()
			src.values[key] = "x"
			c.MarkDirty(key, Lazy, nil)
		}
	}
	ctx := context.Background()
	play := func(d time.Duration) {
		for end := clock.Now().Add(d); clock.Now().Before(end); {
			clock.Advance(max(time.Millisecond, c.Step(ctx)))
		}
	}
	burst(0, 900)
	play(2 * time.Second)
	st.Limit(fake.Limits{WriteRPS: 42, ValueKB: 2, TxnOps: 4})
	play(9 * time.Second)
	if n := st.Refusals()["too many changes"]; n < 1 || n > 2 {
		t.Fatalf("%d refusals, want one or two", n)
	}
	before := st.Refusals()
	burst(900, 1400)
	stored := false
	src.values[JobKey("run-2")] = "job"
	c.MarkDirty(JobKey("run-2"), Urgent, func() { stored = true })
	if c.Step(ctx); !stored {
		t.Error("an accept waits though a part of the limit is kept for it")
	}
	play(5 * time.Second)
	if after := st.Refusals(); !maps.Equal(before, after) || st.Largest.Ops > 4 {
		t.Errorf("refused %v, then %v; %d changes at once", before, after, st.Largest.Ops)
	}
	if c.Pending() > 800 {
		t.Errorf("%d still wait", c.Pending())
	}
}

// Ends of tasks wait for others of their record; a start of the same record takes them along,
// and an accept does not wait for them.
func TestEndsWaitForOthers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	st, src, c := setUpAt(clock)
	ctx := context.Background()
	shard, other := Shard{"run-1", 0, 40}.Key(), Shard{"run-1", 1, 40}.Key()
	src.values[shard], src.values[other], src.values[JobKey("run-2")] = "ends", "ends", "job"
	ends, accepted := 0, false
	c.MarkDirtyWithin(shard, Ordinary+2, 2*time.Second, func() { ends++ })
	c.MarkDirtyWithin(other, Ordinary+2, 2*time.Second, func() { ends++ })
	if c.Step(ctx) == 0 || ends > 0 {
		t.Fatal("written at once")
	}
	c.MarkDirty(JobKey("run-2"), Urgent, func() { accepted = true })
	c.Step(ctx)
	if !accepted || ends > 0 || st.Get(shard) != nil {
		t.Fatal("an accept waits, or takes ends along that wait for others")
	}
	c.MarkDirtyWithin(shard, Ordinary+2, 2*time.Second, func() { ends++ })
	c.MarkDirty(shard, Ordinary+2, nil)
	c.Step(ctx)
	if ends != 2 || st.Get(other) != nil {
		t.Fatalf("%d ends are told after a start of their record", ends)
	}
	clock.Advance(2 * time.Second)
	c.Step(ctx)
	if ends != 3 {
		t.Error("not written when its time has come")
	}
}

// While records of a higher rank come faster than the limit lets them be written, those of lower ranks
// have a share of the changes once they waited 5 s, oldest first; accepts go first all the same.
func TestRecordsOfLowRanksDoNotWaitForEver(t *testing.T) {
	clock := clockwork.NewFakeClock()
	_, src, c := setUpAt(clock)
	written := map[string]time.Duration{}
	from, n := clock.Now(), 0
	put := func(key string, urgency int) {
		src.values[key] = "v"
		c.MarkDirty(key, urgency, func() { written[key] = clock.Since(from) })
	}
	for i := range 60 {
		put(fmt.Sprintf("sf/t/low-%02d", i), Ordinary+3)
	}
	for clock.Since(from) < 20*time.Second {
		for range 10 {
			n++
			put(fmt.Sprintf("sf/t/high-%d", n), Ordinary)
		}
		accept := JobKey(fmt.Sprintf("run-%d", n))
		put(accept, Urgent)
		for range 10 {
			c.Step(context.Background())
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
