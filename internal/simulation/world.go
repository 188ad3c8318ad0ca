// Package simulation plays a region in one process: three controllers as `serve` runs them, the project's
// stand-ins of state service, cloud and workers, users, and the network between them, each direction of
// each pair of which can be cut by itself. It checks the protocol's rules as things happen, and what
// operators look at when a day is over. It runs on the time package's clock: in tests within
// testing/synctest, where a day takes a second, else in real time.
//
// The same seed makes the same machines, jobs and troubles; the order of what happens in one moment is
// the Go scheduler's.
package simulation

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/controller"
	"switchferry/features"
	"switchferry/internal/fake"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/store"
)

// Kinds of troubles.
const (
	// ControllerCrash ends Count controllers, the leader first, which are back after For.
	ControllerCrash = "crash"
	// RollingRestart ends all controllers, one each rollInterval, each back after For.
	RollingRestart = "roll"
	// ControllerIsolated takes the state service and the other controllers away from the leader, or with Follower
	// from another, for For; its workers still reach it.
	ControllerIsolated = "lone"
	// OutboundLost lets reports of Count machines arrive, while answers and commands do not reach them;
	// ControllerOutboundLost lets nothing of the leader reach any worker.
	OutboundLost           = "half-deaf"
	ControllerOutboundLost = "deaf-node"
	// DuplicateHeartbeats sends every fifth report again, 2 s to three leases later, to any controller, for For.
	DuplicateHeartbeats = "copies"
	// MachineCrash ends Count machines for good; WorkerRestart ends all tasks on Count machines, whose workers are
	// controllerNetwork at once.
	MachineCrash  = "die"
	WorkerRestart = "restart"
	// StateOutage is one of the state service; ZonePartition cuts a zone off from everything, and everything of it.
	StateOutage   = "outage"
	ZonePartition = "zone"
	// StateRefused has the state service answer the leader alone, or with Follower another, with 503, or with
	// Unanswered not at all.
	StateRefused = "refused"
	// ControllerPartition lets nothing through to the leader, or with Follower another, nor from it; what was said
	// between controllers arrives afterwards. ControllerPairPartition does so between it and one other controller.
	ControllerPartition     = "silence"
	ControllerPairPartition = "apart"
	// LateWrites has one transaction in five get no answer and be executed 2 to 12 s later. DelayedCommands has one
	// command in three reach its machine up to 8 s late, or its answer come back so late.
	LateWrites      = "late-writes"
	DelayedCommands = "held"
	// CancellationWave has the users of Count in 10 accepted jobs ask to cancel them, at once and every 50 ms for For. With
	// HangMachinesFor, up to eight machines that run tasks of these hang that long.
	CancellationWave = "wave"
	// MachineHang has Count machines stand still for For: they execute nothing, and then what they were sent.
	MachineHang = "hangs"
	// InboundLost has Count machines, or with Follower all of the leader's zone, reach no controller; commands reach them.
	InboundLost = "mute"
	// ProcessPause has the leader, or with Follower another, stand still while its clock runs on.
	ProcessPause = "freeze"
	// SlowState has the state service answer up to 1.5 s late, the leader alone with Count 1, else all.
	SlowState = "slow"
	// CancelAtEnd has users cancel half of the arrays around the moment at which the last task ends, and ask about them
	// and repeat their submission beside that.
	CancelAtEnd = "at-end"
	// InvalidRequests has users repeat submissions, in other words too, cancel what is over, and send what cannot run.
	InvalidRequests = "odd"
)

// maxSlowDelay is how late a slow state service answers at most.
const maxSlowDelay = 1500 * time.Millisecond

// rollInterval is the pace of a roll.
const rollInterval = 5 * time.Second

// Fault is one trouble of a day.
type Fault struct {
	At, For         time.Duration
	Kind            string
	Count           int
	Follower        bool
	Unanswered      bool
	HangMachinesFor time.Duration
}

// Scenario is what is played.
type Scenario struct {
	Seed     uint64
	Machines int
	// SubmitFor is how long users submit jobs, JobsPerSecond how many; WaitAfter is how long is waited for the
	// rest.
	SubmitFor, WaitAfter time.Duration
	JobsPerSecond        float64
	Faults               []Fault
	// CancelShare is the share of arrays whose users cancel them, one in 15 if it is 0; TaskRunS is how long the
	// tasks of the small ones run, 5 to 15 s if it is 0.
	CancelShare, TaskRunS float64
	// CPUsPerMachine is how many processors a machine a team may use, 6 if it is 0; ImagePullS how long a machine's link takes
	// for an image, of which there are four. ZoneBoundJobs: a third of the arrays are bound to one zone.
	CPUsPerMachine, ImagePullS float64
	ZoneBoundJobs              bool
	Workers                    settings.Workers
	// ConfigurationChanges is how long operators wait between two changes of the configuration; 0: there are none, and live
	// configuration is off.
	ChangeInterval time.Duration
}

