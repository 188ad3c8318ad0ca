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

// harness is a leader on a fake clock with a scripted state service; the test
// plays the workers and the cloud.
type harness struct {
	*testing.T
	*Scheduler
	clock          *clockwork.FakeClock
	state          *fake.State
	committer      *store.Committer
	leading        bool
	sent           []sentCommands
	terminalStates map[string]store.FinalRecord
	// seq is each machine's newest tally.
	seq             map[string]uint64
	unreachableZone string
	answered        int
	// topologyMap is where machines stand; nil: nothing is declared.
	topologyMap *topology.Map
	// limits are the state service's as the settings have them.
	limits settings.State
}

type sentCommands struct {
	machine  string
	response api.HeartbeatResponse
}

var testTypes = []api.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 32, CacheGB: 20, PullGBs: 0.5, BootS: 30, Zones: []string{"a", "b"}}}

func newHarness(t *testing.T) *harness {
	clock := clockwork.NewFakeClock()
	return (&harness{T: t, clock: clock, state: fake.NewState(clock), seq: map[string]uint64{}}).elect()
}

// elect begins a new term over the same state service, as after a crash.
func (h *harness) elect() *harness {
	h.Helper()
	set := &settings.Settings{Member: "x"}
	set.Facts.Workers = settings.Workers{ReportS: 1, LeaseS: 10, CancelS: 40}
	set.Facts.State = settings.State{RPS: 200, WriteRPS: 5000, ValueKB: 16, TxnOps: 12, Next: h.limits.Next}
	set.Facts.Teams = []settings.Team{{Name: "t", CPUsMax: 400}, {Name: "small", CPUsMax: 8}, {Name: "sure", CPUs: 16}, {Name: "lent", CPUs: 16},
		{Name: "left", CPUs: 900, CPUsMax: 3000}, {Name: "right", CPUs: 1200, CPUsMax: 3000}}
	term := h.state.Put(store.LeaderKey, store.LeaderRecord{Member: "x"})
	client := store.NewClient("state:1", h.state)
	h.leading, h.sent, h.answered, h.terminalStates = true, nil, 0, map[string]store.FinalRecord{}
	hooks := Hooks{
		MarkDirty:       func(k string, u int, f func()) { h.committer.MarkDirty(k, u, f) },
		MarkDirtyWithin: func(k string, u int, _ time.Duration, f func()) { h.committer.MarkDirty(k, u, f) },
		SendCommands:    func(n, _ string, o api.HeartbeatResponse) { h.sent = append(h.sent, sentCommands{n, o}) },
		Leading:         func() bool { return h.leading },
		CommitDelay:     func() time.Duration { return h.committer.Delay() },
		ZoneUnreachable: func(zone string) bool { return zone == h.unreachableZone },
		JobTerminal:     func(id string, f store.FinalRecord) { h.terminalStates[id] = f },
		TerminalState:   func(id string) (store.FinalRecord, bool) { f, ok := h.terminalStates[id]; return f, ok },
	}
	h.Scheduler = New(term, h.clock, set, policy.Default(), testTypes, hooks)
	if h.topologyMap != nil {
		h.UseTopology(h.topologyMap)
	}
	h.committer = store.NewCommitter(client, harnessSource{h.Scheduler, h}, h.clock, set.Facts.State, map[string]uint64{})
	ctx := context.Background()
	jobs, _, err := client.List(ctx, store.JobPrefix)
	if err != nil {
		h.Fatal(err)
	}
	shards, _, err := client.List(ctx, store.ShardPrefix)
	if err != nil {
		h.Fatal(err)
	}
	images, _, err := client.List(ctx, store.ImagesPrefix)
	if err != nil {
		h.Fatal(err)
	}
	h.LoadImageHints(images)
	for _, it := range append(append(jobs, shards...), images...) {
		h.committer.SetRevision(it.Key, it.Revision)
	}
	h.Load(jobs, shards)
	return h
}

type harnessSource struct {
	*Scheduler
	harness *harness
}

func (x harnessSource) Condition() (store.Condition, bool) {
	return store.Condition{Key: store.LeaderKey, Revision: x.term}, x.harness.leading
}
func (x harnessSource) Deposed() { x.harness.leading = false }

// commit writes all that waits.
func (h *harness) commit() {
	for i := 0; h.committer.Pending() > 0 && i < 2000; i++ {
		h.committer.Step(context.Background())
		h.clock.Advance(time.Millisecond)
	}
}

// submit stores a job.
func (h *harness) submit(id string, tasks int, change func(*api.Submission)) {
	h.Helper()
	sub := api.Submission{ID: id, Class: "c", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: tasks,
		CPUs: 4, MemoryGB: 8, Image: "img", ImageGB: 1, Spot: true, EstimateS: 30}
	if change != nil {
		change(&sub)
	}
	h.Submit(cancelledContext(), &sub, h.clock.Now())
	h.commit()
	if _, ok := h.JobStatus(id); !ok {
		h.Fatalf("%s not accepted", id)
	}
}

// nextSeq is a machine's next tally.
func (h *harness) nextSeq(name string) uint64 {
	h.seq[name]++
	return h.seq[name]
}

// heartbeat plays a worker that has seen the current term.
func (h *harness) heartbeat(name string, session uint64, tasks ...api.TaskReport) api.HeartbeatResponse {
	return h.heartbeatAt(name, session, h.nextSeq(name), h.term, tasks...)
}

func (h *harness) heartbeatAt(name string, session, seq, term uint64, tasks ...api.TaskReport) api.HeartbeatResponse {
	o, _, _ := h.HandleHeartbeat(&api.Heartbeat{Machine: name, Address: name + ":1", Type: "m8", Zone: zoneOf(name), Incarnation: session, Seq: seq, Term: term, Tasks: tasks}, "")
	return o
}

// zoneOf puts machines whose name begins with b into zone b.
func zoneOf(name string) string {
	if name[0] == 'b' {
		return "b"
	}
	return "a"
}

func taskReport(key string, attempt uint64, state, cause string) api.TaskReport {
	return api.TaskReport{Task: key, Attempt: attempt, State: state, Cause: cause}
}

