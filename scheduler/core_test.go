package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/policy"
	"switchferry/relay"
	"switchferry/relay/exchange"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/topology"
	"switchferry/tuning"
)

// stage is a leader on a fake clock with a scripted state service; the test
// plays the workers and the cloud.
type stage struct {
	*testing.T
	*Scheduler
	clock  *clockwork.FakeClock
	state  *fake.State
	com    *store.Committer
	valid  bool
	sent   []sentOrders
	finals map[string]store.FinalRecord
	// seq is each machine's newest tally.
	seq      map[string]uint64
	cutZone  string
	answered int
	// topo is where machines stand; nil: nothing is declared.
	topo *topology.Map
	// limits are the state service's as the settings have them.
	limits settings.State
}

type sentOrders struct {
	name string
	o    api.HeartbeatResponse
}

var testTypes = []api.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 32, CacheGB: 20, PullGBs: 0.5, BootS: 30, Zones: []string{"a", "b"}}}

func newStage(t *testing.T) *stage {
	clock := clockwork.NewFakeClock()
	return (&stage{T: t, clock: clock, state: fake.NewState(clock), seq: map[string]uint64{}}).elect()
}

// elect begins a new term over the same state service, as after a crash.
func (s *stage) elect() *stage {
	s.Helper()
	set := &settings.Settings{Member: "x"}
	set.Facts.Workers = settings.Workers{ReportS: 1, LeaseS: 10, CancelS: 40}
	set.Facts.State = settings.State{RPS: 200, WriteRPS: 5000, ValueKB: 16, TxnOps: 12, Next: s.limits.Next}
	set.Facts.Teams = []settings.Team{{Name: "t", CPUsMax: 400}, {Name: "small", CPUsMax: 8}, {Name: "sure", CPUs: 16}, {Name: "lent", CPUs: 16},
		{Name: "left", CPUs: 900, CPUsMax: 3000}, {Name: "right", CPUs: 1200, CPUsMax: 3000}}
	term := s.state.Put(store.LeaderKey, store.LeaderRecord{Member: "x"})
	client := store.NewClient("state:1", s.state)
	s.valid, s.sent, s.answered, s.finals = true, nil, 0, map[string]store.FinalRecord{}
	hooks := Hooks{
		MarkDirty:       func(k string, u int, f func()) { s.com.MarkDirty(k, u, f) },
		MarkDirtyWithin: func(k string, u int, _ time.Duration, f func()) { s.com.MarkDirty(k, u, f) },
		SendCommands:    func(n, _ string, o api.HeartbeatResponse) { s.sent = append(s.sent, sentOrders{n, o}) },
		Leading:         func() bool { return s.valid },
		CommitDelay:     func() time.Duration { return s.com.Delay() },
		ZoneUnreachable: func(zone string) bool { return zone == s.cutZone },
		JobTerminal:     func(id string, f store.FinalRecord) { s.finals[id] = f },
		TerminalState:   func(id string) (store.FinalRecord, bool) { f, ok := s.finals[id]; return f, ok },
	}
	s.Scheduler = New(term, s.clock, set, policy.Default(), testTypes, hooks)
	if s.topo != nil {
		s.UseTopology(s.topo)
	}
	s.com = store.NewCommitter(client, stageSource{s.Scheduler, s}, s.clock, set.Facts.State, map[string]uint64{})
	ctx := context.Background()
	jobs, _, err := client.List(ctx, store.JobPrefix)
	if err != nil {
		s.Fatal(err)
	}
	shards, _, err := client.List(ctx, store.ShardPrefix)
	if err != nil {
		s.Fatal(err)
	}
	images, _, err := client.List(ctx, store.ImagesPrefix)
	if err != nil {
		s.Fatal(err)
	}
	s.LoadImageHints(images)
	for _, it := range append(append(jobs, shards...), images...) {
		s.com.SetRevision(it.Key, it.Revision)
	}
	s.Load(jobs, shards)
	return s
}

type stageSource struct {
	*Scheduler
	s *stage
}

func (x stageSource) Condition() (store.Condition, bool) {
	return store.Condition{Key: store.LeaderKey, Revision: x.term}, x.s.valid
}
func (x stageSource) Deposed() { x.s.valid = false }

// commit writes all that waits.
func (s *stage) commit() {
	for i := 0; s.com.Pending() > 0 && i < 2000; i++ {
		s.com.Step(context.Background())
		s.clock.Advance(time.Millisecond)
	}
}

// submit stores a job.
func (s *stage) submit(id string, tasks int, change func(*api.Submission)) {
	s.Helper()
	sub := api.Submission{ID: id, Class: "c", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: tasks,
		CPUs: 4, MemoryGB: 8, Image: "img", ImageGB: 1, Spot: true, EstimateS: 30}
	if change != nil {
		change(&sub)
	}
	s.Submit(gaveUp(), &sub, s.clock.Now())
	s.commit()
	if _, ok := s.JobStatus(id); !ok {
		s.Fatalf("%s not accepted", id)
	}
}

// next is a machine's next tally.
func (s *stage) next(name string) uint64 {
	s.seq[name]++
	return s.seq[name]
}

// report plays a worker that has seen the current term.
func (s *stage) report(name string, session uint64, tasks ...api.TaskReport) api.HeartbeatResponse {
	return s.reportAt(name, session, s.next(name), s.term, tasks...)
}

func (s *stage) reportAt(name string, session, seq, term uint64, tasks ...api.TaskReport) api.HeartbeatResponse {
	o, _, _ := s.HandleHeartbeat(&api.Heartbeat{Machine: name, Address: name + ":1", Type: "m8", Zone: zoneOf(name), Incarnation: session, Seq: seq, Term: term, Tasks: tasks}, "")
	return o
}

// zoneOf puts machines whose name begins with b into zone b.
func zoneOf(name string) string {
	if name[0] == 'b' {
		return "b"
	}
	return "a"
}

func task(key string, attempt uint64, state, cause string) api.TaskReport {
	return api.TaskReport{Task: key, Attempt: attempt, State: state, Cause: cause}
}

// starts are the run commands sent directly so far, newest last.
func (s *stage) starts(key string) (out []sentOrders) {
	for _, o := range s.sent {
		for _, c := range o.o.Commands {
			if c.Verb == api.CommandRun && c.Task == key {
				out = append(out, sentOrders{o.name, api.HeartbeatResponse{Term: o.o.Term, Incarnation: o.o.Incarnation, Commands: []api.Command{c}}})
			}
		}
	}
	return out
}

