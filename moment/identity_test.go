package moment_test

import (
	"go/types"
	"slices"
	"testing"

	"golang.org/x/tools/go/packages"
)

const module = "github.com/hoistjunction/hoistjunction"

// allowedPackages may turn moments and editions into numbers and back: they write and read
// messages.
var allowedPackages = []string{module + "/moment", module + "/catalog", module + "/platform", module + "/momentwire"}

// conversionFuncs are the functions that do so.
var conversionFuncs = []string{
	module + "/moment.At", "(" + module + "/moment.Moment).Parts",
	module + "/catalog.EditionOf", "(" + module + "/catalog.Edition).Parts",
}

// What is newer is asked of moments and editions alone. Nothing else gets at the numbers that
// they are made of, of which one that is greater may be older.
func TestNothingComparesBareRevisions(t *testing.T) {
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
				t.Errorf("%s: %s is used", p.Fset.Position(ident.Pos()), f.FullName())
			}
		}
	}
	if want := len(conversionFuncs); uses < want {
		t.Errorf("got %d uses, want %d or more for the test to mean something", uses, want)
	}
}
