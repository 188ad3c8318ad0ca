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
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/api"
	"switchferry/internal/fake"
)

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

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// withLock changes what counts troubles.
func (sim *simulation) withLock(change func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	change()
}