func has(o api.HeartbeatResponse, verb, key string) bool {
	for _, c := range o.Commands {
		if c.Verb == verb && c.Task == key {
			return true
		}
	}
	return false
}

// started places a job of one task on a lone machine and returns its start.
func (s *stage) started(id string) sentOrders {
	s.Helper()
	s.report("a1", 1)
	s.submit(id, 1, nil)
	s.Place()
	if len(s.sent) > 0 {
		s.Fatal("a start was sent before it was stored")
	}
	s.commit()
	st := s.starts(id + "/0")
	if len(st) != 1 {
		s.Fatalf("%d starts", len(st))
	}
	return st[0]
}

func TestStartIsStoredBeforeItIsSent(t *testing.T) {
	s := newStage(t)
	st := s.started("run-000001")
	if s.state.Get(store.ShardOf("run-000001", 0, tuning.ShardTasks).Key()) == nil || st.name != "a1" {
		t.Error("no record, or the wrong machine")
	}
}

// A direct start without an answer may be executed at any later time: the same
// attempt is repeated on the same machine, and nowhere else.
func TestUnansweredStartStaysOnItsMachine(t *testing.T) {
	s := newStage(t)
	st := s.started("run-000001")
	s.CommandsAnswered("a1", st.o, nil, false)
	s.report("b1", 1)
	for range 5 {
		s.clock.Advance(time.Second)
		o := s.report("a1", 1)
		if !has(o, api.CommandRun, "run-000001/0") || o.Commands[0].Attempt != st.o.Commands[0].Attempt {
			t.Fatalf("want the same attempt again, got %+v", o.Commands)
		}
		s.report("b1", 1)
		s.Place()
		s.commit()
	}
	for _, x := range s.starts("run-000001/0") {
		if x.name != "a1" {
			t.Errorf("started on %s as well", x.name)
		}
	}
}

// A clear makes the worker forget the attempt; a start of it that is still
// under way would run it again.
func TestClearWaitsForOpenStart(t *testing.T) {
	s := newStage(t)
	st := s.started("run-000001")
	a := st.o.Commands[0].Attempt
	o := s.report("a1", 1, task("run-000001/0", a, api.TaskExited, api.CauseStopped))
	if has(o, api.CommandClear, "run-000001/0") {
		t.Fatal("cleared while its start was unanswered")
	}
	s.CommandsAnswered("a1", st.o, nil, true)
	if o = s.report("a1", 1, task("run-000001/0", a, api.TaskExited, api.CauseStopped)); !has(o, api.CommandClear, "run-000001/0") {
		t.Error("not cleared after the answer")
	}
}

// A new leader starts nothing that a machine which it has not heard may run.
func TestNewLeaderWaitsForUnheardMachine(t *testing.T) {
	s := newStage(t)
	st := s.started("run-000001")
	s.elect()
	s.report("b1", 1)
	s.Place()
	s.commit()
	if len(s.starts("run-000001/0")) != 0 {
		t.Fatal("started twice")
	}
	// A report from before our term proves nothing: an old command may follow.
	s.reportAt("a1", 1, 500, st.o.Term)
	s.Place()
	s.commit()
	if len(s.starts("run-000001/0")) != 0 {
		t.Fatal("an old report was taken for a proof")
	}
	s.reportAt("a1", 1, 501, s.term)
	s.Place()
	s.commit()
	got := s.starts("run-000001/0")
	if len(got) != 1 || got[0].o.Commands[0].Attempt == st.o.Commands[0].Attempt {
		t.Errorf("want one start of a new attempt, got %+v", got)
	}
}

// After a takeover urgent work does not wait until the fleet has reported: it goes where a
// machine was heard, by stopping what lies there if need be, and what is recorded on the others
// stays theirs.
func TestUrgentWorkIsPlacedBeforeAllHaveReported(t *testing.T) {
	s := newStage(t)
	names := []string{"a1", "a2", "a3", "b1", "b2", "b3"}
	for _, name := range names {
		s.report(name, 1)
	}
	s.submit("run-000001", 12, nil)
	s.Place()
	s.commit()
	first := s.sent
	s.elect()
	s.submit("run-000002", 1, func(j *api.Submission) { j.Rank, j.Shape, j.EstimateS = "prod", api.Service, 0 })
	// One machine of six comes back, with both its tasks.
	var tasks []api.TaskReport
	for _, o := range first {
		for _, c := range o.o.Commands {
			if o.name == "b2" {
				tasks = append(tasks, task(c.Task, c.Attempt, api.TaskRunning, ""))
			}
		}
	}
	if len(tasks) != 2 {
		t.Fatalf("b2 has %d tasks", len(tasks))
	}
	s.report("b2", 1, tasks...)
	s.Place()
	s.commit()
	stopped := s.report("b2", 1, tasks...)
	i := slices.IndexFunc(tasks, func(x api.TaskReport) bool { return has(stopped, api.CommandKill, x.Task) })
	if i < 0 {
		t.Fatalf("nothing is stopped for it: %+v", stopped)
	}
	tasks[i].State, tasks[i].Cause = api.TaskExited, api.CauseStopped
	s.report("b2", 1, tasks...)
	s.Place()
	s.commit()
	if o := s.report("b2", 1, tasks[1-i]); len(s.starts("run-000002/0")) != 1 && !has(o, api.CommandRun, "run-000002/0") {
		t.Errorf("not started on the machine that was heard: %+v, %+v", o, s.sent)
	}
	for _, o := range s.sent {
		for _, c := range o.o.Commands {
			if c.Verb == api.CommandRun && c.Task != "run-000002/0" {
				t.Errorf("%s is started on %s, and may run on a machine that was not heard", c.Task, o.name)
			}
		}
	}
}

// The cloud's answer to a return proves that a silent machine's tasks are gone.
func TestReturnOfSilentMachineFreesItsTasks(t *testing.T) {
	s := newStage(t)
	s.started("run-000001")
	s.report("a2", 1)
	for range 16 {
		s.clock.Advance(time.Second)
		s.report("a2", 1)
		s.Place()
	}
	names := s.MaintainFleet()
	if len(names) != 1 || names[0] != "a1" {
		t.Fatalf("to be returned: %v", names)
	}
	s.commit()
	if len(s.starts("run-000001/0")) != 1 {
		t.Fatal("started elsewhere before the proof")
	}
	s.InstancesReleased(names, nil)
	s.Place()
	s.commit()
	if got := s.starts("run-000001/0"); len(got) != 2 || got[1].name != "a2" {
		t.Errorf("starts %+v", got)
	}
	// What the machine said before, held up on the way, brings nothing back.
	if _, _, refused := s.HandleHeartbeat(&api.Heartbeat{Machine: "a1", Incarnation: 1, Seq: 900, Term: s.term}, ""); !refused {
		t.Error("a returned machine was taken back")
	}
}

