package controller

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/peer"
	"switchferry/policy"
	"switchferry/relay"
	"switchferry/relay/exchange"
	"switchferry/settings"
	"switchferry/store"
)

// relayFixture is a test fixture with a leader, a follower and workers that implement the protocol. The test transfers
// the packets between leader and follower, and delivers the direct commands.
type relayFixture struct {
	*testing.T
	leader   *testLeader
	follower *Controller
	workers  map[string]*fake.Worker
	// failingMachines holds the machines on which every task fails.
	failingMachines map[string]bool
	// packetRevision is the revision up to which the leader has read the follower's packets from the state service.
	packetRevision uint64
	reassembler    relay.Reassembler

	// mu guards withholdReplies.
	mu sync.Mutex
	// withholdReplies makes the leader handle forwarded heartbeats without replying in time.
	withholdReplies bool
	// handled receives a value for each heartbeat that the leader has handled without replying.
	handled chan struct{}
	// placements holds the machines on which each task runs.
	placements fake.Placements[string]
	// duplicateStarts lists tasks that started on a machine while they ran on another.
	duplicateStarts []string
}

// newRelayFixture returns a fixture with a leader x and a follower y, which knows the leader but is not connected to it
// yet.
func newRelayFixture(t *testing.T, names ...string) *relayFixture {
	t.Helper()
	leader := newLeader(t)
	fixture := &relayFixture{T: t, leader: leader, workers: map[string]*fake.Worker{}, failingMachines: map[string]bool{}, handled: make(chan struct{}, 1), placements: fake.Placements[string]{}, packetRevision: leader.Term()}
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	network := peer.New(nil, leader.clock, func() peer.Hello { return peer.Hello{Member: "x", Term: leader.Term(), StateOK: true} }, fixture.serveForwarded)
	go func() { _ = network.Serve(t.Context(), listener) }()
	set := &settings.Settings{Member: "y", Zone: "a", Peers: []settings.Peer{{Member: "x", Zone: "b", Address: listener.Addr().String()}}}
	set.Facts.Workers = settings.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 40}
	set.Facts.State = settings.StateLimits{RPS: 200, WriteRPS: 5000, ValueKB: 16, TxnOps: 12}
	fixture.follower = New(t.Context(), set, policy.Default(), leader.clock, leader.state)
	if fixture.follower.elector.Campaign(t.Context()) {
		t.Fatal("two leaders")
	}
	fixture.follower.leases.watermark.MarkCurrent(leader.clock.Now())
	for _, name := range names {
		fixture.workers[name] = fake.NewWorker(fake.WorkerOptions{
			Host: fake.Host{Name: name, Address: name + ":1", Type: "m8", Zone: "a"}, Clock: leader.clock, HeartbeatInterval: time.Second, Lease: 10 * time.Second,
			TaskDuration: func(string) time.Duration { return time.Hour },
			OnStart:      func(task string, _ uint64, _ time.Time) { fixture.recordStart(task, name) },
			OnEnd:        func(task string, _ bool) { fixture.placements.End(task, name) },
			StartFailure: fixture.failureCause(name),
		})
	}
	return fixture
}

// recordStart records that a task started on a machine, and whether it already ran on another one.
func (r *relayFixture) recordStart(task, name string) {
	elsewhere, _ := r.placements.Start(task, name)
	for _, other := range elsewhere {
		r.duplicateStarts = append(r.duplicateStarts, task+" on "+other+" and "+name)
	}
}

// failureCause returns the function that determines why a task fails to start on a machine.
func (r *relayFixture) failureCause(name string) func(string) string {
	return func(string) string {
		if r.failingMachines[name] {
			return api.CauseError
		}
		return ""
	}
}

// serveForwarded is the leader's handler of forwarded heartbeats. While withholdReplies is set, it replies only after
// the request has timed out.
func (r *relayFixture) serveForwarded(ctx context.Context, request peer.Request) peer.Response {
	var heartbeat api.Heartbeat
	if err := json.Unmarshal(request.Body, &heartbeat); err != nil {
		return peer.JSONResponse(http.StatusBadRequest, err.Error())
	}
	response, _, _ := r.leader.HandleHeartbeat(&heartbeat, request.From)
	r.mu.Lock()
	withholdReply := r.withholdReplies
	r.mu.Unlock()
	if withholdReply {
		r.handled <- struct{}{}
		<-ctx.Done()
	}
	return peer.JSONResponse(http.StatusOK, response)
}

// heartbeat sends a worker's heartbeat to the follower and makes the worker execute the response.
func (r *relayFixture) heartbeat(name string) {
	heartbeat := r.workers[name].NextHeartbeat()
	r.executeResponse(name, heartbeat, r.heartbeatResponse(heartbeat))
}

