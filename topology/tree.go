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
	on       *Map
	machines map[string]*leaf
	sums     map[*Domain]*sum
	// lone are machines that no domain of the map names; each is its own domain.
	// Ambiguous are those that two name.
	lone, ambiguous int
}

type leaf struct {
	name   string
	in     *Domain
	free   fleet.Resources
	twice  bool
	usable bool
}

type sum struct {
	free     fleet.Resources
	machines map[*leaf]bool
	usable   int
}

// NewTree makes an empty tree over a map.
func NewTree(m *Map) *Tree {
	t := &Tree{on: m, machines: map[string]*leaf{}, sums: map[*Domain]*sum{}}
	for _, d := range m.domains {
		t.sums[d] = &sum{machines: map[*leaf]bool{}}
	}
	return t
}

// Map is the version that the tree stands on.
func (t *Tree) Map() *Map { return t.on }

// Rebased is the tree of the same machines over another map: a new version of the whole.
func (t *Tree) Rebased(m *Map) *Tree {
	next := NewTree(m)
	for _, l := range t.machines {
		next.Set(l.name, l.free, l.usable)
	}
	return next
}

// Set notes a machine's free room. Of one that may get no work, usable false, nothing
// counts as free.
func (t *Tree) Set(machine string, free fleet.Resources, usable bool) {
	l := t.machines[machine]
	if l == nil {
		l = &leaf{name: machine}
		l.in, l.twice = t.on.Of(machine)
		t.machines[machine] = l
		if l.in == nil {
			t.lone++
		}
		if l.twice {
			t.ambiguous++
		}
		for d := l.in; d != nil; d = d.Parent {
			t.sums[d].machines[l] = true
		}
	}
	was, now := fleet.Resources{}, fleet.Resources{}
	if l.usable {
		was = l.free
	}
	if usable {
		now = free
	}
	for d := l.in; d != nil; d = d.Parent {
		s := t.sums[d]
		s.free = s.free.Sub(was).Add(now)
		if l.usable != usable {
			if usable {
				s.usable++
			} else {
				s.usable--
			}
		}
		if s.usable == 0 {
			// What rounding leaves must not add up over months.
			s.free = fleet.Resources{}
		}
	}
	l.free, l.usable = free, usable
}

// Remove takes a machine that is gone out.
func (t *Tree) Remove(machine string) {
	l := t.machines[machine]
	if l == nil {
		return
	}
	t.Set(machine, fleet.Resources{}, false)
	for d := l.in; d != nil; d = d.Parent {
		delete(t.sums[d].machines, l)
	}
	if l.in == nil {
		t.lone--
	}
	if l.twice {
		t.ambiguous--
	}
	delete(t.machines, machine)
}

// Unlisted is how many machines no domain names, Ambiguous how many two name.
func (t *Tree) Unlisted() int  { return t.lone }
func (t *Tree) Ambiguous() int { return t.ambiguous }

// Of is the domain that a machine stands in, also of one that is known from a record only;
// nil: none.
func (t *Tree) Of(machine string) *Domain {
	if l := t.machines[machine]; l != nil {
		return l.in
	}
	d, _ := t.on.Of(machine)
	return d
}

// Path names the domains that a machine stands in, innermost first. It must not be changed.
func (t *Tree) Path(machine string) []string {
	if d := t.Of(machine); d != nil {
		return d.path
	}
	return nil
}

// Place is what falls together with a machine at a level: its domain there, or, where it stands
// in none, the machine itself.
type Place struct {
	Domain  *Domain
	Machine string
}

// Place is a machine's at a level.
func (t *Tree) Place(machine, level string) Place {
	if level != Machine {
		for d := t.Of(machine); d != nil; d = d.Parent {
			if d.Level == level {
				return Place{Domain: d}
			}
		}
	}
	return Place{Machine: machine}
}

// Free is a domain's free room, Usable how many of its machines may get work, Machines how
// many it has.
func (t *Tree) Free(d *Domain) fleet.Resources { return t.sums[d].free }
func (t *Tree) Usable(d *Domain) int           { return t.sums[d].usable }
func (t *Tree) Machines(d *Domain) int         { return len(t.sums[d].machines) }

// Constraint is room for tasks of a size. May tells where they may run; nil: everywhere. Cap bounds
// how many may stand in one domain, if it must; nil: any number.
type Constraint struct {
	Resources fleet.Resources
	Tasks     int
	Allowed   func(machine string) bool
	Spread    *api.Survive
}

// Fit is how many of the tasks a domain has room for at once, machine by machine.
func (t *Tree) Fit(d *Domain, a Constraint) int {
	n := 0
	var here map[Place]int
	capped := a.Spread != nil && a.Spread.Must
	if capped {
		here = map[Place]int{}
	}
	for l := range t.sums[d].machines {
		if !l.usable || a.Allowed != nil && !a.Allowed(l.name) {
			continue
		}
		k := l.free.Multiple(a.Resources)
		if capped {
			key := t.Place(l.name, a.Spread.Level)
			k = min(k, a.Spread.AtMost-here[key])
			here[key] += k
		}
		if n += k; n >= a.Tasks {
			return a.Tasks
		}
	}
	return n
}

