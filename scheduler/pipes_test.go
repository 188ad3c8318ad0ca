package scheduler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/lookup"
	"switchferry/peer"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/tuning"
)

// await makes a small job that awaits others.
func await(ids ...string) func(*api.Submission) {
	return func(x *api.Submission) { x.Awaits, x.CPUs, x.MemoryGB = ids, 0.1, 0.1 }
}

// tiny is a job that awaits nothing.
var tiny = await()

// records reads the records alone, as another controller does; it remembers what is over.
func (s *stage) records() *lookup.Jobs {
	states := lookup.NewTerminalStates()
	unlimited := rate.NewLimiter(rate.Inf, 1)
	return &lookup.Jobs{Client: store.NewClient("state:1", s.state), Recall: states.Get, Remember: states.Remember, Queue: lookup.NewFairQueue(s.clock, unlimited)}
}

// statusOnRecord is what the records say of a job.
func statusOnRecord(records *lookup.Jobs, id string) (st api.JobStatus, found bool, err error) {
	x, err := records.Read(context.Background(), id)
	if err != nil || !x.Found {
		return st, false, err
	}
	st, err = records.Status(context.Background(), id, x, id)
	return st, err == nil, err
}

// lookUpDependencies looks up what the leader does not know of awaited jobs.
func (s *stage) lookUpDependencies() {
	s.LookUpDependencies(context.Background(), s.records(), s.com, s.UnresolvedDependencies())
}

// state is what the leader says of a job.
func (s *stage) status(id string) string {
	st, ok := s.JobStatus(id)
	if !ok {
		if f, over := s.finals[id]; over {
			return f.State
		}
		return ""
	}
	return st.State
}

// complete runs all tasks of a job to their end on a machine.
func (s *stage) complete(id, machine string) {
	s.Helper()
	s.report(machine, 1)
	s.Place()
	s.commit()
	var ran, done []api.TaskReport
	for key, alloc := range s.machines[machine].allocations {
		if alloc.committed && alloc.job.id == id {
			ran = append(ran, task(key, alloc.attempt, api.TaskRunning, ""))
			done = append(done, task(key, alloc.attempt, api.TaskExited, api.CauseDone))
		}
	}
	if len(done) == 0 {
		s.Fatalf("%s did not start", id)
	}
	s.report(machine, 1, ran...)
	s.report(machine, 1, done...)
	s.commit()
	s.report(machine, 1)
}

// A job waits until the done of all that it awaits is on record: not when the last task ends,
// and not when the leader has decided it.
func TestAwaitingJobStartsAfterTheRecord(t *testing.T) {
	s := newStage(t)
	s.submit("run-000001", 1, tiny)
	s.submit("run-000002", 1, await("run-000001"))
	if s.status("run-000002") != api.Pending || s.usage["t"].CPUs != 0 || !s.jobs["run-000002"].waitsForDependencies {
		t.Fatal("it does not wait")
	}
	if all, _ := s.demand(); all > 0.2 {
		t.Errorf("machines for %.1f processors are asked for", all)
	}
	s.report("a1", 1)
	s.Place()
	s.commit()
	st := s.starts("run-000001/0")[0].o.Commands[0]
	s.report("a1", 1, task("run-000001/0", st.Attempt, api.TaskRunning, ""))
	s.report("a1", 1, task("run-000001/0", st.Attempt, api.TaskExited, api.CauseDone))
	if s.jobs["run-000001"].FinalState != api.Done {
		t.Fatal("not decided")
	}
	s.Place()
	if len(s.jobs["run-000002"].allocations) > 0 {
		t.Fatal("it was placed before the record")
	}
	if state, _ := s.dependencies.terminalState("run-000001"); state != "" {
		t.Fatalf("one that is accepted now would take it for %s", state)
	}
	s.commit()
	s.Place()
	if len(s.jobs["run-000002"].allocations) != 1 {
		t.Error("it does not start after the record")
	}
}

