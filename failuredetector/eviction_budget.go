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
// releaseAfter are most likely gone, and every second costs their tasks. The more of a zone is
// releaseAfter, the more likely something else is: then its machines come back with their tasks,
// or at least with their images, and to replace them all takes a boot each. So the budget
// shrinks as the silent share grows, as Kubernetes' node controller does it, but never to
// nothing: a zone that is really gone is given up too, in minutes.
type EvictionBudget struct {
	zones map[string]*zoneBudget
}

type zoneBudget struct {
	machines   float64
	refilledAt time.Time
}

// releaseRate is which part of a zone's machines may be given up a second.
func releaseRate(share float64) float64 {
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
func (b *EvictionBudget) Spend(now time.Time, candidates []Candidate, share func(zone string) (float64, int)) []EvictionDecision {
	if b.zones == nil {
		b.zones = map[string]*zoneBudget{}
	}
	zones := map[string][]Candidate{}
	for _, c := range candidates {
		zones[c.Zone] = append(zones[c.Zone], c)
	}
	var decisions []EvictionDecision
	for zone, list := range zones {
		decision := EvictionDecision{Zone: zone}
		decision.Share, decision.Machines = share(zone)
		capacity := math.Max(tuning.ReturnAnyway, tuning.ReturnAtOnce*float64(decision.Machines))
		budget := b.zones[zone]
		if budget == nil {
			budget = &zoneBudget{capacity, now}
			b.zones[zone] = budget
		}
		perSecond := releaseRate(decision.Share)
		if zone == "" {
			perSecond = math.Inf(1)
		}
		if math.IsInf(perSecond, 1) {
			budget.machines = capacity
		} else {
			budget.machines = math.Min(capacity, budget.machines+perSecond*float64(decision.Machines)*now.Sub(budget.refilledAt).Seconds())
		}
		budget.refilledAt = now
		slices.SortFunc(list, func(first, second Candidate) int {
			return cmp.Or(cmp.Compare(second.Tasks, first.Tasks), cmp.Compare(first.Name, second.Name))
		})
		for _, c := range list {
			switch {
			case c.Unconditional || math.IsInf(perSecond, 1):
				decision.Release = append(decision.Release, c.Name)
			case budget.machines >= 1:
				budget.machines--
				decision.Release = append(decision.Release, c.Name)
			default:
				decision.Deferred++
				decision.DeferredTasks += c.Tasks
			}
		}
		decisions = append(decisions, decision)
	}
	slices.SortFunc(decisions, func(first, second EvictionDecision) int { return cmp.Compare(first.Zone, second.Zone) })
	return decisions
}
