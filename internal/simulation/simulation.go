// Package simulation runs a whole region in one process and checks the scheduler's invariants while faults are
// injected.
//
// The controllers are the production ones, as `serve` runs them. The state service, the cloud and the workers are
// simulated (package fake), as are the users, the operators who change the configuration, and the network, on which
// each direction between two hosts can be cut separately. Disks, the controllers' HTTP listeners, data transfer between
// machines and processor load are not simulated.
//
// A simulation runs on the time package's clock: in tests within testing/synctest, where a scenario of minutes takes a
// second, otherwise in real time. The same seed produces the same machines, jobs and faults. The Go scheduler
// determines the order of simultaneous events, so the results of one seed may differ slightly.
package simulation

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/internal/fake"
	"switchferry/internal/sleep"
)

// simulation is one run of a scenario.
type simulation struct {
	*Scenario
	ctx        context.Context
	clock      clockwork.Clock
	partitions *linkTable
	network    *controllerNetwork
	state      *fake.State
	cloud      *fake.Cloud
	// rng selects the machines that faults affect; mu guards it.
	rng     *rand.Rand
	checker *invariantChecker
	// operators is nil in scenarios without changes of the configuration.
	operators *operators
	// actors tracks the goroutines that Run waits for.
	actors sync.WaitGroup
	// cancellations passes a CancellationWave fault to the users who wait for the next poll.
	cancellations chan Fault
	// cancelAtEndFaults and invalidRequestFaults count the active faults of these kinds.
	cancelAtEndFaults, invalidRequestFaults atomic.Int32

	// mu guards the fields below and the mutable fields of processes and machines.
	mu          sync.Mutex
	controllers map[string]*controllerProcess
	// machines holds the rented machines by address.
	machines map[string]*simulatedMachine
	// duplicatingHeartbeats is set while a DuplicateHeartbeats fault is active.
	duplicatingHeartbeats bool
	// lateWriteFaults, delayedCommandFaults and slowHeartbeatFaults count the active faults of these kinds.
	lateWriteFaults, delayedCommandFaults, slowHeartbeatFaults int
	// cloudOutageFaults counts the active CloudOutage faults.
	cloudOutageFaults int
	// heldPaths holds, for each path from a controller to a machine that a HeldCommands fault interrupts, a channel that is
	// closed when the fault ends.
	heldPaths map[[2]string]chan struct{}
	// repeatedCommandFaults counts the active RepeatedCommands faults; repeatRNG selects the requests that they affect.
	repeatedCommandFaults int
	repeatRNG             *rand.Rand
	// slowStateFaults counts the active SlowState faults by controller; the empty name stands for all controllers.
	slowStateFaults map[string]int
	// pausedProcesses holds, for each paused controller, a channel that is closed when its process is resumed.
	pausedProcesses map[string]chan struct{}
	// stateRefusals holds how the state service refuses the requests of a controller: refusalUnavailable or
	// refusalUnanswered; empty while it does not.
	stateRefusals map[string]string
	// hungByWave counts the machines that were suspended since the last cancellation wave began.
	hungByWave int
}

// The simulated region.
var (
	controllerNames = []string{"n0", "n1", "n2"}
	controllerZones = []string{"east", "west", "east"}
	zoneNames       = []string{"east", "west"}
	teamNames       = []string{"one", "two"}
	machineType     = api.MachineType{Name: "m8", CPUs: 8, MemoryGB: 32, CacheGB: 50, PullGBs: 1, BootS: 10, Price: 1, SpotPrice: 0.5, Zones: zoneNames}
)

// Limits of the simulated services, which controllers know from their settings.
const (
	// stateRPS is how many requests per second the state service accepts.
	stateRPS = 400
	// stateWriteRPS is how many writes per second the state service accepts.
	stateWriteRPS = 120
	// stateValueKB is the largest value that the state service stores, in KiB.
	stateValueKB = 16
	// stateTxnOps is the largest number of operations in a transaction.
	stateTxnOps = 12
	// cloudRPS is how many requests per second the cloud accepts.
	cloudRPS = 20
)

// startupTime is the time between the start of the controllers and that of users and faults.
const startupTime = 5 * time.Second

