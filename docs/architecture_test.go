// Package docs_test checks the documentation against the code. In architecture.md, it checks the diagram of the
// packages and their imports, the names of declarations and the links to the files that declare them, the keys of the
// state service, and the log messages. It also checks that the README lists all packages, and that all pages except
// incident pages name only tests and declarations that exist. After code has moved between files,
// "go test ./docs -update" updates the links.
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

// architecturePage is the page that describes the code in detail, in this directory.
const architecturePage = "architecture.md"

var (
	codeSpan = regexp.MustCompile("`([^`]+)`")
	link     = regexp.MustCompile(`\[([^\]]*)\]\(([^)#\s]+)(?:#[^)]*)?\)`)
	// symbol matches a package's directory, a dot, and a declared name, or a type and one of its members.
	symbol = regexp.MustCompile(`^([a-z][a-z0-9]*(?:/[a-z0-9]+)*)\.([A-Za-z]\w*(?:\.[A-Za-z]\w*)?)$`)
	// unqualifiedMember matches a type and one of its members, without the package.
	unqualifiedMember = regexp.MustCompile(`^[A-Z]\w*\.[A-Za-z]\w*$`)
	repositoryPath    = regexp.MustCompile(`^[\w.-]+(?:/[\w.-]+)*/?$`)
	fileName          = regexp.MustCompile(`\.(?:go|md|toml|json|txt|fbs|hex)$`)
	testName          = regexp.MustCompile(`\b(?:Test|Benchmark)[A-Z]\w*\b`)
	// layerRow matches a row of the diagram: the name of a layer, two or more spaces, and the packages of the layer.
	layerRow = regexp.MustCompile(`^(\S+(?: \S+)*)\s{2,}(\S.*)$`)
	// layerContinuation matches a row of the diagram with more packages of the layer in the row above.
	layerContinuation = regexp.MustCompile(`^\s{4,}([a-z].*)$`)
)

// pageLine is a line of architecture.md outside of fenced blocks.
type pageLine struct {
	// number is the line number, starting at 1.
	number int
	text   string
}

// readArchitecturePage returns the lines of architecture.md outside of fenced blocks, and the lines of its first fenced
// block, which is the diagram of the packages.
func readArchitecturePage(t *testing.T) (prose []pageLine, diagram []string) {
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
			diagram = append(diagram, text)
		}
	}
	return prose, diagram
}

func TestArchitecturePageNamesWhatExists(t *testing.T) {
	tree := readSourceTree(t)
	prose, _ := readArchitecturePage(t)
	for _, line := range prose {
		for _, span := range codeSpan.FindAllStringSubmatch(line.text, -1) {
			if problem := tree.checkSpan(span[1]); problem != "" {
				t.Errorf("docs/%s:%d: %s", architecturePage, line.number, problem)
			}
		}
	}
}

// checkSpan returns a message that says what is wrong with a code span of the page, or "" if nothing is.
func (tree *sourceTree) checkSpan(span string) string {
	if message, ok := quoted(span, `"`); ok {
		if !tree.logMessages[message] {
			return "no call of slog has the message " + span + "; write the message as it is in the code"
		}
		return ""
	}
	if reason, ok := quoted(span, `why="`); ok {
		if !tree.literals[reason] {
			return "no string in the code is the reason " + span + "; write the reason as it is in the code"
		}
		return ""
	}
	if strings.HasPrefix(span, "sf/") {
		return tree.checkKey(span)
	}
	if unqualifiedMember.MatchString(span) {
		return "`" + span + "` has no package; write package." + span
	}
	if found := symbol.FindStringSubmatch(span); found != nil && !fileName.MatchString(span) {
		return tree.checkSymbol(found[1], found[2])
	}
	if strings.Contains(span, "/") && repositoryPath.MatchString(span) || fileName.MatchString(span) && !strings.Contains(span, " ") {
		if _, err := os.Stat(path.Join(repositoryRoot, span)); err != nil {
			return "`" + span + "` is no file or directory of the repository; write its path from the root"
		}
	}
	return ""
}

// quoted returns the text between a prefix and a final quotation mark. The second result is false if the span does not
// have both.
func quoted(span, prefix string) (string, bool) {
	inner, ok := strings.CutPrefix(span, prefix)
	if !ok {
		return "", false
	}
	return strings.CutSuffix(inner, `"`)
}

// checkKey returns a message if no string literal in the code is a prefix of a key of the state service, and ""
// otherwise.
func (tree *sourceTree) checkKey(key string) string {
	for literal := range tree.literals {
		if len(literal) > len("sf/") && strings.HasPrefix(literal, "sf/") && strings.HasPrefix(key, literal) {
			return ""
		}
	}
	return "no string in the code is a prefix of the key `" + key + "`; see the constants of package store"
}

// checkSymbol returns a message if the package in a directory does not declare a name, and "" otherwise. The message
// lists declarations of the same name in other places.
func (tree *sourceTree) checkSymbol(directory, name string) string {
	if pkg := tree.packages[directory]; pkg != nil && pkg.declared[name] != "" {
		return ""
	}
	problem := "`" + directory + "." + name + "` is not declared"
	if tree.packages[directory] == nil {
		problem = "there is no package " + directory + " for `" + directory + "." + name + "`"
	}
	if similar := tree.similarDeclarations(name); len(similar) > 0 {
		return problem + "; declarations with the same last name: " + strings.Join(similar, ", ")
	}
	return problem + ", and no other declaration has the same last name; it was renamed or removed: write the name of its replacement"
}

