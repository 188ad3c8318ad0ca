package simulation

import (
	"time"

	"switchferry/settings"
)

// Kinds of faults. At, For, Count, Follower, Unanswered and HangMachinesFor are fields of Fault. The target of a fault
// that affects one controller is the leader or, with Follower, another controller.
const (
	// ControllerCrash stops Count controllers, beginning with the target; each starts again after For.
	ControllerCrash = "crash"
	// RollingRestart stops all controllers, one each rollingRestartInterval; each starts again after For.
	RollingRestart = "roll"
	// ControllerIsolated cuts the target off from the state service and the other controllers; workers still reach it.
	ControllerIsolated = "lone"
	// OutboundLost drops all commands and responses to Count machines, whose heartbeats still arrive.
	OutboundLost = "half-deaf"
	// ControllerOutboundLost drops everything that the target sends to machines.
	ControllerOutboundLost = "deaf-node"
	// DuplicateHeartbeats delivers one heartbeat in five a second time, to a random controller and with a delay of two
	// seconds up to two seconds and three leases.
	DuplicateHeartbeats = "copies"
	// MachineCrash ends Count machines permanently.
	MachineCrash = "die"
	// WorkerRestart ends all tasks on Count machines, whose workers restart without a delay.
	WorkerRestart = "restart"
	// StateOutage makes the state service unavailable to all controllers.
	StateOutage = "outage"
	// ZonePartition cuts the target's zone off from the other zone, the state service and the cloud.
	ZonePartition = "zone"
	// StateRefused makes the state service answer the target with 503 or, with Unanswered, not at all.
	StateRefused = "refused"
	// ControllerPartition cuts the target off from the state service, the other controllers and the machines. Messages
	// between controllers arrive afterwards.
	ControllerPartition = "silence"
	// ControllerPairPartition cuts the target off from one other controller. Messages between them arrive afterwards.
	ControllerPairPartition = "apart"
	// ControllerSeparated cuts the target off from both other controllers. Messages between them arrive afterwards.
	ControllerSeparated = "separated"
	// CloudOutage makes the cloud answer every request with 503.
	CloudOutage = "cloud-outage"
	// LateWrites delays the execution of one transaction in five by minLateWriteDelay to maxWriteDelay, so that its
	// answer comes too late.
	LateWrites = "late-writes"
	// DelayedCommands delays one request with commands in three, or the response to it, by up to
	// maxDelayedCommandDelay.
	DelayedCommands = "held"
	// HeldCommands interrupts the path between the target and Count machines, and holds the commands that the target sends
	// them until the fault ends. They are executed then. The reports of these machines do not reach the target.
	HeldCommands = "held-path"
	// RepeatedCommands executes one request with commands in three, after the worker has executed and answered it, once
	// more, between minRepeatedCommandDelay and maxRepeatedCommandDelay later. Nobody receives the second answer.
	RepeatedCommands = "repeated-commands"
	// CancellationWave makes Count in ten of the users who wait for the next poll cancel their job arrays, at once and
	// then every waveInterval for the fault's duration. With HangMachinesFor, up to maxHungByWave machines that run
	// tasks of these jobs are suspended for that time.
	CancellationWave = "wave"
	// MachineHang suspends Count machines, which execute commands that reach them only afterwards.
	MachineHang = "hangs"
	// InboundLost drops the heartbeats of Count machines, or with Follower of all healthy machines in the leader's
	// zone; commands still reach these machines.
	InboundLost = "mute"
	// ProcessPause pauses the target's process while time advances.
	ProcessPause = "freeze"
	// SlowState delays requests to the state service, or their responses, by up to maxSlowStateDelay: those of the
	// target if Count is 1, else those of all controllers.
	SlowState = "slow"
	// CancelAtEnd makes users cancel half of the job arrays around the moment at which the last task ends, and ask for
	// their status and repeat their submission around the same moment.
	CancelAtEnd = "at-end"
	// InvalidRequests makes users repeat submissions with invalid contents, cancel jobs in a terminal state, and submit
	// invalid jobs.
	InvalidRequests = "odd"
	// SlowHeartbeats delays half of the heartbeats, and half of the responses to them, by up to maxHeartbeatDelay, and
	// requests with direct commands by up to maxDirectCommandDelay.
	SlowHeartbeats = "slow-heartbeats"
	// LeaderLinkFlapping repeatedly cuts the links between the leader and the other controllers: in both directions for
	// flapCutBoth and, after flapConnected, in the direction from the leader only for flapCutFromLeader.
	LeaderLinkFlapping = "flapping"
	// FailingMachines makes Count machines fail half of the tasks that they start, immediately after the start.
	FailingMachines = "failing"
)