// A cancellation is decided by one record. Whatever of what follows was written when the leader
// dies, every job behind it is withdrawn for whoever is asked, and for the next leader.
func TestCancellationReachesAllAfterOneRecord(t *testing.T) {
	for steps := range 12 {
		s := newStage(t)
		s.submit("run-000000", 1, tiny)
		for i := 1; i < 30; i++ {
			// A chain of ten, and twenty that await its first and its last.
			on := []string{fmt.Sprintf("run-%06d", i-1)}
			if i > 10 {
				on = []string{"run-000001", "run-000010"}
			}
			s.submit(fmt.Sprintf("run-%06d", i), 1, await(on...))
		}
		s.Cancel(gaveUp(), "run-000000")
		s.com.Step(context.Background())
		if rec := string(s.state.Get(store.JobKey("run-000000"))); !strings.Contains(rec, api.Cancelled) {
			t.Fatalf("the cancellation is not the first record: %s", rec)
		}
		for range steps {
			s.com.Step(context.Background())
		}
		check := func(who string, says func(id string) string) {
			for i := 1; i < 30; i++ {
				if id := fmt.Sprintf("run-%06d", i); says(id) != api.Cancelled {
					t.Fatalf("%s, after %d further writes: %s is %q", who, steps, id, says(id))
				}
			}
		}
		check("the leader", s.status)
		records := s.records()
		check("a node alone", func(id string) string {
			st, _, err := statusOnRecord(records, id)
			if err != nil {
				t.Fatal(err)
			}
			return st.State
		})
		s.elect()
		for range 5 {
			s.lookUpDependencies()
		}
		check("the next leader", func(id string) string {
			if st := s.status(id); st != "" {
				return st
			}
			st, _, _ := statusOnRecord(s.records(), id)
			return st.State
		})
		s.commit()
		if left := s.jobs; len(left) > 0 {
			t.Fatalf("%d jobs are left", len(left))
		}
	}
}

// A thousand jobs behind one are withdrawn as one, and written within the limits.
func TestThousandBehindOne(t *testing.T) {
	s := newStage(t)
	s.submit("run-000000", 1, tiny)
	for i := 1; i <= 1000; i++ {
		s.submit(fmt.Sprintf("run-%06d", i), 1, await("run-000000"))
	}
	s.Cancel(gaveUp(), "run-000000")
	s.com.Step(context.Background())
	for i := 1; i <= 1000; i++ {
		if st := s.status(fmt.Sprintf("run-%06d", i)); st != api.Cancelled {
			t.Fatalf("run-%06d is %q", i, st)
		}
	}
	s.commit()
	if s.state.Largest.Ops > 12 || len(s.state.Refused) > 0 || len(s.jobs) > 0 {
		t.Errorf("%d changes at once, refused %v, %d jobs left", s.state.Largest.Ops, s.state.Refused, len(s.jobs))
	}
}

// A cancellation that comes too late, and is answered with done, stops nothing behind the job.
func TestCancelOfADoneJobStopsNothing(t *testing.T) {
	s := newStage(t)
	s.submit("run-000001", 1, tiny)
	s.submit("run-000002", 1, await("run-000001"))
	s.complete("run-000001", "a1")
	if a, ok := s.Cancel(gaveUp(), "run-000001"); ok {
		t.Fatalf("%d %s: it is still in memory", a.Status, a.Body)
	}
	s.complete("run-000002", "a1")
	if st := s.status("run-000002"); st != api.Done {
		t.Errorf("%q", st)
	}
}

