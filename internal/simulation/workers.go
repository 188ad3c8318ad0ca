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
