package simulation

import (
	"time"

	"switchferry/settings"
)

// Kinds of troubles.
const (
	// ControllerCrash ends Count controllers, the leader first, which are back after For.
	ControllerCrash = "crash"
	// RollingRestart ends all controllers, one each rollInterval, each back after For.
	RollingRestart = "roll"
	// ControllerIsolated takes the state service and the other controllers away from the leader, or with Follower
	// from another, for For; its workers still reach it.
	ControllerIsolated = "lone"
	// OutboundLost lets reports of Count machines arrive, while answers and commands do not reach them;
	// ControllerOutboundLost lets nothing of the leader reach any worker.
	OutboundLost           = "half-deaf"
	ControllerOutboundLost = "deaf-node"
	// DuplicateHeartbeats sends every fifth report again, 2 s to three leases later, to any controller, for For.
	DuplicateHeartbeats = "copies"
	// MachineCrash ends Count machines for good; WorkerRestart ends all tasks on Count machines, whose workers are
	// controllerNetwork at once.
	MachineCrash  = "die"
	WorkerRestart = "restart"
	// StateOutage is one of the state service; ZonePartition cuts a zone off from everything, and everything of it.
	StateOutage   = "outage"
	ZonePartition = "zone"
	// StateRefused has the state service answer the leader alone, or with Follower another, with 503, or with
	// Unanswered not at all.
	StateRefused = "refused"
	// ControllerPartition lets nothing through to the leader, or with Follower another, nor from it; what was said
	// between controllers arrives afterwards. ControllerPairPartition does so between it and one other controller.
	ControllerPartition     = "silence"
	ControllerPairPartition = "apart"
	// LateWrites has one transaction in five get no answer and be executed 2 to 12 s later. DelayedCommands has one
	// command in three reach its machine up to 8 s late, or its answer come back so late.
	LateWrites      = "late-writes"
	DelayedCommands = "held"
	// CancellationWave has the users of Count in 10 accepted jobs ask to cancel them, at once and every 50 ms for For. With
	// HangMachinesFor, up to eight machines that run tasks of these hang that long.
	CancellationWave = "wave"
	// MachineHang has Count machines stand still for For: they execute nothing, and then what they were sent.
	MachineHang = "hangs"
	// InboundLost has Count machines, or with Follower all of the leader's zone, reach no controller; commands reach them.
	InboundLost = "mute"
	// ProcessPause has the leader, or with Follower another, stand still while its clock runs on.
	ProcessPause = "freeze"
	// SlowState has the state service answer up to 1.5 s late, the leader alone with Count 1, else all.
	SlowState = "slow"
	// CancelAtEnd has users cancel half of the arrays around the moment at which the last task ends, and ask about them
	// and repeat their submission beside that.
	CancelAtEnd = "at-end"
	// InvalidRequests has users repeat submissions, in other words too, cancel what is over, and send what cannot run.
	InvalidRequests = "odd"
)

// maxSlowDelay is how late a slow state service answers at most.
const maxSlowDelay = 1500 * time.Millisecond

// rollInterval is the pace of a roll.
const rollInterval = 5 * time.Second

// Fault is one trouble of a day.
type Fault struct {
	At, For         time.Duration
	Kind            string
	Count           int
	Follower        bool
	Unanswered      bool
	HangMachinesFor time.Duration
}

// Scenario is what is played.
type Scenario struct {
	Seed     uint64
	Machines int
	// SubmitFor is how long users submit jobs, JobsPerSecond how many; WaitAfter is how long is waited for the
	// rest.
	SubmitFor, WaitAfter time.Duration
	JobsPerSecond        float64
	Faults               []Fault
	// CancelShare is the share of arrays whose users cancel them, one in 15 if it is 0; TaskRunS is how long the
	// tasks of the small ones run, 5 to 15 s if it is 0.
	CancelShare, TaskRunS float64
	// CPUsPerMachine is how many processors a machine a team may use, 6 if it is 0; ImagePullS how long a machine's link takes
	// for an image, of which there are four. ZoneBoundJobs: a third of the arrays are bound to one zone.
	CPUsPerMachine, ImagePullS float64
	ZoneBoundJobs              bool
	Workers                    settings.Workers
	// ConfigurationChanges is how long operators wait between two changes of the configuration; 0: there are none, and live
	// configuration is off.
	ChangeInterval time.Duration
}