// Closest finds the domain that tasks should stand in together, at a level or further in:
// of the innermost ones that hold all of them the one with the least room left over, so
// that the largest holes stay whole. Nil: no domain does; then nearest is the one that
// misses the least, and short by how many tasks. Domains whose summed room does not do are
// not looked into.
func (t *Tree) Closest(level string, a Constraint) (best, nearest *Domain, short int) {
	n := a.Tasks
	all := a.Resources.Scale(n)
	short = n + 1
	for _, d := range t.on.domains {
		if depth[d.Level] < depth[level] {
			continue
		}
		s := t.sums[d]
		if !s.free.Fits(all) {
			// It cannot; by how much is looked at only while nothing better is known.
			if best == nil {
				if miss := n - min(n, s.free.Multiple(a.Resources)); miss < short {
					if miss = n - t.Fit(d, a); miss < short {
						nearest, short = d, miss
					}
				}
			}
			continue
		}
		if best != nil && !t.before(d, best) {
			continue
		}
		if got := t.Fit(d, a); got == n {
			best = d
		} else if n-got < short {
			nearest, short = d, n-got
		}
	}
	if best != nil {
		return best, nil, 0
	}
	return nil, nearest, short
}

// Cheapest finds the domain, at a level or further in, where room for all tasks can be made at
// the least loss; nil: nowhere. Offer tells what each further task on a machine costs, in the
// order in which they would come, up to as many as could be; 0 where room is free. It is
// cheapest as far as taking the least next cost is, machine by machine.
func (t *Tree) Cheapest(level string, a Constraint, offer func(machine string) []int64) *Domain {
	d, _ := t.least(level, a, offer, func(sum, _ int64) int64 { return sum })
	return d
}

// Soonest finds the domain, at a level or further in, that has room for all tasks first, and
// when; nil: none has. Offer tells when each further task on a machine could start.
func (t *Tree) Soonest(level string, a Constraint, offer func(machine string) []int64) (*Domain, int64) {
	return t.least(level, a, offer, func(_, last int64) int64 { return last })
}

// least finds the domain whose tasks' costs come to the least; total makes that of their sum
// and the last one.
func (t *Tree) least(level string, a Constraint, offer func(machine string) []int64, total func(sum, last int64) int64) (best *Domain, least int64) {
	type step struct {
		cost int64
		at   Place
	}
	offers := map[*leaf][]int64{}
	for _, d := range t.on.domains {
		if depth[d.Level] < depth[level] {
			continue
		}
		var steps []step
		for l := range t.sums[d].machines {
			if !l.usable || a.Allowed != nil && !a.Allowed(l.name) {
				continue
			}
			costs, known := offers[l]
			if !known {
				costs = offer(l.name)
				offers[l] = costs
			}
			var at Place
			if a.Spread != nil && a.Spread.Must {
				at = t.Place(l.name, a.Spread.Level)
			}
			worst := int64(0)
			for _, c := range costs {
				// What comes later on a machine cannot be had first.
				worst = max(worst, c)
				steps = append(steps, step{worst, at})
			}
		}
		if len(steps) < a.Tasks {
			continue
		}
		slices.SortFunc(steps, func(x, y step) int { return cmp.Compare(x.cost, y.cost) })
		here := map[Place]int{}
		n, sum, last := 0, int64(0), int64(0)
		for _, s := range steps {
			if n == a.Tasks {
				break
			}
			if s.at != (Place{}) && here[s.at] >= a.Spread.AtMost {
				continue
			}
			here[s.at]++
			n, sum, last = n+1, sum+s.cost, s.cost
		}
		if n < a.Tasks {
			continue
		}
		if x := total(sum, last); best == nil || x < least || x == least && t.before(d, best) {
			best, least = d, x
		}
	}
	return best, least
}

// before tells whether d is the better place of two that hold a job: further in, then
// with less room left, then by name.
func (t *Tree) before(d, o *Domain) bool {
	return cmp.Or(cmp.Compare(depth[o.Level], depth[d.Level]), cmp.Compare(t.sums[d].free.CPUs, t.sums[o].free.CPUs),
		cmp.Compare(t.sums[d].free.Cards, t.sums[o].free.Cards), cmp.Compare(d.Name, o.Name)) < 0
}

// MachineNames are a domain's machines, in order.
func (t *Tree) MachineNames(d *Domain) []string {
	var out []string
	for l := range t.sums[d].machines {
		out = append(out, l.name)
	}
	slices.Sort(out)
	return out
}

// FreeOn is a machine's free room and whether it may get work.
func (t *Tree) FreeOn(machine string) (fleet.Resources, bool) {
	if l := t.machines[machine]; l != nil {
		return l.free, l.usable
	}
	return fleet.Resources{}, false
}

// Spread counts a job's replicas by what falls together at a level. Whatever may still run
// must be added: silent ones, and those that are being stopped, until they are proved gone.
type Spread struct {
	tree  *Tree
	level string
	count map[Place]int
	total int
}

// NewSpread counts nothing yet.
func (t *Tree) NewSpread(level string) *Spread {
	return &Spread{tree: t, level: level, count: map[Place]int{}}
}

// Add counts a replica on a machine, Remove takes one that is proved gone away.
func (s *Spread) Add(machine string) {
	s.count[s.tree.Place(machine, s.level)]++
	s.total++
}

// Remove is the reverse of Add.
func (s *Spread) Remove(machine string) {
	k := s.tree.Place(machine, s.level)
	if s.count[k]--; s.count[k] <= 0 {
		delete(s.count, k)
	}
	s.total--
}

// CountAt is how many stand where a machine stands.
func (s *Spread) CountAt(machine string) int { return s.count[s.tree.Place(machine, s.level)] }

// Max is the largest number in one domain.
func (s *Spread) Max() int {
	most := 0
	for _, n := range s.count {
		most = max(most, n)
	}
	return most
}

// Allows tells whether one more may stand on a machine if at most `bound` may stand in
// one domain.
func (s *Spread) Allows(machine string, bound int) bool { return s.CountAt(machine) < bound }
