package topology

import "switchferry/fleet"

// Tree holds the machines of a fleet on one version of the topology, and the total of the free resources of each domain.
// A change of a machine takes one step for each level above it, however large the fleet is. A Tree is not safe for
// concurrent use.
type Tree struct {
	topology *Map
	machines map[string]*machineNode
	totals   map[*Domain]*domainTotals
	// unlisted counts the machines that no domain declares, each of which is a domain of its own, and ambiguous those
	// that two domains declare.
	unlisted, ambiguous int
}

// machineNode is one machine in a tree.
type machineNode struct {
	name string
	// domain is the innermost one that declares the machine; nil: none does.
	domain    *Domain
	ambiguous bool

	free fleet.Resources
	// usable is whether the machine may get tasks; if not, none of its resources count as free.
	usable bool
}

// available returns what the machine adds to the free resources of its domains.
func (n *machineNode) available() fleet.Resources {
	if !n.usable {
		return fleet.Resources{}
	}
	return n.free
}

// domainTotals are the totals of a domain, over its machines at any depth.
type domainTotals struct {
	free     fleet.Resources
	machines map[*machineNode]bool
	// usable counts the machines that may get tasks.
	usable int
}

// replace replaces what one machine adds to the totals, and changes the number of usable machines.
func (t *domainTotals) replace(before, after fleet.Resources, usableChange int) {
	t.free = t.free.Sub(before).Add(after)
	t.usable += usableChange
	if t.usable == 0 {
		// Rounding errors must not accumulate over months.
		t.free = fleet.Resources{}
	}
}

// NewTree returns a tree without machines.
func NewTree(topology *Map) *Tree {
	t := &Tree{topology: topology, machines: map[string]*machineNode{}, totals: map[*Domain]*domainTotals{}}
	for _, domain := range topology.domains {
		t.totals[domain] = &domainTotals{machines: map[*machineNode]bool{}}
	}
	return t
}

// Map returns the version of the topology that the tree is on.
func (t *Tree) Map() *Map { return t.topology }

// Rebased returns a new tree of the same machines on another version of the topology.
func (t *Tree) Rebased(topology *Map) *Tree {
	next := NewTree(topology)
	for _, node := range t.machines {
		next.Set(node.name, node.free, node.usable)
	}
	return next
}

// Set records the free resources of a machine, and whether it may get tasks; none of the resources of an unusable
// machine count as free. A machine that the tree does not have is added.
func (t *Tree) Set(machine string, free fleet.Resources, usable bool) {
	node := t.machines[machine]
	if node == nil {
		node = t.add(machine)
	}
	before, usableBefore := node.available(), node.usable
	node.free, node.usable = free, usable
	change := 0
	switch {
	case usable && !usableBefore:
		change = 1
	case !usable && usableBefore:
		change = -1
	}
	after := node.available()
	for domain := node.domain; domain != nil; domain = domain.Parent {
		t.totals[domain].replace(before, after, change)
	}
}

// add adds an unusable machine.
func (t *Tree) add(machine string) *machineNode {
	node := &machineNode{name: machine}
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
	return node
}

// Remove removes a machine that is gone. It does nothing if the tree does not have it.
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

// Unlisted returns how many machines no domain declares.
func (t *Tree) Unlisted() int { return t.unlisted }

// Ambiguous returns how many machines two domains declare of which neither is within the other.
func (t *Tree) Ambiguous() int { return t.ambiguous }

// Of returns the innermost domain that a machine is in, or nil if it is in none. The tree need not have the machine: a new
// leader may know its name only from records.
func (t *Tree) Of(machine string) *Domain {
	if node := t.machines[machine]; node != nil {
		return node.domain
	}
	domain, _ := t.topology.Of(machine)
	return domain
}

// Path returns the names of the domains that a machine is in, innermost first. The slice must not be changed.
func (t *Tree) Path(machine string) []string {
	if domain := t.Of(machine); domain != nil {
		return domain.path
	}
	return nil
}

// Place is the failure domain of a machine at a level: a domain or, if the machine is in none of that level, the machine
// itself. Two machines share a failure domain exactly if their places are equal.
type Place struct {
	Domain  *Domain
	Machine string
}

// Place returns the failure domain of a machine at a level.
func (t *Tree) Place(machine, level string) Place {
	if level != Machine {
		if domain := t.Of(machine).Ancestor(level); domain != nil {
			return Place{Domain: domain}
		}
	}
	return Place{Machine: machine}
}

// Free returns the free resources of a domain's usable machines.
func (t *Tree) Free(domain *Domain) fleet.Resources { return t.totals[domain].free }

// Usable returns how many of a domain's machines may get tasks.
func (t *Tree) Usable(domain *Domain) int { return t.totals[domain].usable }

// Machines returns how many machines a domain has.
func (t *Tree) Machines(domain *Domain) int { return len(t.totals[domain].machines) }
