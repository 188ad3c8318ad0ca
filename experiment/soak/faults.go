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
	slowUpTo        = 1200 * time.Millisecond
	lateAnswerShare = 0.15
	lostAnswerShare = 0.3
	lateWriteShare  = 0.2
	messageShare    = 0.25
	workersMet      = 5  // one in so many
	workersEnded    = 10 // one in so many
	slowShare       = 0.5
	failingShare    = 0.3
	slowPeersUpTo   = 900 * time.Millisecond
	// Within flapReplies after a cut of flapCut and a way open for flapOpen, a leader still counts as reachable.
	flapCut          = 2500 * time.Millisecond
	flapOpen         = 700 * time.Millisecond
	flapReplies      = 1800 * time.Millisecond
	seriesInterval   = 1500 * time.Millisecond
	seriesDowntime   = 300 * time.Millisecond
	jobsOfCancelWave = 12
)

// injector brings the faults of a schedule about. Faults that overlap add up.
type injector struct {
	cluster *cluster.Cluster
	program string
	users   *users

	// mu guards active, the faults under way with the controller that each meets.
	mu     sync.Mutex
	active map[*Fault]int
}

func newInjector(run *cluster.Cluster, program string, users *users) *injector {
	return &injector{cluster: run, program: program, users: users, active: map[*Fault]int{}}
}

// play plays a schedule until all its faults are over or ctx ends; then everything is in order again.
func (in *injector) play(ctx context.Context, faults []Fault) {
	began := time.Now()
	var playing sync.WaitGroup
	for i := range faults {
		if !sleep.OnRealClock(ctx, time.Until(began.Add(faults[i].At))) {
			break
		}
		playing.Go(func() { in.playOne(ctx, &faults[i]) })
	}
	playing.Wait()
	in.restore()
}

// restore ends whatever is wrong and starts the controllers that do not run.
func (in *injector) restore() {
	in.mu.Lock()
	clear(in.active)
	in.mu.Unlock()
	in.apply()
	for _, controller := range in.cluster.Controllers {
		controller.Resume()
		_ = controller.Start(in.program) // It may run.
	}
	for _, worker := range in.cluster.Workers() {
		worker.BlockMessages(false, false)
		worker.Suspend(false)
	}
}

// playOne brings one fault about and ends it.
func (in *injector) playOne(ctx context.Context, fault *Fault) {
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
	case DeafWorkers, MuteWorkers, RestartedWorkers, HungWorkers:
		in.meetWorkers(ctx, fault)
	case DyingWorkers, NoticedWorkers:
		in.endWorkers(ctx, fault)
	case FlappingPeers:
		in.flap(ctx, fault, target)
	case CancelWave:
		in.users.cancelMany(ctx, jobsOfCancelWave)
	case RefusedThenOutage:
		half := *fault
		half.Kind, half.For = Refused, fault.For/2
		in.hold(ctx, &half, target)
		half.Kind = Outage
		in.hold(ctx, &half, target)
	default:
		in.hold(ctx, fault, target)
	}
}

// target returns the number of the controller that a fault meets.
func (in *injector) target(fault *Fault) int {
	if fault.Target != TheLeader {
		return int(fault.Target)
	}
	if leader := in.cluster.Leader(); leader != nil {
		return slices.Index(in.cluster.Controllers, leader)
	}
	return rand.IntN(len(in.cluster.Controllers))
}

// kill ends controllers and starts them again after a time.
func (in *injector) kill(ctx context.Context, controllers []*cluster.Controller, downtime time.Duration) {
	for _, controller := range controllers {
		controller.Kill()
	}
	sleep.OnRealClock(ctx, downtime)
	for _, controller := range controllers {
		_ = controller.Start(in.program) // Another fault may have started it.
	}
}

