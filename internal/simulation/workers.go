package simulation

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"switchferry/api"
	"switchferry/internal/fake"
)

// maxHungByWave is the largest number of machines that a cancellation wave suspends.
const maxHungByWave = 8

// simulatedMachine is a rented machine with its worker. The simulation's mu guards the fields below stop.
type simulatedMachine struct {
	fake.Host
	worker *fake.Worker
	stop   context.CancelFunc

	// outboundLostSince is when the machine stopped receiving messages from controllers; zero while it receives them.
	outboundLostSince time.Time
	// dead is set once a fault ended the machine permanently.
	dead bool
	// lastFaultAt is when a fault last began or ceased to affect the machine; zero if none has.
	lastFaultAt time.Time
	// inboundLossCount, hangCount and failingCount count the active faults in which the machine's heartbeats are
	// dropped, in which it is suspended, and in which it fails tasks.
	inboundLossCount, hangCount, failingCount int
}

// healthy reports whether no fault affects the machine itself; the simulation's mu is held.
func (machine *simulatedMachine) healthy() bool {
	return !machine.dead && machine.outboundLostSince.IsZero() && machine.inboundLossCount+machine.hangCount+machine.failingCount == 0
}

// startWorker adds a machine and runs its worker until ctx ends, the machine is returned to the cloud, or a fault ends
// the machine permanently.
func (sim *simulation) startWorker(ctx context.Context, host fake.Host) {
	ctx, stop := context.WithCancel(ctx)
	machine := &simulatedMachine{Host: host, stop: stop}
	rng, failureRNG := sim.actorRNG("reports of "+host.Name), sim.actorRNG("failures of "+host.Name)
	machine.worker = fake.NewWorker(fake.WorkerOptions{Host: host, Clock: sim.clock, Controllers: controllerNames, Post: sim.heartbeatSender(machine, rng),
		HeartbeatInterval: seconds(sim.Workers.HeartbeatIntervalS), Lease: seconds(sim.Workers.LeaseS), TaskDuration: sim.checker.taskRunTime,
		OnStart: func(task string, _ uint64, _ time.Time) { sim.checker.taskStarted(task, machine) }, ImagePull: sim.imagePull(),
		OnEnd: func(task string, done bool) { sim.checker.taskEnded(task, machine, done) }, StartFailure: func(string) string { return sim.startFailure(machine, failureRNG) }})
	sim.mu.Lock()
	sim.machines[host.Address] = machine
	sim.mu.Unlock()
	sim.actors.Go(func() { machine.worker.Run(ctx) })
}

// imagePull returns the function from which a worker gets the image that a task needs and the duration of its pull; nil
// if tasks need no images.
func (sim *simulation) imagePull() func(task string) (string, time.Duration) {
	if sim.ImagePullS <= 0 {
		return nil
	}
	return func(task string) (string, time.Duration) { return sim.checker.taskImage(task), seconds(sim.ImagePullS) }
}

// heartbeatSender returns the function with which a machine's worker sends a heartbeat to a controller, over links that
// may be cut, and sometimes twice. The function returns the HTTP status code and the decoded response, or 0 if there is
// no response.
func (sim *simulation) heartbeatSender(machine *simulatedMachine, rng *rand.Rand) func(ctx context.Context, member string, heartbeat *api.Heartbeat) (int, any) {
	return func(ctx context.Context, member string, heartbeat *api.Heartbeat) (int, any) {
		raw, err := json.Marshal(heartbeat)
		if err != nil {
			return 0, nil
		}
		sim.duplicateHeartbeat(ctx, raw, rng)
		if sim.inboundLost(machine) {
			sim.sleep(ctx, dialTimeout)
			return 0, nil
		}
		if cut, _ := sim.partitions.isCut(machine.Name, member); cut {
			<-ctx.Done()
			return 0, nil
		}
		sim.delayHeartbeat(ctx, rng)
		instance := sim.runningController(member)
		if instance == nil {
			return 0, nil
		}
		sim.waitWhilePaused(member)
		code, body := instance.HandleHeartbeat(ctx, heartbeat, raw)
		sim.waitWhilePaused(member)
		sim.delayHeartbeat(ctx, rng)
		if ctx.Err() != nil {
			return 0, nil
		}
		body = decodeForwarded(code, body)
		if cut, _ := sim.partitions.isCut(member, machine.Name); cut {
			if response, ok := body.(api.HeartbeatResponse); ok {
				sim.checker.recordLostCommands(machine, response.Commands)
			}
			<-ctx.Done()
			return 0, nil
		}
		return code, body
	}
}