// teamLimit is what a team may use, in processors.
func (scenario *Scenario) teamLimit() float64 {
	if scenario.CPUsPerMachine > 0 {
		return scenario.CPUsPerMachine * float64(scenario.Machines)
	}
	return 6 * float64(scenario.Machines)
}

// NewScenario is a quiet day of some machines.
func NewScenario(seed uint64, machines int) *Scenario {
	return &Scenario{Seed: seed, Machines: machines, SubmitFor: 120 * time.Second, WaitAfter: 150 * time.Second, JobsPerSecond: min(4, float64(machines)/8),
		Workers: settings.Workers{ReportS: 1, LeaseS: 10, CancelS: 40}}
}

// simulation is a day being played.
type simulation struct {
	*Scenario
	ctx        context.Context
	clock      clockwork.Clock
	partitions *linkTable
	network    *controllerNetwork
	state      *fake.State
	cloud      *fake.Cloud
	rng        *rand.Rand
	checker    *invariantChecker
	// operators is nil on days without changes of the configuration.
	operators *operators

	mu                    sync.Mutex
	controllers           map[string]*controllerProcess
	machines              map[string]*simulatedMachine // by address
	duplicatingHeartbeats bool
	// lateWriteFaults and held count such troubles under way.
	lateWriteFaults, delayedCommandFaults int
	// cancelAtEndFaults and odd count such troubles, too; slow does so by controller, and for all under the empty name.
	cancelAtEndFaults, invalidRequestFaults atomic.Int32
	slowStateFaults                         map[string]int
	pausedProcesses                         map[string]chan struct{}
	stateRefusals                           map[string]string
	cancellations                           chan Fault
	// hungByWave are the machines that the last wave has left to hang.
	hungByWave int
	actors     sync.WaitGroup
}

// controllerProcess is a controller's life; node is nil while it has none.
type controllerProcess struct {
	name, zone string
	instance   *controller.Controller
	stop       context.CancelFunc
}

// simulatedMachine is a rented one.
type simulatedMachine struct {
	fake.Host
	worker *fake.Worker
	stop   context.CancelFunc
	// outboundLostSince is since when it hears nobody; dead: it ended by a trouble; touched is when a trouble last
	// met it.
	outboundLostSince time.Time
	dead              bool
	lastFaultAt       time.Time
	// loseInbound counts the troubles in which it reaches no controller, hung those in which it stands still.
	inboundLossCount, hangCount int
}

var controllerNames = []string{"n0", "n1", "n2"}

var machineType = api.MachineType{Name: "m8", CPUs: 8, MemoryGB: 32, CacheGB: 50, PullGBs: 1, BootS: 10, Price: 1, SpotPrice: 0.5, Zones: []string{"east", "west"}}

// Run plays the day to its end.
func (scenario *Scenario) Run(ctx context.Context) *Result {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	clock := clockwork.NewRealClock()
	sim := &simulation{Scenario: scenario, ctx: ctx, clock: clock, partitions: newLinkTable(), state: fake.NewState(clock), cloud: fake.NewCloud(clock, []api.MachineType{machineType}, 20),
		rng: rand.New(rand.NewPCG(scenario.Seed, 0)), controllers: map[string]*controllerProcess{}, machines: map[string]*simulatedMachine{}, stateRefusals: map[string]string{}, slowStateFaults: map[string]int{}, pausedProcesses: map[string]chan struct{}{}, cancellations: make(chan Fault)}
	sim.checker = newInvariantChecker(sim)
	if scenario.ChangeInterval > 0 {
		sim.operators = newOperators(sim)
	}
	sim.network = &controllerNetwork{partitions: sim.partitions, listeners: map[string]*simulatedListener{}, conns: map[*simulatedConn]string{}}
	sim.state.Limit(fake.Limits{RPS: 400, WriteRPS: 120, ValueKB: 16, TxnOps: 12})
	sim.cloud.Room = scenario.Machines
	sim.cloud.Up = func(host fake.Host) {
		sim.actors.Go(func() {
			if sim.sleep(ctx, time.Duration(machineType.BootS*float64(time.Second))) {
				sim.startWorker(ctx, host)
			}
		})
	}
	sim.cloud.Gone = sim.machineReturned
	for i, name := range controllerNames {
		sim.controllers[name] = &controllerProcess{name: name, zone: []string{"east", "west", "east"}[i]}
	}
	for _, name := range controllerNames {
		sim.startController(ctx, name)
	}
	for i := range scenario.Machines {
		sim.startWorker(ctx, sim.cloud.Add(machineType.Name, []string{"east", "west"}[i%2], false))
	}
	sim.sleep(ctx, 5*time.Second)
	began := time.Now()
	last := time.Duration(0)
	for _, fault := range scenario.Faults {
		last = max(last, fault.At+fault.For)
		if fault.Kind == RollingRestart {
			last = max(last, fault.At+fault.For+2*rollInterval)
		}
		sim.actors.Go(func() {
			if sim.sleep(ctx, fault.At-time.Since(began)) {
				sim.inject(ctx, fault)
			}
		})
	}
	sim.actors.Go(func() { sim.submitJobs(ctx, began) })
	if sim.operators != nil {
		sim.actors.Go(func() { sim.operators.changeRepeatedly(ctx, began) })
		sim.actors.Go(func() { sim.operators.submitProbes(ctx) })
	}
	sim.actors.Go(func() {
		for sim.sleep(ctx, time.Second) {
			sim.checker.checkOverdueTasks()
		}
	})
	sim.sleep(ctx, last)
	sim.checker.faultsOver()
	sim.sleep(ctx, max(scenario.SubmitFor, last)+scenario.WaitAfter-time.Since(began))
	result := sim.checker.evaluate()
	if sim.operators != nil {
		result.ConfigurationChanges = sim.operators.changes
	}
	stop()
	for _, name := range controllerNames {
		sim.stopController(name)
	}
	sim.actors.Wait()
	// What is executed late is executed, also when nobody is there any more.
	time.Sleep(maxWriteDelay)
	return result
}

