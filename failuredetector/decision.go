package failuredetector

import (
	"time"

	"switchferry/reachability"
	"switchferry/tuning"
)

// MachineState is what the leader knows of a machine when it decides which action to take on it.
type MachineState struct {
	// Failed means that the cloud lists the machine as failed, Listed that the cloud listed it in this term,
	// Up that it sent a heartbeat in this term.
	Failed, Listed, Up bool
	// Link is whether answers and commands reach the machine.
	Link reachability.State
	// Tasks is how many tasks the machine has, or may have.
	Tasks int
	// SilentFor is the time since Detector.SilentSince. UnconfirmedFor is the corresponding time for which the
	// machine has not confirmed that answers and commands reach it.
	SilentFor, UnconfirmedFor time.Duration
	// PreemptionNotice means that the cloud preempts the machine, NoticeExpired that the notice period has
	// passed.
	PreemptionNotice, NoticeExpired bool
	// Faulty means that tasks of several jobs have failed on the machine.
	Faulty bool
	// InboundLost means that the machine answers commands while its heartbeats reach no controller, so its
	// lease expires although it is healthy.
	InboundLost bool
	// SilentShare is the share of its zone's machines that are silent, from 0 to 1.
	SilentShare float64
	// StartupExpired means that the machine is not up and its startup deadline has passed.
	StartupExpired bool
}

// Limits are the times for which a machine may be silent.
type Limits struct {
	// SuspectAfter is the time after which the machine gets no more tasks.
	SuspectAfter time.Duration
	// ReleaseAfter is the time after which the machine is released.
	ReleaseAfter time.Duration
	// ElectionGrace replaces ReleaseAfter for a machine that has to find a new leader, or that does not
	// receive the leader's answers.
	ElectionGrace time.Duration
	// InboundLost replaces ReleaseAfter for a machine that answers commands.
	InboundLost time.Duration
}

// Action is what the leader does with a machine.
type Action int

const (
	// Keep changes nothing.
	Keep Action = iota
	// Release returns the machine to the cloud now.
	Release
	// ReleaseWithinBudget returns the machine to the cloud when the eviction budget allows it.
	ReleaseWithinBudget
	// Drain checkpoints the machine's tasks and gives it no more.
	Drain
	// Forget removes the record of a machine that is known only from one heartbeat, which may be a delayed
	// copy of one sent before the machine failed.
	Forget
)

// Decide returns the action to take on a machine and the reason for operators, which is empty for Keep and may
// be empty for Drain.
func Decide(machine MachineState, limits Limits) (action Action, reason string) {
	switch {
	case machine.Failed:
		return Release, "failed"
	case !machine.Up:
		if machine.StartupExpired && machine.SilentFor > limits.ElectionGrace {
			return ReleaseWithinBudget, "never reported"
		}
		return Keep, ""
	case machine.Link == reachability.Unconfirmed && machine.SilentFor > limits.ElectionGrace && !machine.Listed && machine.Tasks == 0:
		return Forget, "one unconfirmed heartbeat, and the cloud does not list it"
	case machine.Link == reachability.Unconfirmed && machine.SilentFor <= limits.ElectionGrace:
		// Its preemption notice and its silence are ignored until it is certain that the machine was alive in
		// this term.
		return Keep, ""
	case machine.PreemptionNotice && machine.NoticeExpired && machine.SilentFor > limits.SuspectAfter:
		return Release, "preempted by the cloud"
	case machine.InboundLost && machine.SilentFor > limits.ReleaseAfter && machine.SilentFor <= limits.InboundLost:
		if machine.SilentShare > tuning.EvictionUnlimitedShare {
			// The fault is between most of the zone and the controllers, not in the machine. There may be no
			// capacity elsewhere, and the tasks run at least until the lease expires.
			return Keep, ""
		}
		return Drain, "heartbeats lost"
	case machine.SilentFor > limits.ReleaseAfter:
		return ReleaseWithinBudget, "heartbeat timeout"
	case machine.Link == reachability.OutboundLost && machine.UnconfirmedFor > limits.ElectionGrace:
		// The machine's lease has expired meanwhile: it has no tasks and cannot be given any.
		return ReleaseWithinBudget, "commands lost"
	case machine.Faulty:
		return Release, "faulty"
	case machine.PreemptionNotice:
		return Drain, ""
	}
	return Keep, ""
}