// delayHeartbeat delays half of the heartbeats, and half of the responses to them, while a SlowHeartbeats fault is
// active.
func (sim *simulation) delayHeartbeat(ctx context.Context, rng *rand.Rand) {
	sim.mu.Lock()
	slow := sim.slowHeartbeatFaults > 0
	sim.mu.Unlock()
	if slow && rng.IntN(2) == 0 {
		sim.sleep(ctx, time.Duration(rng.Int64N(int64(maxHeartbeatDelay))))
	}
}

// startFailure returns the cause for which a task fails immediately after its start, empty if it does not. The worker's
// lock guards rng.
func (sim *simulation) startFailure(machine *simulatedMachine, rng *rand.Rand) string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if machine.failingCount > 0 && rng.IntN(2) == 0 {
		return api.CauseError
	}
	return ""
}

// duplicateHeartbeat delivers one heartbeat in five a second time while a DuplicateHeartbeats fault is active: to a
// random controller, with a delay of two seconds up to two seconds and three leases.
func (sim *simulation) duplicateHeartbeat(ctx context.Context, raw []byte, rng *rand.Rand) {
	sim.mu.Lock()
	duplicating := sim.duplicatingHeartbeats
	sim.mu.Unlock()
	if !duplicating || rng.IntN(5) != 0 {
		return
	}
	delay := 2*time.Second + time.Duration(rng.Int64N(int64(3*seconds(sim.Workers.LeaseS))))
	member := controllerNames[rng.IntN(3)]
	sim.actors.Go(func() {
		time.Sleep(delay)
		instance := sim.runningController(member)
		var heartbeat api.Heartbeat
		if instance != nil && json.Unmarshal(raw, &heartbeat) == nil {
			instance.HandleHeartbeat(context.WithoutCancel(ctx), &heartbeat, raw)
		}
	})
}

// inboundLost reports whether a fault drops the machine's heartbeats.
func (sim *simulation) inboundLost(machine *simulatedMachine) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return machine.inboundLossCount > 0
}

// decodeForwarded decodes the body of a response that one controller forwarded from another, which is still encoded.
// Other bodies are returned unchanged.
func decodeForwarded(code int, body any) any {
	raw, ok := body.(json.RawMessage)
	if !ok {
		return body
	}
	var response api.HeartbeatResponse
	if code == http.StatusOK && json.Unmarshal(raw, &response) == nil {
		return response
	}
	var redirect api.Redirect
	if json.Unmarshal(raw, &redirect) == nil {
		return redirect
	}
	return body
}

// machineReturned removes a machine that was returned to the cloud and stops its worker.
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

// pickHealthyMachines selects up to count healthy machines at random and records that a fault affects them now.
func (sim *simulation) pickHealthyMachines(count int) (out []*simulatedMachine) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, machine := range sim.machines {
		if machine.healthy() {
			out = append(out, machine)
		}
	}
	slices.SortFunc(out, func(a, b *simulatedMachine) int { return strings.Compare(a.Name, b.Name) })
	sim.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	out = out[:min(count, len(out))]
	for _, machine := range out {
		machine.lastFaultAt = time.Now()
	}
	return out
}

// hangMachines suspends machines for a duration. They execute commands that reach them only afterwards.
func (sim *simulation) hangMachines(ctx context.Context, machines []*simulatedMachine, duration time.Duration) {
	set := func(by int) {
		sim.withLock(func() {
			for _, machine := range machines {
				machine.hangCount += by
				machine.lastFaultAt = time.Now()
			}
		})
		for _, machine := range machines {
			machine.worker.Suspend(by > 0)
		}
	}
	set(1)
	sim.sleep(ctx, duration)
	set(-1)
}

// hangMachineOf suspends a machine that runs a task of a job, unless none does, the machine is suspended already, or
// maxHungByWave machines were suspended since the last cancellation wave began.
func (sim *simulation) hangMachineOf(ctx context.Context, job *trackedJob, duration time.Duration) {
	machine := sim.checker.machineOf(job.ID)
	if machine == nil {
		return
	}
	sim.mu.Lock()
	suspend := sim.hungByWave < maxHungByWave && machine.hangCount == 0
	if suspend {
		sim.hungByWave++
	}
	sim.mu.Unlock()
	if suspend {
		sim.actors.Go(func() { sim.hangMachines(ctx, []*simulatedMachine{machine}, duration) })
	}
}