// maxHeartbeatDelay bounds the delay of a heartbeat, and that of its response, during a SlowHeartbeats fault. Even with
// both delays, a worker still receives responses within its timeout of 4 s.
const maxHeartbeatDelay = 1900 * time.Millisecond

// maxDirectCommandDelay bounds the delay of direct commands to workers during a SlowHeartbeats fault.
const maxDirectCommandDelay = 300 * time.Millisecond

// maxSlowStateDelay bounds the delay of a request, or of its response, during a SlowState fault.
const maxSlowStateDelay = 1500 * time.Millisecond

// Durations of the phases of a LeaderLinkFlapping fault.
const (
	// flapCutBoth is how long both directions are cut.
	flapCutBoth = 5 * time.Second
	// flapConnected is how long the links work after each cut.
	flapConnected = 900 * time.Millisecond
	// flapCutFromLeader is how long only the direction from the leader is cut; the leader still counts as reachable.
	flapCutFromLeader = 2 * time.Second
)

// rollingRestartInterval is the time between the stops of two controllers in a RollingRestart.
const rollingRestartInterval = 5 * time.Second

// defaultCPUsPerMachine is the limit of a team, in processors per machine, if a scenario does not set one.
const defaultCPUsPerMachine = 6

// Fault is one fault of a scenario. The constant of its kind describes which of the fields below Kind it uses.
type Fault struct {
	// At is when the fault begins, counted from when users begin to submit jobs; For is how long it lasts.
	At, For time.Duration
	// Kind is one of the kinds of faults above.
	Kind string
	// Count is how many controllers or machines the fault affects, or which share of the users, in tenths.
	Count int
	// Follower makes a follower the target instead of the leader. For InboundLost it selects the leader's zone.
	Follower bool
	// Unanswered makes the state service leave requests unanswered instead of answering with 503.
	Unanswered bool
	// HangMachinesFor is how long machines are suspended in a CancellationWave; 0 means that none are.
	HangMachinesFor time.Duration
}

// Scenario describes a run of the simulation: the fleet, the load and the faults.
type Scenario struct {
	// Seed determines the jobs and all random choices of users and faults.
	Seed uint64
	// Machines is the number of machines at the beginning, and the number that can be rented in addition.
	Machines int
	// SubmitFor is how long users submit jobs. After that, or after the last fault if that ends later, the simulation
	// continues for WaitAfter.
	SubmitFor, WaitAfter time.Duration
	// JobsPerSecond is how many jobs users submit per second on average.
	JobsPerSecond float64
	// Faults are the faults that are injected, in any order.
	Faults []Fault
	// CancelShare is the share of job arrays that their users cancel; 0 means defaultCancelShare, a negative value
	// none.
	CancelShare float64
	// TaskRunS is the estimated run time of tasks of small job arrays, in seconds; 0 means 5 to 15 s, at random.
	TaskRunS float64
	// CPUsPerMachine is the limit of each team, in processors per machine; 0 means defaultCPUsPerMachine.
	CPUsPerMachine float64
	// ImagePullS is how many seconds a machine needs to pull one of the four images; 0 means that tasks need no image.
	ImagePullS float64
	// ZoneBoundJobs binds each of a third of the small job arrays to one zone.
	ZoneBoundJobs bool
	// Workers are the settings of the workers.
	Workers settings.Workers
	// ChangeInterval is the time between two changes of the configuration; 0 means that there are none, and that live
	// configuration is off.
	ChangeInterval time.Duration
}

