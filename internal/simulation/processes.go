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

// controllerProcess is a controller's life; node is nil while it has none.
type controllerProcess struct {
	name, zone string
	instance   *controller.Controller
	stop       context.CancelFunc
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
