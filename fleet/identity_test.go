package fleet_test

import (
	"go/ast"
	"go/token"
	"go/types"
	"strings"
	"testing"

	"golang.org/x/tools/go/packages"
)

const (
	module = "github.com/hoistjunction/hoistjunction"
	// idTypeName is what an upstream is called, which its later runs are too.
	idTypeName = module + "/fleet.ID"
)

// idConverters may turn an ID into text and back: they write and read messages.
var idConverters = []string{module + "/fleet", module + "/fleetwire", module + "/platform"}

// What is known of an upstream hangs on one run of its process. Outside of this package no
// table is keyed by the bare ID and none is compared, so nothing of an earlier run can be
// taken for a later one's; and only what speaks to others turns it into text.
func TestNothingHangsOnABareID(t *testing.T) {
	loaded, err := packages.Load(&packages.Config{
		Mode: packages.NeedName | packages.NeedImports | packages.NeedDeps | packages.NeedTypes | packages.NeedSyntax | packages.NeedTypesInfo,
		Dir:  "..",
	}, "./...")
	if err != nil {
		t.Fatal(err)
	}
	const fewest = 40
	if len(loaded) < fewest {
		t.Fatalf("got %d packages, want %d or more for the test to mean something", len(loaded), fewest)
	}
	for _, p := range loaded {
		if p.PkgPath == module+"/fleet" {
			continue
		}
		for expr, found := range p.TypesInfo.Types {
			if what := misuseOfID(p, expr, found); what != "" {
				t.Errorf("%s: %s", p.Fset.Position(expr.Pos()), what)
			}
		}
	}
}

// misuseOfID says what is wrong with an expression; nothing if nothing is.
func misuseOfID(p *packages.Package, expr ast.Expr, found types.TypeAndValue) string {
	if m, ok := found.Type.Underlying().(*types.Map); ok && isID(m.Key()) {
		return "a table is keyed by a bare ID"
	}
	switch e := expr.(type) {
	case *ast.BinaryExpr:
		if isComparison(e.Op) && (isID(p.TypesInfo.TypeOf(e.X)) || isID(p.TypesInfo.TypeOf(e.Y))) {
			return "a bare ID is compared"
		}
	case *ast.CallExpr:
		if len(e.Args) == 1 && p.TypesInfo.Types[e.Fun].IsType() && isID(p.TypesInfo.TypeOf(e.Args[0])) && !mayConvertID(p.PkgPath) {
			return "a bare ID is converted"
		}
	}
	return ""
}

func isID(t types.Type) bool { return t != nil && t.String() == idTypeName }

func isComparison(op token.Token) bool {
	switch op {
	case token.EQL, token.NEQ, token.LSS, token.GTR, token.LEQ, token.GEQ:
		return true
	default:
		return false
	}
}

func mayConvertID(path string) bool {
	for _, p := range idConverters {
		if path == p || strings.HasPrefix(path, p+"/") {
			return true
		}
	}
	return false
}
