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

var depth = func() map[string]int {
	out := map[string]int{}
	for i, level := range api.Levels {
		out[level] = i
	}
	return out
}()

// ValidLevel tells whether a level has this name.
func ValidLevel(s string) bool {
	_, ok := depth[s]
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
	d, ok := m.byName[name]
	return d, ok
}

// Parse reads and checks a topology file. The error lists every mistake, by entry.
func Parse(raw []byte) (*Map, error) {
	var f Declaration
	unknown, err := stricttoml.Decode(raw, &f)
	if err != nil {
		return nil, fmt.Errorf("topology: %w", err)
	}
	var bad []error
	add := func(err error) {
		if len(bad) < tuning.MistakesTold {
			bad = append(bad, fmt.Errorf("topology: %w", err))
		}
	}
	for _, e := range unknown {
		add(e)
	}
	m := f.Map(func(field, want string) { add(fmt.Errorf("%s: %s", field, want)) })
	if len(bad) > 0 {
		return nil, errors.Join(bad...)
	}
	return m, nil
}

// Map is the topology that is declared. It is of use only if tell was not told of a mistake, by field.
func (f *Declaration) Map(tell func(field, want string)) *Map {
	fail := func(format string, a ...any) {
		field, want, _ := strings.Cut(fmt.Sprintf(format, a...), ": ")
		tell(field, want)
	}
	if f.Version < 1 {
		fail("version: must be 1 or more, and grow with each change, not %d", f.Version)
	}
	m := &Map{version: f.Version, byName: map[string]*Domain{}}
	pattern := func(where, p string) {
		if _, err := path.Match(p, "x"); err != nil || p == "" {
			fail("%s: pattern %q is malformed; write names with * and ?, like n-0001*", where, p)
		}
	}
	for i, e := range f.Domains {
		where := fmt.Sprintf("domain[%d]", i)
		if e.Name == "" || m.byName[e.Name] != nil {
			fail("%s.name: %q is missing or stands twice", where, e.Name)
			continue
		}
		if _, ok := depth[e.Level]; !ok || e.Level == Machine {
			fail("%s.level: %q must be region, zone, switch or rack", where, e.Level)
		}
		for _, p := range e.Machines {
			pattern(where+".machines", p)
		}
		d := &Domain{Name: e.Name, Level: e.Level, patterns: e.Machines}
		m.domains, m.byName[e.Name] = append(m.domains, d), d
	}
	for i, e := range f.Domains {
		d := m.byName[e.Name]
		if d == nil || e.In == "" || e.Name == "" {
			continue
		}
		up := m.byName[e.In]
		switch {
		case up == nil:
			fail("domain[%d].in: there is no domain %q", i, e.In)
		case depth[up.Level] >= depth[d.Level]:
			// This rules out circles as well: every way up ends.
			fail("domain[%d].in: a %s cannot be in %s %q; outermost is region, then zone, switch, rack", i, d.Level, up.Level, up.Name)
		default:
			d.Parent = up
		}
	}
	for i, e := range f.Devices {
		where := fmt.Sprintf("devices[%d]", i)
		if len(e.Machines) == 0 {
			fail("%s.machines: is missing", where)
		}
		for _, p := range e.Machines {
			pattern(where+".machines", p)
		}
		if e.Count < 1 || e.Count > tuning.CardsMost {
			fail("%s.count: must be 1 to %d, not %d", where, tuning.CardsMost, e.Count)
			continue
		}
		seen := map[int]bool{}
		for _, set := range e.Linked {
			for _, c := range set {
				if c < 0 || c >= e.Count || seen[c] {
					fail("%s.linked: card %d is none of 0 to %d, or stands twice", where, c, e.Count-1)
				}
				seen[c] = true
			}
		}
	}
	for _, d := range m.domains {
		for x := d; x != nil; x = x.Parent {
			d.path = append(d.path, x.Name)
		}
	}
	m.devices = f.Devices
	return m
}

// Of is the innermost domain that a machine's name is declared in; nil: none. Ambiguous:
// patterns of two domains match, neither of which is in the other; the first one counts.
func (m *Map) Of(machine string) (d *Domain, ambiguous bool) {
	for _, x := range m.domains {
		if !slices.ContainsFunc(x.patterns, func(p string) bool { ok, _ := path.Match(p, machine); return ok }) {
			continue
		}
		switch {
		case d == nil || x.Within(d):
			d = x
		case !d.Within(x):
			ambiguous = true
		}
	}
	return d, ambiguous
}

// DevicesOf are a machine's cards; false: nothing is declared for it.
func (m *Map) DevicesOf(machine string) (Devices, bool) {
	for _, e := range m.devices {
		if slices.ContainsFunc(e.Machines, func(p string) bool { ok, _ := path.Match(p, machine); return ok }) {
			return Devices{e.Count, e.Linked}, true
		}
	}
	return Devices{}, false
}

// Within tells whether d is o, or in it at any depth.
func (d *Domain) Within(o *Domain) bool {
	for x := d; x != nil; x = x.Parent {
		if x == o {
			return true
		}
	}
	return false
}

// Ancestor is the domain of a level that d is in, or d itself; nil: it is in none.
func (d *Domain) Ancestor(level string) *Domain {
	for x := d; x != nil; x = x.Parent {
		if x.Level == level {
			return x
		}
	}
	return nil
}

// Check finds machines that stand in two domains of which neither is in the other. The
// error names the first few.
func (m *Map) Check(machines []string) error {
	var bad []error
	for _, name := range machines {
		if _, twice := m.Of(name); twice && len(bad) < tuning.MistakesTold {
			bad = append(bad, fmt.Errorf("topology: machine %q stands in two domains; make the patterns exclude one another", name))
		}
	}
	return errors.Join(bad...)
}