// starts are the run commands sent directly so far, newest last.
func (h *harness) starts(key string) (out []sentCommands) {
	for _, o := range h.sent {
		for _, c := range o.response.Commands {
			if c.Verb == api.CommandRun && c.Task == key {
				out = append(out, sentCommands{o.machine, api.HeartbeatResponse{Term: o.response.Term, Incarnation: o.response.Incarnation, Commands: []api.Command{c}}})
			}
		}
	}
	return out
}

func hasCommand(o api.HeartbeatResponse, verb, key string) bool {
	for _, c := range o.Commands {
		if c.Verb == verb && c.Task == key {
			return true
		}
	}
	return false
}

// submitAndStart places a job of one task on a lone machine and returns its start.
func (h *harness) submitAndStart(id string) sentCommands {
	h.Helper()
	h.heartbeat("a1", 1)
	h.submit(id, 1, nil)
	h.Place()
	if len(h.sent) > 0 {
		h.Fatal("a start was sent before it was stored")
	}
	h.commit()
	st := h.starts(id + "/0")
	if len(st) != 1 {
		h.Fatalf("%d starts", len(st))
	}
	return st[0]
}

func TestStartIsStoredBeforeItIsSent(t *testing.T) {
	h := newHarness(t)
	st := h.submitAndStart("run-000001")
	if h.state.Get(store.ShardOf("run-000001", 0, tuning.ShardTasks).Key()) == nil || st.machine != "a1" {
		t.Error("no record, or the wrong machine")
	}
}

// A direct start without an answer may be executed at any later time: the same
// attempt is repeated on the same machine, and nowhere else.
func TestUnansweredStartStaysOnItsMachine(t *testing.T) {
	h := newHarness(t)
	st := h.submitAndStart("run-000001")
	h.CommandsAnswered("a1", st.response, nil, false)
	h.heartbeat("b1", 1)
	for range 5 {
		h.clock.Advance(time.Second)
		o := h.heartbeat("a1", 1)
		if !hasCommand(o, api.CommandRun, "run-000001/0") || o.Commands[0].Attempt != st.response.Commands[0].Attempt {
			t.Fatalf("want the same attempt again, got %+v", o.Commands)
		}
		h.heartbeat("b1", 1)
		h.Place()
		h.commit()
	}
	for _, x := range h.starts("run-000001/0") {
		if x.machine != "a1" {
			t.Errorf("started on %s as well", x.machine)
		}
	}
}

// A clear makes the worker forget the attempt; a start of it that is still
// under way would run it again.
func TestClearWaitsForOpenStart(t *testing.T) {
	h := newHarness(t)
	st := h.submitAndStart("run-000001")
	a := st.response.Commands[0].Attempt
	o := h.heartbeat("a1", 1, taskReport("run-000001/0", a, api.TaskExited, api.CauseStopped))
	if hasCommand(o, api.CommandClear, "run-000001/0") {
		t.Fatal("cleared while its start was unanswered")
	}
	h.CommandsAnswered("a1", st.response, nil, true)
	if o = h.heartbeat("a1", 1, taskReport("run-000001/0", a, api.TaskExited, api.CauseStopped)); !hasCommand(o, api.CommandClear, "run-000001/0") {
		t.Error("not cleared after the answer")
	}
}

// A new leader starts nothing that a machine which it has not heard may run.
func TestNewLeaderWaitsForUnheardMachine(t *testing.T) {
	h := newHarness(t)
	st := h.submitAndStart("run-000001")
	h.elect()
	h.heartbeat("b1", 1)
	h.Place()
	h.commit()
	if len(h.starts("run-000001/0")) != 0 {
		t.Fatal("started twice")
	}
	// A report from before our term proves nothing: an old command may follow.
	h.heartbeatAt("a1", 1, 500, st.response.Term)
	h.Place()
	h.commit()
	if len(h.starts("run-000001/0")) != 0 {
		t.Fatal("an old report was taken for a proof")
	}
	h.heartbeatAt("a1", 1, 501, h.term)
	h.Place()
	h.commit()
	got := h.starts("run-000001/0")
	if len(got) != 1 || got[0].response.Commands[0].Attempt == st.response.Commands[0].Attempt {
		t.Errorf("want one start of a new attempt, got %+v", got)
	}
}

// After a takeover urgent work does not wait until the fleet has reported: it goes where a
// machine was heard, by stopping what lies there if need be, and what is recorded on the others
// stays theirs.
func TestUrgentWorkIsPlacedBeforeAllHaveReported(t *testing.T) {
	h := newHarness(t)
	names := []string{"a1", "a2", "a3", "b1", "b2", "b3"}
	for _, name := range names {
		h.heartbeat(name, 1)
	}
	h.submit("run-000001", 12, nil)
	h.Place()
	h.commit()
	first := h.sent
	h.elect()
	h.submit("run-000002", 1, func(j *api.Submission) { j.Rank, j.Shape, j.EstimateS = "prod", api.Service, 0 })
	// One machine of six comes back, with both its tasks.
	var tasks []api.TaskReport
	for _, o := range first {
		for _, c := range o.response.Commands {
			if o.machine == "b2" {
				tasks = append(tasks, taskReport(c.Task, c.Attempt, api.TaskRunning, ""))
			}
		}
	}
	if len(tasks) != 2 {
		t.Fatalf("b2 has %d tasks", len(tasks))
	}
	h.heartbeat("b2", 1, tasks...)
	h.Place()
	h.commit()
	stopped := h.heartbeat("b2", 1, tasks...)
	i := slices.IndexFunc(tasks, func(x api.TaskReport) bool { return hasCommand(stopped, api.CommandKill, x.Task) })
	if i < 0 {
		t.Fatalf("nothing is stopped for it: %+v", stopped)
	}
	tasks[i].State, tasks[i].Cause = api.TaskExited, api.CauseStopped
	h.heartbeat("b2", 1, tasks...)
	h.Place()
	h.commit()
	if o := h.heartbeat("b2", 1, tasks[1-i]); len(h.starts("run-000002/0")) != 1 && !hasCommand(o, api.CommandRun, "run-000002/0") {
		t.Errorf("not started on the machine that was heard: %+v, %+v", o, h.sent)
	}
	for _, o := range h.sent {
		for _, c := range o.response.Commands {
			if c.Verb == api.CommandRun && c.Task != "run-000002/0" {
				t.Errorf("%s is started on %s, and may run on a machine that was not heard", c.Task, o.machine)
			}
		}
	}
}