// sleep is false once the day is over.
func (sim *simulation) sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// actorRNG is a stream of its own for each actor, so that what one does does not hang on the others.
func (sim *simulation) actorRNG(actor string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(actor))
	return rand.New(rand.NewPCG(sim.Seed, h.Sum64()))
}

// startController begins a life of a controller.
func (sim *simulation) startController(ctx context.Context, name string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	process := sim.controllers[name]
	if process.instance != nil || ctx.Err() != nil {
		return
	}
	set := &settings.Settings{Member: name, Zone: process.zone}
	set.External = settings.External{State: "state:1", Cloud: "cloud:1"}
	set.Facts = settings.Facts{Nodes: 3, Zones: []string{"east", "west"}, Workers: sim.Workers,
		Teams: []settings.Team{{Name: "one", CPUsMax: sim.teamLimit()}, {Name: "two", CPUs: min(sim.teamLimit(), float64(sim.Machines)), CPUsMax: sim.teamLimit()}},
		State: settings.State{RPS: 400, WriteRPS: 120, ValueKB: 16, TxnOps: 12}, Cloud: settings.Cloud{RPS: 20, ListLagS: 1}}
	for _, m := range controllerNames {
		if m != name {
			set.Peers = append(set.Peers, settings.Peer{Member: m, Zone: sim.controllers[m].zone, Address: m})
		}
	}
	ctx, process.stop = context.WithCancel(ctx)
	process.instance = controller.New(ctx, set, policy.Default(), &pausableClock{sim.clock, sim, name}, &controllerTransport{sim: sim, from: name, rng: sim.actorRNG("calls of " + name), name: name})
	if sim.operators != nil {
		process.instance.Enable(&features.Features{Configuration: features.Configuration{On: true}})
	}
	process.instance.DialPeers(sim.network.dialer(name))
	instance, l := process.instance, sim.network.listen(name)
	sim.actors.Go(func() { instance.Run(l) })
}

// stopController ends a controller's life.
func (sim *simulation) stopController(name string) {
	sim.mu.Lock()
	process := sim.controllers[name]
	stop := process.stop
	process.instance, process.stop = nil, nil
	sim.mu.Unlock()
	if stop != nil {
		stop()
	}
	sim.network.reset(name)
}

func (sim *simulation) runningController(name string) *controller.Controller {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.controllers[name].instance
}

// leader is who leads, by the state service; else any.
func (sim *simulation) leader() string {
	var l store.LeaderRecord
	if json.Unmarshal(sim.state.Get(store.LeaderKey), &l) != nil || l.Member == "" {
		return controllerNames[0]
	}
	return l.Member
}

// controllerTransport carries a controller's calls. A transaction may be executed late, also when the process that
// sent it has died.
type controllerTransport struct {
	sim        *simulation
	from, name string

	mu  sync.Mutex
	rng *rand.Rand
}

// stateTransport is the state service as controllers reach it.
func (sim *simulation) stateTransport() http.RoundTripper {
	if sim.operators != nil {
		return startRecorder{sim.operators}
	}
	return sim.state
}

// RoundTrip carries one call. A process that stands still neither sends nor learns anything meanwhile.
func (t *controllerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.sim.waitWhilePaused(t.name)
	defer t.sim.waitWhilePaused(t.name)
	return t.send(request)
}

