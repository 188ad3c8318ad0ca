package simulation

import (
	"context"
	"fmt"
	"slices"
	"time"
)

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