// The cloud's answer to a return proves that a silent machine's tasks are gone.
func TestReturnOfSilentMachineFreesItsTasks(t *testing.T) {
	h := newHarness(t)
	h.submitAndStart("run-000001")
	h.heartbeat("a2", 1)
	for range 16 {
		h.clock.Advance(time.Second)
		h.heartbeat("a2", 1)
		h.Place()
	}
	names := h.MaintainFleet()
	if len(names) != 1 || names[0] != "a1" {
		t.Fatalf("to be returned: %v", names)
	}
	h.commit()
	if len(h.starts("run-000001/0")) != 1 {
		t.Fatal("started elsewhere before the proof")
	}
	h.InstancesReleased(names, nil)
	h.Place()
	h.commit()
	if got := h.starts("run-000001/0"); len(got) != 2 || got[1].machine != "a2" {
		t.Errorf("starts %+v", got)
	}
	// What the machine said before, held up on the way, brings nothing back.
	if _, _, refused := h.HandleHeartbeat(&api.Heartbeat{Machine: "a1", Incarnation: 1, Seq: 900, Term: h.term}, ""); !refused {
		t.Error("a returned machine was taken back")
	}
}

// A whole zone that is silent is more likely cut off than gone.
func TestCutZoneIsNotReturned(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("b1", 1)
	h.heartbeat("b2", 1)
	if names := h.maintainFor(15*time.Second, func() { h.heartbeat("a1", 1); h.heartbeat("a2", 1) }); len(names) != 0 {
		t.Errorf("returned %v", names)
	}
	// The same with most of the zone already relayed, while its controllers
	// are out of reach: the rest is still looking for a relay.
	h = newHarness(t)
	for _, m := range []string{"b1", "b2", "b3"} {
		h.heartbeat(m, 1)
	}
	h.unreachableZone = "b"
	rest := func() {
		h.heartbeat("a1", 1)
		h.heartbeatsThrough("sib", "b2", "b3")
	}
	if names := h.maintainFor(15*time.Second, rest); len(names) != 0 {
		t.Errorf("returned %v", names)
	}
	h.unreachableZone = ""
	if names := h.maintainFor(5*time.Second, rest); len(names) != 1 || names[0] != "b1" {
		t.Errorf("returned %v, want b1", names)
	}
}

// heartbeatsThrough plays reports that a sibling passes on through the state service.
func (h *harness) heartbeatsThrough(member string, names ...string) {
	for _, n := range names {
		h.HandleRelayedHeartbeat(member, &api.Heartbeat{Machine: n, Address: n + ":1", Type: "m8", Zone: zoneOf(n), Incarnation: 1, Seq: h.nextSeq(n), Term: h.term})
	}
}

// relayedCommandsFor is what stands in the state service for a machine behind a sibling.
func (h *harness) relayedCommandsFor(member, name string) (m store.RelayedCommands) {
	h.Helper()
	var r relay.Reader
	items, _, err := store.NewClient("state:1", h.state).List(context.Background(), store.RelayResponsePrefix+member+"/")
	for _, it := range items {
		var l relay.Packet
		if err == nil {
			err = json.Unmarshal(it.Value, &l)
		}
		if err == nil {
			err = r.Apply(it.Key, it.Revision, &l)
		}
	}
	if raw := r.MessageFor(h.term, name); err == nil && raw != nil {
		err = json.Unmarshal(raw, &m)
	}
	if err != nil {
		h.Fatal(err)
	}
	return m
}

// A start that went into a relay's mail may be delivered after any report that
// the relay passes on; only a report that comes directly proves its absence.
func TestMailedStartIsNotProvedAbsentByRelay(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("b1", 1)
	h.heartbeatsThrough("sib", "b1")
	h.submit("run-000001", 1, nil)
	h.Place()
	h.commit()
	m := h.relayedCommandsFor("sib", "b1")
	if len(m.Commands) != 1 || m.Commands[0].Verb != api.CommandRun || len(h.starts("run-000001/0")) != 0 {
		t.Fatalf("mail %+v, direct starts %d", m, len(h.starts("run-000001/0")))
	}
	h.Cancel(cancelledContext(), "run-000001")
	h.commit()
	h.heartbeatsThrough("sib", "b1")
	if len(h.jobs["run-000001"].allocations) != 1 {
		t.Fatal("a relayed report was taken for a proof")
	}
	h.heartbeat("b1", 1)
	h.commit()
	if h.jobs["run-000001"] != nil {
		t.Error("a direct report was not taken for a proof")
	}
	if m := h.relayedCommandsFor("sib", "b1"); len(m.Commands) != 0 {
		t.Errorf("still in the mail: %+v", m)
	}
	// Reports for another term's leader are not ours to use.
	raw, _ := json.Marshal(relay.Packet{Term: h.term - 1, Packed: "x"})
	exchange.UnpackEvents([]store.Event{{Set: store.RelayKey("sib", 0), Value: raw}}, store.RelayPrefix, h.term, &relay.Reassembler{}, func(string, relay.Message) {
		t.Error("took reports of another term")
	})
}

func TestHigherSessionProvesLoss(t *testing.T) {
	h := newHarness(t)
	st := h.submitAndStart("run-000001")
	h.CommandsAnswered("a1", st.response, nil, false)
	h.heartbeat("a1", 2)
	h.Place()
	h.commit()
	if n := len(h.starts("run-000001/0")); n != 1 {
		t.Fatalf("%d starts on a machine that has not shown that it hears us since a command was lost", n)
	}
	h.heartbeat("a1", 2)
	h.Place()
	h.commit()
	if got := h.starts("run-000001/0"); len(got) != 2 || got[1].response.Incarnation != 2 || got[1].response.Commands[0].Attempt == got[0].response.Commands[0].Attempt {
		t.Errorf("starts %+v", got)
	}
}

// cancelledContext is the context of a user who does not wait for the answer.
func cancelledContext() context.Context {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	return ctx
}

