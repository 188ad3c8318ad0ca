package simulation

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// inject begins a fault and returns when it ends. It panics if the kind of the fault is unknown.
func (sim *simulation) inject(ctx context.Context, fault Fault) {
	leader := sim.leader()
	target := leader
	if fault.Follower {
		target = controllerNames[(slices.Index(controllerNames, leader)+1)%3]
	}
	handler, ok := faultHandlers[fault.Kind]
	if !ok {
		panic(fmt.Sprintf("no fault of kind %q", fault.Kind))
	}
	handler(&activeFault{sim, ctx, fault, leader, target})
}

// activeFault is a fault that is being injected. leaderName is the controller that led when the fault began, targetName
// the controller that it affects.
type activeFault struct {
	*simulation
	ctx context.Context
	Fault
	leaderName, targetName string
}

// faultHandlers holds, for each kind, the function that injects a fault. It returns when the fault ends, except that
// controllers which it stopped are started again in the background.
var faultHandlers = map[string]func(s *activeFault){
	RollingRestart: (*activeFault).rollingRestart, ControllerCrash: (*activeFault).crashControllers,
	ControllerIsolated: (*activeFault).partitionController, ControllerPartition: (*activeFault).partitionController, ControllerPairPartition: (*activeFault).partitionController, ControllerSeparated: (*activeFault).partitionController,
	OutboundLost: (*activeFault).loseOutbound, ControllerOutboundLost: (*activeFault).loseControllerOutbound, InboundLost: (*activeFault).loseInbound, MachineHang: (*activeFault).hangRandomMachines,
	MachineCrash: (*activeFault).crashMachines, WorkerRestart: (*activeFault).restartWorkers, ZonePartition: (*activeFault).partitionZone, ProcessPause: (*activeFault).pauseProcess,
	StateOutage: (*activeFault).stateOutage, SlowState: (*activeFault).slowState, StateRefused: (*activeFault).refuseState, CancellationWave: (*activeFault).cancellationWave,
	DuplicateHeartbeats: (*activeFault).duplicateHeartbeats,
	LateWrites: func(s *activeFault) {
		s.adjustWhileActive(func(by int) { s.withLock(func() { s.lateWriteFaults += by }) })
	},
	DelayedCommands: func(s *activeFault) {
		s.adjustWhileActive(func(by int) { s.withLock(func() { s.delayedCommandFaults += by }) })
	},
	HeldCommands: (*activeFault).holdCommands,
	CloudOutage: func(s *activeFault) {
		s.adjustWhileActive(func(by int) { s.withLock(func() { s.cloudOutageFaults += by }) })
	},
	RepeatedCommands: func(s *activeFault) {
		s.adjustWhileActive(func(by int) { s.withLock(func() { s.repeatedCommandFaults += by }) })
	},
	CancelAtEnd: func(s *activeFault) { s.adjustWhileActive(func(by int) { s.cancelAtEndFaults.Add(int32(by)) }) },
	SlowHeartbeats: func(s *activeFault) {
		s.adjustWhileActive(func(by int) { s.withLock(func() { s.slowHeartbeatFaults += by }) })
	},
	LeaderLinkFlapping: (*activeFault).flapLeaderLinks,
	FailingMachines:    (*activeFault).failMachines,
	InvalidRequests:    func(s *activeFault) { s.adjustWhileActive(func(by int) { s.invalidRequestFaults.Add(int32(by)) }) },
}

// adjustWhileActive calls change with 1 when the fault begins and with -1 when it ends.
func (active *activeFault) adjustWhileActive(change func(by int)) {
	change(1)
	active.sleep(active.ctx, active.For)
	change(-1)
}

// cutLinks cuts links, each from one host to another, for the duration of the fault.
func (active *activeFault) cutLinks(links [][2]string) { active.cutLinksFor(links, active.For) }

// cutLinksFor cuts links, each from one host to another, for a duration.
func (active *activeFault) cutLinksFor(links [][2]string, duration time.Duration) {
	set := func(cut bool) {
		for _, link := range links {
			active.partitions.setCut(link[0], link[1], cut)
		}
	}
	set(true)
	active.sleep(active.ctx, duration)
	set(false)
}

