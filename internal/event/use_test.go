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

// modulePrefix is the prefix of the import paths of the packages in this module.
const modulePrefix = "github.com/chicorydale/chicorydale/"

// exportedValues returns the names of the exported constants and variables that a source file declares at package level.
func exportedValues(t *testing.T, path string) []string {
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
		_, isFunc := node.(*ast.FuncDecl)
		return !isFunc
	})
	return names
}

// collectUses adds to uses the names that a file uses of other packages in this module, in the form "internal/event.Started".
func collectUses(file *ast.File, uses map[string]bool) {
	imports := make(map[string]string)
	for _, spec := range file.Imports {
		path, _ := strconv.Unquote(spec.Path.Value)
		if dir, found := strings.CutPrefix(path, modulePrefix); found && spec.Name == nil {
			imports[filepath.Base(dir)] = dir
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		if selector, ok := node.(*ast.SelectorExpr); ok {
			if pkg, ok := selector.X.(*ast.Ident); ok && imports[pkg.Name] != "" {
				uses[imports[pkg.Name]+"."+selector.Sel.Name] = true
			}
		}
		return true
	})
}

// TestDocumentedNamesAreUsed guards against an event, a reason of retries or a refusal code that is documented for operators
// although no code outside of tests uses it.
func TestDocumentedNamesAreUsed(t *testing.T) {
	uses := make(map[string]bool)
	err := filepath.WalkDir("../..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err == nil {
			collectUses(file, uses)
		}
		return err
	})
	qt.Assert(t, err, qt.IsNil)
	for path, dir := range map[string]string{
		"catalogue.go": "internal/event", "../metric/retry.go": "internal/metric", "../refusal/code.go": "internal/refusal",
	} {
		names := exportedValues(t, path)
		qt.Assert(t, names, qt.Not(qt.HasLen), 0)
		for _, name := range names {
			qt.Check(t, uses[dir+"."+name], qt.IsTrue, qt.Commentf("no code outside of tests uses %s.%s", dir, name))
		}
	}
}