func (t *controllerTransport) send(request *http.Request) (*http.Response, error) {
	host, via := t.target(request)
	if via == nil {
		return t.awaitTimeout(request)
	}
	if cut, _ := t.sim.partitions.isCut(t.from, host); cut {
		return t.unreachable(request, via)
	}
	if resp, err, refused := t.stateRefusal(request, host); refused {
		return resp, err
	}
	if before, after, held := t.delays(request, host, via); held {
		return t.sendDelayed(request, via, before, after)
	}
	resp, err := via.RoundTrip(request)
	if cut, _ := t.sim.partitions.isCut(host, t.from); cut {
		return t.awaitTimeout(request)
	}
	return resp, err
}

// target is who is called, by its name on the network; nil: nobody is there.
func (t *controllerTransport) target(request *http.Request) (host string, via http.RoundTripper) {
	host, _, _ = strings.Cut(request.URL.Host, ":")
	switch host {
	case "state":
		return host, t.sim.stateTransport()
	case "cloud":
		return host, t.sim.cloud
	}
	t.sim.mu.Lock()
	defer t.sim.mu.Unlock()
	machine := t.sim.machines[request.URL.Host]
	if machine == nil || machine.dead {
		return host, nil
	}
	return machine.Name, workerEndpoint{t.sim, machine}
}

// awaitTimeout is a call that gets no answer.
func (t *controllerTransport) awaitTimeout(request *http.Request) (*http.Response, error) {
	<-request.Context().Done()
	return nil, request.Context().Err()
}

// unreachable is a call over a way that is cut: there is no connection, or no answer.
func (t *controllerTransport) unreachable(request *http.Request, via http.RoundTripper) (*http.Response, error) {
	if d, ok := via.(workerEndpoint); ok {
		var response api.HeartbeatResponse
		if json.NewDecoder(request.Body).Decode(&response) == nil {
			t.sim.checker.recordLostCommands(d.machine, response.Commands)
		}
	}
	if t.chance(2) {
		// There was no connection yet.
		t.sim.sleep(request.Context(), dialTimeout)
		return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	}
	return t.awaitTimeout(request)
}

// chance is true once in so many times.
func (t *controllerTransport) chance(in int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.IntN(in) == 0
}

// randomBelow is a random time below that.
func (t *controllerTransport) randomBelow(duration time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.rng.Int64N(int64(duration)))
}

// recordRefusal is what the state service answers while it refuses this controller.
func (t *controllerTransport) stateRefusal(request *http.Request, host string) (resp *http.Response, err error, refused bool) {
	if host != "state" {
		return nil, nil, false
	}
	t.sim.mu.Lock()
	how := t.sim.stateRefusals[t.from]
	t.sim.mu.Unlock()
	switch how {
	case refusalUnanswered:
		resp, err = t.awaitTimeout(request)
		return resp, err, true
	case refusalUnavailable:
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("{}"))}, nil, true
	}
	return nil, nil, false
}

// delays tells whether a call is held up, and for how long before and after it is carried out.
func (t *controllerTransport) delays(request *http.Request, host string, via http.RoundTripper) (before, after time.Duration, held bool) {
	t.sim.mu.Lock()
	lateWrites, heldCommands := t.sim.lateWriteFaults > 0, t.sim.delayedCommandFaults > 0
	slow := host == "state" && (t.sim.slowStateFaults[""] > 0 || t.sim.slowStateFaults[t.from] > 0)
	hung := false
	if d, ok := via.(workerEndpoint); ok {
		hung = d.machine.hangCount > 0
	}
	t.sim.mu.Unlock()
	if request.URL.Path == "/multi" {
		late, wait := t.chance(200), t.randomBelow(maxRegularWriteDelay)
		if lateWrites {
			late, wait = t.chance(5), 2*time.Second+t.randomBelow(10*time.Second)
		}
		if late {
			return wait, 0, true
		}
	}
	if slow {
		wait := t.randomBelow(maxSlowDelay)
		if t.chance(2) {
			return 0, wait, true
		}
		return wait, 0, true
	}
	if _, ok := via.(workerEndpoint); !ok {
		return 0, 0, false
	}
	if hung {
		return 0, 0, true
	}
	if heldCommands {
		switch wait := t.randomBelow(8 * time.Second); {
		case t.chance(6):
			return wait, 0, true
		case t.chance(5):
			return 0, wait, true
		}
	}
	return 0, 0, false
}

// How the state service refuses a controller.
const (
	refusalUnavailable = "503"
	refusalUnanswered  = "hang"
)

// maxRegularWriteDelay is how late a transaction is executed at most while no trouble is on; latest, ever.
const (
	maxRegularWriteDelay = 4 * time.Second
	maxWriteDelay        = 12 * time.Second
)

