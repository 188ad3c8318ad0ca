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

// awaiting makes a small job that awaits others.
func awaiting(ids ...string) func(*api.Submission) {
	return func(x *api.Submission) { x.Awaits, x.CPUs, x.MemoryGB = ids, 0.1, 0.1 }
}

// smallJob is a job that awaits nothing.
var smallJob = awaiting()

// records reads the records alone, as another controller does; it remembers what is over.
func (h *harness) records() *lookup.Jobs {
	states := lookup.NewTerminalStates()
	unlimited := rate.NewLimiter(rate.Inf, 1)
	return &lookup.Jobs{Client: store.NewClient("state:1", h.state), Recall: states.Get, Remember: states.Remember, Queue: lookup.NewFairQueue(h.clock, unlimited)}
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
func (h *harness) lookUpDependencies() {
	h.LookUpDependencies(context.Background(), h.records(), h.committer, h.UnresolvedDependencies())
}

// state is what the leader says of a job.
func (h *harness) status(id string) string {
	st, ok := h.JobStatus(id)
	if !ok {
		if f, over := h.terminalStates[id]; over {
			return f.State
		}
		return ""
	}
	return st.State
}

// complete runs all tasks of a job to their end on a machine.
func (h *harness) complete(id, machine string) {
	h.Helper()
	h.heartbeat(machine, 1)
	h.Place()
	h.commit()
	var ran, done []api.TaskReport
	for key, alloc := range h.machines[machine].allocations {
		if alloc.committed && alloc.job.id == id {
			ran = append(ran, taskReport(key, alloc.attempt, api.TaskRunning, ""))
			done = append(done, taskReport(key, alloc.attempt, api.TaskExited, api.CauseDone))
		}
	}
	if len(done) == 0 {
		h.Fatalf("%s did not start", id)
	}
	h.heartbeat(machine, 1, ran...)
	h.heartbeat(machine, 1, done...)
	h.commit()
	h.heartbeat(machine, 1)
}

// A job waits until the done of all that it awaits is on record: not when the last task ends,
// and not when the leader has decided it.
func TestAwaitingJobStartsAfterTheRecord(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 1, smallJob)
	h.submit("run-000002", 1, awaiting("run-000001"))
	if h.status("run-000002") != api.Pending || h.usage["t"].CPUs != 0 || !h.jobs["run-000002"].waitsForDependencies {
		t.Fatal("it does not wait")
	}
	if all, _ := h.demand(); all > 0.2 {
		t.Errorf("machines for %.1f processors are asked for", all)
	}
	h.heartbeat("a1", 1)
	h.Place()
	h.commit()
	st := h.starts("run-000001/0")[0].response.Commands[0]
	h.heartbeat("a1", 1, taskReport("run-000001/0", st.Attempt, api.TaskRunning, ""))
	h.heartbeat("a1", 1, taskReport("run-000001/0", st.Attempt, api.TaskExited, api.CauseDone))
	if h.jobs["run-000001"].FinalState != api.Done {
		t.Fatal("not decided")
	}
	h.Place()
	if len(h.jobs["run-000002"].allocations) > 0 {
		t.Fatal("it was placed before the record")
	}
	if state, _ := h.dependencies.terminalState("run-000001"); state != "" {
		t.Fatalf("one that is accepted now would take it for %s", state)
	}
	h.commit()
	h.Place()
	if len(h.jobs["run-000002"].allocations) != 1 {
		t.Error("it does not start after the record")
	}
}

// A cancellation is decided by one record. Whatever of what follows was written when the leader
// dies, every job behind it is withdrawn for whoever is asked, and for the next leader.
func TestCancellationReachesAllAfterOneRecord(t *testing.T) {
	for steps := range 12 {
		h := newHarness(t)
		h.submit("run-000000", 1, smallJob)
		for i := 1; i < 30; i++ {
			// A chain of ten, and twenty that await its first and its last.
			on := []string{fmt.Sprintf("run-%06d", i-1)}
			if i > 10 {
				on = []string{"run-000001", "run-000010"}
			}
			h.submit(fmt.Sprintf("run-%06d", i), 1, awaiting(on...))
		}
		h.Cancel(cancelledContext(), "run-000000")
		h.committer.Step(context.Background())
		if rec := string(h.state.Get(store.JobKey("run-000000"))); !strings.Contains(rec, api.Cancelled) {
			t.Fatalf("the cancellation is not the first record: %s", rec)
		}
		for range steps {
			h.committer.Step(context.Background())
		}
		check := func(who string, says func(id string) string) {
			for i := 1; i < 30; i++ {
				if id := fmt.Sprintf("run-%06d", i); says(id) != api.Cancelled {
					t.Fatalf("%s, after %d further writes: %s is %q", who, steps, id, says(id))
				}
			}
		}
		check("the leader", h.status)
		records := h.records()
		check("a node alone", func(id string) string {
			st, _, err := statusOnRecord(records, id)
			if err != nil {
				t.Fatal(err)
			}
			return st.State
		})
		h.elect()
		for range 5 {
			h.lookUpDependencies()
		}
		check("the next leader", func(id string) string {
			if st := h.status(id); st != "" {
				return st
			}
			st, _, _ := statusOnRecord(h.records(), id)
			return st.State
		})
		h.commit()
		if left := h.jobs; len(left) > 0 {
			t.Fatalf("%d jobs are left", len(left))
		}
	}
}

