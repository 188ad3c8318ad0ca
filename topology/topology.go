// Package topology models the location of machines: a tree of failure domains (region, zone, switch, rack) with
// machines as its leaves, and the devices of a machine with the links between them. It tracks the free resources of
// each domain and finds domains for tasks that must run close together (affinity) or apart (spread). Of jobs and tasks,
// it knows only what they request; all other placement decisions are made elsewhere.
//
// A Map is the topology that the operators declare, and a Tree holds the machines of a fleet in one version of it.
// Machines are assigned to domains by patterns of their names, since the cloud does not say where a new machine is.
package topology

import (
	"errors"
	"fmt"
	"path"
	"slices"

	"switchferry/api"
	"switchferry/tuning"
)

// Names of the levels, outermost first. The level of a domain is further in than that of its parent; levels may be
// skipped.
const (
	// Region is the outermost level.
	Region = "region"
	// Zone is the level of the zones of a region.
	Zone = "zone"
	// Switch is the level of the network switches.
	Switch = "switch"
	// Rack is the level of the racks.
	Rack = "rack"
	// Machine is the innermost level, at which each machine is a failure domain of its own. No domain is declared at
	// it.
	Machine = "machine"
)

// levelDepth is the depth of each level by name; the outermost has depth 0.
var levelDepth = func() map[string]int {
	depth := map[string]int{}
	for i, level := range api.Levels {
		depth[level] = i
	}
	return depth
}()

// ValidLevel reports whether name is the name of a level.
func ValidLevel(name string) bool {
	_, ok := levelDepth[name]
	return ok
}

// Domain is one failure domain: its machines share infrastructure whose failure can stop all of them at the same time.
type Domain struct {
	Name, Level string
	// Parent is the domain that contains this one; nil if there is none.
	Parent *Domain

	// patterns match the names of the machines that are declared directly in the domain.
	patterns []string
	// path holds the names of the domain and its ancestors, innermost first.
	path []string
}

// Patterns returns the patterns, with * and ?, that match the names of the machines declared directly in the domain.
// The caller must not change the slice.
func (d *Domain) Patterns() []string { return d.patterns }

// declares reports whether a machine's name matches one of the domain's patterns.
func (d *Domain) declares(machine string) bool { return matchesAny(d.patterns, machine) }

// Within reports whether d is other or inside it at any depth. A nil domain is not within any domain.
func (d *Domain) Within(other *Domain) bool {
	for ancestor := d; ancestor != nil; ancestor = ancestor.Parent {
		if ancestor == other {
			return true
		}
	}
	return false
}

// Ancestor returns the domain at a level that contains d or is d itself, or nil if there is none.
func (d *Domain) Ancestor(level string) *Domain {
	for ancestor := d; ancestor != nil; ancestor = ancestor.Parent {
		if ancestor.Level == level {
			return ancestor
		}
	}
	return nil
}

// Devices describes the cards (accelerators) of a machine. Linked holds the sets of cards that share a fast link, by
// index; each card is in at most one set.
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

// Version returns the version number in the declaration; operators raise it with each change.
func (m *Map) Version() int { return m.version }

// Domains returns all domains in the order of declaration. The caller must not change the slice.
func (m *Map) Domains() []*Domain { return m.domains }

// Domain returns the domain with a name, and false if there is none.
func (m *Map) Domain(name string) (*Domain, bool) {
	domain, ok := m.byName[name]
	return domain, ok
}

// DomainOf returns the innermost domain whose patterns match a machine's name, or nil if there is none. The result is
// ambiguous if the patterns of two domains match and neither domain is within the other; in that case, the one declared
// first is returned.
func (m *Map) DomainOf(machine string) (domain *Domain, ambiguous bool) {
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

// DevicesOf returns the devices of a machine by its name, and false if none are declared for it.
func (m *Map) DevicesOf(machine string) (Devices, bool) {
	for _, entry := range m.devices {
		if matchesAny(entry.Machines, machine) {
			return Devices{entry.Count, entry.Linked}, true
		}
	}
	return Devices{}, false
}

// matchesAny reports whether a machine's name matches one of the patterns. Malformed patterns, which Parse rejects,
// match nothing.
func matchesAny(patterns []string, machine string) bool {
	return slices.ContainsFunc(patterns, func(pattern string) bool {
		matched, _ := path.Match(pattern, machine)
		return matched
	})
}

// CheckAmbiguity returns an error that names the machines whose domain is ambiguous, at most tuning.MaxReportedErrors
// of them, or nil if there are none.
func (m *Map) CheckAmbiguity(machines []string) error {
	var mistakes []error
	for _, name := range machines {
		if _, ambiguous := m.DomainOf(name); ambiguous && len(mistakes) < tuning.MaxReportedErrors {
			mistakes = append(mistakes, fmt.Errorf("topology: machine %q matches the patterns of two separate domains; make the patterns mutually exclusive", name))
		}
	}
	return errors.Join(mistakes...)
}
