package topology

import (
	"cmp"
	"iter"
	"slices"

	"switchferry/api"
	"switchferry/fleet"
)

// Constraint is what a domain must offer to a number of tasks that are to run in it at the same time.
type Constraint struct {
	// Resources is what each task requests.
	Resources fleet.Resources
	// Tasks is the number of tasks.
	Tasks int
	// Allowed reports whether the tasks may run on a machine; if it is nil, they may run on all machines.
	Allowed func(machine string) bool
	// Spread limits how many of the tasks may share a failure domain. There is no limit if it is nil or its Required
	// is false.
	Spread *api.Survive
}

// admits reports whether a machine is usable and the tasks may run on it.
func (c *Constraint) admits(node *machineNode) bool {
	return node.usable && (c.Allowed == nil || c.Allowed(node.name))
}

// limitsSpread reports whether the number of tasks in one failure domain is limited.
func (c *Constraint) limitsSpread() bool { return c.Spread != nil && c.Spread.Required }

// StartableTasks returns how many of the tasks could start in a domain at the same time; at most constraint.Tasks.
func (t *Tree) StartableTasks(domain *Domain, constraint Constraint) int {
	startable := 0
	var placed map[FailureDomain]int
	if constraint.limitsSpread() {
		placed = map[FailureDomain]int{}
	}
	for node := range t.totals[domain].machines {
		if !constraint.admits(node) {
			continue
		}
		tasks := node.free.Count(constraint.Resources)
		if placed != nil {
			failureDomain := t.FailureDomain(node.name, constraint.Spread.Level)
			tasks = min(tasks, constraint.Spread.MaxTasks-placed[failureDomain])
			placed[failureDomain] += tasks
		}
		if startable += tasks; startable >= constraint.Tasks {
			return constraint.Tasks
		}
	}
	return startable
}

// BestDomain returns the best domain, at a level or an inner one, in which all tasks could start at the same time: an
// innermost one and, among those, the one with the least free resources, which avoids fragmentation of the others. If
// there is none, best is nil, partial is the domain in which the most tasks could start, and shortfall is the number of
// tasks that could not.
func (t *Tree) BestDomain(level string, constraint Constraint) (best, partial *Domain, shortfall int) {
	all := constraint.Resources.Scale(constraint.Tasks)
	shortfall = constraint.Tasks + 1
	for domain := range t.domainsAtOrBelow(level) {
		free := t.totals[domain].free
		// StartableTasks visits every machine of a domain, so it is called only if its result can matter. In a domain
		// whose total free resources are too small for all tasks, that is only so if there is no best domain yet and
		// the total alone does not already imply a shortfall at least as large as the smallest one so far.
		fits := free.Fits(all)
		if !fits && (best != nil || constraint.Tasks-min(constraint.Tasks, free.Count(constraint.Resources)) >= shortfall) {
			continue
		}
		if fits && best != nil && !t.preferred(domain, best) {
			continue
		}
		missing := constraint.Tasks - t.StartableTasks(domain, constraint)
		switch {
		case fits && missing == 0:
			best = domain
		case missing < shortfall:
			partial, shortfall = domain, missing
		}
	}
	if best != nil {
		return best, nil, 0
	}
	return nil, partial, shortfall
}

// CheapestDomain returns the domain, at a level or an inner one, in which all tasks can be started at the least total
// cost, or nil if there is none. The function offer returns the cost of each additional task on a machine, in the order
// in which they would be started, for as many tasks as the machine can run; a task that fits into free resources costs
// 0. In each domain, the tasks with the lowest costs are chosen.
func (t *Tree) CheapestDomain(level string, constraint Constraint, offer func(machine string) []int64) *Domain {
	domain, _ := t.cheapestBy(level, constraint, offer, func(sum, _ int64) int64 { return sum })
	return domain
}

// SoonestDomain returns the domain, at a level or an inner one, in which the last of the tasks can start soonest, and
// when that is. The domain is nil if there is none. The function offer returns when each additional task on a machine
// could start, in a unit of time that the caller chooses.
func (t *Tree) SoonestDomain(level string, constraint Constraint, offer func(machine string) []int64) (*Domain, int64) {
	return t.cheapestBy(level, constraint, offer, func(_, last int64) int64 { return last })
}

