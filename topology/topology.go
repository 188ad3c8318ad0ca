// Package topology models where machines are in the data centre: a tree of failure domains (region, zone, switch, rack)
// above the machines, and the devices on a machine with the links between them. It keeps the free resources of each
// domain, and finds domains for tasks that must run close together (affinity) or apart (spread). It does not know jobs
// and tasks beyond what they request, and decides nothing else about placement.
//
// A Map is the topology as the operators declare it, and a Tree the machines of a fleet on one version of it. Machines
// are assigned to domains by patterns of their names, since the cloud does not say where a new machine is.
package topology

import (
	"errors"
	"fmt"
	"path"
	"slices"

	"switchferry/api"
	"switchferry/tuning"
)

// The levels, outermost first. A domain is on a lower level than its parent; levels may be left out.
const (
	Region  = "region"
	Zone    = "zone"
	Switch  = "switch"
	Rack    = "rack"
	Machine = "machine"
)

// levelDepth is the position of each level, the outermost at 0.
var levelDepth = func() map[string]int {
	depth := map[string]int{}
	for i, level := range api.Levels {
		depth[level] = i
	}
	return depth
}()

// ValidLevel reports whether there is a level of this name.
func ValidLevel(name string) bool {
	_, ok := levelDepth[name]
	return ok
}

// Domain is one failure domain: what its machines share may fail and stop all of them at once.
type Domain struct {
	Name, Level string
	// Parent is the domain that contains this one; nil: none does.
	Parent *Domain

	patterns []string
	// path holds the names of the domain and its ancestors, innermost first.
	path []string
}

// Patterns returns the patterns, with * and ?, of the names of machines that are declared directly in the domain. The
// slice must not be changed.
func (d *Domain) Patterns() []string { return d.patterns }

// declares reports whether a machine's name matches one of the domain's patterns.
func (d *Domain) declares(machine string) bool { return matchesAny(d.patterns, machine) }

// Within reports whether d is other, or inside it at any depth. A nil domain is within none.
func (d *Domain) Within(other *Domain) bool {
	for ancestor := d; ancestor != nil; ancestor = ancestor.Parent {
		if ancestor == other {
			return true
		}
	}
	return false
}

// Ancestor returns the domain of a level that d is in, which may be d itself, or nil if it is in none.
func (d *Domain) Ancestor(level string) *Domain {
	for ancestor := d; ancestor != nil; ancestor = ancestor.Parent {
		if ancestor.Level == level {
			return ancestor
		}
	}
	return nil
}

// Devices are the cards of a machine. Linked are the sets of cards that share a fast link, by index; each card is in one
// of them at most.
type Devices struct {
	Count  int
	Linked [][]int
}

// Map is one version of the declared topology. It is immutable and safe for concurrent use.
type Map struct {
	version int
	domains []*Domain
	byName  map[string]*Domain
	devices []DeviceEntry
}

// Version returns the number that the declaration gives itself; operators raise it with each change.
func (m *Map) Version() int { return m.version }

// Domains returns all domains in declared order. The slice must not be changed.
func (m *Map) Domains() []*Domain { return m.domains }

// Domain returns the domain of a name, and false if there is none.
func (m *Map) Domain(name string) (*Domain, bool) {
	domain, ok := m.byName[name]
	return domain, ok
}

// Of returns the innermost domain in which a machine's name is declared, or nil if there is none. It is ambiguous if the
// patterns of two domains match of which neither is within the other; then the one declared first is returned.
func (m *Map) Of(machine string) (domain *Domain, ambiguous bool) {
	for _, declared := range m.domains {
		switch {
		case !declared.declares(machine):
		case domain == nil || declared.Within(domain):
			domain = declared
		case !domain.Within(declared):
			ambiguous = true
		}
	}
	return domain, ambiguous
}

// DevicesOf returns the cards of a machine, and false if none are declared for it.
func (m *Map) DevicesOf(machine string) (Devices, bool) {
	for _, entry := range m.devices {
		if matchesAny(entry.Machines, machine) {
			return Devices{entry.Count, entry.Linked}, true
		}
	}
	return Devices{}, false
}

// matchesAny reports whether a machine's name matches one of some patterns. Parse rejects malformed ones.
func matchesAny(patterns []string, machine string) bool {
	return slices.ContainsFunc(patterns, func(pattern string) bool {
		matched, _ := path.Match(pattern, machine)
		return matched
	})
}

// Check returns an error that names machines whose domain is ambiguous, tuning.MistakesTold of them at most, or nil.
func (m *Map) Check(machines []string) error {
	var mistakes []error
	for _, name := range machines {
		if _, ambiguous := m.Of(name); ambiguous && len(mistakes) < tuning.MaxReportedErrors {
			mistakes = append(mistakes, fmt.Errorf("topology: machine %q stands in two domains; make the patterns exclude one another", name))
		}
	}
	return errors.Join(mistakes...)
}
