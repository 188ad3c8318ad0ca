package topology

import (
	"fmt"

	"switchferry/api"
	"switchferry/fleet"
)

// JobPlacement counts the tasks of one job, by the machines on which they run or may still run, and determines where
// more of them may be placed under the job's affinity and spread. It knows machines by name only, so a new leader,
// which reads the tasks from records before their machines send heartbeats, gets the same results. A JobPlacement is
// not safe for concurrent use.
type JobPlacement struct {
	tree     *Tree
	affinity *api.Near
	spread   *api.Survive
	// affinityCounts counts the tasks by failure domain at the level of the affinity, and spreadCounts at that of the
	// spread. Each is nil if the job has no such constraint.
	affinityCounts, spreadCounts *TaskCounts
	// tasksOn counts the tasks by machine.
	tasksOn map[string]int
	// target is the domain in which waiting tasks must be placed; nil if they may be placed in any.
	target *Domain
	// partialDomain and shortfall say why the last ChooseDomain found no target: the domain in which the most tasks
	// could start, and the number of tasks that could not. If partialDomain is nil, there is no domain at the level.
	partialDomain *Domain
	shortfall     int
}

// NewJobPlacement returns a JobPlacement for a job that has no tasks placed yet, or nil if the job has neither affinity
// nor spread.
func (t *Tree) NewJobPlacement(affinity *api.Near, spread *api.Survive) *JobPlacement {
	if affinity == nil && spread == nil {
		return nil
	}
	s := &JobPlacement{tree: t, affinity: affinity, spread: spread, tasksOn: map[string]int{}}
	if affinity != nil {
		s.affinityCounts = t.NewTaskCounts(affinity.Level)
	}
	if spread != nil {
		s.spreadCounts = t.NewTaskCounts(spread.Level)
	}
	return s
}

// Rebased returns a copy of s for a tree with another version of the topology. The tasks stay on their machines
// and are counted in the domains of these machines in that version.
func (s *JobPlacement) Rebased(tree *Tree) *JobPlacement {
	next := tree.NewJobPlacement(s.affinity, s.spread)
	for machine, count := range s.tasksOn {
		for range count {
			next.Add(machine)
		}
	}
	return next
}

// Add adds a task that runs, or may still run, on a machine.
func (s *JobPlacement) Add(machine string) {
	s.tasksOn[machine]++
	for _, counts := range [...]*TaskCounts{s.affinityCounts, s.spreadCounts} {
		if counts != nil {
			counts.Add(machine)
		}
	}
}

// Remove removes a task that was added for a machine and is known to have ended.
func (s *JobPlacement) Remove(machine string) {
	if s.tasksOn[machine]--; s.tasksOn[machine] <= 0 {
		delete(s.tasksOn, machine)
	}
	for _, counts := range [...]*TaskCounts{s.affinityCounts, s.spreadCounts} {
		if counts != nil {
			counts.Remove(machine)
		}
	}
}

// unplacedWithAffinity reports whether the job has an affinity and no task yet. A domain is chosen only then: once the
// job has tasks, Allows and Cost keep further ones in the same failure domain.
func (s *JobPlacement) unplacedWithAffinity() bool {
	return s.affinity != nil && s.affinityCounts.total == 0
}

// constraint returns what a domain must offer to n additional tasks.
func (s *JobPlacement) constraint(request fleet.Resources, n int, allowed func(machine string) bool) Constraint {
	return Constraint{Resources: request, Tasks: n, Allowed: allowed, Spread: s.spread}
}

// ChooseDomain chooses the domain in which the next n tasks of the job are placed, each of which requests the same
// resources. The function allowed reports whether they may run on a machine. If requireAll is set, only a domain in
// which all of them can start at the same time is chosen; otherwise, if there is none, the one in which the most can
// start. ChooseDomain returns false if the tasks must wait.
func (s *JobPlacement) ChooseDomain(request fleet.Resources, n int, requireAll bool, allowed func(machine string) bool) bool {
	s.target, s.partialDomain, s.shortfall = nil, nil, 0
	if !s.unplacedWithAffinity() || n == 0 {
		return true
	}
	best, partial, shortfall := s.tree.BestDomain(s.affinity.Level, s.constraint(request, n, allowed))
	if best == nil && partial != nil && shortfall < n && !requireAll {
		best = partial
	}
	if best == nil {
		s.partialDomain, s.shortfall = partial, shortfall
		return !s.affinity.Required
	}
	s.target = best
	return true
}

