// Package topology knows where machines stand and what falls together: a tree of domains
// (region, zone, switch, rack, machine), the devices on a machine and what joins them, and
// how much room each domain has. It does not know jobs, tasks or why room is taken.
package topology

import (
	"errors"
	"fmt"
	"path"
	"slices"
	"strings"

	"switchferry/api"
	"switchferry/internal/stricttoml"
	"switchferry/tuning"
)

// Levels, outermost first. A domain's level lies below that of the one it is in; levels
// may be left out.
const (
	Region  = "region"
	Zone    = "zone"
	Switch  = "switch"
	Rack    = "rack"
	Machine = "machine"
)

var levelDepth = func() map[string]int {
	out := map[string]int{}
	for i, level := range api.Levels {
		out[level] = i
	}
	return out
}()

// ValidLevel tells whether a level has this name.
func ValidLevel(s string) bool {
	_, ok := levelDepth[s]
	return ok
}

// Declaration is what a topology file holds; it may stand in another document as well.
type Declaration struct {
	Version int           `toml:"version"`
	Domains []DomainEntry `toml:"domain"`
	Devices []DeviceEntry `toml:"devices"`
}

// DomainEntry declares one domain, by its name, its level, the domain that it is in, and patterns of machines' names.
type DomainEntry struct {
	Name     string   `toml:"name"`
	Level    string   `toml:"level"`
	In       string   `toml:"in"`
	Machines []string `toml:"machines"`
}

// DeviceEntry declares the cards of machines, by patterns of their names.
type DeviceEntry struct {
	Machines []string `toml:"machines"`
	Count    int      `toml:"count"`
	Linked   [][]int  `toml:"linked"`
}

// Domain is one node of the tree above the machines.
type Domain struct {
	Name, Level string
	// Parent is the domain that this one is in; nil: none.
	Parent   *Domain
	patterns []string
	// path names it and those that it is in.
	path []string
}

// Patterns are the names of machines that the domain declares, with * and ?. The list must not be changed.
func (d *Domain) Patterns() []string { return d.patterns }

// Devices are the cards of a machine. Linked are the sets that share a fast link, each
// card in one of them.
type Devices struct {
	Count  int
	Linked [][]int
}

// Map is a topology as declared: one version of the whole, never changed. Machines are
// placed in it by name.
type Map struct {
	version int
	domains []*Domain
	byName  map[string]*Domain
	devices []DeviceEntry
}

// Version is the number that the file gives itself; operators raise it with each change.
func (m *Map) Version() int { return m.version }

// Domains are all domains, in the order of the file.
func (m *Map) Domains() []*Domain { return m.domains }

// Domain finds one by name.
func (m *Map) Domain(name string) (*Domain, bool) {
	domain, ok := m.byName[name]
	return domain, ok
}

// Parse reads and checks a topology file. The error lists every mistake, by entry.
func Parse(raw []byte) (*Map, error) {
	var declaration Declaration
	unknown, err := stricttoml.Decode(raw, &declaration)
	if err != nil {
		return nil, fmt.Errorf("topology: %w", err)
	}
	var mistakes []error
	add := func(err error) {
		if len(mistakes) < tuning.MistakesTold {
			mistakes = append(mistakes, fmt.Errorf("topology: %w", err))
		}
	}
	for _, e := range unknown {
		add(e)
	}
	topology := declaration.Map(func(field, want string) { add(fmt.Errorf("%s: %s", field, want)) })
	if len(mistakes) > 0 {
		return nil, errors.Join(mistakes...)
	}
	return topology, nil
}

