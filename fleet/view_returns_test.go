package fleet_test

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/moment"
)

// What has gone is remembered for as long as a copy may reach back, and not for good.
func TestWhatHasGoneIsForgotten(t *testing.T) {
	v := fleet.NewView()
	now := clock.Millis(0)
	const each = 1000
	for i := range 200 {
		id := fleet.IncarnationByID(fleet.ID(fmt.Sprintf("u%d", i)))
		v.Apply(now, []fleet.Change{{ID: id, Upstream: fleet.Upstream{ID: id, Address: fmt.Sprint(i)}}}, false)
		v.Apply(now, []fleet.Change{{ID: id, Gone: true}}, false)
		now += each
	}
	most := int((moment.MaxBackupAge + 2*fleet.RestoreGrace) / each)
	if got := v.RemovedCount(); got > most {
		t.Errorf("got %d remembered, want %d at most", got, most)
	}
}

// A whole data centre that goes at once takes no more for each upstream than a few do.
func BenchmarkManyGo(b *testing.B) {
	for _, many := range []int{100, 1000, 3000} {
		b.Run(fmt.Sprint(many), func(b *testing.B) {
			for range b.N {
				v := fleet.NewView()
				var listed, gone []fleet.Change
				for i := range many {
					id := fleet.IncarnationByID(fleet.ID(fmt.Sprintf("u%d", i)))
					listed = append(listed, fleet.Change{ID: id, Upstream: fleet.Upstream{ID: id, Address: fmt.Sprint(i)}})
					gone = append(gone, fleet.Change{ID: id, Gone: true})
				}
				v.Apply(0, listed, false)
				v.Apply(1, gone, false)
			}
		})
	}
}
