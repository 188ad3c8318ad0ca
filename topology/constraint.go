package topology

import (
	"cmp"
	"iter"
	"slices"

	"switchferry/api"
	"switchferry/fleet"
)

// Constraint is what a domain must offer to a number of tasks that run at once.
type Constraint struct {
	// Resources is what each task requests.
	Resources fleet.Resources
	Tasks     int
	// Allowed reports whether the tasks may run on a machine; nil: on all.
	Allowed func(machine string) bool
	// Spread bounds, if it is a must, how many of the tasks may share a failure domain; nil: any number.
	Spread *api.Survive
}

// admits reports whether the tasks may run on a machine now.
func (c *Constraint) admits(node *machineNode) bool {
	return node.usable && (c.Allowed == nil || c.Allowed(node.name))
}

// bounded reports whether the number of tasks in one failure domain is bounded.
func (c *Constraint) bounded() bool { return c.Spread != nil && c.Spread.Must }

// Fit returns how many of the tasks, all of them at most, could start in a domain at once.
func (t *Tree) Fit(domain *Domain, constraint Constraint) int {
	fit := 0
	var placed map[Place]int
	if constraint.bounded() {
		placed = map[Place]int{}
	}
	for node := range t.totals[domain].machines {
		if !constraint.admits(node) {
			continue
		}
		tasks := node.free.Count(constraint.Resources)
		if placed != nil {
			place := t.Place(node.name, constraint.Spread.Level)
			tasks = min(tasks, constraint.Spread.AtMost-placed[place])
			placed[place] += tasks
		}
		if fit += tasks; fit >= constraint.Tasks {
			return constraint.Tasks
		}
	}
	return fit
}

// Closest returns the best domain, at a level or further in, in which all tasks could start together: of the innermost
// ones that the one with the least free resources, so that large free blocks stay whole. If there is none, best is nil,
// nearest is the domain in which the fewest tasks could not start, and shortfall their number.
func (t *Tree) Closest(level string, constraint Constraint) (best, nearest *Domain, shortfall int) {
	all := constraint.Resources.Scale(constraint.Tasks)
	shortfall = constraint.Tasks + 1
	for domain := range t.domainsFrom(level) {
		free := t.totals[domain].free
		// Fit visits every machine of a domain, so it is called only if its result could matter: in a domain whose total
		// is too small, only if there is none better and the total alone does not miss as many tasks already.
		fits := free.Fits(all)
		if !fits && (best != nil || constraint.Tasks-min(constraint.Tasks, free.Count(constraint.Resources)) >= shortfall) {
			continue
		}
		if fits && best != nil && !t.preferred(domain, best) {
			continue
		}
		missing := constraint.Tasks - t.Fit(domain, constraint)
		switch {
		case fits && missing == 0:
			best = domain
		case missing < shortfall:
			nearest, shortfall = domain, missing
		}
	}
	if best != nil {
		return best, nil, 0
	}
	return nil, nearest, shortfall
}

// Cheapest returns the domain, at a level or further in, in which all tasks can be started at the least total cost, or
// nil if there is none. Offer returns what each further task on a machine costs, in the order in which they would be
// started, for as many as are possible; a task that fits into free resources costs 0. The tasks of a domain are chosen by
// the least next cost, machine by machine.
func (t *Tree) Cheapest(level string, constraint Constraint, offer func(machine string) []int64) *Domain {
	domain, _ := t.cheapestBy(level, constraint, offer, func(sum, _ int64) int64 { return sum })
	return domain
}

// Soonest returns the domain, at a level or further in, in which all tasks can have started soonest, and when the last of
// them does; nil if there is none. Offer returns when each further task on a machine could start, in any unit of time.
func (t *Tree) Soonest(level string, constraint Constraint, offer func(machine string) []int64) (*Domain, int64) {
	return t.cheapestBy(level, constraint, offer, func(_, last int64) int64 { return last })
}

// cheapestBy returns the domain with the least cost, which costOf makes of the sum and the last one of its tasks' costs.
func (t *Tree) cheapestBy(level string, constraint Constraint, offer func(machine string) []int64, costOf func(sum, last int64) int64) (best *Domain, least int64) {
	offers := map[*machineNode][]int64{}
	offerOnce := func(node *machineNode) []int64 {
		costs, known := offers[node]
		if !known {
			costs = offer(node.name)
			offers[node] = costs
		}
		return costs
	}
	for domain := range t.domainsFrom(level) {
		sum, last, ok := t.taskCosts(domain, constraint, offerOnce)
		if !ok {
			continue
		}
		if cost := costOf(sum, last); best == nil || cost < least || cost == least && t.preferred(domain, best) {
			best, least = domain, cost
		}
	}
	return best, least
}

// offeredTask is one task that could start on a machine, and the failure domain that counts for the constraint's spread;
// the zero Place: none does.
type offeredTask struct {
	cost  int64
	place Place
}

// taskCosts returns the sum and the last one of the costs of the cheapest tasks that a domain offers, and false if it does
// not offer as many as the constraint asks for.
func (t *Tree) taskCosts(domain *Domain, constraint Constraint, offer func(*machineNode) []int64) (sum, last int64, ok bool) {
	offered := t.offeredTasks(domain, constraint, offer)
	if len(offered) < constraint.Tasks {
		return 0, 0, false
	}
	slices.SortFunc(offered, func(a, b offeredTask) int { return cmp.Compare(a.cost, b.cost) })
	placed := map[Place]int{}
	tasks := 0
	for _, task := range offered {
		if tasks == constraint.Tasks {
			break
		}
		if task.place != (Place{}) && placed[task.place] >= constraint.Spread.AtMost {
			continue
		}
		placed[task.place]++
		tasks, sum, last = tasks+1, sum+task.cost, task.cost
	}
	return sum, last, tasks == constraint.Tasks
}

// offeredTasks returns the tasks that could start on the machines of a domain, in no order.
func (t *Tree) offeredTasks(domain *Domain, constraint Constraint, offer func(*machineNode) []int64) (offered []offeredTask) {
	for node := range t.totals[domain].machines {
		if !constraint.admits(node) {
			continue
		}
		var place Place
		if constraint.bounded() {
			place = t.Place(node.name, constraint.Spread.Level)
		}
		highest := int64(0)
		for _, cost := range offer(node) {
			// A later task of a machine cannot be had before an earlier one, so it is no cheaper.
			highest = max(highest, cost)
			offered = append(offered, offeredTask{highest, place})
		}
	}
	return offered
}

// domainsFrom yields the domains at a level or further in, in declared order.
func (t *Tree) domainsFrom(level string) iter.Seq[*Domain] {
	return func(yield func(*Domain) bool) {
		for _, domain := range t.topology.domains {
			if levelDepth[domain.Level] >= levelDepth[level] && !yield(domain) {
				return
			}
		}
	}
}

// preferred reports whether domain is preferred to other if tasks could start in both: the one further in, then the one
// with fewer free resources, then by name.
func (t *Tree) preferred(domain, other *Domain) bool {
	free, otherFree := t.totals[domain].free, t.totals[other].free
	return cmp.Or(
		cmp.Compare(levelDepth[other.Level], levelDepth[domain.Level]),
		cmp.Compare(free.CPUs, otherFree.CPUs),
		cmp.Compare(free.Cards, otherFree.Cards),
		cmp.Compare(domain.Name, other.Name),
	) < 0
}
