package failuredetector

import (
	"time"

	"switchferry/reachability"
	"switchferry/tuning"
)

// Machine is what a leader knows of a machine when it looks after the fleet.
type Machine struct {
	// Failed: the cloud lists it as stopped. Listed: the cloud's list had it in this term. Up: it
	// reported in this term.
	Failed, Listed, Up bool
	// Line is whether it hears us.
	Line reachability.State
	// Tasks are those that it has, or may have.
	Tasks int
	// Unheard is how long its quiet counts against it, Unreached the same for not having shown
	// that it hears us.
	Unheard, Unreached time.Duration
	// Noticed: the cloud takes it back; Over: the time for that has passed.
	Noticed, Over bool
	// Sick: it fails what works elsewhere.
	Sick bool
	// Mute: it answers commands and reaches no controller, so its lease runs out however well it obeys. Share is the
	// part of its zone's machines that is unheard.
	Mute  bool
	Share float64
	// Waited: it is not up, and its time to boot is over.
	Waited bool
}

// Limits are how long a machine may be unheard: Quiet, and still get work; Silent, before it is given
// up; Term, if it is to find a new leader, or one that it does not hear; Mute, if it answers commands.
type Limits struct{ Quiet, Silent, Term, Mute time.Duration }

// Action is what becomes of a machine.
type Action int

// The actions. Due is a return within the budget; Forget: nothing but a report told of it, which
// may have been a copy of what a machine said before it died.
const (
	Leave Action = iota
	Return
	Due
	Evacuate
	Forget
)

// Judge tells what becomes of a machine, and why.
func Judge(m Machine, l Limits) (Action, string) {
	switch {
	case m.Failed:
		return Return, "failed"
	case !m.Up:
		if m.Waited && m.Unheard > l.Term {
			return Due, "never reported"
		}
		return Leave, ""
	case m.Line == reachability.Unproved && m.Unheard > l.Term && !m.Listed && m.Tasks == 0:
		return Forget, "one old report, and the cloud does not list it"
	case m.Line == reachability.Unproved && m.Unheard <= l.Term:
		// Neither its notice nor its quiet counts before it certainly lived in this term.
		return Leave, ""
	case m.Noticed && m.Over && m.Unheard > l.Quiet:
		return Return, "taken back"
	case m.Mute && m.Unheard > l.Silent && m.Unheard <= l.Mute:
		if m.Share > tuning.ReturnFreely {
			// Something stands between most of the zone and the controllers, not in the machine: there may be no
			// room elsewhere, and what it runs lives until its lease ends, or on.
			return Leave, ""
		}
		return Evacuate, "mute"
	case m.Unheard > l.Silent:
		return Due, "silent"
	case m.Line == reachability.HalfDeaf && m.Unreached > l.Term:
		// Its lease has ended since: it is empty, and nobody can give it anything.
		return Due, "half-deaf"
	case m.Sick:
		return Return, "suspect"
	case m.Noticed:
		return Evacuate, ""
	}
	return Leave, ""
}
