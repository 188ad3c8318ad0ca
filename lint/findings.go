package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"path"
	"path/filepath"
)

// Finding is one line of golangci-lint's report.
type Finding struct {
	Linter string `json:"FromLinter"`
	Text   string
	Pos    Position
}

// Position is where a finding is. Filename is relative to the root.
type Position struct {
	Filename string
	Line     int
	Column   int
}

// String is the finding in the form that editors and terminals follow.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s (%s)", f.Pos.Filename, f.Pos.Line, f.Pos.Column, f.Text, f.Linter)
}

// Pair is the pair that the finding is counted under.
func (f Finding) Pair() Pair {
	return Pair{Directory: path.Dir(filepath.ToSlash(f.Pos.Filename)), Linter: f.Linter}
}

// report is the part of golangci-lint's JSON output that is read here.
type report struct {
	Issues []Finding
	Report *struct {
		Error string
	}
}

// typecheckLinter is the name under which golangci-lint reports code that does not compile. The
// other linters skip such a package, so its findings are no count to compare.
const typecheckLinter = "typecheck"

var errIncompleteReport = errors.New("golangci-lint's output ends before its report")

// CompileError is a finding that kept the linters from seeing a package.
type CompileError struct {
	Finding Finding
}

// Error is the finding with its place.
func (e *CompileError) Error() string {
	return "does not compile: " + e.Finding.String()
}

// ParseFindings reads golangci-lint's JSON output. A report of a run that failed, or of code that
// does not compile, is an error.
func ParseFindings(output []byte) ([]Finding, error) {
	var result report
	if err := json.Unmarshal(output, &result); err != nil {
		return nil, fmt.Errorf("reading golangci-lint's report: %w", err)
	}
	if result.Report == nil {
		return nil, errIncompleteReport
	}
	if result.Report.Error != "" {
		return nil, fmt.Errorf("golangci-lint: %s", result.Report.Error)
	}
	for _, finding := range result.Issues {
		if finding.Linter == typecheckLinter {
			return nil, &CompileError{Finding: finding}
		}
	}
	return result.Issues, nil
}

// Count counts the findings by pair.
func Count(findings []Finding) Counts {
	counts := Counts{}
	for _, finding := range findings {
		counts[finding.Pair()]++
	}
	return counts
}