// A thousand jobs behind one are withdrawn as one, and written within the limits.
func TestThousandBehindOne(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000000", 1, smallJob)
	for i := 1; i <= 1000; i++ {
		h.submit(fmt.Sprintf("run-%06d", i), 1, awaiting("run-000000"))
	}
	h.Cancel(cancelledContext(), "run-000000")
	h.committer.Step(context.Background())
	for i := 1; i <= 1000; i++ {
		if st := h.status(fmt.Sprintf("run-%06d", i)); st != api.Cancelled {
			t.Fatalf("run-%06d is %q", i, st)
		}
	}
	h.commit()
	if h.state.Largest.Ops > 12 || len(h.state.Refused) > 0 || len(h.jobs) > 0 {
		t.Errorf("%d changes at once, refused %v, %d jobs left", h.state.Largest.Ops, h.state.Refused, len(h.jobs))
	}
}

// A cancellation that comes too late, and is answered with done, stops nothing behind the job.
func TestCancelOfADoneJobStopsNothing(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 1, smallJob)
	h.submit("run-000002", 1, awaiting("run-000001"))
	h.complete("run-000001", "a1")
	if a, ok := h.Cancel(cancelledContext(), "run-000001"); ok {
		t.Fatalf("%d %s: it is still in memory", a.Status, a.Body)
	}
	h.complete("run-000002", "a1")
	if st := h.status("run-000002"); st != api.Done {
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
		h := newHarness(t)
		rng := rand.New(rand.NewPCG(uint64(seed), 7))
		run := &randomRun{harness: h, needs: map[string][]string{}, cancelled: map[string]bool{}, asked: map[string]bool{}, answered: map[string]string{}}
		for range 30 {
			run.step(rng)
			run.check(seed)
		}
		for i := 0; i < 60 && len(run.jobs) > 0; i++ {
			run.advance()
		}
		run.check(seed)
		// A cancellation that was asked for and not answered may have come through or not.
		gone := map[string]bool{}
		for _, id := range run.ids {
			want := api.Done
			st := run.answer(id)
			gone[id] = run.cancelled[id] || run.asked[id] && st == api.Cancelled || slices.ContainsFunc(run.needs[id], func(n string) bool { return gone[n] })
			if gone[id] {
				want = api.Cancelled
			}
			if st != want {
				t.Fatalf("seed %d: %s is %q in the end, want %s", seed, id, st, want)
			}
		}
	}
}

// randomRun is a random run: what users asked for, and what they were told.
type randomRun struct {
	*harness
	ids       []string
	needs     map[string][]string
	cancelled map[string]bool
	asked     map[string]bool
	answered  map[string]string
	checked   int
	// recordReader answers from the records; a new one for each check, as it remembers what is over.
	recordReader *lookup.Jobs
	running      []api.TaskReport
}

// mustBeCancelled tells from what users were told whether a job must be withdrawn.
func (r *randomRun) mustBeCancelled(id string) bool {
	return r.cancelled[id] || slices.ContainsFunc(r.needs[id], r.mustBeCancelled)
}

// answer is what a user is told of a job: by the leader, or from the records.
func (r *randomRun) answer(id string) string {
	if st, ok := r.JobStatus(id); ok {
		return st.State
	}
	if r.recordReader == nil {
		r.recordReader = r.records()
	}
	st, found, err := statusOnRecord(r.recordReader, id)
	if err != nil || !found {
		r.Fatalf("%s: %v %v", id, found, err)
	}
	return st.State
}

