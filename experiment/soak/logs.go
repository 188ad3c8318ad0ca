package soak

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
)

// releasesMessage identifies the log lines that have the counts of released allocations since the beginning of a term.
const releasesMessage = `msg="attempts released"`

// readLogs returns the contents of all logs in a directory, except those that cannot be read.
func readLogs(directory string) (texts []string) {
	files, _ := filepath.Glob(filepath.Join(directory, "*.log")) // The pattern is well-formed.
	for _, file := range files {
		if raw, err := os.ReadFile(file); err == nil {
			texts = append(texts, string(raw))
		}
	}
	return texts
}

// countReleases returns, by name, the sums over all terms of the last counts that each term logged.
func countReleases(logs []string) map[string]int {
	latest := map[string]string{}
	for _, text := range logs {
		for line := range strings.Lines(text) {
			if _, attributes, ok := strings.Cut(line, releasesMessage); ok {
				term, rest, _ := strings.Cut(strings.TrimSpace(attributes), " ")
				latest[term] = rest
			}
		}
	}
	counts := map[string]int{}
	for _, attributes := range latest {
		addCounts(counts, attributes)
	}
	return counts
}

// attributePattern matches a log attribute with a numeric value.
var attributePattern = regexp.MustCompile(`("[^"]+"|[a-z_]+)=(\d+)`)

// addCounts adds the numeric attributes of a log line to counts, by name.
func addCounts(counts map[string]int, attributes string) {
	for _, match := range attributePattern.FindAllStringSubmatch(attributes, -1) {
		if count, err := strconv.Atoi(match[2]); err == nil {
			counts[strings.Trim(match[1], `"`)] += count
		}
	}
}

// countInvariantViolations counts the invariant violations that the controllers logged.
func countInvariantViolations(logs []string) (count int) {
	for _, text := range logs {
		count += strings.Count(text, "invariant violated")
	}
	return count
}