// Map is the topology that is declared. It is of use only if tell was not told of a mistake, by field.
func (f *Declaration) Map(report func(field, want string)) *Map {
	failf := func(format string, a ...any) {
		field, want, _ := strings.Cut(fmt.Sprintf(format, a...), ": ")
		report(field, want)
	}
	if f.Version < 1 {
		failf("version: must be 1 or more, and grow with each change, not %d", f.Version)
	}
	topology := &Map{version: f.Version, byName: map[string]*Domain{}}
	checkPattern := func(where, p string) {
		if _, err := path.Match(p, "x"); err != nil || p == "" {
			failf("%s: pattern %q is malformed; write names with * and ?, like n-0001*", where, p)
		}
	}
	for i, entry := range f.Domains {
		where := fmt.Sprintf("domain[%d]", i)
		if entry.Name == "" || topology.byName[entry.Name] != nil {
			failf("%s.name: %q is missing or stands twice", where, entry.Name)
			continue
		}
		if _, ok := levelDepth[entry.Level]; !ok || entry.Level == Machine {
			failf("%s.level: %q must be region, zone, switch or rack", where, entry.Level)
		}
		for _, p := range entry.Machines {
			checkPattern(where+".machines", p)
		}
		domain := &Domain{Name: entry.Name, Level: entry.Level, patterns: entry.Machines}
		topology.domains, topology.byName[entry.Name] = append(topology.domains, domain), domain
	}
	for i, entry := range f.Domains {
		domain := topology.byName[entry.Name]
		if domain == nil || entry.In == "" || entry.Name == "" {
			continue
		}
		parent := topology.byName[entry.In]
		switch {
		case parent == nil:
			failf("domain[%d].in: there is no domain %q", i, entry.In)
		case levelDepth[parent.Level] >= levelDepth[domain.Level]:
			// This rules out circles as well: every way up ends.
			failf("domain[%d].in: a %s cannot be in %s %q; outermost is region, then zone, switch, rack", i, domain.Level, parent.Level, parent.Name)
		default:
			domain.Parent = parent
		}
	}
	for i, entry := range f.Devices {
		where := fmt.Sprintf("devices[%d]", i)
		if len(entry.Machines) == 0 {
			failf("%s.machines: is missing", where)
		}
		for _, p := range entry.Machines {
			checkPattern(where+".machines", p)
		}
		if entry.Count < 1 || entry.Count > tuning.CardsMost {
			failf("%s.count: must be 1 to %d, not %d", where, tuning.CardsMost, entry.Count)
			continue
		}
		seen := map[int]bool{}
		for _, set := range entry.Linked {
			for _, c := range set {
				if c < 0 || c >= entry.Count || seen[c] {
					failf("%s.linked: card %d is none of 0 to %d, or stands twice", where, c, entry.Count-1)
				}
				seen[c] = true
			}
		}
	}
	for _, domain := range topology.domains {
		for ancestor := domain; ancestor != nil; ancestor = ancestor.Parent {
			domain.path = append(domain.path, ancestor.Name)
		}
	}
	topology.devices = f.Devices
	return topology
}

// Of is the innermost domain that a machine's name is declared in; nil: none. Ambiguous:
// patterns of two domains match, neither of which is in the other; the first one counts.
func (m *Map) Of(machine string) (domain *Domain, ambiguous bool) {
	for _, ancestor := range m.domains {
		if !slices.ContainsFunc(ancestor.patterns, func(p string) bool { ok, _ := path.Match(p, machine); return ok }) {
			continue
		}
		switch {
		case domain == nil || ancestor.Within(domain):
			domain = ancestor
		case !domain.Within(ancestor):
			ambiguous = true
		}
	}
	return domain, ambiguous
}

// DevicesOf are a machine's cards; false: nothing is declared for it.
func (m *Map) DevicesOf(machine string) (Devices, bool) {
	for _, entry := range m.devices {
		if slices.ContainsFunc(entry.Machines, func(p string) bool { ok, _ := path.Match(p, machine); return ok }) {
			return Devices{entry.Count, entry.Linked}, true
		}
	}
	return Devices{}, false
}

// Within tells whether d is o, or in it at any depth.
func (d *Domain) Within(other *Domain) bool {
	for ancestor := d; ancestor != nil; ancestor = ancestor.Parent {
		if ancestor == other {
			return true
		}
	}
	return false
}

// Ancestor is the domain of a level that d is in, or d itself; nil: it is in none.
func (d *Domain) Ancestor(level string) *Domain {
	for ancestor := d; ancestor != nil; ancestor = ancestor.Parent {
		if ancestor.Level == level {
			return ancestor
		}
	}
	return nil
}

// Check finds machines that stand in two domains of which neither is in the other. The
// error names the first few.
func (m *Map) Check(machines []string) error {
	var mistakes []error
	for _, name := range machines {
		if _, twice := m.Of(name); twice && len(mistakes) < tuning.MistakesTold {
			mistakes = append(mistakes, fmt.Errorf("topology: machine %q stands in two domains; make the patterns exclude one another", name))
		}
	}
	return errors.Join(mistakes...)
}
