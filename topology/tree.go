package topology

import (
	"cmp"
	"slices"

	"switchferry/api"
	"switchferry/fleet"
)

// Tree is where the machines of a fleet stand and how much room each domain has free. A
// machine's change costs a step for each level above it, however large the fleet. It is
// not safe for use from several places at once.
type Tree struct {
	topology *Map
	machines map[string]*machineNode
	totals   map[*Domain]*domainTotals
	// unlisted are machines that no domain of the map names; each is its own domain.
	// Ambiguous are those that two name.
	unlisted, ambiguous int
}

type machineNode struct {
	name      string
	domain    *Domain
	free      fleet.Resources
	ambiguous bool
	usable    bool
}

type domainTotals struct {
	free     fleet.Resources
	machines map[*machineNode]bool
	usable   int
}

// NewTree makes an empty tree over a map.
func NewTree(topology *Map) *Tree {
	t := &Tree{topology: topology, machines: map[string]*machineNode{}, totals: map[*Domain]*domainTotals{}}
	for _, domain := range topology.domains {
		t.totals[domain] = &domainTotals{machines: map[*machineNode]bool{}}
	}
	return t
}

// Map is the version that the tree stands on.
func (t *Tree) Map() *Map { return t.topology }

// Rebased is the tree of the same machines over another map: a new version of the whole.
func (t *Tree) Rebased(topology *Map) *Tree {
	next := NewTree(topology)
	for _, node := range t.machines {
		next.Set(node.name, node.free, node.usable)
	}
	return next
}

// Set notes a machine's free room. Of one that may get no work, usable false, nothing
// counts as free.
func (t *Tree) Set(machine string, free fleet.Resources, usable bool) {
	node := t.machines[machine]
	if node == nil {
		node = &machineNode{name: machine}
		node.domain, node.ambiguous = t.topology.Of(machine)
		t.machines[machine] = node
		if node.domain == nil {
			t.unlisted++
		}
		if node.ambiguous {
			t.ambiguous++
		}
		for domain := node.domain; domain != nil; domain = domain.Parent {
			t.totals[domain].machines[node] = true
		}
	}
	was, now := fleet.Resources{}, fleet.Resources{}
	if node.usable {
		was = node.free
	}
	if usable {
		now = free
	}
	for domain := node.domain; domain != nil; domain = domain.Parent {
		totals := t.totals[domain]
		totals.free = totals.free.Sub(was).Add(now)
		if node.usable != usable {
			if usable {
				totals.usable++
			} else {
				totals.usable--
			}
		}
		if totals.usable == 0 {
			// What rounding leaves must not add up over months.
			totals.free = fleet.Resources{}
		}
	}
	node.free, node.usable = free, usable
}

// Remove takes a machine that is gone out.
func (t *Tree) Remove(machine string) {
	node := t.machines[machine]
	if node == nil {
		return
	}
	t.Set(machine, fleet.Resources{}, false)
	for domain := node.domain; domain != nil; domain = domain.Parent {
		delete(t.totals[domain].machines, node)
	}
	if node.domain == nil {
		t.unlisted--
	}
	if node.ambiguous {
		t.ambiguous--
	}
	delete(t.machines, machine)
}

// Unlisted is how many machines no domain names, Ambiguous how many two name.
func (t *Tree) Unlisted() int  { return t.unlisted }
func (t *Tree) Ambiguous() int { return t.ambiguous }

// Of is the domain that a machine stands in, also of one that is known from a record only;
// nil: none.
func (t *Tree) Of(machine string) *Domain {
	if node := t.machines[machine]; node != nil {
		return node.domain
	}
	domain, _ := t.topology.Of(machine)
	return domain
}

// Path names the domains that a machine stands in, innermost first. It must not be changed.
func (t *Tree) Path(machine string) []string {
	if domain := t.Of(machine); domain != nil {
		return domain.path
	}
	return nil
}

// Place is what falls together with a machine at a level: its domain there, or, where it stands
// domain none, the machine itself.
type Place struct {
	Domain  *Domain
	Machine string
}

