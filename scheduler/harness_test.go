package scheduler

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/configuration"
	"switchferry/internal/fake"
	"switchferry/policy"
	"switchferry/relay"
	"switchferry/settings"
	"switchferry/store"
	"switchferry/topology"
	"switchferry/tuning"
)

// harness runs a leader on a fake clock and a fake state service. The test simulates the workers and the cloud.
type harness struct {
	*testing.T
	*Scheduler
	clock          *clockwork.FakeClock
	state          *fake.State
	committer      *store.Committer
	leading        bool
	sent           []sentCommands
	terminalStates map[string]store.FinalRecord
	// requiredToken is the highest token that the other controllers were told to give workers.
	requiredToken uint64
	// sendStageOrder simulates the agents; it must be set if datasets are enabled.
	sendStageOrder func(machine string, order api.StageOrder)
	// seq holds each machine's newest sequence number.
	seq              map[string]uint64
	unreachableZone  string
	answeredCommands int
	// topologyMap is the configured topology; nil if there is none.
	topologyMap *topology.Map
	// limits holds the limits of the state service in the settings; only Announced is used.
	limits settings.StateLimits
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

// elect begins a new term on the same state service, as after a crash of the leader.
func (h *harness) elect() *harness {
	h.Helper()
	memberSettings := &settings.Settings{Member: "x"}
	memberSettings.Facts.Workers = settings.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 40}
	memberSettings.Facts.State = settings.StateLimits{RPS: 200, WriteRPS: 5000, ValueKB: 16, TxnOps: 12, Announced: h.limits.Announced}
	memberSettings.Facts.Teams = []settings.Team{{Name: "t", CPUsMax: 400}, {Name: "small", CPUsMax: 8}, {Name: "sure", CPUs: 16}, {Name: "lent", CPUs: 16},
		{Name: "left", CPUs: 900, CPUsMax: 3000}, {Name: "right", CPUs: 1200, CPUsMax: 3000}}
	term := h.state.Put(store.LeaderKey, store.LeaderRecord{Member: "x"})
	client := store.NewClient("state:1", h.state)
	h.leading, h.sent, h.answeredCommands, h.terminalStates = true, nil, 0, map[string]store.FinalRecord{}
	fakes := harnessCollaborators{h}
	collaborators := Collaborators{Records: fakes, Sender: fakes, Leadership: fakes, Zones: fakes, TerminalStates: fakes, Fences: fakes}
	h.Scheduler = New(term, h.clock, memberSettings, policy.Default(), testTypes, collaborators)
	h.SetFencing(FencingOn)
	if h.topologyMap != nil {
		h.UseTopology(h.topologyMap)
	}
	h.committer = store.NewCommitter(client, harnessSource{h.Scheduler, h}, h.clock, memberSettings.Facts.State, map[string]uint64{})
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
	for _, item := range append(append(jobs, shards...), images...) {
		h.committer.SetRevision(item.Key, item.Revision)
	}
	h.Load(jobs, shards)
	return h
}

// harnessCollaborators implements the scheduler's Collaborators on a harness.
type harnessCollaborators struct{ harness *harness }

func (c harnessCollaborators) MarkDirty(key string, urgency int, stored func()) {
	c.harness.committer.MarkDirty(key, urgency, stored)
}

// MarkDirtyWithin schedules the write without delay, so that tests need not wait.
func (c harnessCollaborators) MarkDirtyWithin(key string, urgency int, _ time.Duration, stored func()) {
	c.harness.committer.MarkDirty(key, urgency, stored)
}

func (c harnessCollaborators) SetRevision(key string, revision uint64) {
	c.harness.committer.SetRevision(key, revision)
}

func (c harnessCollaborators) CommittedRevision() uint64 {
	return c.harness.committer.CommittedRevision()
}

func (c harnessCollaborators) Delay() time.Duration { return c.harness.committer.Delay() }

func (c harnessCollaborators) SendCommands(machine, _ string, response api.HeartbeatResponse) {
	c.harness.sent = append(c.harness.sent, sentCommands{machine, response})
}

func (c harnessCollaborators) SendStageOrder(machine, _ string, order api.StageOrder) {
	c.harness.sendStageOrder(machine, order)
}

func (c harnessCollaborators) Leading() bool { return c.harness.leading }

func (c harnessCollaborators) ZoneUnreachable(zone string) bool {
	return zone == c.harness.unreachableZone
}

func (c harnessCollaborators) RequireToken(token uint64) {
	c.harness.requiredToken = max(c.harness.requiredToken, token)
}

func (c harnessCollaborators) Remember(id string, final store.FinalRecord) {
	c.harness.terminalStates[id] = final
}

func (c harnessCollaborators) Get(id string) (store.FinalRecord, bool) {
	final, ok := c.harness.terminalStates[id]
	return final, ok
}