// Random graphs with random ends, cancellations and crashes of the leader between any two
// writes, against a reference that recomputes everything from the records.
func TestRandomPipelinesAgainstTheRecords(t *testing.T) {
	graphs := 1000
	if testing.Short() {
		graphs = 100
	}
	for seed := range graphs {
		s := newStage(t)
		rng := rand.New(rand.NewPCG(uint64(seed), 7))
		p := &gamble{stage: s, needs: map[string][]string{}, cancelled: map[string]bool{}, asked: map[string]bool{}, told: map[string]string{}}
		for range 30 {
			p.step(rng)
			p.check(seed)
		}
		for i := 0; i < 60 && len(p.jobs) > 0; i++ {
			p.carry()
		}
		p.check(seed)
		// A cancellation that was asked for and not answered may have come through or not.
		gone := map[string]bool{}
		for _, id := range p.ids {
			want := api.Done
			st := p.says(id)
			gone[id] = p.cancelled[id] || p.asked[id] && st == api.Cancelled || slices.ContainsFunc(p.needs[id], func(n string) bool { return gone[n] })
			if gone[id] {
				want = api.Cancelled
			}
			if st != want {
				t.Fatalf("seed %d: %s is %q in the end, want %s", seed, id, st, want)
			}
		}
	}
}

// gamble is a random run: what users asked for, and what they were told.
type gamble struct {
	*stage
	ids       []string
	needs     map[string][]string
	cancelled map[string]bool
	asked     map[string]bool
	told      map[string]string
	checked   int
	// alone answers from the records; a new one for each check, as it remembers what is over.
	alone   *lookup.Jobs
	running []api.TaskReport
}

// lost tells from what users were told whether a job must be withdrawn.
func (p *gamble) lost(id string) bool {
	return p.cancelled[id] || slices.ContainsFunc(p.needs[id], p.lost)
}

// says is what a user is told of a job: by the leader, or from the records.
func (p *gamble) says(id string) string {
	if st, ok := p.JobStatus(id); ok {
		return st.State
	}
	if p.alone == nil {
		p.alone = p.records()
	}
	st, found, err := statusOnRecord(p.alone, id)
	if err != nil || !found {
		p.Fatalf("%s: %v %v", id, found, err)
	}
	return st.State
}

func (p *gamble) step(rng *rand.Rand) {
	switch rng.IntN(9) {
	case 0, 1, 2:
		id := fmt.Sprintf("run-%06d", len(p.ids))
		var on []string
		for _, o := range p.ids {
			if rng.IntN(3) == 0 {
				on = append(on, o)
			}
		}
		sub := api.Submission{ID: id, Class: "c", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, Image: "img", ImageGB: 1, EstimateS: 30}
		await(on...)(&sub)
		p.Submit(gaveUp(), &sub, p.clock.Now())
		p.commit()
		p.ids, p.needs[id] = append(p.ids, id), on
	case 3:
		if len(p.ids) == 0 {
			return
		}
		id := p.ids[rng.IntN(len(p.ids))]
		p.Cancel(gaveUp(), id)
		p.asked[id] = true
		if rng.IntN(2) == 0 {
			p.com.Step(context.Background())
		} else {
			p.commit()
		}
		if a, ok := p.Cancel(gaveUp(), id); ok && a.Status == 200 && strings.Contains(string(a.Body), api.Cancelled) && !p.lost(id) {
			p.cancelled[id] = true
		}
	case 4:
		// The leader dies; what was on its way to the state service is lost.
		p.elect()
		p.running = nil
	default:
		p.carry()
	}
}

// carry lets a machine report, and writes some of what waits.
func (p *gamble) carry() {
	if len(p.UnresolvedDependencies()) > 0 {
		p.lookUpDependencies()
	}
	p.report("a1", 1, p.running...)
	p.Place()
	p.com.Step(context.Background())
	p.com.Step(context.Background())
	p.running = nil
	for key, alloc := range p.machineNamed("a1").allocations {
		if alloc.committed {
			// It completes at once.
			p.running = append(p.running, task(key, alloc.attempt, api.TaskExited, api.CauseDone))
		}
	}
}

