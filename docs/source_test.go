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

// repositoryRoot is the root of the repository, relative to the directory in which the tests run.
const repositoryRoot = ".."

// modulePath is the prefix of the import paths of the repository's packages.
const modulePath = "switchferry/"

// sourceTree describes what the Go files of the repository, except tests, declare, import and log.
type sourceTree struct {
	// packages maps directories, relative to the root and with slashes, to the packages in them.
	packages map[string]*sourcePackage
	// logMessages is the set of messages that are passed to slog as literals.
	logMessages map[string]bool
	// literals is the set of all string literals.
	literals map[string]bool
}

// sourcePackage is one package of the repository.
type sourcePackage struct {
	// imports is the set of directories of the repository's packages that the package imports.
	imports map[string]bool
	// declared maps names such as "Function", "Type", "Type.Method", "Type.Field" and "Constant" to the path of the file
	// that declares them, relative to the root.
	declared map[string]string
}

// isIgnoredDirectory reports whether a directory of this name contains no source files of the repository: hidden
// directories, test data and build output.
func isIgnoredDirectory(name string) bool {
	return strings.HasPrefix(name, ".") || name == "testdata" || name == "target"
}

// readSourceTree parses all Go files of the repository that are not tests.
func readSourceTree(t *testing.T) *sourceTree {
	t.Helper()
	tree := &sourceTree{packages: map[string]*sourcePackage{}, logMessages: map[string]bool{}, literals: map[string]bool{}}
	err := filepath.WalkDir(repositoryRoot, func(file string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && file != repositoryRoot && isIgnoredDirectory(entry.Name()):
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

// readTestNames returns the names of all declarations in test files, which include all tests and benchmarks.
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

// addFile parses one file and adds its declarations, imports, string literals and log messages.
func (tree *sourceTree) addFile(file string) error {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
	if err != nil {
		return fmt.Errorf("parse %s: %w", file, err)
	}
	name, err := filepath.Rel(repositoryRoot, file)
	if err != nil {
		return err
	}
	name = filepath.ToSlash(name)
	pkg := tree.packages[path.Dir(name)]
	if pkg == nil {
		pkg = &sourcePackage{imports: map[string]bool{}, declared: map[string]string{}}
		tree.packages[path.Dir(name)] = pkg
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
		tree.addLiteralOrLogMessage(node)
		return true
	})
	return nil
}

// addLiteralOrLogMessage adds the node if it is a string literal, or its message if it is a call of slog.
func (tree *sourceTree) addLiteralOrLogMessage(node ast.Node) {
	switch node := node.(type) {
	case *ast.BasicLit:
		if node.Kind == token.STRING {
			tree.literals[unquote(node)] = true
		}
	case *ast.CallExpr:
		if message, ok := logMessage(node); ok {
			tree.logMessages[message] = true
		}
	}
}

// logMessage returns the message of a call of a logging function of slog, such as slog.Info. The second result is false
// if the call is another one or has no string literal as an argument.
func logMessage(call *ast.CallExpr) (string, bool) {
	function, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	qualifier, ok := function.X.(*ast.Ident)
	levels := []string{"Debug", "Info", "Warn", "Error", "Log"}
	if !ok || qualifier.Name != "slog" || !slices.Contains(levels, strings.TrimSuffix(function.Sel.Name, "Context")) {
		return "", false
	}
	for _, argument := range call.Args {
		if literal, ok := argument.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			return unquote(literal), true
		}
	}
	return "", false
}

// declaredNames returns the names that a top-level declaration declares. Names of methods, fields and interface methods
// are preceded by their type and a dot.
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

// specNames returns the names that one specification of constants, variables or a type declares, including the fields
// of a struct type and the methods of an interface type.
func specNames(spec ast.Spec) (names []string) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			names = append(names, name.Name)
		}
	case *ast.TypeSpec:
		names = append(names, spec.Name.Name)
		var members *ast.FieldList
		switch typeExpression := spec.Type.(type) {
		case *ast.StructType:
			members = typeExpression.Fields
		case *ast.InterfaceType:
			members = typeExpression.Methods
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

// receiverType returns the name of the type of a method's receiver.
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

// unquote returns the value of a string literal, or its source text if it is malformed.
func unquote(literal *ast.BasicLit) string {
	value, err := strconv.Unquote(literal.Value)
	if err != nil {
		return literal.Value
	}
	return value
}

// similarDeclarations returns the declarations whose last name is the same as that of name, ignoring case, with the
// files that contain them.
func (tree *sourceTree) similarDeclarations(name string) (found []string) {
	last := name[strings.LastIndex(name, ".")+1:]
	for directory, pkg := range tree.packages {
		for declared, file := range pkg.declared {
			if strings.EqualFold(declared[strings.LastIndex(declared, ".")+1:], last) {
				found = append(found, fmt.Sprintf("%s.%s in %s", directory, declared, file))
			}
		}
	}
	slices.Sort(found)
	return found
}