type harnessSource struct {
	*Scheduler
	harness *harness
}

func (source harnessSource) Condition() (store.Condition, bool) {
	return store.Condition{Key: store.LeaderKey, Revision: source.term}, source.harness.leading
}

func (source harnessSource) Deposed() { source.harness.leading = false }

// commit writes all pending records.
func (h *harness) commit() {
	for i := 0; h.committer.Pending() > 0 && i < 2000; i++ {
		h.committer.Step(context.Background())
		h.clock.Advance(time.Millisecond)
	}
}

// submit submits a job, changed by change if that is not nil, and stores its record.
func (h *harness) submit(id string, tasks int, change func(*api.Submission)) {
	h.Helper()
	submission := api.Submission{ID: id, Class: "c", Team: "t", Shape: api.JobArray, Rank: "normal", Tasks: tasks,
		CPUs: 4, MemoryGB: 8, Image: "img", ImageGB: 1, Spot: true, EstimateS: 30}
	if change != nil {
		change(&submission)
	}
	h.Submit(cancelledContext(), &submission, h.clock.Now())
	h.commit()
	if _, ok := h.JobStatus(id); !ok {
		h.Fatalf("%s not accepted", id)
	}
}

// nextSeq returns a machine's next sequence number.
func (h *harness) nextSeq(name string) uint64 {
	h.seq[name]++
	return h.seq[name]
}

// heartbeat delivers a direct heartbeat of a worker that has seen the current term.
func (h *harness) heartbeat(name string, incarnation uint64, tasks ...api.TaskReport) api.HeartbeatResponse {
	return h.heartbeatAt(name, incarnation, h.nextSeq(name), h.term, tasks...)
}

func (h *harness) heartbeatAt(name string, incarnation, seq, term uint64, tasks ...api.TaskReport) api.HeartbeatResponse {
	response, _, _ := h.HandleHeartbeat(&api.Heartbeat{Machine: name, Address: name + ":1", Type: "m8", Zone: zoneOf(name), Incarnation: incarnation, Seq: seq, Term: term, Tasks: tasks}, "")
	return response
}

// zoneOf returns the zone of a machine: b if its name begins with b, otherwise a.
func zoneOf(name string) string {
	if name[0] == 'b' {
		return "b"
	}
	return "a"
}

func taskReport(key string, attempt uint64, state, cause string) api.TaskReport {
	return api.TaskReport{Task: key, Attempt: attempt, State: state, Cause: cause}
}

// starts returns the run commands for a task sent directly so far, newest last.
func (h *harness) starts(key string) (out []sentCommands) {
	for _, sent := range h.sent {
		for _, command := range sent.response.Commands {
			if command.Verb == api.CommandRun && command.Task == key {
				out = append(out, sentCommands{sent.machine, api.HeartbeatResponse{Term: sent.response.Term, Incarnation: sent.response.Incarnation, Commands: []api.Command{command}}})
			}
		}
	}
	return out
}

func hasCommand(response api.HeartbeatResponse, verb, key string) bool {
	for _, command := range response.Commands {
		if command.Verb == verb && command.Task == key {
			return true
		}
	}
	return false
}

// submitAndStart places a job of one task on the only machine and returns the message with its run command.
func (h *harness) submitAndStart(id string) sentCommands {
	h.Helper()
	h.heartbeat("a1", 1)
	h.submit(id, 1, nil)
	h.Place()
	if len(h.sent) > 0 {
		h.Fatal("a start was sent before it was stored")
	}
	h.commit()
	starts := h.starts(id + "/0")
	if len(starts) != 1 {
		h.Fatalf("%d starts", len(starts))
	}
	return starts[0]
}

// cancelledContext returns the context of a request that does not wait.
func cancelledContext() context.Context {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	return ctx
}

// answerCommands settles every direct command that was not answered yet, without a heartbeat.
func (h *harness) answerCommands() {
	for ; h.answeredCommands < len(h.sent); h.answeredCommands++ {
		h.HandleCommandOutcome(h.sent[h.answeredCommands].machine, h.sent[h.answeredCommands].response, nil, true)
	}
}

// maintainFor advances the clock by duration in steps of tuning.MaintenanceInterval. In each step it calls
// sendHeartbeats and then MaintainFleet. It returns the machines to be released.
func (h *harness) maintainFor(duration time.Duration, sendHeartbeats func()) (released []string) {
	for ; duration > 0; duration -= tuning.MaintenanceInterval {
		h.clock.Advance(tuning.MaintenanceInterval)
		sendHeartbeats()
		released = append(released, h.MaintainFleet()...)
	}
	return released
}

// instancesGranted simulates the cloud's response to a request for instances.
func (h *harness) instancesGranted(names ...string) {
	h.instancesRequested++
	h.InstancesGranted(api.InstanceRequest{Type: "m8", Zone: "a", Count: len(names)}, names, nil)
}

