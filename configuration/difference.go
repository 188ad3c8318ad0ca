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

// String returns the difference as a line of text for operators.
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
func Differences(from, to *Document) (differences []Difference) {
	before, after := documentFields(from), documentFields(to)
	names := maps.Clone(before)
	maps.Copy(names, after)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if before[name] != after[name] {
			differences = append(differences, Difference{name, before[name], after[name]})
		}
	}
	return differences
}

// documentFields returns the settings of a document as text, keyed by the names used in
// Difference.Field.
func documentFields(document *Document) map[string]string {
	fields := map[string]string{}
	if document == nil {
		return fields
	}
	if document.OverLimit.Running != LeaveRunning {
		fields["over_limit"] = fmt.Sprintf("%s within %g s", document.OverLimit.Running, document.OverLimit.StopWithinS)
	}
	for name, text := range document.Policy {
		fields["policy."+name] = text
	}
	for _, team := range document.Teams {
		fields["teams."+team.Name] = teamText(team)
	}
	if aheadTasks := document.Features.AheadTasks; aheadTasks != nil {
		fields["features.ahead_tasks"] = fmt.Sprint(*aheadTasks)
	}
	if topologyMap := document.Topology; topologyMap != nil {
		fields["topology.version"] = fmt.Sprint(topologyMap.Version())
		for _, domain := range topologyMap.Domains() {
			parentText := ""
			if domain.Parent != nil {
				parentText = " in " + domain.Parent.Name
			}
			fields["topology."+domain.Name] = domain.Level + parentText + " " + strings.Join(domain.Patterns(), " ")
		}
	}
	return fields
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