// bothDirections returns the links between one host and each of the others, in both directions.
func bothDirections(one string, others []string) (links [][2]string) {
	for _, other := range others {
		if other != one {
			links = append(links, [2]string{one, other}, [2]string{other, one})
		}
	}
	return links
}

// crashController stops a controller's process and starts it again, in the background, after the fault's duration.
func (active *activeFault) crashController(name string) {
	active.stopController(name)
	active.actors.Go(func() {
		if active.sleep(active.ctx, active.For) {
			active.startController(active.ctx, name)
		}
	})
}

// rollingRestart restarts the controllers one after the other, one each rollingRestartInterval.
func (active *activeFault) rollingRestart() {
	for _, name := range controllerNames {
		active.crashController(name)
		if !active.sleep(active.ctx, rollingRestartInterval) {
			return
		}
	}
}

// crashControllers crashes Count controllers, beginning with the target.
func (active *activeFault) crashControllers() {
	for i := range min(active.Count, 3) {
		active.crashController(controllerNames[(slices.Index(controllerNames, active.targetName)+i)%3])
	}
}

// partitionController cuts the target off from the state service and the other controllers (ControllerIsolated), from
// all of these and the machines (ControllerPartition), from the other controllers (ControllerSeparated), or from one of
// them (ControllerPairPartition).
func (active *activeFault) partitionController() {
	others := append([]string{"state"}, controllerNames...)
	switch active.Kind {
	case ControllerSeparated:
		others = controllerNames
	case ControllerPairPartition:
		others = []string{controllerNames[(slices.Index(controllerNames, active.targetName)+2)%3]}
	case ControllerPartition:
		others = append(others, active.markFaulted(func(*simulatedMachine) bool { return true })...)
	}
	active.cutLinks(bothDirections(active.targetName, others))
}

// flapLeaderLinks repeatedly cuts the leader off from the other controllers, first in both directions, then only in the
// direction from the leader.
func (active *activeFault) flapLeaderLinks() {
	end := time.Now().Add(active.For)
	links := bothDirections(active.leaderName, controllerNames)
	fromLeader := slices.DeleteFunc(slices.Clone(links), func(link [2]string) bool { return link[0] != active.leaderName })
	for time.Now().Before(end) {
		active.cutLinksFor(links, flapCutBoth)
		if !active.sleep(active.ctx, flapConnected) {
			return
		}
		active.cutLinksFor(fromLeader, flapCutFromLeader)
		if !active.sleep(active.ctx, flapConnected) {
			return
		}
	}
}

// markFaulted records on every machine that a fault affected it now, and returns the names of the machines that which
// selects.
func (active *activeFault) markFaulted(selects func(machine *simulatedMachine) bool) (names []string) {
	active.withLock(func() {
		for _, machine := range active.machines {
			machine.lastFaultAt = time.Now()
			if selects(machine) {
				names = append(names, machine.Name)
			}
		}
	})
	return names
}

// loseOutbound cuts the links from all controllers to Count machines, and records for how long these received nothing.
func (active *activeFault) loseOutbound() {
	unreachable := active.pickHealthyMachines(active.Count)
	var links [][2]string
	active.withLock(func() {
		for _, machine := range unreachable {
			machine.outboundLostSince = time.Now()
			for _, name := range controllerNames {
				links = append(links, [2]string{name, machine.Name})
			}
		}
	})
	active.cutLinks(links)
	active.withLock(func() {
		for _, machine := range unreachable {
			if active.machines[machine.Address] == machine {
				active.checker.machineReachableAgain(machine.outboundLostSince)
			}
			machine.outboundLostSince = time.Time{}
		}
	})
}

