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

// relayedWorkers is a test fixture with a leader, a follower and workers that implement the protocol. The test transfers the
// packets between leader and follower, and delivers the direct commands.
type relayedWorkers struct {
	*testing.T
	leader   *testLeader
	follower *Controller
	workers  map[string]*fake.Worker
	// failing holds the machines on which every task fails.
	failing map[string]bool
	// carried is the revision up to which the leader has read the follower's packets from the state service.
	carried     uint64
	reassembler relay.Reassembler

	// mu guards silent.
	mu sync.Mutex
	// silent makes the leader handle forwarded heartbeats without replying in time.
	silent bool
	// handled receives a value for each heartbeat that the leader has handled while silent.
	handled chan struct{}
	// running holds the machines on which each task runs.
	running fake.Placements[string]
	// twice lists tasks that started on a machine while they ran on another.
	twice []string
}

// newRelayedWorkers returns a fixture with a leader x and a follower y, which knows the leader but is not connected to it
// yet.
func newRelayedWorkers(t *testing.T, names ...string) *relayedWorkers {
	t.Helper()
	leader := newLeader(t)
	played := &relayedWorkers{T: t, leader: leader, workers: map[string]*fake.Worker{}, failing: map[string]bool{}, handled: make(chan struct{}, 1), running: fake.Placements[string]{}, carried: leader.Term()}
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	network := peer.New(nil, leader.clock, func() peer.Hello { return peer.Hello{Member: "x", Term: leader.Term(), StateOK: true} }, played.serveForwarded)
	go func() { _ = network.Serve(t.Context(), listener) }()
	set := &settings.Settings{Member: "y", Zone: "a", Peers: []settings.Peer{{Member: "x", Zone: "b", Address: listener.Addr().String()}}}
	set.Facts.Workers = settings.Workers{ReportS: 1, LeaseS: 10, CancelS: 40}
	set.Facts.State = settings.State{RPS: 200, WriteRPS: 5000, ValueKB: 16, TxnOps: 12}
	played.follower = New(t.Context(), set, policy.Default(), leader.clock, leader.state)
	if played.follower.elector.Campaign(t.Context()) {
		t.Fatal("two leaders")
	}
	played.follower.leases.watermark.MarkCurrent(leader.clock.Now())
	for _, name := range names {
		played.workers[name] = fake.NewWorker(fake.WorkerOptions{
			Host: fake.Host{Name: name, Address: name + ":1", Type: "m8", Zone: "a"}, Clock: leader.clock, Every: time.Second, Lease: 10 * time.Second,
			Runs:   func(string) time.Duration { return time.Hour },
			Starts: func(task string, _ uint64, _ time.Time) { played.started(task, name) },
			Ends:   func(task string, _ bool) { played.running.End(task, name) },
			Fails:  played.failure(name),
		})
	}
	return played
}

func (r *relayedWorkers) started(task, name string) {
	elsewhere, _ := r.running.Start(task, name)
	for _, other := range elsewhere {
		r.twice = append(r.twice, task+" on "+other+" and "+name)
	}
}

func (r *relayedWorkers) failure(name string) func(string) string {
	return func(string) string {
		if r.failing[name] {
			return api.CauseError
		}
		return ""
	}
}

// serveForwarded is the leader's handler of forwarded heartbeats. While silent is set, it replies only after the request
// has timed out.
func (r *relayedWorkers) serveForwarded(ctx context.Context, request peer.Request) peer.Response {
	var heartbeat api.Heartbeat
	if err := json.Unmarshal(request.Body, &heartbeat); err != nil {
		return peer.JSONResponse(http.StatusBadRequest, err.Error())
	}
	response, _, _ := r.leader.HandleHeartbeat(&heartbeat, request.From)
	r.mu.Lock()
	silent := r.silent
	r.mu.Unlock()
	if silent {
		r.handled <- struct{}{}
		<-ctx.Done()
	}
	return peer.JSONResponse(http.StatusOK, response)
}

// heartbeat sends a worker's heartbeat to the follower and makes the worker execute the response.
func (r *relayedWorkers) heartbeat(name string) {
	report := r.workers[name].Report()
	r.answer(name, report, r.ask(report))
}