// A cancel that overtakes a start: what was never sent never goes out, and what
// was sent is killed when it shows, however late.
func TestCancelRacingStart(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 1, nil)
	h.Place()
	h.Cancel(cancelledContext(), "run-000001")
	h.commit()
	if n := len(h.starts("run-000001/0")); n != 0 {
		t.Errorf("%d starts after the cancel", n)
	}

	h = newHarness(t)
	st := h.submitAndStart("run-000002")
	h.CommandsAnswered("a1", st.response, nil, false)
	h.Cancel(cancelledContext(), "run-000002")
	h.commit()
	if o := h.heartbeat("a1", 1); hasCommand(o, api.CommandRun, "run-000002/0") {
		t.Error("a cancelled task was started again")
	}
	if o := h.heartbeat("a1", 1, taskReport("run-000002/0", st.response.Commands[0].Attempt, api.TaskFetching, "")); !hasCommand(o, api.CommandKill, "run-000002/0") {
		t.Error("a late start was not killed")
	}
	if h.terminalStates["run-000002"].State != api.Cancelled {
		t.Error("not on record as cancelled")
	}
}

// A task that was done just before the leader crashed: the new one hears of it,
// stores it before it clears it, and does not run it again.
func TestDoneJustBeforeCrash(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 2, nil)
	h.Place()
	h.commit()
	at := h.starts("run-000001/0")[0].response.Commands[0].Attempt
	at1 := h.starts("run-000001/1")[0].response.Commands[0].Attempt
	h.elect()
	done := taskReport("run-000001/0", at, api.TaskExited, api.CauseDone)
	other := taskReport("run-000001/1", at1, api.TaskRunning, "")
	if o := h.heartbeat("a1", 1, done, other); hasCommand(o, api.CommandClear, "run-000001/0") || hasCommand(o, api.CommandKill, "run-000001/1") {
		t.Fatal("cleared before it was stored, or a running task was killed")
	}
	h.commit()
	if o := h.heartbeat("a1", 1, done, other); !hasCommand(o, api.CommandClear, "run-000001/0") {
		t.Error("not cleared once stored")
	}
	h.Place()
	h.commit()
	if len(h.starts("run-000001/0"))+len(h.starts("run-000001/1")) != 0 {
		t.Error("run again")
	}
	if st, _ := h.JobStatus("run-000001"); st.State != api.Running || st.Done != 1 {
		t.Errorf("status %+v", st)
	}
	h.heartbeat("a1", 1, taskReport("run-000001/1", at1, api.TaskExited, api.CauseDone))
	if len(h.terminalStates) != 0 {
		t.Error("done before that was stored")
	}
	h.commit()
	if h.terminalStates["run-000001"].State != api.Done || h.state.Get(store.FinalKey("run-000001")) == nil || h.state.Get(store.JobKey("run-000001")) != nil || h.state.Get(store.ShardOf("run-000001", 0, tuning.ShardTasks).Key()) != nil {
		t.Error("the job was not filed")
	}
	// A late repeat must not bring it back to life.
	h.Submit(cancelledContext(), &api.Submission{ID: "run-000001", Tasks: 1, Shape: api.JobArray, Team: "t"}, h.clock.Now())
	h.commit()
	if h.state.Get(store.JobKey("run-000001")) != nil {
		t.Error("a job that is over was accepted again")
	}
}

// While the state service is out, reports are answered, else every worker would
// kill its tasks; nothing is started.
func TestOutageLongerThanLease(t *testing.T) {
	h := newHarness(t)
	st := h.submitAndStart("run-000001")
	h.CommandsAnswered("a1", st.response, nil, true)
	h.submit("run-000002", 1, nil)
	h.Place()
	h.leading = false
	h.state.Down = true
	run := taskReport("run-000001/0", st.response.Commands[0].Attempt, api.TaskRunning, "")
	for range 25 {
		h.clock.Advance(time.Second)
		h.committer.Step(context.Background())
		o := h.heartbeat("a1", 1, run)
		h.Place()
		if o.Term != h.term || len(o.Commands) != 0 {
			t.Fatalf("answer in an outage: %+v", o)
		}
		if len(h.MaintainFleet()) != 0 {
			t.Fatal("machines returned in an outage")
		}
	}
	h.leading, h.state.Down = true, false
	h.clock.Advance(time.Second)
	h.commit()
	if len(h.starts("run-000002/0")) != 1 {
		t.Error("not started after the outage")
	}
}

// A worker that has seen a higher term has another leader.
func TestHigherTermDeposes(t *testing.T) {
	h := newHarness(t)
	_, deposed, _ := h.HandleHeartbeat(&api.Heartbeat{Machine: "a1", Incarnation: 1, Seq: 1, Term: h.term + 5}, "")
	if !deposed {
		t.Error("still leads")
	}
}

// A report that was held up on the way must not undo a newer one.
func TestLateReport(t *testing.T) {
	h := newHarness(t)
	st := h.submitAndStart("run-000001")
	h.CommandsAnswered("a1", st.response, nil, true)
	h.heartbeatAt("a1", 1, 50, h.term, taskReport("run-000001/0", st.response.Commands[0].Attempt, api.TaskRunning, ""))
	if o := h.heartbeatAt("a1", 1, 40, h.term); len(o.Commands) != 0 {
		t.Errorf("commands on a late report: %+v", o.Commands)
	}
	h.Place()
	h.commit()
	if len(h.starts("run-000001/0")) != 1 {
		t.Error("a late report made the task start again")
	}
}

// TestUnexpectedMachineIsUsed of a rental whose answer was lost turn up and are used.
func TestUnexpectedMachineIsUsed(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 1, nil)
	h.ApplyInstanceList([]api.Instance{{Name: "a7", Address: "a7:1", Type: "m8", Zone: "a", State: "booting"}})
	h.Place()
	h.heartbeat("a7", 1)
	h.Place()
	h.commit()
	if got := h.starts("run-000001/0"); len(got) != 1 || got[0].machine != "a7" {
		t.Errorf("starts %+v", got)
	}
}

// A task that runs though no record names its machine counts from then on.
func TestUnknownRunningTaskIsNotStartedTwice(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 1, nil)
	h.heartbeat("a1", 1, taskReport("run-000001/0", 77, api.TaskRunning, ""))
	h.heartbeat("b1", 1)
	h.Place()
	h.commit()
	if len(h.starts("run-000001/0")) != 0 {
		t.Error("started twice")
	}
}

