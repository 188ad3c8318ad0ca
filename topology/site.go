package topology

import (
	"fmt"

	"switchferry/api"
	"switchferry/fleet"
)

// Site tracks where the tasks of one job run, or may still run, and where more of them may run under the job's affinity
// (near) and spread (survive). It counts by machine names, so that a new leader, which knows tasks from records before
// their machines report, comes to the same result. A Site is not safe for concurrent use.
type Site struct {
	tree    *Tree
	near    *api.Near
	survive *api.Survive
	// nearCounts counts the tasks by failure domain at the level of near, and surviveCounts at that of survive; nil
	// without the one or the other.
	nearCounts, surviveCounts *Spread
	// tasksOn counts the tasks by machine.
	tasksOn map[string]int
	// target is the domain that waiting tasks are placed in; nil: any.
	target *Domain
	// nearest and shortfall say why there is no target: the domain in which the fewest tasks could not start, and their
	// number.
	nearest   *Domain
	shortfall int
}

// NewSite returns the site of a job without tasks, or nil if the job has neither affinity nor spread.
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

// Rebased returns the site on another version of the topology: running tasks stay on their machines and count in the
// domains that these are in now.
func (s *Site) Rebased(tree *Tree) *Site {
	next := tree.NewSite(s.near, s.survive)
	for machine, count := range s.tasksOn {
		for range count {
			next.Add(machine)
		}
	}
	return next
}

// Add counts a task that may run on a machine.
func (s *Site) Add(machine string) {
	s.tasksOn[machine]++
	for _, counts := range [...]*Spread{s.nearCounts, s.surviveCounts} {
		if counts != nil {
			counts.Add(machine)
		}
	}
}

// Remove removes a task that was added on a machine and is known to be gone.
func (s *Site) Remove(machine string) {
	if s.tasksOn[machine]--; s.tasksOn[machine] <= 0 {
		delete(s.tasksOn, machine)
	}
	for _, counts := range [...]*Spread{s.nearCounts, s.surviveCounts} {
		if counts != nil {
			counts.Remove(machine)
		}
	}
}

// unplacedWithAffinity reports whether the job has an affinity and no task yet. Once it has tasks, Allows keeps the others
// near them.
func (s *Site) unplacedWithAffinity() bool { return s.near != nil && s.nearCounts.total == 0 }

// constraint returns what a domain must offer to n more tasks.
func (s *Site) constraint(request fleet.Resources, n int, allowed func(machine string) bool) Constraint {
	return Constraint{Resources: request, Tasks: n, Allowed: allowed, Spread: s.survive}
}

// ChooseDomain chooses the domain in which the next n tasks of a job, each with the same request, are placed; allowed
// reports whether they may run on a machine. If all is set, the domain must have the resources for all of them at once;
// else, if none has, the one in which the most can start is chosen. It returns false if the tasks have to wait.
func (s *Site) ChooseDomain(request fleet.Resources, n int, all bool, allowed func(machine string) bool) bool {
	s.target, s.nearest, s.shortfall = nil, nil, 0
	if !s.unplacedWithAffinity() || n == 0 {
		return true
	}
	best, nearest, shortfall := s.tree.Closest(s.near.Level, s.constraint(request, n, allowed))
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

// ChooseDomainByPreemption chooses a domain like ChooseDomain for a job that may preempt others: the one where that loses
// the least. Offer returns what each further task on a machine loses, as for Tree.Cheapest. It returns false if there is
// no such domain.
func (s *Site) ChooseDomainByPreemption(request fleet.Resources, n int, allowed func(machine string) bool, offer func(machine string) []int64) bool {
	if !s.unplacedWithAffinity() {
		return false
	}
	s.target = s.tree.Cheapest(s.near.Level, s.constraint(request, n, allowed), offer)
	return s.target != nil
}

// SoonestDomain returns the domain that first has the resources for n tasks, and in how long. Offer returns in how long
// each further task on a machine could start, in any unit. The domain is nil if there is none, the job has no affinity, or
// some of its tasks run already.
func (s *Site) SoonestDomain(request fleet.Resources, n int, allowed func(machine string) bool, offer func(machine string) []int64) (*Domain, int64) {
	if !s.unplacedWithAffinity() {
		return nil, 0
	}
	return s.tree.Soonest(s.near.Level, s.constraint(request, n, allowed), offer)
}

// Allows reports whether one more task may be placed on a machine. All tasks that may still run count, so that no bound
// is exceeded while tasks move or after a change of leader.
func (s *Site) Allows(machine string) bool {
	if s.survive != nil && s.survive.Must && !s.surviveCounts.Allows(machine, s.survive.AtMost) {
		return false
	}
	if s.target != nil && !s.tree.Of(machine).Within(s.target) {
		return false
	}
	return s.near == nil || !s.near.Must || s.nearCounts.CountAt(machine) == s.nearCounts.total
}

// Cost returns how much speaks against a machine that Allows permits: with a spread, one for each task of the job in the
// same failure domain, and with an affinity, one if other tasks are elsewhere.
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

// Reason returns why ChooseDomain found no domain, for users, or "".
func (s *Site) Reason() string {
	switch {
	case s.near == nil || !s.near.Must || s.target != nil || s.nearCounts.total > 0 || s.shortfall == 0:
		return ""
	case s.nearest == nil:
		return fmt.Sprintf("no %s has room for any of its tasks", s.near.Level)
	}
	return fmt.Sprintf("no %s has room for all of it: %s %q has none for %d", s.near.Level, s.nearest.Level, s.nearest.Name, s.shortfall)
}

// Infeasible returns why no fleet can ever run so many tasks at once under an affinity and a spread, for users, or "" if
// these do not contradict each other.
func Infeasible(near *api.Near, survive *api.Survive, tasks int) string {
	if near == nil || survive == nil || !near.Must || !survive.Must || levelDepth[survive.Level] > levelDepth[near.Level] || tasks <= survive.AtMost {
		return ""
	}
	return fmt.Sprintf("must stand in one %s, so %d tasks are in one %s and at most %d may be; make one of the two a wish (\"must\": false)",
		near.Level, tasks, survive.Level, survive.AtMost)
}