// teamLimit returns how many processors each team may use according to the settings.
func (scenario *Scenario) teamLimit() float64 {
	if scenario.CPUsPerMachine > 0 {
		return scenario.CPUsPerMachine * float64(scenario.Machines)
	}
	return defaultCPUsPerMachine * float64(scenario.Machines)
}

// NewScenario returns a scenario without faults for a number of machines, with the workers' settings of a small fleet.
func NewScenario(seed uint64, machines int) *Scenario {
	return &Scenario{Seed: seed, Machines: machines, SubmitFor: 120 * time.Second, WaitAfter: 150 * time.Second, JobsPerSecond: min(4, float64(machines)/8),
		Workers: settings.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 40}}
}

// Scenarios returns the faults of the named scenarios: single kinds of faults, for leaders and followers, several kinds
// together, and faults during an election. The names are part of the command line.
func Scenarios() map[string][]Fault {
	return map[string][]Fault{
		"quiet":                       nil,
		"half-deaf machines":          {{At: seconds(20), For: seconds(70), Kind: OutboundLost, Count: 3}},
		"half-deaf, new leader":       {{At: seconds(20), For: seconds(70), Kind: OutboundLost, Count: 3}, {At: seconds(40), For: seconds(3), Kind: ControllerCrash, Count: 1}},
		"a leader no worker hears":    {{At: seconds(20), For: seconds(40), Kind: ControllerOutboundLost}},
		"late copies":                 {{At: seconds(15), For: seconds(80), Kind: DuplicateHeartbeats}, {At: seconds(40), Kind: MachineCrash, Count: 2}},
		"late copies, new leaders":    {{At: seconds(15), For: seconds(80), Kind: DuplicateHeartbeats}, {At: seconds(30), Kind: MachineCrash, Count: 2}, {At: seconds(33), For: seconds(3), Kind: ControllerCrash, Count: 1}, {At: seconds(60), For: seconds(1), Kind: ControllerCrash, Count: 3}},
		"lone leader, 1 s":            {{At: seconds(20), For: seconds(1), Kind: ControllerIsolated}},
		"lone leader, a lease":        {{At: seconds(20), For: seconds(10), Kind: ControllerIsolated}},
		"lone leader, a minute":       {{At: seconds(20), For: seconds(60), Kind: ControllerIsolated}},
		"lone follower, a minute":     {{At: seconds(20), For: seconds(60), Kind: ControllerIsolated, Follower: true}},
		"all back at once":            {{At: seconds(30), For: seconds(0.1), Kind: ControllerCrash, Count: 3}},
		"back within an election":     {{At: seconds(30), For: seconds(0.3), Kind: ControllerCrash, Count: 1}, {At: seconds(30.9), For: seconds(0.2), Kind: ControllerCrash, Count: 2}, {At: seconds(31.6), For: seconds(0.1), Kind: ControllerCrash, Count: 3}},
		"machines back at once":       {{At: seconds(20), Kind: WorkerRestart, Count: 4}, {At: seconds(25), Kind: WorkerRestart, Count: 4}, {At: seconds(40), For: seconds(0.5), Kind: ControllerCrash, Count: 1}},
		"outage and a crash of all":   {{At: seconds(20), For: seconds(40), Kind: StateOutage}, {At: seconds(35), For: seconds(0.7), Kind: ControllerCrash, Count: 3}, {At: seconds(30), For: seconds(60), Kind: OutboundLost, Count: 2}},
		"cut zone, copies, half-deaf": {{At: seconds(20), For: seconds(40), Kind: ZonePartition}, {At: seconds(15), For: seconds(60), Kind: DuplicateHeartbeats}, {At: seconds(25), For: seconds(60), Kind: OutboundLost, Count: 2}},
	}
}
