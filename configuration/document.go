// Package configuration is what operators can change while the service runs: teams, policy, some switches and the
// topology, as one document with numbered revisions. It knows how a document is read and checked, what differs between
// two, how a revision is stored in values of the state service, how long a controller may go by one that it has read,
// and how far a change has come. It is pure: it reads no clock, starts nothing and blocks nowhere; package keeper and
// the controllers carry it out.
//
// docs/configuration.md has the design and its safety argument.
package configuration

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"switchferry/internal/stricttoml"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/topology"
	"switchferry/tuning"
)

// What happens to running tasks of a team whose limit sinks below what it uses.
const (
	// Leave lets them run to their ends.
	Leave = "leave"
	// Stop has as many of them stopped as the limit asks for, those of the lowest rank first.
	Stop = "stop"
)

// OverLimit says what happens to running tasks above a limit.
type OverLimit struct {
	// Running is Leave or Stop.
	Running string `toml:"running"`
	// StopWithinS is how long a stopped task may take to save, in seconds.
	StopWithinS float64 `toml:"stop_within_s"`
}

// Switches are the settings of features that may change while the service runs.
type Switches struct {
	// AheadTasks is data.ahead_tasks of the features file; nil: as there.
	AheadTasks *int `toml:"ahead_tasks"`
}

// Document is a configuration as operators write it. A section that it lacks stays as files and settings have it.
type Document struct {
	OverLimit OverLimit
	// Policy has the expressions by the names of settings; nil: the policy file counts.
	Policy map[string]string
	// Teams are all teams; empty: the platform's count.
	Teams    []settings.Team
	Switches Switches
	// Topology is nil where the topology file counts.
	Topology *topology.Map
	// Text is the document as it was written.
	Text string

	policy *policy.Policy
}

// documentTOML is the document's TOML.
type documentTOML struct {
	OverLimit OverLimit             `toml:"over_limit"`
	Policy    map[string]string     `toml:"policy"`
	Teams     []settings.Team       `toml:"teams"`
	Features  Switches              `toml:"features"`
	Topology  *topology.Declaration `toml:"topology"`
}

// FieldError is one thing that is wrong with a document.
type FieldError struct {
	// Line counts from 1; 0: it is in none, or the line is not known.
	Line  int    `json:"line,omitempty"`
	Field string `json:"field"`
	// Remedy says what the field must be.
	Remedy string `json:"remedy"`
}

func (e FieldError) String() string {
	where := e.Field
	if e.Line > 0 {
		where = fmt.Sprintf("line %d: %s", e.Line, e.Field)
	}
	return where + ": " + e.Remedy
}

// FieldErrors are all that is wrong with a document. It is the error of Parse.
type FieldErrors []FieldError

func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, fieldError := range e {
		lines[i] = fieldError.String()
	}
	return strings.Join(lines, "\n")
}

// Parse reads and checks a document. The error is of type FieldErrors and has all of them, in the order of their lines.
func Parse(text string) (*Document, error) {
	if len(text) > tuning.ConfigurationBytes {
		return nil, FieldErrors{{Field: "document", Remedy: fmt.Sprintf("takes %d bytes, at most %d can be stored; shorten comments, or name machines by patterns", len(text), tuning.ConfigurationBytes)}}
	}
	file := documentTOML{OverLimit: OverLimit{Running: Leave}}
	unknown, err := stricttoml.Decode([]byte(text), &file)
	if err != nil {
		var value *stricttoml.ValueError
		if errors.As(err, &value) {
			return nil, FieldErrors{{Line: value.Line, Field: value.Name, Remedy: value.Err.Error()}}
		}
		return nil, FieldErrors{{Field: "document", Remedy: "must be TOML: " + err.Error()}}
	}
	check := documentChecker{lines: fieldLines(text)}
	for _, err := range unknown {
		var name *stricttoml.UnknownError
		if errors.As(err, &name) {
			check.fieldErrors = append(check.fieldErrors, FieldError{name.Line, name.Name, "no such setting; there are over_limit, policy, teams, features and topology"})
		}
	}
	document := &Document{OverLimit: file.OverLimit, Policy: file.Policy, Teams: file.Teams, Switches: file.Features, Text: text}
	check.checkDocument(document, file.Topology)
	if len(check.fieldErrors) > 0 {
		slices.SortStableFunc(check.fieldErrors, func(a, b FieldError) int { return a.Line - b.Line })
		return nil, check.fieldErrors
	}
	return document, nil
}