// Run runs the scenario to its end and returns the findings. It ends early, with the findings so far, if ctx ends.
func (scenario *Scenario) Run(ctx context.Context) *Result {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	sim := newSimulation(ctx, scenario)
	sim.startRegion(ctx)
	sim.sleep(ctx, startupTime)
	start := time.Now()
	faultsEnd := sim.scheduleFaults(ctx, start)
	sim.startActors(ctx, start)
	sim.sleep(ctx, faultsEnd)
	sim.checker.faultsOver()
	sim.sleep(ctx, max(scenario.SubmitFor, faultsEnd)+scenario.WaitAfter-time.Since(start))
	result := sim.checker.evaluate()
	if sim.operators != nil {
		result.ConfigurationChanges = sim.operators.confirmedChanges
	}
	stop()
	for _, name := range controllerNames {
		sim.stopController(name)
	}
	sim.actors.Wait()
	// Delayed requests are executed even if their sender has stopped; they must not outlive the run.
	time.Sleep(maxWriteDelay)
	return result
}

// newSimulation returns a simulation of which nothing runs yet.
func newSimulation(ctx context.Context, scenario *Scenario) *simulation {
	clock := clockwork.NewRealClock()
	sim := &simulation{
		Scenario:        scenario,
		ctx:             ctx,
		clock:           clock,
		partitions:      newLinkTable(),
		state:           fake.NewState(clock),
		cloud:           fake.NewCloud(clock, []api.MachineType{machineType}, cloudRPS),
		rng:             rand.New(rand.NewPCG(scenario.Seed, 0)),
		controllers:     map[string]*controllerProcess{},
		machines:        map[string]*simulatedMachine{},
		stateRefusals:   map[string]string{},
		slowStateFaults: map[string]int{},
		pausedProcesses: map[string]chan struct{}{},
		heldPaths:       map[[2]string]chan struct{}{},
		cancellations:   make(chan Fault),
	}
	sim.repeatRNG = sim.actorRNG("repeated commands")
	sim.checker = newInvariantChecker(sim)
	if scenario.ChangeInterval > 0 {
		sim.operators = newOperators(sim)
	}
	sim.network = newControllerNetwork(sim.partitions)
	sim.state.SetLimits(fake.Limits{RPS: stateRPS, WriteRPS: stateWriteRPS, ValueKB: stateValueKB, TxnOps: stateTxnOps})
	sim.cloud.Capacity = scenario.Machines
	sim.cloud.OnRented = func(host fake.Host) {
		sim.actors.Go(func() {
			if sim.sleep(ctx, seconds(machineType.BootS)) {
				sim.startWorker(ctx, host)
			}
		})
	}
	sim.cloud.OnReturned = sim.machineReturned
	return sim
}

// startRegion starts the controllers and the machines that are rented from the beginning.
func (sim *simulation) startRegion(ctx context.Context) {
	for i, name := range controllerNames {
		sim.controllers[name] = &controllerProcess{name: name, zone: controllerZones[i]}
	}
	for _, name := range controllerNames {
		sim.startController(ctx, name)
	}
	for i := range sim.Machines {
		sim.startWorker(ctx, sim.cloud.Add(machineType.Name, zoneNames[i%len(zoneNames)], false))
	}
}

// scheduleFaults starts a goroutine for each fault that injects it at its time, counted from start. It returns the
// time, counted from start, at which the last fault ends.
func (sim *simulation) scheduleFaults(ctx context.Context, start time.Time) (end time.Duration) {
	for _, fault := range sim.Faults {
		end = max(end, fault.At+fault.For)
		if fault.Kind == RollingRestart {
			end = max(end, fault.At+fault.For+2*rollingRestartInterval)
		}
		sim.actors.Go(func() {
			if sim.sleep(ctx, fault.At-time.Since(start)) {
				sim.inject(ctx, fault)
			}
		})
	}
	return end
}

// startActors starts the users, the operators and the checks that run every second.
func (sim *simulation) startActors(ctx context.Context, start time.Time) {
	sim.actors.Go(func() { sim.submitJobs(ctx, start) })
	if sim.operators != nil {
		sim.actors.Go(func() { sim.operators.changeRepeatedly(ctx, start) })
		sim.actors.Go(func() { sim.operators.submitProbes(ctx) })
	}
	sim.actors.Go(func() {
		for sim.sleep(ctx, time.Second) {
			sim.checker.checkStarvation()
			sim.checker.checkOverdueTasks()
		}
	})
}

// sleep waits for a duration; it reports false if ctx ends first.
func (sim *simulation) sleep(ctx context.Context, duration time.Duration) bool {
	return sleep.OnRealClock(ctx, duration)
}

// actorRNG returns a random number generator for one actor, seeded with the scenario's seed and the actor's name, so
// that the numbers of an actor do not depend on what the others do.
func (sim *simulation) actorRNG(actor string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(actor))
	return rand.New(rand.NewPCG(sim.Seed, h.Sum64()))
}

// seconds converts seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// withLock runs change with sim.mu held.
func (sim *simulation) withLock(change func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	change()
}
