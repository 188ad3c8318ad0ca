package failuredetector

import (
	"cmp"
	"math"
	"slices"
	"time"

	"switchferry/tuning"
)

// Candidate is a machine whose silence is long enough to be given up.
type Candidate struct {
	Name, Zone string
	// Tasks are what runs again elsewhere once its return proves that it is gone.
	Tasks int
	// Unconditional: it goes now whatever that costs.
	Unconditional bool
}

// EvictionDecision is what is decided of the candidates of a zone.
type EvictionDecision struct {
	Zone string
	// SilentShare is the part of the zone's machines that is unheard, Machines their number.
	Share    float64
	Machines int
	// Release are given up now; Deferred stay as they are for now, with so many tasks on them.
	Release       []string
	Deferred      int
	DeferredTasks int
}

// EvictionBudget bounds how many machines of a zone are given up. One by one, machines that stay
// silent are most likely gone, and every second costs their tasks. The more of a zone is
// silent, the more likely something else is: then its machines come back with their tasks,
// or at least with their images, and to replace them all takes a boot each. So the budget
// shrinks as the silent share grows, as Kubernetes' node controller does it, but never to
// nothing: a zone that is really gone is given up too, in minutes.
type EvictionBudget struct {
	purse map[string]*purse
}

type purse struct {
	machines float64
	at       time.Time
}

// rate is which part of a zone's machines may be given up a second.
func rate(share float64) float64 {
	switch {
	case share <= tuning.ReturnFreely:
		return math.Inf(1)
	case share <= tuning.ReturnSlowly:
		return tuning.ReturnShare
	}
	return tuning.ReturnShare / 5
}

// Spend decides which of the candidates are given up now: those with the most tasks first,
// since these wait for the proof. SilentShare and machines tell of each zone. Zones come in the
// order of their names.
func (b *EvictionBudget) Spend(now time.Time, cs []Candidate, share func(zone string) (float64, int)) []EvictionDecision {
	if b.purse == nil {
		b.purse = map[string]*purse{}
	}
	zones := map[string][]Candidate{}
	for _, c := range cs {
		zones[c.Zone] = append(zones[c.Zone], c)
	}
	var out []EvictionDecision
	for zone, list := range zones {
		v := EvictionDecision{Zone: zone}
		v.Share, v.Machines = share(zone)
		most := math.Max(tuning.ReturnAnyway, tuning.ReturnAtOnce*float64(v.Machines))
		p := b.purse[zone]
		if p == nil {
			p = &purse{most, now}
			b.purse[zone] = p
		}
		r := rate(v.Share)
		if zone == "" {
			r = math.Inf(1)
		}
		if math.IsInf(r, 1) {
			p.machines = most
		} else {
			p.machines = math.Min(most, p.machines+r*float64(v.Machines)*now.Sub(p.at).Seconds())
		}
		p.at = now
		slices.SortFunc(list, func(x, y Candidate) int { return cmp.Or(cmp.Compare(y.Tasks, x.Tasks), cmp.Compare(x.Name, y.Name)) })
		for _, c := range list {
			switch {
			case c.Unconditional || math.IsInf(r, 1):
				v.Release = append(v.Release, c.Name)
			case p.machines >= 1:
				p.machines--
				v.Release = append(v.Release, c.Name)
			default:
				v.Deferred++
				v.DeferredTasks += c.Tasks
			}
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(x, y EvictionDecision) int { return cmp.Compare(x.Zone, y.Zone) })
	return out
}