// sendDelayed carries a call out after a while, whoever still waits for it, and lets its answer go after another.
func (t *controllerTransport) sendDelayed(request *http.Request, via http.RoundTripper, before, after time.Duration) (*http.Response, error) {
	var body []byte
	if request.Body != nil {
		var err error
		if body, err = io.ReadAll(request.Body); err != nil {
			return nil, err
		}
	}
	type outcome struct {
		resp *http.Response
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		time.Sleep(before)
		again := request.Clone(context.Background())
		again.Body = io.NopCloser(bytes.NewReader(body))
		resp, err := via.RoundTrip(again)
		time.Sleep(after)
		done <- outcome{resp, err}
	}()
	select {
	case o := <-done:
		return o.resp, o.err
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
}

// workerEndpoint serves a worker's own port.
type workerEndpoint struct {
	sim     *simulation
	machine *simulatedMachine
}

// RoundTrip serves one command.
func (endpoint workerEndpoint) RoundTrip(request *http.Request) (*http.Response, error) {
	var response api.HeartbeatResponse
	if err := json.NewDecoder(request.Body).Decode(&response); err != nil {
		return nil, err
	}
	heartbeat, ok := endpoint.machine.worker.Direct(response)
	raw, err := json.Marshal(heartbeat)
	code := http.StatusOK
	if !ok {
		code = http.StatusConflict
	}
	return &http.Response{StatusCode: code, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(raw))}, err
}

// startWorker runs a machine's worker.
func (sim *simulation) startWorker(ctx context.Context, host fake.Host) {
	ctx, stop := context.WithCancel(ctx)
	machine := &simulatedMachine{Host: host, stop: stop}
	rng := sim.actorRNG("reports of " + host.Name)
	machine.worker = fake.NewWorker(fake.WorkerOptions{Host: host, Clock: sim.clock, Nodes: controllerNames, Post: sim.heartbeatSender(machine, rng),
		Every: seconds(sim.Workers.ReportS), Lease: seconds(sim.Workers.LeaseS), Runs: sim.checker.taskRunTime,
		Starts: func(task string, _ uint64, _ time.Time) { sim.checker.taskStarted(task, machine) }, Fetch: sim.imagePull(),
		Ends: func(task string, done bool) { sim.checker.taskEnded(task, machine, done) }})
	sim.mu.Lock()
	sim.machines[host.Address] = machine
	sim.mu.Unlock()
	sim.actors.Go(func() { machine.worker.Run(ctx) })
}

// imagePull is how machines get images; nil: they need none.
func (sim *simulation) imagePull() func(task string) (string, time.Duration) {
	if sim.ImagePullS <= 0 {
		return nil
	}
	return func(task string) (string, time.Duration) { return sim.checker.taskImage(task), seconds(sim.ImagePullS) }
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// heartbeatSender carries a machine's reports.
func (sim *simulation) heartbeatSender(machine *simulatedMachine, rng *rand.Rand) func(ctx context.Context, node string, heartbeat *api.Heartbeat) (int, any) {
	return func(ctx context.Context, node string, heartbeat *api.Heartbeat) (int, any) {
		raw, err := json.Marshal(heartbeat)
		if err != nil {
			return 0, nil
		}
		sim.mu.Lock()
		copying := sim.duplicatingHeartbeats
		sim.mu.Unlock()
		if copying && rng.IntN(5) == 0 {
			after := 2*time.Second + time.Duration(rng.Int64N(int64(3*seconds(sim.Workers.LeaseS))))
			to := controllerNames[rng.IntN(3)]
			sim.actors.Go(func() {
				time.Sleep(after)
				if instance := sim.runningController(to); instance != nil {
					var again api.Heartbeat
					if json.Unmarshal(raw, &again) == nil {
						instance.HandleHeartbeat(context.Background(), &again, raw)
					}
				}
			})
		}
		sim.mu.Lock()
		mute := machine.inboundLossCount > 0
		sim.mu.Unlock()
		if mute {
			sim.sleep(ctx, dialTimeout)
			return 0, nil
		}
		if cut, _ := sim.partitions.isCut(machine.Name, node); cut {
			<-ctx.Done()
			return 0, nil
		}
		instance := sim.runningController(node)
		if instance == nil {
			return 0, nil
		}
		sim.waitWhilePaused(node)
		code, body := instance.HandleHeartbeat(ctx, heartbeat, raw)
		sim.waitWhilePaused(node)
		if ctx.Err() != nil {
			return 0, nil
		}
		if passed, ok := body.(json.RawMessage); ok {
			var response api.HeartbeatResponse
			var to api.Redirect
			switch {
			case code == http.StatusOK && json.Unmarshal(passed, &response) == nil:
				body = response
			case json.Unmarshal(passed, &to) == nil:
				body = to
			}
		}
		if cut, _ := sim.partitions.isCut(node, machine.Name); cut {
			if response, ok := body.(api.HeartbeatResponse); ok {
				sim.checker.recordLostCommands(machine, response.Commands)
			}
			<-ctx.Done()
			return 0, nil
		}
		return code, body
	}
}

// machineReturned is told of a machine that was given back.
func (sim *simulation) machineReturned(host fake.Host) {
	sim.mu.Lock()
	machine := sim.machines[host.Address]
	delete(sim.machines, host.Address)
	sim.mu.Unlock()
	if machine == nil {
		return
	}
	sim.checker.machineReturned(machine)
	machine.stop()
	machine.worker.Restart()
}

// pickMachines are that many machines, chosen by the seed, by name.
func (sim *simulation) pickMachines(n int) (out []*simulatedMachine) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, machine := range sim.machines {
		if !machine.dead && machine.outboundLostSince.IsZero() && machine.inboundLossCount+machine.hangCount == 0 {
			out = append(out, machine)
		}
	}
	slices.SortFunc(out, func(a, b *simulatedMachine) int { return strings.Compare(a.Name, b.Name) })
	sim.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	out = out[:min(n, len(out))]
	for _, machine := range out {
		machine.lastFaultAt = time.Now()
	}
	return out
}