// killSeries ends one leader after the other.
func (in *injector) killSeries(ctx context.Context, fault *Fault) {
	for end := time.Now().Add(fault.For); time.Now().Before(end) && ctx.Err() == nil; {
		in.kill(ctx, []*cluster.Controller{in.cluster.Controllers[in.target(&Fault{Target: TheLeader})]}, seriesDowntime)
		sleep.OnRealClock(ctx, seriesInterval)
	}
}

// pickWorkers picks one worker in so many, at least one.
func (in *injector) pickWorkers(oneIn int) []*cluster.Worker {
	workers := in.cluster.Workers()
	rand.Shuffle(len(workers), func(i, j int) { workers[i], workers[j] = workers[j], workers[i] })
	return workers[:1+len(workers)/oneIn]
}

// meetWorkers has some workers lose messages, begin anew or hang.
func (in *injector) meetWorkers(ctx context.Context, fault *Fault) {
	met := in.pickWorkers(workersMet)
	for _, worker := range met {
		switch fault.Kind {
		case RestartedWorkers:
			worker.Restart()
		case HungWorkers:
			worker.Suspend(true)
		default:
			worker.BlockMessages(fault.Kind == MuteWorkers, fault.Kind == DeafWorkers)
		}
	}
	sleep.OnRealClock(ctx, fault.For)
	for _, worker := range met {
		worker.BlockMessages(false, false)
		worker.Suspend(false)
	}
}

// endWorkers ends some workers for good, with a notice or without.
func (in *injector) endWorkers(ctx context.Context, fault *Fault) {
	ended := in.pickWorkers(workersEnded)
	if fault.Kind == NoticedWorkers {
		for _, worker := range ended {
			worker.AnnouncePreemption(fault.For)
		}
		sleep.OnRealClock(ctx, fault.For)
	}
	for _, worker := range ended {
		worker.Fail()
	}
}

// flap cuts a controller off from its peers again and again, in both directions and then in that of its replies.
func (in *injector) flap(ctx context.Context, fault *Fault, target int) {
	for end := time.Now().Add(fault.For); time.Now().Before(end) && ctx.Err() == nil; {
		for _, phase := range []Fault{{Kind: CutFromPeers, For: flapCut}, {Kind: cutReplies, For: flapReplies}} {
			in.hold(ctx, &phase, target)
			sleep.OnRealClock(ctx, flapOpen)
		}
	}
}

// hold keeps a fault of the ways between processes up while it lasts.
func (in *injector) hold(ctx context.Context, fault *Fault, target int) {
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

// apply sets the ways between processes to the sum of the faults under way.
func (in *injector) apply() {
	in.mu.Lock()
	defer in.mu.Unlock()
	state := make([]cluster.StateFaults, len(in.cluster.Controllers))
	alone, unheard := make([]bool, len(in.cluster.Controllers)), make([]bool, len(in.cluster.Controllers))
	var messages cluster.MessageFaults
	outage := false
	peerDelay := time.Duration(0)
	for fault, target := range in.active {
		switch fault.Kind {
		case CutFromState:
			state[target].Silent = true
		case CutFromPeers:
			alone[target] = true
		case cutReplies:
			unheard[target] = true
		case CutFromBoth:
			state[target].Silent, alone[target] = true, true
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
		case SlowHeartbeats:
			messages.SlowHeartbeats = slowShare
		case SlowCommands:
			messages.SlowCommands = slowShare
		case FailingStarts:
			messages.FailingStarts = failingShare
		case SlowPeers:
			peerDelay = slowPeersUpTo
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
			in.cluster.BlockPeer(controller.Settings.Member, peer.Settings.Member, alone[number] || alone[other] || unheard[number])
		}
	}
}

// addStateFault adds a fault that meets the ways of all controllers to the state service.
func addStateFault(faults *cluster.StateFaults, kind Kind) {
	switch kind {
	case SlowState:
		faults.MaxDelay = slowUpTo
	case LateAnswers:
		faults.LateAnswers = lateAnswerShare
	case LostAnswers:
		faults.LostAnswers = lostAnswerShare
	case LateWrites:
		faults.LateWrites = lateWriteShare
	}
}
