package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/placement"
)

// mixedEngines returns engines of one data centre: one in eight is large and fast, the others are
// small and of two kinds.
func mixedEngines(n int) []placement.Engine {
	large := max(n/8, 1)
	small := (n - large) / 2
	return slices.Concat(engines("a", largeFast, large), engines("a", smallFast, small), engines("a", slow, n-large-small))
}

// BenchmarkPlanSingleDataCentre measures an initial plan, and a plan after another node has given
// the first order.
func BenchmarkPlanSingleDataCentre(b *testing.B) {
	for _, n := range []int{13, 38, 73, 100, 333} {
		list := mixedEngines(n)
		partial := slices.Clone(list)
		partial[0] = partial[0].Holding(fleet.LayerRange{To: partial[0].LayerCapacity / 2})
		for name, list := range map[string][]placement.Engine{"first": list, "partial": partial} {
			b.Run(fmt.Sprintf("%s-%d", name, n), func(b *testing.B) {
				for b.Loop() {
					placement.Plan(benchShape, list)
				}
			})
		}
	}
}