func TestLargestJobWithinStateLimits(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", api.MaxTasks, func(x *api.Submission) { x.CPUs, x.MemoryGB, x.Team = 0.01, 0.01, "t" })
	h.mu.Lock()
	job := h.jobs["run-000001"]
	machine := h.machineNamed("n-999999")
	for i := range api.MaxTasks {
		h.allocate(job, i, machine, h.nextAttempt()+1<<40)
		h.markShardDirty(job, i, nil)
	}
	h.mu.Unlock()
	h.commit()
	l := h.state.Largest
	if l.Value > 16<<10 || l.Bytes > 64<<10 || l.Ops > 12 {
		t.Errorf("largest transaction %+v", l)
	}
	if h.committer.Pending() > 0 {
		t.Errorf("%d records wait", h.committer.Pending())
	}
	h.elect()
	if n := len(h.jobs["run-000001"].allocations); n != api.MaxTasks {
		t.Errorf("%d tasks read back", n)
	}
}

func TestTeamLimit(t *testing.T) {
	h := newHarness(t)
	for i := range 4 {
		h.heartbeat(fmt.Sprintf("a%d", i), 1)
	}
	h.submit("run-000001", 6, func(x *api.Submission) { x.Team = "small" })
	h.Place()
	h.commit()
	n := 0
	for i := range 6 {
		n += len(h.starts(taskKey("run-000001", i)))
	}
	if n != 2 {
		t.Errorf("%d tasks of 4 processors within a limit of 8", n)
	}
}

// TestSpread: at most half of the replicas, rounded up, in one zone, also while
// one zone has no machine.
func TestSpread(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		h.heartbeat(fmt.Sprintf("a%d", i), 1)
	}
	h.submit("run-000001", 3, func(x *api.Submission) { x.Shape, x.Spread, x.Rank = api.Service, true, "prod" })
	h.Place()
	h.commit()
	if len(h.jobs["run-000001"].allocations) != 2 {
		t.Fatalf("%d replicas in one zone", len(h.jobs["run-000001"].allocations))
	}
	h.heartbeat("b1", 1)
	h.Place()
	if len(h.jobs["run-000001"].allocations) != 3 {
		t.Error("the third replica did not start in the other zone")
	}
}

// Production takes room from lower work, in one command, and never from its
// own rank.
func TestPreemption(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 2, nil)
	h.Place()
	h.commit()
	h.CommandsAnswered("a1", h.sent[0].response, nil, true)
	var run []api.TaskReport
	for i := range 2 {
		run = append(run, taskReport(taskKey("run-000001", i), h.starts(taskKey("run-000001", i))[0].response.Commands[0].Attempt, api.TaskRunning, ""))
	}
	h.heartbeat("a1", 1, run...)
	h.sent = nil
	h.submit("run-000002", 1, func(x *api.Submission) { x.Shape, x.Rank = api.Service, "prod" })
	h.Place()
	h.commit()
	var cmds []api.Command
	for _, o := range h.sent {
		cmds = append(cmds, o.response.Commands...)
	}
	o := h.heartbeat("a1", 1, run...)
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
	h.submit("run-000003", 2, func(x *api.Submission) { x.Shape, x.Rank, x.CPUs = api.Service, "prod", 8 })
	h.Place()
	if h.jobs["run-000002"].allocations[0].stopping {
		t.Error("stopped work of its own rank")
	}
}

// A machine on which tasks of several jobs fail gets no more work; a job that
// fails on every machine is paced.
func TestSickMachineAndBadJob(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	for i := 1; i <= 3; i++ {
		id := fmt.Sprintf("run-%06d", i)
		h.submit(id, 1, nil)
		h.Place()
		h.commit()
		h.answerCommands()
		if st := h.starts(id + "/0"); len(st) > 0 {
			h.heartbeat("a1", 1, taskReport(id+"/0", st[0].response.Commands[0].Attempt, api.TaskExited, api.CauseError))
			h.answerCommands()
		}
	}
	if names := h.MaintainFleet(); len(names) != 1 {
		t.Errorf("suspect machines: %v", names)
	}

	h = newHarness(t)
	h.submit("run-000009", 1, nil)
	for i := range 10 {
		h.heartbeat(fmt.Sprintf("a%d", i), 1)
		before := len(h.starts("run-000009/0"))
		h.Place()
		h.commit()
		h.answerCommands()
		if st := h.starts("run-000009/0"); len(st) > before {
			last := st[len(st)-1]
			h.heartbeat(last.machine, 1, taskReport("run-000009/0", last.response.Commands[0].Attempt, api.TaskExited, api.CauseError))
			h.answerCommands()
		}
	}
	if n := len(h.starts("run-000009/0")); n > 4 || len(h.MaintainFleet()) != 0 {
		t.Errorf("a job that always fails was started %d times at once", n)
	}
}

// answerCommands lets the workers answer every direct command.
func (h *harness) answerCommands() {
	for ; h.answered < len(h.sent); h.answered++ {
		h.CommandsAnswered(h.sent[h.answered].machine, h.sent[h.answered].response, nil, true)
	}
}

// A gang starts as a whole or not at all.
func TestGang(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 3, func(x *api.Submission) { x.Shape, x.OneZone = api.Gang, true })
	h.heartbeat("b1", 1)
	h.Place()
	if n := len(h.jobs["run-000001"].allocations); n != 0 || h.machines["a1"].used.CPUs != 0 {
		t.Fatalf("%d of 3 tasks placed in zones with room for 2", n)
	}
	h.heartbeat("b2", 1)
	h.Place()
	h.commit()
	for i := range 3 {
		if got := h.starts(taskKey("run-000001", i)); len(got) != 1 || got[0].machine[0] != 'b' {
			t.Errorf("task %d: %+v", i, got)
		}
	}
}

// TestRentsInOutage that are gone are replaced at once, also while the state service is
// out: they take long to boot.
func TestRentsInOutage(t *testing.T) {
	h := newHarness(t)
	for i := range 12 {
		h.heartbeat(fmt.Sprintf("a%02d", i), 1)
	}
	h.submit("run-000001", 14, nil)
	h.clock.Advance(5 * time.Second)
	for i := range 12 {
		h.heartbeat(fmt.Sprintf("a%02d", i), 1)
	}
	if r := h.InstanceRequests(); len(r) != 0 {
		t.Fatalf("rented %+v with enough machines", r)
	}
	h.leading = false
	for range 8 {
		h.clock.Advance(time.Second)
		for i := range 6 {
			h.heartbeat(fmt.Sprintf("a%02d", i), 1)
		}
	}
	if r := h.InstanceRequests(); len(r) == 0 {
		t.Error("nothing rented for machines that are gone")
	}
}