// check finds what must never happen.
func (p *gamble) check(seed int) {
	p.Helper()
	p.alone = nil
	for _, o := range p.sent[min(p.checked, len(p.sent)):] {
		for _, c := range o.o.Commands {
			id, _, _ := parseTaskKey(c.Task)
			if c.Verb != api.CommandRun {
				continue
			}
			for _, n := range p.needs[id] {
				if st, _, err := statusOnRecord(p.records(), n); err != nil || st.State != api.Done {
					p.Fatalf("seed %d: %s starts, though %s is %q on record", seed, c.Task, n, st.State)
				}
			}
		}
	}
	p.checked = len(p.sent)
	for _, id := range p.ids {
		st := p.says(id)
		if p.lost(id) && st != api.Cancelled {
			p.Fatalf("seed %d: %s is %q, though one before it was told to be cancelled", seed, id, st)
		}
		if was := p.told[id]; (was == api.Done || was == api.Cancelled) && st != was {
			p.Fatalf("seed %d: %s was %s and is %s", seed, id, was, st)
		}
		p.told[id] = st
	}
}

// The records of a job that the first version wrote, larger than values may be by now, are read,
// and written anew in sizes that fit; a transaction of the old leader that comes late changes
// nothing.
func TestLargeRecordsAreSplit(t *testing.T) {
	s := newStage(t)
	for i := range 30 {
		s.report(fmt.Sprintf("a%02d", i), 1)
	}
	s.submit("run-000001", 150, func(x *api.Submission) { x.CPUs, x.MemoryGB = 1, 1 })
	s.Place()
	s.state.HoldNext = true // the old leader's last write of them comes late
	s.com.Step(context.Background())
	s.commit()
	old := store.ShardOf("run-000001", 0, tuning.ShardTasks)
	if n := len(s.state.Get(old.Key())); n < 2048 {
		t.Fatalf("the record has %d bytes only", n)
	}
	placed := len(s.jobs["run-000001"].allocations)
	s.limits.Next = settings.NextState{ValueKB: 2, TxnOps: 8}
	s.elect()
	s.UseCurrentFormat()
	s.commit()
	s.state.Limit(fake.Limits{ValueKB: 2, TxnOps: 8})
	s.state.Deliver()
	if s.state.Get(old.Key()) != nil {
		t.Error("the large record still stands")
	}
	s.elect()
	if n := len(s.jobs["run-000001"].allocations); n != placed || placed == 0 {
		t.Errorf("%d tasks are on machines, want %d", n, placed)
	}
	if len(s.state.Refused) > 0 {
		t.Error("refused:", s.state.Refused)
	}
}

// What fits is counted with the names of the machines, and a service that is over says so.
func TestRecordsFitWhateverTheNames(t *testing.T) {
	s := newStage(t)
	s.limits.Next = settings.NextState{ValueKB: 2, TxnOps: 4}
	s.elect()
	s.UseCurrentFormat()
	s.com.SetValueLimit(2048)
	s.state.Limit(fake.Limits{ValueKB: 2, TxnOps: 4})
	for i := range 10 {
		s.report(fmt.Sprintf("a%0100d", i), 1)
	}
	s.submit("run-000001", 80, func(x *api.Submission) { x.CPUs, x.MemoryGB = 1, 1 })
	s.submit("run-000002", 1, func(x *api.Submission) { tiny(x); x.Shape, x.Rank = api.Service, "prod" })
	s.Place()
	s.commit()
	if n := s.com.Pending(); n > 0 || len(s.state.Refusals()) > 0 || s.state.Largest.Value > 2048 {
		t.Errorf("%d records wait, refused %v, the largest value has %d bytes", n, s.state.Refusals(), s.state.Largest.Value)
	}
	s.Cancel(gaveUp(), "run-000002")
	s.commit()
	if x, err := s.records().Read(context.Background(), "run-000002"); err != nil || !x.Service || x.Final.State != api.Cancelled {
		t.Errorf("%+v %v", x, err)
	}
}

