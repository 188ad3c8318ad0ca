package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"switchferry/internal/cluster"
	"switchferry/internal/sleep"
)

// Strengths of faults.
const (
	// maxStateDelay is the maximum delay that SlowState adds to a request.
	maxStateDelay = 1200 * time.Millisecond
	// lateAnswerShare is the share of answers that LateAnswers delays.
	lateAnswerShare = 0.15
	// lostAnswerShare is the share of answers to transactions that LostAnswers drops.
	lostAnswerShare = 0.3
	// lateWriteShare is the share of transactions that LateWrites delays.
	lateWriteShare = 0.2
	// messageShare is the share of messages affected by LostHeartbeats, RepeatedHeartbeats, LateCommands and
	// RepeatedCommands.
	messageShare = 0.25
	// affectedWorkersOneIn is n if a fault of workers affects about one worker in n.
	affectedWorkersOneIn = 5
	// endedWorkersOneIn is n if FailedWorkers and PreemptedWorkers end about one worker in n.
	endedWorkersOneIn = 10
	// slowMessageShare is the share of messages that SlowHeartbeats and SlowCommands delay.
	slowMessageShare = 0.5
	// failingStartShare is the share of task starts that FailingStarts makes fail.
	failingStartShare = 0.3
	// maxPeerDelay is the maximum delay that SlowPeers adds to a message.
	maxPeerDelay = 900 * time.Millisecond
	// flapCut is how long FlappingPeers cuts both directions.
	flapCut = 2500 * time.Millisecond
	// flapOpen is how long FlappingPeers restores the connection between two cuts.
	flapOpen = 700 * time.Millisecond
	// flapRepliesCut is how long FlappingPeers cuts the replies: short enough that, after flapCut and flapOpen, a
	// leader still counts as reachable.
	flapRepliesCut = 1800 * time.Millisecond
	// seriesInterval is the time between a restart by KillSeries and its next kill.
	seriesInterval = 1500 * time.Millisecond
	// seriesDowntime is how long a controller killed by KillSeries stays down.
	seriesDowntime = 300 * time.Millisecond
	// heldWithState and heldInOutage are how long HeldCommands interrupts the path to the same workers before the state
	// service stops, and afterwards. A start of the first spell is held for longer than its cancellation allows.
	heldWithState = 14 * time.Second
	heldInOutage  = (cancelDeadlineS + 1) * time.Second
	// heldWorkersOneIn is n if HeldCommands affects about one worker in n.
	heldWorkersOneIn = 2
	// maxCancelWaveJobs is the maximum number of jobs that CancelWave cancels.
	maxCancelWaveJobs = 12
)

// injector injects the faults of a schedule. Overlapping faults are combined.
type injector struct {
	cluster *cluster.Cluster
	program string
	users   *users

	// mu guards active, which has the current connection and message faults with the index of the controller that each
	// affects.
	mu     sync.Mutex
	active map[*Fault]int
}

func newInjector(run *cluster.Cluster, program string, users *users) *injector {
	return &injector{cluster: run, program: program, users: users, active: map[*Fault]int{}}
}

// run injects the faults of a schedule and returns when all have ended or ctx ends. All faults are removed by then, but
// workers that were ended stay ended.
func (in *injector) run(ctx context.Context, faults []Fault) {
	began := time.Now()
	var running sync.WaitGroup
	for i := range faults {
		if !sleep.OnRealClock(ctx, time.Until(began.Add(faults[i].At))) {
			break
		}
		running.Go(func() { in.runFault(ctx, &faults[i]) })
	}
	running.Wait()
	in.removeFaults()
}

// removeFaults removes all faults and starts the controllers that are not running.
func (in *injector) removeFaults() {
	in.mu.Lock()
	clear(in.active)
	in.mu.Unlock()
	in.apply()
	for _, controller := range in.cluster.Controllers {
		controller.Resume()
		_ = controller.Start(in.program) // It fails if the controller is running.
	}
	for _, worker := range in.cluster.Workers() {
		worker.BlockMessages(false, false)
		worker.Suspend(false)
	}
}