// withLock changes what counts troubles.
func (sim *simulation) withLock(change func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	change()
}

// hangMachines has machines stand still for a while.
func (sim *simulation) hangMachines(ctx context.Context, machines []*simulatedMachine, duration time.Duration) {
	set := func(by int) {
		sim.withLock(func() {
			for _, machine := range machines {
				machine.hangCount += by
				machine.lastFaultAt = time.Now()
			}
		})
		for _, machine := range machines {
			machine.worker.Hang(by > 0)
		}
	}
	set(1)
	sim.sleep(ctx, duration)
	set(-1)
}

// hangMachineOf has a machine that runs a task of a job hang, if fewer than eight do since the last wave.
func (sim *simulation) hangMachineOf(ctx context.Context, job *trackedJob, duration time.Duration) {
	machine := sim.checker.machineOf(job.ID)
	if machine == nil {
		return
	}
	sim.mu.Lock()
	some := sim.hungByWave < 8 && machine.hangCount == 0
	if some {
		sim.hungByWave++
	}
	sim.mu.Unlock()
	if some {
		sim.actors.Go(func() { sim.hangMachines(ctx, []*simulatedMachine{machine}, duration) })
	}
}

// setPaused has a controller stand still, or go on.
func (sim *simulation) setPaused(name string, on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	switch c := sim.pausedProcesses[name]; {
	case on && c == nil:
		sim.pausedProcesses[name] = make(chan struct{})
	case !on && c != nil:
		close(c)
		delete(sim.pausedProcesses, name)
	}
}

// waitWhilePaused waits until a controller does not stand still.
func (sim *simulation) waitWhilePaused(name string) {
	for {
		sim.mu.Lock()
		c := sim.pausedProcesses[name]
		sim.mu.Unlock()
		if c == nil {
			return
		}
		<-c
	}
}

// pausableClock is a controller's clock: while the controller stands still, time goes on and nothing that waits for it does.
type pausableClock struct {
	clockwork.Clock
	sim  *simulation
	name string
}

// WaitAfter fires when the time has come and the controller does not stand still.
func (clock *pausableClock) After(duration time.Duration) <-chan time.Time {
	if !slices.ContainsFunc(clock.sim.Faults, func(fault Fault) bool { return fault.Kind == ProcessPause }) {
		return clock.Clock.After(duration)
	}
	out := make(chan time.Time, 1)
	clock.Clock.AfterFunc(duration, func() {
		clock.sim.waitWhilePaused(clock.name)
		out <- clock.Clock.Now()
	})
	return out
}

// Sleep is the same.
func (clock *pausableClock) Sleep(duration time.Duration) { <-clock.After(duration) }

// inject plays one trouble to its end.
func (sim *simulation) inject(ctx context.Context, fault Fault) {
	lead := sim.leader()
	who := lead
	if fault.Follower {
		who = controllerNames[(slices.Index(controllerNames, lead)+1)%3]
	}
	play, ok := faultHandlers[fault.Kind]
	if !ok {
		panic(fmt.Sprintf("no trouble %q", fault.Kind))
	}
	play(&activeFault{sim, ctx, fault, lead, who})
}

// activeFault is a trouble under way: who is the controller that it strikes.
type activeFault struct {
	*simulation
	ctx context.Context
	Fault
	leaderName, targetName string
}

