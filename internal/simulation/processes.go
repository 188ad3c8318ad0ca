package simulation

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"switchferry/controller"
	"switchferry/features"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/store"
)

// controllerProcess is a controller's process, which can be started and stopped repeatedly. instance and stop are nil
// while it does not run; the simulation's mu guards them.
type controllerProcess struct {
	name, zone string
	instance   *controller.Controller
	stop       context.CancelFunc
}

// startController starts a controller's process unless it runs already or ctx has ended.
func (sim *simulation) startController(ctx context.Context, name string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	process := sim.controllers[name]
	if process.instance != nil || ctx.Err() != nil {
		return
	}
	ctx, process.stop = context.WithCancel(ctx)
	process.instance = controller.New(ctx, sim.controllerSettings(process), policy.Default(), &pausableClock{sim.clock, sim, name}, &controllerTransport{sim: sim, from: name, rng: sim.actorRNG("calls of " + name)})
	if sim.operators != nil {
		process.instance.Enable(&features.Features{Configuration: features.Configuration{On: true}})
	}
	process.instance.SetPeerDialer(sim.network.dialer(name))
	instance, listener := process.instance, sim.network.listen(name)
	sim.actors.Go(func() { instance.Run(listener) })
}

// controllerSettings returns a controller's settings, as its settings file and the deploy file would give them; sim.mu
// is held.
func (sim *simulation) controllerSettings(process *controllerProcess) *settings.Settings {
	set := &settings.Settings{Member: process.name, Zone: process.zone}
	set.External = settings.External{State: "state:1", Cloud: "cloud:1"}
	set.Facts = settings.Facts{ControllerCount: len(controllerNames), Zones: slices.Clone(zoneNames), Workers: sim.Workers,
		Teams: []settings.Team{{Name: teamNames[0], CPUsMax: sim.teamLimit()}, {Name: teamNames[1], CPUs: min(sim.teamLimit(), float64(sim.Machines)), CPUsMax: sim.teamLimit()}},
		State: settings.StateLimits{RPS: stateRPS, WriteRPS: stateWriteRPS, ValueKB: stateValueKB, TxnOps: stateTxnOps}, Cloud: settings.CloudLimits{RPS: cloudRPS, ListLagS: 1}}
	for _, member := range controllerNames {
		if member != process.name {
			set.Peers = append(set.Peers, settings.Peer{Member: member, Zone: sim.controllers[member].zone, Address: member})
		}
	}
	return set
}

// stopController stops a controller's process, if it runs, and resets its connections.
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

// runningController returns the instance of a controller, nil while it does not run.
func (sim *simulation) runningController(name string) *controller.Controller {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.controllers[name].instance
}

// leader returns the name of the leader according to the state service, or of the first controller if there is no
// leader.
func (sim *simulation) leader() string {
	var record store.LeaderRecord
	if json.Unmarshal(sim.state.Get(store.LeaderKey), &record) != nil || record.Member == "" {
		return controllerNames[0]
	}
	return record.Member
}

// setPaused pauses a controller's process or resumes it.
func (sim *simulation) setPaused(name string, paused bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	switch resumed := sim.pausedProcesses[name]; {
	case paused && resumed == nil:
		sim.pausedProcesses[name] = make(chan struct{})
	case !paused && resumed != nil:
		close(resumed)
		delete(sim.pausedProcesses, name)
	}
}

// waitWhilePaused blocks until a controller's process is not paused.
func (sim *simulation) waitWhilePaused(name string) {
	for {
		sim.mu.Lock()
		resumed := sim.pausedProcesses[name]
		sim.mu.Unlock()
		if resumed == nil {
			return
		}
		<-resumed
	}
}

// pausableClock is the clock of a controller's process. While the process is paused, time advances, but the channels
// that After returns do not receive.
type pausableClock struct {
	clockwork.Clock
	sim  *simulation
	name string
}

// After returns a channel that receives the time once the duration has passed and the process is not paused.
func (clock *pausableClock) After(duration time.Duration) <-chan time.Time {
	if !slices.ContainsFunc(clock.sim.Faults, func(fault Fault) bool { return fault.Kind == ProcessPause }) {
		return clock.Clock.After(duration)
	}
	out := make(chan time.Time, 1)
	clock.AfterFunc(duration, func() {
		clock.sim.waitWhilePaused(clock.name)
		out <- clock.Now()
	})
	return out
}

// Sleep blocks until the duration has passed and the process is not paused.
func (clock *pausableClock) Sleep(duration time.Duration) { <-clock.After(duration) }
