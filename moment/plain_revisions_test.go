package moment_test

import (
	"go/types"
	"slices"
	"testing"

	"golang.org/x/tools/go/packages"
)

const module = "github.com/hoistjunction/hoistjunction"

// allowedPackages may convert moments and editions to and from plain numbers, because they
// encode and decode messages.
var allowedPackages = []string{module + "/moment", module + "/catalog", module + "/platform", module + "/momentwire"}

// conversionFuncs are the functions that do these conversions.
var conversionFuncs = []string{
	module + "/moment.At", "(" + module + "/moment.Moment).Parts",
	module + "/catalog.EditionOf", "(" + module + "/catalog.Edition).Parts",
}

// Guards against code that compares plain revision numbers: after a store restore, a higher
// revision can be older. Moments and editions compare correctly, so only allowedPackages may
// access their numbers.
func TestOnlyWirePackagesUsePlainRevisions(t *testing.T) {
	loaded, err := packages.Load(&packages.Config{
		Mode: packages.NeedName | packages.NeedImports | packages.NeedDeps | packages.NeedTypes | packages.NeedSyntax | packages.NeedTypesInfo,
		Dir:  "..",
	}, "./...")
	if err != nil {
		t.Fatal(err)
	}
	uses := 0
	for _, p := range loaded {
		for ident, object := range p.TypesInfo.Uses {
			f, ok := object.(*types.Func)
			if !ok || !slices.Contains(conversionFuncs, f.FullName()) {
				continue
			}
			uses++
			if !slices.Contains(allowedPackages, p.PkgPath) {
				t.Errorf("%s: got a call of %s, want none outside the packages that encode messages", p.Fset.Position(ident.Pos()), f.FullName())
			}
		}
	}
	if want := len(conversionFuncs); uses < want {
		t.Errorf("got %d uses of the conversion functions, want at least %d", uses, want)
	}
}
