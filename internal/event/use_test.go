package event_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// module is the prefix of the import paths of this program's packages.
const module = "github.com/chicorydale/chicorydale/"

// declared returns the exported constants and variables of a source file.
func declared(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	qt.Assert(t, err, qt.IsNil)
	var names []string
	ast.Inspect(file, func(node ast.Node) bool {
		if spec, ok := node.(*ast.ValueSpec); ok {
			for _, name := range spec.Names {
				if name.IsExported() {
					names = append(names, name.Name)
				}
			}
		}
		_, function := node.(*ast.FuncDecl)
		return !function
	})
	return names
}

// used adds the names that a file uses of the packages of this program, as package path and name.
func used(file *ast.File, names map[string]bool) {
	imports := make(map[string]string)
	for _, spec := range file.Imports {
		path, _ := strconv.Unquote(spec.Path.Value)
		if place, own := strings.CutPrefix(path, module); own && spec.Name == nil {
			imports[filepath.Base(place)] = place
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		if selector, ok := node.(*ast.SelectorExpr); ok {
			if from, ok := selector.X.(*ast.Ident); ok && imports[from.Name] != "" {
				names[imports[from.Name]+"."+selector.Sel.Name] = true
			}
		}
		return true
	})
}

// TestUsed guards against an event, a reason of retries or a refusal code that operators look up and no code brings
// about.
func TestUsed(t *testing.T) {
	names := make(map[string]bool)
	err := filepath.WalkDir("../..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err == nil {
			used(file, names)
		}
		return err
	})
	qt.Assert(t, err, qt.IsNil)
	for path, place := range map[string]string{
		"catalogue.go": "internal/event", "../metric/retry.go": "internal/metric", "../refusal/code.go": "internal/refusal",
	} {
		all := declared(t, path)
		qt.Assert(t, all, qt.Not(qt.HasLen), 0)
		for _, name := range all {
			qt.Check(t, names[place+"."+name], qt.IsTrue, qt.Commentf("no code outside of tests uses %s.%s", place, name))
		}
	}
}
