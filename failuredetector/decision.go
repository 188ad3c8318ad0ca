package failuredetector

import (
	"time"

	"switchferry/reachability"
	"switchferry/tuning"
)

// MachineState is what a leader knows of a machine when it looks after the fleet.
type MachineState struct {
	// Failed: the cloud lists it as stopped. Listed: the cloud's list had it in this term. Up: it
	// reported in this term.
	Failed, Listed, Up bool
	// Link is whether it hears us.
	Link reachability.State
	// Tasks are those that it has, or may have.
	Tasks int
	// SilentFor is how long its quiet counts against it, UnconfirmedFor the same for not having shown
	// that it hears us.
	SilentFor, UnconfirmedFor time.Duration
	// PreemptionNotice: the cloud takes it back; NoticeExpired: the time for that has passed.
	PreemptionNotice, NoticeExpired bool
	// Faulty: it fails what works elsewhere.
	Faulty bool
	// InboundLost: it answers commands and reaches no controller, so its lease runs out however well it obeys. SilentShare is the
	// part of its zone's machines that is unheard.
	InboundLost bool
	SilentShare float64
	// StartupExpired: it is not up, and its time to boot is over.
	StartupExpired bool
}

// Limits are how long a machine may be unheard: Timeout, and still get work; ReleaseAfter, before it is given
// up; ElectionGrace, if it is to find a new leader, or one that it does not hear; InboundLost, if it answers commands.
type Limits struct{ SuspectAfter, ReleaseAfter, ElectionGrace, InboundLost time.Duration }

// Action is what becomes of a machine.
type Action int

// The actions. Due is a return within the budget; Forget: nothing but a report told of it, which
// may have been a copy of what a machine said before it died.
const (
	Keep Action = iota
	Release
	ReleaseWithinBudget
	Drain
	Forget
)

// Decide tells what becomes of a machine, and why.
func Decide(machine MachineState, limits Limits) (Action, string) {
	switch {
	case machine.Failed:
		return Release, "failed"
	case !machine.Up:
		if machine.StartupExpired && machine.SilentFor > limits.ElectionGrace {
			return ReleaseWithinBudget, "never reported"
		}
		return Keep, ""
	case machine.Link == reachability.Unconfirmed && machine.SilentFor > limits.ElectionGrace && !machine.Listed && machine.Tasks == 0:
		return Forget, "one old report, and the cloud does not list it"
	case machine.Link == reachability.Unconfirmed && machine.SilentFor <= limits.ElectionGrace:
		// Neither its notice nor its quiet counts before it certainly lived in this term.
		return Keep, ""
	case machine.PreemptionNotice && machine.NoticeExpired && machine.SilentFor > limits.SuspectAfter:
		return Release, "taken back"
	case machine.InboundLost && machine.SilentFor > limits.ReleaseAfter && machine.SilentFor <= limits.InboundLost:
		if machine.SilentShare > tuning.ReturnFreely {
			// Something stands between most of the zone and the controllers, not in the machine: there may be no
			// room elsewhere, and what it runs lives until its lease ends, or on.
			return Keep, ""
		}
		return Drain, "mute"
	case machine.SilentFor > limits.ReleaseAfter:
		return ReleaseWithinBudget, "silent"
	case machine.Link == reachability.OutboundLost && machine.UnconfirmedFor > limits.ElectionGrace:
		// Its lease has ended since: it is empty, and nobody can give it anything.
		return ReleaseWithinBudget, "half-deaf"
	case machine.Faulty:
		return Release, "suspect"
	case machine.PreemptionNotice:
		return Drain, ""
	}
	return Keep, ""
}
