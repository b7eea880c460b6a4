package node

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
)

// Guards against a wait for the first plan that grows with the number of nodes before this one.
func TestPlannerDelayIsBounded(t *testing.T) {
	const bound clock.Millis = 2 * steppedRanks * plannerDelayStep
	for _, rank := range []int{0, 1, steppedRanks - 1, steppedRanks, 40, 400, 40_000} {
		for i := range 100 {
			got := plannerDelay(rank, fmt.Sprint("n", i))
			if got >= bound {
				t.Fatalf("rank %d: got %d ms, want less than %d", rank, got, bound)
			}
			if first := plannerDelay(steppedRanks-1, ""); rank >= steppedRanks && got <= first {
				t.Fatalf("rank %d: got %d ms, want more than %d, the wait of the last stepped rank", rank, got, first)
			}
		}
	}
}