// ask returns the follower's response to a heartbeat.
func (r *relayedWorkers) ask(report *api.Heartbeat) any {
	raw, err := json.Marshal(report)
	if err != nil {
		r.Fatal(err)
	}
	_, body := r.follower.HandleHeartbeat(r.Context(), report, raw)
	return body
}

// answer makes a worker execute the response to its heartbeat.
func (r *relayedWorkers) answer(name string, report *api.Heartbeat, body any) {
	r.Helper()
	response, ok := body.(api.HeartbeatResponse)
	if !ok {
		r.Fatalf("answered %+v", body)
	}
	r.workers[name].Answer(report, r.leader.clock.Now(), response)
}

// carryReports transfers the follower's packets to the leader.
func (r *relayedWorkers) carryReports() {
	r.Helper()
	for r.follower.workerProxy.Exchange.Write(r.Context()) {
	}
	events, revision, err := store.NewClient("state:1", r.leader.state).Watch(r.Context(), store.RelayPrefix, r.carried, 0)
	if err != nil {
		r.Fatal(err)
	}
	r.carried = max(r.carried, revision)
	exchange.UnpackEvents(events, store.RelayPrefix, r.leader.Term(), &r.reassembler, r.leader.AcceptWorkerMessage)
}

// fetchCommands makes the follower read the leader's packets.
func (r *relayedWorkers) fetchCommands() {
	r.Helper()
	if _, err := r.follower.workerProxy.Exchange.Fetch(r.Context(), 0); err != nil {
		r.Fatal(err)
	}
}

// deliverCommands delivers the leader's direct commands to the workers, and their responses to the leader.
func (r *relayedWorkers) deliverCommands() {
	for len(r.leader.sent) > 0 {
		sent := r.leader.sent[0]
		r.leader.sent = r.leader.sent[1:]
		heartbeat, _ := r.workers[sent.machine].Direct(sent.response)
		r.leader.CommandsAnswered(sent.machine, sent.response, heartbeat, true)
	}
}

// connect connects the follower to the leader.
func (r *relayedWorkers) connect() {
	r.follower.peers.Run(r.Context())
	for !r.follower.peers.Reachable("x") {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a task that runs on two machines at once. A follower that does not reach the leader answers workers with
// commands from the leader's packets. After it reached the leader again, the leader handled a forwarded heartbeat, but its
// reply did not arrive in time, and the follower answered the heartbeat itself. The leader had taken the heartbeat as proof
// that the follower's packets were no longer in use: it cleared the failed attempt and started the task on another machine.
// The follower then delivered the old start command again.
func TestForwardedHeartbeatWithoutReplyDeliversNoEarlierRelayedStart(t *testing.T) {
	const task = "run-000001/0"
	played := newRelayedWorkers(t, "a1", "a2")
	played.heartbeat("a1")
	played.heartbeat("a1")
	played.carryReports()
	played.leader.submit(smallJob("run-000001"))
	played.leader.Place()
	played.leader.commit()
	played.fetchCommands()
	played.failing["a1"] = true
	played.heartbeat("a1")
	report := played.workers["a1"].Report()
	if len(report.Tasks) != 1 || report.Tasks[0].Cause != api.CauseError || len(played.leader.commands[task]) > 0 {
		t.Fatalf("the relayed start command did not arrive: %+v, sent directly %v", report.Tasks, played.leader.commands[task])
	}
	delete(played.failing, "a1")

	played.connect()
	played.mu.Lock()
	played.silent = true
	played.mu.Unlock()
	answered := make(chan any, 1)
	go func() { answered <- played.ask(report) }()
	<-played.handled
	played.deliverCommands()
	for range 2 {
		second := played.workers["a2"].Report()
		response, _, _ := played.leader.HandleHeartbeat(second, "")
		played.answer("a2", second, response)
	}
	played.leader.Place()
	played.leader.commit()
	played.deliverCommands()
	if !played.running[task]["a2"] {
		t.Fatal("the task does not run on the second machine")
	}
	for waiting := true; waiting; {
		select {
		case body := <-answered:
			played.answer("a1", report, body)
			waiting = false
		default:
			played.leader.clock.Advance(100 * time.Millisecond)
			time.Sleep(time.Millisecond)
		}
	}
	if len(played.twice) > 0 {
		t.Errorf("tasks that ran on two machines at once: %v", played.twice)
	}
}