// holdCommands interrupts the path between the target and Count machines. Commands that the target sends meanwhile are
// executed when the fault ends.
func (active *activeFault) holdCommands() {
	var links, inbound [][2]string
	for _, machine := range active.pickHealthyMachines(active.Count) {
		links = append(links, [2]string{active.targetName, machine.Name})
		inbound = append(inbound, [2]string{machine.Name, active.targetName})
	}
	healed := make(chan struct{})
	hold := func(change func(link [2]string)) {
		active.withLock(func() {
			for _, link := range links {
				change(link)
			}
		})
	}
	hold(func(link [2]string) { active.heldPaths[link] = healed })
	active.cutLinks(inbound)
	hold(func(link [2]string) {
		if active.heldPaths[link] == healed {
			delete(active.heldPaths, link)
		}
	})
	close(healed)
}

// loseControllerOutbound cuts the links from one controller to all machines.
func (active *activeFault) loseControllerOutbound() {
	var links [][2]string
	for _, name := range active.markFaulted(func(*simulatedMachine) bool { return true }) {
		links = append(links, [2]string{active.targetName, name})
	}
	active.cutLinks(links)
}

// duplicateHeartbeats has some heartbeats delivered a second time.
func (active *activeFault) duplicateHeartbeats() {
	active.adjustWhileActive(func(by int) { active.withLock(func() { active.duplicatingHeartbeats = by > 0 }) })
}

// crashMachines ends Count machines permanently, with their tasks.
func (active *activeFault) crashMachines() {
	for _, machine := range active.pickHealthyMachines(active.Count) {
		active.withLock(func() { machine.dead = true })
		machine.stop()
		machine.worker.Restart()
	}
}

// restartWorkers restarts the workers of Count machines without a delay, which ends all their tasks.
func (active *activeFault) restartWorkers() {
	for _, machine := range active.pickHealthyMachines(active.Count) {
		machine.worker.Restart()
	}
}

// stateOutage makes the state service unavailable to all controllers.
func (active *activeFault) stateOutage() {
	active.adjustWhileActive(func(by int) { active.state.SetDown(by > 0) })
}

// pauseProcess pauses the target's process. Messages from other controllers are delivered to it afterwards.
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

// slowState makes the state service answer the target late if Count is 1, and all controllers otherwise.
func (active *activeFault) slowState() {
	controllerName := active.targetName
	if active.Count != 1 {
		controllerName = ""
	}
	active.adjustWhileActive(func(by int) { active.withLock(func() { active.slowStateFaults[controllerName] += by }) })
}

// hangRandomMachines suspends Count random machines.
func (active *activeFault) hangRandomMachines() {
	active.hangMachines(active.ctx, active.pickHealthyMachines(active.Count), active.For)
}

// failMachines makes Count machines fail half of the tasks that they start.
func (active *activeFault) failMachines() {
	failing := active.pickHealthyMachines(active.Count)
	active.adjustWhileActive(func(by int) {
		active.withLock(func() {
			for _, machine := range failing {
				machine.failingCount += by
				machine.lastFaultAt = time.Now()
			}
		})
	})
}

// loseInbound drops the heartbeats of Count machines, or with Follower of all healthy machines in the leader's zone.
func (active *activeFault) loseInbound() {
	affected := active.pickHealthyMachines(active.Count)
	if active.Follower {
		affected = slices.DeleteFunc(active.pickHealthyMachines(len(active.machines)), func(machine *simulatedMachine) bool {
			return machine.Zone != active.controllers[active.leaderName].zone
		})
	}
	active.adjustWhileActive(func(by int) {
		active.withLock(func() {
			for _, machine := range affected {
				machine.inboundLossCount += by
				machine.lastFaultAt = time.Now()
			}
		})
	})
}

// cancellationWave passes the fault to every user who waits for the next poll at this moment.
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

// refuseState makes the state service answer the target with 503 or, with Unanswered, not at all.
func (active *activeFault) refuseState() {
	mode := refusalUnavailable
	if active.Unanswered {
		mode = refusalUnanswered
	}
	active.adjustWhileActive(func(by int) {
		active.withLock(func() {
			active.stateRefusals[active.targetName] = ""
			if by > 0 {
				active.stateRefusals[active.targetName] = mode
			}
		})
	})
}

// partitionZone cuts the target's zone off from the other zone, the state service and the cloud, in both directions.
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