// A job within its team's guarantee goes before another team's that came first.
func TestGuaranteedJobsGoFirst(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 4, nil)
	h.clock.Advance(time.Second)
	h.submit("run-000002", 2, func(x *api.Submission) { x.Team = "sure" })
	h.submit("run-000003", 3, func(x *api.Submission) { x.Team = "sure" })
	h.heartbeat("a1", 1)
	h.Place()
	if live := len(h.jobs["run-000002"].allocations); live != 2 {
		t.Errorf("%d of 2 guaranteed tasks placed", live)
	}
	// The third does not fit into the guarantee with the second.
	if h.jobs["run-000003"].overQuota != 1 || h.jobs["run-000001"].overQuota != 1 {
		t.Error("counted as guaranteed")
	}
}

// For a job that waits within its team's guarantee, work of the same rank that
// another team runs beyond its own is stopped, but not at once and never
// production.
func TestGuaranteeStopsBorrowedWork(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 1, nil)
	h.submit("run-000002", 1, func(x *api.Submission) { x.Shape, x.Rank = api.Service, "prod" })
	h.Place()
	h.commit()
	h.answerCommands()
	var run []api.TaskReport
	for _, k := range []string{"run-000001/0", "run-000002/0"} {
		run = append(run, taskReport(k, h.starts(k)[0].response.Commands[0].Attempt, api.TaskRunning, ""))
	}
	h.heartbeat("a1", 1, run...)
	h.submit("run-000003", 2, func(x *api.Submission) { x.Team = "sure" })
	h.Place()
	if h.jobs["run-000001"].allocations[0].stopping {
		t.Fatal("stopped at once")
	}
	for range 7 {
		h.clock.Advance(time.Second)
		h.heartbeat("a1", 1, run...)
	}
	h.Place()
	if !h.jobs["run-000001"].allocations[0].stopping || len(h.jobs["run-000003"].allocations) != 1 {
		t.Error("no room for guaranteed work")
	}
	if h.jobs["run-000002"].allocations[0].stopping {
		t.Error("production was stopped")
	}
}

// A machine with work of its own queue first serves an earlier job that waits
// elsewhere: on the grown deployments a job's last task waited up to 160 s in the
// queue of one machine while later jobs started on others.
func TestEarlierJobIsServedBeforeOwnQueue(t *testing.T) {
	h := newHarness(t)
	for _, m := range []string{"a1", "a2"} {
		h.heartbeat(m, 1)
	}
	h.submit("run-000001", 4, nil)
	h.settleStarts()
	h.clock.Advance(time.Second)
	h.submit("run-000002", 1, nil)
	h.clock.Advance(time.Second)
	h.submit("run-000003", 1, nil)
	// The earlier job's task waits at one machine, the later one's at the other.
	for i, id := range []string{"run-000002", "run-000003"} {
		job := h.jobs[id]
		h.machines[[]string{"a1", "a2"}[i]].enqueue(job, job.pending)
		job.pending, job.queued = nil, 1
	}
	var ended []api.TaskReport
	for _, r := range h.machines["a2"].Tasks {
		ended = append(ended, taskReport(r.Task, r.Attempt, api.TaskExited, api.CauseDone))
		break
	}
	for _, r := range h.machines["a2"].Tasks {
		if r.Task != ended[0].Task {
			ended = append(ended, r)
		}
	}
	h.again("a1")
	h.heartbeat("a2", 1, ended...)
	h.Place()
	if alloc := h.jobs["run-000002"].allocations[0]; alloc == nil || alloc.machine.Name != "a2" {
		t.Errorf("the earlier job did not start on the machine with room: %+v", alloc)
	}
	if len(h.jobs["run-000003"].allocations) != 0 {
		t.Error("the later job went first")
	}
}

// Of two jobs as urgent the one that takes less of the fleet goes first, but one
// that is much more urgent goes before it: on overloaded days one job of 70 tasks
// made several small ones late.
func TestSmallJobsGoFirstWhenAsUrgent(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	due := func(d float64) func(*api.Submission) {
		return func(x *api.Submission) { x.DeadlineS = d }
	}
	h.submit("run-000001", 30, due(4000))
	h.submit("run-000002", 2, due(4000))
	h.submit("run-000003", 30, due(400))
	h.submit("run-000004", api.MaxTasks, func(x *api.Submission) { x.DeadlineS, x.EstimateS = 1e15, 1e14 })
	h.sortQueues()
	var got []string
	for _, job := range h.jobOrder {
		got = append(got, job.id)
	}
	if want := []string{"run-000002", "run-000003", "run-000001", "run-000004"}; !slices.Equal(got, want) {
		t.Errorf("order %v", got)
	}
}

// A job that missed its deadline does not wait behind all others while it can
// still meet the multiple of it that its class has an aim for.
func TestLateJobHasItsNextAim(t *testing.T) {
	h := newHarness(t)
	h.deadlineMultiples["c"] = []float64{2}
	due := func(x *api.Submission) { x.DeadlineS = 60 }
	h.submit("run-000001", 1, due)
	job := h.jobs["run-000001"]
	at := func(after float64) int64 {
		return h.latestStart(job, job.AcceptedAt+int64(after*1000)) - job.AcceptedAt
	}
	if at(0) != 30_000 || at(31) != 90_000 || at(91) != math.MaxInt64-job.AcceptedAt {
		t.Errorf("latest starts %d, %d, %d", at(0), at(31), at(91))
	}
}