// A whole zone that is silent is more likely cut off than gone.
func TestCutZoneIsNotReturned(t *testing.T) {
	s := newStage(t)
	s.report("b1", 1)
	s.report("b2", 1)
	if names := s.rounds(15*time.Second, func() { s.report("a1", 1); s.report("a2", 1) }); len(names) != 0 {
		t.Errorf("returned %v", names)
	}
	// The same with most of the zone already relayed, while its controllers
	// are out of reach: the rest is still looking for a relay.
	s = newStage(t)
	for _, m := range []string{"b1", "b2", "b3"} {
		s.report(m, 1)
	}
	s.cutZone = "b"
	rest := func() {
		s.report("a1", 1)
		s.relayed("sib", "b2", "b3")
	}
	if names := s.rounds(15*time.Second, rest); len(names) != 0 {
		t.Errorf("returned %v", names)
	}
	s.cutZone = ""
	if names := s.rounds(5*time.Second, rest); len(names) != 1 || names[0] != "b1" {
		t.Errorf("returned %v, want b1", names)
	}
}

// relayed plays reports that a sibling passes on through the state service.
func (s *stage) relayed(member string, names ...string) {
	for _, n := range names {
		s.HandleRelayedHeartbeat(member, &api.Heartbeat{Machine: n, Address: n + ":1", Type: "m8", Zone: zoneOf(n), Incarnation: 1, Seq: s.next(n), Term: s.term})
	}
}

// mailed is what stands in the state service for a machine behind a sibling.
func (s *stage) mailed(member, name string) (m store.RelayedCommands) {
	s.Helper()
	var r relay.Reader
	items, _, err := store.NewClient("state:1", s.state).List(context.Background(), store.MailPrefix+member+"/")
	for _, it := range items {
		var l relay.Packet
		if err == nil {
			err = json.Unmarshal(it.Value, &l)
		}
		if err == nil {
			err = r.Apply(it.Key, it.Revision, &l)
		}
	}
	if raw := r.MessageFor(s.term, name); err == nil && raw != nil {
		err = json.Unmarshal(raw, &m)
	}
	if err != nil {
		s.Fatal(err)
	}
	return m
}

// A start that went into a relay's mail may be delivered after any report that
// the relay passes on; only a report that comes directly proves its absence.
func TestMailedStartIsNotProvedAbsentByRelay(t *testing.T) {
	s := newStage(t)
	s.report("b1", 1)
	s.relayed("sib", "b1")
	s.submit("run-000001", 1, nil)
	s.Place()
	s.commit()
	m := s.mailed("sib", "b1")
	if len(m.Commands) != 1 || m.Commands[0].Verb != api.CommandRun || len(s.starts("run-000001/0")) != 0 {
		t.Fatalf("mail %+v, direct starts %d", m, len(s.starts("run-000001/0")))
	}
	s.Cancel(gaveUp(), "run-000001")
	s.commit()
	s.relayed("sib", "b1")
	if len(s.jobs["run-000001"].allocations) != 1 {
		t.Fatal("a relayed report was taken for a proof")
	}
	s.report("b1", 1)
	s.commit()
	if s.jobs["run-000001"] != nil {
		t.Error("a direct report was not taken for a proof")
	}
	if m := s.mailed("sib", "b1"); len(m.Commands) != 0 {
		t.Errorf("still in the mail: %+v", m)
	}
	// Reports for another term's leader are not ours to use.
	raw, _ := json.Marshal(relay.Packet{Term: s.term - 1, Packed: "x"})
	exchange.UnpackEvents([]store.Event{{Set: store.RelayKey("sib", 0), Value: raw}}, store.RelayPrefix, s.term, &relay.Reassembler{}, func(string, relay.Message) {
		t.Error("took reports of another term")
	})
}

func TestHigherSessionProvesLoss(t *testing.T) {
	s := newStage(t)
	st := s.started("run-000001")
	s.CommandsAnswered("a1", st.o, nil, false)
	s.report("a1", 2)
	s.Place()
	s.commit()
	if n := len(s.starts("run-000001/0")); n != 1 {
		t.Fatalf("%d starts on a machine that has not shown that it hears us since a command was lost", n)
	}
	s.report("a1", 2)
	s.Place()
	s.commit()
	if got := s.starts("run-000001/0"); len(got) != 2 || got[1].o.Incarnation != 2 || got[1].o.Commands[0].Attempt == got[0].o.Commands[0].Attempt {
		t.Errorf("starts %+v", got)
	}
}

// gaveUp is the context of a user who does not wait for the answer.
func gaveUp() context.Context {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	return ctx
}

// A cancel that overtakes a start: what was never sent never goes out, and what
// was sent is killed when it shows, however late.
func TestCancelRacingStart(t *testing.T) {
	s := newStage(t)
	s.report("a1", 1)
	s.submit("run-000001", 1, nil)
	s.Place()
	s.Cancel(gaveUp(), "run-000001")
	s.commit()
	if n := len(s.starts("run-000001/0")); n != 0 {
		t.Errorf("%d starts after the cancel", n)
	}

	s = newStage(t)
	st := s.started("run-000002")
	s.CommandsAnswered("a1", st.o, nil, false)
	s.Cancel(gaveUp(), "run-000002")
	s.commit()
	if o := s.report("a1", 1); has(o, api.CommandRun, "run-000002/0") {
		t.Error("a cancelled task was started again")
	}
	if o := s.report("a1", 1, task("run-000002/0", st.o.Commands[0].Attempt, api.TaskFetching, "")); !has(o, api.CommandKill, "run-000002/0") {
		t.Error("a late start was not killed")
	}
	if s.finals["run-000002"].State != api.Cancelled {
		t.Error("not on record as cancelled")
	}
}

