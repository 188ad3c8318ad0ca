package topology

import (
	"fmt"

	"switchferry/api"
	"switchferry/fleet"
)

// Site is where the tasks of one job stand, or may still stand, and where more of them may. It
// is counted by machines' names, so it is the same for the next leader, which knows a task from
// its record and has not heard its machine.
type Site struct {
	tree    *Tree
	near    *api.Near
	survive *api.Survive
	// nearCounts counts tasks by what near keeps in one place, apart by what survive bounds.
	nearCounts, surviveCounts *Spread
	tasksOn                   map[string]int
	// target is the domain that tasks go to now; nil: any.
	target *Domain
	// nearest and short tell why there is none: the domain that misses the least room, and
	// for how many tasks.
	nearest   *Domain
	shortfall int
}

// NewSite makes one for a job without tasks. Without any wish it is nil.
func (t *Tree) NewSite(near *api.Near, survive *api.Survive) *Site {
	if near == nil && survive == nil {
		return nil
	}
	s := &Site{tree: t, near: near, survive: survive, tasksOn: map[string]int{}}
	if near != nil {
		s.nearCounts = t.NewSpread(near.Level)
	}
	if survive != nil {
		s.surviveCounts = t.NewSpread(survive.Level)
	}
	return s
}

// Rebased is the site over another version of the topology: what runs stays where it is, and
// counts where that now is.
func (s *Site) Rebased(t *Tree) *Site {
	next := t.NewSite(s.near, s.survive)
	for machine, n := range s.tasksOn {
		for range n {
			next.Add(machine)
		}
	}
	return next
}

// Add counts a task that may run on a machine.
func (s *Site) Add(machine string) {
	s.tasksOn[machine]++
	for _, x := range []*Spread{s.nearCounts, s.surviveCounts} {
		if x != nil {
			x.Add(machine)
		}
	}
}

// Remove takes one that is proved gone away.
func (s *Site) Remove(machine string) {
	if s.tasksOn[machine]--; s.tasksOn[machine] <= 0 {
		delete(s.tasksOn, machine)
	}
	for _, x := range []*Spread{s.nearCounts, s.surviveCounts} {
		if x != nil {
			x.Remove(machine)
		}
	}
}

// ChooseDomain chooses where the next tasks of a job go that wants to stand near: n of a size, with
// `may` telling where they may run at all. All: only where room for all of them is. False:
// nowhere now, and it waits.
func (s *Site) ChooseDomain(request fleet.Resources, n int, all bool, allowed func(machine string) bool) bool {
	s.target, s.nearest, s.shortfall = nil, nil, 0
	if s.near == nil || n == 0 {
		return true
	}
	if s.nearCounts.total > 0 {
		// Where the others are, Allows says so; and what only prefers it may leave.
		return true
	}
	best, nearest, shortfall := s.tree.Closest(s.near.Level, Constraint{request, n, allowed, s.survive})
	if best == nil && nearest != nil && shortfall < n && !all {
		best = nearest
	}
	if best == nil {
		s.nearest, s.shortfall = nearest, shortfall
		return !s.near.Must
	}
	s.target = best
	return true
}

// ChooseDomainByPreemption is Aim for a job that may stop others: it goes to the domain where that
// loses the least. False: nowhere.
func (s *Site) ChooseDomainByPreemption(request fleet.Resources, n int, allowed func(machine string) bool, offer func(machine string) []int64) bool {
	if s.near == nil || s.nearCounts.total > 0 {
		return false
	}
	s.target = s.tree.Cheapest(s.near.Level, Constraint{request, n, allowed, s.survive}, offer)
	return s.target != nil
}

// SoonestDomain finds the domain that has room for a job first, and in how long, as offer tells of each
// machine when each further task could start there.
func (s *Site) SoonestDomain(request fleet.Resources, n int, allowed func(machine string) bool, offer func(machine string) []int64) (*Domain, int64) {
	if s.near == nil || s.nearCounts.total > 0 {
		return nil, 0
	}
	return s.tree.Soonest(s.near.Level, Constraint{request, n, allowed, s.survive}, offer)
}

// Allows tells whether one more task may stand on a machine. Whatever may still run counts, so
// no bound is passed while something moves, or after a change of leader.
func (s *Site) Allows(machine string) bool {
	if s.survive != nil && s.survive.Must && !s.surviveCounts.Allows(machine, s.survive.AtMost) {
		return false
	}
	if s.target != nil {
		domain := s.tree.Of(machine)
		if domain == nil || !domain.Within(s.target) {
			return false
		}
	}
	return s.near == nil || !s.near.Must || s.nearCounts.CountAt(machine) == s.nearCounts.total
}

// Cost is how many reasons speak against a machine that is allowed: tasks of the job that
// would fall with it, for those that want to survive, and one for standing away from the
// others, for those that want to stand near.
func (s *Site) Cost(machine string) float64 {
	cost := 0.0
	if s.survive != nil {
		cost += float64(s.surviveCounts.CountAt(machine))
	}
	if s.near != nil && s.nearCounts.CountAt(machine) < s.nearCounts.total {
		cost++
	}
	return cost
}

// Reason says what keeps a job from being placed, or "".
func (s *Site) Reason() string {
	switch {
	case s.near == nil || !s.near.Must || s.target != nil || s.nearCounts.total > 0 || s.shortfall == 0:
		return ""
	case s.nearest == nil:
		return fmt.Sprintf("no %s has room for any of its tasks", s.near.Level)
	}
	return fmt.Sprintf("no %s has room for all of it: %s %q has none for %d", s.near.Level, s.nearest.Level, s.nearest.Name, s.shortfall)
}

// Infeasible tells why a job of so many tasks that run at once can never stand as it asks; "":
// it can.
func Infeasible(near *api.Near, survive *api.Survive, tasks int) string {
	if near == nil || survive == nil || !near.Must || !survive.Must || levelDepth[survive.Level] > levelDepth[near.Level] || tasks <= survive.AtMost {
		return ""
	}
	return fmt.Sprintf("must stand in one %s, so %d tasks are in one %s and at most %d may be; make one of the two a wish (\"must\": false)",
		near.Level, tasks, survive.Level, survive.AtMost)
}