func (r *randomRun) step(rng *rand.Rand) {
	switch rng.IntN(9) {
	case 0, 1, 2:
		id := fmt.Sprintf("run-%06d", len(r.ids))
		var on []string
		for _, o := range r.ids {
			if rng.IntN(3) == 0 {
				on = append(on, o)
			}
		}
		sub := api.Submission{ID: id, Class: "c", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, Image: "img", ImageGB: 1, EstimateS: 30}
		awaiting(on...)(&sub)
		r.Submit(cancelledContext(), &sub, r.clock.Now())
		r.commit()
		r.ids, r.needs[id] = append(r.ids, id), on
	case 3:
		if len(r.ids) == 0 {
			return
		}
		id := r.ids[rng.IntN(len(r.ids))]
		r.Cancel(cancelledContext(), id)
		r.asked[id] = true
		if rng.IntN(2) == 0 {
			r.committer.Step(context.Background())
		} else {
			r.commit()
		}
		if a, ok := r.Cancel(cancelledContext(), id); ok && a.Status == 200 && strings.Contains(string(a.Body), api.Cancelled) && !r.mustBeCancelled(id) {
			r.cancelled[id] = true
		}
	case 4:
		// The leader dies; what was on its way to the state service is lost.
		r.elect()
		r.running = nil
	default:
		r.advance()
	}
}

// exchangePackets lets a machine report, and writes some of what waits.
func (r *randomRun) advance() {
	if len(r.UnresolvedDependencies()) > 0 {
		r.lookUpDependencies()
	}
	r.heartbeat("a1", 1, r.running...)
	r.Place()
	r.committer.Step(context.Background())
	r.committer.Step(context.Background())
	r.running = nil
	for key, alloc := range r.machineNamed("a1").allocations {
		if alloc.committed {
			// It completes at once.
			r.running = append(r.running, taskReport(key, alloc.attempt, api.TaskExited, api.CauseDone))
		}
	}
}

// check finds what must never happen.
func (r *randomRun) check(seed int) {
	r.Helper()
	r.recordReader = nil
	for _, o := range r.sent[min(r.checked, len(r.sent)):] {
		for _, c := range o.response.Commands {
			id, _, _ := parseTaskKey(c.Task)
			if c.Verb != api.CommandRun {
				continue
			}
			for _, n := range r.needs[id] {
				if st, _, err := statusOnRecord(r.records(), n); err != nil || st.State != api.Done {
					r.Fatalf("seed %d: %s starts, though %s is %q on record", seed, c.Task, n, st.State)
				}
			}
		}
	}
	r.checked = len(r.sent)
	for _, id := range r.ids {
		st := r.answer(id)
		if r.mustBeCancelled(id) && st != api.Cancelled {
			r.Fatalf("seed %d: %s is %q, though one before it was told to be cancelled", seed, id, st)
		}
		if was := r.answered[id]; (was == api.Done || was == api.Cancelled) && st != was {
			r.Fatalf("seed %d: %s was %s and is %s", seed, id, was, st)
		}
		r.answered[id] = st
	}
}

// The records of a job that the first version wrote, larger than values may be by now, are read,
// and written anew in sizes that fit; a transaction of the old leader that comes late changes
// nothing.
func TestLargeRecordsAreSplit(t *testing.T) {
	h := newHarness(t)
	for i := range 30 {
		h.heartbeat(fmt.Sprintf("a%02d", i), 1)
	}
	h.submit("run-000001", 150, func(x *api.Submission) { x.CPUs, x.MemoryGB = 1, 1 })
	h.Place()
	h.state.HoldNext = true // the old leader's last write of them comes late
	h.committer.Step(context.Background())
	h.commit()
	old := store.ShardOf("run-000001", 0, tuning.ShardTasks)
	if n := len(h.state.Get(old.Key())); n < 2048 {
		t.Fatalf("the record has %d bytes only", n)
	}
	placed := len(h.jobs["run-000001"].allocations)
	h.limits.Next = settings.NextState{ValueKB: 2, TxnOps: 8}
	h.elect()
	h.UseCurrentFormat()
	h.commit()
	h.state.Limit(fake.Limits{ValueKB: 2, TxnOps: 8})
	h.state.Deliver()
	if h.state.Get(old.Key()) != nil {
		t.Error("the large record still stands")
	}
	h.elect()
	if n := len(h.jobs["run-000001"].allocations); n != placed || placed == 0 {
		t.Errorf("%d tasks are on machines, want %d", n, placed)
	}
	if len(h.state.Refused) > 0 {
		t.Error("refused:", h.state.Refused)
	}
}

