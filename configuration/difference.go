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
	display := func(value string) string {
		if value == "" {
			return "(none)"
		}
		return value
	}
	return fmt.Sprintf("%s: %s -> %s", d.Field, display(d.From), display(d.To))
}

// Differences are those from one document to another, by field. A nil document has no sections.
func Differences(from, to *Document) (out []Difference) {
	before, after := documentFields(from), documentFields(to)
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

// documentFields are a document's values by field, as text.
func documentFields(document *Document) map[string]string {
	out := map[string]string{}
	if document == nil {
		return out
	}
	if document.OverLimit.Running != Leave {
		out["over_limit"] = fmt.Sprintf("%s within %g s", document.OverLimit.Running, document.OverLimit.StopWithinS)
	}
	for name, text := range document.Policy {
		out["policy."+name] = text
	}
	for _, team := range document.Teams {
		out["teams."+team.Name] = teamText(team)
	}
	if aheadTasks := document.Switches.AheadTasks; aheadTasks != nil {
		out["features.ahead_tasks"] = fmt.Sprint(*aheadTasks)
	}
	if declared := document.Topology; declared != nil {
		out["topology.version"] = fmt.Sprint(declared.Version())
		for _, domain := range declared.Domains() {
			in := ""
			if domain.Parent != nil {
				in = " in " + domain.Parent.Name
			}
			out["topology."+domain.Name] = domain.Level + in + " " + strings.Join(domain.Patterns(), " ")
		}
	}
	return out
}

func teamText(team settings.Team) string {
	text := fmt.Sprintf("%g guaranteed, %s at most", team.CPUs, limitText(team.CPUsMax))
	if team.Cards > 0 || team.CardsMax > 0 {
		text += fmt.Sprintf("; cards %g guaranteed, %s at most", team.Cards, limitText(team.CardsMax))
	}
	return text
}

func limitText(limit float64) string {
	if limit == 0 {
		return "any"
	}
	return fmt.Sprintf("%g", limit)
}
