package configuration

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"switchferry/settings"
)

// Difference is one thing in which two documents differ. From and To are empty where there is nothing.
type Difference struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

func (d Difference) String() string {
	shown := func(s string) string {
		if s == "" {
			return "(none)"
		}
		return s
	}
	return fmt.Sprintf("%s: %s -> %s", d.Field, shown(d.From), shown(d.To))
}

// Differences are those from one document to another, by field. A nil document has no sections.
func Differences(from, to *Document) (out []Difference) {
	before, after := fieldsOf(from), fieldsOf(to)
	names := map[string]bool{}
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if before[name] != after[name] {
			out = append(out, Difference{name, before[name], after[name]})
		}
	}
	return out
}

// fieldsOf are a document's values by field, as text.
func fieldsOf(d *Document) map[string]string {
	out := map[string]string{}
	if d == nil {
		return out
	}
	if d.OverLimit.Running != Leave {
		out["over_limit"] = fmt.Sprintf("%s within %g s", d.OverLimit.Running, d.OverLimit.StopWithinS)
	}
	for name, text := range d.Policy {
		out["policy."+name] = text
	}
	for _, t := range d.Teams {
		out["teams."+t.Name] = teamText(t)
	}
	if n := d.Switches.AheadTasks; n != nil {
		out["features.ahead_tasks"] = fmt.Sprint(*n)
	}
	if m := d.Topology; m != nil {
		out["topology.version"] = fmt.Sprint(m.Version())
		for _, domain := range m.Domains() {
			in := ""
			if domain.Parent != nil {
				in = " in " + domain.Parent.Name
			}
			out["topology."+domain.Name] = domain.Level + in + " " + strings.Join(domain.Patterns(), " ")
		}
	}
	return out
}

func teamText(t settings.Team) string {
	text := fmt.Sprintf("%g guaranteed, %s at most", t.CPUs, limitText(t.CPUsMax))
	if t.Cards > 0 || t.CardsMax > 0 {
		text += fmt.Sprintf("; cards %g guaranteed, %s at most", t.Cards, limitText(t.CardsMax))
	}
	return text
}

func limitText(v float64) string {
	if v == 0 {
		return "any"
	}
	return fmt.Sprintf("%g", v)
}
