package configuration

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"switchferry/policy"
	"switchferry/settings"
	"switchferry/topology"
	"switchferry/tuning"
)

// documentChecker collects the errors in a document with the line of each field.
type documentChecker struct {
	// lines is the result of fieldLines.
	lines       map[string]int
	fieldErrors FieldErrors
}

// addError adds an error at the line of the field, or of the innermost enclosing table whose line is
// known.
func (c *documentChecker) addError(field, remedy string) {
	line := 0
	for at := field; at != "" && line == 0; at = parentField(at) {
		line = c.lines[at]
	}
	c.fieldErrors = append(c.fieldErrors, FieldError{line, field, remedy})
}

// parentField returns the name of the table or list that contains a field, or "" if there is none.
func parentField(field string) string {
	i := strings.LastIndexAny(field, ".[")
	return field[:max(i, 0)]
}

// checkDocument checks a document and sets its compiled policy and its topology.
func (c *documentChecker) checkDocument(document *Document, topologyDeclaration *topology.Declaration) {
	c.checkOverLimit(document.OverLimit)
	if document.Policy != nil {
		document.policy = policy.FromExpressions(document.Policy, func(name, want string) { c.addError("policy."+name, want) })
	}
	c.checkTeams(document.Teams)
	if aheadTasks := document.Features.AheadTasks; aheadTasks != nil && (*aheadTasks < 0 || *aheadTasks > tuning.MaxAheadTasks) {
		c.addError("features.ahead_tasks", fmt.Sprintf("must be 0 to %d, not %d", tuning.MaxAheadTasks, *aheadTasks))
	}
	if topologyDeclaration != nil {
		document.Topology = topologyDeclaration.Map(func(field, want string) { c.addError("topology."+field, want) })
	}
}

func (c *documentChecker) checkOverLimit(overLimit OverLimitPolicy) {
	switch overLimit.Running {
	case LeaveRunning:
		if overLimit.StopWithinS != 0 {
			c.addError("over_limit.stop_within_s", `is valid only with running = "stop"; leave it out`)
		}
	case StopRunning:
		// The negated form also rejects NaN.
		if !(overLimit.StopWithinS >= 0 && overLimit.StopWithinS <= tuning.MaxStopWithinS) {
			c.addError("over_limit.stop_within_s", fmt.Sprintf("must be 0 to %d seconds", tuning.MaxStopWithinS))
		}
	default:
		c.addError("over_limit.running", fmt.Sprintf("must be %q or %q, not %q", LeaveRunning, StopRunning, overLimit.Running))
	}
}

// checkTeams applies the checks of package settings to the teams, and checks that no guarantee exceeds
// the corresponding limit.
func (c *documentChecker) checkTeams(teams []settings.Team) {
	settings.CheckTeams(teams, func(i int, field, want string) {
		name := fmt.Sprintf("teams[%d]", i)
		if field != "" {
			name += "." + field
		}
		c.addError(name, want)
	})
	for i, team := range teams {
		for _, amount := range []struct {
			field             string
			guaranteed, limit float64
		}{
			{"cpus", team.CPUs, team.CPUsMax},
			{"gpus", team.Cards, team.CardsMax},
		} {
			if amount.limit > 0 && amount.guaranteed > amount.limit {
				c.addError(fmt.Sprintf("teams[%d].%s", i, amount.field), fmt.Sprintf("%s is guaranteed %g and may use %g; raise %s_max or lower %s", team.Name, amount.guaranteed, amount.limit, amount.field, amount.field))
			}
		}
	}
}

// fieldLines returns the line of each table, table array entry and key in a document, by full name.
// Entry i of the table array "name" is called name[i].
func fieldLines(text string) map[string]int {
	lines, counts := map[string]int{}, map[string]int{}
	var parser unstable.Parser
	parser.Reset([]byte(text))
	table := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		switch expression.Kind {
		case unstable.Table:
			name, line := expressionKey(&parser, expression)
			table = name
			lines[table] = line
		case unstable.ArrayTable:
			name, line := expressionKey(&parser, expression)
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			lines[table] = line
		case unstable.KeyValue:
			name, line := expressionKey(&parser, expression)
			if table != "" {
				name = table + "." + name
			}
			lines[name] = line
		default: // a comment
		}
	}
	return lines
}

// expressionKey returns the dotted key of an expression and its line.
func expressionKey(parser *unstable.Parser, expression *unstable.Node) (name string, line int) {
	var parts []string
	for keys := expression.Key(); keys.Next(); {
		node := keys.Node()
		parts = append(parts, string(node.Data))
		if line == 0 {
			line = parser.Shape(node.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}