// relayHeartbeats delivers heartbeats that a peer relays through the state service.
func (h *harness) relayHeartbeats(member string, names ...string) {
	for _, name := range names {
		h.HandleRelayedHeartbeat(member, &api.Heartbeat{Machine: name, Address: name + ":1", Type: "m8", Zone: zoneOf(name), Incarnation: 1, Seq: h.nextSeq(name), Term: h.term})
	}
}

// forwardHeartbeat delivers a heartbeat that a peer forwards in a request.
func (h *harness) forwardHeartbeat(via, name string) {
	h.HandleHeartbeat(&api.Heartbeat{Machine: name, Address: name + ":1", Type: "m8", Zone: zoneOf(name), Incarnation: 1, Seq: h.nextSeq(name), Term: h.term}, via)
}

// relayedCommandsFor returns the commands in the state service for a machine whose heartbeats a peer relays.
func (h *harness) relayedCommandsFor(member, name string) (commands store.RelayedCommands) {
	h.Helper()
	var reader relay.Reader
	items, _, err := store.NewClient("state:1", h.state).List(context.Background(), store.RelayResponsePrefix+member+"/")
	for _, item := range items {
		var packet relay.Packet
		if err == nil {
			err = json.Unmarshal(item.Value, &packet)
		}
		if err == nil {
			err = reader.Apply(item.Key, item.Revision, &packet)
		}
	}
	if raw := reader.MessageFor(h.term, name); err == nil && raw != nil {
		err = json.Unmarshal(raw, &commands)
	}
	if err != nil {
		h.Fatal(err)
	}
	return commands
}

func (h *harness) client() *store.Client { return store.NewClient("state:1", h.state) }

// settleStarts places the pending tasks, answers their start commands and has the workers report them as running.
func (h *harness) settleStarts() {
	h.Place()
	h.commit()
	runningOn := map[string][]api.TaskReport{}
	for _, message := range h.sent {
		for _, command := range message.response.Commands {
			if command.Verb == api.CommandRun {
				runningOn[message.machine] = append(runningOn[message.machine], taskReport(command.Task, command.Attempt, api.TaskRunning, ""))
			}
		}
	}
	sent := h.sent
	h.sent = nil
	for _, message := range sent {
		h.HandleCommandOutcome(message.machine, message.response, nil, true)
	}
	for name, tasks := range runningOn {
		h.heartbeat(name, 1, tasks...)
	}
}

// repeatHeartbeat sends a heartbeat with the same task list as the worker's last one.
func (h *harness) repeatHeartbeat(name string) {
	var tasks []api.TaskReport
	for _, report := range h.machines[name].Attempts {
		tasks = append(tasks, report)
	}
	h.heartbeat(name, 1, tasks...)
}

// status returns the state of a job as the leader reports it; empty if the job is not known.
func (h *harness) status(id string) string {
	status, ok := h.JobStatus(id)
	if !ok {
		if final, ended := h.terminalStates[id]; ended {
			return final.State
		}
		return ""
	}
	return status.State
}

// complete runs all tasks of a job to completion on one machine.
func (h *harness) complete(id, machine string) {
	h.Helper()
	h.heartbeat(machine, 1)
	h.Place()
	h.commit()
	var running, done []api.TaskReport
	for key, alloc := range h.machines[machine].allocations {
		if alloc.committed && alloc.job.id == id {
			running = append(running, taskReport(key, alloc.attempt, api.TaskRunning, ""))
			done = append(done, taskReport(key, alloc.attempt, api.TaskExited, api.CauseDone))
		}
	}
	if len(done) == 0 {
		h.Fatalf("%s did not start", id)
	}
	h.answerCommands()
	h.heartbeat(machine, 1, running...)
	h.heartbeat(machine, 1, done...)
	h.commit()
	h.answerCommands()
	h.heartbeat(machine, 1)
}

// dependingOn returns a change of a submission to a small job that depends on others.
func dependingOn(ids ...string) func(*api.Submission) {
	return func(submission *api.Submission) {
		submission.Awaits, submission.CPUs, submission.MemoryGB = ids, 0.1, 0.1
	}
}

// smallJob changes a submission to a small job without dependencies.
var smallJob = dependingOn()

// parseConfiguration parses a configuration and applies it over the default one.
func parseConfiguration(t *testing.T, text string) *configuration.Active {
	t.Helper()
	document, err := configuration.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return document.Overlay(configuration.FromFiles(nil, policy.Default()), 3)
}

func oneTeamConfiguration(limit string) string {
	return "[[teams]]\nname = \"t\"\ncpus_max = " + limit + "\n"
}

// mustJSON encodes a value as JSON, as in a stored record.
func mustJSON(t *testing.T, value any) []byte {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}
