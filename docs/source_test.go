package docs_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// repositoryRoot is the root of the repository, seen from the directory in which the tests run.
const repositoryRoot = ".."

// modulePath is the prefix of the import paths of the repository's packages.
const modulePath = "switchferry/"

// sourceTree is what the Go files of the repository declare, import and log. It leaves out tests.
type sourceTree struct {
	// packages are by their directories below the root, with slashes.
	packages map[string]*sourcePackage
	// logMessages are the messages that are passed to slog as literals.
	logMessages map[string]bool
	// literals are all string literals.
	literals map[string]bool
}

// sourcePackage is one package of the repository.
type sourcePackage struct {
	// imports are the directories of the repository's packages that it imports.
	imports map[string]bool
	// declared maps "Function", "Type", "Type.Method", "Type.Field" and "Constant" to the file, below the root.
	declared map[string]string
}

// notSource reports whether a directory of this name holds no sources of the tree: hidden ones, test data and what builds
// leave behind.
func notSource(name string) bool {
	return strings.HasPrefix(name, ".") || name == "testdata" || name == "target"
}

// readSourceTree parses all Go files that are not tests.
func readSourceTree(t *testing.T) *sourceTree {
	t.Helper()
	tree := &sourceTree{packages: map[string]*sourcePackage{}, logMessages: map[string]bool{}, literals: map[string]bool{}}
	err := filepath.WalkDir(repositoryRoot, func(file string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && file != repositoryRoot && notSource(entry.Name()):
			return filepath.SkipDir
		case entry.IsDir() || !strings.HasSuffix(file, ".go") || strings.HasSuffix(file, "_test.go"):
			return nil
		}
		return tree.addFile(file)
	})
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

// readTestNames returns the names of all tests and benchmarks.
func readTestNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir(repositoryRoot, func(file string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(file, "_test.go") {
			return err
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			return fmt.Errorf("parse %s: %w", file, err)
		}
		for _, declaration := range parsed.Decls {
			for _, name := range declaredNames(declaration) {
				names[name] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// addFile adds what one file declares, imports and logs.
func (s *sourceTree) addFile(file string) error {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
	if err != nil {
		return fmt.Errorf("parse %s: %w", file, err)
	}
	name, err := filepath.Rel(repositoryRoot, file)
	if err != nil {
		return err
	}
	name = filepath.ToSlash(name)
	pkg := s.packages[path.Dir(name)]
	if pkg == nil {
		pkg = &sourcePackage{imports: map[string]bool{}, declared: map[string]string{}}
		s.packages[path.Dir(name)] = pkg
	}
	for _, spec := range parsed.Imports {
		if imported, ok := strings.CutPrefix(unquote(spec.Path), modulePath); ok {
			pkg.imports[imported] = true
		}
	}
	for _, declaration := range parsed.Decls {
		for _, declared := range declaredNames(declaration) {
			pkg.declared[declared] = name
		}
	}
	ast.Inspect(parsed, func(node ast.Node) bool {
		s.addLiteral(node)
		return true
	})
	return nil
}

// addLiteral notes a string literal, or the message of a call of slog.
func (s *sourceTree) addLiteral(node ast.Node) {
	switch node := node.(type) {
	case *ast.BasicLit:
		if node.Kind == token.STRING {
			s.literals[unquote(node)] = true
		}
	case *ast.CallExpr:
		if message, ok := logMessage(node); ok {
			s.logMessages[message] = true
		}
	}
}

// logMessage returns the message of a call such as slog.Info, if it is a literal.
func logMessage(call *ast.CallExpr) (string, bool) {
	function, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	of, ok := function.X.(*ast.Ident)
	levels := []string{"Debug", "Info", "Warn", "Error", "Log"}
	if !ok || of.Name != "slog" || !slices.Contains(levels, strings.TrimSuffix(function.Sel.Name, "Context")) {
		return "", false
	}
	for _, argument := range call.Args {
		if literal, ok := argument.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			return unquote(literal), true
		}
	}
	return "", false
}

// declaredNames returns the names that a declaration at the top of a file declares.
func declaredNames(declaration ast.Decl) []string {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		if declaration.Recv == nil {
			return []string{declaration.Name.Name}
		}
		return []string{receiverType(declaration.Recv.List[0].Type) + "." + declaration.Name.Name}
	case *ast.GenDecl:
		var names []string
		for _, spec := range declaration.Specs {
			names = append(names, specNames(spec)...)
		}
		return names
	}
	return nil
}

// specNames returns the names of one constant, variable or type, with those of its fields or methods.
func specNames(spec ast.Spec) (names []string) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			names = append(names, name.Name)
		}
	case *ast.TypeSpec:
		names = append(names, spec.Name.Name)
		var members *ast.FieldList
		switch of := spec.Type.(type) {
		case *ast.StructType:
			members = of.Fields
		case *ast.InterfaceType:
			members = of.Methods
		default:
			return names
		}
		for _, member := range members.List {
			for _, name := range member.Names {
				names = append(names, spec.Name.Name+"."+name.Name)
			}
		}
	}
	return names
}

// receiverType returns the name of the type that a method belongs to.
func receiverType(receiver ast.Expr) string {
	switch receiver := receiver.(type) {
	case *ast.StarExpr:
		return receiverType(receiver.X)
	case *ast.IndexExpr:
		return receiverType(receiver.X)
	case *ast.Ident:
		return receiver.Name
	}
	return ""
}

// unquote returns the value of a string literal that the parser has accepted.
func unquote(literal *ast.BasicLit) string {
	value, err := strconv.Unquote(literal.Value)
	if err != nil {
		return literal.Value
	}
	return value
}

// similar returns where the tree declares something with the same last name, for messages to whoever mends a page.
func (s *sourceTree) similar(name string) (found []string) {
	last := name[strings.LastIndex(name, ".")+1:]
	for directory, pkg := range s.packages {
		for declared, file := range pkg.declared {
			if strings.EqualFold(declared[strings.LastIndex(declared, ".")+1:], last) {
				found = append(found, fmt.Sprintf("%s.%s in %s", directory, declared, file))
			}
		}
	}
	slices.Sort(found)
	return found
}