// What fits is counted with the names of the machines, and a service that is over says so.
func TestRecordsFitWhateverTheNames(t *testing.T) {
	h := newHarness(t)
	h.limits.Next = settings.NextState{ValueKB: 2, TxnOps: 4}
	h.elect()
	h.UseCurrentFormat()
	h.committer.SetValueLimit(2048)
	h.state.Limit(fake.Limits{ValueKB: 2, TxnOps: 4})
	for i := range 10 {
		h.heartbeat(fmt.Sprintf("a%0100d", i), 1)
	}
	h.submit("run-000001", 80, func(x *api.Submission) { x.CPUs, x.MemoryGB = 1, 1 })
	h.submit("run-000002", 1, func(x *api.Submission) { smallJob(x); x.Shape, x.Rank = api.Service, "prod" })
	h.Place()
	h.commit()
	if n := h.committer.Pending(); n > 0 || len(h.state.Refusals()) > 0 || h.state.Largest.Value > 2048 {
		t.Errorf("%d records wait, refused %v, the largest value has %d bytes", n, h.state.Refusals(), h.state.Largest.Value)
	}
	h.Cancel(cancelledContext(), "run-000002")
	h.commit()
	if x, err := h.records().Read(context.Background(), "run-000002"); err != nil || !x.Service || x.Final.State != api.Cancelled {
		t.Errorf("%+v %v", x, err)
	}
}

// Whichever of a job's records a crash left behind, and in whatever order they were written, the highest attempt
// answer where a task is, and what is done stays done. A record's first transaction, carried out once more after
// the record was replaced and deleted, made the oldest placement the newest revision: the task would have been
// looked for on its former machine, found missing there, and started a second time. So a record that has the
// taskReport nowhere does not speak against one that has it: its machine does.
func TestHighestAttemptOfATaskCounts(t *testing.T) {
	for _, late := range []bool{false, true} {
		h := newHarness(t)
		h.submit("run-000001", 100, smallJob)
		put := func(size, index int, done []int, on ...store.PlacedTask) {
			b := store.NewTaskBitmap(100)
			for _, i := range done {
				b.Set(i)
			}
			sh := store.Shard{Job: "run-000001", Index: index, Size: size}
			h.state.Put(sh.Key(), store.ShardRecord{Done: b.Pack(sh), On: on})
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
		h.elect()
		job := h.jobs["run-000001"]
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
		h.heartbeat("a1", 1)
		h.heartbeat("a1", 1)
		if job.allocations[2] != nil || job.allocations[1] == nil {
			t.Errorf("late %v: the machine's word does not free task 2, or frees task 1", late)
		}
	}
}

// What a pipeline's last job must keep reaches those before it: the rank below production's, and a
// latest start that leaves time for what lies between, in waves where the fleet is small. It does
// so again whenever something of that changes.
func TestLastJobPressesThoseBeforeIt(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 1, func(x *api.Submission) { smallJob(x); x.Rank = "low" })
	h.submit("run-000002", 4, func(x *api.Submission) { x.Awaits, x.Rank = []string{"run-000001"}, "low" })
	h.submit("run-000003", 1, func(x *api.Submission) {
		awaiting("run-000002")(x)
		x.Rank, x.EstimateS, x.DeadlineS, x.ImageGB = "prod", 10, 200, 0
	})
	h.sortQueues()
	first, second, last := h.jobs["run-000001"], h.jobs["run-000002"], h.jobs["run-000003"]
	if first.rank != api.RankProduction-1 || second.rank != api.RankProduction-1 || last.rank != api.RankProduction {
		t.Errorf("ranks %d, %d, %d", first.rank, second.rank, last.rank)
	}
	// 10 s for the last; 16 processors' worth of the second on 8 take two waves of 30 s, its
	// fetch of 1 GB 2 s.
	due := last.AcceptedAt + 200_000 - tuning.StageGapMS - 10_000
	if got := second.inherited.DuesMS; len(got) != 1 || got[0] != due {
		t.Errorf("the second is due at %v, want %d", got, due)
	}
	if got := first.inherited.DuesMS; len(got) != 1 || got[0] != due-tuning.StageGapMS-62_000 {
		t.Errorf("the first is due at %v, want %d", got, due-tuning.StageGapMS-62_000)
	}
	h.Cancel(cancelledContext(), "run-000003")
	h.commit()
	h.sortQueues()
	if first.rank != api.RankLow || len(first.inherited.DuesMS) > 0 {
		t.Errorf("it is still pressed: rank %d, due at %v", first.rank, first.inherited.DuesMS)
	}
}