// Where a task waits for an image already, the next task of that image does not
// fetch it again: the machine takes it from another's queue at once.
func TestImageOnItsWayCountsAsHeld(t *testing.T) {
	h := newHarness(t)
	for _, m := range []string{"a1", "a2"} {
		h.heartbeat(m, 1)
	}
	h.submit("run-000001", 2, func(x *api.Submission) { x.CPUs, x.ImageGB = 4, 5 })
	job := h.jobs["run-000001"]
	h.machines["a1"].enqueue(job, job.pending)
	job.pending, job.queued = nil, 2
	h.submit("run-000002", 1, func(x *api.Submission) { x.CPUs, x.Image = 4, "other" })
	k := h.jobs["run-000002"]
	k.pending = nil
	h.allocate(k, 0, h.machines["a1"], 1)
	h.allocate(job, 1, h.machines["a2"], 2)
	job.queued, h.machines["a1"].queues[0].tasks = 1, []int32{0}
	if !h.worthPulling(job, h.machines["a2"]) {
		t.Fatal("a machine that gets the image anyway must not wait")
	}
	h.machines["a1"].used.CPUs = 8
	h.Place()
	if alloc := job.allocations[0]; alloc == nil || alloc.machine.Name != "a2" {
		t.Errorf("not taken by the machine that fetches the image: %+v", alloc)
	}
	h.removeAllocation(job.allocations[0])
	h.removeAllocation(job.allocations[1])
	if len(h.machines["a2"].imagesInUse) != 0 || h.machines["a2"].fetchSeconds(job) == 0 {
		t.Error("counted as held after its tasks are gone")
	}
}

// A job that comes within its team's guarantee only as earlier ones end goes
// first in the queues, but nothing is stopped for it: two teams above their
// guarantees stopped each other's arrays over and over.
func TestNothingIsStoppedForJobsThatCameBeyond(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		h.heartbeat(fmt.Sprintf("a%d", i), 1)
	}
	h.submit("run-000001", 6, func(x *api.Submission) { x.Team = "lent" })
	h.settleStarts()
	h.submit("run-000002", 4, func(x *api.Submission) { x.Team = "sure" })
	h.submit("run-000003", 4, func(x *api.Submission) { x.Team = "sure" })
	h.sortQueues()
	// The first one ends somewhere else: the second now fits.
	h.finish(h.jobs["run-000002"], api.Cancelled)
	h.commit()
	for range 8 {
		h.clock.Advance(time.Second)
		for i := range 3 {
			h.again(fmt.Sprintf("a%d", i))
		}
		h.Place()
	}
	job := h.jobs["run-000003"]
	if job.overQuota != 0 || job.guaranteed {
		t.Fatalf("beyond %d, entitled %v", job.overQuota, job.guaranteed)
	}
	for _, alloc := range h.jobs["run-000001"].allocations {
		if alloc.stopping {
			t.Errorf("%s was stopped", alloc.key)
		}
	}
}

// What jobs ask for is counted in processors, also before the catalog is read.
func TestDemandWithoutCatalog(t *testing.T) {
	h := newHarness(t)
	h.submit("run-000001", 3, func(x *api.Submission) { x.CPUs, x.MemoryGB = 4, 8 })
	h.Scheduler.machineTypes = map[string]*api.MachineType{}
	if all, _ := h.demand(); all != 12 {
		t.Errorf("%v processors for 3 tasks of 4", all)
	}
}

// Guaranteed work takes from another team no more than that one borrowed, also
// when many tasks wait at once and none of those being stopped is gone yet.
func TestGuaranteeTakesNoMoreThanWasBorrowed(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		h.heartbeat(fmt.Sprintf("a%d", i), 1)
	}
	// "lent" runs 24 processors; 16 of them are its own.
	h.submit("run-000001", 6, func(x *api.Submission) { x.Team = "lent" })
	h.settleStarts()
	h.submit("run-000002", 4, func(x *api.Submission) { x.Team = "sure" })
	for range 8 {
		h.clock.Advance(time.Second)
		for i := range 3 {
			h.again(fmt.Sprintf("a%d", i))
		}
		h.Place()
	}
	stopped := 0
	for _, alloc := range h.jobs["run-000001"].allocations {
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
	h := newHarness(t)
	h.committer = store.NewCommitter(store.NewClient("state:1", h.state), harnessSource{h.Scheduler, h}, h.clock, settings.State{WriteRPS: 25, TxnOps: 12, ValueKB: 16}, map[string]uint64{})
	refused, longest := 0, 0
	for i := range 500 {
		sub := &api.Submission{ID: fmt.Sprintf("run-%06d", i), Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: 1}
		if a, _ := h.Submit(cancelledContext(), sub, h.clock.Now()); h.jobs[sub.ID] == nil {
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
		h.committer.Step(context.Background())
		h.clock.Advance(50 * time.Millisecond)
	}
	if d := h.committer.Delay(); d > 0 {
		t.Errorf("still %v behind", d)
	}
}

// An accept whose answer from the state service is lost: the job is there once,
// and the user's retry gets 200.
func TestAcceptWithLostAnswer(t *testing.T) {
	h := newHarness(t)
	sub := &api.Submission{ID: "run-000001", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 2, CPUs: 1}
	h.state.LoseAnswer = true
	h.Submit(cancelledContext(), sub, h.clock.Now())
	h.committer.Step(context.Background())
	h.commit()
	if a, ok := h.Submit(context.Background(), sub, h.clock.Now()); !ok || a.Status != 200 {
		t.Errorf("retry: %+v", a)
	}
	if n := len(h.jobs["run-000001"].pending); n != 2 {
		t.Errorf("%d tasks wait", n)
	}
}

// After a change of leaders a replica may be known from its record alone. Until
// its machine's zone is known, it counts in every zone.
func TestSpreadCountsMachinesOfUnknownZone(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.heartbeat("b1", 1)
	h.submit("run-000001", 2, func(x *api.Submission) { x.Shape, x.Spread, x.Rank = api.Service, true, "prod" })
	h.Place()
	h.commit()
	h.answerCommands()
	at := h.starts("run-000001/0")[0]
	other := map[string]string{"a1": "b", "b1": "a"}[at.machine]
	h.elect()
	// One machine reports without its replica, the other is not heard.
	if other == "b" {
		h.heartbeat("b1", 1)
	} else {
		h.heartbeat("a1", 1)
	}
	h.heartbeat(other+"2", 1)
	same := map[string]string{"a": "b", "b": "a"}[other]
	h.heartbeat(same+"2", 1)
	h.Place()
	for _, alloc := range h.jobs["run-000001"].allocations {
		if alloc.task == 1 {
			t.Errorf("a replica was placed on %s while the other's zone was unknown", alloc.machine.Name)
		}
	}
	h.ApplyInstanceList([]api.Instance{{Name: at.machine, Type: "m8", Zone: same, State: "running"}})
	h.Place()
	if alloc := h.jobs["run-000001"].allocations[1]; alloc == nil || alloc.machine.Zone != other {
		t.Errorf("not placed in the other zone: %+v", alloc)
	}
}

// With nothing to do, machines go back, also of teams that have a guarantee.
func TestIdleMachinesAreReturned(t *testing.T) {
	h := newHarness(t)
	left := map[string]bool{}
	for i := range 4 {
		left[fmt.Sprintf("a%d", i)] = true
	}
	for range 8 * 30 * 2 {
		h.clock.Advance(time.Second)
		for m := range left {
			h.heartbeat(m, 1)
		}
		for _, n := range h.MaintainFleet() {
			delete(left, n)
			h.InstancesReleased([]string{n}, nil)
		}
	}
	if len(left) > 0 || len(h.InstanceRequests()) > 0 {
		t.Errorf("%d machines kept with nothing to do", len(left))
	}
}

// A task that made room once is not stopped again while others would do, though
// it has run the shortest each time.
func TestSameTaskDoesNotMakeRoomAgain(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 2, nil)
	h.Place()
	h.commit()
	h.answerCommands()
	var run []api.TaskReport
	for i := range 2 {
		k := taskKey("run-000001", i)
		run = append(run, taskReport(k, h.starts(k)[0].response.Commands[0].Attempt, api.TaskRunning, ""))
	}
	h.heartbeat("a1", 1, run[0])
	h.clock.Advance(5 * time.Second)
	h.heartbeat("a1", 1, run...)
	job := h.jobs["run-000001"]
	older, younger := job.allocations[0], job.allocations[1]
	if h.preemptionLoss(older) <= h.preemptionLoss(younger) {
		t.Fatal("task 1 is not the younger one")
	}
	job.preemptions[1] = 1
	h.submit("run-000002", 1, func(x *api.Submission) { x.Shape, x.Rank = api.Service, "prod" })
	h.Place()
	if !older.stopping || younger.stopping {
		t.Errorf("stopped: older %v, younger %v", older.stopping, younger.stopping)
	}
}