// A task that was done just before the leader crashed: the new one hears of it,
// stores it before it clears it, and does not run it again.
func TestDoneJustBeforeCrash(t *testing.T) {
	s := newStage(t)
	s.report("a1", 1)
	s.submit("run-000001", 2, nil)
	s.Place()
	s.commit()
	at := s.starts("run-000001/0")[0].o.Commands[0].Attempt
	at1 := s.starts("run-000001/1")[0].o.Commands[0].Attempt
	s.elect()
	done := task("run-000001/0", at, api.TaskExited, api.CauseDone)
	other := task("run-000001/1", at1, api.TaskRunning, "")
	if o := s.report("a1", 1, done, other); has(o, api.CommandClear, "run-000001/0") || has(o, api.CommandKill, "run-000001/1") {
		t.Fatal("cleared before it was stored, or a running task was killed")
	}
	s.commit()
	if o := s.report("a1", 1, done, other); !has(o, api.CommandClear, "run-000001/0") {
		t.Error("not cleared once stored")
	}
	s.Place()
	s.commit()
	if len(s.starts("run-000001/0"))+len(s.starts("run-000001/1")) != 0 {
		t.Error("run again")
	}
	if st, _ := s.JobStatus("run-000001"); st.State != api.Running || st.Done != 1 {
		t.Errorf("status %+v", st)
	}
	s.report("a1", 1, task("run-000001/1", at1, api.TaskExited, api.CauseDone))
	if len(s.finals) != 0 {
		t.Error("done before that was stored")
	}
	s.commit()
	if s.finals["run-000001"].State != api.Done || s.state.Get(store.FinalKey("run-000001")) == nil || s.state.Get(store.JobKey("run-000001")) != nil || s.state.Get(store.ShardOf("run-000001", 0, tuning.ShardTasks).Key()) != nil {
		t.Error("the job was not filed")
	}
	// A late repeat must not bring it back to life.
	s.Submit(gaveUp(), &api.Submission{ID: "run-000001", Tasks: 1, Shape: api.JobArray, Team: "t"}, s.clock.Now())
	s.commit()
	if s.state.Get(store.JobKey("run-000001")) != nil {
		t.Error("a job that is over was accepted again")
	}
}

// While the state service is out, reports are answered, else every worker would
// kill its tasks; nothing is started.
func TestOutageLongerThanLease(t *testing.T) {
	s := newStage(t)
	st := s.started("run-000001")
	s.CommandsAnswered("a1", st.o, nil, true)
	s.submit("run-000002", 1, nil)
	s.Place()
	s.valid = false
	s.state.Down = true
	run := task("run-000001/0", st.o.Commands[0].Attempt, api.TaskRunning, "")
	for range 25 {
		s.clock.Advance(time.Second)
		s.com.Step(context.Background())
		o := s.report("a1", 1, run)
		s.Place()
		if o.Term != s.term || len(o.Commands) != 0 {
			t.Fatalf("answer in an outage: %+v", o)
		}
		if len(s.MaintainFleet()) != 0 {
			t.Fatal("machines returned in an outage")
		}
	}
	s.valid, s.state.Down = true, false
	s.clock.Advance(time.Second)
	s.commit()
	if len(s.starts("run-000002/0")) != 1 {
		t.Error("not started after the outage")
	}
}

// A worker that has seen a higher term has another leader.
func TestHigherTermDeposes(t *testing.T) {
	s := newStage(t)
	_, deposed, _ := s.HandleHeartbeat(&api.Heartbeat{Machine: "a1", Incarnation: 1, Seq: 1, Term: s.term + 5}, "")
	if !deposed {
		t.Error("still leads")
	}
}

// A report that was held up on the way must not undo a newer one.
func TestLateReport(t *testing.T) {
	s := newStage(t)
	st := s.started("run-000001")
	s.CommandsAnswered("a1", st.o, nil, true)
	s.reportAt("a1", 1, 50, s.term, task("run-000001/0", st.o.Commands[0].Attempt, api.TaskRunning, ""))
	if o := s.reportAt("a1", 1, 40, s.term); len(o.Commands) != 0 {
		t.Errorf("commands on a late report: %+v", o.Commands)
	}
	s.Place()
	s.commit()
	if len(s.starts("run-000001/0")) != 1 {
		t.Error("a late report made the task start again")
	}
}

// TestUnexpectedMachineIsUsed of a rental whose answer was lost turn up and are used.
func TestUnexpectedMachineIsUsed(t *testing.T) {
	s := newStage(t)
	s.submit("run-000001", 1, nil)
	s.ApplyInstanceList([]api.Instance{{Name: "a7", Address: "a7:1", Type: "m8", Zone: "a", State: "booting"}})
	s.Place()
	s.report("a7", 1)
	s.Place()
	s.commit()
	if got := s.starts("run-000001/0"); len(got) != 1 || got[0].name != "a7" {
		t.Errorf("starts %+v", got)
	}
}

// A task that runs though no record names its machine counts from then on.
func TestUnknownRunningTaskIsNotStartedTwice(t *testing.T) {
	s := newStage(t)
	s.submit("run-000001", 1, nil)
	s.report("a1", 1, task("run-000001/0", 77, api.TaskRunning, ""))
	s.report("b1", 1)
	s.Place()
	s.commit()
	if len(s.starts("run-000001/0")) != 0 {
		t.Error("started twice")
	}
}

func TestLargestJobWithinStateLimits(t *testing.T) {
	s := newStage(t)
	s.submit("run-000001", api.MaxTasks, func(x *api.Submission) { x.CPUs, x.MemoryGB, x.Team = 0.01, 0.01, "t" })
	s.mu.Lock()
	job := s.jobs["run-000001"]
	machine := s.machineNamed("n-999999")
	for i := range api.MaxTasks {
		s.allocate(job, i, machine, s.nextAttempt()+1<<40)
		s.markShardDirty(job, i, nil)
	}
	s.mu.Unlock()
	s.commit()
	l := s.state.Largest
	if l.Value > 16<<10 || l.Bytes > 64<<10 || l.Ops > 12 {
		t.Errorf("largest transaction %+v", l)
	}
	if s.com.Pending() > 0 {
		t.Errorf("%d records wait", s.com.Pending())
	}
	s.elect()
	if n := len(s.jobs["run-000001"].allocations); n != api.MaxTasks {
		t.Errorf("%d tasks read back", n)
	}
}

func TestTeamLimit(t *testing.T) {
	s := newStage(t)
	for i := range 4 {
		s.report(fmt.Sprintf("a%d", i), 1)
	}
	s.submit("run-000001", 6, func(x *api.Submission) { x.Team = "small" })
	s.Place()
	s.commit()
	n := 0
	for i := range 6 {
		n += len(s.starts(taskKey("run-000001", i)))
	}
	if n != 2 {
		t.Errorf("%d tasks of 4 processors within a limit of 8", n)
	}
}