// faultHandlers plays each kind to its end.
var faultHandlers = map[string]func(s *activeFault){
	RollingRestart: (*activeFault).rollingRestart, ControllerCrash: (*activeFault).crashControllers,
	ControllerIsolated: (*activeFault).partitionController, ControllerPartition: (*activeFault).partitionController, ControllerPairPartition: (*activeFault).partitionController,
	OutboundLost: (*activeFault).loseOutbound, ControllerOutboundLost: (*activeFault).loseControllerOutbound, InboundLost: (*activeFault).loseInbound, MachineHang: (*activeFault).hangPicked,
	MachineCrash: (*activeFault).crashMachines, WorkerRestart: (*activeFault).restartWorkers, ZonePartition: (*activeFault).partitionZone, ProcessPause: (*activeFault).pauseProcess,
	StateOutage: (*activeFault).stateOutage, SlowState: (*activeFault).slowState, StateRefused: (*activeFault).refuseState, CancellationWave: (*activeFault).cancellationWave,
	DuplicateHeartbeats: (*activeFault).duplicateHeartbeats,
	LateWrites:          func(s *activeFault) { s.during(func(by int) { s.withLock(func() { s.lateWriteFaults += by }) }) },
	DelayedCommands:     func(s *activeFault) { s.during(func(by int) { s.withLock(func() { s.delayedCommandFaults += by }) }) },
	CancelAtEnd:         func(s *activeFault) { s.during(func(by int) { s.cancelAtEndFaults.Add(int32(by)) }) },
	InvalidRequests:     func(s *activeFault) { s.during(func(by int) { s.invalidRequestFaults.Add(int32(by)) }) },
}

// during changes something by one for as long as the trouble lasts.
func (active *activeFault) during(change func(by int)) {
	change(1)
	active.sleep(active.ctx, active.For)
	change(-1)
}

// cutLinks cuts ways, each from one to another, for as long as the trouble lasts.
func (active *activeFault) cutLinks(links [][2]string) {
	active.during(func(by int) {
		for _, link := range links {
			active.partitions.setCut(link[0], link[1], by > 0)
		}
	})
}

// bothDirections are the ways between one and others.
func bothDirections(one string, others []string) (links [][2]string) {
	for _, other := range others {
		if other != one {
			links = append(links, [2]string{one, other}, [2]string{other, one})
		}
	}
	return links
}

// crashController ends a controller, which is back after the trouble's time.
func (active *activeFault) crashController(name string) {
	active.stopController(name)
	active.actors.Go(func() {
		if active.sleep(active.ctx, active.For) {
			active.startController(active.ctx, name)
		}
	})
}

func (active *activeFault) rollingRestart() {
	for _, name := range controllerNames {
		active.crashController(name)
		if !active.sleep(active.ctx, rollInterval) {
			return
		}
	}
}

func (active *activeFault) crashControllers() {
	for i := range min(active.Count, 3) {
		active.crashController(controllerNames[(slices.Index(controllerNames, active.targetName)+i)%3])
	}
}

// partitionController cuts a controller off from others: from the state service and the other controllers, from everything, or from
// one other controller.
func (active *activeFault) partitionController() {
	others := append([]string{"state"}, controllerNames...)
	switch active.Kind {
	case ControllerPairPartition:
		others = []string{controllerNames[(slices.Index(controllerNames, active.targetName)+2)%3]}
	case ControllerPartition:
		others = append(others, active.markFaulted(func(*simulatedMachine) bool { return true })...)
	}
	active.cutLinks(bothDirections(active.targetName, others))
}

// markFaulted notes that a trouble meets some machines, and gives their names.
func (active *activeFault) markFaulted(which func(machine *simulatedMachine) bool) (names []string) {
	active.withLock(func() {
		for _, machine := range active.machines {
			machine.lastFaultAt = time.Now()
			if which(machine) {
				names = append(names, machine.Name)
			}
		}
	})
	return names
}

func (active *activeFault) loseOutbound() {
	deaf := active.pickMachines(active.Count)
	var links [][2]string
	active.withLock(func() {
		for _, machine := range deaf {
			machine.outboundLostSince = time.Now()
			for _, name := range controllerNames {
				links = append(links, [2]string{name, machine.Name})
			}
		}
	})
	active.cutLinks(links)
	active.withLock(func() {
		for _, machine := range deaf {
			if active.machines[machine.Address] == machine {
				active.checker.machineReachable(machine.outboundLostSince)
			}
			machine.outboundLostSince = time.Time{}
		}
	})
}

func (active *activeFault) loseControllerOutbound() {
	var links [][2]string
	for _, name := range active.markFaulted(func(*simulatedMachine) bool { return true }) {
		links = append(links, [2]string{active.targetName, name})
	}
	active.cutLinks(links)
}

func (active *activeFault) duplicateHeartbeats() {
	active.during(func(by int) { active.withLock(func() { active.duplicatingHeartbeats = by > 0 }) })
}

func (active *activeFault) crashMachines() {
	for _, machine := range active.pickMachines(active.Count) {
		active.withLock(func() { machine.dead = true })
		machine.stop()
		machine.worker.Restart()
	}
}

func (active *activeFault) restartWorkers() {
	for _, machine := range active.pickMachines(active.Count) {
		machine.worker.Restart()
	}
}

func (active *activeFault) stateOutage() { active.during(func(by int) { active.state.Outage(by > 0) }) }

// pauseProcess freezes a controller; what comes for it waits at its door.
func (active *activeFault) pauseProcess() {
	var links [][2]string
	for _, other := range controllerNames {
		if other != active.targetName {
			links = append(links, [2]string{other, active.targetName})
		}
	}
	active.setPaused(active.targetName, true)
	active.cutLinks(links)
	active.setPaused(active.targetName, false)
}