// Place is a machine's at a level.
func (t *Tree) Place(machine, level string) Place {
	if level != Machine {
		for domain := t.Of(machine); domain != nil; domain = domain.Parent {
			if domain.Level == level {
				return Place{Domain: domain}
			}
		}
	}
	return Place{Machine: machine}
}

// Free is a domain's free room, Usable how many of its machines may get work, Machines how
// many it has.
func (t *Tree) Free(domain *Domain) fleet.Resources { return t.totals[domain].free }
func (t *Tree) Usable(domain *Domain) int           { return t.totals[domain].usable }
func (t *Tree) Machines(domain *Domain) int         { return len(t.totals[domain].machines) }

// Constraint is room for tasks of a size. May tells where they may run; nil: everywhere. Cap bounds
// how many may stand in one domain, if it must; nil: any number.
type Constraint struct {
	Resources fleet.Resources
	Tasks     int
	Allowed   func(machine string) bool
	Spread    *api.Survive
}

// Fit is how many of the tasks a domain has room for at once, machine by machine.
func (t *Tree) Fit(domain *Domain, constraint Constraint) int {
	n := 0
	var placed map[Place]int
	capped := constraint.Spread != nil && constraint.Spread.Must
	if capped {
		placed = map[Place]int{}
	}
	for node := range t.totals[domain].machines {
		if !node.usable || constraint.Allowed != nil && !constraint.Allowed(node.name) {
			continue
		}
		k := node.free.Multiple(constraint.Resources)
		if capped {
			key := t.Place(node.name, constraint.Spread.Level)
			k = min(k, constraint.Spread.AtMost-placed[key])
			placed[key] += k
		}
		if n += k; n >= constraint.Tasks {
			return constraint.Tasks
		}
	}
	return n
}

// Closest finds the domain that tasks should stand in together, at a level or further in:
// of the innermost ones that hold all of them the one with the least room left over, so
// that the largest holes stay whole. Nil: no domain does; then nearest is the one that
// misses the least, and short by how many tasks. Domains whose summed room does not do are
// not looked into.
func (t *Tree) Closest(level string, constraint Constraint) (best, nearest *Domain, shortfall int) {
	n := constraint.Tasks
	all := constraint.Resources.Scale(n)
	shortfall = n + 1
	for _, domain := range t.topology.domains {
		if levelDepth[domain.Level] < levelDepth[level] {
			continue
		}
		totals := t.totals[domain]
		if !totals.free.Fits(all) {
			// It cannot; by how much is looked at only while nothing better is known.
			if best == nil {
				if missing := n - min(n, totals.free.Multiple(constraint.Resources)); missing < shortfall {
					if missing = n - t.Fit(domain, constraint); missing < shortfall {
						nearest, shortfall = domain, missing
					}
				}
			}
			continue
		}
		if best != nil && !t.preferred(domain, best) {
			continue
		}
		if got := t.Fit(domain, constraint); got == n {
			best = domain
		} else if n-got < shortfall {
			nearest, shortfall = domain, n-got
		}
	}
	if best != nil {
		return best, nil, 0
	}
	return nil, nearest, shortfall
}

// Cheapest finds the domain, at a level or further in, where room for all tasks can be made at
// the least loss; nil: nowhere. Offer tells what each further task on a machine costs, in the
// order in which they would come, up to as many as could be; 0 where room is free. It is
// cheapest as far as taking the least next cost is, machine by machine.
func (t *Tree) Cheapest(level string, constraint Constraint, offer func(machine string) []int64) *Domain {
	domain, _ := t.cheapestBy(level, constraint, offer, func(sum, _ int64) int64 { return sum })
	return domain
}

// Soonest finds the domain, at a level or further in, that has room for all tasks first, and
// when; nil: none has. Offer tells when each further task on a machine could start.
func (t *Tree) Soonest(level string, constraint Constraint, offer func(machine string) []int64) (*Domain, int64) {
	return t.cheapestBy(level, constraint, offer, func(_, last int64) int64 { return last })
}