// teamLimit is what a team may use, in processors.
func (scenario *Scenario) teamLimit() float64 {
	if scenario.CPUsPerMachine > 0 {
		return scenario.CPUsPerMachine * float64(scenario.Machines)
	}
	return 6 * float64(scenario.Machines)
}

// NewScenario is a quiet day of some machines.
func NewScenario(seed uint64, machines int) *Scenario {
	return &Scenario{Seed: seed, Machines: machines, SubmitFor: 120 * time.Second, WaitAfter: 150 * time.Second, JobsPerSecond: min(4, float64(machines)/8),
		Workers: settings.Workers{ReportS: 1, LeaseS: 10, CancelS: 40}}
}

// Scenarios are the troubles that operators look at when a day is over, each alone and in each role, and in
// the middle of an election.
func Scenarios() map[string][]Fault {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	return map[string][]Fault{
		"quiet":                       nil,
		"half-deaf machines":          {{At: at(20), For: at(70), Kind: OutboundLost, Count: 3}},
		"half-deaf, new leader":       {{At: at(20), For: at(70), Kind: OutboundLost, Count: 3}, {At: at(40), For: at(3), Kind: ControllerCrash, Count: 1}},
		"a leader no worker hears":    {{At: at(20), For: at(40), Kind: ControllerOutboundLost}},
		"late copies":                 {{At: at(15), For: at(80), Kind: DuplicateHeartbeats}, {At: at(40), Kind: MachineCrash, Count: 2}},
		"late copies, new leaders":    {{At: at(15), For: at(80), Kind: DuplicateHeartbeats}, {At: at(30), Kind: MachineCrash, Count: 2}, {At: at(33), For: at(3), Kind: ControllerCrash, Count: 1}, {At: at(60), For: at(1), Kind: ControllerCrash, Count: 3}},
		"lone leader, 1 s":            {{At: at(20), For: at(1), Kind: ControllerIsolated}},
		"lone leader, a lease":        {{At: at(20), For: at(10), Kind: ControllerIsolated}},
		"lone leader, a minute":       {{At: at(20), For: at(60), Kind: ControllerIsolated}},
		"lone follower, a minute":     {{At: at(20), For: at(60), Kind: ControllerIsolated, Follower: true}},
		"all back at once":            {{At: at(30), For: at(0.1), Kind: ControllerCrash, Count: 3}},
		"back within an election":     {{At: at(30), For: at(0.3), Kind: ControllerCrash, Count: 1}, {At: at(30.9), For: at(0.2), Kind: ControllerCrash, Count: 2}, {At: at(31.6), For: at(0.1), Kind: ControllerCrash, Count: 3}},
		"machines back at once":       {{At: at(20), Kind: WorkerRestart, Count: 4}, {At: at(25), Kind: WorkerRestart, Count: 4}, {At: at(40), For: at(0.5), Kind: ControllerCrash, Count: 1}},
		"outage and a crash of all":   {{At: at(20), For: at(40), Kind: StateOutage}, {At: at(35), For: at(0.7), Kind: ControllerCrash, Count: 3}, {At: at(30), For: at(60), Kind: OutboundLost, Count: 2}},
		"cut zone, copies, half-deaf": {{At: at(20), For: at(40), Kind: ZonePartition}, {At: at(15), For: at(60), Kind: DuplicateHeartbeats}, {At: at(25), For: at(60), Kind: OutboundLost, Count: 2}},
	}
}