// runFault injects one fault and removes it at its end.
func (in *injector) runFault(ctx context.Context, fault *Fault) {
	target := in.target(fault)
	switch fault.Kind {
	case Kill:
		in.kill(ctx, []*cluster.Controller{in.cluster.Controllers[target]}, fault.For)
	case KillAll:
		in.kill(ctx, in.cluster.Controllers, fault.For)
	case KillSeries:
		in.killSeries(ctx, fault)
	case Pause:
		in.cluster.Controllers[target].Pause()
		sleep.OnRealClock(ctx, fault.For)
		in.cluster.Controllers[target].Resume()
	case OutboundLostWorkers, InboundLostWorkers, RestartedWorkers, HungWorkers:
		in.disturbWorkers(ctx, fault)
	case HeldCommands:
		in.holdCommands(ctx, fault)
	case FailedWorkers, PreemptedWorkers:
		in.endWorkers(ctx, fault)
	case FlappingPeers:
		in.flap(ctx, fault, target)
	case CancelWave:
		in.users.cancelMany(ctx, maxCancelWaveJobs)
	case RefusedThenOutage:
		half := *fault
		half.Kind, half.For = Refused, fault.For/2
		in.applyFor(ctx, &half, target)
		half.Kind = Outage
		in.applyFor(ctx, &half, target)
	default:
		in.applyFor(ctx, fault, target)
	}
}

// target returns the index of the controller that a fault affects. It is random for TheLeader if no controller leads.
func (in *injector) target(fault *Fault) int {
	if fault.Target != TheLeader {
		return int(fault.Target)
	}
	if leader := in.cluster.Leader(); leader != nil {
		return slices.Index(in.cluster.Controllers, leader)
	}
	return rand.IntN(len(in.cluster.Controllers))
}

// kill kills controllers and restarts them after downtime.
func (in *injector) kill(ctx context.Context, controllers []*cluster.Controller, downtime time.Duration) {
	for _, controller := range controllers {
		controller.Kill()
	}
	sleep.OnRealClock(ctx, downtime)
	for _, controller := range controllers {
		_ = controller.Start(in.program) // It fails if another fault has started the controller.
	}
}

// killSeries kills one leader after the other.
func (in *injector) killSeries(ctx context.Context, fault *Fault) {
	for end := time.Now().Add(fault.For); time.Now().Before(end) && ctx.Err() == nil; {
		in.kill(ctx, []*cluster.Controller{in.cluster.Controllers[in.target(&Fault{Target: TheLeader})]}, seriesDowntime)
		sleep.OnRealClock(ctx, seriesInterval)
	}
}

// pickWorkers returns a random selection of at least one worker, about one in oneIn.
func (in *injector) pickWorkers(oneIn int) []*cluster.Worker {
	workers := in.cluster.Workers()
	rand.Shuffle(len(workers), func(i, j int) { workers[i], workers[j] = workers[j], workers[i] })
	return workers[:1+len(workers)/oneIn]
}

// disturbWorkers makes some workers lose messages, restart or hang.
func (in *injector) disturbWorkers(ctx context.Context, fault *Fault) {
	affected := in.pickWorkers(affectedWorkersOneIn)
	for _, worker := range affected {
		switch fault.Kind {
		case RestartedWorkers:
			worker.Restart()
		case HungWorkers:
			worker.Suspend(true)
		default:
			// BlockMessages names the directions as the worker sees them, the kinds of faults as controllers do.
			worker.BlockMessages(fault.Kind == InboundLostWorkers, fault.Kind == OutboundLostWorkers)
		}
	}
	sleep.OnRealClock(ctx, fault.For)
	for _, worker := range affected {
		worker.BlockMessages(false, false)
		worker.Suspend(false)
	}
}

// holdCommands holds the commands to some workers, and then to others, until the fault ends.
func (in *injector) holdCommands(ctx context.Context, fault *Fault) {
	for end := time.Now().Add(fault.For); time.Now().Before(end) && ctx.Err() == nil; {
		affected := in.pickWorkers(heldWorkersOneIn)
		for _, worker := range affected {
			worker.HoldCommands(true)
		}
		sleep.OnRealClock(ctx, min(heldWithState, time.Until(end)))
		in.applyFor(ctx, &Fault{Kind: Outage, For: min(heldInOutage, time.Until(end))}, 0)
		for _, worker := range affected {
			worker.HoldCommands(false)
		}
	}
}

