// Package configuration defines the live configuration: the teams, policy, feature settings and
// topology that operators can change while the service runs. It is one document with numbered
// revisions.
//
// The package defines how a document is parsed and checked, how two documents are compared, how a
// revision is encoded into values of the state service, how long a controller may use a revision that
// it has read (ValidityLease), and when a new revision is in force (Rollout). It reads no clock, starts
// no goroutine and does no I/O. Package revisions does the I/O with the state service.
//
// docs/configuration.md describes the design and why it is safe.
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

// The values of OverLimitPolicy.Running.
const (
	// LeaveRunning lets the running tasks that exceed a limit run to completion.
	LeaveRunning = "leave"
	// StopRunning stops running tasks, lowest rank first, until the usage is within the limit.
	StopRunning = "stop"
)

// OverLimitPolicy defines what happens to the running tasks of a team whose limit is lowered below its
// usage.
type OverLimitPolicy struct {
	// Running is LeaveRunning or StopRunning.
	Running string `toml:"running"`
	// StopWithinS is the grace period in seconds in which a stopped task can save a checkpoint.
	StopWithinS float64 `toml:"stop_within_s"`
}

// FeatureSettings holds the settings of the features file that can be changed while the service runs.
type FeatureSettings struct {
	// AheadTasks overrides data.ahead_tasks of the features file, unless it is nil.
	AheadTasks *int `toml:"ahead_tasks"`
}

// Document is a configuration document as written by an operator. For each section that it lacks, the
// controllers' files and settings apply. It is immutable after Parse.
type Document struct {
	OverLimit OverLimitPolicy
	// Policy maps the names of policy settings to expressions. If it is nil, the policy file applies.
	Policy map[string]string
	// Teams lists all teams. If it is empty, the teams of the settings apply.
	Teams    []settings.Team
	Features FeatureSettings
	// Topology overrides the topology file, unless it is nil.
	Topology *topology.Map
	// Text is the TOML source of the document.
	Text string

	// policy is the compiled form of Policy.
	policy *policy.Policy
}

// documentTOML is the TOML form of a document.
type documentTOML struct {
	OverLimit OverLimitPolicy       `toml:"over_limit"`
	Policy    map[string]string     `toml:"policy"`
	Teams     []settings.Team       `toml:"teams"`
	Features  FeatureSettings       `toml:"features"`
	Topology  *topology.Declaration `toml:"topology"`
}

// Parse parses and checks a document. The error is of type FieldErrors and has all errors that were
// found, sorted by line.
func Parse(text string) (*Document, error) {
	if len(text) > tuning.MaxConfigurationBytes {
		return nil, FieldErrors{{Field: "document", Remedy: fmt.Sprintf("takes %d bytes, at most %d can be stored; shorten comments, or name machines by patterns", len(text), tuning.MaxConfigurationBytes)}}
	}
	decoded := documentTOML{OverLimit: OverLimitPolicy{Running: LeaveRunning}}
	unknown, err := stricttoml.Decode([]byte(text), &decoded)
	if err != nil {
		return nil, FieldErrors{decodeFieldError(err)}
	}
	checker := documentChecker{lines: fieldLines(text)}
	for _, err := range unknown {
		if unknownField, ok := errors.AsType[*stricttoml.UnknownError](err); ok {
			checker.fieldErrors = append(checker.fieldErrors, FieldError{unknownField.Line, unknownField.Name, "no such setting; there are over_limit, policy, teams, features and topology"})
		}
	}
	document := &Document{OverLimit: decoded.OverLimit, Policy: decoded.Policy, Teams: decoded.Teams, Features: decoded.Features, Text: text}
	checker.checkDocument(document, decoded.Topology)
	if len(checker.fieldErrors) > 0 {
		slices.SortStableFunc(checker.fieldErrors, func(a, b FieldError) int { return cmp.Compare(a.Line, b.Line) })
		return nil, checker.fieldErrors
	}
	return document, nil
}

// decodeFieldError converts an error of stricttoml.Decode to a FieldError.
func decodeFieldError(err error) FieldError {
	if valueError, ok := errors.AsType[*stricttoml.ValueError](err); ok {
		return FieldError{Line: valueError.Line, Field: valueError.Name, Remedy: valueError.Err.Error()}
	}
	return FieldError{Field: "document", Remedy: "must be TOML: " + err.Error()}
}