// Whichever of a job's records a crash left behind, and in whatever order they were written, the highest attempt
// says where a task is, and what is done stays done. A record's first transaction, carried out once more after
// the record was replaced and deleted, made the oldest placement the newest revision: the task would have been
// looked for on its former machine, found missing there, and started a second time. So a record that has the
// task nowhere does not speak against one that has it: its machine does.
func TestHighestAttemptOfATaskCounts(t *testing.T) {
	for _, late := range []bool{false, true} {
		s := newStage(t)
		s.submit("run-000001", 100, tiny)
		put := func(size, index int, done []int, on ...store.PlacedTask) {
			b := store.NewTaskBitmap(100)
			for _, i := range done {
				b.Set(i)
			}
			sh := store.Shard{Job: "run-000001", Index: index, Size: size}
			s.state.Put(sh.Key(), store.ShardRecord{Done: b.Pack(sh), On: on})
		}
		first := func() {
			put(400, 0, []int{3}, store.PlacedTask{Task: 1, Machine: "a1", Attempt: 5}, store.PlacedTask{Task: 50, Machine: "a1", Attempt: 6}, store.PlacedTask{Task: 2, Machine: "a1", Attempt: 7})
		}
		second := func() { put(40, 0, []int{4}, store.PlacedTask{Task: 1, Machine: "a2", Attempt: 9}) }
		if late {
			second()
			first()
		} else {
			first()
			second()
		}
		s.elect()
		job := s.jobs["run-000001"]
		if !job.completed.Has(3) || !job.completed.Has(4) || job.completedCount != 2 {
			t.Errorf("late %v: an end is lost", late)
		}
		if alloc := job.allocations[1]; alloc == nil || alloc.machine.Name != "a2" || alloc.attempt != 9 {
			t.Errorf("late %v: an older attempt tells where task 1 is: %+v", late, alloc)
		}
		if alloc := job.allocations[50]; alloc == nil || alloc.machine.Name != "a1" {
			t.Errorf("late %v: task 50, which stands in one record alone, is lost", late)
		}
		if alloc := job.allocations[2]; alloc == nil || alloc.machine.Name != "a1" {
			t.Fatalf("late %v: task 2 is nowhere, though its machine has not been heard", late)
		}
		s.report("a1", 1)
		s.report("a1", 1)
		if job.allocations[2] != nil || job.allocations[1] == nil {
			t.Errorf("late %v: the machine's word does not free task 2, or frees task 1", late)
		}
	}
}

// What a pipeline's last job must keep reaches those before it: the rank below production's, and a
// latest start that leaves time for what lies between, in waves where the fleet is small. It does
// so again whenever something of that changes.
func TestLastJobPressesThoseBeforeIt(t *testing.T) {
	s := newStage(t)
	s.report("a1", 1)
	s.submit("run-000001", 1, func(x *api.Submission) { tiny(x); x.Rank = "low" })
	s.submit("run-000002", 4, func(x *api.Submission) { x.Awaits, x.Rank = []string{"run-000001"}, "low" })
	s.submit("run-000003", 1, func(x *api.Submission) {
		await("run-000002")(x)
		x.Rank, x.EstimateS, x.DeadlineS, x.ImageGB = "prod", 10, 200, 0
	})
	s.sortQueues()
	first, second, last := s.jobs["run-000001"], s.jobs["run-000002"], s.jobs["run-000003"]
	if first.rank != api.RankProduction-1 || second.rank != api.RankProduction-1 || last.rank != api.RankProduction {
		t.Errorf("ranks %d, %d, %d", first.rank, second.rank, last.rank)
	}
	// 10 s for the last; 16 processors' worth of the second on 8 take two waves of 30 s, its
	// fetch of 1 GB 2 s.
	due := last.At + 200_000 - tuning.StageGapMS - 10_000
	if got := second.inherited.DuesMS; len(got) != 1 || got[0] != due {
		t.Errorf("the second is due at %v, want %d", got, due)
	}
	if got := first.inherited.DuesMS; len(got) != 1 || got[0] != due-tuning.StageGapMS-62_000 {
		t.Errorf("the first is due at %v, want %d", got, due-tuning.StageGapMS-62_000)
	}
	s.Cancel(gaveUp(), "run-000003")
	s.commit()
	s.sortQueues()
	if first.rank != api.RankLow || len(first.inherited.DuesMS) > 0 {
		t.Errorf("it is still pressed: rank %d, due at %v", first.rank, first.inherited.DuesMS)
	}
}

