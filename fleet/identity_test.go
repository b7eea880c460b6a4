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
	// idTypeName is the type of an upstream's ID, which all its incarnations share.
	idTypeName = module + "/fleet.ID"
)

// idConverters are the packages that may convert an ID to and from text, because they encode
// and decode messages.
var idConverters = []string{module + "/fleet", module + "/fleetwire", module + "/platform"}

// Guards against state of an earlier process of an upstream being applied to a later one. All
// state must be keyed by incarnation, so outside of this package no map may be keyed by a bare
// ID, no bare ID may be compared, and only message codecs may convert one.
func TestStateIsNotKeyedByBareID(t *testing.T) {
	loaded, err := packages.Load(&packages.Config{
		Mode: packages.NeedName | packages.NeedImports | packages.NeedDeps | packages.NeedTypes | packages.NeedSyntax | packages.NeedTypesInfo,
		Dir:  "..",
	}, "./...")
	if err != nil {
		t.Fatal(err)
	}
	const minPackages = 40
	if len(loaded) < minPackages {
		t.Fatalf("loaded %d packages, want at least %d", len(loaded), minPackages)
	}
	for _, p := range loaded {
		if p.PkgPath == module+"/fleet" {
			continue
		}
		for expr, found := range p.TypesInfo.Types {
			if misuse := misuseOfID(p, expr, found); misuse != "" {
				t.Errorf("%s: %s", p.Fset.Position(expr.Pos()), misuse)
			}
		}
	}
}

// misuseOfID returns how an expression misuses a bare ID; empty if it does not.
func misuseOfID(p *packages.Package, expr ast.Expr, found types.TypeAndValue) string {
	if m, ok := found.Type.Underlying().(*types.Map); ok && isID(m.Key()) {
		return "a map is keyed by a bare ID"
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
