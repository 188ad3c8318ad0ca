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

// Pair is one linter in one package directory, relative to the root and with slashes.
type Pair struct {
	Directory string
	Linter    string
}

// String is the pair as the baseline file writes it.
func (p Pair) String() string {
	return p.Directory + " " + p.Linter
}

func comparePairs(a, b Pair) int {
	return cmp.Or(cmp.Compare(a.Directory, b.Directory), cmp.Compare(a.Linter, b.Linter))
}

// Counts is the number of findings of each pair. A pair that is missing has none.
type Counts map[Pair]int

// Change is a pair whose count differs between the baseline and the present run.
type Change struct {
	Pair    Pair
	Allowed int
	Found   int
}

// String is the change as lint/run prints it.
func (c Change) String() string {
	return fmt.Sprintf("%s: %d, baseline %d", c.Pair, c.Found, c.Allowed)
}

const baselineHeader = `# Findings of golangci-lint by package directory and linter. A count may only fall; lint/run says
# how this file is made and changed.
`

// SyntaxError is a baseline line that does not read as "directory linter count".
type SyntaxError struct {
	Line int
	Text string
}

// Error names the line and the form it should have.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("baseline line %d: want \"directory linter count\", once for each pair and with a count above 0, not %q", e.Line, e.Text)
}

// ParseBaseline reads a baseline file. Empty lines and lines that begin with # are skipped.
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

// Format is the baseline file of these counts, sorted by directory and linter.
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

// Compare lists the pairs with more findings than the baseline allows, and those with fewer.
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

// LoweredBaseline is the baseline with each count brought down to what was found. No count rises and no
// pair is added.
func LoweredBaseline(baseline, found Counts) Counts {
	lowered := Counts{}
	for pair, allowed := range baseline {
		if count := min(allowed, found[pair]); count > 0 {
			lowered[pair] = count
		}
	}
	return lowered
}

// Totals is the number of findings of each linter over all directories.
func (c Counts) Totals() map[string]int {
	totals := map[string]int{}
	for pair, count := range c {
		totals[pair.Linter] += count
	}
	return totals
}

// IncreasedTotals names the linters that have more findings in the whole tree than the baseline allows,
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
