// Package docs_test checks that architecture.md names what the code has: its packages with the direction of their
// imports, its functions, types, fields and constants with the files that declare them, its keys and its log lines; and
// that the README lists all packages, and that all pages but those of incidents name tests and packages' members that exist.
// After code has moved between files, "go test ./docs -update" mends the links.
package docs_test

import (
	"flag"
	"maps"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the links of architecture.md to the files that declare what they name")

// architecturePage is the page that the tests check.
const architecturePage = "architecture.md"

var (
	codeSpan = regexp.MustCompile("`([^`]+)`")
	link     = regexp.MustCompile(`\[([^\]]*)\]\(([^)#\s]+)(?:#[^)]*)?\)`)
	// symbol is a package's directory, a dot, and a name or a type with one of its members.
	symbol = regexp.MustCompile(`^([a-z][a-z0-9]*(?:/[a-z0-9]+)*)\.([A-Za-z]\w*(?:\.[A-Za-z]\w*)?)$`)
	// unqualified is a type with one of its members, without the package.
	unqualified = regexp.MustCompile(`^[A-Z]\w*\.[A-Za-z]\w*$`)
	repository  = regexp.MustCompile(`^[\w.-]+(?:/[\w.-]+)*/?$`)
	fileName    = regexp.MustCompile(`\.(?:go|md|toml|json|txt|fbs|hex)$`)
	testName    = regexp.MustCompile(`\b(?:Test|Benchmark)[A-Z]\w*\b`)
	// layerRow is a row of the drawing: a layer's name, two spaces or more, and its packages.
	layerRow = regexp.MustCompile(`^(\S+(?: \S+)*)\s{2,}(\S.*)$`)
	// layerContinuation has more packages of the layer above it.
	layerContinuation = regexp.MustCompile(`^\s{4,}([a-z].*)$`)
)

// pageLine is a line of the page outside of fenced blocks.
type pageLine struct {
	number int
	text   string
}

// readPage returns the lines of the page outside of fenced blocks, and the lines of its first fenced block.
func readPage(t *testing.T) (prose []pageLine, drawing []string) {
	t.Helper()
	raw, err := os.ReadFile(architecturePage)
	if err != nil {
		t.Fatal(err)
	}
	fences := 0
	for index, text := range strings.Split(string(raw), "\n") {
		switch {
		case strings.HasPrefix(text, "```"):
			fences++
		case fences%2 == 0:
			prose = append(prose, pageLine{index + 1, text})
		case fences == 1:
			drawing = append(drawing, text)
		}
	}
	return prose, drawing
}

func TestArchitecturePageNamesWhatExists(t *testing.T) {
	tree := readSourceTree(t)
	prose, _ := readPage(t)
	for _, line := range prose {
		for _, span := range codeSpan.FindAllStringSubmatch(line.text, -1) {
			if complaint := tree.checkSpan(span[1]); complaint != "" {
				t.Errorf("docs/%s:%d: %s", architecturePage, line.number, complaint)
			}
		}
	}
}

// checkSpan returns what is wrong with a code span of the page, or nothing.
func (s *sourceTree) checkSpan(span string) string {
	if message, ok := quoted(span, `"`); ok {
		if !s.logMessages[message] {
			return "no call of slog has the message " + span + "; write the message as it is in the code now"
		}
		return ""
	}
	if reason, ok := quoted(span, `why="`); ok {
		if !s.literals[reason] {
			return "no string in the code is the reason " + span + "; write the reason as it is in the code now"
		}
		return ""
	}
	if strings.HasPrefix(span, "sf/") {
		return s.checkKey(span)
	}
	if unqualified.MatchString(span) {
		return "`" + span + "` has no package; write package." + span
	}
	if found := symbol.FindStringSubmatch(span); found != nil && !fileName.MatchString(span) {
		return s.checkSymbol(found[1], found[2])
	}
	if strings.Contains(span, "/") && repository.MatchString(span) || fileName.MatchString(span) && !strings.Contains(span, " ") {
		if _, err := os.Stat(path.Join(repositoryRoot, span)); err != nil {
			return "`" + span + "` is no file or directory of the repository; write its path from the root"
		}
	}
	return ""
}

// quoted returns what stands between a prefix and a final quotation mark.
func quoted(span, prefix string) (string, bool) {
	inner, ok := strings.CutPrefix(span, prefix)
	if !ok {
		return "", false
	}
	return strings.CutSuffix(inner, `"`)
}

// checkKey returns what is wrong with a key of the state service.
func (s *sourceTree) checkKey(key string) string {
	for literal := range s.literals {
		if len(literal) > len("sf/") && strings.HasPrefix(literal, "sf/") && strings.HasPrefix(key, literal) {
			return ""
		}
	}
	return "no string in the code begins the key `" + key + "`; see the constants of package store"
}

// checkSymbol returns what is wrong with the name of something that a package declares.
func (s *sourceTree) checkSymbol(directory, name string) string {
	if pkg := s.packages[directory]; pkg != nil && pkg.declared[name] != "" {
		return ""
	}
	complaint := "`" + directory + "." + name + "` is declared nowhere"
	if s.packages[directory] == nil {
		complaint = "there is no package " + directory + " for `" + directory + "." + name + "`"
	}
	if similar := s.similar(name); len(similar) > 0 {
		return complaint + "; of that name there are: " + strings.Join(similar, ", ")
	}
	return complaint + ", and nothing of that last name is; it was renamed or removed: write what does its work now"
}

func TestArchitecturePageLinksLeadToDeclarations(t *testing.T) {
	tree := readSourceTree(t)
	if *update {
		tree.mendLinks(t)
	}
	prose, _ := readPage(t)
	for _, line := range prose {
		for _, found := range link.FindAllStringSubmatch(line.text, -1) {
			text, target := found[1], found[2]
			if strings.Contains(target, "://") {
				continue
			}
			if want := tree.fileOf(text); want != "" && want != target {
				t.Errorf("docs/%s:%d: the link of %s is %s, and the declaration is in %s; run: go test ./docs -update", architecturePage, line.number, text, target, want)
			}
			if _, err := os.Stat(target); err != nil {
				t.Errorf("docs/%s:%d: the link %s leads to no file; write its path from docs/", architecturePage, line.number, target)
			}
		}
	}
}

// fileOf returns the file, as a link from this directory, that declares what the text of a link names; empty if the text
// names nothing that is declared.
func (s *sourceTree) fileOf(text string) string {
	found := symbol.FindStringSubmatch(strings.Trim(text, "`"))
	if found == nil || s.packages[found[1]] == nil || s.packages[found[1]].declared[found[2]] == "" {
		return ""
	}
	return path.Join(repositoryRoot, s.packages[found[1]].declared[found[2]])
}

// mendLinks rewrites the links of the page that lead to another file than the one with the declaration.
func (s *sourceTree) mendLinks(t *testing.T) {
	t.Helper()
	raw, err := os.ReadFile(architecturePage)
	if err != nil {
		t.Fatal(err)
	}
	mended := link.ReplaceAllStringFunc(string(raw), func(whole string) string {
		found := link.FindStringSubmatch(whole)
		if want := s.fileOf(found[1]); want != "" {
			return "[" + found[1] + "](" + want + ")"
		}
		return whole
	})
	if err := os.WriteFile(architecturePage, []byte(mended), 0o644); err != nil {
		t.Fatal(err)
	}
}

// layer is a row of the drawing.
type layer struct {
	name string
	// depth counts the layers above.
	depth int
}

// readLayers returns the layer of each package on the drawing.
func readLayers(t *testing.T, drawing []string) map[string]layer {
	t.Helper()
	layers := map[string]layer{}
	current := layer{depth: -1}
	for _, text := range drawing {
		var packages string
		if row := layerRow.FindStringSubmatch(text); row != nil && row[1] != "|" && row[1] != "v" {
			current = layer{row[1], current.depth + 1}
			packages = row[2]
		} else if more := layerContinuation.FindStringSubmatch(text); more != nil && strings.TrimSpace(text) != "v" {
			packages = more[1]
		}
		for directory := range strings.FieldsSeq(packages) {
			if twice, ok := layers[directory]; ok {
				t.Errorf("docs/%s: the drawing has package %s in the layers %q and %q; leave it in one", architecturePage, directory, twice.name, current.name)
			}
			layers[directory] = current
		}
	}
	if len(layers) == 0 {
		t.Fatalf("docs/%s: its first fenced block has no rows of layers", architecturePage)
	}
	return layers
}

func TestArchitecturePageDrawsAllPackagesInLayers(t *testing.T) {
	tree := readSourceTree(t)
	_, drawing := readPage(t)
	layers := readLayers(t, drawing)
	for directory := range layers {
		if tree.packages[directory] == nil {
			t.Errorf("docs/%s: the drawing has package %s, which does not exist; remove it, or write its new name", architecturePage, directory)
		}
	}
	for _, directory := range slices.Sorted(maps.Keys(tree.packages)) {
		here, ok := layers[directory]
		if !ok {
			t.Errorf("docs/%s: package %s is not on the drawing; add it to the lowest layer that is not below one that it imports", architecturePage, directory)
			continue
		}
		for _, imported := range slices.Sorted(maps.Keys(tree.packages[directory].imports)) {
			if there, ok := layers[imported]; ok && there.depth < here.depth {
				t.Errorf("docs/%s: package %s (layer %q) imports %s, which the drawing has above it (layer %q); imports point down: move one of the two, or end the import",
					architecturePage, directory, here.name, imported, there.name)
			}
		}
	}
}

func TestReadmeListsAllPackages(t *testing.T) {
	tree := readSourceTree(t)
	raw, err := os.ReadFile(path.Join(repositoryRoot, "README.md"))
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]bool{}
	for row := range strings.Lines(string(raw)) {
		if cells := strings.Split(row, "|"); len(cells) > 2 {
			for _, span := range codeSpan.FindAllStringSubmatch(cells[1], -1) {
				listed[span[1]] = true
			}
		}
	}
	for _, directory := range slices.Sorted(maps.Keys(tree.packages)) {
		if !listed[directory] {
			t.Errorf("README.md: package %s is not in the first column of the table under Layout; add it", directory)
		}
	}
	for _, directory := range slices.Sorted(maps.Keys(listed)) {
		if tree.packages[directory] == nil {
			t.Errorf("README.md: the table under Layout lists package %s, which does not exist; remove it, or write its new name", directory)
		}
	}
}

// pages are all pages but those of incidents, which keep the names of their day.
func pages(t *testing.T) []string {
	t.Helper()
	found, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	return append(found, path.Join(repositoryRoot, "README.md"), path.Join(repositoryRoot, "CONTRIBUTING.md"))
}

func TestPagesNameTestsAndSymbolsThatExist(t *testing.T) {
	tree := readSourceTree(t)
	tests := readTestNames(t)
	for _, page := range pages(t) {
		raw, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for index, line := range strings.Split(string(raw), "\n") {
			for _, name := range testName.FindAllString(line, -1) {
				if !tests[name] {
					t.Errorf("%s:%d: no test or benchmark is named %s; write the name of the one that shows this now", path.Join("docs", page), index+1, name)
				}
			}
			for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
				found := symbol.FindStringSubmatch(span[1])
				if found == nil || fileName.MatchString(span[1]) || tree.packages[found[1]] == nil {
					continue
				}
				if complaint := tree.checkSymbol(found[1], found[2]); complaint != "" {
					t.Errorf("%s:%d: %s", path.Join("docs", page), index+1, complaint)
				}
			}
		}
	}
}