func (active *activeFault) slowState() {
	who := active.targetName
	if active.Count != 1 {
		who = ""
	}
	active.during(func(by int) { active.withLock(func() { active.slowStateFaults[who] += by }) })
}

func (active *activeFault) hangPicked() {
	active.hangMachines(active.ctx, active.pickMachines(active.Count), active.For)
}

func (active *activeFault) loseInbound() {
	mute := active.pickMachines(active.Count)
	if active.Follower {
		mute = slices.DeleteFunc(active.pickMachines(len(active.machines)), func(machine *simulatedMachine) bool {
			return machine.Zone != active.controllers[active.leaderName].zone
		})
	}
	active.during(func(by int) {
		active.withLock(func() {
			for _, machine := range mute {
				machine.inboundLossCount += by
				machine.lastFaultAt = time.Now()
			}
		})
	})
}

// cancellationWave has the users who wait at this moment cancel.
func (active *activeFault) cancellationWave() {
	active.withLock(func() { active.hungByWave = 0 })
	for {
		select {
		case active.cancellations <- active.Fault:
		default:
			return
		}
	}
}

func (active *activeFault) refuseState() {
	how := refusalUnavailable
	if active.Unanswered {
		how = refusalUnanswered
	}
	active.during(func(by int) {
		active.withLock(func() {
			active.stateRefusals[active.targetName] = ""
			if by > 0 {
				active.stateRefusals[active.targetName] = how
			}
		})
	})
}

func (active *activeFault) partitionZone() {
	zone := active.controllers[active.targetName].zone
	inside := active.markFaulted(func(machine *simulatedMachine) bool { return machine.Zone == zone })
	outside := active.markFaulted(func(machine *simulatedMachine) bool { return machine.Zone != zone })
	outside = append(outside, "state", "cloud")
	for _, name := range controllerNames {
		if active.controllers[name].zone == zone {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	var links [][2]string
	for _, one := range inside {
		links = append(links, bothDirections(one, outside)...)
	}
	active.cutLinks(links)
}

// Scenarios are the troubles that operators look at when a day is over, each alone and in each role, and in
// the middle of an election.
func Scenarios() map[string][]Fault {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	return map[string][]Fault{
		"quiet":                       nil,
		"half-deaf machines":          {{At: at(20), For: at(70), Kind: OutboundLost, Count: 3}},
		"half-deaf, new leader":       {{At: at(20), For: at(70), Kind: OutboundLost, Count: 3}, {At: at(40), For: at(3), Kind: ControllerCrash, Count: 1}},
		"a leader no worker hears":    {{At: at(20), For: at(40), Kind: ControllerOutboundLost}},
		"late copies":                 {{At: at(15), For: at(80), Kind: DuplicateHeartbeats}, {At: at(40), Kind: MachineCrash, Count: 2}},
		"late copies, new leaders":    {{At: at(15), For: at(80), Kind: DuplicateHeartbeats}, {At: at(30), Kind: MachineCrash, Count: 2}, {At: at(33), For: at(3), Kind: ControllerCrash, Count: 1}, {At: at(60), For: at(1), Kind: ControllerCrash, Count: 3}},
		"lone leader, 1 s":            {{At: at(20), For: at(1), Kind: ControllerIsolated}},
		"lone leader, a lease":        {{At: at(20), For: at(10), Kind: ControllerIsolated}},
		"lone leader, a minute":       {{At: at(20), For: at(60), Kind: ControllerIsolated}},
		"lone follower, a minute":     {{At: at(20), For: at(60), Kind: ControllerIsolated, Follower: true}},
		"all back at once":            {{At: at(30), For: at(0.1), Kind: ControllerCrash, Count: 3}},
		"back within an election":     {{At: at(30), For: at(0.3), Kind: ControllerCrash, Count: 1}, {At: at(30.9), For: at(0.2), Kind: ControllerCrash, Count: 2}, {At: at(31.6), For: at(0.1), Kind: ControllerCrash, Count: 3}},
		"machines back at once":       {{At: at(20), Kind: WorkerRestart, Count: 4}, {At: at(25), Kind: WorkerRestart, Count: 4}, {At: at(40), For: at(0.5), Kind: ControllerCrash, Count: 1}},
		"outage and a crash of all":   {{At: at(20), For: at(40), Kind: StateOutage}, {At: at(35), For: at(0.7), Kind: ControllerCrash, Count: 3}, {At: at(30), For: at(60), Kind: OutboundLost, Count: 2}},
		"cut zone, copies, half-deaf": {{At: at(20), For: at(40), Kind: ZonePartition}, {At: at(15), For: at(60), Kind: DuplicateHeartbeats}, {At: at(25), For: at(60), Kind: OutboundLost, Count: 2}},
	}
}