// TestSpread: at most half of the replicas, rounded up, in one zone, also while
// one zone has no machine.
func TestSpread(t *testing.T) {
	s := newStage(t)
	for i := range 3 {
		s.report(fmt.Sprintf("a%d", i), 1)
	}
	s.submit("run-000001", 3, func(x *api.Submission) { x.Shape, x.Spread, x.Rank = api.Service, true, "prod" })
	s.Place()
	s.commit()
	if len(s.jobs["run-000001"].allocations) != 2 {
		t.Fatalf("%d replicas in one zone", len(s.jobs["run-000001"].allocations))
	}
	s.report("b1", 1)
	s.Place()
	if len(s.jobs["run-000001"].allocations) != 3 {
		t.Error("the third replica did not start in the other zone")
	}
}

// Production takes room from lower work, in one command, and never from its
// own rank.
func TestPreemption(t *testing.T) {
	s := newStage(t)
	s.report("a1", 1)
	s.submit("run-000001", 2, nil)
	s.Place()
	s.commit()
	s.CommandsAnswered("a1", s.sent[0].o, nil, true)
	var run []api.TaskReport
	for i := range 2 {
		run = append(run, task(taskKey("run-000001", i), s.starts(taskKey("run-000001", i))[0].o.Commands[0].Attempt, api.TaskRunning, ""))
	}
	s.report("a1", 1, run...)
	s.sent = nil
	s.submit("run-000002", 1, func(x *api.Submission) { x.Shape, x.Rank = api.Service, "prod" })
	s.Place()
	s.commit()
	var cmds []api.Command
	for _, o := range s.sent {
		cmds = append(cmds, o.o.Commands...)
	}
	o := s.report("a1", 1, run...)
	cmds = append(cmds, o.Commands...)
	kill, start := -1, -1
	for i, c := range cmds {
		if c.Verb == api.CommandKill && kill < 0 {
			kill = i
		}
		if c.Verb == api.CommandRun && c.Task == "run-000002/0" {
			start = i
		}
	}
	if kill < 0 || start < kill {
		t.Errorf("want a kill, then the start: %+v", cmds)
	}
	s.submit("run-000003", 2, func(x *api.Submission) { x.Shape, x.Rank, x.CPUs = api.Service, "prod", 8 })
	s.Place()
	if s.jobs["run-000002"].allocations[0].stopping {
		t.Error("stopped work of its own rank")
	}
}

// A machine on which tasks of several jobs fail gets no more work; a job that
// fails on every machine is paced.
func TestSickMachineAndBadJob(t *testing.T) {
	s := newStage(t)
	s.report("a1", 1)
	for i := 1; i <= 3; i++ {
		id := fmt.Sprintf("run-%06d", i)
		s.submit(id, 1, nil)
		s.Place()
		s.commit()
		s.answerAll()
		if st := s.starts(id + "/0"); len(st) > 0 {
			s.report("a1", 1, task(id+"/0", st[0].o.Commands[0].Attempt, api.TaskExited, api.CauseError))
			s.answerAll()
		}
	}
	if names := s.MaintainFleet(); len(names) != 1 {
		t.Errorf("suspect machines: %v", names)
	}

	s = newStage(t)
	s.submit("run-000009", 1, nil)
	for i := range 10 {
		s.report(fmt.Sprintf("a%d", i), 1)
		before := len(s.starts("run-000009/0"))
		s.Place()
		s.commit()
		s.answerAll()
		if st := s.starts("run-000009/0"); len(st) > before {
			last := st[len(st)-1]
			s.report(last.name, 1, task("run-000009/0", last.o.Commands[0].Attempt, api.TaskExited, api.CauseError))
			s.answerAll()
		}
	}
	if n := len(s.starts("run-000009/0")); n > 4 || len(s.MaintainFleet()) != 0 {
		t.Errorf("a job that always fails was started %d times at once", n)
	}
}

// answerAll lets the workers answer every direct command.
func (s *stage) answerAll() {
	for ; s.answered < len(s.sent); s.answered++ {
		s.CommandsAnswered(s.sent[s.answered].name, s.sent[s.answered].o, nil, true)
	}
}

// A gang starts as a whole or not at all.
func TestGang(t *testing.T) {
	s := newStage(t)
	s.report("a1", 1)
	s.submit("run-000001", 3, func(x *api.Submission) { x.Shape, x.OneZone = api.Gang, true })
	s.report("b1", 1)
	s.Place()
	if n := len(s.jobs["run-000001"].allocations); n != 0 || s.machines["a1"].used.CPUs != 0 {
		t.Fatalf("%d of 3 tasks placed in zones with room for 2", n)
	}
	s.report("b2", 1)
	s.Place()
	s.commit()
	for i := range 3 {
		if got := s.starts(taskKey("run-000001", i)); len(got) != 1 || got[0].name[0] != 'b' {
			t.Errorf("task %d: %+v", i, got)
		}
	}
}

// TestRentsInOutage that are gone are replaced at once, also while the state service is
// out: they take long to boot.
func TestRentsInOutage(t *testing.T) {
	s := newStage(t)
	for i := range 12 {
		s.report(fmt.Sprintf("a%02d", i), 1)
	}
	s.submit("run-000001", 14, nil)
	s.clock.Advance(5 * time.Second)
	for i := range 12 {
		s.report(fmt.Sprintf("a%02d", i), 1)
	}
	if r := s.InstanceRequests(); len(r) != 0 {
		t.Fatalf("rented %+v with enough machines", r)
	}
	s.valid = false
	for range 8 {
		s.clock.Advance(time.Second)
		for i := range 6 {
			s.report(fmt.Sprintf("a%02d", i), 1)
		}
	}
	if r := s.InstanceRequests(); len(r) == 0 {
		t.Error("nothing rented for machines that are gone")
	}
}

// A job within its team's guarantee goes before another team's that came first.
func TestGuaranteedJobsGoFirst(t *testing.T) {
	s := newStage(t)
	s.submit("run-000001", 4, nil)
	s.clock.Advance(time.Second)
	s.submit("run-000002", 2, func(x *api.Submission) { x.Team = "sure" })
	s.submit("run-000003", 3, func(x *api.Submission) { x.Team = "sure" })
	s.report("a1", 1)
	s.Place()
	if live := len(s.jobs["run-000002"].allocations); live != 2 {
		t.Errorf("%d of 2 guaranteed tasks placed", live)
	}
	// The third does not fit into the guarantee with the second.
	if s.jobs["run-000003"].overQuota != 1 || s.jobs["run-000001"].overQuota != 1 {
		t.Error("counted as guaranteed")
	}
}

