package topology

import "switchferry/fleet"

// Tree holds the machines of a fleet in one version of the topology, and the total free resources of each domain. A
// change of a machine updates only the domains that contain it, so its cost does not depend on the size of the fleet. A
// Tree is not safe for concurrent use.
type Tree struct {
	topology *Map
	machines map[string]*machineNode
	totals   map[*Domain]*domainTotals
	// unlisted is the number of machines that no domain declares, each of which is a failure domain of its own.
	unlisted int
	// ambiguous is the number of machines that are declared by two domains, neither of which is within the other.
	ambiguous int
}

// machineNode is one machine in a tree.
type machineNode struct {
	name string
	// domain is the innermost domain that declares the machine; nil if there is none.
	domain *Domain
	// ambiguous is the second result of Map.DomainOf for the machine.
	ambiguous bool

	free fleet.Resources
	// usable is whether the machine may get tasks. The resources of an unusable machine do not count as free.
	usable bool
}

// available returns what the machine contributes to the free resources of its domains.
func (n *machineNode) available() fleet.Resources {
	if !n.usable {
		return fleet.Resources{}
	}
	return n.free
}

// domainTotals holds the totals of a domain over all machines within it, at any depth.
type domainTotals struct {
	free     fleet.Resources
	machines map[*machineNode]bool
	// usable is the number of machines that may get tasks.
	usable int
}

// replace replaces one machine's contribution to the free resources, and adds usableChange to the number of usable
// machines.
func (t *domainTotals) replace(before, after fleet.Resources, usableChange int) {
	t.free = t.free.Sub(before).Add(after)
	t.usable += usableChange
	if t.usable == 0 {
		// Without usable machines, the exact total is zero; setting it keeps rounding errors from accumulating over
		// months.
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

// Map returns the version of the topology that the tree uses.
func (t *Tree) Map() *Map { return t.topology }

// Rebased returns a new tree with the same machines in another version of the topology.
func (t *Tree) Rebased(topology *Map) *Tree {
	next := NewTree(topology)
	for _, node := range t.machines {
		next.Set(node.name, node.free, node.usable)
	}
	return next
}

// Set records the free resources of a machine and whether it is usable, that is, may get tasks. The resources of an
// unusable machine do not count as free. The machine is added if it is not in the tree.
func (t *Tree) Set(machine string, free fleet.Resources, usable bool) {
	node := t.machines[machine]
	if node == nil {
		node = t.add(machine)
	}
	before, usableBefore := node.available(), node.usable
	node.free, node.usable = free, usable
	usableChange := 0
	switch {
	case usable && !usableBefore:
		usableChange = 1
	case !usable && usableBefore:
		usableChange = -1
	}
	after := node.available()
	for domain := node.domain; domain != nil; domain = domain.Parent {
		t.totals[domain].replace(before, after, usableChange)
	}
}

// add adds a machine, initially unusable and without free resources.
func (t *Tree) add(machine string) *machineNode {
	node := &machineNode{name: machine}
	node.domain, node.ambiguous = t.topology.DomainOf(machine)
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

// Remove removes a machine. It does nothing if the machine is not in the tree.
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

// Unlisted returns the number of machines that no domain declares.
func (t *Tree) Unlisted() int { return t.unlisted }

// Ambiguous returns the number of machines that are declared by two domains, neither of which is within the other.
func (t *Tree) Ambiguous() int { return t.ambiguous }

// DomainOf returns the innermost domain that contains a machine, or nil if there is none. The machine need not be in
// the tree: a new leader may know its name only from records.
func (t *Tree) DomainOf(machine string) *Domain {
	if node := t.machines[machine]; node != nil {
		return node.domain
	}
	domain, _ := t.topology.DomainOf(machine)
	return domain
}

// Path returns the names of the domains that contain a machine, innermost first. The caller must not change the slice.
func (t *Tree) Path(machine string) []string {
	if domain := t.DomainOf(machine); domain != nil {
		return domain.path
	}
	return nil
}

// FailureDomain is the failure domain of a machine at a level: a domain or, if no domain at that level contains the
// machine, the machine itself. Two machines share a failure domain if and only if their values are equal.
type FailureDomain struct {
	Domain  *Domain
	Machine string
}

// FailureDomain returns the failure domain of a machine at a level. The machine need not be in the tree.
func (t *Tree) FailureDomain(machine, level string) FailureDomain {
	if level != Machine {
		if domain := t.DomainOf(machine).Ancestor(level); domain != nil {
			return FailureDomain{Domain: domain}
		}
	}
	return FailureDomain{Machine: machine}
}

// Free returns the total free resources of a domain's usable machines.
func (t *Tree) Free(domain *Domain) fleet.Resources { return t.totals[domain].free }

// Usable returns the number of a domain's machines that may get tasks.
func (t *Tree) Usable(domain *Domain) int { return t.totals[domain].usable }

// Machines returns the number of machines in a domain, at any depth.
func (t *Tree) Machines(domain *Domain) int { return len(t.totals[domain].machines) }