// endWorkers ends some workers permanently, with or without a notice.
func (in *injector) endWorkers(ctx context.Context, fault *Fault) {
	ended := in.pickWorkers(endedWorkersOneIn)
	if fault.Kind == PreemptedWorkers {
		for _, worker := range ended {
			worker.AnnouncePreemption(fault.For)
		}
		sleep.OnRealClock(ctx, fault.For)
	}
	for _, worker := range ended {
		worker.Fail()
	}
}

// flap repeatedly cuts a controller off from its peers, alternately in both directions and only for its replies.
func (in *injector) flap(ctx context.Context, fault *Fault, target int) {
	for end := time.Now().Add(fault.For); time.Now().Before(end) && ctx.Err() == nil; {
		for _, phase := range []Fault{{Kind: CutFromPeers, For: flapCut}, {Kind: cutReplies, For: flapRepliesCut}} {
			in.applyFor(ctx, &phase, target)
			sleep.OnRealClock(ctx, flapOpen)
		}
	}
}

// applyFor keeps a connection or message fault active for its duration.
func (in *injector) applyFor(ctx context.Context, fault *Fault, target int) {
	in.mu.Lock()
	in.active[fault] = target
	in.mu.Unlock()
	in.apply()
	sleep.OnRealClock(ctx, fault.For)
	in.mu.Lock()
	delete(in.active, fault)
	in.mu.Unlock()
	in.apply()
}

// apply sets the faults of connections and messages to the combination of the active faults.
func (in *injector) apply() {
	in.mu.Lock()
	defer in.mu.Unlock()
	state := make([]cluster.StateFaults, len(in.cluster.Controllers))
	cutOff, repliesCut := make([]bool, len(in.cluster.Controllers)), make([]bool, len(in.cluster.Controllers))
	var messages cluster.MessageFaults
	outage := false
	peerDelay := time.Duration(0)
	for fault, target := range in.active {
		switch fault.Kind {
		case CutFromState:
			state[target].Silent = true
		case CutFromPeers:
			cutOff[target] = true
		case cutReplies:
			repliesCut[target] = true
		case CutFromBoth:
			state[target].Silent, cutOff[target] = true, true
		case Refused:
			state[target].Refused = true
		case Outage:
			outage = true
		case LostHeartbeats:
			messages.LostHeartbeats = messageShare
		case RepeatedHeartbeats:
			messages.RepeatedHeartbeats = messageShare
		case LateCommands:
			messages.LateCommands = messageShare
		case RepeatedCommands:
			messages.RepeatedCommands = messageShare
		case SlowHeartbeats:
			messages.SlowHeartbeats = slowMessageShare
		case SlowCommands:
			messages.SlowCommands = slowMessageShare
		case FailingStarts:
			messages.FailingStarts = failingStartShare
		case SlowPeers:
			peerDelay = maxPeerDelay
		case SlowState, LateAnswers, LostAnswers, LateWrites:
			for number := range state {
				addStateFault(&state[number], fault.Kind)
			}
		}
	}
	in.cluster.State.SetDown(outage)
	in.cluster.SetMessageFaults(messages)
	in.cluster.DelayPeers(peerDelay)
	for number, controller := range in.cluster.Controllers {
		in.cluster.SetStateFaults(controller.Settings.Member, state[number])
		for other, peer := range in.cluster.Controllers {
			in.cluster.BlockPeer(controller.Settings.Member, peer.Settings.Member, cutOff[number] || cutOff[other] || repliesCut[number])
		}
	}
}

// addStateFault adds a fault that affects the connections of all controllers to the state service.
func addStateFault(faults *cluster.StateFaults, kind Kind) {
	switch kind {
	case SlowState:
		faults.MaxDelay = maxStateDelay
	case LateAnswers:
		faults.LateAnswers = lateAnswerShare
	case LostAnswers:
		faults.LostAnswers = lostAnswerShare
	case LateWrites:
		faults.LateWrites = lateWriteShare
	}
}
