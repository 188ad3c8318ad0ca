package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Pair identifies a linter and a package directory. The directory is relative to the repository root and uses slashes.
type Pair struct {
	Directory string
	Linter    string
}

// String returns the pair in the format of the baseline file.
func (p Pair) String() string {
	return p.Directory + " " + p.Linter
}

func comparePairs(a, b Pair) int {
	return cmp.Or(cmp.Compare(a.Directory, b.Directory), cmp.Compare(a.Linter, b.Linter))
}

// Counts maps each pair to its number of findings. A missing pair has no findings.
type Counts map[Pair]int

// Change is a pair whose count in the current run differs from the baseline.
type Change struct {
	Pair    Pair
	Allowed int
	Found   int
}

// String returns the change in the format that lint/run prints.
func (c Change) String() string {
	return fmt.Sprintf("%s: %d, baseline %d", c.Pair, c.Found, c.Allowed)
}

const baselineHeader = `# Findings of golangci-lint by package directory and linter. A count may only fall; lint/run says
# how this file is made and changed.
`

// SyntaxError reports a line of the baseline that is not of the form "directory linter count".
type SyntaxError struct {
	Line int
	Text string
}

// Error returns a message with the line and the expected form.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("baseline line %d: want \"directory linter count\", once for each pair and with a count above 0, not %q", e.Line, e.Text)
}

// ParseBaseline reads a baseline file. Empty lines and lines that start with # are skipped. An invalid line is a
// *SyntaxError.
func ParseBaseline(r io.Reader) (Counts, error) {
	baseline := Counts{}
	scanner := bufio.NewScanner(r)
	for number := 1; scanner.Scan(); number++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		pair, count, ok := parseLine(line)
		if _, repeated := baseline[pair]; !ok || repeated {
			return nil, &SyntaxError{Line: number, Text: line}
		}
		baseline[pair] = count
	}
	return baseline, scanner.Err()
}

func parseLine(line string) (pair Pair, count int, ok bool) {
	fields := strings.Fields(line)
	if len(fields) != 3 {
		return Pair{}, 0, false
	}
	count, err := strconv.Atoi(fields[2])
	if err != nil || count < 1 {
		return Pair{}, 0, false
	}
	return Pair{Directory: fields[0], Linter: fields[1]}, count, true
}

// Format returns the content of the baseline file for these counts, sorted by directory and linter.
func (c Counts) Format() string {
	var text strings.Builder
	text.WriteString(baselineHeader)
	for _, pair := range slices.SortedFunc(maps.Keys(c), comparePairs) {
		if c[pair] > 0 {
			fmt.Fprintf(&text, "%s %d\n", pair, c[pair])
		}
	}
	return text.String()
}

// Compare returns the pairs with more findings than the baseline allows and the pairs with fewer.
func Compare(baseline, found Counts) (increased, decreased []Change) {
	for _, pair := range allPairs(baseline, found) {
		change := Change{Pair: pair, Allowed: baseline[pair], Found: found[pair]}
		switch {
		case change.Found > change.Allowed:
			increased = append(increased, change)
		case change.Found < change.Allowed:
			decreased = append(decreased, change)
		}
	}
	return increased, decreased
}

func allPairs(baseline, found Counts) []Pair {
	pairs := slices.Collect(maps.Keys(baseline))
	for pair := range found {
		if _, listed := baseline[pair]; !listed {
			pairs = append(pairs, pair)
		}
	}
	slices.SortFunc(pairs, comparePairs)
	return pairs
}

// LoweredBaseline returns the baseline with each count reduced to the number of findings. No count increases
// and no pair is added.
func LoweredBaseline(baseline, found Counts) Counts {
	lowered := Counts{}
	for pair, allowed := range baseline {
		if count := min(allowed, found[pair]); count > 0 {
			lowered[pair] = count
		}
	}
	return lowered
}

// Totals returns the number of findings of each linter over all directories.
func (c Counts) Totals() map[string]int {
	totals := map[string]int{}
	for pair, count := range c {
		totals[pair.Linter] += count
	}
	return totals
}

// IncreasedTotals lists the linters that have more findings in the whole tree than the baseline allows,
// each with both totals.
func IncreasedTotals(baseline, found Counts) []string {
	allowed := baseline.Totals()
	totals := found.Totals()
	var increased []string
	for _, linter := range slices.Sorted(maps.Keys(totals)) {
		if totals[linter] > allowed[linter] {
			increased = append(increased, fmt.Sprintf("%s: %d, baseline %d", linter, totals[linter], allowed[linter]))
		}
	}
	return increased
}