// After a takeover all that does not wait for a job over since before is placed at once; what
// does starts when that is looked up.
func TestTakeoverPlacesBeforeAllIsLookedUp(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 1, smallJob)
	h.submit("run-000002", 1, awaiting("run-000001"))
	h.complete("run-000001", "a1")
	h.submit("run-000003", 1, func(x *api.Submission) { smallJob(x); x.Rank = "high" })
	h.elect()
	h.heartbeat("a1", 1)
	h.Place()
	if len(h.jobs["run-000003"].allocations) != 1 || len(h.jobs["run-000002"].allocations) != 0 || !slices.Equal(h.UnresolvedDependencies(), []string{"run-000001"}) {
		t.Fatalf("before the look-up: %d of the urgent one, %d of the one that waits, missing %v",
			len(h.jobs["run-000003"].allocations), len(h.jobs["run-000002"].allocations), h.UnresolvedDependencies())
	}
	h.lookUpDependencies()
	h.Place()
	if len(h.jobs["run-000002"].allocations) != 1 || len(h.UnresolvedDependencies()) > 0 {
		t.Error("after it the other does not start")
	}
	if f := h.terminalStates["run-000001"]; f.Tasks != 1 {
		t.Errorf("of the job that was looked up %+v is remembered", f)
	}
}

// The limits sink while a new leader takes over: what it writes from the first is within them.
func TestLimitsSinkDuringTakeover(t *testing.T) {
	h := newHarness(t)
	for i := range 20 {
		h.heartbeat(fmt.Sprintf("a%02d", i), 1)
	}
	h.submit("run-000001", 120, func(x *api.Submission) { x.CPUs, x.MemoryGB = 1, 1 })
	h.submit("run-000002", 1, awaiting("run-000001"))
	h.Place()
	h.commit()
	h.state.Limit(fake.Limits{ValueKB: 2, TxnOps: 4})
	h.limits.Next = settings.NextState{ValueKB: 2, TxnOps: 4}
	h.elect()
	h.UseCurrentFormat()
	for i := range 20 {
		h.heartbeat(fmt.Sprintf("a%02d", i), 1)
	}
	h.imagesChanged = true
	h.storeImageHints(h.clock.Now().Add(time.Hour))
	h.Place()
	h.Cancel(cancelledContext(), "run-000001")
	h.commit()
	if r := h.state.Refusals(); len(r) > 0 || h.state.Largest.Ops > 12 {
		t.Errorf("refused %v", r)
	}
	if st := h.status("run-000002"); st != api.Cancelled {
		t.Errorf("the job behind it is %q", st)
	}
}

// A cancellation is confirmed once no start is under way any more that its worker may still execute, or after a
// second: it is stopped then all the same.
func TestCancellationWaitsForStartsUnderWay(t *testing.T) {
	for _, answered := range []bool{true, false} {
		h := newHarness(t)
		start := h.submitAndStart("run-000001")
		alloc := h.jobs["run-000001"].allocations[0]
		h.Cancel(cancelledContext(), "run-000001")
		h.commit()
		// Nobody waits for these any more.
		h.clock.Advance(tuning.AcceptWait)
		got := make(chan peer.Response, 1)
		waiting, confirmed := context.WithCancel(context.Background())
		go func() {
			a, _ := h.Cancel(context.Background(), "run-000001")
			got <- a
			confirmed()
		}()
		if err := h.clock.BlockUntilContext(waiting, 1); err != nil {
			t.Fatal("confirmed while a start is under way")
		}
		if answered {
			r := &api.Heartbeat{Machine: "a1", Address: "a1:1", Type: "m8", Zone: "a", Incarnation: 1, Seq: h.nextSeq("a1"), Term: h.term, Tasks: []api.TaskReport{taskReport(alloc.key, alloc.attempt, api.TaskRunning, "")}}
			h.CommandsAnswered("a1", start.response, r, true)
		} else {
			h.clock.Advance(tuning.CancelStartWait)
		}
		if a := <-got; a.Status != 200 || !strings.Contains(string(a.Body), api.Cancelled) {
			t.Errorf("answered %v: %d %s", answered, a.Status, a.Body)
		}
	}
}