// cheapestBy returns the domain with the least cost and that cost. The function costOf computes the cost of a domain
// from the sum and the highest of its tasks' costs.
func (t *Tree) cheapestBy(level string, constraint Constraint, offer func(machine string) []int64, costOf func(sum, highest int64) int64) (best *Domain, least int64) {
	offers := map[*machineNode][]int64{}
	offerOnce := func(node *machineNode) []int64 {
		costs, known := offers[node]
		if !known {
			costs = offer(node.name)
			offers[node] = costs
		}
		return costs
	}
	for domain := range t.domainsAtOrBelow(level) {
		sum, highest, ok := t.taskCosts(domain, constraint, offerOnce)
		if !ok {
			continue
		}
		if cost := costOf(sum, highest); best == nil || cost < least || cost == least && t.preferred(domain, best) {
			best, least = domain, cost
		}
	}
	return best, least
}

// offeredTask is one task that could start on a machine.
type offeredTask struct {
	cost int64
	// failureDomain is the failure domain in which the task counts towards the limit of the constraint's spread; the
	// zero value if there is no limit.
	failureDomain FailureDomain
}

// taskCosts returns the sum and the highest of the costs of the cheapest tasks that a domain offers, and false if it
// offers fewer tasks than the constraint requires.
func (t *Tree) taskCosts(domain *Domain, constraint Constraint, offer func(*machineNode) []int64) (sum, highest int64, ok bool) {
	offered := t.offeredTasks(domain, constraint, offer)
	if len(offered) < constraint.Tasks {
		return 0, 0, false
	}
	slices.SortFunc(offered, func(a, b offeredTask) int { return cmp.Compare(a.cost, b.cost) })
	placed := map[FailureDomain]int{}
	tasks := 0
	for _, task := range offered {
		if tasks == constraint.Tasks {
			break
		}
		if task.failureDomain != (FailureDomain{}) && placed[task.failureDomain] >= constraint.Spread.MaxTasks {
			continue
		}
		placed[task.failureDomain]++
		tasks, sum, highest = tasks+1, sum+task.cost, task.cost
	}
	return sum, highest, tasks == constraint.Tasks
}

// offeredTasks returns the tasks that could start on the machines of a domain, in unspecified order.
func (t *Tree) offeredTasks(domain *Domain, constraint Constraint, offer func(*machineNode) []int64) (offered []offeredTask) {
	for node := range t.totals[domain].machines {
		if !constraint.admits(node) {
			continue
		}
		var failureDomain FailureDomain
		if constraint.limitsSpread() {
			failureDomain = t.FailureDomain(node.name, constraint.Spread.Level)
		}
		highest := int64(0)
		for _, cost := range offer(node) {
			// The tasks of a machine are started in order, so a later one cannot cost less than an earlier one.
			highest = max(highest, cost)
			offered = append(offered, offeredTask{highest, failureDomain})
		}
	}
	return offered
}

// domainsAtOrBelow yields the domains at a level or an inner one, in the order of declaration.
func (t *Tree) domainsAtOrBelow(level string) iter.Seq[*Domain] {
	return func(yield func(*Domain) bool) {
		for _, domain := range t.topology.domains {
			if levelDepth[domain.Level] >= levelDepth[level] && !yield(domain) {
				return
			}
		}
	}
}

// preferred reports whether domain is preferred to other if the tasks could start in both. The one at the inner level
// is preferred, then the one with fewer free CPUs, then fewer free cards, then the lesser name.
func (t *Tree) preferred(domain, other *Domain) bool {
	free, otherFree := t.totals[domain].free, t.totals[other].free
	return cmp.Or(
		cmp.Compare(levelDepth[other.Level], levelDepth[domain.Level]),
		cmp.Compare(free.CPUs, otherFree.CPUs),
		cmp.Compare(free.Cards, otherFree.Cards),
		cmp.Compare(domain.Name, other.Name),
	) < 0
}