func TestArchitecturePageLinksLeadToDeclarations(t *testing.T) {
	tree := readSourceTree(t)
	if *update {
		tree.updateLinks(t)
	}
	prose, _ := readArchitecturePage(t)
	for _, line := range prose {
		for _, found := range link.FindAllStringSubmatch(line.text, -1) {
			text, target := found[1], found[2]
			if strings.Contains(target, "://") {
				continue
			}
			if want := tree.declaringFile(text); want != "" && want != target {
				t.Errorf("docs/%s:%d: the link of %s leads to %s, but the declaration is in %s; run: go test ./docs -update", architecturePage, line.number, text, target, want)
			}
			if _, err := os.Stat(target); err != nil {
				t.Errorf("docs/%s:%d: the target %s of a link does not exist; write its path relative to docs/", architecturePage, line.number, target)
			}
		}
	}
}

// declaringFile returns the path, relative to this directory, of the file that declares the symbol in the text of a
// link. It returns "" if the text is not a symbol that is declared.
func (tree *sourceTree) declaringFile(text string) string {
	found := symbol.FindStringSubmatch(strings.Trim(text, "`"))
	if found == nil || tree.packages[found[1]] == nil || tree.packages[found[1]].declared[found[2]] == "" {
		return ""
	}
	return path.Join(repositoryRoot, tree.packages[found[1]].declared[found[2]])
}

// updateLinks changes the links of architecture.md whose text is a declared symbol, so that they lead to the file that
// declares it.
func (tree *sourceTree) updateLinks(t *testing.T) {
	t.Helper()
	raw, err := os.ReadFile(architecturePage)
	if err != nil {
		t.Fatal(err)
	}
	updated := link.ReplaceAllStringFunc(string(raw), func(original string) string {
		found := link.FindStringSubmatch(original)
		if want := tree.declaringFile(found[1]); want != "" {
			return "[" + found[1] + "](" + want + ")"
		}
		return original
	})
	if err := os.WriteFile(architecturePage, []byte(updated), 0o644); err != nil {
		t.Fatal(err)
	}
}

// layer is a layer of packages in the diagram.
type layer struct {
	name string
	// depth is the number of layers above this one.
	depth int
}

// readLayers returns the layer of each package in the diagram.
func readLayers(t *testing.T, diagram []string) map[string]layer {
	t.Helper()
	layers := map[string]layer{}
	current := layer{depth: -1}
	for _, text := range diagram {
		var packages string
		if row := layerRow.FindStringSubmatch(text); row != nil && row[1] != "|" && row[1] != "v" {
			current = layer{row[1], current.depth + 1}
			packages = row[2]
		} else if continuation := layerContinuation.FindStringSubmatch(text); continuation != nil && strings.TrimSpace(text) != "v" {
			packages = continuation[1]
		}
		for directory := range strings.FieldsSeq(packages) {
			if previous, ok := layers[directory]; ok {
				t.Errorf("docs/%s: the diagram has package %s in the layers %q and %q; keep it in one of them", architecturePage, directory, previous.name, current.name)
			}
			layers[directory] = current
		}
	}
	if len(layers) == 0 {
		t.Fatalf("docs/%s: the first fenced block has no rows of layers", architecturePage)
	}
	return layers
}

func TestArchitecturePageDiagramHasAllPackagesInLayers(t *testing.T) {
	tree := readSourceTree(t)
	_, diagram := readArchitecturePage(t)
	layers := readLayers(t, diagram)
	for directory := range layers {
		if tree.packages[directory] == nil {
			t.Errorf("docs/%s: the diagram has package %s, which does not exist; remove it, or write its new name", architecturePage, directory)
		}
	}
	for _, directory := range slices.Sorted(maps.Keys(tree.packages)) {
		importingLayer, ok := layers[directory]
		if !ok {
			t.Errorf("docs/%s: package %s is not in the diagram; add it to the lowest layer that is not below the layer of a package that it imports", architecturePage, directory)
			continue
		}
		for _, imported := range slices.Sorted(maps.Keys(tree.packages[directory].imports)) {
			if importedLayer, ok := layers[imported]; ok && importedLayer.depth < importingLayer.depth {
				t.Errorf("docs/%s: package %s (layer %q) imports %s, which the diagram has in a higher layer (%q); imports must not point up: move one of the packages, or remove the import",
					architecturePage, directory, importingLayer.name, imported, importedLayer.name)
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

// pages returns the paths of all pages except incident pages, which keep the names from the time of the incident.
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
					t.Errorf("%s:%d: no test or benchmark has the name %s; write the name of the one that shows this", path.Join("docs", page), index+1, name)
				}
			}
			for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
				found := symbol.FindStringSubmatch(span[1])
				if found == nil || fileName.MatchString(span[1]) || tree.packages[found[1]] == nil {
					continue
				}
				if problem := tree.checkSymbol(found[1], found[2]); problem != "" {
					t.Errorf("%s:%d: %s", path.Join("docs", page), index+1, problem)
				}
			}
		}
	}
}
