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

// relayedWorkers are a leader, a follower beside it and workers that keep the protocol. The test carries the packets
// between leader and follower, and the direct commands.
type relayedWorkers struct {
	*testing.T
	leader   *testLeader
	follower *Controller
	workers  map[string]*fake.Worker
	// failing are machines that fail every task.
	failing map[string]bool
	// carried is the revision up to which the leader has read the follower's packets.
	carried     uint64
	reassembler relay.Reassembler

	mu sync.Mutex
	// silent has the leader handle forwarded heartbeats without a reply in time; handled receives for each.
	silent  bool
	handled chan struct{}
	running fake.Placements[string]
	// twice are tasks that started on one machine while they ran on another.
	twice []string
}

// newRelayedWorkers returns a leader x and a follower y, which knows the leader and is not connected with it yet.
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

// serveForwarded is the leader's end of the link: it handles a heartbeat, and while it is silent its reply is late.
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

// heartbeat has a worker report to the follower and execute the answer.
func (r *relayedWorkers) heartbeat(name string) {
	report := r.workers[name].Report()
	r.answer(name, report, r.ask(report))
}

// ask has the follower answer a report.
func (r *relayedWorkers) ask(report *api.Heartbeat) any {
	raw, err := json.Marshal(report)
	if err != nil {
		r.Fatal(err)
	}
	_, body := r.follower.HandleHeartbeat(r.Context(), report, raw)
	return body
}

// answer has a worker execute the answer to its report.
func (r *relayedWorkers) answer(name string, report *api.Heartbeat, body any) {
	r.Helper()
	response, ok := body.(api.HeartbeatResponse)
	if !ok {
		r.Fatalf("answered %+v", body)
	}
	r.workers[name].Answer(report, r.leader.clock.Now(), response)
}

// carryReports carries the follower's packets to the leader.
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

// fetchCommands has the follower read the leader's packets.
func (r *relayedWorkers) fetchCommands() {
	r.Helper()
	if _, err := r.follower.workerProxy.Exchange.Fetch(r.Context(), 0); err != nil {
		r.Fatal(err)
	}
}

// deliverCommands delivers the leader's direct commands, and their answers.
func (r *relayedWorkers) deliverCommands() {
	for len(r.leader.sent) > 0 {
		sent := r.leader.sent[0]
		r.leader.sent = r.leader.sent[1:]
		heartbeat, _ := r.workers[sent.machine].Direct(sent.response)
		r.leader.CommandsAnswered(sent.machine, sent.response, heartbeat, true)
	}
}

// connect connects the follower with the leader.
func (r *relayedWorkers) connect() {
	r.follower.peers.Run(r.Context())
	for !r.follower.peers.Reachable("x") {
		time.Sleep(time.Millisecond)
	}
}

// A second way to a task on two machines, found after the first one: a follower that does not reach the leader answers
// workers with commands from the leader's packets. When it reached the leader again, and the leader handled a heartbeat
// without its reply arriving in time, the follower answered that heartbeat itself, as if the leader had never seen it. The
// leader had taken the heartbeat for proof that the follower's packets were settled: it cleared the attempt, which had
// failed, and started the task elsewhere, and then the follower delivered the old start once more.
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
		t.Fatalf("the relayed start did not arrive: %+v, sent directly %v", report.Tasks, played.leader.commands[task])
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
		t.Errorf("ran twice: %v", played.twice)
	}
}
