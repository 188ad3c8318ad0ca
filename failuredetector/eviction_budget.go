package failuredetector

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"switchferry/tuning"
)

// Candidate is a machine that has been silent for long enough to be released.
type Candidate struct {
	Name, Zone string
	// Tasks is the number of tasks that can run elsewhere once the machine's release proves that they have
	// stopped.
	Tasks int
	// Unconditional means that the machine is released regardless of the budget.
	Unconditional bool
}

// EvictionDecision says which of a zone's candidates are released.
type EvictionDecision struct {
	Zone string
	// SilentShare is the share of the zone's machines that are silent, from 0 to 1.
	SilentShare float64
	// Machines is the number of machines of the zone.
	Machines int
	// Release lists the names of the machines that are released now.
	Release []string
	// Deferred is the number of candidates that are not released yet, DeferredTasks the number of tasks on them.
	Deferred, DeferredTasks int
}

// EvictionBudget limits how many machines of a zone are released. Single machines that stay silent have most
// likely failed, and their tasks are delayed by every second of waiting. The more machines of a zone are silent,
// the more likely is another cause: the machines then come back with their tasks, or at least their images,
// while every replacement has to boot. So the budget shrinks as the silent share grows, as in Kubernetes' node
// lifecycle controller, but never to zero: a zone that is lost permanently is released within minutes.
//
// The zero value is a full budget.
type EvictionBudget struct {
	zones map[string]*zoneBudget
}

// zoneBudget is the number of machines of one zone that may be released, as of refilledAt.
type zoneBudget struct {
	machines   float64
	refilledAt time.Time
}

// reducedRateDivisor divides the release rate of a zone whose silent share exceeds tuning.EvictionFullRateShare.
const reducedRateDivisor = 5

// releaseRate returns the share of a zone's machines that may be released per second, given the share that is
// silent; infinity means that there is no limit.
func releaseRate(silentShare float64) float64 {
	switch {
	case silentShare <= tuning.EvictionUnlimitedShare:
		return math.Inf(1)
	case silentShare <= tuning.EvictionFullRateShare:
		return tuning.EvictionRate
	}
	return tuning.EvictionRate / reducedRateDivisor
}

// Spend decides which candidates are released now, and subtracts them from the budget. Machines with the most
// tasks come first, since the tasks wait for the release. The function silentShare returns the silent share and
// the number of machines of a zone. The decisions are sorted by zone; zones without candidates have none.
func (b *EvictionBudget) Spend(now time.Time, candidates []Candidate, silentShare func(zone string) (share float64, machines int)) []EvictionDecision {
	if b.zones == nil {
		b.zones = map[string]*zoneBudget{}
	}
	byZone := map[string][]Candidate{}
	for _, candidate := range candidates {
		byZone[candidate.Zone] = append(byZone[candidate.Zone], candidate)
	}
	var decisions []EvictionDecision
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		decision := EvictionDecision{Zone: zone}
		decision.SilentShare, decision.Machines = silentShare(zone)
		b.spendInZone(now, byZone[zone], &decision)
		decisions = append(decisions, decision)
	}
	return decisions
}

// spendInZone completes the decision on a zone's candidates, and sorts the candidates in place.
func (b *EvictionBudget) spendInZone(now time.Time, candidates []Candidate, decision *EvictionDecision) {
	perSecond := releaseRate(decision.SilentShare)
	if decision.Zone == "" {
		perSecond = math.Inf(1) // Machines of unknown zone have no common cause of failure.
	}
	budget := b.refill(now, decision.Zone, decision.Machines, perSecond)
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Tasks, a.Tasks), cmp.Compare(a.Name, b.Name))
	})
	for _, candidate := range candidates {
		switch {
		case candidate.Unconditional || math.IsInf(perSecond, 1):
			decision.Release = append(decision.Release, candidate.Name)
		case budget.machines >= 1:
			budget.machines--
			decision.Release = append(decision.Release, candidate.Name)
		default:
			decision.Deferred++
			decision.DeferredTasks += candidate.Tasks
		}
	}
}

// refill returns the budget of a zone with the given number of machines after adding what has accrued since the
// last call, at a rate of perSecond times that number. A zone's first budget is full.
func (b *EvictionBudget) refill(now time.Time, zone string, machines int, perSecond float64) *zoneBudget {
	capacity := math.Max(tuning.EvictionBurstMachines, tuning.EvictionBurstShare*float64(machines))
	budget := b.zones[zone]
	if budget == nil {
		budget = &zoneBudget{capacity, now}
		b.zones[zone] = budget
	}
	if math.IsInf(perSecond, 1) {
		budget.machines = capacity
	} else {
		accrued := perSecond * float64(machines) * now.Sub(budget.refilledAt).Seconds()
		budget.machines = math.Min(capacity, budget.machines+accrued)
	}
	budget.refilledAt = now
	return budget
}
