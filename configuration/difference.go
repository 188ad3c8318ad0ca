package configuration

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"switchferry/settings"
)

// Difference is a setting in which two documents differ.
type Difference struct {
	Field string `json:"field"`
	// From and To are the values as text, or empty if the document lacks the setting.
	From string `json:"from"`
	To   string `json:"to"`
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

// Differences returns the settings in which two documents differ, sorted by field. A nil document is
// treated as one without settings.
func Differences(from, to *Document) (out []Difference) {
	before, after := documentFields(from), documentFields(to)
	all := maps.Clone(before)
	maps.Copy(all, after)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if before[name] != after[name] {
			out = append(out, Difference{name, before[name], after[name]})
		}
	}
	return out
}

// documentFields returns the settings of a document as text, keyed by the names used in
// Difference.Field.
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

// teamText returns the guarantees and limits of a team as text.
func teamText(team settings.Team) string {
	text := fmt.Sprintf("%g guaranteed, %s at most", team.CPUs, limitText(team.CPUsMax))
	if team.Cards > 0 || team.CardsMax > 0 {
		text += fmt.Sprintf("; cards %g guaranteed, %s at most", team.Cards, limitText(team.CardsMax))
	}
	return text
}

// limitText returns a limit as text. A limit of 0 means no limit and is shown as "any".
func limitText(limit float64) string {
	if limit == 0 {
		return "any"
	}
	return fmt.Sprintf("%g", limit)
}
