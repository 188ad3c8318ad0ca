package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"path"
	"path/filepath"
)

// Finding is one issue in golangci-lint's report.
type Finding struct {
	Linter string `json:"FromLinter"`
	Text   string
	Pos    Position
}

// Position is the source position of a finding. Filename is relative to the repository root.
type Position struct {
	Filename string
	Line     int
	Column   int
}

// String returns the finding in the file:line:column format that editors and terminals link.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s (%s)", f.Pos.Filename, f.Pos.Line, f.Pos.Column, f.Text, f.Linter)
}

// Pair returns the pair under which the finding is counted.
func (f Finding) Pair() Pair {
	return Pair{Directory: path.Dir(filepath.ToSlash(f.Pos.Filename)), Linter: f.Linter}
}

// report is the part of golangci-lint's JSON output that this command uses.
type report struct {
	Issues []Finding
	Report *struct {
		Error string
	}
}

// typecheckLinter is the name under which golangci-lint reports code that does not compile. The other
// linters skip such a package, so its count of findings cannot be compared with the baseline.
const typecheckLinter = "typecheck"

var errIncompleteReport = errors.New("golangci-lint's output contains no report")

// CompileError reports code that does not compile, which the linters therefore skipped.
type CompileError struct {
	Finding Finding
}

// Error returns the finding with its position.
func (e *CompileError) Error() string {
	return "does not compile: " + e.Finding.String()
}

// ParseFindings reads golangci-lint's JSON output. It returns an error if the run failed, and a
// *CompileError if the code does not compile.
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

// Count returns the number of findings of each pair.
func Count(findings []Finding) Counts {
	counts := Counts{}
	for _, finding := range findings {
		counts[finding.Pair()]++
	}
	return counts
}
