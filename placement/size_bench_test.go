package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/placement"
)

// mixedEngines are engines of one data centre: one in eight large and fast, the rest
// small ones of two kinds.
func mixedEngines(n int) []placement.Engine {
	large := max(n/8, 1)
	small := (n - large) / 2
	return slices.Concat(engines("a", largeFast, large), engines("a", smallFast, small), engines("a", slow, n-large-small))
}

// BenchmarkPlanOfOneDataCentre is a first plan, and one of a data centre where another
// node has given the first order already.
func BenchmarkPlanOfOneDataCentre(b *testing.B) {
	for _, n := range []int{13, 38, 73, 100, 333} {
		list := mixedEngines(n)
		begun := slices.Clone(list)
		begun[0].Held = fleet.LayerRange{To: begun[0].MaxLayers / 2}
		for name, list := range map[string][]placement.Engine{"first": list, "begun": begun} {
			b.Run(fmt.Sprintf("%s-%d", name, n), func(b *testing.B) {
				for b.Loop() {
					placement.Plan(benchShape, list)
				}
			})
		}
	}
}
