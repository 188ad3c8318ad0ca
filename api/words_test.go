package api

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"unicode"
)

// protocolWords maps words of the protocol to the terms that the code uses instead. They may occur in struct tags
// and in the values of constants, but not in identifiers.
var protocolWords = map[string]string{
	"helm":      "term",
	"berth":     "zone, or slot of a topology",
	"hull":      "machine type",
	"tally":     "seq",
	"harbor":    "controller",
	"charter":   "idempotency key",
	"withdrawn": "cancelled",
	"standby":   "spot",
	"stow":      "save",
	"bundle":    "image",
}

// allowedIdentifiers lists the exceptions: identifiers that contain a protocol word, each as "directory name". The
// list may only shrink: an entry without a matching identifier fails the test too. Words that are also plain English
// (bundle, charter, standby, tally) are covered as well.
var allowedIdentifiers = map[string]bool{}

// generatedDirectory contains generated code, which uses the names of the frames between controllers.
const generatedDirectory = "peer/wire"

func TestIdentifiersContainNoProtocolWords(t *testing.T) {
	found := map[string]bool{}
	files := 0
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel("..", path)
		if err != nil {
			return err
		}
		relative = filepath.ToSlash(relative)
		if entry.IsDir() && (relative == generatedDirectory || isSkippedDirectory(entry.Name())) {
			return fs.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return nil
		}
		files++
		return inspectIdentifiers(path, func(name string, position token.Position) {
			key := filepath.ToSlash(filepath.Dir(relative)) + " " + name
			protocolWord, contained := protocolWordIn(name)
			if !contained {
				return
			}
			found[key] = true
			if !allowedIdentifiers[key] {
				t.Errorf("%s: %s contains the protocol word %q; use %s", position, name, protocolWord, protocolWords[protocolWord])
			}
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	if files < 100 {
		t.Errorf("found only %d Go files; the test does not run in the source tree", files)
	}
	for _, key := range slices.Sorted(maps.Keys(allowedIdentifiers)) {
		if !found[key] {
			t.Errorf("allowedIdentifiers lists %q, which no longer exists; remove the entry", key)
		}
	}
}

func TestProtocolWordInSplitsIdentifiers(t *testing.T) {
	for name, want := range map[string]string{
		"helm": "helm", "newHelm": "helm", "HelmOf": "helm", "HELM": "helm", "berthID": "berth", "hulls": "hull",
		"bundleGB": "bundle", "tallies": "tally", "StowS": "stow", "withdrawnJobs": "withdrawn", "stand_by": "",
		"overwhelming": "", "shardsToWrite": "", "newGBHelm": "helm", "HelmID": "helm", "IDHelmGB": "helm", "a1Hull2": "hull", "totally": "", "IdempotencyKey": "", "TermIDSeq": "",
	} {
		if got, _ := protocolWordIn(name); got != want {
			t.Errorf("%s: found %q, want %q", name, got, want)
		}
	}
}

// isSkippedDirectory reports whether a directory contains no source: hidden, data and build output directories.
func isSkippedDirectory(name string) bool {
	switch name {
	case "testdata", "journal", "target", "vendor":
		return true
	}
	return name != ".." && strings.HasPrefix(name, ".")
}

// protocolWordIn returns the first protocol word that occurs as a word of the identifier, in singular or plural.
func protocolWordIn(identifier string) (string, bool) {
	for _, part := range splitIdentifier(identifier) {
		lower := strings.ToLower(part)
		singulars := []string{lower, strings.TrimSuffix(lower, "s"), strings.TrimSuffix(lower, "ies") + "y"}
		for _, word := range singulars {
			if _, ok := protocolWords[word]; ok {
				return word, true
			}
		}
	}
	return "", false
}

// splitIdentifier returns the words of an identifier, such as Term, ID and Seq for TermIDSeq.
func splitIdentifier(identifier string) []string {
	var words []string
	start := 0
	letters := []rune(identifier)
	for index, letter := range letters {
		switch {
		case !unicode.IsLetter(letter):
			words = append(words, string(letters[start:index]))
			start = index + 1
		case index > start && unicode.IsUpper(letter) && beginsWord(letters, index):
			words = append(words, string(letters[start:index]))
			start = index
		}
	}
	return append(words, string(letters[start:]))
}

// beginsWord reports whether the upper-case letter at an index begins a word, that is, is not inside an initialism.
func beginsWord(letters []rune, index int) bool {
	return unicode.IsLower(letters[index-1]) || index+1 < len(letters) && unicode.IsLower(letters[index+1])
}

// inspectIdentifiers calls visit with every identifier of a Go file.
func inspectIdentifiers(path string, visit func(name string, position token.Position)) error {
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return fmt.Errorf("reading identifiers: %w", err)
	}
	ast.Inspect(file, func(node ast.Node) bool {
		if identifier, ok := node.(*ast.Ident); ok {
			visit(identifier.Name, fileSet.Position(identifier.Pos()))
		}
		return true
	})
	return nil
}