// A guaranteed job must not stop work of a higher rank, which would stop its
// tasks in turn: on a drawn day the two did so over a thousand times.
func TestGuaranteeAndRankDoNotStopEachOther(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	h.submit("run-000001", 2, func(x *api.Submission) { x.Rank = "high" })
	h.Place()
	h.commit()
	h.answerCommands()
	var run []api.TaskReport
	for i := range 2 {
		k := taskKey("run-000001", i)
		run = append(run, taskReport(k, h.starts(k)[0].response.Commands[0].Attempt, api.TaskRunning, ""))
	}
	h.submit("run-000002", 2, func(x *api.Submission) { x.Team = "sure" })
	for range 12 {
		h.clock.Advance(time.Second)
		h.heartbeat("a1", 1, run...)
		h.Place()
		h.commit()
	}
	for _, alloc := range h.jobs["run-000001"].allocations {
		if alloc.stopping {
			t.Errorf("%s was stopped by work of lower rank", alloc.key)
		}
	}
}

// Under a backlog many times a team's guarantee, its oldest jobs come to lie within it. They must
// not go before younger ones that can still be in time: queues went by arrival then. One that came
// within the guarantee does (docs/incidents/fleet-guarantee-by-arrival.md).
func TestGuaranteeIsNotByArrival(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	sure := func(x *api.Submission) { x.Team, x.DeadlineS, x.EstimateS = "sure", 60, 30 }
	h.submit("run-000001", 4, sure)
	h.Place()
	h.submit("run-000002", 2, sure) // overQuota the 16 processors, as the first takes them all
	h.Place()
	h.Cancel(cancelledContext(), "run-000001")
	h.commit()
	h.clock.Advance(40 * time.Second)
	h.submit("run-000003", 4, sure)
	h.heartbeat("a1", 1)
	h.Place()
	order := func() (out []string) {
		for _, job := range h.jobOrder {
			if job.FinalState == "" {
				out = append(out, job.id)
			}
		}
		return out
	}
	if got := order(); !slices.Equal(got, []string{"run-000003", "run-000002"}) {
		t.Errorf("order %v: the one that is late has come within the guarantee, the other can be in time", got)
	}
	h.Cancel(cancelledContext(), "run-000002")
	h.submit("run-000004", 1, func(x *api.Submission) { x.Team, x.Rank = "left", "normal" })
	h.Place()
	if got := order(); len(got) != 2 || got[0] != "run-000004" {
		t.Errorf("order %v: one that came within its team's guarantee goes first", got)
	}
}

// A damaged record, of a job or of its tasks, costs a new leader that job alone, and nothing more of it: no leader
// could begin before, and none must write over what it cannot read.
func TestDamagedRecordsCostTheirJobAlone(t *testing.T) {
	h := newHarness(t)
	h.heartbeat("a1", 1)
	for _, id := range []string{"run-000001", "run-000002", "run-000003"} {
		h.submit(id, 1, smallJob)
	}
	h.Place()
	h.commit()
	shards := map[string]string{}
	for _, id := range []string{"run-000001", "run-000002"} {
		shards[id] = store.ShardOf(id, 0, h.tasksPerShard).Key()
		if h.state.Get(shards[id]) == nil {
			t.Fatalf("no record of the task of %s", id)
		}
	}
	h.state.Put(store.JobKey("run-000001"), "damaged")
	h.state.Put(shards["run-000002"], "damaged")
	h.elect()
	h.heartbeat("a1", 1)
	h.Place()
	h.commit()
	if _, ok := h.JobStatus("run-000003"); !ok {
		t.Error("a job whose records are sound is not known")
	}
	for _, id := range []string{"run-000001", "run-000002"} {
		if _, ok := h.JobStatus(id); ok {
			t.Errorf("%s is answered for", id)
		}
		sub := api.Submission{ID: id, Class: "c", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, EstimateS: 30}
		if a, ok := h.Submit(cancelledContext(), &sub, h.clock.Now()); !ok || a.Status != 503 || a.RetryAfterS < 1 {
			t.Errorf("%s submitted again: %d", id, a.Status)
		}
	}
	h.commit()
	if string(h.state.Get(store.JobKey("run-000001"))) != `"damaged"` || string(h.state.Get(shards["run-000002"])) != `"damaged"` || h.state.Get(shards["run-000001"]) == nil || h.state.Get(store.JobKey("run-000002")) == nil {
		t.Error("records that could not be read, or those beside them, were written over or deleted")
	}
}