// For a job that waits within its team's guarantee, work of the same rank that
// another team runs beyond its own is stopped, but not at once and never
// production.
func TestGuaranteeStopsBorrowedWork(t *testing.T) {
	s := newStage(t)
	s.report("a1", 1)
	s.submit("run-000001", 1, nil)
	s.submit("run-000002", 1, func(x *api.Submission) { x.Shape, x.Rank = api.Service, "prod" })
	s.Place()
	s.commit()
	s.answerAll()
	var run []api.TaskReport
	for _, k := range []string{"run-000001/0", "run-000002/0"} {
		run = append(run, task(k, s.starts(k)[0].o.Commands[0].Attempt, api.TaskRunning, ""))
	}
	s.report("a1", 1, run...)
	s.submit("run-000003", 2, func(x *api.Submission) { x.Team = "sure" })
	s.Place()
	if s.jobs["run-000001"].allocations[0].stopping {
		t.Fatal("stopped at once")
	}
	for range 7 {
		s.clock.Advance(time.Second)
		s.report("a1", 1, run...)
	}
	s.Place()
	if !s.jobs["run-000001"].allocations[0].stopping || len(s.jobs["run-000003"].allocations) != 1 {
		t.Error("no room for guaranteed work")
	}
	if s.jobs["run-000002"].allocations[0].stopping {
		t.Error("production was stopped")
	}
}

// A machine with work of its own queue first serves an earlier job that waits
// elsewhere: on the grown deployments a job's last task waited up to 160 s in the
// queue of one machine while later jobs started on others.
func TestEarlierJobIsServedBeforeOwnQueue(t *testing.T) {
	s := newStage(t)
	for _, m := range []string{"a1", "a2"} {
		s.report(m, 1)
	}
	s.submit("run-000001", 4, nil)
	s.settleStarts()
	s.clock.Advance(time.Second)
	s.submit("run-000002", 1, nil)
	s.clock.Advance(time.Second)
	s.submit("run-000003", 1, nil)
	// The earlier job's task waits at one machine, the later one's at the other.
	for i, id := range []string{"run-000002", "run-000003"} {
		job := s.jobs[id]
		s.machines[[]string{"a1", "a2"}[i]].enqueue(job, job.pending)
		job.pending, job.queued = nil, 1
	}
	var ended []api.TaskReport
	for _, r := range s.machines["a2"].Tasks {
		ended = append(ended, task(r.Task, r.Attempt, api.TaskExited, api.CauseDone))
		break
	}
	for _, r := range s.machines["a2"].Tasks {
		if r.Task != ended[0].Task {
			ended = append(ended, r)
		}
	}
	s.again("a1")
	s.report("a2", 1, ended...)
	s.Place()
	if alloc := s.jobs["run-000002"].allocations[0]; alloc == nil || alloc.machine.Name != "a2" {
		t.Errorf("the earlier job did not start on the machine with room: %+v", alloc)
	}
	if len(s.jobs["run-000003"].allocations) != 0 {
		t.Error("the later job went first")
	}
}

// Of two jobs as urgent the one that takes less of the fleet goes first, but one
// that is much more urgent goes before it: on overloaded days one job of 70 tasks
// made several small ones late.
func TestSmallJobsGoFirstWhenAsUrgent(t *testing.T) {
	s := newStage(t)
	s.report("a1", 1)
	due := func(d float64) func(*api.Submission) {
		return func(x *api.Submission) { x.DeadlineS = d }
	}
	s.submit("run-000001", 30, due(4000))
	s.submit("run-000002", 2, due(4000))
	s.submit("run-000003", 30, due(400))
	s.submit("run-000004", api.MaxTasks, func(x *api.Submission) { x.DeadlineS, x.EstimateS = 1e15, 1e14 })
	s.sortQueues()
	var got []string
	for _, job := range s.jobOrder {
		got = append(got, job.id)
	}
	if want := []string{"run-000002", "run-000003", "run-000001", "run-000004"}; !slices.Equal(got, want) {
		t.Errorf("order %v", got)
	}
}

// A job that missed its deadline does not wait behind all others while it can
// still meet the multiple of it that its class has an aim for.
func TestLateJobHasItsNextAim(t *testing.T) {
	s := newStage(t)
	s.deadlineMultiples["c"] = []float64{2}
	due := func(x *api.Submission) { x.DeadlineS = 60 }
	s.submit("run-000001", 1, due)
	job := s.jobs["run-000001"]
	at := func(after float64) int64 { return s.latestStart(job, job.At+int64(after*1000)) - job.At }
	if at(0) != 30_000 || at(31) != 90_000 || at(91) != math.MaxInt64-job.At {
		t.Errorf("latest starts %d, %d, %d", at(0), at(31), at(91))
	}
}

// Where a task waits for an image already, the next task of that image does not
// fetch it again: the machine takes it from another's queue at once.
func TestImageOnItsWayCountsAsHeld(t *testing.T) {
	s := newStage(t)
	for _, m := range []string{"a1", "a2"} {
		s.report(m, 1)
	}
	s.submit("run-000001", 2, func(x *api.Submission) { x.CPUs, x.ImageGB = 4, 5 })
	job := s.jobs["run-000001"]
	s.machines["a1"].enqueue(job, job.pending)
	job.pending, job.queued = nil, 2
	s.submit("run-000002", 1, func(x *api.Submission) { x.CPUs, x.Image = 4, "other" })
	k := s.jobs["run-000002"]
	k.pending = nil
	s.allocate(k, 0, s.machines["a1"], 1)
	s.allocate(job, 1, s.machines["a2"], 2)
	job.queued, s.machines["a1"].queues[0].tasks = 1, []int32{0}
	if !s.worthPulling(job, s.machines["a2"]) {
		t.Fatal("a machine that gets the image anyway must not wait")
	}
	s.machines["a1"].used.CPUs = 8
	s.Place()
	if alloc := job.allocations[0]; alloc == nil || alloc.machine.Name != "a2" {
		t.Errorf("not taken by the machine that fetches the image: %+v", alloc)
	}
	s.removeAllocation(job.allocations[0])
	s.removeAllocation(job.allocations[1])
	if len(s.machines["a2"].imagesInUse) != 0 || s.machines["a2"].fetchSeconds(job) == 0 {
		t.Error("counted as held after its tasks are gone")
	}
}