// cheapestBy finds the domain whose tasks' costs come to the least; total makes that of their sum
// and the last one.
func (t *Tree) cheapestBy(level string, constraint Constraint, offer func(machine string) []int64, totalOf func(sum, last int64) int64) (best *Domain, least int64) {
	type step struct {
		cost int64
		at   Place
	}
	offers := map[*machineNode][]int64{}
	for _, domain := range t.topology.domains {
		if levelDepth[domain.Level] < levelDepth[level] {
			continue
		}
		var steps []step
		for node := range t.totals[domain].machines {
			if !node.usable || constraint.Allowed != nil && !constraint.Allowed(node.name) {
				continue
			}
			costs, known := offers[node]
			if !known {
				costs = offer(node.name)
				offers[node] = costs
			}
			var at Place
			if constraint.Spread != nil && constraint.Spread.Must {
				at = t.Place(node.name, constraint.Spread.Level)
			}
			worst := int64(0)
			for _, c := range costs {
				// What comes later on a machine cannot be had first.
				worst = max(worst, c)
				steps = append(steps, step{worst, at})
			}
		}
		if len(steps) < constraint.Tasks {
			continue
		}
		slices.SortFunc(steps, func(x, y step) int { return cmp.Compare(x.cost, y.cost) })
		placed := map[Place]int{}
		n, sum, last := 0, int64(0), int64(0)
		for _, s := range steps {
			if n == constraint.Tasks {
				break
			}
			if s.at != (Place{}) && placed[s.at] >= constraint.Spread.AtMost {
				continue
			}
			placed[s.at]++
			n, sum, last = n+1, sum+s.cost, s.cost
		}
		if n < constraint.Tasks {
			continue
		}
		if x := totalOf(sum, last); best == nil || x < least || x == least && t.preferred(domain, best) {
			best, least = domain, x
		}
	}
	return best, least
}

// preferred tells whether d is the better place of two that hold a job: further in, then
// with less room left, then by name.
func (t *Tree) preferred(domain, other *Domain) bool {
	return cmp.Or(cmp.Compare(levelDepth[other.Level], levelDepth[domain.Level]), cmp.Compare(t.totals[domain].free.CPUs, t.totals[other].free.CPUs),
		cmp.Compare(t.totals[domain].free.Cards, t.totals[other].free.Cards), cmp.Compare(domain.Name, other.Name)) < 0
}

// MachineNames are a domain's machines, in order.
func (t *Tree) MachineNames(domain *Domain) []string {
	var out []string
	for node := range t.totals[domain].machines {
		out = append(out, node.name)
	}
	slices.Sort(out)
	return out
}

// FreeOn is a machine's free room and whether it may get work.
func (t *Tree) FreeOn(machine string) (fleet.Resources, bool) {
	if node := t.machines[machine]; node != nil {
		return node.free, node.usable
	}
	return fleet.Resources{}, false
}

// Spread counts a job's replicas by what falls together at a level. Whatever may still run
// must be added: silent ones, and those that are being stopped, until they are proved gone.
type Spread struct {
	tree    *Tree
	level   string
	tasksAt map[Place]int
	total   int
}

// NewSpread counts nothing yet.
func (t *Tree) NewSpread(level string) *Spread {
	return &Spread{tree: t, level: level, tasksAt: map[Place]int{}}
}

// Add counts a replica on a machine, Remove takes one that is proved gone away.
func (s *Spread) Add(machine string) {
	s.tasksAt[s.tree.Place(machine, s.level)]++
	s.total++
}

// Remove is the reverse of Add.
func (s *Spread) Remove(machine string) {
	k := s.tree.Place(machine, s.level)
	if s.tasksAt[k]--; s.tasksAt[k] <= 0 {
		delete(s.tasksAt, k)
	}
	s.total--
}

// CountAt is how many stand where a machine stands.
func (s *Spread) CountAt(machine string) int { return s.tasksAt[s.tree.Place(machine, s.level)] }

// Max is the largest number in one domain.
func (s *Spread) Max() int {
	most := 0
	for _, n := range s.tasksAt {
		most = max(most, n)
	}
	return most
}

// Allows tells whether one more may stand on a machine if at most `bound` may stand in
// one domain.
func (s *Spread) Allows(machine string, bound int) bool { return s.CountAt(machine) < bound }
