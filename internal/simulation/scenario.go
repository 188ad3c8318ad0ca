package simulation

import (
	"time"

	"switchferry/settings"
)

// Kinds of faults. A fault begins At a time and lasts For a duration. Where a fault affects one controller, that is the
// leader or, with Follower, another one: its target.
const (
	// ControllerCrash ends Count controllers, beginning with the target; each starts again after For.
	ControllerCrash = "crash"
	// RollingRestart ends all controllers, one each rollInterval; each starts again after For.
	RollingRestart = "roll"
	// ControllerIsolated cuts the target off from the state service and the other controllers; its workers
	// still reach it.
	ControllerIsolated = "lone"
	// OutboundLost keeps commands and answers from Count machines, whose heartbeats still arrive.
	OutboundLost = "half-deaf"
	// ControllerOutboundLost keeps everything that the target sends from all machines.
	ControllerOutboundLost = "deaf-node"
	// DuplicateHeartbeats delivers every fifth heartbeat again, two seconds to three leases later, to any
	// controller.
	DuplicateHeartbeats = "copies"
	// MachineCrash ends Count machines for good.
	MachineCrash = "die"
	// WorkerRestart ends all tasks on Count machines, whose workers are back at once.
	WorkerRestart = "restart"
	// StateOutage makes the state service unavailable to all.
	StateOutage = "outage"
	// ZonePartition cuts the target's zone off from the other one and from the services.
	ZonePartition = "zone"
	// StateRefused has the state service answer the target with 503 or, with Unanswered, not at all.
	StateRefused = "refused"
	// ControllerPartition cuts the target off from everything. What was sent between controllers arrives
	// afterwards.
	ControllerPartition = "silence"
	// ControllerPairPartition does so between the target and one other controller.
	ControllerPairPartition = "apart"
	// LateWrites has one transaction in five executed 2 to 12 s late, without an answer in time.
	LateWrites = "late-writes"
	// DelayedCommands has one command in three reach its machine up to 8 s late, or be answered so late.
	DelayedCommands = "held"
	// CancellationWave has the users of Count in ten waiting job arrays cancel them, at once and each
	// waveInterval for the fault's duration. With HangMachinesFor, up to maxHungByWave machines that run tasks
	// of these jobs are suspended for that long.
	CancellationWave = "wave"
	// MachineHang suspends Count machines: they execute nothing, and what they were sent afterwards.
	MachineHang = "hangs"
	// InboundLost keeps the heartbeats of Count machines, or with Follower of all in the leader's zone, from the
	// controllers; commands reach these machines.
	InboundLost = "mute"
	// ProcessPause suspends the target's process while its clock runs on.
	ProcessPause = "freeze"
	// SlowState has the state service answer up to maxSlowDelay late: to the target if Count is 1, else to all.
	SlowState = "slow"
	// CancelAtEnd has users cancel half of the job arrays around the moment at which the last task ends, and ask
	// for their status and repeat their submission beside that.
	CancelAtEnd = "at-end"
	// InvalidRequests has users repeat submissions, also with other contents, cancel jobs that are over, and
	// submit jobs that cannot run.
	InvalidRequests = "odd"
	// SlowHeartbeats has half of the heartbeats, and half of the responses to them, take up to maxHeartbeatDelay, while
	// direct commands take maxQuickCommandDelay at most.
	SlowHeartbeats = "slow-heartbeats"
	// LeaderLinkFlapping cuts the leader off from the other controllers again and again: in both directions for
	// flapCutBoth, then, after flapOpen, for flapCutReplies in the direction from the leader alone.
	LeaderLinkFlapping = "flapping"
	// FailingMachines has Count machines fail half of the tasks that they start, at once.
	FailingMachines = "failing"
)

// maxHeartbeatDelay bounds the delay of a heartbeat and of its response during a SlowHeartbeats fault. With both, a worker
// still gets some responses within its timeout of 4 s.
const maxHeartbeatDelay = 1900 * time.Millisecond

// maxQuickCommandDelay bounds the delay of commands to workers during a SlowHeartbeats fault.
const maxQuickCommandDelay = 300 * time.Millisecond

// maxSlowDelay bounds the delay of an answer during a SlowState fault.
const maxSlowDelay = 1500 * time.Millisecond

// How long the phases of a LeaderLinkFlapping fault last. Within flapCutReplies the leader still counts as reachable.
const (
	flapCutBoth    = 5 * time.Second
	flapOpen       = 900 * time.Millisecond
	flapCutReplies = 2 * time.Second
)

// rollInterval is the time between two ends of controllers in a RollingRestart.
const rollInterval = 5 * time.Second

// defaultCPUsPerMachine is a team's limit, in processors for each machine, where a scenario does not say.
const defaultCPUsPerMachine = 6

// Fault is one fault of a scenario. The kind says which of the other fields it uses.
type Fault struct {
	// At is when it begins, counted from when users begin to submit jobs; For is how long it lasts.
	At, For         time.Duration
	Kind            string
	Count           int
	Follower        bool
	Unanswered      bool
	HangMachinesFor time.Duration
}

// Scenario describes a run: the fleet, the load and the faults.
type Scenario struct {
	// Seed determines machines, jobs and the choices that faults leave open.
	Seed uint64
	// Machines is how many machines the region has at most, and has from the beginning.
	Machines int
	// SubmitFor is how long users submit jobs. After that, or after the last fault if that is later, the
	// simulation goes on for WaitAfter.
	SubmitFor, WaitAfter time.Duration
	// JobsPerSecond is how many jobs users submit on average.
	JobsPerSecond float64
	Faults        []Fault
	// CancelShare is the share of job arrays that their users cancel, defaultCancelShare if it is 0.
	CancelShare float64
	// TaskRunS is for how many seconds tasks of small job arrays are estimated to run, 5 to 15 if it is 0.
	TaskRunS float64
	// CPUsPerMachine is a team's limit in processors for each machine, defaultCPUsPerMachine if it is 0.
	CPUsPerMachine float64
	// ImagePullS is how many seconds a machine needs to pull one of the four images; 0: no images are needed.
	ImagePullS float64
	// ZoneBoundJobs binds a third of the small job arrays to one zone.
	ZoneBoundJobs bool
	Workers       settings.Workers
	// ChangeInterval is the time between two changes of the configuration; 0: there are none, and live
	// configuration is off.
	ChangeInterval time.Duration
}

// teamLimit is how many processors a team may use.
func (scenario *Scenario) teamLimit() float64 {
	if scenario.CPUsPerMachine > 0 {
		return scenario.CPUsPerMachine * float64(scenario.Machines)
	}
	return defaultCPUsPerMachine * float64(scenario.Machines)
}

// NewScenario is a scenario without faults for some machines, with the workers' settings of a small fleet.
func NewScenario(seed uint64, machines int) *Scenario {
	return &Scenario{Seed: seed, Machines: machines, SubmitFor: 120 * time.Second, WaitAfter: 150 * time.Second, JobsPerSecond: min(4, float64(machines)/8),
		Workers: settings.Workers{ReportS: 1, LeaseS: 10, CancelS: 40}}
}

// Scenarios are the faults of the named scenarios: kinds of faults alone, for leaders and followers, together, and in
// the middle of an election. The names are part of the command line.
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
