package dispatch_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"slices"
	"strings"
	"testing"
)

// progressOwners are the functions that may change where a request stands, as the type says.
var progressOwners = []string{
	"awaitPermit", "awaitResume", "beginAttempt", "dequeue", "dropRequest", "endAttempt", "enqueue", "resumePermitWaiters", "resumeRecovered", "resumeStreams", "waitOrAbort",
}

// attemptFields are set in an attempt of one kind only, so that their lack says nothing about another kind.
var attemptFields = []string{"firstUpstream", "forwardedTo", "permitUpstream", "waitReason"}

// Guards against a second owner of where a request stands, and against code that infers it from a field of
// the attempt again: a request that was passed on to another node has no first upstream, and was taken
// for one that had not been sent.
func TestProgressHasOwners(t *testing.T) {
	entries, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	found := make(map[string]bool)
	for _, e := range entries {
		if !strings.HasSuffix(e.Name(), ".go") || strings.HasSuffix(e.Name(), "_test.go") {
			continue
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, e.Name(), nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range file.Decls {
			f, ok := d.(*ast.FuncDecl)
			if !ok {
				continue
			}
			ast.Inspect(f, func(n ast.Node) bool {
				if changesField(n, "progress") {
					found[f.Name.Name] = true
					if !slices.Contains(progressOwners, f.Name.Name) {
						t.Errorf("%v: got progress changed in %s, want it in %v alone", set.Position(n.Pos()), f.Name.Name, progressOwners)
					}
				}
				if name := comparedWithNothing(n); slices.Contains(attemptFields, name) {
					t.Errorf("%v: got %s compared with nothing, want progress asked", set.Position(n.Pos()), name)
				}
				return true
			})
		}
	}
	for _, name := range progressOwners {
		if !found[name] {
			t.Errorf("got no change of progress in %s, want one", name)
		}
	}
}

// changesField reports whether a node assigns to a field.
func changesField(n ast.Node, field string) bool {
	a, ok := n.(*ast.AssignStmt)
	return ok && slices.ContainsFunc(a.Lhs, func(x ast.Expr) bool { return fieldOf(x) == field })
}

// fieldOf returns the name of the field that an expression selects; empty for another expression.
func fieldOf(x ast.Expr) string {
	if s, ok := x.(*ast.SelectorExpr); ok {
		return s.Sel.Name
	}
	return ""
}

// comparedWithNothing returns the field that a node compares with nil, "" or, by IsZero, the zero value.
func comparedWithNothing(n ast.Node) string {
	switch n := n.(type) {
	case *ast.BinaryExpr:
		for _, pair := range [][2]ast.Expr{{n.X, n.Y}, {n.Y, n.X}} {
			id, isName := pair[1].(*ast.Ident)
			text, isText := pair[1].(*ast.BasicLit)
			if isName && id.Name == "nil" || isText && text.Value == `""` {
				return fieldOf(pair[0])
			}
		}
	case *ast.CallExpr:
		if s, ok := n.Fun.(*ast.SelectorExpr); ok && s.Sel.Name == "IsZero" {
			return fieldOf(s.X)
		}
	}
	return ""
}