// heartbeatResponse returns the follower's response to a heartbeat.
func (r *relayFixture) heartbeatResponse(heartbeat *api.Heartbeat) any {
	raw, err := json.Marshal(heartbeat)
	if err != nil {
		r.Fatal(err)
	}
	_, body := r.follower.HandleHeartbeat(r.Context(), heartbeat, raw)
	return body
}

// executeResponse makes a worker execute the response to its heartbeat.
func (r *relayFixture) executeResponse(name string, heartbeat *api.Heartbeat, body any) {
	r.Helper()
	response, ok := body.(api.HeartbeatResponse)
	if !ok {
		r.Fatalf("answered %+v", body)
	}
	r.workers[name].ApplyResponse(heartbeat, r.leader.clock.Now(), response)
}

// transferHeartbeats transfers the follower's packets to the leader.
func (r *relayFixture) transferHeartbeats() {
	r.Helper()
	for r.follower.workerProxy.Exchange.Write(r.Context()) {
	}
	events, revision, err := store.NewClient("state:1", r.leader.state).Watch(r.Context(), store.RelayPrefix, r.packetRevision, 0)
	if err != nil {
		r.Fatal(err)
	}
	r.packetRevision = max(r.packetRevision, revision)
	exchange.UnpackEvents(events, store.RelayPrefix, r.leader.Term(), &r.reassembler, r.leader.AcceptWorkerMessage)
}

// fetchCommands makes the follower read the leader's packets.
func (r *relayFixture) fetchCommands() {
	r.Helper()
	if _, err := r.follower.workerProxy.Exchange.Fetch(r.Context(), 0); err != nil {
		r.Fatal(err)
	}
}

// deliverCommands delivers the leader's direct commands to the workers, and their responses to the leader.
func (r *relayFixture) deliverCommands() {
	for len(r.leader.sent) > 0 {
		sent := r.leader.sent[0]
		r.leader.sent = r.leader.sent[1:]
		heartbeat, _ := r.workers[sent.machine].ExecuteCommands(sent.response)
		r.leader.HandleCommandOutcome(sent.machine, sent.response, heartbeat, true)
	}
}

// connect connects the follower to the leader.
func (r *relayFixture) connect() {
	r.follower.peers.Run(r.Context())
	for !r.follower.peers.Reachable("x") {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a task that runs on two machines at once. A follower that does not reach the leader answers workers
// with commands from the leader's packets. After it reached the leader again, the leader handled a forwarded heartbeat,
// but its reply did not arrive in time, and the follower answered the heartbeat itself. The leader had taken the
// heartbeat as proof that the follower's packets were no longer in use: it cleared the failed attempt and started the
// task on another machine. The follower then delivered the old start command again.
func TestRelayedStartIsNotRedeliveredWhenForwardedHeartbeatTimesOut(t *testing.T) {
	const task = "run-000001/0"
	fixture := newRelayFixture(t, "a1", "a2")
	fixture.heartbeat("a1")
	fixture.heartbeat("a1")
	fixture.transferHeartbeats()
	fixture.leader.submit(smallJob("run-000001"))
	fixture.leader.Place()
	fixture.leader.commit()
	fixture.fetchCommands()
	fixture.failingMachines["a1"] = true
	fixture.heartbeat("a1")
	failureHeartbeat := fixture.workers["a1"].NextHeartbeat()
	if len(failureHeartbeat.Tasks) != 1 || failureHeartbeat.Tasks[0].Cause != api.CauseError || len(fixture.leader.commands[task]) > 0 {
		t.Fatalf("the relayed start command did not arrive: %+v, sent directly %v", failureHeartbeat.Tasks, fixture.leader.commands[task])
	}
	delete(fixture.failingMachines, "a1")

	fixture.connect()
	fixture.mu.Lock()
	fixture.withholdReplies = true
	fixture.mu.Unlock()
	answered := make(chan any, 1)
	go func() { answered <- fixture.heartbeatResponse(failureHeartbeat) }()
	<-fixture.handled
	fixture.deliverCommands()
	for range 2 {
		second := fixture.workers["a2"].NextHeartbeat()
		response, _, _ := fixture.leader.HandleHeartbeat(second, "")
		fixture.executeResponse("a2", second, response)
	}
	fixture.leader.Place()
	fixture.leader.commit()
	fixture.deliverCommands()
	if !fixture.placements[task]["a2"] {
		t.Fatal("the task does not run on the second machine")
	}
	for waiting := true; waiting; {
		select {
		case body := <-answered:
			fixture.executeResponse("a1", failureHeartbeat, body)
			waiting = false
		default:
			fixture.leader.clock.Advance(100 * time.Millisecond)
			time.Sleep(time.Millisecond)
		}
	}
	if len(fixture.duplicateStarts) > 0 {
		t.Errorf("tasks that ran on two machines at once: %v", fixture.duplicateStarts)
	}
}
