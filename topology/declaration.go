package topology

import (
	"errors"
	"fmt"
	"path"

	"switchferry/internal/stricttoml"
	"switchferry/tuning"
)

// Declaration is the content of a topology file. It may also be part of another document.
type Declaration struct {
	Version int           `toml:"version"`
	Domains []DomainEntry `toml:"domain"`
	Devices []DeviceEntry `toml:"devices"`
}

// DomainEntry declares one domain: its name, its level, the name of its parent domain, and patterns that match the
// names of its machines.
type DomainEntry struct {
	Name     string   `toml:"name"`
	Level    string   `toml:"level"`
	Parent   string   `toml:"in"`
	Machines []string `toml:"machines"`
}

// DeviceEntry declares the cards of the machines whose names match one of the patterns in Machines. Linked lists the
// sets of cards that share a fast link, by index.
type DeviceEntry struct {
	Machines []string `toml:"machines"`
	Count    int      `toml:"count"`
	Linked   [][]int  `toml:"linked"`
}

// Parse decodes and validates a topology file. The error joins one error for each mistake, tuning.MaxReportedErrors at
// most, each with the name of the field.
func Parse(raw []byte) (*Map, error) {
	var declaration Declaration
	unknown, err := stricttoml.Decode(raw, &declaration)
	if err != nil {
		return nil, fmt.Errorf("topology: %w", err)
	}
	var mistakes []error
	add := func(err error) {
		if len(mistakes) < tuning.MaxReportedErrors {
			mistakes = append(mistakes, fmt.Errorf("topology: %w", err))
		}
	}
	for _, err := range unknown {
		add(err)
	}
	m := declaration.Map(func(field, want string) { add(fmt.Errorf("%s: %s", field, want)) })
	if len(mistakes) > 0 {
		return nil, errors.Join(mistakes...)
	}
	return m, nil
}

// Map returns the declared topology. The function report is called for every mistake, with the name of the field and
// what is wrong or expected there; if it was called, the result must not be used.
func (d *Declaration) Map(report func(field, want string)) *Map {
	builder := mapBuilder{report: report, topology: &Map{version: d.Version, byName: map[string]*Domain{}, devices: d.Devices}}
	if d.Version < 1 {
		builder.reportf("version", "must be 1 or more, and grow with each change, not %d", d.Version)
	}
	for i, entry := range d.Domains {
		builder.addDomain(fmt.Sprintf("domain[%d]", i), entry)
	}
	for i, entry := range d.Domains {
		builder.setParent(fmt.Sprintf("domain[%d].in", i), entry)
	}
	for i, entry := range d.Devices {
		builder.checkDevices(fmt.Sprintf("devices[%d]", i), entry)
	}
	for _, domain := range builder.topology.domains {
		for ancestor := domain; ancestor != nil; ancestor = ancestor.Parent {
			domain.path = append(domain.path, ancestor.Name)
		}
	}
	return builder.topology
}

// mapBuilder builds a Map from a declaration and reports the mistakes that it finds.
type mapBuilder struct {
	topology *Map
	report   func(field, want string)
}

// reportf reports a mistake in a field.
func (b *mapBuilder) reportf(field, format string, args ...any) {
	b.report(field, fmt.Sprintf(format, args...))
}

// checkPatterns reports malformed patterns of machine names.
func (b *mapBuilder) checkPatterns(field string, patterns []string) {
	for _, pattern := range patterns {
		if _, err := path.Match(pattern, "x"); err != nil || pattern == "" {
			b.reportf(field, "pattern %q is malformed; write names with * and ?, like n-0001*", pattern)
		}
	}
}

// addDomain adds a domain without its parent, which may be declared after it.
func (b *mapBuilder) addDomain(field string, entry DomainEntry) {
	if entry.Name == "" || b.topology.byName[entry.Name] != nil {
		b.reportf(field+".name", "%q is missing or declared twice", entry.Name)
		return
	}
	if !ValidLevel(entry.Level) || entry.Level == Machine {
		b.reportf(field+".level", "%q must be region, zone, switch or rack", entry.Level)
	}
	b.checkPatterns(field+".machines", entry.Machines)
	domain := &Domain{Name: entry.Name, Level: entry.Level, patterns: entry.Machines}
	b.topology.domains = append(b.topology.domains, domain)
	b.topology.byName[entry.Name] = domain
}

// setParent sets the parent of a domain if it has one.
func (b *mapBuilder) setParent(field string, entry DomainEntry) {
	domain := b.topology.byName[entry.Name]
	if domain == nil || entry.Parent == "" {
		return
	}
	parent := b.topology.byName[entry.Parent]
	switch {
	case parent == nil:
		b.reportf(field, "there is no domain %q", entry.Parent)
	case levelDepth[parent.Level] >= levelDepth[domain.Level]:
		// This also rules out cycles, since each parent must be at an outer level.
		b.reportf(field, "a %s cannot be in %s %q; outermost is region, then zone, switch, rack", domain.Level, parent.Level, parent.Name)
	default:
		domain.Parent = parent
	}
}

// checkDevices reports mistakes in a declaration of cards.
func (b *mapBuilder) checkDevices(field string, entry DeviceEntry) {
	if len(entry.Machines) == 0 {
		b.reportf(field+".machines", "is missing")
	}
	b.checkPatterns(field+".machines", entry.Machines)
	if entry.Count < 1 || entry.Count > tuning.MaxCards {
		b.reportf(field+".count", "must be 1 to %d, not %d", tuning.MaxCards, entry.Count)
		return
	}
	linked := map[int]bool{}
	for _, set := range entry.Linked {
		for _, card := range set {
			if card < 0 || card >= entry.Count || linked[card] {
				b.reportf(field+".linked", "card %d is not between 0 and %d, or is listed twice", card, entry.Count-1)
			}
			linked[card] = true
		}
	}
}