// A job that comes within its team's guarantee only as earlier ones end goes
// first in the queues, but nothing is stopped for it: two teams above their
// guarantees stopped each other's arrays over and over.
func TestNothingIsStoppedForJobsThatCameBeyond(t *testing.T) {
	s := newStage(t)
	for i := range 3 {
		s.report(fmt.Sprintf("a%d", i), 1)
	}
	s.submit("run-000001", 6, func(x *api.Submission) { x.Team = "lent" })
	s.settleStarts()
	s.submit("run-000002", 4, func(x *api.Submission) { x.Team = "sure" })
	s.submit("run-000003", 4, func(x *api.Submission) { x.Team = "sure" })
	s.sortQueues()
	// The first one ends somewhere else: the second now fits.
	s.finish(s.jobs["run-000002"], api.Cancelled)
	s.commit()
	for range 8 {
		s.clock.Advance(time.Second)
		for i := range 3 {
			s.again(fmt.Sprintf("a%d", i))
		}
		s.Place()
	}
	job := s.jobs["run-000003"]
	if job.overQuota != 0 || job.guaranteed {
		t.Fatalf("beyond %d, entitled %v", job.overQuota, job.guaranteed)
	}
	for _, alloc := range s.jobs["run-000001"].allocations {
		if alloc.stopping {
			t.Errorf("%s was stopped", alloc.key)
		}
	}
}

// What jobs ask for is counted in processors, also before the catalog is read.
func TestDemandWithoutCatalog(t *testing.T) {
	s := newStage(t)
	s.submit("run-000001", 3, func(x *api.Submission) { x.CPUs, x.MemoryGB = 4, 8 })
	s.Scheduler.machineTypes = map[string]*api.MachineType{}
	if all, _ := s.demand(); all != 12 {
		t.Errorf("%v processors for 3 tasks of 4", all)
	}
}

// Guaranteed work takes from another team no more than that one borrowed, also
// when many tasks wait at once and none of those being stopped is gone yet.
func TestGuaranteeTakesNoMoreThanWasBorrowed(t *testing.T) {
	s := newStage(t)
	for i := range 3 {
		s.report(fmt.Sprintf("a%d", i), 1)
	}
	// "lent" runs 24 processors; 16 of them are its own.
	s.submit("run-000001", 6, func(x *api.Submission) { x.Team = "lent" })
	s.settleStarts()
	s.submit("run-000002", 4, func(x *api.Submission) { x.Team = "sure" })
	for range 8 {
		s.clock.Advance(time.Second)
		for i := range 3 {
			s.again(fmt.Sprintf("a%d", i))
		}
		s.Place()
	}
	stopped := 0
	for _, alloc := range s.jobs["run-000001"].allocations {
		if alloc.stopping {
			stopped++
		}
	}
	if stopped != 2 {
		t.Errorf("%d tasks stopped, want the 2 that were borrowed", stopped)
	}
}

// More submissions than can be stored in time are refused at once, and told when
// their turn may come; the leader does not keep what it cannot take.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	s := newStage(t)
	s.com = store.NewCommitter(store.NewClient("state:1", s.state), stageSource{s.Scheduler, s}, s.clock, settings.State{WriteRPS: 25, TxnOps: 12, ValueKB: 16}, map[string]uint64{})
	refused, longest := 0, 0
	for i := range 500 {
		sub := &api.Submission{ID: fmt.Sprintf("run-%06d", i), Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: 1}
		if a, _ := s.Submit(gaveUp(), sub, s.clock.Now()); s.jobs[sub.ID] == nil {
			refused++
			longest = max(longest, a.RetryAfterS)
			if a.Status != 503 || a.RetryAfterS < 2 {
				t.Fatalf("refused with %d, come back after %d s", a.Status, a.RetryAfterS)
			}
		}
	}
	// A second's worth, and what is written within the time that users wait.
	if kept := 500 - refused; kept < 40 || kept > 60 {
		t.Errorf("%d of 500 taken at 20 writes a second", kept)
	}
	if longest > tuning.RetryAfterMost {
		t.Errorf("told to come back after %d s", longest)
	}
	for range 200 {
		s.com.Step(context.Background())
		s.clock.Advance(50 * time.Millisecond)
	}
	if d := s.com.Delay(); d > 0 {
		t.Errorf("still %v behind", d)
	}
}

// An accept whose answer from the state service is lost: the job is there once,
// and the user's retry gets 200.
func TestAcceptWithLostAnswer(t *testing.T) {
	s := newStage(t)
	sub := &api.Submission{ID: "run-000001", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 2, CPUs: 1}
	s.state.LoseAnswer = true
	s.Submit(gaveUp(), sub, s.clock.Now())
	s.com.Step(context.Background())
	s.commit()
	if a, ok := s.Submit(context.Background(), sub, s.clock.Now()); !ok || a.Status != 200 {
		t.Errorf("retry: %+v", a)
	}
	if n := len(s.jobs["run-000001"].pending); n != 2 {
		t.Errorf("%d tasks wait", n)
	}
}

// After a change of leaders a replica may be known from its record alone. Until
// its machine's zone is known, it counts in every zone.
func TestSpreadCountsMachinesOfUnknownZone(t *testing.T) {
	s := newStage(t)
	s.report("a1", 1)
	s.report("b1", 1)
	s.submit("run-000001", 2, func(x *api.Submission) { x.Shape, x.Spread, x.Rank = api.Service, true, "prod" })
	s.Place()
	s.commit()
	s.answerAll()
	at := s.starts("run-000001/0")[0]
	other := map[string]string{"a1": "b", "b1": "a"}[at.name]
	s.elect()
	// One machine reports without its replica, the other is not heard.
	if other == "b" {
		s.report("b1", 1)
	} else {
		s.report("a1", 1)
	}
	s.report(other+"2", 1)
	same := map[string]string{"a": "b", "b": "a"}[other]
	s.report(same+"2", 1)
	s.Place()
	for _, alloc := range s.jobs["run-000001"].allocations {
		if alloc.task == 1 {
			t.Errorf("a replica was placed on %s while the other's zone was unknown", alloc.machine.Name)
		}
	}
	s.ApplyInstanceList([]api.Instance{{Name: at.name, Type: "m8", Zone: same, State: "running"}})
	s.Place()
	if alloc := s.jobs["run-000001"].allocations[1]; alloc == nil || alloc.machine.Zone != other {
		t.Errorf("not placed in the other zone: %+v", alloc)
	}
}