// After a takeover all that does not wait for a job over since before is placed at once; what
// does starts when that is looked up.
func TestTakeoverPlacesBeforeAllIsLookedUp(t *testing.T) {
	s := newStage(t)
	s.submit("run-000001", 1, tiny)
	s.submit("run-000002", 1, await("run-000001"))
	s.complete("run-000001", "a1")
	s.submit("run-000003", 1, func(x *api.Submission) { tiny(x); x.Rank = "high" })
	s.elect()
	s.report("a1", 1)
	s.Place()
	if len(s.jobs["run-000003"].allocations) != 1 || len(s.jobs["run-000002"].allocations) != 0 || !slices.Equal(s.UnresolvedDependencies(), []string{"run-000001"}) {
		t.Fatalf("before the look-up: %d of the urgent one, %d of the one that waits, missing %v",
			len(s.jobs["run-000003"].allocations), len(s.jobs["run-000002"].allocations), s.UnresolvedDependencies())
	}
	s.lookUpDependencies()
	s.Place()
	if len(s.jobs["run-000002"].allocations) != 1 || len(s.UnresolvedDependencies()) > 0 {
		t.Error("after it the other does not start")
	}
	if f := s.finals["run-000001"]; f.Tasks != 1 {
		t.Errorf("of the job that was looked up %+v is remembered", f)
	}
}

// The limits sink while a new leader takes over: what it writes from the first is within them.
func TestLimitsSinkDuringTakeover(t *testing.T) {
	s := newStage(t)
	for i := range 20 {
		s.report(fmt.Sprintf("a%02d", i), 1)
	}
	s.submit("run-000001", 120, func(x *api.Submission) { x.CPUs, x.MemoryGB = 1, 1 })
	s.submit("run-000002", 1, await("run-000001"))
	s.Place()
	s.commit()
	s.state.Limit(fake.Limits{ValueKB: 2, TxnOps: 4})
	s.limits.Next = settings.NextState{ValueKB: 2, TxnOps: 4}
	s.elect()
	s.UseCurrentFormat()
	for i := range 20 {
		s.report(fmt.Sprintf("a%02d", i), 1)
	}
	s.imagesChanged = true
	s.storeImageHints(s.clock.Now().Add(time.Hour))
	s.Place()
	s.Cancel(gaveUp(), "run-000001")
	s.commit()
	if r := s.state.Refusals(); len(r) > 0 || s.state.Largest.Ops > 12 {
		t.Errorf("refused %v", r)
	}
	if st := s.status("run-000002"); st != api.Cancelled {
		t.Errorf("the job behind it is %q", st)
	}
}

// A cancellation is confirmed once no start is under way any more that its worker may still execute, or after a
// second: it is stopped then all the same.
func TestCancellationWaitsForStartsUnderWay(t *testing.T) {
	for _, answered := range []bool{true, false} {
		s := newStage(t)
		start := s.started("run-000001")
		alloc := s.jobs["run-000001"].allocations[0]
		s.Cancel(gaveUp(), "run-000001")
		s.commit()
		// Nobody waits for these any more.
		s.clock.Advance(tuning.AcceptWait)
		got := make(chan peer.Response, 1)
		waiting, confirmed := context.WithCancel(context.Background())
		go func() {
			a, _ := s.Cancel(context.Background(), "run-000001")
			got <- a
			confirmed()
		}()
		if err := s.clock.BlockUntilContext(waiting, 1); err != nil {
			t.Fatal("confirmed while a start is under way")
		}
		if answered {
			r := &api.Heartbeat{Machine: "a1", Address: "a1:1", Type: "m8", Zone: "a", Incarnation: 1, Seq: s.next("a1"), Term: s.term, Tasks: []api.TaskReport{task(alloc.key, alloc.attempt, api.TaskRunning, "")}}
			s.CommandsAnswered("a1", start.o, r, true)
		} else {
			s.clock.Advance(tuning.CancelStarts)
		}
		if a := <-got; a.Status != 200 || !strings.Contains(string(a.Body), api.Cancelled) {
			t.Errorf("answered %v: %d %s", answered, a.Status, a.Body)
		}
	}
}