// documentChecker collects mistakes, each with the line of its field.
type documentChecker struct {
	lines       map[string]int
	fieldErrors FieldErrors
}

// addError notes a mistake; the line is that of the field, or of what it stands in.
func (c *documentChecker) addError(field, remedy string) {
	line := 0
	for at := field; at != "" && line == 0; at = parentField(at) {
		line = c.lines[at]
	}
	c.fieldErrors = append(c.fieldErrors, FieldError{line, field, remedy})
}

// parentField is what a field stands in; empty: nothing.
func parentField(field string) string {
	i := strings.LastIndexAny(field, ".[")
	return field[:max(i, 0)]
}

func (c *documentChecker) checkDocument(document *Document, declared *topology.Declaration) {
	switch document.OverLimit.Running {
	case Leave:
		if document.OverLimit.StopWithinS != 0 {
			c.addError("over_limit.stop_within_s", `goes with running = "stop" alone; leave it out`)
		}
	case Stop:
		if !(document.OverLimit.StopWithinS >= 0 && document.OverLimit.StopWithinS <= tuning.ConfigurationStopMostS) {
			c.addError("over_limit.stop_within_s", fmt.Sprintf("must be 0 to %d seconds", tuning.ConfigurationStopMostS))
		}
	default:
		c.addError("over_limit.running", fmt.Sprintf("must be %q or %q, not %q", Leave, Stop, document.OverLimit.Running))
	}
	if document.Policy != nil {
		document.policy = policy.Of(document.Policy, func(name, want string) { c.addError("policy."+name, want) })
	}
	c.checkTeams(document.Teams)
	if aheadTasks := document.Switches.AheadTasks; aheadTasks != nil && (*aheadTasks < 0 || *aheadTasks > tuning.AheadMost) {
		c.addError("features.ahead_tasks", fmt.Sprintf("must be 0 to %d, not %d", tuning.AheadMost, *aheadTasks))
	}
	if declared != nil {
		document.Topology = declared.Map(func(field, want string) { c.addError("topology."+field, want) })
	}
}

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
		}{{"cpus", team.CPUs, team.CPUsMax}, {"gpus", team.Cards, team.CardsMax}} {
			if amount.limit > 0 && amount.guaranteed > amount.limit {
				c.addError(fmt.Sprintf("teams[%d].%s", i, amount.field), fmt.Sprintf("%s is guaranteed %g and may use %g; raise %s_max or lower %s", team.Name, amount.guaranteed, amount.limit, amount.field, amount.field))
			}
		}
	}
}

// fieldLines tells in which line each name of a document stands: tables, entries of arrays of tables as name[i], and keys.
func fieldLines(text string) map[string]int {
	lines, counts := map[string]int{}, map[string]int{}
	var parser unstable.Parser
	parser.Reset([]byte(text))
	prefix := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		if expression.Kind != unstable.Table && expression.Kind != unstable.ArrayTable && expression.Kind != unstable.KeyValue {
			continue
		}
		var names []string
		line := 0
		for keys := expression.Key(); keys.Next(); {
			node := keys.Node()
			names = append(names, string(node.Data))
			if line == 0 {
				line = parser.Shape(node.Raw).Start.Line
			}
		}
		name := strings.Join(names, ".")
		switch expression.Kind {
		case unstable.Table:
			prefix = name
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
		default:
			if prefix != "" {
				name = prefix + "." + name
			}
			lines[name] = line
			continue
		}
		lines[prefix] = line
	}
	return lines
}