// With nothing to do, machines go back, also of teams that have a guarantee.
func TestIdleMachinesAreReturned(t *testing.T) {
	s := newStage(t)
	left := map[string]bool{}
	for i := range 4 {
		left[fmt.Sprintf("a%d", i)] = true
	}
	for range 8 * 30 * 2 {
		s.clock.Advance(time.Second)
		for m := range left {
			s.report(m, 1)
		}
		for _, n := range s.MaintainFleet() {
			delete(left, n)
			s.InstancesReleased([]string{n}, nil)
		}
	}
	if len(left) > 0 || len(s.InstanceRequests()) > 0 {
		t.Errorf("%d machines kept with nothing to do", len(left))
	}
}

// A task that made room once is not stopped again while others would do, though
// it has run the shortest each time.
func TestSameTaskDoesNotMakeRoomAgain(t *testing.T) {
	s := newStage(t)
	s.report("a1", 1)
	s.submit("run-000001", 2, nil)
	s.Place()
	s.commit()
	s.answerAll()
	var run []api.TaskReport
	for i := range 2 {
		k := taskKey("run-000001", i)
		run = append(run, task(k, s.starts(k)[0].o.Commands[0].Attempt, api.TaskRunning, ""))
	}
	s.report("a1", 1, run[0])
	s.clock.Advance(5 * time.Second)
	s.report("a1", 1, run...)
	job := s.jobs["run-000001"]
	older, younger := job.allocations[0], job.allocations[1]
	if s.preemptionLoss(older) <= s.preemptionLoss(younger) {
		t.Fatal("task 1 is not the younger one")
	}
	job.preemptions[1] = 1
	s.submit("run-000002", 1, func(x *api.Submission) { x.Shape, x.Rank = api.Service, "prod" })
	s.Place()
	if !older.stopping || younger.stopping {
		t.Errorf("stopped: older %v, younger %v", older.stopping, younger.stopping)
	}
}

// A guaranteed job must not stop work of a higher rank, which would stop its
// tasks in turn: on a drawn day the two did so over a thousand times.
func TestGuaranteeAndRankDoNotStopEachOther(t *testing.T) {
	s := newStage(t)
	s.report("a1", 1)
	s.submit("run-000001", 2, func(x *api.Submission) { x.Rank = "high" })
	s.Place()
	s.commit()
	s.answerAll()
	var run []api.TaskReport
	for i := range 2 {
		k := taskKey("run-000001", i)
		run = append(run, task(k, s.starts(k)[0].o.Commands[0].Attempt, api.TaskRunning, ""))
	}
	s.submit("run-000002", 2, func(x *api.Submission) { x.Team = "sure" })
	for range 12 {
		s.clock.Advance(time.Second)
		s.report("a1", 1, run...)
		s.Place()
		s.commit()
	}
	for _, alloc := range s.jobs["run-000001"].allocations {
		if alloc.stopping {
			t.Errorf("%s was stopped by work of lower rank", alloc.key)
		}
	}
}

// Under a backlog many times a team's guarantee, its oldest jobs come to lie within it. They must
// not go before younger ones that can still be in time: queues went by arrival then. One that came
// within the guarantee does (docs/incidents/fleet-guarantee-by-arrival.md).
func TestGuaranteeIsNotByArrival(t *testing.T) {
	s := newStage(t)
	s.report("a1", 1)
	sure := func(x *api.Submission) { x.Team, x.DeadlineS, x.EstimateS = "sure", 60, 30 }
	s.submit("run-000001", 4, sure)
	s.Place()
	s.submit("run-000002", 2, sure) // overQuota the 16 processors, as the first takes them all
	s.Place()
	s.Cancel(gaveUp(), "run-000001")
	s.commit()
	s.clock.Advance(40 * time.Second)
	s.submit("run-000003", 4, sure)
	s.report("a1", 1)
	s.Place()
	order := func() (out []string) {
		for _, job := range s.jobOrder {
			if job.FinalState == "" {
				out = append(out, job.id)
			}
		}
		return out
	}
	if got := order(); !slices.Equal(got, []string{"run-000003", "run-000002"}) {
		t.Errorf("order %v: the one that is late has come within the guarantee, the other can be in time", got)
	}
	s.Cancel(gaveUp(), "run-000002")
	s.submit("run-000004", 1, func(x *api.Submission) { x.Team, x.Rank = "left", "normal" })
	s.Place()
	if got := order(); len(got) != 2 || got[0] != "run-000004" {
		t.Errorf("order %v: one that came within its team's guarantee goes first", got)
	}
}

// A damaged record, of a job or of its tasks, costs a new leader that job alone, and nothing more of it: no leader
// could begin before, and none must write over what it cannot read.
func TestDamagedRecordsCostTheirJobAlone(t *testing.T) {
	s := newStage(t)
	s.report("a1", 1)
	for _, id := range []string{"run-000001", "run-000002", "run-000003"} {
		s.submit(id, 1, tiny)
	}
	s.Place()
	s.commit()
	shards := map[string]string{}
	for _, id := range []string{"run-000001", "run-000002"} {
		shards[id] = store.ShardOf(id, 0, s.tasksPerShard).Key()
		if s.state.Get(shards[id]) == nil {
			t.Fatalf("no record of the task of %s", id)
		}
	}
	s.state.Put(store.JobKey("run-000001"), "damaged")
	s.state.Put(shards["run-000002"], "damaged")
	s.elect()
	s.report("a1", 1)
	s.Place()
	s.commit()
	if _, ok := s.JobStatus("run-000003"); !ok {
		t.Error("a job whose records are sound is not known")
	}
	for _, id := range []string{"run-000001", "run-000002"} {
		if _, ok := s.JobStatus(id); ok {
			t.Errorf("%s is answered for", id)
		}
		sub := api.Submission{ID: id, Class: "c", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, EstimateS: 30}
		if a, ok := s.Submit(gaveUp(), &sub, s.clock.Now()); !ok || a.Status != 503 || a.RetryAfterS < 1 {
			t.Errorf("%s submitted again: %d", id, a.Status)
		}
	}
	s.commit()
	if string(s.state.Get(store.JobKey("run-000001"))) != `"damaged"` || string(s.state.Get(shards["run-000002"])) != `"damaged"` || s.state.Get(shards["run-000001"]) == nil || s.state.Get(store.JobKey("run-000002")) == nil {
		t.Error("records that could not be read, or those beside them, were written over or deleted")
	}
}
