// Package configuration is the live configuration: the teams, policy, feature switches and topology
// that operators change while the service runs. It is one document with numbered revisions.
//
// The package defines how a document is parsed and checked, how two documents differ, how a revision
// is stored in values of the state service, for how long a controller may use a revision that it has
// read (ValidityLease), and when a new one is in force (Rollout). It is pure: it reads no clock,
// starts no goroutine and does no I/O. Package revisions carries it out against the state service.
//
// docs/configuration.md has the design and the safety argument.
package configuration

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"switchferry/internal/stricttoml"
	"switchferry/policy"
	"switchferry/settings"
	"switchferry/topology"
	"switchferry/tuning"
)

// The values of OverLimit.Running.
const (
	// Leave lets running tasks above a limit run to their ends.
	Leave = "leave"
	// Stop stops as many running tasks as the limit demands, those of the lowest rank first.
	Stop = "stop"
)

// OverLimit says what happens to the running tasks of a team whose limit falls below its usage.
type OverLimit struct {
	// Running is Leave or Stop.
	Running string `toml:"running"`
	// StopWithinS is the grace period of a stopped task, to save a checkpoint, in seconds.
	StopWithinS float64 `toml:"stop_within_s"`
}

// Switches are the settings of features that can be changed while the service runs.
type Switches struct {
	// AheadTasks overrides data.ahead_tasks of the features file; nil: it does not.
	AheadTasks *int `toml:"ahead_tasks"`
}

// Document is a configuration as operators write it. For a section that it lacks, the files and
// settings of the controllers apply. It does not change after Parse.
type Document struct {
	OverLimit OverLimit
	// Policy has the policy expressions by the names of settings; nil: the policy file applies.
	Policy map[string]string
	// Teams has all teams; empty: those of the settings apply.
	Teams    []settings.Team
	Switches Switches
	// Topology is nil if the topology file applies.
	Topology *topology.Map
	// Text is the document as it was written.
	Text string

	// policy is Policy, compiled.
	policy *policy.Policy
}

// documentTOML is the TOML form of a document.
type documentTOML struct {
	OverLimit OverLimit             `toml:"over_limit"`
	Policy    map[string]string     `toml:"policy"`
	Teams     []settings.Team       `toml:"teams"`
	Features  Switches              `toml:"features"`
	Topology  *topology.Declaration `toml:"topology"`
}

// Parse parses and checks a document. The error is of type FieldErrors. It has all errors that were
// found, ordered by line.
func Parse(text string) (*Document, error) {
	if len(text) > tuning.ConfigurationBytes {
		return nil, FieldErrors{{Field: "document", Remedy: fmt.Sprintf("takes %d bytes, at most %d can be stored; shorten comments, or name machines by patterns", len(text), tuning.ConfigurationBytes)}}
	}
	file := documentTOML{OverLimit: OverLimit{Running: Leave}}
	unknown, err := stricttoml.Decode([]byte(text), &file)
	if err != nil {
		return nil, FieldErrors{decodeFieldError(err)}
	}
	check := documentChecker{lines: fieldLines(text)}
	for _, err := range unknown {
		if name, ok := errors.AsType[*stricttoml.UnknownError](err); ok {
			check.fieldErrors = append(check.fieldErrors, FieldError{name.Line, name.Name, "no such setting; there are over_limit, policy, teams, features and topology"})
		}
	}
	document := &Document{OverLimit: file.OverLimit, Policy: file.Policy, Teams: file.Teams, Switches: file.Features, Text: text}
	check.checkDocument(document, file.Topology)
	if len(check.fieldErrors) > 0 {
		slices.SortStableFunc(check.fieldErrors, func(a, b FieldError) int { return cmp.Compare(a.Line, b.Line) })
		return nil, check.fieldErrors
	}
	return document, nil
}

// decodeFieldError returns the error of a text that cannot be decoded.
func decodeFieldError(err error) FieldError {
	if value, ok := errors.AsType[*stricttoml.ValueError](err); ok {
		return FieldError{Line: value.Line, Field: value.Name, Remedy: value.Err.Error()}
	}
	return FieldError{Field: "document", Remedy: "must be TOML: " + err.Error()}
}