// ChooseDomainByPreemption chooses a domain like ChooseDomain, for a job that may preempt others: the domain in which
// preemption costs the least. The function offer returns the cost of each additional task on a machine, as for
// Tree.CheapestDomain. ChooseDomainByPreemption returns false if there is no such domain.
func (s *JobPlacement) ChooseDomainByPreemption(request fleet.Resources, n int, allowed func(machine string) bool, offer func(machine string) []int64) bool {
	if !s.unplacedWithAffinity() {
		return false
	}
	s.target = s.tree.CheapestDomain(s.affinity.Level, s.constraint(request, n, allowed), offer)
	return s.target != nil
}

// SoonestDomain returns the domain that is the first to have the resources for n tasks, and the time until then. The
// function offer returns the time until each additional task on a machine could start, in a unit that the caller
// chooses. The domain is nil if there is none, the job has no affinity, or the job has tasks already.
func (s *JobPlacement) SoonestDomain(request fleet.Resources, n int, allowed func(machine string) bool, offer func(machine string) []int64) (*Domain, int64) {
	if !s.unplacedWithAffinity() {
		return nil, 0
	}
	return s.tree.SoonestDomain(s.affinity.Level, s.constraint(request, n, allowed), offer)
}

// Allows reports whether one more task may be placed on a machine. Tasks that may still run count as running, so that
// no limit is exceeded while tasks move between machines or after a change of leader.
func (s *JobPlacement) Allows(machine string) bool {
	if s.spread != nil && s.spread.Required && !s.spreadCounts.Allows(machine, s.spread.MaxTasks) {
		return false
	}
	if s.target != nil && !s.tree.DomainOf(machine).Within(s.target) {
		return false
	}
	return s.affinity == nil || !s.affinity.Required || s.affinityCounts.CountAt(machine) == s.affinityCounts.total
}

// Cost returns the penalty for placing one more task on a machine that Allows permits; lower is better. A spread adds 1
// for each task of the job in the machine's failure domain, and an affinity adds 1 if tasks of the job are outside the
// machine's failure domain.
func (s *JobPlacement) Cost(machine string) float64 {
	cost := 0.0
	if s.spread != nil {
		cost += float64(s.spreadCounts.CountAt(machine))
	}
	if s.affinity != nil && s.affinityCounts.CountAt(machine) < s.affinityCounts.total {
		cost++
	}
	return cost
}

// Reason returns a message for users that says why the last ChooseDomain returned false, or "" if the tasks need not
// wait for a domain.
func (s *JobPlacement) Reason() string {
	switch {
	case s.affinity == nil || !s.affinity.Required || s.target != nil || s.affinityCounts.total > 0 || s.shortfall == 0:
		return ""
	case s.partialDomain == nil:
		return fmt.Sprintf("no %s has room for any of its tasks", s.affinity.Level)
	}
	return fmt.Sprintf("no %s has room for all of it: %s %q has none for %d", s.affinity.Level, s.partialDomain.Level, s.partialDomain.Name, s.shortfall)
}

// InfeasibleReason returns a message for users if an affinity and a spread contradict each other, so that no fleet
// could run so many tasks at the same time, or "" if they do not.
func InfeasibleReason(affinity *api.Near, spread *api.Survive, tasks int) string {
	if affinity == nil || spread == nil || !affinity.Required || !spread.Required || levelDepth[spread.Level] > levelDepth[affinity.Level] || tasks <= spread.MaxTasks {
		return ""
	}
	return fmt.Sprintf("must run in one %s, so %d tasks would be in one %s, in which at most %d may run; make one of the two a preference (\"must\": false)",
		affinity.Level, tasks, spread.Level, spread.MaxTasks)
}
